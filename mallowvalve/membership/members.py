"""What others ask of the membership: who is there, who has gone, whose silence is doubted."""

from __future__ import annotations

from typing import Protocol

import msgspec

from mallowvalve.membership.closing import Outlook
from mallowvalve.membership.wire import ALIVE, LEAVING, LEFT, Record

RETURN_S = 5.0
"""Seconds within which a member that left in order is expected back: its platform starts it again."""


class Gone(msgspec.Struct, frozen=True):
    """A member that failed or left, and for how long it has been held so (s)."""

    record: Record
    ago: float

    def returns(self) -> bool:
        """Whether it left in order so lately that its next process is expected."""
        return self.record.state == LEFT and self.ago < RETURN_S


class Members(Protocol):
    """The others as one member sees them."""

    def alive(self, role: str | None = None) -> list[Record]:
        """Those that are alive or leaving, of one role or of any; not to be changed by the caller."""

    def gone(self, role: str) -> list[Gone]:
        """Those of a role that failed or left and are not forgotten."""

    def settled(self) -> bool:
        """Whether this member has had time to meet the others; until then it may know a few only."""

    def known_for(self, member: Record) -> float:
        """For how long (s) the present life of a member has been known here."""

    def check(self, member: Record) -> None:
        """Ping a member beside the periods, a few times a second at most however often this is called."""

    def doubts(self, member: Record) -> bool:
        """Whether the last pings of `check` have all been unanswered."""


def accepts(record: Record) -> bool:
    """Whether a member takes new work: it is ready, also while it leaves, until it says otherwise."""
    return record.ready and record.state in (ALIVE, LEAVING)


def outlook(me: Record, others: Members) -> Outlook:
    """What a leaving member has to know of its region before it stops accepting.

    It must stay where nobody else of its role and region accepts and one is on its way back. By the membership alone: a
    view that is out of date costs a gap, or a stop that uses more of its grace, never an answer.
    """
    neighbours = [record for record in others.alive(me.role) if is_neighbour(record, me)]
    accepting = [record for record in neighbours if accepts(record)]
    if any(record.state == ALIVE for record in accepting):
        return Outlook(must_stay=False, before=0)
    if accepting:
        return Outlook(must_stay=False, before=sum(record.addr < me.addr for record in accepting))
    gone = [one for one in others.gone(me.role) if is_neighbour(one.record, me)]
    return Outlook(must_stay=bool(neighbours) or any(one.returns() for one in gone), before=0)


def is_neighbour(record: Record, me: Record) -> bool:
    """Whether a record is that of another member of the same region."""
    return record.addr != me.addr and record.locality.region == me.locality.region
