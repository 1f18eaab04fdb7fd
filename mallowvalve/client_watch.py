"""One wait on both sides of a request: for its upstream's bytes, and for its client's leaving."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from gevent import get_hub, socket
from gevent.hub import Waiter

from mallowvalve.http_head import peek


class ClientConnection(Protocol):
    """A client's connection, of which a request is being served."""

    socket: socket.socket

    def client_left(self) -> bool:
        """Whether the client has ended the connection, as far as this machine knows; reads nothing off it."""


class WaitResult(Enum):
    """What a wait ended with."""

    READABLE = "there is something to read"
    CLIENT_LEFT = "the client has ended its connection"
    TIMED_OUT = "neither within the time"


class ClientLeftError(ConnectionError):
    """Raised in the midst of an answer whose client has ended its connection."""


def wait_for_bytes(upstream: socket.socket, client: ClientConnection, seconds: float) -> WaitResult:
    """Wait until the upstream has sent something or the client has left, for so many seconds.

    A client that has sent more after its request is taken for one that waits, whatever it does behind those bytes.
    What the upstream has sent counts also when the time is over: a process that stood still finds both at once.
    """
    hub = get_hub()
    waiter = Waiter(hub)
    readable, touched = upstream._read_event, client.socket._read_event
    timer = hub.loop.timer(max(0.0, seconds))
    try:
        readable.start(waiter.switch, WaitResult.READABLE)
        touched.start(waiter.switch, WaitResult.CLIENT_LEFT)
        timer.start(waiter.switch, WaitResult.TIMED_OUT)
        happened = waiter.get()
        if happened is WaitResult.CLIENT_LEFT and not client.client_left():
            touched.stop()
            waiter.clear()
            happened = waiter.get()
        if happened is WaitResult.TIMED_OUT and peek(upstream) is not None:
            return WaitResult.READABLE
        return happened
    finally:
        readable.stop()
        touched.stop()
        timer.stop()
        timer.close()


class WatchedSocket:
    """An upstream's socket for a library that reads from it: its reads end when the client leaves."""

    __slots__ = ("_socket", "_client", "_seconds_left")

    def __init__(self, upstream: socket.socket, client: ClientConnection, seconds_left):
        """`seconds_left()` tells for how long a read may wait (s)."""
        self._socket, self._client, self._seconds_left = upstream, client, seconds_left

    def recv(self, size: int) -> bytes:
        """As a socket's; raises ClientLeftError when the client leaves first, TimeoutError when the time is over."""
        match wait_for_bytes(self._socket, self._client, self._seconds_left()):
            case WaitResult.CLIENT_LEFT:
                raise ClientLeftError("the client has left")
            case WaitResult.TIMED_OUT:
                raise TimeoutError("the upstream said nothing in time")
        return self._socket.recv(size)

    def close(self) -> None:
        """Close the upstream's socket."""
        self._socket.close()
