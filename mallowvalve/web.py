"""The HTTP server of each process, and helpers with which its pages read bodies and send responses."""

from __future__ import annotations

import math
from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, TypeVar

import gevent
from gevent import socket
from gevent.pool import Group, Pool
from gevent.pywsgi import WSGIServer
from result import Err

from mallowvalve import body_budget, clock, finding
from mallowvalve.body_budget import (
    SMALL_BODY_BYTES,
    BodyBudget,
    BodyRefusals,
    BodyRefusedError,
    BodyReservation,
    BodyTooLargeError,
)
from mallowvalve.configuration.items import Limits
from mallowvalve.finding import Finding, Findings, parse_json, shorten
from mallowvalve.handshake_filter import refuse_handshakes
from mallowvalve.http_connection import (
    NOT_RUN,
    OUTCOME,
    UNDECIDED,
    UNKNOWN,
    ConnectionHandler,
    encode,
    log_handler_error,
    refuse_connection,
)
from mallowvalve.http_head import peek
from mallowvalve.metrics import Counts
from mallowvalve.request_body import BrokenBodyError
from mallowvalve.types import Address

if TYPE_CHECKING:
    import falcon

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Any]
Document = TypeVar("Document")

DRAIN_POLL_S = 0.02
ACCEPT_STOP_MARGIN_S = 0.3
"""A stopping server closes its listener this long before its end, even if no other process accepts connections."""
DEFAULT_MEMORY_MB = 300.0
BODY_RETRY_AFTER_S = 1
FIRST_REQUEST_WAIT_S = 1.0
"""How long a stopping server waits for the first request of a new connection."""
ACCEPT_END_MARGIN_S = 0.1
"""A full server waits for room until this long before its end, and then refuses the connections that wait."""
EXIT_S = 0.2
"""How long a server that stops without a drain, or after one, waits for its handlers."""


