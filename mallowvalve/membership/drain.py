"""When a leaving member stops accepting work: it announces this first, and withdraws if its region would have no other.

A member closes only after it has announced that it will, and has then for a moment still seen another accepting member
of its region that has not announced the same. Members that leave together close one after the other, in the order of
their addresses. If two members nevertheless announce at the same time, each sees the other's announcement, so neither
closes; each tries again after a random pause.
"""

from __future__ import annotations

import enum
import random

import msgspec

RECHECK_INTERVAL_S = 0.02
"""How often a member that has to keep accepting evaluates the conditions again."""

ANNOUNCEMENT_S = 0.15
"""The time between the announcement and the close: one datagram, and one iteration of two busy event loops."""

TURN_S = 0.25
"""The delay per leaving member that is ahead; longer than `ANNOUNCEMENT_S`."""

RETRY_PAUSE_RANGE_S = (0.05, 0.4)
"""The range from which the pause after a withdrawn announcement is drawn."""

DELAYS_TO_CLOSE = 4.0
"""A member that runs late closes this many of its longest delays earlier: it needs as many turns to end."""

MAX_ADVANCE_RATIO = 0.5
"""The part of the time between the earliest and the latest close by which delays can advance the latest one."""


class _Phase(enum.Enum):
    ACCEPTS = enum.auto()
    ANNOUNCED = enum.auto()
    CLOSED = enum.auto()


class DrainConditions(msgspec.Struct, frozen=True):
    """The region of a leaving member: whether the member must keep accepting, and how many leavers close before it."""

    must_stay: bool
    leavers_ahead: int


class DrainStep(msgspec.Struct, frozen=True):
    """The result of a step: whether this member is announced as accepting, whether it is closed, the next wait (s)."""

    accepts: bool
    closed: bool
    wait: float


class DrainSequence:
    """Decides when a leaving member closes: not before `earliest`, and by `latest` in any case.

    All times are seconds of one monotonic clock.
    """

    __slots__ = ("earliest", "latest", "_latest_in_time", "_rng", "_phase", "_until", "_turn_taken")

    def __init__(self, earliest: float, latest: float, rng: random.Random) -> None:
        """Starts as accepting, until `earliest` at least."""
        self.earliest = earliest
        self.latest = latest
        self._latest_in_time = latest
        self._rng = rng
        self._phase = _Phase.ACCEPTS
        self._until = earliest
        self._turn_taken = False

    def record_delay(self, delay_s: float) -> None:
        """Advances the latest close if this member came to its turn late: its end takes longer than planned."""
        advance = min(DELAYS_TO_CLOSE * delay_s, MAX_ADVANCE_RATIO * (self._latest_in_time - self.earliest))
        self.latest = min(self.latest, self._latest_in_time - max(0.0, advance))

    def step(self, now: float, conditions: DrainConditions) -> DrainStep:
        """Evaluates the conditions of the region and returns what to do now."""
        if now >= self.latest:
            self._phase = _Phase.CLOSED
        elif now >= self._until:
            self._advance(now, conditions)
        closed = self._phase is _Phase.CLOSED
        due = self._until if self._until > now else now + RECHECK_INTERVAL_S
        wait = 0.0 if closed else min(due, self.latest) - now
        return DrainStep(self._phase is _Phase.ACCEPTS, closed, wait)

    def _advance(self, now: float, conditions: DrainConditions) -> None:
        if self._phase is _Phase.ANNOUNCED:
            self._phase = _Phase.ACCEPTS if conditions.must_stay else _Phase.CLOSED
            self._until = now + self._rng.uniform(*RETRY_PAUSE_RANGE_S)
        elif not self._turn_taken:
            self._turn_taken = True
            self._until = now + TURN_S * conditions.leavers_ahead
            if conditions.leavers_ahead == 0:
                self._advance(now, conditions)
        elif not conditions.must_stay:
            self._phase = _Phase.ANNOUNCED
            self._until = now + ANNOUNCEMENT_S
