from __future__ import annotations

import math
import re
import sys

import falcon
import gevent
import msgspec
from gevent import GreenletExit, socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

from mallowvalve import finding
from mallowvalve.count import Counts, change
from mallowvalve.finding import Finding, Findings, parse_json
from mallowvalve.kind import Address

OUTCOME = "Mallow-Outcome"
NOT_RUN, UNDECIDED, UNKNOWN = "not-run", "undecided", "unknown"


TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
BAD_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


def check_headers(m) -> None:
    if m.defects:
        raise ValueError("malformed headers")
    for name, value in m.items():
        if not TOKEN.fullmatch(name) or BAD_VALUE.search(value):
            raise ValueError("malformed header")
    lengths, codings = m.get_all("content-length", []), m.get_all("transfer-encoding", [])
    if len(lengths) + len(codings) > 1 or any(c.lower() != "chunked" for c in codings):
        raise ValueError("ambiguous length")
    if any(not (n.isascii() and n.isdigit()) for n in lengths):
        raise ValueError("bad length")


class Handler(WSGIHandler):
    def handle(self):
        self.server.sessions.add(self)
        self.busy = False
        try:
            super().handle()
        finally:
            self.server.sessions.discard(self)

    def MessageClass(self, *args):
        m = super().MessageClass(*args)
        check_headers(m)
        return m

    def read_request(self, raw_requestline):
        if len(raw_requestline.split()) != 3:
            raise ValueError("request line")
        return super().read_request(raw_requestline)

    def get_environ(self):
        env = super().get_environ()
        env["mallow.target"] = self.path
        return env

    def handle_one_response(self):
        self.busy = True
        try:
            return super().handle_one_response()
        finally:
            self.busy = False

    def finalize_headers(self):
        if self.server.draining:
            self.close_connection = True
            self.response_headers = [h for h in self.response_headers if h[0].lower() != b"connection"]
            self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()

    def handle_one_request(self):
        r = super().handle_one_request()
        if isinstance(r, tuple):
            status, _ = r
            body = encode({"findings": [Finding("request", "not understood as HTTP")]})
            head = f"HTTP/1.1 {status} Bad Request\r\nContent-Type: application/json\r\n{OUTCOME}: {UNDECIDED}\r\n"
            self.server.counts.add("web_bad_request")
            return status, f"{head}Connection: close\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
        return r

    def _send_error_response_if_possible(self, error_code):
        """What ends outside the application, or is cut by the stop, has an outcome too."""
        self.close_connection = True
        if self.response_length:
            return
        cut = isinstance(sys.exc_info()[1], GreenletExit)
        status, outcome = (504, UNDECIDED) if cut else (error_code, UNKNOWN if error_code == 500 else UNDECIDED)
        body = encode({"outcome": outcome, "findings": [Finding("request", "cut by a stop" if cut else "not served")]})
        head = [("Content-Type", "application/json"), (OUTCOME, outcome), ("Content-Length", str(len(body)))]
        try:
            self.start_response(falcon.code_to_http_status(status), head)
            self.write(body)
        except OSError:
            self.server.counts.add("web_client_error")

    def log_error(self, msg, *args):
        self.server.counts.add("web_client_error")


class Server(WSGIServer):
    handler_class = Handler

    def __init__(self, at: Address, app, counts: Counts, most: int):
        super().__init__(at.pair, app, log=None, error_log=None, spawn=Pool(most))
        self.counts = counts
        self.sessions: set[Handler] = set()
        self.draining = False

    def __enter__(self) -> Server:
        self.start()
        return self

    def __exit__(self, *_) -> None:
        self.stop(timeout=0.2)

    def drain(self, linger: float, limit: float) -> None:
        """Serve on for a while, telling each session to close; then take no more, and let answers finish."""
        self.draining = True
        gevent.sleep(linger)
        self.close()
        with gevent.Timeout(limit, False):
            while self.sessions:
                for h in list(self.sessions):
                    if not h.busy:
                        self._nudge(h)
                gevent.sleep(0.02)

    def _nudge(self, h: Handler) -> None:
        try:
            h.socket.shutdown(socket.SHUT_RD)
        except (OSError, AttributeError):
            pass


encode = msgspec.json.encode


def say(resp: falcon.Response, body: object, status: int = 200) -> None:
    resp.status = status
    resp.content_type = "application/json"
    resp.data = encode(body)


def bounce(
    resp: falcon.Response, status: int, outcome: str, findings: Findings, retry_after: float | None = None
) -> None:
    say(resp, {"outcome": outcome, "findings": findings}, status)
    resp.set_header(OUTCOME, outcome)
    if retry_after is not None:
        resp.set_header("Retry-After", str(max(1, math.ceil(retry_after))))


def turn_away(
    req: falcon.Request, resp: falcon.Response, status: int, findings: Findings, retry_after: float | None = None
) -> None:
    """Bounces what nobody was asked about yet: of a key, an earlier try may have run."""
    bounce(resp, status, UNDECIDED if req.get_header("Mallow-Key") else NOT_RUN, findings, retry_after)


def body_of(req: falcon.Request, most: int) -> bytes | None:
    if req.content_length is not None and req.content_length > most:
        return None
    data = req.bounded_stream.read(most + 1) if req.content_length is not None else req.env["wsgi.input"].read(most + 1)
    return data if len(data) <= most else None


def read_as(kind: type, req: falcon.Request, resp: falcon.Response, most: int = 65536):
    """The JSON body as a checked struct, or None once every finding was answered."""
    data = body_of(req, most)
    if data is None:
        return turn_away(req, resp, 413, [Finding("body", f"larger than {most} bytes")])
    r = parse_json(data).and_then(lambda d: finding.read(kind, d))
    if r.is_err():
        return turn_away(req, resp, 400, r.err_value)
    return r.ok_value


def make_app() -> falcon.App:
    app = falcon.App()
    app.resp_options.default_media_type = None
    app.set_error_serializer(lambda req, resp, e: turn_away(req, resp, e.status_code, [Finding("request", e.title or "")]))
    app.add_error_handler(Exception, _crash)
    return app


def _crash(req, resp, ex, _params) -> None:
    if isinstance(ex, falcon.HTTPError):
        turn_away(req, resp, ex.status_code, [Finding(req.path, ex.description or ex.title)])
        return
    change("crash", where=req.path, error=repr(ex))
    bounce(resp, 500, UNKNOWN, [Finding(req.path, "internal error")])
