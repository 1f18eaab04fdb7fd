"""One member: the product's Raft machine over the product's disk log, run as its daemon runs them.

A step of the machine hands out what to save and what to send; what it says `early` goes out at once, the rest
only once the disk has it. In between the member does nothing else, but it may lose power.
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
from verification.disk import PowerDisk, PowerLossError
from verification.identity import TIMELESS, UNCOUNTED, Still, clone, digest, shape

FLEET = "verification"
TIMES = RaftTimings()
FROZEN_FOR = 3 * TIMES.election_timeout
Sent = list[tuple[str, Message]]


class Applied:
    """A state that is nothing but its history: a digest over all commands, in their order."""

    __slots__ = ("index", "history")

    def __init__(self, snapshot: RaftSnapshot):
        """The state that a snapshot holds."""
        self.index, self.history = snapshot.index, snapshot.state[0]

    def apply(self, entry: Entry) -> None:
        """Takes in the next entry."""
        self.index = entry.index
        if entry.kind == COMMAND:
            self.history = hashlib.blake2b(self.history + entry.data, digest_size=8).digest()

    def revision_at(self, index: int) -> int:
        """As the control state's; here the index itself."""
        return index


class Held(msgspec.Struct, frozen=True):
    """What a member's disk holds: the base and the terms of the entries after it, and the last hard state written."""

    base: int = 0
    base_term: int = 0
    terms: tuple[int, ...] = ()
    hard: HardState | None = None

    def term(self, index: int) -> int | None:
        """The term of the entry held at an index, None if there is none."""
        at = index - self.base
        if at == 0:
            return self.base_term
        return self.terms[at - 1] if 0 < at <= len(self.terms) else None


class Answered(msgspec.Struct, frozen=True):
    """A read that was answered: what had been acknowledged when it was asked, and the index it was answered from."""

    floor: int
    index: int


