"""Waits for bytes of an upstream and, at the same time, for the client of the request to close its connection."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol

from gevent import get_hub, socket
from gevent.hub import Waiter

from mallowvalve.http_head import peek


class ClientConnection(Protocol):
    """A client's connection while one of its requests is served."""

    socket: socket.socket

    def client_left(self) -> bool:
        """Returns whether the client is known to have closed the connection; consumes no bytes."""


class WaitResult(Enum):
    """The event that ended a wait."""

    READABLE = "there is something to read"
    CLIENT_LEFT = "the client has ended its connection"
    TIMED_OUT = "neither within the time"


class ClientLeftError(ConnectionError):
    """Raised while an upstream's response is received, once the client has closed its connection."""


def wait_for_first(events: list[tuple[Any, Any]], seconds: float) -> Any:
    """Waits until one of some watchers fires, for at most `seconds`; returns the value beside it, None after the time.

    Unlike `select`, this works with any number of open descriptors, and lets other greenlets run first.
    """
    hub = get_hub()
    waiter = Waiter(hub)
    timer = hub.loop.timer(max(0.0, seconds))
    try:
        for watcher, value in events:
            watcher.start(waiter.switch, value)
        timer.start(waiter.switch, None)
        return waiter.get()
    finally:
        for watcher, _ in events:
            watcher.stop()
        timer.stop()
        timer.close()


def wait_for_bytes(upstream: socket.socket, client: ClientConnection, seconds: float) -> WaitResult:
    """Waits until the upstream has sent bytes or the client has left, for at most `seconds`.

    A client that has sent bytes after its request counts as present, whatever it does after them. Bytes of the
    upstream count even after the timeout: a process that was suspended finds both at once.
    """
    hub = get_hub()
    waiter = Waiter(hub)
    readable, client_event = upstream._read_event, client.socket._read_event
    timer = hub.loop.timer(max(0.0, seconds))
    try:
        readable.start(waiter.switch, WaitResult.READABLE)
        client_event.start(waiter.switch, WaitResult.CLIENT_LEFT)
        timer.start(waiter.switch, WaitResult.TIMED_OUT)
        result: WaitResult = waiter.get()
        if result is WaitResult.CLIENT_LEFT and not client.client_left():
            client_event.stop()
            waiter.clear()
            result = waiter.get()
        if result is WaitResult.TIMED_OUT and peek(upstream) is not None:
            return WaitResult.READABLE
        return result
    finally:
        readable.stop()
        client_event.stop()
        timer.stop()
        timer.close()


class WatchedSocket:
    """An upstream's socket whose reads end once the client has left; for libraries that read from a socket."""

    __slots__ = ("_socket", "_client", "_seconds_left")

    def __init__(self, upstream: socket.socket, client: ClientConnection, seconds_left: Callable[[], float]):
        """`seconds_left()` returns how long a read may wait."""
        self._socket, self._client, self._seconds_left = upstream, client, seconds_left

    def recv(self, size: int) -> bytes:
        """Receives bytes; raises ClientLeftError if the client leaves first, TimeoutError after `seconds_left()`."""
        match wait_for_bytes(self._socket, self._client, self._seconds_left()):
            case WaitResult.CLIENT_LEFT:
                raise ClientLeftError("the client closed its connection")
            case WaitResult.TIMED_OUT:
                raise TimeoutError("the upstream sent nothing before the deadline")
        data: bytes = self._socket.recv(size)
        return data

    def close(self) -> None:
        """Closes the upstream's socket."""
        self._socket.close()
