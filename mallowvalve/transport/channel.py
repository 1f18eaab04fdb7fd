"""The channel to one peer: owns the connection to which `PendingCalls` supplies the frames."""

from __future__ import annotations

import gevent
from gevent import socket
from gevent.event import AsyncResult, Event
from result import Err, Ok, Result

from mallowvalve.fault import InjectedFaults
from mallowvalve.metrics import Counts
from mallowvalve.transport.calls import CallFailure, PendingCalls
from mallowvalve.transport.frame import FrameDecoder, FrameEncoder, Hello, TransportFrame, encode_hello
from mallowvalve.types import Address

QUEUED_FRAMES_MAX = 4096
"""The maximum number of queued frames."""
WRITE_FRAMES_MAX = 64
"""The maximum number of frames in one write."""
READ_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0
RECONNECT_PAUSE_MIN_S = 0.03
"""The pause after the first failed connection attempt; it doubles with each further one."""
RECONNECT_PAUSE_MAX_S = 0.25
TCP_USER_TIMEOUT_MS = 3000
"""The system closes a connection whose data the peer's machine does not acknowledge for this long."""


def set_tcp_options(sock: socket.socket) -> None:
    """Sends small frames without delay, and bounds the time until an unresponsive peer is detected."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


class Channel:
    """Sends frames to one peer in the order in which they were queued, and connects when there is one to send."""

    __slots__ = (
        "to",
        "hello",
        "counts",
        "faults",
        "last_used",
        "_reconnect_pause_s",
        "_pending",
        "_wake",
        "_writer",
        "_socket",
        "_encoder",
    )

    def __init__(self, to: Address, hello: Hello, counts: Counts, faults: InjectedFaults):
        """Creates a channel that connects with the first frame."""
        self.to = to
        self.hello = hello
        self.counts = counts
        self.faults = faults
        self.last_used = 0.0
        self._pending: PendingCalls[AsyncResult] = PendingCalls(QUEUED_FRAMES_MAX)
        self._reconnect_pause_s = RECONNECT_PAUSE_MIN_S
        self._wake = Event()
        self._socket: socket.socket | None = None
        self._encoder = FrameEncoder()
        self._writer = gevent.spawn(self._run_writer)

    def cast(self, kind: str, body: bytes) -> None:
        """Sends a one-way message at most once; drops it if the queue is full or the connection is lost."""
        if self._pending.enqueue(kind, body) is None:
            self.counts.add("transport_overflow")
        self._wake.set()

    def call(self, kind: str, body: bytes, limit: float) -> Result[bytes, CallFailure]:
        """Sends a call at most once, and waits at most `limit` seconds for its response."""
        waiter = AsyncResult()
        call_id = self._pending.enqueue(kind, body, waiter)
        if call_id is None:
            self.counts.add("transport_overflow")
            return Err(CallFailure.OVERFLOW)
        self._wake.set()
        try:
            waiter.wait(timeout=limit)
        finally:
            self._pending.cancel(call_id)
        return waiter.value if waiter.ready() else Err(CallFailure.LIMIT)

    def close(self) -> None:
        """Closes the connection and fails all pending calls."""
        self._writer.kill()
        self._connection_lost(self._pending.connection)

    def _run_writer(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._pending:
                self._send_batch()

    def _send_batch(self) -> None:
        if self.faults.cuts_stream(self.hello.sender, self.to):
            self._pending.dequeue(WRITE_FRAMES_MAX)
            return
        if self._socket is None and not self._connect():
            self._fail_calls(self._pending.peer_unreachable())
            gevent.sleep(self._reconnect_pause_s)
            self._reconnect_pause_s = min(2 * self._reconnect_pause_s, RECONNECT_PAUSE_MAX_S)
            return
        connection = self._pending.connection
        frames = self._pending.dequeue(WRITE_FRAMES_MAX)
        if self._socket is None or not frames:
            return
        data = self._encoder.encode(frames)
        self.counts.add("transport_frames", len(frames))
        self.counts.add("transport_bytes", len(data))
        try:
            self._socket.sendall(data)
        except OSError:
            self._connection_lost(connection)

    def _connect(self) -> bool:
        if not self.to.is_valid:
            return False
        try:
            sock = socket.create_connection(self.to.pair, timeout=CONNECT_TIMEOUT_S)
            sock.settimeout(None)
            set_tcp_options(sock)
            sock.sendall(encode_hello(self.hello))
        except OSError:
            return False
        self._socket = sock
        self._encoder = FrameEncoder()
        self._reconnect_pause_s = RECONNECT_PAUSE_MIN_S
        gevent.spawn(self._read_responses, sock, self._pending.connection_opened())
        return True

    def _read_responses(self, sock: socket.socket, connection: int) -> None:
        decoder = FrameDecoder(self.hello.fleet, hello_received=True)
        while True:
            try:
                data = sock.recv(READ_BYTES)
            except OSError:
                break
            frames = decoder.feed(data) if data else None
            if frames is None or frames.is_err():
                break
            for frame in frames.unwrap():
                self._deliver_response(connection, frame)
        self._connection_lost(connection)

    def _deliver_response(self, connection: int, frame: TransportFrame | Hello) -> None:
        if not isinstance(frame, TransportFrame):
            return
        waiter = self._pending.match_response(connection, frame)
        if waiter is None:
            self.counts.add("transport_late")
        elif not self.faults.cuts_stream(self.hello.sender, self.to):
            waiter.set(Ok(frame.body))

    def _connection_lost(self, connection: int) -> None:
        if connection != self._pending.connection:
            return
        sock, self._socket = self._socket, None
        if sock is not None:
            sock.close()
        self._fail_calls(self._pending.connection_lost(connection))

    def _fail_calls(self, failed: list[tuple[AsyncResult, CallFailure]]) -> None:
        for waiter, failure in failed:
            waiter.set(Err(failure))
