"""A connection to an upstream of a tenant's service, which says first who it is."""

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

WHOLE = 256 << 10
SKIP = frozenset(
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


class UpstreamIdentity(msgspec.Struct):
    """What an upstream says of itself on its status path."""

    service: str
    instance: str
    incarnation: int


class StrictResponse(HTTPSocketResponse):
    """With no id in an answer, bytes after it make it doubtful whose it is: the exchange fails."""

    def _on_message_begin(self) -> None:
        if self.message_complete and self.get_code() >= OK:
            raise HTTPProtocolViolationError("bytes after the answer")
        super()._on_message_begin()


class TenantConnection:
    """One exchange at a time; opened only when the upstream that answers is the one that was meant."""

    __slots__ = ("heartbeat", "sock", "since")

    def __init__(self, heartbeat: Heartbeat, sock):
        self.heartbeat = heartbeat
        self.sock = sock
        self.since = clock.now()

    @classmethod
    def open(cls, heartbeat: Heartbeat, status: str, end: float) -> Result[TenantConnection, str]:
        left = end - clock.now()
        if left <= 0:
            return Err("limit")
        try:
            sock = socket.create_connection(heartbeat.address.pair, timeout=min(1.0, left))
        except OSError as e:
            return Err(f"unreachable: {e.strerror or e}")
        s = cls(heartbeat, sock)
        s.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        why = s._identify(status, min(end, clock.now() + 1.0))
        if why is None:
            return Ok(s)
        s.close()
        return Err(why)

    def exchange(
        self, method: str, request: bytes, end: float, client: ClientConnection | None = None
    ) -> Result[UpstreamResponse, str] | ClientLeft:
        """With `client` it ends when that one leaves."""
        return self.receive(method, end, client) if self.send(request, end) else Err("broken: not sent whole")

    def send(self, data: bytes, end: float) -> bool:
        self.sock.settimeout(max(0.001, end - clock.now()))
        try:
            self.sock.sendall(data)
        except OSError:
            return False
        return True

    def receive(
        self, method: str, end: float, client: ClientConnection | None = None
    ) -> Result[UpstreamResponse, str] | ClientLeft:
        self.sock.settimeout(max(0.001, end - clock.now()))
        source = self.sock if client is None else WatchedSocket(self.sock, client, lambda: end - clock.now())
        try:
            with gevent.Timeout(max(0.001, end - clock.now())):
                return self._receive(method, source)
        except ClientLeftError:
            return CLIENT_LEFT
        except (gevent.Timeout, TimeoutError):
            return Err("limit")
        except (HTTPParseError, ValueError) as e:
            return Err(f"garbage: {e}")
        except OSError as e:
            return Err(f"broken: {e}")

    def close(self) -> None:
        self.sock.close()

    def stale(self) -> bool:
        self.sock.setblocking(False)
        try:
            return self.sock.recv(1, socket.MSG_PEEK) is not None
        except BlockingIOError:
            return False
        except OSError as e:
            return getattr(e, "errno", None) != errno.EAGAIN
        finally:
            self.sock.setblocking(True)

    def _identify(self, path: str, end: float) -> str | None:
        if not self.send(f"GET {path} HTTP/1.1\r\nHost: {self.heartbeat.address}\r\n\r\n".encode(), end):
            return "status: not sent"
        r = self.receive("GET", end)
        if r.is_err():
            return f"status: {r.err_value}"
        a = r.ok_value
        if a.status != OK or a.body is None:
            return f"status: answered {a.status}"
        try:
            who = msgspec.json.decode(a.body, type=UpstreamIdentity)
        except msgspec.DecodeError:
            return "status: not understood"
        b = self.heartbeat
        if (who.service, who.instance, who.incarnation) != (b.service, b.instance, b.incarnation):
            return "status: another upstream answers here"
        return None if a.reusable else "status: the connection does not stay open"

    def _receive(self, method: str, source: socket.socket | WatchedSocket) -> Result[UpstreamResponse, str]:
        r = StrictResponse(source, method=method)
        if not OK <= r.status_code < NO_STATUS:
            return Err(f"garbage: status {r.status_code}")
        length, chunked = r.get("content-length"), r.get("transfer-encoding")
        bodiless = method == "HEAD" or r.status_code in (204, 304)
        if length is None and chunked is None and not bodiless:
            return Err("garbage: an answer of unknown length")
        if isinstance(length, list) or isinstance(chunked, list) or length is not None and chunked is not None:
            return Err("garbage: ambiguous length")
        headers = [(k, v) for k, v in r.headers if k.lower() not in SKIP]
        if bodiless:
            return Ok(UpstreamResponse(r.status_code, headers, b"", r.content_length, None, not r.should_close()))
        body = bytearray()
        while len(body) < WHOLE:
            part = r.read(65536)
            if not part:
                break
            body += part
        if r.message_complete and len(body) < WHOLE:
            return Ok(UpstreamResponse(r.status_code, headers, bytes(body), len(body), None, not r.should_close()))
        if len(body) < WHOLE:
            return Err("broken: half an answer")
        n = int(length) if length is not None else None
        return Ok(UpstreamResponse(r.status_code, headers, None, n, self._rest(r, bytes(body))))

    def _rest(self, r: HTTPSocketResponse, first: bytes) -> Iterator[bytes]:
        yield first
        while part := r.read(65536):
            yield bytes(part)
        if not r.message_complete:
            raise ConnectionError("the upstream broke off mid-answer")
