"""The invariants of every state, and the history that their checks need.

The names are those of figure 3 of the Raft paper. Each check returns a description of the violation, or None.
"""

from __future__ import annotations

import itertools

from mallowvalve.raft.messages import CONFIGURATION, ClusterConfiguration, Entry, decode_configuration
from verification.identity import digest
from verification.member import SimulatedMember

Members = dict[str, SimulatedMember]


class InvariantChecker:
    """Records the leader of each term, and each committed entry with the term that first committed it."""

    __slots__ = ("leaders", "committed", "state_digests", "acknowledged_index", "wiped_members")

    def __init__(self) -> None:
        """Starts with an empty history."""
        self.leaders: dict[int, str] = {}
        self.committed: list[tuple[Entry, int]] = []
        self.state_digests: dict[int, bytes] = {}
        self.acknowledged_index = 0
        self.wiped_members: set[str] = set()

    def copy(self) -> InvariantChecker:
        """Returns an independent copy."""
        other = object.__new__(InvariantChecker)
        other.leaders, other.committed = dict(self.leaders), list(self.committed)
        other.state_digests, other.acknowledged_index, other.wiped_members = (
            dict(self.state_digests),
            self.acknowledged_index,
            set(self.wiped_members),
        )
        return other

    def state_key(self) -> bytes:
        """Returns the identity of the recorded history."""
        return digest(
            [sorted(self.leaders.items()), self.committed, self.acknowledged_index, sorted(self.wiped_members)]
        )

    def check(self, members: Members, touched: SimulatedMember) -> str | None:
        """Checks every invariant that the last step, at one member, can have violated."""
        broken = (
            self.election_safety(touched)
            or self.log_matching(members, touched)
            or self.state_machine_safety(members, touched)
            or self.leader_completeness(touched)
            or self.one_change_at_a_time(touched)
            or self.fresh_reads(touched)
        )
        touched.configuration_before_step = None
        return broken

    def election_safety(self, touched: SimulatedMember) -> str | None:
        """At most one leader is elected in a term."""
        if not touched.raft.leads:
            return None
        previous = self.leaders.setdefault(touched.raft.term, touched.id)
        if previous == touched.id:
            return None
        return f"election safety: {previous} and {touched.id} both led term {touched.raft.term}"

    def log_matching(self, members: Members, touched: SimulatedMember) -> str | None:
        """Two logs with the same term at an index contain the same entries up to that index."""
        for other in members.values():
            if other is not touched and not _logs_match(touched, other):
                return f"log matching: the logs of {touched.id} and {other.id} differ before an entry they share"
        return None

    def state_machine_safety(self, members: Members, touched: SimulatedMember) -> str | None:
        """No two members apply different entries at an index.

        A committed entry is also on the disks of a quorum.
        """
        applied, log = touched.applied.index, touched.raft.log
        if applied < touched.highest_applied:
            return f"state machine safety: {touched.id} went back from {touched.highest_applied} to {applied}"
        for index in range(log.snapshot_index + 1, min(applied, len(self.committed)) + 1):
            if log.term(index) is None or log.get(index) != self.committed[index - 1][0]:
                return f"state machine safety: {touched.id} applied another entry at {index}"
        for index in range(len(self.committed) + 1, applied + 1):
            if not log.snapshot_index < index <= log.last_index:
                return f"state machine safety: {touched.id} applied entry {index}, which nobody committed"
            self.committed.append((log.get(index), touched.raft.term))
            voters = touched.configuration_before_step or log.configuration
            if not _is_quorum(_disks_with_entry(members, index, log.get(index).term) | self.wiped_members, voters):
                return (
                    f"commit without a quorum: entry {index} is not on the disks of a quorum of {_voter_names(voters)}"
                )
        previous = self.state_digests.setdefault(applied, touched.applied.history)
        if previous != touched.applied.history:
            return f"state machine safety: {touched.id} has another state at {applied}"
        return None

    def leader_completeness(self, touched: SimulatedMember) -> str | None:
        """An entry committed in a term is in the log of the leader of every later term."""
        raft = touched.raft
        if not raft.leads:
            return None
        for entry, term in self.committed[raft.log.snapshot_index :]:
            if term <= raft.term and raft.log.term(entry.index) != entry.term:
                return f"leader completeness: {touched.id} leads term {raft.term} without entry {entry.index}"
        return None

    def may_wipe(self, members: Members, name: str) -> bool:
        """Returns whether a disk may be lost: a quorum of each voter set must keep all committed entries.

        A new or restored member counts as lost until it stores all committed entries.
        """
        complete = set(members) - {name}
        if self.committed:
            entry = self.committed[-1][0]
            complete &= _disks_with_entry(members, entry.index, entry.term)
        return all(_is_quorum(complete, voters) for member in members.values() for voters in _configurations(member))

    def committed_entries_survive(self, members: Members) -> str | None:
        """The members that lack a committed entry form no quorum."""
        for entry, _ in self.committed:
            lacking = set(members) - _disks_with_entry(members, entry.index, entry.term)
            if any(_is_quorum(lacking, voters) for member in members.values() for voters in _configurations(member)):
                return f"lost: entry {entry.index} was committed, and a quorum is without it"
        return None

    def one_change_at_a_time(self, touched: SimulatedMember) -> str | None:
        """A leader's log contains at most one uncommitted configuration change.

        The quorums before and after a change intersect.
        """
        log = touched.raft.log
        if not touched.raft.leads:
            return None
        changes = [entry for entry in log.entries if entry.kind == CONFIGURATION]
        committed_index = max(touched.raft.commit_index, len(self.committed))
        if sum(entry.index > committed_index for entry in changes) > 1:
            return f"one change at a time: {touched.id} has two changes of voters under way"
        configurations = _configurations(touched)
        for before, after in itertools.pairwise(configurations):
            if not _quorums_meet(before, after):
                return (
                    f"one change at a time: quorums of {_voter_names(before)} "
                    f"and of {_voter_names(after)} need not meet"
                )
        return None

    def fresh_reads(self, touched: SimulatedMember) -> str | None:
        """A confirmed read reflects everything that was acknowledged before it started."""
        for index in touched.acknowledged_indexes:
            self.acknowledged_index = max(self.acknowledged_index, index)
        stale = [read for read in touched.read_answers if read.index < read.floor]
        touched.acknowledged_indexes, touched.read_answers = [], []
        if stale:
            return f"stale read: {touched.id} answered from {stale[0].index}, {stale[0].floor} was acknowledged"
        return None


