"""The HTTP server of each daemon, and how its pages read bodies and say outcomes."""

from __future__ import annotations

import math
import sys
from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus
from typing import TYPE_CHECKING

import gevent
import msgspec
from gevent import GreenletExit, socket
from gevent.pool import Pool
from gevent.pywsgi import Input, WSGIHandler, WSGIServer

from mallowvalve import clock, finding
from mallowvalve.configuration.items import Limits
from mallowvalve.finding import Finding, Findings, parse_json
from mallowvalve.http_head import Incoming, has_ended, peek, read_head
from mallowvalve.metrics import Counts, change
from mallowvalve.types import Address

if TYPE_CHECKING:
    import falcon

OUTCOME = "Mallow-Outcome"
NOT_RUN, UNDECIDED, UNKNOWN = "not-run", "undecided", "unknown"
WHOLE = 256 << 10

HEADER_BYTES, HEADER_S = 65536, 30.0
LINGER = 0.3
SOON = 2.0
DRAIN_LOOK_S = 0.02


class Nothing:
    """Stands for a body of which nothing more is wanted."""

    def _discard(self) -> None:
        pass


class Handler(WSGIHandler):
    """A client's connection. Its bounds are the server's `limits`, asked anew for each request."""

    linger = reads_ended = False

    def __init__(self, sock, address, server, rfile=None):
        """A connection's socket; reads go through `Incoming`."""
        super().__init__(sock, address, server, rfile or Incoming(sock))

    def handle(self):
        """One request after another, until either side ends the connection."""
        self.server.connections.add(self)
        self.busy = False
        try:
            while (r := self.handle_one_request()) is True:
                self.busy = False
            if r is not None:
                self.linger = True
                self.socket.sendall(r[1])
        except OSError:
            pass
        finally:
            self.server.connections.discard(self)
            self._end()

    def handle_one_request(self):
        """True: another may follow; None: the connection ends; else a refusal to be sent before it ends."""
        limits = self.server.limits()
        most, seconds, idle = HEADER_BYTES, HEADER_S, None
        if limits is not None:
            most, seconds, idle = limits.header_bytes, limits.header_ms / 1000, limits.idle_ms / 1000
        self.idle = idle
        try:
            if not self.rfile.begun(idle):
                return None
            self.busy = True
            head = self.rfile.head(most, seconds)
        except TimeoutError:
            return self._refuse(408, "Request Timeout", NOT_RUN, "its head took too long")
        except OSError:
            return None
        if head is None:
            return self._refuse(431, "Request Header Fields Too Large", NOT_RUN, f"a head of over {most} bytes")
        if not head:
            return None
        try:
            self.request = h = read_head(head)
        except ValueError:
            self.server.counts.add("web_bad_request")
            return self._refuse(400, "Bad Request", UNDECIDED, "not understood as HTTP")
        self.headers, self.command, self.path, self.request_version = h, h.method, h.target, h.version
        self.requestline = h.method
        self.content_length, self.close_connection = h.length, h.close
        self.response_length = 0
        self.environ = self.get_environ()
        self.application = self.server.application
        self.handle_one_response()
        return None if self.close_connection else True

    def get_environ(self):
        """A server whose callable is lean is told little; what it passes on gets the whole from `mallow.handler`."""
        if not self.server.lean:
            return self.full_environ()
        h = self.request
        self.wsgi_input = Input(
            self.rfile,
            h.length,
            self.socket if h.said.get("expect", "").lower() == "100-continue" else None,
            h.chunked,
        )
        return {
            "REQUEST_METHOD": h.method,
            "SERVER_PROTOCOL": h.version,
            "REMOTE_ADDR": self.client_address[0],
            "wsgi.input": self.wsgi_input,
            "mallow.target": h.target,
            "mallow.head": h,
            "mallow.handler": self,
        }

    def full_environ(self):
        """All that WSGI asks for."""
        env = super().get_environ()
        env["mallow.target"] = self.path
        env["mallow.head"] = self.request
        env["mallow.handler"] = self
        return env

    def finalize_headers(self):
        """Say whether the connection goes on, and for how long it may rest."""
        self.provided_date = self.provided_date or ""
        if self.server.draining or self.close_connection:
            self.close_connection = True
            self.response_headers = [h for h in self.response_headers if h[0].lower() != b"connection"]
            self.response_headers.append((b"Connection", b"close"))
        elif self.idle is not None:
            self.response_headers.append((b"Keep-Alive", b"timeout=%d" % max(1, int(self.idle - SOON))))
        super().finalize_headers()
        if self.command == "HEAD" and self.provided_content_length is None:
            self.response_headers = [h for h in self.response_headers if h[0].lower() != b"content-length"]

    def _write_with_headers(self, data):
        """Head and a small body leave in one call."""
        self.headers_sent = True
        self.finalize_headers()
        head = b"".join(
            (b"HTTP/1.1 ", self.status, b"\r\n", *(b"%s: %s\r\n" % h for h in self.response_headers), b"\r\n")
        )
        if self.response_use_chunked or len(data) > WHOLE:
            self._sendall(head)
            self._write(data)
            return
        self._sendall(head + data)

    def _sendall(self, data):
        n = self.socket.send(data)
        if n < len(data):
            self.socket.sendall(memoryview(data)[n:])
        self.response_length += len(data)

    def _headers(self):
        for k, v in self.headers.said.items():
            if "_" not in k and k not in ("content-type", "content-length"):
                yield "HTTP_" + k.replace("-", "_").upper(), v

    def _refuse(self, status: int, reason: str, outcome: str, text: str):
        body = encode({"findings": [Finding("request", text)]})
        head = f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n{OUTCOME}: {outcome}\r\n"
        return status, f"{head}Connection: close\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body

    def _end(self) -> None:
        """After a refusal what still comes is dropped for a moment, so that a reset does not swallow the answer."""
        sock, self.socket = self.socket, None
        try:
            if self.linger:
                sock.shutdown(socket.SHUT_WR)
                with gevent.Timeout(LINGER, False):
                    while sock.recv(65536):
                        pass
        except OSError:
            pass
        sock.close()
        self.__dict__.pop("socket", None)
        self.__dict__.pop("rfile", None)
        self.__dict__.pop("wsgi_input", None)

    def client_left(self) -> bool:
        """Whether the client has ended the connection; one that has only ended its own side counts too.

        Not known once this side has ended its reads, nor while bytes of the client's wait to be read.
        """
        return not self.rfile.buf and not self.reads_ended and has_ended(self.socket)

    def cut(self) -> None:
        """This answer is the connection's last, and what the client still sends of its request is not waited for."""
        self.linger, self.wsgi_input, self.close_connection = True, Nothing(), True

    def log_request(self):
        """Requests are counted, not logged."""
        pass

    def _send_error_response_if_possible(self, error_code):
        """What ends outside the application, or is cut by the stop, has an outcome too."""
        self.close_connection = True
        if self.response_length:
            return
        cut = isinstance(sys.exc_info()[1], GreenletExit)
        status, outcome = (
            (504, UNDECIDED)
            if cut
            else (error_code, UNKNOWN if error_code == HTTPStatus.INTERNAL_SERVER_ERROR else UNDECIDED)
        )
        body = encode({"outcome": outcome, "findings": [Finding("request", "cut by a stop" if cut else "not served")]})
        head = [("Content-Type", "application/json"), (OUTCOME, outcome), ("Content-Length", str(len(body)))]
        try:
            self.start_response(f"{status} {HTTPStatus(status).phrase}", head)
            self.write(body)
        except OSError:
            self.server.counts.add("web_client_error")

    def log_error(self, msg, *args):
        """Errors of clients are counted, not logged."""
        self.server.counts.add("web_client_error")


