"""The caller's side of one line to a peer, without sockets and without a clock.

What it holds: each frame is handed out at most once, on one connection; a call that was given up before it was handed
out never is; an answer reaches only the call that bears its id, and only when it came on the connection that carried
that call; whatever becomes of a connection, nothing is handed out again.
"""

from __future__ import annotations

import enum
from collections import deque
from typing import Generic, TypeVar

from mallowvalve.transport.frame import TransportFrame

Waiter = TypeVar("Waiter")


class CallFailure(enum.StrEnum):
    """Why a call has no answer. `may_have_run` tells whether the peer may have taken it nevertheless."""

    LIMIT = "limit"
    OVERFLOW = "overflow"
    UNREACHABLE = "unreachable"
    UNSENT = "unsent"
    CLOSED = "closed"

    @property
    def may_have_run(self) -> bool:
        """False only on proof that no byte of the call has left."""
        return self in (CallFailure.LIMIT, CallFailure.CLOSED)


class PendingCalls(Generic[Waiter]):
    """The frames that wait to leave, and the calls that wait for an answer. Ids rise for as long as the line lives."""

    __slots__ = ("connection", "_capacity", "_last_id", "_queue", "_given_up", "_unsent", "_sent")

    def __init__(self, capacity: int):
        """At most `capacity` frames wait to leave."""
        self.connection = 0
        self._capacity = capacity
        self._last_id = 0
        self._queue: deque[TransportFrame] = deque()
        self._given_up: set[int] = set()
        self._unsent: dict[int, Waiter] = {}
        self._sent: dict[int, Waiter] = {}

    def __bool__(self) -> bool:
        """Whether a frame waits to leave."""
        return bool(self._queue)

    def put(self, kind: str, body: bytes, waiter: Waiter | None = None) -> int | None:
        """Queue a call, or with no waiter a cast. Its id; None when the queue is full, and nothing was queued."""
        if len(self._queue) >= self._capacity:
            return None
        self._last_id += 1
        if waiter is not None:
            self._unsent[self._last_id] = waiter
        self._queue.append(TransportFrame(kind, self._last_id, False, body))
        return self._last_id

    def give_up(self, call: int) -> None:
        """Wait for this call no longer; if it has not left yet, it never will."""
        if self._unsent.pop(call, None) is not None:
            self._given_up.add(call)
        self._sent.pop(call, None)

    def opened(self) -> int:
        """A new connection begins; its number."""
        self.connection += 1
        return self.connection

    def take(self, most: int) -> list[TransportFrame]:
        """Up to `most` frames to write to the present connection now, in their order."""
        out: list[TransportFrame] = []
        while self._queue and len(out) < most:
            frame = self._queue.popleft()
            if frame.id in self._given_up:
                self._given_up.remove(frame.id)
                continue
            if frame.id in self._unsent:
                self._sent[frame.id] = self._unsent.pop(frame.id)
            out.append(frame)
        return out

    def answered(self, connection: int, answer: TransportFrame) -> Waiter | None:
        """Who waits for this answer; None when nobody does, or nobody on this connection."""
        if connection != self.connection or not answer.answer:
            return None
        return self._sent.pop(answer.id, None)

    def lost(self, connection: int) -> list[tuple[Waiter, CallFailure]]:
        """The connection ended: whom to tell what. Nothing at all for a connection that was replaced already."""
        if connection != self.connection:
            return []
        self.connection += 1
        told = [(waiter, CallFailure.CLOSED) for waiter in self._sent.values()]
        self._sent.clear()
        return told + self._drop_queue(CallFailure.UNSENT)

    def unreachable(self) -> list[tuple[Waiter, CallFailure]]:
        """No connection could be made: what waits to leave is dropped."""
        return self._drop_queue(CallFailure.UNREACHABLE)

    def _drop_queue(self, why: CallFailure) -> list[tuple[Waiter, CallFailure]]:
        told = [(waiter, why) for waiter in self._unsent.values()]
        self._unsent.clear()
        self._given_up.clear()
        self._queue.clear()
        return told
