"""A node's transport: lines to its peers, and the server that answers theirs.

What it promises. A call, and a cast, is handled by its peer at most once: a line never sends a frame twice, and a
server passes over a frame whose id does not rise on its connection. A call has one outcome: the answer to that very
call, or a `Failure`. After one whose `may_have_run` is true the peer may have handled the call, or may yet do so: a
frame that left can rest in the system's buffers for `UNACKED_MS`, and longer in a peer that is frozen. Who calls again
then makes a second call; a command that must take effect once carries its own session, number and not-after. Frames on
one connection keep their order; nothing is promised across connections, nor that a cast arrives.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.queue import Full, Queue
from gevent.server import StreamServer
from result import Err, Result

from mallowvalve import clock
from mallowvalve.fault import Faults
from mallowvalve.metrics import Counts
from mallowvalve.transport.calls import CallFailure
from mallowvalve.transport.channel import QUEUED_FRAMES_MAX, READ_BYTES, Channel, set_tcp_options
from mallowvalve.transport.frame import PROTOCOL_VERSION, FrameDecoder, FrameEncoder, Hello, TransportFrame
from mallowvalve.types import Address

Handler = Callable[[Address, bytes], bytes | None]
IDLE = 60.0
"""Lines unused for so long (s) are closed when a new one is made."""
HANDLERS_AT_ONCE = 1024


class Transport:
    """Calls and casts to peers, and the handlers of theirs; a context manager that listens while it is open."""

    __slots__ = (
        "me",
        "fleet",
        "counts",
        "faults",
        "on_peer_disconnected",
        "_handlers",
        "_channels",
        "_server",
        "_pool",
        "_here",
    )

    def __init__(self, me: Address, fleet: str, counts: Counts, faults: Faults | None = None):
        """`gone` is told when the last connection from a peer has ended."""
        self.me = me
        self.fleet = fleet
        self.counts = counts
        self.faults = faults if faults is not None else Faults()
        self._handlers: dict[str, tuple[Handler, bool]] = {}
        self._channels: dict[Address, Channel] = {}
        self._pool = Pool(HANDLERS_AT_ONCE)
        self._here: Counter[Address] = Counter()
        self.on_peer_disconnected: Callable[[Address], None] = lambda peer: None

    def on(self, kind: str, handler: Handler, inline: bool = False) -> None:
        """Handle frames of a kind; a quick handler never waits, and runs where the frame was read.

        A handler answers with bytes, or None for no answer; ValueError from it counts as a body not understood.
        """
        self._handlers[kind] = (handler, inline)

    def __enter__(self) -> Transport:
        """Listen."""
        self._server = StreamServer(self.me.pair, self._serve)
        self._server.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop listening and close each line."""
        self._server.stop(timeout=0.1)
        for line in self._channels.values():
            line.close()

    def cast(self, to: Address, kind: str, body: bytes) -> None:
        """Send without an answer, at most once."""
        self._channel(to, clock.now()).cast(kind, body)

    def call(self, to: Address, kind: str, body: bytes, limit: float) -> Result[bytes, CallFailure]:
        """Send at most once and wait for the answer, at most `limit` seconds."""
        return self._channel(to, clock.now()).call(kind, body, limit)

    def _channel(self, to: Address, now: float) -> Channel:
        line = self._channels.get(to)
        if line is None:
            self._close_idle(now)
            line = self._channels[to] = Channel(
                to, Hello(PROTOCOL_VERSION, self.fleet, self.me), self.counts, self.faults
            )
        line.used = now
        return line

    def _close_idle(self, now: float) -> None:
        for peer in [peer for peer, line in self._channels.items() if now - line.used > IDLE]:
            self._channels.pop(peer).close()

    def _serve(self, sock: socket.socket, _addr: object) -> None:
        set_tcp_options(sock)
        outbox: Queue = Queue(QUEUED_FRAMES_MAX)
        writer = gevent.spawn(self._write, sock, outbox)
        try:
            with sock:
                self._read(sock, outbox)
        finally:
            writer.kill()

    def _write(self, sock: socket.socket, outbox: Queue) -> None:
        sealer = FrameEncoder()
        try:
            while True:
                data = sealer.seal([outbox.get()])
                self.counts.add("transport_frames")
                self.counts.add("transport_bytes", len(data))
                sock.sendall(data)
        except OSError:
            self.counts.add("transport_unanswered")

    def _read(self, sock: socket.socket, outbox: Queue) -> None:
        heard: set[Address] = set()
        try:
            self._hear(sock, outbox, heard)
        finally:
            for peer in heard:
                self._here[peer] -= 1
                if self._here[peer] <= 0:
                    del self._here[peer]
                    self.on_peer_disconnected(peer)

    def _hear(self, sock: socket.socket, outbox: Queue, heard: set[Address]) -> None:
        cutter = FrameDecoder(self.fleet)
        sender, last_id = self.me, 0
        while True:
            try:
                data = sock.recv(READ_BYTES)
            except OSError:
                return
            if not data:
                return
            frames = cutter.feed(data)
            if isinstance(frames, Err):
                self.counts.add(f"transport_{frames.err_value}")
                return
            for frame in frames.ok_value:
                if isinstance(frame, Hello):
                    sender = frame.sender
                    heard.add(sender)
                    self._here[sender] += 1
                elif self._is_new(frame, last_id) and not self.faults.apart(sender, self.me):
                    self._handle(sender, frame, outbox)
                    last_id = frame.id

    def _is_new(self, frame: TransportFrame, last_id: int) -> bool:
        if frame.answer:
            self.counts.add("transport_stray")
        elif frame.id <= last_id:
            self.counts.add("transport_doubled")
        else:
            return True
        return False

    def _handle(self, sender: Address, frame: TransportFrame, outbox: Queue) -> None:
        registered = self._handlers.get(frame.kind)
        if registered is None:
            self.counts.add("transport_unknown")
            return
        handler, inline = registered
        if inline:
            self._answer(handler, sender, frame, outbox)
            return
        self._pool.spawn(self._answer, handler, sender, frame, outbox)

    def _answer(self, handler: Handler, sender: Address, frame: TransportFrame, outbox: Queue) -> None:
        try:
            body = handler(sender, frame.body)
        except ValueError:
            self.counts.add("transport_garbage")
            return
        if body is None:
            return
        try:
            outbox.put_nowait(TransportFrame(frame.kind, frame.id, True, body))
        except Full:
            self.counts.add("transport_unanswered")
