"""The client side of the channel to one peer as a state machine, without sockets and without a clock.

Guarantees: each frame is dequeued at most once, for one connection. A call that is cancelled while queued is never
dequeued. A response is delivered only to the call with its id, and only if it arrived on the connection that carried
that call. Whatever happens to a connection, no frame is dequeued again.
"""

from __future__ import annotations

import enum
from collections import deque
from typing import Generic, TypeVar

from mallowvalve.transport.frame import TransportFrame

Waiter = TypeVar("Waiter")


class CallFailure(enum.StrEnum):
    """Why a call has no response; `may_have_run` states whether the peer may have executed it nevertheless."""

    LIMIT = "limit"
    OVERFLOW = "overflow"
    UNREACHABLE = "unreachable"
    UNSENT = "unsent"
    CLOSED = "closed"
    GARBAGE = "garbage"

    @property
    def may_have_run(self) -> bool:
        """Whether the peer may have executed the call; false only if certainly no byte of the call was sent."""
        return self in (CallFailure.LIMIT, CallFailure.CLOSED, CallFailure.GARBAGE)


class PendingCalls(Generic[Waiter]):
    """The queued frames and the calls without a response; ids increase for the whole lifetime of the channel."""

    __slots__ = ("connection", "_capacity", "_last_id", "_queue", "_cancelled", "_queued_calls", "_sent_calls")

    def __init__(self, capacity: int):
        """Creates an empty queue for at most `capacity` frames."""
        self.connection = 0
        self._capacity = capacity
        self._last_id = 0
        self._queue: deque[TransportFrame] = deque()
        self._cancelled: set[int] = set()
        self._queued_calls: dict[int, Waiter] = {}
        self._sent_calls: dict[int, Waiter] = {}

    def __bool__(self) -> bool:
        """Returns whether a frame is queued."""
        return bool(self._queue)

    def enqueue(self, kind: str, body: bytes, waiter: Waiter | None = None) -> int | None:
        """Queues a call, or a cast if there is no waiter; returns its id, or None if the queue is full."""
        if len(self._queue) >= self._capacity:
            return None
        self._last_id += 1
        if waiter is not None:
            self._queued_calls[self._last_id] = waiter
        self._queue.append(TransportFrame(kind, self._last_id, False, body))
        return self._last_id

    def cancel(self, call_id: int) -> None:
        """Cancels a call; if it is still queued, it is never sent."""
        if self._queued_calls.pop(call_id, None) is not None:
            self._cancelled.add(call_id)
        self._sent_calls.pop(call_id, None)

    def connection_opened(self) -> int:
        """Registers a new connection and returns its number."""
        self.connection += 1
        return self.connection

    def dequeue(self, limit: int) -> list[TransportFrame]:
        """Removes and returns up to `limit` frames, in order, to be written to the current connection."""
        frames: list[TransportFrame] = []
        while self._queue and len(frames) < limit:
            frame = self._queue.popleft()
            if frame.id in self._cancelled:
                self._cancelled.remove(frame.id)
                continue
            if frame.id in self._queued_calls:
                self._sent_calls[frame.id] = self._queued_calls.pop(frame.id)
            frames.append(frame)
        return frames

    def match_response(self, connection: int, response: TransportFrame) -> Waiter | None:
        """Returns the waiter of a response; None if no call on this connection has its id."""
        if connection != self.connection or not response.is_response:
            return None
        return self._sent_calls.pop(response.id, None)

    def connection_lost(self, connection: int) -> list[tuple[Waiter, CallFailure]]:
        """Handles the end of a connection; returns the failed calls, none if the connection was replaced before."""
        if connection != self.connection:
            return []
        self.connection += 1
        failed = [(waiter, CallFailure.CLOSED) for waiter in self._sent_calls.values()]
        self._sent_calls.clear()
        return failed + self._drop_queue(CallFailure.UNSENT)

    def peer_unreachable(self) -> list[tuple[Waiter, CallFailure]]:
        """Drops the queue because no connection could be made; returns the failed calls."""
        return self._drop_queue(CallFailure.UNREACHABLE)

    def _drop_queue(self, failure: CallFailure) -> list[tuple[Waiter, CallFailure]]:
        failed = [(waiter, failure) for waiter in self._queued_calls.values()]
        self._queued_calls.clear()
        self._cancelled.clear()
        self._queue.clear()
        return failed
