"""Injected faults: machines that each lack one protection, to prove that the checks detect its absence.

Each fault is a subclass of a product class or a temporary replacement of a method; the product contains none of them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest.mock import patch

import msgspec
from msgspec.structs import replace

from mallowvalve.raft import log
from mallowvalve.raft.messages import (
    CONFIGURATION,
    AppendEntries,
    AppendEntriesResponse,
    ClusterConfiguration,
    Entry,
    HardState,
    InstallSnapshot,
    Message,
    RequestVote,
    encode,
)
from mallowvalve.raft.progress import Ready
from mallowvalve.raft.raft import Raft
from mallowvalve.raft.rounds import HeartbeatRounds
from mallowvalve.storage import log as storage_log
from verification import steps
from verification.bounds import RANDOM_WALK, UNBOUNDED, Bounds
from verification.cluster import Cluster
from verification.scheduler import STEP_WEIGHTS

HIGHEST_INDEX = 1 << 30
"""An index and a term above those of every log."""
RECORD_HEAD_BYTES = 12
CHANGING_BOUNDS = replace(RANDOM_WALK, spares=2, changes=UNBOUNDED)
STEADY_BOUNDS = replace(RANDOM_WALK, crashes=0, compactions=0, reads=0, silences=0, repeats=0)
READING_BOUNDS = replace(STEADY_BOUNDS, reads=UNBOUNDED)
RACING_WEIGHTS = {**STEP_WEIGHTS, steps.Timeout: 250, steps.CrashMember: 120, steps.LoseMessage: 0}
VOTING_BOUNDS = replace(STEADY_BOUNDS, contested=True, crashes=UNBOUNDED, commands=0)
SWAPPING_BOUNDS = replace(STEADY_BOUNDS, spares=3, changes=UNBOUNDED)
SNAPSHOT_BOUNDS = replace(STEADY_BOUNDS, compactions=UNBOUNDED, repeats=UNBOUNDED)
WIPING_BOUNDS = replace(CHANGING_BOUNDS, wipes=UNBOUNDED)
IndexOfMember = Callable[[str], int]


class VoteNotSaved(Raft):
    """Writes its term without its vote."""

    def hard_state(self) -> HardState:
        """Returns the hard state to write."""
        return replace(super().hard_state(), vote="")


class TermNotSaved(Raft):
    """Doesn't write a term that it enters without a vote or an entry."""

    def ready(self, now: float) -> Ready:
        """Returns what to write and what to send."""
        ready = super().ready(now)
        if not ready.entries and ready.snapshot is None:
            ready.hard_state = None
        return ready


class SendsBeforeSaving(Raft):
    """Sends at once the messages that must wait for the disk."""

    def ready(self, now: float) -> Ready:
        """Returns what to write and what to send."""
        ready = super().ready(now)
        ready.before_save, ready.after_save = ready.before_save + ready.after_save, []
        return ready


class VotesForAnyLog(Raft):
    """Votes for a candidate regardless of its log."""

    def _on_request_vote(self, sender: str, message: RequestVote, now: float) -> None:
        super()._on_request_vote(sender, replace(message, last_index=HIGHEST_INDEX, last_term=HIGHEST_INDEX), now)


class VotesTwice(Raft):
    """Forgets its vote within a term."""

    def _on_request_vote(self, sender: str, message: RequestVote, now: float) -> None:
        if not message.pre_vote and not self.leads:
            self.vote = ""
        super()._on_request_vote(sender, message, now)


class CommitsEarlierTerms(Raft):
    """Commits an entry of an earlier term by counting replicas (figure 8 of the Raft paper)."""

    def _advance(self) -> None:
        super()._advance()
        replicated_index = self.log.configuration.majority_value(
            lambda name: self._saved_index if name == self.me else self._progress_of(name).match_index
        )
        self.commit_index = max(self.commit_index, replicated_index)


class UnconfirmedReads(Raft):
    """Regards a read as confirmed by rounds that were sent before the read started."""

    def request_confirmation_round(self) -> int:
        """Returns the round that a read waits for."""
        return self.rounds.confirmed


class ConcurrentChanges(Raft):
    """Starts a configuration change while another is in progress."""

    def change_configuration(self, wanted: ClusterConfiguration, at: int) -> int | None:
        """Starts the change."""
        if not self.leads:
            return None
        joint = replace(wanted, old_voters=self.log.configuration.voters)
        return self._append(joint if wanted.voters != joint.old_voters else wanted)

    def _append(self, voters: ClusterConfiguration) -> int:
        entry = Entry(self.log.last_index + 1, self.term, CONFIGURATION, 0, encode(voters))
        self.log.append(entry)
        self._unsaved_entries.append(entry)
        self.broadcast_requested = True
        return entry.index


