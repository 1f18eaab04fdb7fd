"""The fleet clock: milliseconds carried by the log entries, so that all replicas count the same time.

No wall clock is read. A new leader continues from the time that it observed in the entries of its predecessor.
"""

from __future__ import annotations

from mallowvalve.raft.messages import NOOP, Entry


class FleetClock:
    """Derives the fleet time (ms) from this process's steady clock (s) and the times of log entries."""

    __slots__ = ("_base", "_leader_since", "_observed", "_term")

    def __init__(self) -> None:
        """Creates a clock that has observed no entry."""
        self._base, self._leader_since = 0, 0.0
        self._observed: tuple[int, float] | None = None
        self._term = 0

    def restart(self, clock: int, now: float) -> None:
        """Restarts from a loaded state whose newest entry has the time `clock` (ms)."""
        self._observed, self._term = (clock, now), 0

    def begin_leadership(self, clock: int, now: float) -> None:
        """Starts to count as the leader, from the later of the state's clock (ms) and the estimate."""
        self._base, self._leader_since = max(clock, self.estimate(now)), now

    def read(self, now: float) -> int:
        """Returns the leader's time (ms) for the entries that it proposes."""
        return self._base + int((now - self._leader_since) * 1000)

    def estimate(self, now: float) -> int:
        """Returns the fleet time (ms) estimated from the observed entries, 0 before the first.

        It never runs ahead, since an entry is proposed before it is applied here: a limit derived from it may end too
        early, but never too late.
        """
        if self._observed is None:
            return 0
        clock, at = self._observed
        return clock + int((now - at) * 1000)

    def observe(self, entry: Entry, now: float) -> None:
        """Records the time of an applied entry.

        The first entry of a term always counts, as the clock of a leader may run behind that of its predecessor.
        """
        if entry.kind != NOOP and (entry.term != self._term or entry.at > self.estimate(now)):
            self._observed, self._term = (entry.at, now), entry.term
