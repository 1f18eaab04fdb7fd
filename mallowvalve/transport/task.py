"""A node's transport: channels to its peers, and the server for the channels of its peers.

Guarantees: the peer handles a call or a cast at most once, because a channel never sends a frame twice and a server
skips a frame whose id does not increase on its connection. A call has one outcome: its own response, or a
`CallFailure`. If `may_have_run` is true for the failure, the peer may have handled the call or may still do so: a sent
frame can stay in the system's buffers for `TCP_USER_TIMEOUT_MS`, and longer in a suspended peer. A retry is then a
second call; a command that must take effect once carries its own session, sequence number and expiry. Frames on one
connection keep their order; there is no order across connections, and a cast may be lost.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from traceback import format_exc
from typing import TypeVar

import gevent
from gevent import socket
from gevent.pool import Pool
from gevent.queue import Full, Queue
from gevent.server import StreamServer
from result import Err, Ok, Result

from mallowvalve import clock
from mallowvalve.fault import InjectedFaults
from mallowvalve.metrics import Counts, log_event_rarely
from mallowvalve.transport.calls import CallFailure
from mallowvalve.transport.channel import QUEUED_FRAMES_MAX, READ_BYTES, Channel, set_tcp_options
from mallowvalve.transport.frame import PROTOCOL_VERSION, FrameDecoder, FrameEncoder, Hello, TransportFrame
from mallowvalve.types import Address

Answer = TypeVar("Answer")
Handler = Callable[[Address, bytes], bytes | None]
CHANNEL_IDLE_S = 60.0
"""Channels unused for this long are closed when a new one is opened."""
CONCURRENT_HANDLERS_MAX = 1024


class Transport:
    """Sends calls and casts to peers, and handles theirs; a context manager that listens while it is open."""

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
        "_connection_counts",
    )

    def __init__(self, me: Address, fleet: str, counts: Counts, faults: InjectedFaults | None = None):
        """`on_peer_disconnected` is called with a peer when the last connection from it has ended."""
        self.me = me
        self.fleet = fleet
        self.counts = counts
        self.faults = faults if faults is not None else InjectedFaults()
        self._handlers: dict[str, tuple[Handler, bool]] = {}
        self._channels: dict[Address, Channel] = {}
        self._pool = Pool(CONCURRENT_HANDLERS_MAX)
        self._connection_counts: Counter[Address] = Counter()
        self.on_peer_disconnected: Callable[[Address], None] = lambda peer: None

    def on(self, kind: str, handler: Handler, inline: bool = False) -> None:
        """Registers the handler for a kind of frame; an inline handler must not block: it runs in the reading greenlet.

        A handler returns the response body, or None for no response; it raises ValueError for an invalid body. Any
        other error is logged: it concerns this frame alone, since handlers leave changes of the log to an event loop.
        """
        self._handlers[kind] = (handler, inline)

    def __enter__(self) -> Transport:
        """Starts listening."""
        self._server = StreamServer(self.me.pair, self._serve)
        self._server.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stops listening and closes each channel."""
        self._server.stop(timeout=0.1)
        for channel in self._channels.values():
            channel.close()

    def cast(self, to: Address, kind: str, body: bytes) -> None:
        """Sends a one-way message at most once."""
        self._channel(to, clock.now()).cast(kind, body)

    def call(self, to: Address, kind: str, body: bytes, limit: float) -> Result[bytes, CallFailure]:
        """Sends a call at most once and waits at most `limit` seconds for the response."""
        return self._channel(to, clock.now()).call(kind, body, limit)

    def request(
        self, to: Address, kind: str, body: bytes, limit: float, decode: Callable[[bytes], Answer]
    ) -> Result[Answer, CallFailure]:
        """Sends a call as `call` does, and decodes its response; one that does not decode is a failure of the call."""
        response = self.call(to, kind, body, limit)
        if isinstance(response, Err):
            return response
        try:
            return Ok(decode(response.ok_value))
        except ValueError:
            self.counts.add("transport_garbage")
            return Err(CallFailure.GARBAGE)

    def _channel(self, to: Address, now: float) -> Channel:
        channel = self._channels.get(to)
        if channel is None:
            self._close_idle(now)
            channel = self._channels[to] = Channel(
                to, Hello(PROTOCOL_VERSION, self.fleet, self.me), self.counts, self.faults
            )
        channel.last_used = now
        return channel

    def _close_idle(self, now: float) -> None:
        for peer in [peer for peer, channel in self._channels.items() if now - channel.last_used > CHANNEL_IDLE_S]:
            self._channels.pop(peer).close()

    def _serve(self, sock: socket.socket, _address: object) -> None:
        set_tcp_options(sock)
        responses: Queue = Queue(QUEUED_FRAMES_MAX)
        writer = gevent.spawn(self._write_responses, sock, responses)
        try:
            with sock:
                self._serve_connection(sock, responses)
        finally:
            writer.kill()

    def _write_responses(self, sock: socket.socket, responses: Queue) -> None:
        encoder = FrameEncoder()
        try:
            while True:
                data = encoder.encode([responses.get()])
                self.counts.add("transport_frames")
                self.counts.add("transport_bytes", len(data))
                sock.sendall(data)
        except OSError:
            self.counts.add("transport_unanswered")

    def _serve_connection(self, sock: socket.socket, responses: Queue) -> None:
        peers: set[Address] = set()
        try:
            self._read_frames(sock, responses, peers)
        finally:
            for peer in peers:
                self._connection_counts[peer] -= 1
                if self._connection_counts[peer] <= 0:
                    del self._connection_counts[peer]
                    self.on_peer_disconnected(peer)

    def _read_frames(self, sock: socket.socket, responses: Queue, peers: set[Address]) -> None:
        decoder = FrameDecoder(self.fleet)
        sender, last_id = self.me, 0
        while True:
            try:
                data = sock.recv(READ_BYTES)
            except OSError:
                return
            if not data:
                return
            frames = decoder.feed(data)
            if isinstance(frames, Err):
                self.counts.add(f"transport_{frames.err_value}")
                return
            for frame in frames.ok_value:
                if isinstance(frame, Hello):
                    sender = frame.sender
                    peers.add(sender)
                    self._connection_counts[sender] += 1
                elif self._is_new_call(frame, last_id) and not self.faults.cuts_stream(sender, self.me):
                    self._handle(sender, frame, responses)
                    last_id = frame.id

    def _is_new_call(self, frame: TransportFrame, last_id: int) -> bool:
        if frame.is_response:
            self.counts.add("transport_stray")
        elif frame.id <= last_id:
            self.counts.add("transport_doubled")
        else:
            return True
        return False

    def _handle(self, sender: Address, frame: TransportFrame, responses: Queue) -> None:
        registered = self._handlers.get(frame.kind)
        if registered is None:
            self.counts.add("transport_unknown")
            return
        handler, inline = registered
        if inline:
            self._run_handler(handler, sender, frame, responses)
            return
        self._pool.spawn(self._run_handler, handler, sender, frame, responses)

    def _run_handler(self, handler: Handler, sender: Address, frame: TransportFrame, responses: Queue) -> None:
        try:
            body = handler(sender, frame.body)
        except ValueError:
            self.counts.add("transport_garbage")
            return
        except Exception as error:
            self.counts.add("transport_failed")
            log_event_rarely("frame_failed", kind=frame.kind, sender=str(sender), error=repr(error), trace=format_exc())
            return
        if body is None:
            return
        try:
            responses.put_nowait(TransportFrame(frame.kind, frame.id, True, body))
        except Full:
            self.counts.add("transport_unanswered")