class Server(WSGIServer):
    """A WSGI server that can be drained.

    `limits` returns the limits on requests, `body_budget` is the room for their bodies, `connections` are the open
    ones, and `stop_deadline` is the end of a drain (s, this process's clock). With `minimal_environ` the application
    gets only a few entries of the WSGI environment.
    """

    handler_class = ConnectionHandler

    def __init__(self, address: Address, app: WsgiApp, counts: Counts, max_connections: int):
        """Serves `app` at an address."""
        super().__init__(address.pair, app, log=None, error_log=None, spawn=Pool(max_connections))
        self.counts = counts
        self.connections: set[ConnectionHandler] = set()
        self.draining = False
        self.minimal_environ = False
        self.stop_deadline: float | None = None
        self.body_budget = BodyBudget.of_memory(DEFAULT_MEMORY_MB)
        self.body_refusals = BodyRefusals(counts)
        self._refusals = Group()
        self.limits: Callable[[], Limits | None] = lambda: None

    def __enter__(self) -> Server:
        """Starts to listen."""
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stops; does nothing more after a complete drain."""
        self.shut_down()

    def shut_down(self) -> None:
        """Accepts what waits, closes the listener and stops; handlers get `EXIT_S` seconds before they are cut off."""
        self.draining = True
        end = clock.now() + EXIT_S
        self.stop_deadline = end if self.stop_deadline is None else self.stop_deadline
        self._close_listener(end)
        self._finish(end)
        self.stop(timeout=0.0)
        self._refusals.join(timeout=EXIT_S)

    def drain(
        self,
        accept_s: float,
        finish_s: float,
        signalled_at: float | None = None,
        wait_to_close: Callable[[float, float], None] | None = None,
    ) -> None:
        """Accepts connections for a while but ends each with its response, then closes the listener and finishes.

        `accept_s` and `finish_s` count from `signalled_at` (s, this process's clock), or from now: a late start of the
        drain does not move its end. `wait_to_close` may keep the listener open for longer; it gets the earliest and
        the latest time to return. Connections that were accepted but not yet handled are waited for as well.
        """
        began = clock.now() if signalled_at is None else signalled_at
        self.draining, self.stop_deadline = True, began + accept_s + finish_s
        if wait_to_close is None:
            gevent.sleep(max(0.0, began + accept_s - clock.now()))
        else:
            wait_to_close(began + accept_s, self.stop_deadline - ACCEPT_STOP_MARGIN_S)
        self._close_listener(self.stop_deadline)
        self._finish(self.stop_deadline)

    def _finish(self, end: float) -> None:
        """Waits until all handlers have ended, but not after `end`; each has begun when this returns."""
        gevent.sleep(0.0)
        while len(self.pool) and clock.now() < end:
            self._close_idle()
            gevent.sleep(DRAIN_POLL_S)

    def _close_listener(self, end: float) -> None:
        """Accepts all connections that the kernel has completed, then closes the listener, whose close resets others.

        None completes between the last accept and the close, where the system can refuse handshakes; that lasts no
        longer than needed, since a client repeats a refused one only after a second. Without room or descriptors it
        waits for them until shortly before `end`.
        """
        if self.started:
            self._accept_completed(end - ACCEPT_END_MARGIN_S)
        if self.started and refuse_handshakes(self.socket):
            self._accept_completed(end - ACCEPT_END_MARGIN_S)
        self.close()

    def _accept_completed(self, end: float) -> None:
        """Accepts until no connection waits; after `end` it refuses those for which there is no room."""
        while True:
            in_time = clock.now() < end
            if self.full() and in_time:
                self._close_idle()
                gevent.sleep(DRAIN_POLL_S)
                continue
            try:
                accepted = self.do_read()
            except OSError:
                self.counts.add("accept_failed")
                if not in_time:
                    return
                self._close_idle()
                gevent.sleep(DRAIN_POLL_S)
                continue
            if not accepted:
                return
            if self.full():
                self._refuse(accepted[0], end)
            else:
                self.do_handle(*accepted)

    def _refuse(self, sock: socket.socket, end: float) -> None:
        """Answers a connection that no handler can take, and closes it, shortly after `end` at the latest."""
        self.counts.add("connections_refused")
        self._refusals.spawn(refuse_connection, sock, end + EXIT_S)

    def _close_idle(self) -> None:
        for handler in list(self.connections):
            if not handler.busy:
                self._close_if_idle(handler)

    def _close_if_idle(self, handler: ConnectionHandler) -> None:
        """Closes an idle connection by its read side, unless a request has been received: that one is served first.

        The first request of a new connection is awaited: its client cannot know yet that the server stops.
        """
        if not handler.rfile.has_received and clock.now() < handler.opened_at + FIRST_REQUEST_WAIT_S:
            return
        with suppress(OSError, AttributeError):
            if not peek(handler.socket):
                handler.read_side_closed = True
                handler.socket.shutdown(socket.SHUT_RD)


def send_json(resp: falcon.Response, body: object, status: int = 200) -> None:
    """Sends a JSON response."""
    resp.status = status
    resp.content_type = "application/json"
    resp.data = encode(body)


def reject(
    resp: falcon.Response, status: int, outcome: str, findings: Findings, retry_after: float | None = None
) -> None:
    """Sends an error response with its outcome and the first findings; `retry_after` is in seconds."""
    send_json(resp, {"outcome": outcome, "findings": shorten(findings)}, status)
    resp.set_header(OUTCOME, outcome)
    if retry_after is not None:
        resp.set_header("Retry-After", str(max(1, math.ceil(retry_after))))


def reject_early(
    req: falcon.Request, resp: falcon.Response, status: int, findings: Findings, retry_after: float | None = None
) -> None:
    """Rejects a request that did not run; with an idempotency key an earlier attempt may have run (`undecided`)."""
    reject(resp, status, UNDECIDED if req.get_header("Mallow-Key") else NOT_RUN, findings, retry_after)


def client_left(req: falcon.Request) -> bool:
    """Returns whether the client has closed its connection since it sent this request."""
    handler: ConnectionHandler | None = req.env.get("mallow.handler")
    return handler is not None and handler.client_left()


def read_body(req: falcon.Request, max_bytes: int) -> memoryview | None:
    """Returns a view of the request's body, whatever its size; None if it is larger than `max_bytes`.

    Raises BodyRefusedError if the server has no room for it.
    """
    length = req.content_length
    if length is not None and length > max_bytes:
        return None
    reservation = _reserve_body(req, SMALL_BODY_BYTES if length is None else length)
    stream = req.env["wsgi.input"] if length is None else req.bounded_stream
    try:
        return body_budget.read_body(stream, length, max_bytes, reservation)
    except BodyTooLargeError:
        return None


def _reserve_body(req: falcon.Request, size: int) -> BodyReservation:
    """Reserves room at the request's server; a request without a connection has a budget of its own."""
    handler: ConnectionHandler | None = req.env.get("mallow.handler")
    budget = BodyBudget.of_memory(DEFAULT_MEMORY_MB)
    reservation = budget.reserve(size) if handler is None else handler.reserve_body(size)
    if reservation is None:
        if handler is not None:
            handler.record_refused_body()
        raise BodyRefusedError
    return reservation


def read_json(
    kind: type[Document], req: falcon.Request, resp: falcon.Response, max_bytes: int = 65536
) -> Document | None:
    """Reads the JSON body as a struct of type `kind`; on an error, sends all findings and returns None."""
    data = read_body(req, max_bytes)
    if data is None:
        reject_early(req, resp, 413, [Finding("body", f"larger than {max_bytes} bytes")])
        return None
    result = parse_json(data).and_then(lambda doc: finding.read(kind, doc))
    if isinstance(result, Err):
        reject_early(req, resp, 400, result.err_value)
        return None
    return result.ok_value


class LazyApp:
    """A WSGI application that imports falcon for the first request that needs it.

    `plain_routes` has functions by path that answer GET requests without falcon; each returns a status and a JSON body.
    """

    __slots__ = ("plain_routes", "_app", "_pending_calls")

    def __init__(self) -> None:
        """Does not load falcon yet."""
        self.plain_routes: dict[str, Callable[[], tuple[int, object]]] = {}
        self._app: falcon.App | None = None
        self._pending_calls: list[tuple[str, tuple[Any, ...], dict[str, Any]]] = []

    def add_route(self, *args: Any, **kwargs: Any) -> None:
        """Adds a route as `falcon.App.add_route` does."""
        self._add("add_route", args, kwargs)

    def add_sink(self, *args: Any, **kwargs: Any) -> None:
        """Adds a sink as `falcon.App.add_sink` does."""
        self._add("add_sink", args, kwargs)

    def _add(self, method: str, args: tuple[Any, ...], kwargs: dict[str, Any]) -> None:
        if self._app is None:
            self._pending_calls.append((method, args, kwargs))
        else:
            getattr(self._app, method)(*args, **kwargs)

    def __call__(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> Any:
        """Answers a request (WSGI)."""
        answer = self.plain_routes.get(environ["PATH_INFO"]) if environ["REQUEST_METHOD"] == "GET" else None
        if answer is None:
            return self.load()(environ, start_response)
        status, body = answer()
        data = encode(body)
        start_response(
            f"{status} {HTTPStatus(status).phrase}",
            [("Content-Type", "application/json"), ("Content-Length", str(len(data)))],
        )
        return [data]

    def load(self) -> falcon.App:
        """Returns the falcon app; the first call creates it."""
        if self._app is None:
            self._app = make_app()
            for method, args, kwargs in self._pending_calls:
                getattr(self._app, method)(*args, **kwargs)
        return self._app


def make_app() -> falcon.App:
    """Returns a falcon app that answers errors with an outcome and findings."""
    import falcon

    app = falcon.App()
    options: Any = app.resp_options
    options.default_media_type = None
    app.set_error_serializer(
        lambda req, resp, error: reject_early(req, resp, error.status_code, [Finding("request", error.title or "")])
    )
    app.add_error_handler(Exception, _handle_error)
    app.add_error_handler(BodyRefusedError, _refuse_body)
    app.add_error_handler(BrokenBodyError, _reject_broken_body)
    return app


def _refuse_body(req: falcon.Request, resp: falcon.Response, _error: Exception, _params: dict[str, Any]) -> None:
    found = [Finding("body", "no room for it just now")]
    reject_early(req, resp, HTTPStatus.SERVICE_UNAVAILABLE, found, BODY_RETRY_AFTER_S)


def _reject_broken_body(req: falcon.Request, resp: falcon.Response, _error: Exception, _params: dict[str, Any]) -> None:
    reject_early(req, resp, HTTPStatus.BAD_REQUEST, [Finding("body", "broken off or badly chunked")])


def _handle_error(req: falcon.Request, resp: falcon.Response, error: Exception, _params: dict[str, Any]) -> None:
    from falcon import HTTPError

    if isinstance(error, HTTPError):
        reject_early(req, resp, error.status_code, [Finding(req.path, error.description or error.title)])
        return
    handler: ConnectionHandler | None = req.env.get("mallow.handler")
    if handler is not None:
        handler.server.counts.add("handler_errors")
    log_handler_error(req.path, error)
    reject(resp, 500, UNKNOWN, [Finding(req.path, "internal error")])
