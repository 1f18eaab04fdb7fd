"""A leader's numbered heartbeat rounds, and the send time of the newest round that a quorum has answered."""

from __future__ import annotations

from collections import deque

from mallowvalve.raft.contact import NO_STAMP


class HeartbeatRounds:
    """Times are seconds of the leader's monotonic clock, taken when a round is sent, never when it is answered."""

    __slots__ = ("round_number", "confirmed", "_sent", "_first_round", "_term_started_at")

    def __init__(self) -> None:
        """Starts without any round."""
        self.round_number = self.confirmed = self._first_round = 0
        self._sent: deque[tuple[int, float]] = deque()
        self._term_started_at = -1e9

    def begin(self, now: float) -> None:
        """Begins a term; the votes that won it count as a confirmation at `now` (s)."""
        self._sent = deque([(self.round_number, now)])
        self.confirmed = self._first_round = self.round_number
        self._term_started_at = now

    def send(self, now: float) -> None:
        """Records that a round is sent at `now` (s)."""
        self.round_number += 1
        self._sent.append((self.round_number, now))

    def confirm(self, round_number: int) -> None:
        """Records that a quorum has answered this round or a later one."""
        self.confirmed = max(self.confirmed, round_number)
        while len(self._sent) > 1 and self._sent[1][0] <= self.confirmed:
            self._sent.popleft()

    def confirmed_at(self) -> float:
        """Returns the send time of the newest confirmed round (s)."""
        return next((at for number, at in reversed(self._sent) if number <= self.confirmed), self._term_started_at)

    def last_contact(self) -> float:
        """Returns `confirmed_at`, or NO_STAMP before the first confirmed round of the term.

        Votes may have been delayed in transit, so they prove no contact.
        """
        return self.confirmed_at() if self.confirmed > self._first_round else NO_STAMP
