"""The fleet's clock: milliseconds that the log carries, so that all replicas count the same time.

No wall clock is read. A new leader goes on from what it heard of its predecessor's entries.
"""

from __future__ import annotations

from mallowvalve.raft.messages import NOOP, Entry


class FleetClock:
    """Counts the fleet's time (ms) from this process's steady clock (s) and the times that log entries carry."""

    __slots__ = ("_base", "_began_at", "_heard", "_term")

    def __init__(self) -> None:
        """Nothing was heard of the fleet's time yet."""
        self._base, self._began_at = 0, 0.0
        self._heard: tuple[int, float] | None = None
        self._term = 0

    def restart(self, clock: int, now: float) -> None:
        """Starts from a loaded state whose newest entry carried `clock` (ms)."""
        self._heard, self._term = (clock, now), 0

    def begin_leadership(self, clock: int, now: float) -> None:
        """Starts to count as a leader, from the state's clock or from what was heard since, whichever is later."""
        self._base, self._began_at = max(clock, self.estimate(now)), now

    def read(self, now: float) -> int:
        """A leader's time (ms) for the entries it proposes."""
        return self._base + int((now - self._began_at) * 1000)

    def estimate(self, now: float) -> int:
        """The fleet's clock by what was heard of it, 0 before that.

        Never ahead, since an entry is proposed before it is applied here: what rests on it ends too soon if at all.
        """
        if self._heard is None:
            return 0
        clock, at = self._heard
        return clock + int((now - at) * 1000)

    def observe(self, e: Entry, now: float) -> None:
        """Each leader's clock may run behind its predecessor's: what was heard of those says nothing of this one's."""
        if e.kind != NOOP and (e.term != self._term or e.at > self.estimate(now)):
            self._heard, self._term = (e.at, now), e.term
