"""A client's HTTP connection to one of the servers, with limits on the size and duration of its requests."""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable, Iterator
from contextlib import suppress
from http import HTTPStatus
from typing import Any, Protocol, TypeAlias

import msgspec
from gevent import GreenletExit, socket
from gevent.pywsgi import WSGIHandler

from mallowvalve import clock
from mallowvalve.body_budget import BodyBudget, BodyRefusals, BodyReservation
from mallowvalve.connection_close import discard_rest
from mallowvalve.finding import Finding
from mallowvalve.http_head import RequestReader, peer_has_closed, read_head
from mallowvalve.metrics import Counts, log_event_rarely
from mallowvalve.request_body import BodyReader, make_body_reader

Socket: TypeAlias = socket.socket
OUTCOME = "Mallow-Outcome"
NOT_RUN = "not-run"
UNDECIDED = "undecided"
UNKNOWN = "unknown"
MAX_COMBINED_BYTES = 256 << 10
"""The response head and a first part of the body up to this size are sent with one call."""

MAX_TRACEBACK_CHARACTERS = 2000
DEFAULT_MAX_HEAD_BYTES = 65536
DEFAULT_HEAD_TIMEOUT_S = 30.0
DEFAULT_IDLE_S = 30.0
MIN_DISCARD_S = 1.0
"""How long the rest of a request is discarded at least, also after the request's deadline."""
DISCARD_STOP_MARGIN_S = 1.0
"""A stopping server discards until this long before its deadline: where it gets few turns, its own end takes that."""

KEEP_ALIVE_MARGIN_S = 2.0
"""The Keep-Alive timeout sent to clients is this much shorter than the idle timeout."""

encode = msgspec.json.encode


