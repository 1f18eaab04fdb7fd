"""A follower's proof of contact with a majority, measured from its own request by its own clock.

Section 6.4 of Ongaro's dissertation lets a leader answer reads after a heartbeat round that was sent after the read
arrived. Here every AppendEntries response of a follower acts as such a read: it carries a stamp of the follower's
monotonic clock, and the leader echoes the newest stamp that it had received when it sent a round which a majority has
confirmed since. The protocol compares no two clocks, and a message delay makes the proof older, never younger.
"""

from __future__ import annotations

from collections import deque

NO_STAMP = -1e9
MAX_PENDING_STAMPS = 256


class ContactStamps:
    """The stamps that a leader has received from one member (s of that member's clock)."""

    __slots__ = ("_confirmed", "_pending")

    def __init__(self) -> None:
        """Starts without any stamp."""
        self._confirmed = NO_STAMP
        self._pending: deque[tuple[int, float]] = deque()

    def add(self, stamp: float, need: int) -> None:
        """Records a stamp; `need` is the next round to be sent. Drops the stamp if too many are pending."""
        if len(self._pending) < MAX_PENDING_STAMPS:
            self._pending.append((need, stamp))

    def confirmed_stamp(self, confirmed: int) -> float:
        """Returns the newest stamp whose round is at most `confirmed`, the newest confirmed round."""
        while self._pending and self._pending[0][0] <= confirmed:
            self._confirmed = self._pending.popleft()[1]
        return self._confirmed


class QuorumContact:
    """A follower's latest proof of contact with a quorum.

    A stamp from before the start of this process, or from the future, is no proof.
    """

    __slots__ = ("confirmed_at", "_started_at")

    def __init__(self, now: float) -> None:
        """Starts without proof; `now` is the start time of this process (s)."""
        self.confirmed_at, self._started_at = NO_STAMP, now

    def record_echo(self, confirmed_stamp: float, now: float) -> None:
        """Records a stamp echoed by the leader that arrives at `now` (s of the same clock)."""
        if self._started_at <= confirmed_stamp <= now:
            self.confirmed_at = max(self.confirmed_at, confirmed_stamp)
