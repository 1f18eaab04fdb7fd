"""Decides when a control process that was asked to stop may leave its group.

It keeps its vote and its copy of the state until another member has taken its seat, which Raft grants only in a
configuration whose majority has all committed entries. It does not wait where no process could take the seat: a core
of three that restarts one by one has no fourth machine, and waiting would only make each restart longer.
"""

from __future__ import annotations

import enum

from mallowvalve.control.wire import ProcessStatus
from mallowvalve.raft.messages import ClusterConfiguration
from mallowvalve.raft.raft import Raft
from mallowvalve.types import Address


class LeaveReason(enum.StrEnum):
    """Why the wait ended, or `WAITS` while it lasts."""

    NO_SEAT = "it held no seat"
    REPLACED = "another has its seat"
    NOBODY = "nobody could take its seat"
    WAITS = "its grace was over"


class Leave:
    """The wait of a member that leaves; `why` is its current state."""

    __slots__ = ("me", "why")

    def __init__(self, me: str) -> None:
        """Creates the wait of the member with the id `me`."""
        self.me, self.why = me, LeaveReason.WAITS

    def may_leave(self, raft: Raft | None, answers: list[ProcessStatus], control: list[Address]) -> bool:
        """Whether to leave now, by this member's log, the statuses of others and the control processes alive."""
        self.why = self._reason(raft, answers, control)
        return self.why is not LeaveReason.WAITS

    def _reason(self, raft: Raft | None, answers: list[ProcessStatus], control: list[Address]) -> LeaveReason:
        if raft is None:
            return LeaveReason.NO_SEAT
        voters, committed = raft.log.configuration, raft.log.configuration_index <= raft.commit_index
        if self.me not in voters.all_voters() and committed:
            return LeaveReason.REPLACED if self.me not in voters.learners else LeaveReason.NO_SEAT
        current = [status for status in answers if _is_current(status, raft)]
        reported = [status.voters for status in current if status.voters is not None]
        if any(self.me not in configuration.all_voters() for configuration in reported):
            return LeaveReason.REPLACED
        changing = not committed or any(_is_changing(configuration, control) for configuration in (voters, *reported))
        waits = changing or _has_candidate(answers, voters.all_voters())
        return LeaveReason.WAITS if waits else LeaveReason.NOBODY


def _is_current(status: ProcessStatus, raft: Raft) -> bool:
    """Whether the process has applied the newest configuration that is known here, or a later one."""
    return status.group == raft.group and status.index >= raft.log.configuration_index


def _is_changing(voters: ClusterConfiguration, control: list[Address]) -> bool:
    """Whether a change is in progress, or a live process could take a seat: a learner, or one at no voter's address."""
    seats = voters.all_voters().values()
    return (
        bool(voters.old_voters)
        or any(address not in seats for address in control)
        or any(address in control for address in voters.learners.values())
    )


def _has_candidate(answers: list[ProcessStatus], seats: dict[str, Address]) -> bool:
    """Whether a process without a seat answered; ids count, as a member back empty has a new id at its address."""
    return any(status.role == "control" and status.id not in seats and not status.leaving for status in answers)
