"""A leader's hand-over to another voter (Ongaro's dissertation, 3.10)."""

from __future__ import annotations

NEVER = -1e9


class LeaderTransfer:
    """One hand-over at most. While it is under way the leader takes nothing new, so that its successor can hold all."""

    __slots__ = ("_successor", "_deadline")

    def __init__(self) -> None:
        """None is under way."""
        self._successor, self._deadline = "", NEVER

    def begin(self, to: str, until: float) -> None:
        """Hands over to this voter; what has not come of it by `until` (s) is given up."""
        self._successor, self._deadline = to, until

    def in_progress(self, now: float) -> bool:
        """Whether the leader waits for its successor, or for its campaign."""
        return now < self._deadline

    def take_if_caught_up(self, voter: str, match_index: int, last_index: int, now: float) -> bool:
        """Whether this voter is the successor and now holds all; true once."""
        if voter != self._successor or match_index < last_index or not self.in_progress(now):
            return False
        self._successor = ""
        return True

    def cancel(self) -> None:
        """There is nothing to hand over any more."""
        self._successor, self._deadline = "", NEVER
