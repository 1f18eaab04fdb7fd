from __future__ import annotations

import random

from msgspec.structs import replace

from mallowvalve.control import store, wire
from mallowvalve.control.bootstrap import Found, Judge, Start, Wipe, decide, heard_enough
from mallowvalve.control.bootstrap_task import LEAVE_AGAIN, LEAVE_ASK
from mallowvalve.control.core import Core
from mallowvalve.control.leave import Leave, Why
from mallowvalve.control.snapshot import founding
from mallowvalve.control.snapshot_fetch import BASE, NOW
from mallowvalve.control.snapshot_transfer import Fetching, read_want
from mallowvalve.control.state import ReplicatedState
from mallowvalve.control.task import announced
from mallowvalve.raft.messages import (
    Envelope,
    GroupId,
    HardState,
    InstallSnapshot,
    RaftSnapshot,
    decode_envelope,
    encode,
)
from mallowvalve.raft.progress import RaftTimings
from mallowvalve.settings import Acks
from mallowvalve.storage.log import DiskLog
from mallowvalve.types import Address, Locality
from sim.disk import SimDisk
from sim.replica import SimShelf, pull
from sim.world import SimulatedNode, World

FAILURE_DETECTION_S = 6.5


class ControlNode(SimulatedNode):
    role = "control"
    acks, times = Acks(), RaftTimings()
    segment_bytes = 20_000

    def __init__(
        self,
        world: World,
        addr: Address,
        locality: Locality,
        seeds: list[Address],
        disk: SimDisk,
        peers,
        segment_bytes: int | None = None,
    ):
        """`segment_bytes` is how large its log grows before a snapshot replaces it; by default the class's own."""
        super().__init__(world, addr)
        self.locality, self.seeds, self.disk, self.peers = locality, seeds, disk, peers
        self.rng = random.Random(world.rng.random())
        self.disk_log = DiskLog.open(
            disk, "sim", self._fresh_id(), segment_bytes=segment_bytes or self.segment_bytes
        ).unwrap()
        loaded = store.load(self.disk_log).unwrap()
        self.core = Core(self.disk_log.identity.id, addr, locality, self.rng, self.acks, self.times)
        self.core.members.boot = self.life
        self._absent: dict[Address, float] = {}
        if loaded.snapshot is not None:
            self.core.start(loaded.snapshot, loaded.hard, loaded.entries, world.now)
        self._busy = self._saving = self._joining = False
        self._fetching = Fetching()
        self.left: Why | None = None
        self.shelf = SimShelf()
        self._box: list = []
        self._judge_over = Judge()
        self._answers: list = []
        self.every(0.02, lambda: self._enqueue(lambda: None))
        self.every(0.5, self._gather)
        self.every(0.25, self._detect)

    def _fresh_id(self) -> str:
        return f"{self.rng.getrandbits(64):016x}"

    def handle(self, kind, src, body, answer) -> None:
        match kind:
            case "raft":
                self._vote(decode_envelope(body))
            case "want":
                self._enqueue(lambda: self.core.replicate(wire.decode_replication_request(body), answer, self.now))
            case "offer":
                o = wire.decode_command_request(body)
                self._enqueue(lambda: self.core.propose(o.command, answer, self.now + o.limit, self.now))
            case "read":
                self._enqueue(lambda: self.core.read(answer, self.now + 2.0, self.now))
            case "here":
                self._enqueue(lambda: self.core.announced(wire.decode_status(body), self.now))
            case "who":
                answer(wire.encode(self._who()))
            case "label":
                answer(wire.encode(self._label(body)))
            case "piece":
                answer(wire.encode(self.shelf.cut(read_want(body), self.now)))

    def broken(self, peer: Address) -> None:
        """A peer's connections ended: the machine is told, as the daemon tells it."""
        super().broken(peer)
        self._enqueue(lambda: self.core.peer_disconnected(peer, self.now))

    def _label(self, what: bytes):
        if what == NOW:
            return self.shelf.offer(self.core.snapshot(), self.now)
        p = self.core.base_snapshot()
        return self.shelf.put(p, self.now) if p is not None else None

    def _vote(self, e: Envelope) -> None:
        self._enqueue(lambda: self.core.receive(e, self.now))
        if (
            not isinstance(e.body, InstallSnapshot)
            or self.core.raft is None
            or e.group != self.core.raft.group
            or e.body.snapshot.index <= self.core.raft.commit_index
            or not self._fetching.announced(e.body.snapshot.index)
        ):
            return

        def came(got) -> None:
            self.core.counts.add("snapshots_overtaken", self._fetching.end())
            if got is not None:
                self._enqueue(lambda: self._show(e, *got))

        pull(
            self,
            e.address,
            BASE,
            came,
            lambda offered: offered.group == e.group and offered.index >= e.body.snapshot.index,
        )

    def _show(self, e: Envelope, p: RaftSnapshot, s) -> None:
        if self.core.raft is not None and self.core.raft.group == e.group and p.index > self.core.raft.commit_index:
            self.core.keep_fetched_state(p, s)
            self.core.receive(replace(e, body=replace(e.body, snapshot=p)), self.now)

    def _who(self) -> wire.ProcessStatus:
        return self.core.process_status("control", self.seeds)

    def _enqueue(self, act) -> None:
        self._box.append(act)
        if not self._busy:
            self._step()

    def _step(self) -> None:
        acts, self._box = self._box, []
        for act in acts:
            act()
        self.core.tick(self.now)
        r = self.core.ready(self.now)
        if r is None:
            return self._reply()
        raft = self.core.raft
        self._send(raft.group, r.before_save)
        hard = raft.hard_state()
        self._persist(lambda: store.save(self.disk_log, r, hard), lambda: self._saved(raft, r))

    def _persist(self, act, then) -> None:
        self._busy = True
        try:
            act()
        except OSError:
            return self.wake(0.5, lambda: self._persist(act, then))
        if self.disk.stall:
            return self.wake(self.disk.stall, lambda: self._resume(then))
        self._resume(then)

    def _resume(self, then) -> None:
        self._busy = False
        then()

    def _saved(self, raft, r) -> None:
        if self.core.raft is raft:
            self._send(raft.group, r.after_save)
            self.core.saved(r, self.now)
            if self.disk_log.snapshot_due() and not self._saving and not self.shelf.holds(self.now):
                self._compact()
        self._reply()

    def _compact(self) -> None:
        """Stored while the machine goes on; the log turns to it some time later, as in the daemon."""
        p, pieces = self.core.snapshot()
        p = replace(p, state=list(pieces))
        name = self.disk_log.reserve_snapshot()
        try:
            self.disk_log.store_snapshot(name, store.parts(p))
        except OSError:
            return
        self._saving = True
        self.wake(0.3 + self.disk.stall, lambda: self._enqueue(lambda: self._turn(p, name)))

    def _turn(self, p: RaftSnapshot, name: str) -> None:
        raft, self._saving = self.core.raft, False
        if raft is None or raft.group != p.group or p.index <= raft.log.snapshot_index:
            return self.disk_log.drop_snapshot(name)

        def turn() -> None:
            tail = [e for e in raft.log.entries if e.index > p.index]
            store.turn(self.disk_log, p, store.head(raft.hard_state(), tail), name)

        self._persist(turn, lambda: self.core.compact(p))

    def _reply(self) -> None:
        replies, self.core.replies = self.core.replies, []
        for answer, body in replies:
            if answer is not None:
                answer(wire.encode(body))
        if self._box and not self._busy:
            self._step()

    def _send(self, group: GroupId, out: list) -> None:
        for to, m in out:
            a = self.core.address_of(to)
            if a is not None:
                self.cast(a, "raft", encode(Envelope(group, self.core.id, to, self.addr, announced(m))))

    def _detect(self) -> None:
        """The failure detector's part: a process that is gone or frozen for `DETECT` seconds has failed (the real one's p95)."""
        if self.core.raft is None:
            return
        present = set(self.peers()) - self.world.frozen.keys()
        at = {a for a in self.core.raft.log.configuration.members().values() if a not in present}
        self._absent = {a: self._absent.get(a, self.now) for a in at}
        failed = [a for a, since in self._absent.items() if self.now - since >= FAILURE_DETECTION_S]
        boots = {s.addr: s.boot for s in sorted(self.core.seen.values(), key=lambda s: s.at)}
        given_away = {a for a in present if a in self.world.nodes and not isinstance(self.world.nodes[a], ControlNode)}
        self._enqueue(lambda: self.core.members.verdicts({a: boots.get(a, 0) for a in failed}, given_away))

    def leave(self, limit: float) -> None:
        """A polite stop: hands over, says goodbye, and ends as the daemon does, `limit` seconds from now at most."""
        self.core.members.leaving = True
        self._enqueue(lambda: self.core.raft and self.core.raft.transfer_leadership())
        self._go(Leave(self.core.id), self.now + limit)

    def _go(self, leave: Leave, end: float) -> None:
        """Asks all control processes at once, and judges once all have answered or had their time, as the daemon does."""
        if self.now >= end:
            return self._ends(leave)
        asked = sorted({*self._others(), self.core.leader()} - {None, self.addr})
        answers: list[wire.ProcessStatus | None] = []

        def heard(data: bytes | None) -> None:
            answers.append(wire.decode_status(data) if data else None)
            if len(answers) == len(asked):
                self._judge_leave(leave, [w for w in answers if w is not None], end)

        for a in asked:
            self.call(a, "who", b"", LEAVE_ASK, heard)
        if not asked:
            self._judge_leave(leave, [], end)
        return None

    def _judge_leave(self, leave: Leave, answers: list[wire.ProcessStatus], end: float) -> None:
        if leave.over(self.core.raft, answers, self._others()):
            return self._ends(leave)
        self._enqueue(lambda: self.core.announced(self._who(), self.now))
        for a in self._others():
            self.cast(a, "here", wire.encode(self._who()))
        return self.wake(LEAVE_AGAIN, lambda: self._go(leave, end))

    def _ends(self, leave: Leave) -> None:
        self.left = leave.why
        self.crash()
        self.disk.crash()

    def _others(self) -> list[Address]:
        nodes = (self.world.nodes[a] for a in self.peers() if a != self.addr)
        return [n.addr for n in nodes if isinstance(n, ControlNode) and not n.core.members.leaving]

    def _gather(self) -> None:
        self._answers = []
        to = set(self.peers()) | set(self.seeds)
        if self.core.raft is not None:
            to |= set(self.core.raft.log.configuration.all_voters().values())
        asked = to - {self.addr}
        for a in sorted(asked):
            self.call(a, "who", b"", 0.3, lambda d: self._heard(d, asked))
        self.wake(0.45, self._judge)
        body = wire.encode(self._who())
        control = [a for a in self.peers() if isinstance(self.world.nodes[a], ControlNode)]
        for a in sorted(self.core.announcement_targets(control)):
            self.cast(a, "here", body)
        me = self._who()
        self._enqueue(lambda: self.core.announced(me, self.now))

    def _heard(self, data: bytes | None, asked: set) -> None:
        if not data:
            return
        w = wire.decode_status(data)
        self._answers.append(w)
        more = set(w.voters.all_voters().values()) - asked - {self.addr} if w.voters else set()
        for a in sorted(more):
            asked.add(a)
            self.call(a, "who", b"", 0.14, lambda d: self._heard(d, asked))

    def _judge(self) -> None:
        v = self._judge_over.hear(decide(self._who(), self._answers, 1, self.core.nothing_committed), self.now)
        if isinstance(v, Found) and v.base is None:
            self._begin(founding(GroupId(v.generation, self._fresh_id()), v.voters, None))
        elif isinstance(v, Found):
            answers = list(self._answers)
            pull(
                self,
                v.base.addr,
                NOW,
                lambda got: got and self._found_anew(v, got[1], answers),
                lambda offered: (offered.group, offered.index) >= (v.base.group, v.base.index),
            )
        elif isinstance(v, Start) and not self._joining:
            self._joining = True
            pull(self, v.source.addr, BASE, self._joined)
        elif isinstance(v, Wipe):
            new = self._fresh_id()
            self._enqueue(lambda: self._persist(lambda: self.disk_log.wipe(new), lambda: self.core.stop(new)))

    def _joined(self, got) -> None:
        self._joining = False
        if got is not None:
            self._begin(got[0])

    def _found_anew(self, v: Found, base: ReplicatedState, answers: list) -> None:
        if heard_enough(base, answers):
            self._begin(founding(GroupId(v.generation, self._fresh_id()), v.voters, base))

    def _begin(self, p: RaftSnapshot) -> None:
        head = store.head(HardState(p.group, 0, ""), [])

        def act() -> None:
            if self.core.raft is not None and self.core.raft.group.generation >= p.group.generation:
                return
            self._persist(lambda: store.turn(self.disk_log, p, head), lambda: self.core.start(p, None, [], self.now))

        self._enqueue(act)
