"""A leader transfer to another voter (Ongaro's dissertation, section 3.10)."""

from __future__ import annotations

NEVER = -1e9


class LeaderTransfer:
    """At most one transfer. Meanwhile the leader accepts no commands, so that its successor can catch up."""

    __slots__ = ("_successor", "_deadline")

    def __init__(self) -> None:
        """Starts without a transfer."""
        self._successor = ""
        self._deadline = NEVER

    def begin(self, successor: str, deadline: float) -> None:
        """Begins a transfer to a voter; it is abandoned at `deadline` (s)."""
        self._successor, self._deadline = successor, deadline

    def in_progress(self, now: float) -> bool:
        """Returns whether the leader waits for its successor to catch up or to campaign."""
        return now < self._deadline

    def take_if_caught_up(self, voter: str, match_index: int, last_index: int, now: float) -> bool:
        """Returns whether this voter is the successor and holds the whole log; true only once per transfer."""
        if voter != self._successor or match_index < last_index or not self.in_progress(now):
            return False
        self._successor = ""
        return True

    def cancel(self) -> None:
        """Cancels the transfer, if any."""
        self._successor, self._deadline = "", NEVER
