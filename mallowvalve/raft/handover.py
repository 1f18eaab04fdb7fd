"""A leader's hand-over to another voter (Ongaro's dissertation, 3.10)."""

from __future__ import annotations

NEVER = -1e9


class HandOver:
    """One hand-over at most. While it is under way the leader takes nothing new, so that its successor can hold all."""

    __slots__ = ("_to", "_until")

    def __init__(self) -> None:
        """None is under way."""
        self._to, self._until = "", NEVER

    def begin(self, to: str, until: float) -> None:
        """Hands over to this voter; what has not come of it by `until` (s) is given up."""
        self._to, self._until = to, until

    def under_way(self, now: float) -> bool:
        """Whether the leader waits for its successor, or for its campaign."""
        return now < self._until

    def ripe(self, voter: str, match: int, last: int, now: float) -> bool:
        """Whether this voter is the successor and now holds all; true once."""
        if voter != self._to or match < last or not self.under_way(now):
            return False
        self._to = ""
        return True

    def end(self) -> None:
        """There is nothing to hand over any more."""
        self._to, self._until = "", NEVER
