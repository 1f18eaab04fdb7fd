"""The HTTP server of each daemon, and how its pages read bodies and say outcomes."""

from __future__ import annotations

import math
from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus
from typing import TYPE_CHECKING

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from mallowvalve import clock, finding
from mallowvalve.configuration.items import Limits
from mallowvalve.finding import Finding, Findings, parse_json
from mallowvalve.http_connection import NOT_RUN, OUTCOME, UNDECIDED, UNKNOWN, ConnectionHandler, encode
from mallowvalve.http_head import peek
from mallowvalve.metrics import Counts, change
from mallowvalve.types import Address

if TYPE_CHECKING:
    import falcon

DRAIN_LOOK_S = 0.02
ACCEPT_STOP_MARGIN_S = 0.3
"""How long before its end a stopping server takes no connection, whoever else does (s)."""


class Server(WSGIServer):
    """A server that can be drained; `limits` bounds what clients send, and a `lean` application is told little."""

    handler_class = ConnectionHandler

    def __init__(self, at: Address, app, counts: Counts, most: int):
        """Serve `app` at an address, on at most `most` connections."""
        super().__init__(at.pair, app, log=None, error_log=None, spawn=Pool(most))
        self.counts = counts
        self.connections: set[ConnectionHandler] = set()
        self.draining = False
        self.lean = False
        self.stop_deadline: float | None = None
        self.limits: Callable[[], Limits | None] = lambda: None

    def __enter__(self) -> Server:
        """Listen."""
        self.start()
        return self

    def __exit__(self, *_) -> None:
        """Stop at once."""
        self.stop(timeout=0.2)

    def drain(
        self,
        linger: float,
        limit: float,
        told_at: float | None = None,
        wait: Callable[[float, float], None] | None = None,
    ) -> None:
        """Serve on for a while, telling each connection to close; then take no more, and let answers finish.

        `linger` and `limit` (s) count from `told_at` on this process's own clock, else from now: what a slow process
        does late doesn't move the end. A connection counts from when it was accepted, before anything of it runs.
        Connections are taken until `linger`, or until `wait` returns, which is given that time and the last one.
        """
        began = clock.now() if told_at is None else told_at
        self.draining, self.stop_deadline = True, began + linger + limit
        if wait is None:
            gevent.sleep(max(0.0, began + linger - clock.now()))
        else:
            wait(began + linger, self.stop_deadline - ACCEPT_STOP_MARGIN_S)
        self.close()
        while len(self.pool) and clock.now() < self.stop_deadline:
            for h in list(self.connections):
                if not h.busy:
                    self._nudge(h)
            gevent.sleep(DRAIN_LOOK_S)

    def _nudge(self, h: ConnectionHandler) -> None:
        """End a connection that rests; a request that has arrived is served first."""
        with suppress(OSError, AttributeError):
            if not peek(h.socket):
                h.read_side_closed = True
                h.socket.shutdown(socket.SHUT_RD)


def send_json(resp: falcon.Response, body: object, status: int = 200) -> None:
    """Answer with JSON."""
    resp.status = status
    resp.content_type = "application/json"
    resp.data = encode(body)


def reject(
    resp: falcon.Response, status: int, outcome: str, findings: Findings, retry_after: float | None = None
) -> None:
    """A refusal with its outcome and findings; `retry_after` in seconds."""
    send_json(resp, {"outcome": outcome, "findings": findings}, status)
    resp.set_header(OUTCOME, outcome)
    if retry_after is not None:
        resp.set_header("Retry-After", str(max(1, math.ceil(retry_after))))


def reject_early(
    req: falcon.Request, resp: falcon.Response, status: int, findings: Findings, retry_after: float | None = None
) -> None:
    """Rejections what nobody was asked about yet: of a key, an earlier try may have run."""
    reject(resp, status, UNDECIDED if req.get_header("Mallow-Key") else NOT_RUN, findings, retry_after)


def client_left(req: falcon.Request) -> bool:
    """Whether the client has ended its connection since it sent this request, so that nobody waits for the answer."""
    handler: ConnectionHandler | None = req.env.get("mallow.handler")
    return handler is not None and handler.client_left()


def read_body(req: falcon.Request, most: int) -> bytes | None:
    """The request's body; None when it is larger than `most` bytes."""
    if req.content_length is not None and req.content_length > most:
        return None
    data = req.bounded_stream.read(most + 1) if req.content_length is not None else req.env["wsgi.input"].read(most + 1)
    return data if len(data) <= most else None


def read_json(kind: type, req: falcon.Request, resp: falcon.Response, most: int = 65536):
    """The JSON body as a checked struct, or None once every finding was answered."""
    data = read_body(req, most)
    if data is None:
        reject_early(req, resp, 413, [Finding("body", f"larger than {most} bytes")])
        return None
    r = parse_json(data).and_then(lambda d: finding.read(kind, d))
    if r.is_err():
        reject_early(req, resp, 400, r.err_value)
        return None
    return r.ok_value


class LazyApp:
    """An app that loads its library with the first request that needs it; `plain` answers GETs of a path without."""

    __slots__ = ("plain_routes", "_app", "_todo")

    def __init__(self):
        """The library is not loaded yet."""
        self.plain_routes: dict[str, Callable[[], tuple[int, object]]] = {}
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
        act = self.plain_routes.get(env["PATH_INFO"]) if env["REQUEST_METHOD"] == "GET" else None
        if act is None:
            return self.load()(env, start)
        status, body = act()
        data = encode(body)
        start(
            f"{status} {HTTPStatus(status).phrase}",
            [("Content-Type", "application/json"), ("Content-Length", str(len(data)))],
        )
        return [data]

    def load(self) -> falcon.App:
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
        lambda req, resp, e: reject_early(req, resp, e.status_code, [Finding("request", e.title or "")])
    )
    app.add_error_handler(Exception, _crash)
    return app


def _crash(req, resp, ex, _settings) -> None:
    from falcon import HTTPError

    if isinstance(ex, HTTPError):
        reject_early(req, resp, ex.status_code, [Finding(req.path, ex.description or ex.title)])
        return
    change("crash", where=req.path, error=repr(ex))
    reject(resp, 500, UNKNOWN, [Finding(req.path, "internal error")])
