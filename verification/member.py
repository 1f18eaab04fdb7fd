"""One simulated member: the product's Raft state machine over its disk log, driven as the daemon drives it.

A step of the state machine returns what to save and what to send. Messages in `before_save` go out at once, all others
only after the disk confirms the write. In between the member takes no other step, but it may crash.
"""

from __future__ import annotations

import contextlib
import hashlib
import random
from collections.abc import Callable
from typing import Any

import msgspec
from msgspec.structs import replace

from mallowvalve.control import store
from mallowvalve.control.waiting import PendingRead, PendingReads
from mallowvalve.raft.log import Log
from mallowvalve.raft.messages import COMMAND, ClusterConfiguration, Entry, GroupId, HardState, Message, RaftSnapshot
from mallowvalve.raft.progress import RaftTimings, Ready
from mallowvalve.raft.raft import Raft
from mallowvalve.storage.log import DiskLog
from verification.disk import PowerLossDisk, PowerLossError
from verification.identity import (
    EXCLUDED_SLOTS,
    EXCLUDED_SLOTS_WITHOUT_LEASES,
    ZeroRandom,
    canonical_form,
    clone,
    digest,
)

FLEET = "verification"
TIMINGS = RaftTimings()
FREEZE_S = 3 * TIMINGS.election_timeout
SentMessages = list[tuple[str, Message]]


class AppliedHistory:
    """An applied state that consists of its history only: a digest of all commands in order."""

    __slots__ = ("index", "history")

    def __init__(self, snapshot: RaftSnapshot):
        """Restores the state from a snapshot."""
        self.index, self.history = snapshot.index, snapshot.state[0]

    def apply(self, entry: Entry) -> None:
        """Applies the next entry."""
        self.index = entry.index
        if entry.kind == COMMAND:
            self.history = hashlib.blake2b(self.history + entry.data, digest_size=8).digest()

    def revision_at(self, index: int) -> int:
        """Returns the revision at an index, which is the index itself here."""
        return index


class DurableLog(msgspec.Struct, frozen=True):
    """The content of a member's disk: the base, the terms of the entries after it, and the last hard state."""

    base: int = 0
    base_term: int = 0
    terms: tuple[int, ...] = ()
    hard: HardState | None = None

    def term(self, index: int) -> int | None:
        """Returns the term of the entry at an index, or None if there is none."""
        position = index - self.base
        if position == 0:
            return self.base_term
        return self.terms[position - 1] if 0 < position <= len(self.terms) else None


class AnsweredRead(msgspec.Struct, frozen=True):
    """An answered read: the index acknowledged when it started, and the index that the answer is from."""

    floor: int
    index: int


