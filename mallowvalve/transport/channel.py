"""A node's line to one peer: the connection that `Calls` hands its frames to."""

from __future__ import annotations

import gevent
from gevent import socket
from gevent.event import AsyncResult, Event
from result import Err, Ok, Result

from mallowvalve.fault import Faults
from mallowvalve.metrics import Counts
from mallowvalve.transport.calls import CallFailure, PendingCalls
from mallowvalve.transport.frame import FrameDecoder, FrameEncoder, Hello, TransportFrame, encode_hello
from mallowvalve.types import Address

QUEUED_FRAMES_MAX = 4096
"""Frames that may wait to leave."""
BATCH = 64
"""Frames written in one call."""
READ_BYTES = 65536
DIAL_LIMIT = 1.0
REDIAL, REDIAL_MOST = 0.03, 0.25
"""The first and the longest pause (s) after a connection that could not be made; each is twice the one before."""
UNACKED_MS = 3000
"""A connection whose bytes the peer's machine did not acknowledge for so long is given up by the system."""


def set_tcp_options(sock: socket.socket) -> None:
    """Send small frames at once, and notice a silent peer."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS)


class Channel:
    """Frames to one peer in the order in which they were put; connections are made when there is something to send."""

    __slots__ = ("to", "hello", "counts", "faults", "used", "_pause", "_calls", "_wake", "_writer", "_sock", "_sealer")

    def __init__(self, to: Address, hello: Hello, counts: Counts, faults: Faults):
        """Nothing is connected before the first frame."""
        self.to = to
        self.hello = hello
        self.counts = counts
        self.faults = faults
        self.used = 0.0
        self._calls: PendingCalls[AsyncResult] = PendingCalls(QUEUED_FRAMES_MAX)
        self._pause = REDIAL
        self._wake = Event()
        self._sock: socket.socket | None = None
        self._sealer = FrameEncoder()
        self._writer = gevent.spawn(self._write)

    def cast(self, kind: str, body: bytes) -> None:
        """Sent at most once, with no answer; dropped when the queue is full or the connection is lost."""
        if self._calls.put(kind, body) is None:
            self.counts.add("transport_overflow")
        self._wake.set()

    def call(self, kind: str, body: bytes, limit: float) -> Result[bytes, CallFailure]:
        """Sent at most once; waits at most `limit` seconds for its answer."""
        waiter = AsyncResult()
        call = self._calls.put(kind, body, waiter)
        if call is None:
            self.counts.add("transport_overflow")
            return Err(CallFailure.OVERFLOW)
        self._wake.set()
        try:
            waiter.wait(timeout=limit)
        finally:
            self._calls.give_up(call)
        return waiter.value if waiter.ready() else Err(CallFailure.LIMIT)

    def close(self) -> None:
        """Drop the connection and what waits; each caller is told."""
        self._writer.kill()
        self._lost(self._calls.connection)

    def _write(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._calls:
                self._send()

    def _send(self) -> None:
        if self.faults.apart(self.hello.sender, self.to):
            self._calls.take(BATCH)
            return
        if self._sock is None and not self._dial():
            self._tell(self._calls.unreachable())
            gevent.sleep(self._pause)
            self._pause = min(2 * self._pause, REDIAL_MOST)
            return
        connection = self._calls.connection
        frames = self._calls.take(BATCH)
        if self._sock is None or not frames:
            return
        data = self._sealer.seal(frames)
        self.counts.add("transport_frames", len(frames))
        self.counts.add("transport_bytes", len(data))
        try:
            self._sock.sendall(data)
        except OSError:
            self._lost(connection)

    def _dial(self) -> bool:
        try:
            sock = socket.create_connection(self.to.pair, timeout=DIAL_LIMIT)
            sock.settimeout(None)
            set_tcp_options(sock)
            sock.sendall(encode_hello(self.hello))
        except OSError:
            return False
        self._sock = sock
        self._sealer = FrameEncoder()
        self._pause = REDIAL
        gevent.spawn(self._listen, sock, self._calls.opened())
        return True

    def _listen(self, sock: socket.socket, connection: int) -> None:
        cutter = FrameDecoder(self.hello.fleet, greeted=True)
        while True:
            try:
                data = sock.recv(READ_BYTES)
            except OSError:
                break
            frames = cutter.feed(data) if data else None
            if frames is None or frames.is_err():
                break
            for frame in frames.unwrap():
                self._answered(connection, frame)
        self._lost(connection)

    def _answered(self, connection: int, frame: TransportFrame | Hello) -> None:
        if not isinstance(frame, TransportFrame):
            return
        waiter = self._calls.answered(connection, frame)
        if waiter is None:
            self.counts.add("transport_late")
        elif not self.faults.apart(self.hello.sender, self.to):
            waiter.set(Ok(frame.body))

    def _lost(self, connection: int) -> None:
        if connection != self._calls.connection:
            return
        sock, self._sock = self._sock, None
        if sock is not None:
            sock.close()
        self._tell(self._calls.lost(connection))

    def _tell(self, failed: list[tuple[AsyncResult, CallFailure]]) -> None:
        for waiter, why in failed:
            waiter.set(Err(why))
