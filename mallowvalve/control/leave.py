"""When a core member that was told to stop may go.

It keeps its vote and its copy until another member has its seat, which Raft grants only to a configuration whose
majority holds all that was committed. It doesn't wait where nobody could take the seat: a core of three that restarts
one after the other has no fourth machine, and waiting there would only make each restart longer.
"""

from __future__ import annotations

import enum

from mallowvalve.control.wire import Who
from mallowvalve.raft.raft import Raft
from mallowvalve.types import Address


class Why(enum.StrEnum):
    """What ended the wait, or keeps it going."""

    NO_SEAT = "it held no seat"
    REPLACED = "another has its seat"
    NOBODY = "nobody could take its seat"
    WAITS = "its grace was over"


class Leave:
    """The wait of one member; `why` says how it stands."""

    __slots__ = ("me", "why")

    def __init__(self, me: str) -> None:
        self.me, self.why = me, Why.WAITS

    def over(self, raft: Raft | None, answers: list[Who], control: list[Address]) -> bool:
        """Whether to go now, by this member's log, what the leader answers, and which control processes live."""
        self.why = self._why(raft, answers, control)
        return self.why is not Why.WAITS

    def _why(self, raft: Raft | None, answers: list[Who], control: list[Address]) -> Why:
        if raft is None:
            return Why.NO_SEAT
        voters, voters_index = raft.log.voters, raft.log.voters_index
        if self.me not in voters.electors() and voters_index <= raft.commit:
            return Why.REPLACED if self.me not in voters.learners else Why.NO_SEAT
        for w in answers:
            newer = w.group == raft.group and w.index >= voters_index and w.voters is not None
            if newer and self.me not in w.voters.electors():
                return Why.REPLACED
        seats = voters.electors()
        waits = (
            bool(voters.old)
            or self.me not in seats
            or any(a not in seats.values() for a in control)
            or any(a in control for a in voters.learners.values())
            or _could_sit(answers, seats)
        )
        return Why.WAITS if waits else Why.NOBODY


def _could_sit(answers: list[Who], seats: dict[str, Address]) -> bool:
    """Whether one that answers has no seat: its address may have, for a member that came back empty has a new id."""
    return any(w.role == "control" and w.id not in seats and not w.leaving for w in answers)
