"""What others ask of the membership: who is there, who has gone, whose silence is doubted."""

from __future__ import annotations

from typing import Protocol

import msgspec

from mallowvalve.membership.drain import DrainConditions
from mallowvalve.membership.wire import ALIVE, LEAVING, LEFT, MemberRecord

RETURN_WINDOW_S = 5.0
"""Seconds within which a member that left in order is expected back: its platform starts it again."""


class DepartedMember(msgspec.Struct, frozen=True):
    """A member that failed or left, and for how long it has been held so (s)."""

    record: MemberRecord
    departed_for_s: float

    def is_expected_back(self) -> bool:
        """Whether it left in order so lately that its next process is expected."""
        return self.record.state == LEFT and self.departed_for_s < RETURN_WINDOW_S


class ClusterMembership(Protocol):
    """The others as one member sees them."""

    def alive(self, role: str | None = None) -> list[MemberRecord]:
        """Those that are alive or leaving, of one role or of any; not to be changed by the caller."""

    def departed(self, role: str) -> list[DepartedMember]:
        """Those of a role that failed or left and are not forgotten."""

    def settled(self) -> bool:
        """Whether this member has had time to meet the others; until then it may know a few only."""

    def known_for(self, member: MemberRecord) -> float:
        """For how long (s) the present life of a member has been known here."""

    def probe(self, member: MemberRecord) -> None:
        """Ping a member beside the periods, a few times a second at most however often this is called."""

    def suspects(self, member: MemberRecord) -> bool:
        """Whether the last pings of `check` have all been unanswered."""


def accepts(record: MemberRecord) -> bool:
    """Whether a member takes new work: it is ready, also while it leaves, until it says otherwise."""
    return record.ready and record.state in (ALIVE, LEAVING)


def drain_conditions(me: MemberRecord, others: ClusterMembership) -> DrainConditions:
    """What a leaving member has to know of its region before it stops accepting.

    It must stay where nobody else of its role and region accepts and one is on its way back. By the membership alone: a
    view that is out of date costs a gap, or a stop that uses more of its grace, never an answer.
    """
    neighbours = [record for record in others.alive(me.role) if is_neighbour(record, me)]
    accepting = [record for record in neighbours if accepts(record)]
    if any(record.state == ALIVE for record in accepting):
        return DrainConditions(must_stay=False, leavers_ahead=0)
    if accepting:
        return DrainConditions(must_stay=False, leavers_ahead=sum(record.addr < me.addr for record in accepting))
    departed = [one for one in others.departed(me.role) if is_neighbour(one.record, me)]
    return DrainConditions(
        must_stay=bool(neighbours) or any(one.is_expected_back() for one in departed), leavers_ahead=0
    )


def is_neighbour(record: MemberRecord, me: MemberRecord) -> bool:
    """Whether a record is that of another member of the same region."""
    return record.addr != me.addr and record.locality.region == me.locality.region
