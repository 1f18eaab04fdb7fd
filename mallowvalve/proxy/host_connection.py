"""A connection to an upstream of a host route: one exchange at a time over a socket."""

from __future__ import annotations

from collections.abc import Iterator

from gevent import select, socket
from result import Err, Ok, Result

from mallowvalve import clock
from mallowvalve.client_watch import ClientConnection, ClientLeftError, WaitResult, wait_for_bytes
from mallowvalve.http_head import wait_until_readable
from mallowvalve.proxy.response_parser import ResponseParser
from mallowvalve.proxy.steps import CLIENT_LEFT, ClientLeft, UpstreamResponse
from mallowvalve.upstreams.registry import Upstream

LIFE = 4.0
CONNECT = 0.5
READ_BYTES = 65536


def wait_either(sock: socket.socket, left: float) -> tuple[bool, bool]:
    """Whether there is something to read, and room to write; neither when `left` seconds are over."""
    readable, writable, _ = select.select([sock], [sock], [], max(0.0, left))
    return bool(readable), bool(writable)


class HostConnection:
    """A connection to an upstream of a host route, which is checked by the `expect` header of each request."""

    __slots__ = ("heartbeat", "sock", "since", "life", "mark", "reader", "cut_off")

    def __init__(self, up: Upstream, sock, mark: str):
        self.heartbeat = up
        self.sock = sock
        self.mark = mark
        self.since = clock.now()
        self.life = LIFE
        self.reader: ResponseParser | None = None
        self.cut_off = False

    @classmethod
    def open(cls, up: Upstream, mark: str, end: float) -> Result[HostConnection, str]:
        left = end - clock.now()
        if left <= 0:
            return Err("limit")
        try:
            sock = socket.create_connection(up.address.pair, timeout=min(CONNECT, left))
        except OSError as e:
            return Err(f"unreachable: {e.strerror or e}")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Ok(cls(up, sock, mark))

    def exchange(
        self, method: str, request: bytes, end: float, ask: str, client: ClientConnection | None = None
    ) -> Result[UpstreamResponse, str] | ClientLeft:
        """Err begins with `unsent` only when no byte of the request has left; with `client`, ends when it leaves."""
        sock = self.sock
        sock.settimeout(max(0.001, end - clock.now()))
        try:
            n = sock.send(request)
        except OSError as e:
            return Err(f"unsent: {e}")
        self.reader = ResponseParser(method, self.mark if ask else "", ask)
        if n < len(request):
            self.cut_off = True
            broken = self._send_rest(memoryview(request)[n:], end)
            if broken is not None:
                return Err(broken)
        return self.receive(end, client)

    def _send_rest(self, rest: memoryview, end: float) -> str | None:
        """Send on while nothing comes back; why that failed.

        An upstream that answers early may read no more, or reset the connection after its answer: the answer counts.
        """
        reader = self.reader
        while rest:
            readable, writable = wait_either(self.sock, end - clock.now())
            if not readable and not writable:
                return "broken: not sent whole within the limit"
            if not readable:
                try:
                    rest = rest[self.sock.send(rest) :]
                except OSError:
                    return None
                continue
            try:
                reader.receive(self.sock.recv(READ_BYTES))
            except OSError as e:
                return f"broken: {e}"
            if reader.why or reader.done or reader.large():
                return reader.why or None
        self.cut_off = False
        return None

    def receive(self, end: float, client: ClientConnection | None = None) -> Result[UpstreamResponse, str] | ClientLeft:
        """The answer to what was sent; after Err `limit` one may go on waiting for it. `client` as for `exchange`."""
        sock, r = self.sock, self.reader
        try:
            while not r.done:
                if (left := end - clock.now()) <= 0:
                    return Err("limit")
                self._wait(left, client, r)
                r.receive(sock.recv(READ_BYTES))
                if r.why:
                    return Err(r.why)
                if r.large():
                    return Ok(
                        UpstreamResponse(
                            r.status, r.headers, None, r.length(), self._rest(r, end, client), False, r.header_map
                        )
                    )
        except ClientLeftError:
            return CLIENT_LEFT
        except TimeoutError:
            return Err("limit")
        except OSError as e:
            return Err(f"broken: {e}")
        self.reader = None
        self._note_life(r.header_map.get("keep-alive", ""))
        keep = r.reusable and not self.cut_off
        return Ok(
            UpstreamResponse(
                r.status, r.headers, bytes(r.body), r.length() if r.bodiless else len(r.body), None, keep, r.header_map
            )
        )

    def close(self) -> None:
        self.sock.close()

    def stale(self) -> bool:
        self.sock.settimeout(0.0)
        try:
            return self.sock.recv(1, socket.MSG_PEEK) is not None
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _note_life(self, text: str) -> None:
        for part in text.split(","):
            k, _, v = part.strip().partition("=")
            if k.lower() == "timeout" and v.isdigit():
                self.life = min(60.0, max(0.0, int(v) - 1.0))

    def _wait(self, seconds: float, client: ClientConnection | None, reader: ResponseParser) -> None:
        """Wait for bytes; raises ClientLeftError when the client leaves first, TimeoutError when the time is over."""
        if client is None:
            self.sock.settimeout(seconds)
            if not reader.begun:
                wait_until_readable(self.sock)
            return
        happened = wait_for_bytes(self.sock, client, seconds)
        if happened is WaitResult.CLIENT_LEFT:
            raise ClientLeftError("the client has left")
        if happened is WaitResult.TIMED_OUT:
            raise TimeoutError("the upstream said nothing in time")

    def _rest(self, r: ResponseParser, end: float, client: ClientConnection | None) -> Iterator[bytes]:
        yield r.drain()
        while not r.done:
            self._wait(max(0.001, end - clock.now()), client, r)
            r.receive(self.sock.recv(READ_BYTES))
            if r.why:
                raise ConnectionError("the upstream broke off mid-answer")
            if r.body:
                yield r.drain()