class SimulatedMember:
    """Runs one state machine; the checker reads and clears `acknowledged_indexes` and `read_answers`."""

    __slots__ = (
        "id",
        "raft_class",
        "seed",
        "rng",
        "now",
        "disk_log",
        "raft",
        "applied",
        "durable",
        "highest_applied",
        "configuration_before_step",
        "pending_save",
        "pending_reads",
        "proposed_terms",
        "acknowledged_indexes",
        "read_answers",
        "_cached_state_key",
    )

    def __init__(self, id: str, raft_class: type[Raft], seed: int | None, snapshot: RaftSnapshot, now: float = 0.0):
        """Without a `seed` all random numbers are 0; `now` is the time of the member's clock (s)."""
        self.id, self.raft_class, self.seed, self.now = id, raft_class, seed, now
        self.rng = ZeroRandom() if seed is None else random.Random(f"{seed} {id}")
        disk = PowerLossDisk()
        store.restart_log(
            DiskLog.open(disk, FLEET, id).unwrap(),
            snapshot,
            store.encode_log_head(HardState(snapshot.group, 0, ""), []),
        )
        self._start(disk)

    @staticmethod
    def founding_snapshot(group: GroupId, voters: ClusterConfiguration) -> RaftSnapshot:
        """Returns the snapshot that all members start from."""
        return RaftSnapshot(group, 0, 0, voters, [b""])

    def _start(self, disk: PowerLossDisk) -> None:
        self.disk_log = DiskLog.open(disk, FLEET, self.id).unwrap()
        loaded = store.load(self.disk_log).unwrap()
        snapshot = loaded.snapshot
        hard = loaded.hard or HardState(snapshot.group, 0, "")
        log = Log(snapshot, loaded.entries)
        self.raft = self.raft_class(self.id, log, hard.term, hard.vote, self.rng, self.now, TIMINGS, hard.commit_index)
        self.applied = AppliedHistory(snapshot)
        self.highest_applied = 0
        self.configuration_before_step: ClusterConfiguration | None = None
        self.pending_save: tuple[Ready, HardState] | None = None
        self.pending_reads, self.proposed_terms = PendingReads(), {}
        self.acknowledged_indexes: list[int] = []
        self.read_answers: list[AnsweredRead] = []
        self._cached_state_key: bytes | None = None
        self._note_durable(hard)
        self._apply_committed()
        self.acknowledged_indexes = []

    def step(self, act: Callable[[Raft], Any] = lambda raft: None) -> SentMessages:
        """Runs an action on the state machine and returns the messages that don't wait for the disk."""
        self.begin_step()
        act(self.raft)
        self.raft.tick(self.now)
        ready = self.raft.ready(self.now)
        if ready.hard_state is None and not ready.entries and ready.snapshot is None:
            return ready.before_save + self._finish_step(ready)
        self.pending_save = ready, self.raft.hard_state()
        return ready.before_save

    def begin_step(self) -> None:
        """Records the configuration before a step, by which the step commits even if it changes it."""
        self._cached_state_key = None
        self.configuration_before_step = self.configuration_before_step or self.raft.log.configuration

    def save(self) -> SentMessages:
        """Completes the pending write and returns the messages that waited for it."""
        self.begin_step()
        ready, hard = self.pending_save
        store.save(self.disk_log, ready, hard)
        self.pending_save = None
        self._note_durable(hard if ready.hard_state is not None or ready.snapshot is not None else self.durable.hard)
        return self._finish_step(ready)

    def crash(self, kept: int) -> None:
        """Loses power with `kept` thousandths of the pending write on the disk, and restarts from the disk."""
        self._cached_state_key = None
        if self.pending_save is not None:
            ready, hard = self.pending_save
            self.disk_log.disk.kept_thousandths = kept
            with contextlib.suppress(PowerLossError):
                store.save(self.disk_log, ready, hard)
            self.disk_log.disk.kept_thousandths = None
        if self.seed is not None:
            self.disk_log.disk.restore_power(self.rng)
        self._start(self.disk_log.disk)

    def receive(self, sender: str, message: Message) -> SentMessages:
        """Processes a message."""
        return self.step(lambda raft: raft.receive(sender, message, self.now))

    def propose(self, data: bytes) -> SentMessages:
        """Proposes a command to the state machine."""

        def act(raft: Raft) -> None:
            index = raft.propose(COMMAND, data, 0)
            if index is not None:
                self.proposed_terms[index] = raft.term

        return self.step(act)

    def read(self, floor: int) -> SentMessages:
        """Starts a confirmed read; `floor` is the highest index acknowledged so far."""
        if not self.raft.committed_in_term:
            return []
        return self.step(
            lambda raft: self.pending_reads.add(
                PendingRead(floor, raft.request_confirmation_round(), raft.commit_index, float("inf"))
            )
        )

    def compact(self) -> None:
        """Writes a snapshot of the applied state and starts the log anew from it."""
        self._cached_state_key = None
        raft, index = self.raft, self.applied.index
        term, voters = raft.log.term(index), raft.log.configuration_at(index)
        snapshot = RaftSnapshot(raft.group, index, term, voters, [self.applied.history])
        tail = [entry for entry in raft.log.entries if entry.index > index]
        store.restart_log(self.disk_log, snapshot, store.encode_log_head(raft.hard_state(), tail))
        raft.log.compact(snapshot)
        self._note_durable(raft.hard_state())

    def state_key(self, timed: bool) -> bytes:
        """Returns the identity of the member's state; `timed` includes the times of quorum contact."""
        if self._cached_state_key is None:
            volatile = [self.raft, self.pending_save, self.pending_reads, self.proposed_terms]
            self._cached_state_key = digest(
                [
                    self.id,
                    self.durable,
                    self.applied.history,
                    canonical_form(volatile, self.now, EXCLUDED_SLOTS if timed else EXCLUDED_SLOTS_WITHOUT_LEASES),
                ]
            )
        return self._cached_state_key

    def copy(self) -> SimulatedMember:
        """Returns a copy in the same state."""
        return clone(self)

    def _note_durable(self, hard: HardState | None) -> None:
        log = self.raft.log
        self.durable = DurableLog(
            log.snapshot_index, log.snapshot.term, tuple(entry.term for entry in log.entries), hard
        )

    def _finish_step(self, ready: Ready) -> SentMessages:
        if ready.snapshot is not None:
            self.applied = AppliedHistory(ready.snapshot)
        self.raft.saved(ready)
        self._apply_committed()
        self._answer_reads()
        return ready.after_save

    def _apply_committed(self) -> None:
        while self.applied.index < self.raft.commit_index:
            entry = self.raft.log.get(self.applied.index + 1)
            self.applied.apply(entry)
            if self.proposed_terms.pop(entry.index, None) == entry.term:
                self.acknowledged_indexes.append(entry.index)
        self.highest_applied = max(self.highest_applied, self.applied.index)

    def _answer_reads(self) -> None:
        if not self.raft.leads:
            self.pending_reads.fail()
            self.proposed_terms.clear()
            return
        answered = self.pending_reads.answer(self.raft.rounds.confirmed, self.applied, self.raft.term, self.now)
        self.read_answers += [AnsweredRead(floor, result.revision) for floor, result in answered]


def snapshot_announcement(snapshot: RaftSnapshot) -> RaftSnapshot:
    """Returns the snapshot as it is announced: without its state, which the receiver fetches later."""
    return replace(snapshot, state=[])