def _logs_match(one_member: SimulatedMember, other_member: SimulatedMember) -> bool:
    left, right = one_member.raft.log, other_member.raft.log
    low = max(left.snapshot_index, right.snapshot_index)
    high = min(left.last_index, right.last_index)
    while high > low and left.term(high) != right.term(high):
        high -= 1
    if high <= low:
        return True
    return (
        left.entries[low - left.snapshot_index : high - left.snapshot_index]
        == right.entries[low - right.snapshot_index : high - right.snapshot_index]
    )


def _disks_with_entry(members: Members, index: int, term: int) -> set[str]:
    return {name for name, member in members.items() if _disk_has_entry(member, index, term)}


def _disk_has_entry(member: SimulatedMember, index: int, term: int) -> bool:
    """Returns whether a disk contains the entry, or a snapshot that covers it."""
    return index <= member.durable.base or member.durable.term(index) == term


def _configurations(member: SimulatedMember) -> list[ClusterConfiguration]:
    """Returns all configurations in a member's log since its base."""
    log = member.raft.log
    return [
        log.snapshot.configuration,
        *(decode_configuration(entry.data) for entry in log.entries if entry.kind == CONFIGURATION),
    ]


def _is_quorum(names: set[str], voters: ClusterConfiguration) -> bool:
    """Returns whether the names include a majority of the voters, and of the old voters in a joint configuration."""
    sides = [side for side in (voters.voters, getattr(voters, "old_voters", {})) if side]
    return all(2 * len(names & side.keys()) > len(side) for side in sides)


def _quorums_meet(before: ClusterConfiguration, after: ClusterConfiguration) -> bool:
    """Returns whether every quorum of one configuration intersects every quorum of the other.

    They don't if some split of the members gives each configuration a quorum.
    """
    everyone = sorted(
        {*before.voters, *after.voters, *getattr(before, "old_voters", {}), *getattr(after, "old_voters", {})}
    )
    for size in range(len(everyone) + 1):
        for group in itertools.combinations(everyone, size):
            if _is_quorum(set(group), before) and _is_quorum(set(everyone) - set(group), after):
                return False
    return True


def _voter_names(voters: ClusterConfiguration) -> str:
    old_voters = getattr(voters, "old_voters", {})
    return "+".join(sorted(voters.voters)) + (" with " + "+".join(sorted(old_voters)) if old_voters else "")
