"""Pings beside the detector's periods, for the few members on whom an answer rests alone."""

from __future__ import annotations

import msgspec

from mallowvalve.membership.wire import MemberRecord
from mallowvalve.types import Address

CHECK_EVERY_S = 0.2
"""The shortest pause between two pings of one member."""

DOUBT_S = 0.8
"""A member is doubted when a ping so old is the first of `DOUBT_PINGS` that were not answered (s)."""

DOUBT_PINGS = 4
"""The last of them may be under way still: the three before had at least `CHECK_EVERY_S` for their acks."""

IDLE_S = 5.0
"""A member that nobody asked about for so long is no longer checked."""


class Checked(msgspec.Struct):
    """The pings of one life of a member since its last ack: how many, the first and the last of them (s)."""

    boot: int
    unanswered: int
    first: float
    last: float


class Checks:
    """Whom this member checks, and what came of it. Pings are driven by the questions, so there is no timer.

    It declares nobody failed: that is the detector's, at the end of its period.
    """

    __slots__ = ("_rows",)

    def __init__(self) -> None:
        """Nobody is checked."""
        self._rows: dict[Address, Checked] = {}

    def due(self, member: MemberRecord, now: float) -> bool:
        """Whether a ping should be sent now; it then counts as sent."""
        self._forget(now)
        row = self._rows.get(member.addr)
        if row is None or row.boot != member.boot:
            self._rows[member.addr] = Checked(member.boot, 1, now, now)
            return True
        if now < row.last + CHECK_EVERY_S:
            return False
        if row.unanswered == 0:
            row.first = now
        row.unanswered += 1
        row.last = now
        return True

    def acked(self, address: Address) -> None:
        """The member has answered a ping of this process."""
        row = self._rows.get(address)
        if row is not None:
            row.unanswered = 0

    def suspects(self, member: MemberRecord, now: float) -> bool:
        """Whether this life of a member has been silent to several pings, the first of them long enough ago."""
        row = self._rows.get(member.addr)
        if row is None or row.boot != member.boot:
            return False
        return row.unanswered >= DOUBT_PINGS and now - row.first >= DOUBT_S

    def _forget(self, now: float) -> None:
        idle = [address for address, row in self._rows.items() if now - row.last > IDLE_S]
        for address in idle:
            del self._rows[address]
