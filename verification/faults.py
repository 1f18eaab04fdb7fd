"""Protections taken out one at a time: machines of which each lacks one, to see that the checks would notice.

Each is a subclass of a product's machine or a method put in its place for a while; the product knows nothing of it.
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
    ClusterConfiguration,
    Entry,
    HardState,
    InstallSnapshot,
    RequestVote,
    encode,
)
from mallowvalve.raft.progress import Ready
from mallowvalve.raft.raft import Raft
from mallowvalve.raft.rounds import HeartbeatRounds
from mallowvalve.storage import log as storage_log
from verification import steps
from verification.bounds import UNBOUNDED, WALK, Bounds
from verification.cluster import Cluster
from verification.weather import WEIGHTS

NEWEST = 1 << 30
HEAD_BYTES = 12
CHANGING = replace(WALK, spares=2, changes=UNBOUNDED)
STEADY = replace(WALK, crashes=0, compactions=0, reads=0, silences=0, repeats=0)
READING = replace(STEADY, reads=UNBOUNDED)
RACING = {**WEIGHTS, steps.Timeout: 250, steps.Crash: 120, steps.Lose: 0}
VOTING = replace(STEADY, contested=True, crashes=UNBOUNDED, commands=0)
SWAPPING = replace(STEADY, spares=3, changes=UNBOUNDED)
SNAPSHOTS = replace(STEADY, compactions=UNBOUNDED, repeats=UNBOUNDED)
WIPING = replace(CHANGING, wipes=UNBOUNDED)
Reach = Callable[[str], int]


class VoteNotSaved(Raft):
    """Writes its term without its vote."""

    def hard_state(self) -> HardState:
        """What is written."""
        return replace(super().hard_state(), vote="")


class TermNotSaved(Raft):
    """Writes nothing of a term that it enters without a vote or an entry."""

    def ready(self, now: float) -> Ready:
        """What is to be written and sent."""
        out = super().ready(now)
        if not out.entries and out.snapshot is None:
            out.hard_state = None
        return out


class SpeaksBeforeSaving(Raft):
    """Sends what it should send only once its disk has confirmed."""

    def ready(self, now: float) -> Ready:
        """What is to be written and sent."""
        out = super().ready(now)
        out.before_save, out.after_save = out.before_save + out.after_save, []
        return out


class VotesForAnyLog(Raft):
    """Votes for a candidate whatever its log holds."""

    def _on_request_vote(self, src: str, m: RequestVote, now: float) -> None:
        super()._on_request_vote(src, replace(m, last_index=NEWEST, last_term=NEWEST), now)


class VotesTwice(Raft):
    """Forgets within a term that it has voted."""

    def _on_request_vote(self, src: str, m: RequestVote, now: float) -> None:
        if not m.pre_vote and not self.leads:
            self.vote = ""
        super()._on_request_vote(src, m, now)


class CommitsFormerTerms(Raft):
    """Commits an entry of a former term by counting who holds it (the paper's figure 8)."""

    def _advance(self) -> None:
        super()._advance()
        count = self.log.configuration.majority_value(
            lambda name: self._saved_index if name == self.me else self._progress_of(name).match_index
        )
        self.commit_index = max(self.commit_index, count)


class ReadsUnconfirmed(Raft):
    """Takes a read as confirmed by rounds that went out before it was asked."""

    def request_confirmation_round(self) -> int:
        """The round that a read waits for."""
        return self.rounds.confirmed


class ChangesAtOnce(Raft):
    """Begins a change of voters while another is under way."""

    def change_configuration(self, v: ClusterConfiguration, at: int) -> int | None:
        """Begins the change."""
        if not self.leads:
            return None
        joint = replace(v, old_voters=self.log.configuration.voters)
        return self._append(joint if v.voters != joint.old_voters else v)

    def _append(self, voters: ClusterConfiguration) -> int:
        entry = Entry(self.log.last_index + 1, self.term, CONFIGURATION, 0, encode(voters))
        self.log.append(entry)
        self._unsaved_entries.append(entry)
        self.broadcast_requested = True
        return entry.index


class ChangesInOneStep(Raft):
    """Goes to other voters without a joint configuration between."""

    def change_configuration(self, v: ClusterConfiguration, at: int) -> int | None:
        """Begins the change."""
        return self.propose(CONFIGURATION, encode(v), at)


class TakesOlderSnapshots(Raft):
    """Installs a snapshot over a log that is committed further on."""

    def _on_install_snapshot(self, src: str, m: InstallSnapshot, now: float) -> None:
        if m.snapshot.state:
            self.commit_index = 0
        super()._on_install_snapshot(src, m, now)


class KeepsConflicts(Raft):
    """Takes entries behind an entry of another term than the leader's."""

    def receive(self, src: str, m: Any, now: float) -> None:
        """Takes in a message."""
        if hasattr(m, "previous_term") and self.log.snapshot_index <= m.previous_index <= self.log.last_index:
            m = replace(m, previous_term=self.log.term(m.previous_index))
        super().receive(src, m, now)


def _unchecked(data: bytes, at: int) -> bytes | None:
    """A record that is taken without its checksum, as far as it goes."""
    if len(data) < at + HEAD_BYTES:
        return None
    size = int.from_bytes(data[at + 4 : at + 8])
    return data[at + HEAD_BYTES : at + HEAD_BYTES + size]


class SameIdAfterWipe(Cluster):
    """A member that lost its disk comes back under its former id."""

    def _wipe(self, step: steps.Wipe) -> str | None:
        broken = super()._wipe(step)
        member = self.members.pop(step.fresh)
        self._add(step.member, member.raft.log.snapshot, member.seed, member.now)
        self.record.gone.discard(step.member)
        return broken


def _majority(names: Any, reach: Reach) -> int:
    return sorted(map(reach, names), reverse=True)[len(names) // 2]


def _new_voters_only(voters: ClusterConfiguration, reach: Reach) -> int:
    """A joint configuration that asks no majority of the former voters."""
    return _majority(voters.voters, reach)


def _learners_too(voters: ClusterConfiguration, reach: Reach) -> int:
    """A configuration in which learners count as voters."""
    return _majority(voters.members(), reach)


def _half(voters: ClusterConfiguration, reach: Reach) -> int:
    """A configuration whose quorum is one member short of a majority."""
    return max(map(reach, voters.voters))


def _always_answered(rounds: HeartbeatRounds, seq: int) -> None:
    """Rounds that are confirmed as soon as they are sent."""
    rounds.confirmed = rounds.round_number


class Fault(msgspec.Struct, frozen=True):
    """A protection, what takes it out, the run that has to fail, and the names of what may break."""

    name: str
    breaks: tuple[str, ...]
    machine: type[Raft] = Raft
    patches: tuple[tuple[Any, str, Any], ...] = ()
    bounds: Bounds = WALK
    cluster: type[Cluster] = Cluster
    length: int = 600
    weights: dict[type[steps.Step], int] = msgspec.field(default_factory=lambda: WEIGHTS)

    @contextmanager
    def out(self) -> Iterator[Callable[..., Cluster]]:
        """Takes the protection out for a while; gives what makes clusters without it."""
        with ExitStack() as stack:
            for owner, name, method in self.patches:
                stack.enter_context(patch.object(owner, name, method))
            yield lambda bounds, seed=None: self.cluster(bounds, machine=self.machine, seed=seed)


ELECTION, LOG, STATE = "election safety", "log matching", "state machine safety"
COMPLETE, QUORUM, CHANGE, STALE = "leader completeness", "commit without a quorum", "one change at a time", "stale read"
LOST = "lost"

FAULTS = (
    Fault("vote saved before it is sent", (ELECTION,), VoteNotSaved, bounds=VOTING, weights=RACING, length=100),
    Fault("one vote a term", (ELECTION,), VotesTwice, bounds=VOTING, weights=RACING, length=100),
    Fault(
        "term saved before it is acted on",
        (ELECTION, LOG, STATE),
        TermNotSaved,
        bounds=VOTING,
        weights=RACING,
        length=100,
    ),
    Fault("nothing said before the disk confirms", (ELECTION, QUORUM, COMPLETE), SpeaksBeforeSaving),
    Fault(
        "a torn record is cut off",
        ("exception", ELECTION, QUORUM),
        patches=((storage_log, "decode_record", _unchecked),),
    ),
    Fault("votes only for logs as new", (COMPLETE, STATE), VotesForAnyLog),
    Fault(
        "former terms commit by an entry of the term",
        (COMPLETE, STATE),
        CommitsFormerTerms,
        ((log, "MAX_ENTRIES_PER_MESSAGE", 1),),
        bounds=STEADY,
    ),
    Fault("entries only behind their predecessor", (LOG, STATE, QUORUM), KeepsConflicts),
    Fault("reads wait for a round sent after them", (STALE,), ReadsUnconfirmed, bounds=READING),
    Fault("rounds need answers", (STALE,), patches=((HeartbeatRounds, "confirm", _always_answered),), bounds=READING),
    Fault("a majority, not half", (ELECTION, QUORUM), patches=((ClusterConfiguration, "majority_value", _half),)),
    Fault("no snapshot over a newer log", (STATE, COMPLETE, QUORUM), TakesOlderSnapshots, bounds=SNAPSHOTS),
    Fault("one change of voters at a time", (CHANGE,), ChangesAtOnce, bounds=CHANGING),
    Fault("a joint configuration between two", (CHANGE,), ChangesInOneStep, bounds=CHANGING),
    Fault(
        "both majorities while joint",
        (QUORUM, ELECTION, COMPLETE),
        patches=((ClusterConfiguration, "majority_value", _new_voters_only),),
        bounds=SWAPPING,
    ),
    Fault(
        "learners have no vote",
        (QUORUM, ELECTION),
        patches=((ClusterConfiguration, "majority_value", _learners_too),),
        bounds=CHANGING,
    ),
    Fault("a new id after a lost disk", (QUORUM, ELECTION, COMPLETE, LOST), bounds=WIPING, cluster=SameIdAfterWipe),
)