class Server(WSGIServer):
    """A server that can be drained; `limits` bounds what clients send, and a `lean` application is told little."""

    handler_class = Handler

    def __init__(self, at: Address, app, counts: Counts, most: int):
        """Serve `app` at an address, on at most `most` connections."""
        super().__init__(at.pair, app, log=None, error_log=None, spawn=Pool(most))
        self.counts = counts
        self.connections: set[Handler] = set()
        self.draining = False
        self.lean = False
        self.until: float | None = None
        self.limits: Callable[[], Limits | None] = lambda: None

    def __enter__(self) -> Server:
        """Listen."""
        self.start()
        return self

    def __exit__(self, *_) -> None:
        """Stop at once."""
        self.stop(timeout=0.2)

    def drain(self, linger: float, limit: float, told_at: float | None = None) -> None:
        """Serve on for a while, telling each connection to close; then take no more, and let answers finish.

        `linger` and `limit` (s) count from `told_at` on this process's own clock, else from now: what a slow process
        does late doesn't move the end. A connection counts from when it was accepted, before anything of it runs.
        """
        began = clock.now() if told_at is None else told_at
        self.draining, self.until = True, began + linger + limit
        gevent.sleep(max(0.0, began + linger - clock.now()))
        self.close()
        while len(self.pool) and clock.now() < self.until:
            for h in list(self.connections):
                if not h.busy:
                    self._nudge(h)
            gevent.sleep(DRAIN_LOOK_S)

    def _nudge(self, h: Handler) -> None:
        """End a connection that rests; a request that has arrived is served first."""
        with suppress(OSError, AttributeError):
            if not peek(h.socket):
                h.reads_ended = True
                h.socket.shutdown(socket.SHUT_RD)


