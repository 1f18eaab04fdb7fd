"""A connection to an upstream of a tenant's service, with a check of the upstream's identity when it is opened."""

from __future__ import annotations

import errno
from collections.abc import Iterator

import gevent
import msgspec
from gevent import socket
from geventhttpclient.response import HTTPParseError, HTTPProtocolViolationError, HTTPSocketResponse
from result import Err, Ok, Result

from mallowvalve import clock
from mallowvalve.client_watch import ClientConnection, ClientLeftError, WatchedSocket
from mallowvalve.proxy.steps import CLIENT_LEFT, NO_STATUS, OK, ClientLeft, UpstreamResponse
from mallowvalve.upstreams.board import Heartbeat

MAX_BUFFERED_BODY_BYTES = 256 << 10
"""A body of this size or more is streamed to the client instead of buffered."""
UNFORWARDED_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "proxy-connection",
        "content-length",
        "mallow-outcome",
        "server",
        "date",
    )
)
"""Response headers that are not forwarded to the client."""


class UpstreamIdentity(msgspec.Struct):
    """The identity that an upstream reports at its status path."""

    service: str
    instance: str
    incarnation: int


class StrictResponse(HTTPSocketResponse):
    """A response that must be the last on its connection so far; bytes after it fail the exchange.

    Tenants' responses carry no request id, so after extra bytes it is uncertain which response belongs to the request.
    """

    def _on_message_begin(self) -> None:
        if self.message_complete and self.get_code() >= OK:
            raise HTTPProtocolViolationError("extra bytes after the response")
        super()._on_message_begin()


class TenantConnection:
    """A connection for one exchange at a time, opened only to the upstream of the given heartbeat.

    `since` is the time of its opening or of its return to the idle connections (s).
    """

    __slots__ = ("heartbeat", "sock", "since")

    def __init__(self, heartbeat: Heartbeat, sock):
        """Uses the connected socket `sock`; `open` creates checked connections."""
        self.heartbeat = heartbeat
        self.sock = sock
        self.since = clock.now()

    @classmethod
    def open(cls, heartbeat: Heartbeat, status_path: str, end: float) -> Result[TenantConnection, str]:
        """Connects and checks the upstream's identity at `status_path` until the deadline `end`."""
        seconds_left = end - clock.now()
        if seconds_left <= 0:
            return Err("limit")
        try:
            sock = socket.create_connection(heartbeat.address.pair, timeout=min(1.0, seconds_left))
        except OSError as error:
            return Err(f"unreachable: {error.strerror or error}")
        connection = cls(heartbeat, sock)
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        failure = connection._identify(status_path, min(end, clock.now() + 1.0))
        if failure is None:
            return Ok(connection)
        connection.close()
        return Err(failure)

    def exchange(
        self, method: str, request: bytes, end: float, client: ClientConnection | None = None
    ) -> Result[UpstreamResponse, str] | ClientLeft:
        """Sends a request and receives its response; given `client`, stops once the client has left."""
        return self.receive(method, end, client) if self.send(request, end) else Err("broken: request not sent")

    def send(self, data: bytes, end: float) -> bool:
        """Sends all of `data` and returns whether that succeeded before the deadline `end`."""
        self.sock.settimeout(max(0.001, end - clock.now()))
        try:
            self.sock.sendall(data)
        except OSError:
            return False
        return True

    def receive(
        self, method: str, end: float, client: ClientConnection | None = None
    ) -> Result[UpstreamResponse, str] | ClientLeft:
        """Receives a response; an error is `limit` after the deadline `end`, else `garbage: ...` or `broken: ...`."""
        self.sock.settimeout(max(0.001, end - clock.now()))
        source = self.sock if client is None else WatchedSocket(self.sock, client, lambda: end - clock.now())
        try:
            with gevent.Timeout(max(0.001, end - clock.now())):
                return self._receive(method, source)
        except ClientLeftError:
            return CLIENT_LEFT
        except (gevent.Timeout, TimeoutError):
            return Err("limit")
        except (HTTPParseError, ValueError) as error:
            return Err(f"garbage: {error}")
        except OSError as error:
            return Err(f"broken: {error}")

    def close(self) -> None:
        """Closes the connection."""
        self.sock.close()

    def stale(self) -> bool:
        """Returns whether the connection has ended, or has received unexpected bytes."""
        self.sock.setblocking(False)
        try:
            return self.sock.recv(1, socket.MSG_PEEK) is not None
        except BlockingIOError:
            return False
        except OSError as error:
            return getattr(error, "errno", None) != errno.EAGAIN
        finally:
            self.sock.setblocking(True)

    def _identify(self, status_path: str, end: float) -> str | None:
        """Checks the upstream's identity; returns the reason of a failure, else None."""
        if not self.send(f"GET {status_path} HTTP/1.1\r\nHost: {self.heartbeat.address}\r\n\r\n".encode(), end):
            return "status: request not sent"
        result = self.receive("GET", end)
        if result.is_err():
            return f"status: {result.err_value}"
        response = result.ok_value
        if response.status != OK or response.body is None:
            return f"status: answered {response.status}"
        try:
            identity = msgspec.json.decode(response.body, type=UpstreamIdentity)
        except msgspec.DecodeError:
            return "status: malformed identity"
        expected = self.heartbeat
        if (identity.service, identity.instance, identity.incarnation) != (
            expected.service,
            expected.instance,
            expected.incarnation,
        ):
            return "status: another upstream answers at this address"
        return None if response.reusable else "status: the upstream does not keep the connection open"

    def _receive(self, method: str, source: socket.socket | WatchedSocket) -> Result[UpstreamResponse, str]:
        response = StrictResponse(source, method=method)
        if not OK <= response.status_code < NO_STATUS:
            return Err(f"garbage: status {response.status_code}")
        length, chunked = response.get("content-length"), response.get("transfer-encoding")
        has_no_body = method == "HEAD" or response.status_code in (204, 304)
        if length is None and chunked is None and not has_no_body:
            return Err("garbage: neither Content-Length nor Transfer-Encoding")
        if isinstance(length, list) or isinstance(chunked, list) or length is not None and chunked is not None:
            return Err("garbage: ambiguous message framing")
        headers = [(name, value) for name, value in response.headers if name.lower() not in UNFORWARDED_HEADERS]
        if has_no_body:
            return Ok(
                UpstreamResponse(
                    response.status_code, headers, b"", response.content_length, None, not response.should_close()
                )
            )
        body = bytearray()
        while len(body) < MAX_BUFFERED_BODY_BYTES:
            part = response.read(65536)
            if not part:
                break
            body += part
        if response.message_complete and len(body) < MAX_BUFFERED_BODY_BYTES:
            return Ok(
                UpstreamResponse(
                    response.status_code, headers, bytes(body), len(body), None, not response.should_close()
                )
            )
        if len(body) < MAX_BUFFERED_BODY_BYTES:
            return Err("broken: incomplete response")
        content_length = int(length) if length is not None else None
        return Ok(
            UpstreamResponse(response.status_code, headers, None, content_length, self._stream(response, bytes(body)))
        )

    def _stream(self, response: HTTPSocketResponse, first: bytes) -> Iterator[bytes]:
        yield first
        while part := response.read(65536):
            yield bytes(part)
        if not response.message_complete:
            raise ConnectionError("the upstream closed the connection before the end of its response")
