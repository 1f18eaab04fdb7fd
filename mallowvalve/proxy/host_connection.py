"""A connection to an upstream of a host route."""

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

DEFAULT_IDLE_LIFE_S = 4.0
"""How long an idle connection is used if its upstream sends no Keep-Alive timeout."""
CONNECT_TIMEOUT_S = 0.5
READ_BYTES = 65536


def wait_readable_or_writable(sock: socket.socket, seconds_left: float) -> tuple[bool, bool]:
    """Returns whether the socket is readable and whether it is writable; neither after `seconds_left` seconds."""
    readable, writable, _ = select.select([sock], [sock], [], max(0.0, seconds_left))
    return bool(readable), bool(writable)


class HostConnection:
    """A connection for one exchange at a time; the `expect` header of each request names the intended upstream.

    `since` is the time of its last use or opening, `life` how long it may stay idle (s). `partly_sent`: the upstream
    has not received all of a request.
    """

    __slots__ = ("heartbeat", "sock", "since", "life", "id_header", "parser", "partly_sent")

    def __init__(self, upstream: Upstream, sock, id_header: str):
        """Uses the connected socket `sock`; `id_header` is the header of the request id, in lower case."""
        self.heartbeat = upstream
        self.sock = sock
        self.id_header = id_header
        self.since = clock.now()
        self.life = DEFAULT_IDLE_LIFE_S
        self.parser: ResponseParser | None = None
        self.partly_sent = False

    @classmethod
    def open(cls, upstream: Upstream, id_header: str, end: float) -> Result[HostConnection, str]:
        """Connects until the deadline `end`; an error is `limit` after it, else `unreachable: ...`."""
        seconds_left = end - clock.now()
        if seconds_left <= 0:
            return Err("limit")
        try:
            sock = socket.create_connection(upstream.address.pair, timeout=min(CONNECT_TIMEOUT_S, seconds_left))
        except OSError as error:
            return Err(f"unreachable: {error.strerror or error}")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Ok(cls(upstream, sock, id_header))

    def exchange(
        self,
        method: str,
        request: bytes,
        end: float,
        request_id: str,
        client: ClientConnection | None = None,
        body: bytes | memoryview = b"",
    ) -> Result[UpstreamResponse, str] | ClientLeft:
        """Sends a request, with `body` behind it, and receives its response; given `client`, stops once that has left.

        The error begins with `unsent` only if no byte of the request was sent.
        """
        sock = self.sock
        sock.settimeout(max(0.001, end - clock.now()))
        try:
            sent = sock.send(request)
        except OSError as error:
            return Err(f"unsent: {error}")
        self.parser = ResponseParser(method, self.id_header if request_id else "", request_id)
        for rest in (memoryview(request)[sent:], memoryview(body)):
            if not rest:
                continue
            self.partly_sent = True
            failure = self._send_rest(rest, end)
            if failure is not None:
                return Err(failure)
            if self.partly_sent:
                break
        return self.receive(end, client)

    def _send_rest(self, rest: memoryview, end: float) -> str | None:
        """Sends the rest of a request unless a response comes first; returns the reason of a failure.

        An upstream that responds early may stop reading, or reset the connection after its response: the response
        counts.
        """
        parser = self.parser
        while rest:
            readable, writable = wait_readable_or_writable(self.sock, end - clock.now())
            if not readable and not writable:
                return "broken: not sent whole within the limit"
            if not readable:
                try:
                    rest = rest[self.sock.send(rest) :]
                except OSError:
                    return None
                continue
            try:
                parser.receive(self.sock.recv(READ_BYTES))
            except OSError as error:
                return f"broken: {error}"
            if parser.error or parser.complete or parser.must_stream():
                return parser.error or None
        self.partly_sent = False
        return None

    def receive(self, end: float, client: ClientConnection | None = None) -> Result[UpstreamResponse, str] | ClientLeft:
        """Receives the response to the request sent last; after the error `limit` it can be called again.

        Given `client`, it stops once the client has left.
        """
        sock, parser = self.sock, self.parser
        try:
            while not parser.complete:
                if (seconds_left := end - clock.now()) <= 0:
                    return Err("limit")
                self._wait(seconds_left, client, parser)
                parser.receive(sock.recv(READ_BYTES))
                if parser.error:
                    return Err(parser.error)
                if parser.must_stream():
                    return Ok(
                        UpstreamResponse(
                            parser.status,
                            parser.headers,
                            None,
                            parser.content_length(),
                            self._stream(parser, end, client),
                            False,
                            parser.header_map,
                        )
                    )
        except ClientLeftError:
            return CLIENT_LEFT
        except TimeoutError:
            return Err("limit")
        except OSError as error:
            return Err(f"broken: {error}")
        self.parser = None
        self._set_life(parser.header_map.get("keep-alive", ""))
        reusable = parser.reusable and not self.partly_sent
        return Ok(
            UpstreamResponse(
                parser.status,
                parser.headers,
                bytes(parser.body),
                parser.content_length() if parser.has_no_body else len(parser.body),
                None,
                reusable,
                parser.header_map,
            )
        )

    def close(self) -> None:
        """Closes the connection."""
        self.sock.close()

    def stale(self) -> bool:
        """Returns whether the connection has ended, or has received unexpected bytes."""
        self.sock.settimeout(0.0)
        try:
            return self.sock.recv(1, socket.MSG_PEEK) is not None
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _set_life(self, keep_alive: str) -> None:
        """Sets the idle life from a Keep-Alive header: a second less than its timeout, at most 60 s."""
        for part in keep_alive.split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                self.life = min(60.0, max(0.0, int(value) - 1.0))

    def _wait(self, seconds: float, client: ClientConnection | None, parser: ResponseParser) -> None:
        """Waits for bytes of the response.

        Raises ClientLeftError if the client leaves first, TimeoutError after `seconds` seconds.
        """
        if client is None:
            self.sock.settimeout(seconds)
            if not parser.started:
                wait_until_readable(self.sock)
            return
        result = wait_for_bytes(self.sock, client, seconds)
        if result is WaitResult.CLIENT_LEFT:
            raise ClientLeftError("the client closed its connection")
        if result is WaitResult.TIMED_OUT:
            raise TimeoutError("the upstream sent nothing before the deadline")

    def _stream(self, parser: ResponseParser, end: float, client: ClientConnection | None) -> Iterator[bytes]:
        yield parser.drain()
        while not parser.complete:
            self._wait(max(0.001, end - clock.now()), client, parser)
            parser.receive(self.sock.recv(READ_BYTES))
            if parser.error:
                raise ConnectionError("the upstream closed the connection before the end of its response")
            if parser.body:
                yield parser.drain()