encode = msgspec.json.encode


def say(resp: falcon.Response, body: object, status: int = 200) -> None:
    """Answer with JSON."""
    resp.status = status
    resp.content_type = "application/json"
    resp.data = encode(body)


def reject(
    resp: falcon.Response, status: int, outcome: str, findings: Findings, retry_after: float | None = None
) -> None:
    """A refusal with its outcome and findings; `retry_after` in seconds."""
    say(resp, {"outcome": outcome, "findings": findings}, status)
    resp.set_header(OUTCOME, outcome)
    if retry_after is not None:
        resp.set_header("Retry-After", str(max(1, math.ceil(retry_after))))


def turn_away(
    req: falcon.Request, resp: falcon.Response, status: int, findings: Findings, retry_after: float | None = None
) -> None:
    """Rejections what nobody was asked about yet: of a key, an earlier try may have run."""
    reject(resp, status, UNDECIDED if req.get_header("Mallow-Key") else NOT_RUN, findings, retry_after)


def client_left(req: falcon.Request) -> bool:
    """Whether the client has ended its connection since it sent this request, so that nobody waits for the answer."""
    handler: Handler | None = req.env.get("mallow.handler")
    return handler is not None and handler.client_left()


def body_of(req: falcon.Request, most: int) -> bytes | None:
    """The request's body; None when it is larger than `most` bytes."""
    if req.content_length is not None and req.content_length > most:
        return None
    data = req.bounded_stream.read(most + 1) if req.content_length is not None else req.env["wsgi.input"].read(most + 1)
    return data if len(data) <= most else None


def read_as(kind: type, req: falcon.Request, resp: falcon.Response, most: int = 65536):
    """The JSON body as a checked struct, or None once every finding was answered."""
    data = body_of(req, most)
    if data is None:
        turn_away(req, resp, 413, [Finding("body", f"larger than {most} bytes")])
        return None
    r = parse_json(data).and_then(lambda d: finding.read(kind, d))
    if r.is_err():
        turn_away(req, resp, 400, r.err_value)
        return None
    return r.ok_value


class Later:
    """An app that loads its library with the first request that needs it; `plain` answers GETs of a path without."""

    __slots__ = ("plain", "_app", "_todo")

    def __init__(self):
        """The library is not loaded yet."""
        self.plain: dict[str, Callable[[], tuple[int, object]]] = {}
        self._app: falcon.App | None = None
        self._todo: list[tuple] = []

    def add_route(self, *a, **kw) -> None:
        """As falcon's."""
        self._add("add_route", a, kw)

    def add_sink(self, *a, **kw) -> None:
        """As falcon's."""
        self._add("add_sink", a, kw)

    def _add(self, what: str, a: tuple, kw: dict) -> None:
        if self._app is None:
            self._todo.append((what, a, kw))
        else:
            getattr(self._app, what)(*a, **kw)

    def __call__(self, env: dict, start: Callable):
        """As WSGI's."""
        act = self.plain.get(env["PATH_INFO"]) if env["REQUEST_METHOD"] == "GET" else None
        if act is None:
            return self.made()(env, start)
        status, body = act()
        data = encode(body)
        start(
            f"{status} {HTTPStatus(status).phrase}",
            [("Content-Type", "application/json"), ("Content-Length", str(len(data)))],
        )
        return [data]

    def made(self) -> falcon.App:
        """The app, loaded now if it was not."""
        if self._app is None:
            self._app = make_app()
            for what, a, kw in self._todo:
                getattr(self._app, what)(*a, **kw)
        return self._app


def make_app() -> falcon.App:
    """A falcon app whose errors are refusals with outcomes."""
    import falcon

    app = falcon.App()
    app.resp_options.default_media_type = None
    app.set_error_serializer(
        lambda req, resp, e: turn_away(req, resp, e.status_code, [Finding("request", e.title or "")])
    )
    app.add_error_handler(Exception, _crash)
    return app


def _crash(req, resp, ex, _settings) -> None:
    from falcon import HTTPError

    if isinstance(ex, HTTPError):
        turn_away(req, resp, ex.status_code, [Finding(req.path, ex.description or ex.title)])
        return
    change("crash", where=req.path, error=repr(ex))
    reject(resp, 500, UNKNOWN, [Finding(req.path, "internal error")])
