"""Closes a connection after an early response such that its client can read the response."""

from __future__ import annotations

from collections.abc import Callable

from gevent import socket

from mallowvalve import clock

DISCARDED_PART_BYTES = 64 << 10
FURTHER_REQUESTS_S = 0.3
"""How long bytes behind the request, such as a request sent ahead, are discarded too."""

END_POLL_S = 0.25
"""How often the end of the wait is computed anew: a stop moves it."""


def discard_rest(sock: socket.socket, end: Callable[[], float], unread_bytes: int | None = None) -> None:
    """Ends the sending side, then discards what the client still sends: unread bytes would reset the connection.

    A reset makes the client's next send fail, or discards the response, before the client has read it. This returns
    once the client has closed its side, `FURTHER_REQUESTS_S` after `unread_bytes` have arrived (None: the length of the
    rest is unknown), or at the time that `end` returns (s, this process's clock). Raises OSError if the connection
    breaks.
    """
    sock.shutdown(socket.SHUT_WR)
    left_bytes = unread_bytes
    while left_bytes is None or left_bytes > 0:
        data = _receive(sock, end)
        if not data:
            return
        if left_bytes is not None:
            left_bytes -= len(data)
    further_end = clock.now() + FURTHER_REQUESTS_S
    while _receive(sock, lambda: min(further_end, end())):
        pass


def _receive(sock: socket.socket, end: Callable[[], float]) -> bytes:
    """Returns received bytes; none at the end of the connection, or of the time."""
    while (seconds_left := end() - clock.now()) > 0:
        sock.settimeout(min(seconds_left, END_POLL_S))
        try:
            data: bytes = sock.recv(DISCARDED_PART_BYTES)
        except TimeoutError:
            continue
        return data
    return b""