class Member:
    """Runs one machine; `acknowledged` and `answers` are filled for whoever checks, and emptied by them."""

    __slots__ = (
        "id",
        "machine",
        "seed",
        "rng",
        "now",
        "disk_log",
        "raft",
        "applied",
        "held",
        "reached",
        "voters",
        "unsaved",
        "reads",
        "proposed",
        "acknowledged",
        "answers",
        "_key",
    )

    def __init__(self, id: str, machine: type[Raft], seed: int | None, snapshot: RaftSnapshot, now: float = 0.0):
        """With no `seed` its random numbers are all 0; `now` is what its clock shows (s)."""
        self.id, self.machine, self.seed, self.now = id, machine, seed, now
        self.rng = Still() if seed is None else random.Random(f"{seed} {id}")
        disk = PowerDisk()
        store.restart_log(
            DiskLog.open(disk, FLEET, id).unwrap(),
            snapshot,
            store.encode_log_head(HardState(snapshot.group, 0, ""), []),
        )
        self._start(disk)

    @staticmethod
    def first(group: GroupId, voters: ClusterConfiguration) -> RaftSnapshot:
        """The snapshot that all members begin from."""
        return RaftSnapshot(group, 0, 0, voters, [b""])

    def _start(self, disk: PowerDisk) -> None:
        self.disk_log = DiskLog.open(disk, FLEET, self.id).unwrap()
        loaded = store.load(self.disk_log).unwrap()
        snapshot = loaded.snapshot
        hard = loaded.hard or HardState(snapshot.group, 0, "")
        log = Log(snapshot, loaded.entries)
        self.raft = self.machine(self.id, log, hard.term, hard.vote, self.rng, self.now, TIMES, hard.commit_index)
        self.applied = Applied(snapshot)
        self.reached = 0
        self.voters: ClusterConfiguration | None = None
        self.unsaved: tuple[Ready, HardState] | None = None
        self.reads, self.proposed = PendingReads(), {}
        self.acknowledged: list[int] = []
        self.answers: list[Answered] = []
        self._key: bytes | None = None
        self._hold(hard)
        self._apply()
        self.acknowledged = []

    def step(self, act: Callable[[Raft], Any] = lambda raft: None) -> Sent:
        """Does something to the machine, and gives the messages that need not wait for the disk."""
        self.begin()
        act(self.raft)
        self.raft.tick(self.now)
        ready = self.raft.ready(self.now)
        if ready.hard_state is None and not ready.entries and ready.snapshot is None:
            return ready.before_save + self._after(ready)
        self.unsaved = ready, self.raft.hard_state()
        return ready.before_save

    def begin(self) -> None:
        """Notes the voters in force before a step: by them it commits, also if it then goes on to others."""
        self._key = None
        self.voters = self.voters or self.raft.log.configuration

    def save(self) -> Sent:
        """The disk has it all; gives the messages that waited for it."""
        self.begin()
        ready, hard = self.unsaved
        store.save(self.disk_log, ready, hard)
        self.unsaved = None
        self._hold(hard if ready.hard_state is not None or ready.snapshot is not None else self.held.hard)
        return self._after(ready)

    def crash(self, kept: int) -> None:
        """Loses power, with `kept` thousandths of the write under way on the disk, and starts again from it."""
        self._key = None
        if self.unsaved is not None:
            ready, hard = self.unsaved
            self.disk_log.disk.fail_at = kept
            with contextlib.suppress(PowerLossError):
                store.save(self.disk_log, ready, hard)
            self.disk_log.disk.fail_at = None
        if self.seed is not None:
            self.disk_log.disk.lose_names(self.rng)
        self._start(self.disk_log.disk)

    def receive(self, sender: str, message: Message) -> Sent:
        """Takes in a message."""
        return self.step(lambda raft: raft.receive(sender, message, self.now))

    def propose(self, data: bytes) -> Sent:
        """Offers a command to the machine."""

        def act(raft: Raft) -> None:
            index = raft.propose(COMMAND, data, 0)
            if index is not None:
                self.proposed[index] = raft.term

        return self.step(act)

    def read(self, floor: int) -> Sent:
        """Asks for a confirmed read; `floor` is the highest index that was acknowledged by now."""
        if not self.raft.committed_in_term:
            return []
        return self.step(
            lambda raft: self.reads.add(
                PendingRead(floor, raft.request_confirmation_round(), raft.commit_index, float("inf"))
            )
        )

    def compact(self) -> None:
        """Writes a snapshot of the applied state, and the log turns to it."""
        self._key = None
        raft, index = self.raft, self.applied.index
        term, voters = raft.log.term(index), raft.log.configuration_at(index)
        snapshot = RaftSnapshot(raft.group, index, term, voters, [self.applied.history])
        tail = [entry for entry in raft.log.entries if entry.index > index]
        store.restart_log(self.disk_log, snapshot, store.encode_log_head(raft.hard_state(), tail))
        raft.log.compact(snapshot)
        self._hold(raft.hard_state())

    def key(self, timed: bool) -> bytes:
        """The identity of the member's state; `timed` with the stamps by which it is in touch."""
        if self._key is None:
            volatile = [self.raft, self.unsaved, self.reads, self.proposed]
            self._key = digest(
                [self.id, self.held, self.applied.history, shape(volatile, self.now, UNCOUNTED if timed else TIMELESS)]
            )
        return self._key

    def copy(self) -> Member:
        """A member in the same state."""
        return clone(self)

    def _hold(self, hard: HardState | None) -> None:
        log = self.raft.log
        self.held = Held(log.snapshot_index, log.snapshot.term, tuple(entry.term for entry in log.entries), hard)

    def _after(self, ready: Ready) -> Sent:
        if ready.snapshot is not None:
            self.applied = Applied(ready.snapshot)
        self.raft.saved(ready)
        self._apply()
        self._answer()
        return ready.after_save

    def _apply(self) -> None:
        while self.applied.index < self.raft.commit_index:
            entry = self.raft.log.get(self.applied.index + 1)
            self.applied.apply(entry)
            if self.proposed.pop(entry.index, None) == entry.term:
                self.acknowledged.append(entry.index)
        self.reached = max(self.reached, self.applied.index)

    def _answer(self) -> None:
        if not self.raft.leads:
            self.reads.fail()
            self.proposed.clear()
            return
        answered = self.reads.answer(self.raft.rounds.confirmed, self.applied, self.raft.term, self.now)
        self.answers += [Answered(floor, took.revision) for floor, took in answered]


def announced(snapshot: RaftSnapshot) -> RaftSnapshot:
    """A snapshot as its announcement names it: without its state, which is fetched afterwards."""
    return replace(snapshot, state=[])