class SingleStepChange(Raft):
    """Changes voters without a joint configuration in between."""

    def change_configuration(self, wanted: ClusterConfiguration, at: int) -> int | None:
        """Starts the change."""
        return self.propose(CONFIGURATION, encode(wanted), at)


class InstallsOlderSnapshots(Raft):
    """Installs a snapshot over a log with a higher commit index."""

    def _on_install_snapshot(self, sender: str, message: InstallSnapshot, now: float) -> None:
        if message.snapshot.state:
            self.commit_index = 0
        super()._on_install_snapshot(sender, message, now)


class AcceptsConflictingEntries(Raft):
    """Appends entries after an entry whose term differs from the leader's."""

    def receive(self, sender: str, message: Any, now: float) -> None:
        """Processes a message."""
        if (
            hasattr(message, "previous_term")
            and self.log.snapshot_index <= message.previous_index <= self.log.last_index
        ):
            message = replace(message, previous_term=self.log.term(message.previous_index))
        super().receive(sender, message, now)


def _record_without_checksum(data: bytes, at: int) -> bytes | None:
    """Decodes a record without verifying its checksum, even if it is truncated."""
    if len(data) < at + RECORD_HEAD_BYTES:
        return None
    size = int.from_bytes(data[at + 4 : at + 8])
    return data[at + RECORD_HEAD_BYTES : at + RECORD_HEAD_BYTES + size]


class ReusesIdAfterWipe(Cluster):
    """Brings a member that lost its disk back under its former id."""

    def _wipe(self, step: steps.WipeDisk) -> str | None:
        broken = super()._wipe(step)
        member = self.members.pop(step.fresh)
        self._add(step.member, member.raft.log.snapshot, member.seed, member.now)
        self.invariants.wiped_members.discard(step.member)
        return broken


