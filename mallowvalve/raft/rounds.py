"""A leader's numbered rounds to the voters, and when the newest that a quorum answered was sent."""

from __future__ import annotations

from collections import deque

from mallowvalve.raft.contact import NO_STAMP


class HeartbeatRounds:
    """Times are seconds of the leader's own steady clock, taken when a round was sent, never when it was answered."""

    __slots__ = ("round_number", "confirmed", "_sent", "_began", "_began_at")

    def __init__(self) -> None:
        """No round was sent yet."""
        self.round_number = self.confirmed = self._began = 0
        self._sent: deque[tuple[int, float]] = deque()
        self._began_at = -1e9

    def begin(self, now: float) -> None:
        """A term begins: the votes that won it count as a confirmation of now."""
        self._sent = deque([(self.round_number, now)])
        self.confirmed = self._began = self.round_number
        self._began_at = now

    def send(self, now: float) -> None:
        """A round leaves now (s)."""
        self.round_number += 1
        self._sent.append((self.round_number, now))

    def confirm(self, round_number: int) -> None:
        """A quorum has answered the round of this number or a later one."""
        self.confirmed = max(self.confirmed, round_number)
        while len(self._sent) > 1 and self._sent[1][0] <= self.confirmed:
            self._sent.popleft()

    def confirmed_at(self) -> float:
        """When the newest confirmed round was sent (s)."""
        return next((t for s, t in reversed(self._sent) if s <= self.confirmed), self._began_at)

    def last_contact(self) -> float:
        """As `confirmed_at`, but never before a round: votes may have been held on their way, and confirm nothing."""
        return self.confirmed_at() if self.confirmed > self._began else NO_STAMP