def error_response(status: HTTPStatus, outcome: str, text: str, retry_after_s: int | None = None) -> bytes:
    """Returns a complete response with a finding on the request, after which the connection is to be closed."""
    body = encode({"findings": [Finding("request", text)]})
    retry_after = "" if retry_after_s is None else f"Retry-After: {retry_after_s}\r\n"
    head = (
        f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Type: application/json\r\n{OUTCOME}: {outcome}\r\n"
        f"{retry_after}Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def log_handler_error(where: str, error: BaseException | None) -> None:
    """Logs an error of a request's handler, which is answered with 500, with the end of its traceback."""
    trace = "".join(traceback.format_exception(error))[-MAX_TRACEBACK_CHARACTERS:]
    log_event_rarely("handler_failed", where=where, error=repr(error), traceback=trace)


def refuse_connection(sock: socket.socket, end: float) -> None:
    """Answers a connection whose request is not read, and closes it, not after `end` (s, this process's clock)."""
    with sock, suppress(OSError):
        sock.sendall(error_response(HTTPStatus.SERVICE_UNAVAILABLE, UNDECIDED, "not read by a stopping process", 1))
        discard_rest(sock, lambda: end)


class RequestLimits(Protocol):
    """Limits on a request's head (bytes, ms) and on the time without a request (ms): `configuration.items.Limits`."""

    @property
    def header_bytes(self) -> int:
        """The most bytes of a head."""

    @property
    def header_ms(self) -> float:
        """How long a head may take to arrive."""

    @property
    def idle_ms(self) -> float:
        """How long a connection may be idle."""


class ConnectionServer(Protocol):
    """The server of a connection: `web.Server`, whose attributes these are."""

    counts: Counts
    connections: set[ConnectionHandler]
    draining: bool
    minimal_environ: bool
    stop_deadline: float | None
    body_budget: BodyBudget
    body_refusals: BodyRefusals
    limits: Callable[[], RequestLimits | None]
    application: Callable[..., Any]


class UnreadInput:
    """Replaces the input of a request whose rest is discarded when its connection is closed."""

    def _discard(self) -> None:
        pass


class ConnectionHandler(WSGIHandler):
    """A client's connection; each request is subject to the limits that the server has at its start.

    `busy`: a request has been received and not yet answered. `discards_rest`: what the client still sends is read and
    discarded before the close, until `discard_end` at the latest; `unread_bytes` of the request's body are left (None:
    unknown). `read_side_closed`: a draining server has shut down the reads of this connection. `opened_at` is when it
    was accepted. `body` is the room that the request's body holds. Times are in seconds on this process's clock.
    """

    discards_rest = read_side_closed = False
    discard_end: float | None = None
    unread_bytes: int | None = None
    idle_s: float | None = None
    body: BodyReservation | None = None
    body_reader: BodyReader
    socket: Socket
    wsgi_input: BodyReader | UnreadInput
    response_headers: list[tuple[bytes, bytes]]
    provided_date: str | None
    server: ConnectionServer

    def __init__(
        self, sock: Socket, address: tuple[str, int], server: ConnectionServer, rfile: RequestReader | None = None
    ):
        """Serves the connection `sock`, which is read through a `RequestReader`."""
        super().__init__(sock, address, server, rfile or RequestReader(sock))
        self.opened_at = clock.now()

    def handle(self) -> None:
        """Handles requests until either side closes the connection."""
        self.server.connections.add(self)
        self.busy = False
        try:
            while (result := self.handle_one_request()) is True:
                self.busy = False
            if result is not None:
                self.discards_rest = True
                self.socket.sendall(result)
        except OSError:
            pass
        finally:
            self.server.connections.discard(self)
            self._close()

    def handle_one_request(self) -> bytes | bool | None:
        """Returns True if another request may follow, None to close the connection, else an error response to send."""
        limits = self.server.limits()
        max_head_bytes, head_timeout_s, idle_s = DEFAULT_MAX_HEAD_BYTES, DEFAULT_HEAD_TIMEOUT_S, None
        if limits is not None:
            max_head_bytes, head_timeout_s, idle_s = (
                limits.header_bytes,
                limits.header_ms / 1000,
                limits.idle_ms / 1000,
            )
        self.idle_s, self.discard_end = idle_s, None
        try:
            if not self.rfile.wait_for_request(idle_s):
                return None
            self.busy = True
            data = self.rfile.read_head(max_head_bytes, head_timeout_s)
        except TimeoutError:
            return error_response(HTTPStatus.REQUEST_TIMEOUT, NOT_RUN, "its head took too long")
        except OSError:
            return None
        if data is None:
            return error_response(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, NOT_RUN, f"a head of over {max_head_bytes} bytes"
            )
        if not data:
            return None
        try:
            self.request = head = read_head(data)
        except ValueError:
            self.server.counts.add("web_bad_request")
            return error_response(HTTPStatus.BAD_REQUEST, UNDECIDED, "not understood as HTTP")
        self.headers, self.command, self.path, self.request_version = head, head.method, head.target, head.version
        self.requestline = head.method
        self.content_length, self.close_connection = head.length, head.close
        self.response_length = 0
        self.environ = self.get_environ()
        self.application = self.server.application
        try:
            self.handle_one_response()
        finally:
            self.release_body()
        return None if self.close_connection else True

    def reserve_body(self, size: int, wait_s: float = 0.0) -> BodyReservation | None:
        """Reserves room for the request's body until its response has been sent; None if there is none in `wait_s`."""
        self.body = self.server.body_budget.reserve(size, wait_s)
        return self.body

    def record_refused_body(self) -> None:
        """Records that there was no room for the request's body."""
        self.server.body_refusals.record(self.server.body_budget)

    def release_body(self) -> None:
        """Gives the room of the request's body back."""
        if self.body is not None:
            self.body.release()
            self.body = None

    def get_environ(self) -> dict[str, Any]:
        """Returns the WSGI environment, or a minimal one; `full_environ` returns the complete one later."""
        head = self.request
        self.body_reader = self.wsgi_input = make_body_reader(self.rfile, head)
        if not self.server.minimal_environ:
            return self.full_environ()
        return {
            "REQUEST_METHOD": head.method,
            "SERVER_PROTOCOL": head.version,
            "REMOTE_ADDR": self.client_address[0],
            "wsgi.input": self.wsgi_input,
            "mallow.target": head.target,
            "mallow.head": head,
            "mallow.handler": self,
        }

    def full_environ(self) -> dict[str, Any]:
        """Returns the complete WSGI environment."""
        environ: dict[str, Any] = super().get_environ()
        environ["wsgi.input"] = self.wsgi_input = self.body_reader
        environ["mallow.target"] = self.path
        environ["mallow.head"] = self.request
        environ["mallow.handler"] = self
        return environ

    def finalize_headers(self) -> None:
        """Sets the Connection and Keep-Alive headers; a long rest of a body ends the connection."""
        self.provided_date = self.provided_date or ""
        if not self.body_reader.may_skip():
            self.close_without_reading()
        if self.server.draining or self.close_connection:
            self.close_connection = True
            self.response_headers = [header for header in self.response_headers if header[0].lower() != b"connection"]
            self.response_headers.append((b"Connection", b"close"))
        elif self.idle_s is not None:
            self.response_headers.append(
                (b"Keep-Alive", b"timeout=%d" % max(1, int(self.idle_s - KEEP_ALIVE_MARGIN_S)))
            )
        super().finalize_headers()
        if self.command == "HEAD" and self.provided_content_length is None:
            self.response_headers = [
                header for header in self.response_headers if header[0].lower() != b"content-length"
            ]

    def _write_with_headers(self, data: bytes) -> None:
        """Sends the head together with a small body in one call."""
        self.headers_sent = True
        self.finalize_headers()
        head = b"".join(
            (b"HTTP/1.1 ", self.status, b"\r\n", *(b"%s: %s\r\n" % header for header in self.response_headers), b"\r\n")
        )
        if self.response_use_chunked or len(data) > MAX_COMBINED_BYTES:
            self._sendall(head)
            self._write(data)
            return
        self._sendall(head + data)

    def _sendall(self, data: bytes) -> None:
        sent = self.socket.send(data)
        if sent < len(data):
            self.socket.sendall(memoryview(data)[sent:])
        self.response_length += len(data)

    def _headers(self) -> Iterator[tuple[str, str]]:
        for name, value in self.headers.header_map.items():
            if "_" not in name and name not in ("content-type", "content-length"):
                yield "HTTP_" + name.replace("-", "_").upper(), value

    def _close(self) -> None:
        """Closes the connection, after an early response only once its client had the time to read it."""
        sock = self.__dict__.pop("socket")
        try:
            if self.discards_rest:
                discard_rest(sock, self._make_discard_end(), self.unread_bytes)
        except OSError:
            pass
        sock.close()
        self.__dict__.pop("rfile", None)
        self.__dict__.pop("wsgi_input", None)

    def _make_discard_end(self) -> Callable[[], float]:
        """Returns a function that returns until when the rest of a request is discarded (s, this process's clock)."""
        now = clock.now()
        if self.discard_end is None:
            end = now + (self.idle_s or DEFAULT_IDLE_S)
        else:
            end = max(self.discard_end, now + MIN_DISCARD_S)
        server = self.server
        return lambda: end if server.stop_deadline is None else min(end, server.stop_deadline - DISCARD_STOP_MARGIN_S)

    def client_left(self) -> bool:
        """Returns whether the client has closed the connection; a half-close counts too.

        This is unknown, and False, after the server has shut down its reads and while bytes of the client are unread.
        """
        return not self.rfile.buffer and not self.read_side_closed and peer_has_closed(self.socket)

    def close_without_reading(self) -> None:
        """Closes the connection after this response; what is left of the request is discarded."""
        self.discards_rest = self.close_connection = True
        self.wsgi_input = UnreadInput()
        left_bytes = self.body_reader.left_bytes
        self.unread_bytes = None if left_bytes is None else left_bytes - len(self.rfile.buffer)

    def log_request(self) -> None:
        """Logs nothing: requests are only counted."""
        pass

    def _send_error_response_if_possible(self, error_code: int) -> None:
        """Sends an error response with an outcome for a request that failed or was cut off by the end of a drain."""
        self.close_without_reading()
        if self.response_length:
            return
        error = sys.exc_info()[1]
        cut_off = isinstance(error, GreenletExit)
        if error_code == HTTPStatus.INTERNAL_SERVER_ERROR and not cut_off:
            self.server.counts.add("handler_errors")
            log_handler_error(self.path, error)
        status, outcome = (
            (504, UNDECIDED)
            if cut_off
            else (error_code, UNKNOWN if error_code == HTTPStatus.INTERNAL_SERVER_ERROR else UNDECIDED)
        )
        body = encode(
            {"outcome": outcome, "findings": [Finding("request", "cut by a stop" if cut_off else "not served")]}
        )
        head = [("Content-Type", "application/json"), (OUTCOME, outcome), ("Content-Length", str(len(body)))]
        try:
            self.start_response(f"{status} {HTTPStatus(status).phrase}", head)
            self.write(body)
        except OSError:
            self.server.counts.add("web_client_error")

    def log_error(self, msg: str, *args: object) -> None:
        """Logs nothing: errors of clients are only counted."""
        self.server.counts.add("web_client_error")
