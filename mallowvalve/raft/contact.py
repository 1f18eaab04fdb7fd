"""A follower's proof of contact with a majority, counted from its own question by its own clock.

Ongaro's dissertation, 6.4, lets a leader answer reads after a round of heartbeats sent after the question. Here
a follower's every answer to an append is such a question: it carries a stamp of the follower's steady clock, and the
leader echoes the newest stamp that it had when it sent a round which a majority has confirmed since. No two clocks are
compared, and how long a message was held on its way makes the proof older, never younger.
"""

from __future__ import annotations

from collections import deque

NO_STAMP = -1e9
MAX_PENDING_STAMPS = 256


class ContactStamps:
    """What a leader keeps of one member's stamps (s of that member's clock)."""

    __slots__ = ("_confirmed", "_pending")

    def __init__(self) -> None:
        """No stamp has come yet."""
        self._confirmed = NO_STAMP
        self._pending: deque[tuple[int, float]] = deque()

    def add(self, stamp: float, need: int) -> None:
        """A stamp came; `need` is the first round that will be sent after it. With too many, it isn't kept."""
        if len(self._pending) < MAX_PENDING_STAMPS:
            self._pending.append((need, stamp))

    def confirmed_stamp(self, confirmed: int) -> float:
        """The newest stamp whose round, or a later one, is among the `confirmed`."""
        while self._pending and self._pending[0][0] <= confirmed:
            self._confirmed = self._pending.popleft()[1]
        return self._confirmed


class QuorumContact:
    """What a follower knows of its own stamps; one from before its present life, or from the future, is no proof."""

    __slots__ = ("confirmed_at", "_started_at")

    def __init__(self, now: float) -> None:
        """Nothing is proved yet; `now` is when this life of the machine began (s)."""
        self.confirmed_at, self._started_at = NO_STAMP, now

    def record_echo(self, confirmed_stamp: float, now: float) -> None:
        """The leader echoes a stamp, which arrives now (s of the same clock)."""
        if self._started_at <= confirmed_stamp <= now:
            self.confirmed_at = max(self.confirmed_at, confirmed_stamp)