def _majority_index(names: Any, index_of: IndexOfMember) -> int:
    return sorted(map(index_of, names), reverse=True)[len(names) // 2]


def _new_voters_only(voters: ClusterConfiguration, index_of: IndexOfMember) -> int:
    """Requires no majority of the old voters in a joint configuration."""
    return _majority_index(voters.voters, index_of)


def _learners_as_voters(voters: ClusterConfiguration, index_of: IndexOfMember) -> int:
    """Counts learners as voters."""
    return _majority_index(voters.members(), index_of)


def _half_of_voters(voters: ClusterConfiguration, index_of: IndexOfMember) -> int:
    """Accepts a quorum that is one member short of a majority."""
    return max(map(index_of, voters.voters))


def _always_confirmed(rounds: HeartbeatRounds, round_number: int) -> None:
    """Confirms rounds as soon as they are sent."""
    rounds.confirmed = rounds.round_number


class AnswersOldTermsWithTheirRound(Raft):
    """Answers a message of an older term by that message's round, as if it had been sent in the newer term."""

    def receive(self, sender: str, message: Message, now: float) -> None:
        """Handles a message."""
        if isinstance(message, AppendEntries | InstallSnapshot) and message.term < self.term:
            response = AppendEntriesResponse(self.term, False, 0, message.round_number)
            self._after_save.append((sender, response))
            return
        super().receive(sender, message, now)


class Fault(msgspec.Struct, frozen=True):
    """A protection, its removal, the run that must fail, and the invariants that may fail.

    The search begins at `first_seed`: a failure that few paths reach has a seed that is known to reach it.
    """

    name: str
    expected_failures: tuple[str, ...]
    raft_class: type[Raft] = Raft
    patches: tuple[tuple[Any, str, Any], ...] = ()
    bounds: Bounds = RANDOM_WALK
    cluster_class: type[Cluster] = Cluster
    length: int = 600
    first_seed: int = 0
    weights: dict[type[steps.Step], int] = msgspec.field(default_factory=lambda: STEP_WEIGHTS)

    @contextmanager
    def injected(self) -> Iterator[Callable[..., Cluster]]:
        """Removes the protection temporarily and yields a factory of clusters without it."""
        with ExitStack() as stack:
            for owner, name, method in self.patches:
                stack.enter_context(patch.object(owner, name, method))
            yield lambda bounds, seed=None: self.cluster_class(bounds, raft_class=self.raft_class, seed=seed)

    @property
    def intact_class(self) -> type[Cluster]:
        """The class of the cluster in which nothing was removed."""
        return next(kind for kind in self.cluster_class.__mro__ if kind.__module__ != __name__)


ELECTION_SAFETY = "election safety"
LOG_MATCHING = "log matching"
STATE_MACHINE_SAFETY = "state machine safety"
LEADER_COMPLETENESS = "leader completeness"
COMMIT_WITHOUT_QUORUM = "commit without a quorum"
ONE_CHANGE_AT_A_TIME = "one change at a time"
STALE_READ = "stale read"
LOST_ENTRY = "lost"

FAULTS = (
    Fault(
        "vote saved before it is sent",
        (ELECTION_SAFETY,),
        VoteNotSaved,
        bounds=VOTING_BOUNDS,
        weights=RACING_WEIGHTS,
        length=100,
    ),
    Fault("one vote a term", (ELECTION_SAFETY,), VotesTwice, bounds=VOTING_BOUNDS, weights=RACING_WEIGHTS, length=100),
    Fault(
        "term saved before it is acted on",
        (ELECTION_SAFETY, LOG_MATCHING, STATE_MACHINE_SAFETY),
        TermNotSaved,
        bounds=VOTING_BOUNDS,
        weights=RACING_WEIGHTS,
        length=100,
    ),
    Fault(
        "nothing said before the disk confirms",
        (ELECTION_SAFETY, COMMIT_WITHOUT_QUORUM, LEADER_COMPLETENESS),
        SendsBeforeSaving,
    ),
    Fault(
        "a torn record is cut off",
        ("exception", ELECTION_SAFETY, COMMIT_WITHOUT_QUORUM),
        patches=((storage_log, "decode_record", _record_without_checksum),),
    ),
    Fault("votes only for logs as new", (LEADER_COMPLETENESS, STATE_MACHINE_SAFETY), VotesForAnyLog),
    Fault(
        "former terms commit by an entry of the term",
        (LEADER_COMPLETENESS, STATE_MACHINE_SAFETY),
        CommitsEarlierTerms,
        ((log, "MAX_ENTRIES_PER_MESSAGE", 1),),
        bounds=STEADY_BOUNDS,
    ),
    Fault(
        "entries only behind their predecessor",
        (LOG_MATCHING, STATE_MACHINE_SAFETY, COMMIT_WITHOUT_QUORUM),
        AcceptsConflictingEntries,
    ),
    Fault(
        "a round is confirmed by answers to this term's messages only",
        (STALE_READ,),
        AnswersOldTermsWithTheirRound,
        length=1000,
        first_seed=2500317,
    ),
    Fault("reads wait for a round sent after them", (STALE_READ,), UnconfirmedReads, bounds=READING_BOUNDS),
    Fault(
        "rounds need answers",
        (STALE_READ,),
        patches=((HeartbeatRounds, "confirm", _always_confirmed),),
        bounds=READING_BOUNDS,
    ),
    Fault(
        "a majority, not half",
        (ELECTION_SAFETY, COMMIT_WITHOUT_QUORUM),
        patches=((ClusterConfiguration, "majority_value", _half_of_voters),),
    ),
    Fault(
        "no snapshot over a newer log",
        (STATE_MACHINE_SAFETY, LEADER_COMPLETENESS, COMMIT_WITHOUT_QUORUM),
        InstallsOlderSnapshots,
        bounds=SNAPSHOT_BOUNDS,
    ),
    Fault("one change of voters at a time", (ONE_CHANGE_AT_A_TIME,), ConcurrentChanges, bounds=CHANGING_BOUNDS),
    Fault("a joint configuration between two", (ONE_CHANGE_AT_A_TIME,), SingleStepChange, bounds=CHANGING_BOUNDS),
    Fault(
        "both majorities while joint",
        (COMMIT_WITHOUT_QUORUM, ELECTION_SAFETY, LEADER_COMPLETENESS),
        patches=((ClusterConfiguration, "majority_value", _new_voters_only),),
        bounds=SWAPPING_BOUNDS,
    ),
    Fault(
        "learners have no vote",
        (COMMIT_WITHOUT_QUORUM, ELECTION_SAFETY),
        patches=((ClusterConfiguration, "majority_value", _learners_as_voters),),
        bounds=CHANGING_BOUNDS,
    ),
    Fault(
        "a new id after a lost disk",
        (COMMIT_WITHOUT_QUORUM, ELECTION_SAFETY, LEADER_COMPLETENESS, LOST_ENTRY),
        bounds=WIPING_BOUNDS,
        cluster_class=ReusesIdAfterWipe,
    ),
)
