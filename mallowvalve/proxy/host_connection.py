"""A connection to an upstream of a host route."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum

from gevent import socket
from result import Err, Ok, Result

from mallowvalve import clock
from mallowvalve.body_budget import BodyTooLargeError
from mallowvalve.client_watch import ClientConnection, ClientLeftError, WaitResult, wait_for_bytes, wait_for_first
from mallowvalve.http_head import peek, wait_until_readable
from mallowvalve.proxy.request_body_stream import RequestBodyStream
from mallowvalve.proxy.response_parser import ResponseParser
from mallowvalve.proxy.steps import (
    BAD_REQUEST,
    CLIENT_LEFT,
    GATEWAY_TIMEOUT,
    TOO_LARGE,
    ClientLeft,
    RequestBodyFailed,
    UpstreamResponse,
)
from mallowvalve.request_body import BrokenBodyError
from mallowvalve.upstreams.registry import Upstream

DEFAULT_IDLE_LIFE_S = 4.0
"""How long an idle connection is used if its upstream sends no Keep-Alive timeout."""
CONNECT_TIMEOUT_S = 0.5
READ_BYTES = 65536


class SendEvent(Enum):
    """What a request that is being sent waits for."""

    RESPONSE = "the upstream has sent something"
    WRITABLE = "the upstream takes more"
    CLIENT = "the client has sent something"


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
        stream: RequestBodyStream | None = None,
    ) -> Result[UpstreamResponse, str] | ClientLeft | RequestBodyFailed:
        """Sends a request, with `body` and what `stream` brings behind it, and receives its response.

        Given `client`, it stops waiting for the response once that has left. The error begins with `unsent` only if no
        byte of the request was sent.
        """
        sock = self.sock
        sock.settimeout(max(0.001, end - clock.now()))
        try:
            sent = sock.send(request)
        except OSError as error:
            return Err(f"unsent: {error}")
        self.parser = ResponseParser(method, self.id_header if request_id else "", request_id)
        for rest, source in ((memoryview(request)[sent:], None), (memoryview(body), stream)):
            if not rest and source is None:
                continue
            self.partly_sent = True
            failure = self._send_rest(rest, end, source)
            if failure is not None:
                return failure
            if self.partly_sent:
                break
        return self.receive(end, client)

    def _send_rest(
        self, rest: memoryview, end: float, source: RequestBodyStream | None
    ) -> Err[str] | RequestBodyFailed | None:
        """Sends `rest`, then what `source` brings, unless a response comes first; returns the failure, if any.

        An upstream that responds early may stop reading, or reset the connection after its response: the response
        counts. No more is taken from the client than the upstream takes.
        """
        while True:
            if not rest and source is not None:
                try:
                    rest = memoryview(source.next_part(READ_BYTES))
                except (BodyTooLargeError, BrokenBodyError) as error:
                    return _body_failure(error)
            if not rest and (source is None or source.complete):
                self.partly_sent = False
                return None
            event = self._wait_to_send(source if not rest else None, end)
            try:
                match event:
                    case SendEvent.RESPONSE if self._response_has_begun():
                        return Err(self.parser.error) if self.parser.error else None
                    case SendEvent.WRITABLE:
                        rest = rest[self.sock.send(rest) :]
                    case SendEvent.CLIENT:
                        source.reader.receive(READ_BYTES)
                    case None if rest:
                        return Err("broken: not sent whole within the limit")
                    case None:
                        return RequestBodyFailed(GATEWAY_TIMEOUT, "did not arrive within the limit")
            except OSError as error:
                if event is SendEvent.CLIENT:
                    return _body_failure(error)
                return Err(f"broken: {error}") if event is SendEvent.RESPONSE else None

    def _wait_to_send(self, source: RequestBodyStream | None, end: float) -> SendEvent | None:
        """Waits for the client if `source` is given, else until the upstream takes more; None after `end`."""
        if peek(self.sock) is not None:
            return SendEvent.RESPONSE
        events = [(self.sock._read_event, SendEvent.RESPONSE)]
        if source is None:
            events.append((self.sock._write_event, SendEvent.WRITABLE))
        else:
            events.append((source.reader.sock._read_event, SendEvent.CLIENT))
        return wait_for_first(events, end - clock.now())

    def _response_has_begun(self) -> bool:
        """Receives bytes of the upstream; returns whether no more of the request is to be sent."""
        parser = self.parser
        parser.receive(self.sock.recv(READ_BYTES))
        return bool(parser.error) or parser.complete or parser.must_stream()

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


def _body_failure(error: Exception) -> RequestBodyFailed:
    if isinstance(error, BodyTooLargeError):
        return RequestBodyFailed(TOO_LARGE, "larger than the limit on bodies")
    return RequestBodyFailed(BAD_REQUEST, f"broken off or badly chunked: {error}")
