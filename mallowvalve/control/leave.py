"""When a core member that was told to stop may go.

It keeps its vote and its copy until another member has its seat, which Raft grants only to a configuration whose
majority holds all that was committed. It doesn't wait where nobody could take the seat: a core of three that restarts
one after the other has no fourth machine, and waiting there would only make each restart longer.
"""

from __future__ import annotations

import enum

from mallowvalve.control.wire import ProcessStatus
from mallowvalve.raft.messages import ClusterConfiguration
from mallowvalve.raft.raft import Raft
from mallowvalve.types import Address


class LeaveReason(enum.StrEnum):
    """What ended the wait, or keeps it going."""

    NO_SEAT = "it held no seat"
    REPLACED = "another has its seat"
    NOBODY = "nobody could take its seat"
    WAITS = "its grace was over"


class Leave:
    """The wait of one member; `why` says how it stands."""

    __slots__ = ("me", "why")

    def __init__(self, me: str) -> None:
        """`me` is the id of the member that was told to stop."""
        self.me, self.why = me, LeaveReason.WAITS

    def may_leave(self, raft: Raft | None, answers: list[ProcessStatus], control: list[Address]) -> bool:
        """Whether to go now, by this member's log, what the leader answers, and which control processes live."""
        self.why = self._why(raft, answers, control)
        return self.why is not LeaveReason.WAITS

    def _why(self, raft: Raft | None, answers: list[ProcessStatus], control: list[Address]) -> LeaveReason:
        if raft is None:
            return LeaveReason.NO_SEAT
        voters, committed = raft.log.configuration, raft.log.configuration_index <= raft.commit_index
        if self.me not in voters.all_voters() and committed:
            return LeaveReason.REPLACED if self.me not in voters.learners else LeaveReason.NO_SEAT
        told = [w.voters for w in answers if _knows_as_much(w, raft) and w.voters is not None]
        if any(self.me not in t.all_voters() for t in told):
            return LeaveReason.REPLACED
        changing = not committed or any(_changes(v, control) for v in (voters, *told))
        return LeaveReason.WAITS if changing or _could_sit(answers, voters.all_voters()) else LeaveReason.NOBODY


def _knows_as_much(w: ProcessStatus, raft: Raft) -> bool:
    """Whether one that answers has applied the newest configuration that is known here, or a later one."""
    return w.group == raft.group and w.index >= raft.log.configuration_index


def _changes(voters: ClusterConfiguration, control: list[Address]) -> bool:
    """Whether a change is under way, or somebody alive could take a seat: a learner, or one at no seat's address."""
    seats = voters.all_voters().values()
    return (
        bool(voters.old_voters)
        or any(a not in seats for a in control)
        or any(a in control for a in voters.learners.values())
    )


def _could_sit(answers: list[ProcessStatus], seats: dict[str, Address]) -> bool:
    """Whether one that answers has no seat: its address may have, for a member that came back empty has a new id."""
    return any(w.role == "control" and w.id not in seats and not w.leaving for w in answers)
