"""One control process's state machine: Raft, the replicated state, and those who wait for its answers."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterator
from typing import Any

import msgspec

from mallowvalve.control import lease, reconfiguration
from mallowvalve.control.acknowledgement import Replicas
from mallowvalve.control.fetched_state import FetchedState
from mallowvalve.control.fleet_clock import FleetClock
from mallowvalve.control.member_addresses import MemberAddresses
from mallowvalve.control.outcome import WITHOUT_EFFECT, Code
from mallowvalve.control.replication import ParkedRequests, ReplicationSource
from mallowvalve.control.settings_log import SettingsLog
from mallowvalve.control.snapshot import cut, cut_settings, load
from mallowvalve.control.state import (
    UNDECODABLE_FINDINGS,
    Change,
    Enrol,
    Evacuate,
    Outcome,
    ReplicatedState,
    Seats,
    Strike,
    Tick,
    command_tag,
    command_tags,
    decode_command,
    encode,
    is_command,
)
from mallowvalve.control.waiting import (
    CommitMarkTimer,
    PendingCommand,
    PendingRead,
    PendingReads,
    acknowledgement_mode,
    changes_settings,
)
from mallowvalve.control.wire import CommandResponse, ProcessStatus, ReplicationRequest, ReplicationResponse
from mallowvalve.metrics import Counts
from mallowvalve.raft.log import Log
from mallowvalve.raft.messages import COMMAND, Entry, Envelope, Hard, Snapshot
from mallowvalve.raft.progress import Ready, Times
from mallowvalve.raft.raft import Raft
from mallowvalve.settings import Acks
from mallowvalve.types import Address, Locality

LOGGED_TAGS = command_tags((Change, Evacuate, Enrol, Strike, Seats))
TOLD_COMMIT_PACES = 3


class Core:
    """Its user calls it with what comes, then does what `ready` says and passes on `replies`. No sockets, no clocks."""

    __slots__ = (
        "id",
        "addr",
        "locality",
        "rng",
        "raft",
        "state",
        "replicas",
        "counts",
        "replies",
        "decided",
        "members",
        "seen",
        "clock",
        "_pending",
        "_waiting",
        "parked_requests",
        "_reads",
        "_led",
        "_brought",
        "_ticked",
        "_grown",
        "_base_index",
        "_acks",
        "_settings_log",
        "_times",
        "_note",
        "_seating",
        "_addresses",
    )

    def __init__(
        self,
        id: str,
        addr: Address,
        locality: Locality,
        rng: random.Random,
        acks: Acks = Acks(),
        times: Times = Times(),
    ):
        """A blank process: `start` gives it a group."""
        self.id, self.addr, self.locality, self.rng = id, addr, locality, rng
        self.raft: Raft | None = None
        self.state: ReplicatedState | None = None
        self.counts = Counts()
        self.decided: list[tuple[Any, Outcome]] = []
        self.replies: list[tuple[Any, CommandResponse | ReplicationResponse]] = []
        self.members = reconfiguration.Members()
        self.seen = self.members.seen
        self._addresses = MemberAddresses()
        self.replicas = Replicas(locality)
        self._pending: dict[int, PendingCommand] = {}
        self._waiting: deque[tuple[int, PendingCommand]] = deque()
        self.parked_requests = ParkedRequests(addr)
        self._reads = PendingReads()
        self._led = False
        self._brought = FetchedState()
        self._ticked = self._grown = -1e9
        self._seating = 0
        self._base_index = 0
        self._acks, self._times = acks, msgspec.structs.replace(times, told=TOLD_COMMIT_PACES * times.pace)
        self._settings_log = SettingsLog(0)
        self.clock = FleetClock()
        self._note = CommitMarkTimer()

    def start(
        self,
        snapshot: Snapshot,
        hard: Hard | None,
        entries: list[Entry],
        now: float,
        ready: ReplicatedState | None = None,
    ) -> None:
        """Begins from what is stored; `ready` is the snapshot's state where it was loaded already."""
        hard = hard if hard is not None and hard.group == snapshot.group else Hard(snapshot.group, 0, "")
        self.raft = Raft(self.id, Log(snapshot, entries), hard.term, hard.vote, self.rng, now, self._times, hard.commit)
        self.state = ready or load(snapshot.state, snapshot.group.generation)
        self.state.index = snapshot.index
        self._base_index = snapshot.index
        self._settings_log = SettingsLog(self.state.settings_index)
        self._led, self._note = False, CommitMarkTimer()
        self.clock.restart(self.state.clock, now)
        self._apply(now)
        self.decided = []

    def stop(self, new_id: str) -> None:
        """Forgets its group; it goes on as a blank process under a new id."""
        self.raft = self.state = None
        self.id = new_id
        self._fail_all()

    @property
    def leads(self) -> bool:
        """Whether it may answer as the leader: all that former leaders acknowledged is applied here."""
        return self.raft is not None and self.raft.settled and self.state.index >= self.raft.term_start

    @property
    def nothing_committed(self) -> bool:
        """Whether its group has committed nothing since its founding."""
        return self.raft is not None and self.raft.commit <= self._base_index

    def leader(self) -> Address | None:
        """The leader's address; None where none is known."""
        if self.raft is None or not self.raft.leader:
            return None
        return self.address_of(self.raft.leader)

    def address_of(self, member: str) -> Address | None:
        """Where the member is reached; None if nothing tells where it is."""
        return self._addresses.of(member, self.raft.log.voters)

    def process_status(self, role: str, seeds: list[Address]) -> ProcessStatus:
        """What this process says of itself to those who ask."""
        r, m, i = self.raft, self.members, self.state.index if self.state else 0
        held = (False, r.group, i, r.log.voters_at(i), self.leader()) if r else (True, None, 0, None, None)
        return ProcessStatus(role, self.id, self.addr, self.locality, seeds, *held, boot=m.boot, leaving=m.leaving)

    def announcement_targets(self, control: list[Address]) -> list[Address]:
        """Who is told that this process is here: the leader, or where none is known every control process."""
        leader = self.leader()
        return [a for a in ([leader] if leader is not None else control) if a != self.addr]

    def receive_announcement(self, w: ProcessStatus, now: float) -> None:
        """Another process said that it is here (s)."""
        if w.role == "control" and (w.group is None or self.raft and w.group == self.raft.group):
            self._addresses.hear(w.id, w.addr)
            self.members.hear(w, now)

    def timer(self, now: float) -> float:
        """When `tick` is due next (s)."""
        if self.raft is None:
            return now + 0.1
        return min(self._note.at or now + 0.1, now + 0.1, self.raft.timer(), self.parked_requests.next_check_at)

    def tick(self, now: float) -> None:
        """Time went on to `now` (s)."""
        if self.raft is None:
            return
        self.raft.tick(now)
        self.raft.mark = self._note.due(self.state.settings_index, self.raft.marked, now) or self.raft.mark
        self._settle(now)

    def receive(self, e: Envelope, now: float) -> None:
        """A Raft message came; one of another group or for another member is dropped."""
        if self.raft is None or e.group != self.raft.group or e.to != self.id:
            self.counts.add("raft_foreign")
            return
        self._addresses.hear(e.sender, e.address)
        self.raft.receive(e.sender, e.body, now)

    def peer_disconnected(self, a: Address, now: float) -> None:
        """A peer's last connection here ended."""
        if self.raft is not None and a == self.leader():
            self.raft.doubt(now)

    def propose(self, data: bytes, token: Any, limit: float, now: float) -> None:
        """Offers a command; what becomes of it is replied to the token, by `limit` (s) at the latest."""
        if not self.leads:
            self.replies.append((token, CommandResponse(Code.LEADER, leader=self.leader())))
            return
        if not is_command(data):
            self.replies.append((token, CommandResponse(Code.INVALID, body=UNDECODABLE_FINDINGS)))
            return
        index = self.raft.propose(COMMAND, data, self.clock.read(now))
        if index is None:
            self.replies.append((token, CommandResponse(Code.LEADER)))
            return
        self._pending[index] = PendingCommand(
            token, self.raft.term, limit, changes_settings(data), acknowledgement_mode(data, self._acks)
        )

    def read(self, token: Any, limit: float, now: float) -> None:
        """Replies to the token once a majority has confirmed this leader after the question, or at `limit` (s)."""
        if not self.leads:
            self.replies.append((token, CommandResponse(Code.LEADER, leader=self.leader())))
            return
        self._reads.add(PendingRead(token, self.raft.ask_quorum(), self.raft.commit, limit))

    def current(self, now: float) -> bool:
        """Whether the state here lags what was acknowledged by no more than moments."""
        r, i = self.raft, self.state.index if self.state is not None else 0
        return (
            self.may_answer(lease.AnswerKind.WATCH, now)
            and r.log.term(i) == r.term
            and i + lease.MAX_WATCH_LAG_ENTRIES >= r.told
        )

    def contact(self) -> float:
        """When (s) this process asked what a majority has confirmed since."""
        return self.raft.contact() if self.raft is not None else lease.NO_CONTACT

    def may_answer(self, kind: lease.AnswerKind, now: float) -> bool:
        """Whether an answer of the kind may be given by what is known here."""
        return lease.is_valid(kind, self.contact(), now)

    def receive_replication_request(self, w: ReplicationRequest, token: Any, now: float) -> None:
        """A replica asks for news; the reply goes to the token."""
        if not self.leads:
            self.replies.append((token, ReplicationResponse(self.leader())))
            return
        self.replicas.record_request(w, self.raft.group, self.raft.rounds.seq + 1, now)
        self.replies += self.parked_requests.park(w, token, now)

    def ready(self, now: float) -> Ready | None:
        """What is to be stored and sent now; `saved` must follow before the next call."""
        return self.raft.ready(now) if self.raft else None

    def saved(self, r: Ready, now: float) -> None:
        """What `ready` returned is on disk."""
        if r.install is not None:
            self.state = self._brought.take(r.install)
            self._settings_log = SettingsLog(self.state.settings_index)
            self.clock.restart(self.state.clock, now)
        self.raft.saved(r)
        self._apply(now)
        self._settle(now)

    def snapshot(self) -> tuple[Snapshot, Iterator[bytes]] | None:
        """The state as it is now; its pieces are made as they are asked for."""
        if self.raft is None:
            return None
        if self.state.index < self.raft.log.base:
            return self.raft.log.snapshot, iter(self.raft.log.snapshot.state)
        return self._head(), cut(self.state)

    def settings_snapshot(self) -> tuple[Snapshot, Iterator[bytes]] | None:
        """The settings part of the state as it is now."""
        if self.raft is None or self.state.index < self.raft.log.base:
            return None
        return self._head(), cut_settings(self.state)

    def _head(self) -> Snapshot:
        """A snapshot of the state as it is now, without its pieces."""
        i = self.state.index
        return Snapshot(self.raft.group, i, self.raft.log.term(i), self.raft.log.voters_at(i), [])

    def base_snapshot(self) -> Snapshot | None:
        """The snapshot at which the log begins."""
        return self.raft.log.snapshot if self.raft is not None else None

    def keep_fetched_state(self, p: Snapshot, s: ReplicatedState) -> None:
        """A state built beside the machine from the pieces of a snapshot that is about to be installed."""
        self._brought.put(p, s)

    def compact(self, p: Snapshot) -> None:
        """The log begins at this snapshot from now on."""
        self.raft.log.compact(p)
        self._settings_log.compact(p.index)

    def _apply(self, now: float) -> None:
        while self.state.index < self.raft.commit:
            e = self.raft.log.get(self.state.index + 1)
            self.clock.observe(e, now)
            out = self.state.apply(e.index, e.at, e.data if e.kind == COMMAND else b"")
            if self.state.settings_index == e.index:
                self._settings_log.add(e)
                if command_tag(e.data) in LOGGED_TAGS:
                    c = decode_command(e.data)
                    self.decided += [(x, out) for x in (c.steps if isinstance(c, Seats) else [c])]
            p = self._pending.pop(e.index, None)
            if p is None:
                continue
            if p.term != e.term:
                self.replies.append((p.token, CommandResponse(Code.REPLACED)))
                continue
            p.outcome, p.required_index = out, self.state.settings_index if p.changes_settings else e.index
            self._waiting.append((e.index, p))

    def _settle(self, now: float) -> None:
        if not self.raft.leads:
            if self._led:
                self._fail_all()
            self._led = False
            return
        if self.leads and not self._led:
            self._led, self._seating = True, 0
            self.clock.begin_leadership(self.state.clock, now)
            self.replicas.begin_leadership(now)
        if not self._led:
            return
        self.replicas.observe_settings(self.state.settings, now)
        self._answer_waiting(now)
        self.replies += self._reads.answer(self.raft.rounds.confirmed, self.state, self.raft.term, now)
        source = ReplicationSource(self.raft, self.state, self._settings_log, self.replicas, self.clock.read(now))
        self.replies += self.parked_requests.answer(source, now)
        self._housekeep(now)

    def _answer_waiting(self, now: float) -> None:
        keep: deque[tuple[int, PendingCommand]] = deque()
        for index, p in self._waiting:
            o = p.outcome
            if self._acknowledged(p, now):
                self.replies.append((p.token, CommandResponse(o.code, o.revision, o.body, term=p.term)))
            elif now >= p.limit:
                self.replies.append((p.token, CommandResponse(Code.UNDECIDED, o.revision)))
            else:
                keep.append((index, p))
        self._waiting = keep
        for i in [i for i, p in self._pending.items() if now >= p.limit]:
            self.replies.append((self._pending.pop(i).token, CommandResponse(Code.UNDECIDED)))

    def _acknowledged(self, p: PendingCommand, now: float) -> bool:
        if p.acknowledgement == "commit" or p.outcome.code in WITHOUT_EFFECT:
            return True
        if not self.replicas.is_replicated(p.required_index, now, p.changes_settings):
            return False
        return p.acknowledgement == "held" or self.replicas.in_force(p.outcome.revision, now)

    def _housekeep(self, now: float) -> None:
        if now - self._ticked > 1.0 and self.state.coordination.restless():
            self._ticked = now
            self.raft.propose(COMMAND, encode(Tick()), self.clock.read(now))
        if now - self._grown < reconfiguration.LOOK:
            return
        self._grown = now
        v = self.members.next_voters(self.raft, now)
        if v is not None and self.raft.change_voters(v, self.clock.read(now)) is not None:
            self.counts.add("raft_changes")
        if self._seating > self.raft.commit:
            return
        due = self.replicas.next_roster_step if self._acks.settings == "force" else self.replicas.due_roster_steps
        step = due(self.state.settings, now)
        if step is not None:
            self._seating = self.raft.propose(COMMAND, encode(step), self.clock.read(now)) or 0

    def _fail_all(self) -> None:
        for p in [*self._pending.values(), *(p for _, p in self._waiting)]:
            self.replies.append((p.token, CommandResponse(Code.UNDECIDED)))
        self.replies += self._reads.fail()
        self.replies += self.parked_requests.drop()
        self._pending, self._waiting = {}, deque()
