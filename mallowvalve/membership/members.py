"""The membership as other components see it: which members are alive, which have departed, and which are suspected."""

from __future__ import annotations

from typing import Protocol

import msgspec

from mallowvalve.membership.drain import DrainConditions
from mallowvalve.membership.wire import ALIVE, LEAVING, LEFT, MemberRecord

RETURN_WINDOW_S = 5.0
"""How long a member that left in order is expected back: its platform starts it again."""


class DepartedMember(msgspec.Struct, frozen=True):
    """A member that failed or left, and the time since this member recorded that (s)."""

    record: MemberRecord
    departed_for_s: float

    def is_expected_back(self) -> bool:
        """Returns whether the member left in order so recently that its next process is expected."""
        return self.record.state == LEFT and self.departed_for_s < RETURN_WINDOW_S


class ClusterMembership(Protocol):
    """The other members of the cluster, as one member sees them."""

    def alive(self, role: str | None = None) -> list[MemberRecord]:
        """Returns the alive and leaving members of a role, or of all roles; the caller must not modify the list."""

    def departed(self, role: str) -> list[DepartedMember]:
        """Returns the members of a role that failed or left and are not yet forgotten."""

    def settled(self) -> bool:
        """Returns whether this member has had time to discover the others; before that it may know only a few."""

    def known_for(self, member: MemberRecord) -> float:
        """Returns for how long (s) this member has known the current process of another."""

    def probe(self, member: MemberRecord) -> None:
        """Pings a member outside the protocol periods, at most a few times a second however often it is called."""

    def suspects(self, member: MemberRecord) -> bool:
        """Returns whether the last pings of `probe` are all unanswered."""


def accepts(record: MemberRecord) -> bool:
    """Returns whether a member takes new work: it is ready, even while leaving, until it announces otherwise."""
    return record.ready and record.state in (ALIVE, LEAVING)


def drain_conditions(me: MemberRecord, others: ClusterMembership) -> DrainConditions:
    """Returns the conditions in its region under which a leaving member stops accepting.

    The member must keep accepting if no other member of its role and region accepts and one is expected back. The
    decision uses the membership only: a view that is out of date costs a gap, or a stop that uses more of its grace
    period, never an answer.
    """
    neighbours = [record for record in others.alive(me.role) if is_neighbour(record, me)]
    accepting = [record for record in neighbours if accepts(record)]
    if any(record.state == ALIVE for record in accepting):
        return DrainConditions(must_stay=False, leavers_ahead=0)
    if accepting:
        return DrainConditions(must_stay=False, leavers_ahead=sum(record.addr < me.addr for record in accepting))
    departed = [member for member in others.departed(me.role) if is_neighbour(member.record, me)]
    return DrainConditions(
        must_stay=bool(neighbours) or any(member.is_expected_back() for member in departed), leavers_ahead=0
    )


def is_neighbour(record: MemberRecord, me: MemberRecord) -> bool:
    """Returns whether a record is that of another member of the same region."""
    return record.addr != me.addr and record.locality.region == me.locality.region
