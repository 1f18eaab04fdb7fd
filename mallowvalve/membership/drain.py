"""When a leaving member stops accepting: announced first, and taken back where its region would have nobody else.

A member closes only after it has said that it will, and has for a moment still seen a neighbour that accepts and has
not said so. Of several that leave together one after the other closes, by address. Two that say so at the same time all
the same see each other's word, so neither closes; each tries again after a random pause.
"""

from __future__ import annotations

import enum
import random

import msgspec

LOOK_S = 0.02
"""How often a member that stays looks whether it still has to (s)."""

NOTICE_S = 0.15
"""Between the word that a member accepts no more and its doing so (s): a datagram and a turn of two busy loops."""

TURN_S = 0.25
"""What each that leaves waits for each of those before it (s), longer than `NOTICE_S`."""

PAUSE_S = (0.05, 0.4)
"""Between which the pause after a word that was taken back is drawn (s)."""


class _State(enum.Enum):
    ACCEPTS = enum.auto()
    ANNOUNCED = enum.auto()
    CLOSED = enum.auto()


class DrainConditions(msgspec.Struct, frozen=True):
    """The region of a leaving member: whether it must stay, and how many others that leave close before it."""

    must_stay: bool
    leavers_ahead: int


class DrainStep(msgspec.Struct, frozen=True):
    """What to do now: whether to say that this member accepts, whether it is closed, and when to ask again (s)."""

    accepts: bool
    closed: bool
    wait: float


class DrainSequence:
    """Decides when to close, from `earliest` on and by `latest` whatever the others do (s, one steady clock)."""

    __slots__ = ("earliest", "latest", "_rng", "_state", "_until", "_in_turn")

    def __init__(self, earliest: float, latest: float, rng: random.Random) -> None:
        """Accepts until `earliest`."""
        self.earliest = earliest
        self.latest = latest
        self._rng = rng
        self._state = _State.ACCEPTS
        self._until = earliest
        self._in_turn = False

    def step(self, now: float, outlook: DrainConditions) -> DrainStep:
        """One look at the region."""
        if now >= self.latest:
            self._state = _State.CLOSED
        elif now >= self._until:
            self._decide(now, outlook)
        closed = self._state is _State.CLOSED
        due = self._until if self._until > now else now + LOOK_S
        wait = 0.0 if closed else min(due, self.latest) - now
        return DrainStep(self._state is _State.ACCEPTS, closed, wait)

    def _decide(self, now: float, outlook: DrainConditions) -> None:
        if self._state is _State.ANNOUNCED:
            self._state = _State.ACCEPTS if outlook.must_stay else _State.CLOSED
            self._until = now + self._rng.uniform(*PAUSE_S)
        elif not self._in_turn:
            self._in_turn = True
            self._until = now + TURN_S * outlook.leavers_ahead
            if outlook.leavers_ahead == 0:
                self._decide(now, outlook)
        elif not outlook.must_stay:
            self._state = _State.ANNOUNCED
            self._until = now + NOTICE_S
