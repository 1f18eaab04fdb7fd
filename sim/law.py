from __future__ import annotations

import random

from mallowvalve.kind import Address, Locality
from mallowvalve.law import store, wire
from mallowvalve.law.core import Core, founding
from mallowvalve.law.found import Found, Judge, Start, Wipe, decide, heard_enough
from mallowvalve.tale.log import Tale
from mallowvalve.vote.wire import Envelope, Group, Hard, Picture, encode, envelope, picture_of
from sim.disk import SimDisk
from sim.world import Node, World


class LawNode(Node):
    role = "law"

    def __init__(self, world: World, addr: Address, locality: Locality, seeds: list[Address], disk: SimDisk, neighbours):
        super().__init__(world, addr)
        self.locality, self.seeds, self.disk, self.neighbours = locality, seeds, disk, neighbours
        self.rng = random.Random(world.rng.random())
        self.tale = Tale.open(disk, "sim", self._fresh_id(), segment_bytes=20_000).unwrap()
        loaded = store.load(self.tale).unwrap()
        self.core = Core(self.tale.identity.id, addr, locality, self.rng)
        if loaded.picture is not None:
            self.core.start(loaded.picture, loaded.hard, loaded.entries, world.now)
        self._busy = False
        self._box: list = []
        self._judge_over = Judge()
        self._answers: list = []
        self.every(0.02, lambda: self._put(lambda: None))
        self.every(0.5, self._gather)

    def _fresh_id(self) -> str:
        return f"{self.rng.getrandbits(64):016x}"

    def handle(self, kind, src, body, answer) -> None:
        match kind:
            case "vote":
                self._put(lambda: self.core.receive(envelope(body), self.now))
            case "want":
                self._put(lambda: self.core.want(wire.want(body), answer, self.now))
            case "offer":
                o = wire.offer(body)
                self._put(lambda: self.core.propose(o.command, answer, self.now + o.limit, self.now))
            case "read":
                self._put(lambda: self.core.read(answer, self.now + 2.0, self.now))
            case "here":
                self._put(lambda: self.core.here(wire.who(body), self.now))
            case "who":
                answer(wire.encode(self._who()))
            case "held":
                answer(wire.encode(self.core.held()))
            case "picture":
                answer(encode(self.core.picture()) if self.core.raft else b"")

    def _who(self) -> wire.Who:
        return self.core.who("law", self.seeds)

    def _put(self, act) -> None:
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
        self._send(raft.group, r.early)
        hard = Hard(raft.group, raft.term, raft.vote)
        self._persist(lambda: store.save(self.tale, r, hard), lambda: self._saved(raft, r))

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
            self._send(raft.group, r.late)
            self.core.saved(r, self.now)
            if self.tale.full():
                p = self.core.picture()
                head = store.head(Hard(raft.group, raft.term, raft.vote), [e for e in raft.log.entries if e.index > p.index])
                return self._persist(lambda: self.tale.turn(encode(p), head), lambda: self._compacted(p))
        self._reply()

    def _compacted(self, p: Picture) -> None:
        self.core.compact(p)
        self._reply()

    def _reply(self) -> None:
        replies, self.core.replies = self.core.replies, []
        for answer, body in replies:
            if answer is not None:
                answer(wire.encode(body))
        if self._box and not self._busy:
            self._step()

    def _send(self, group: Group, out: list) -> None:
        for to, m in out:
            a = self.core.raft.log.voters.address(to)
            s = self.core.seen.get(to)
            a = a or (s.addr if s else None)
            if a is not None:
                self.cast(a, "vote", encode(Envelope(group, self.core.id, to, self.addr, m)))

    def _gather(self) -> None:
        self._answers = []
        to = set(self.neighbours()) | set(self.seeds)
        if self.core.raft is not None:
            to |= set(self.core.raft.log.voters.voters.values())
        asked = to - {self.addr}
        for a in sorted(asked):
            self.call(a, "who", b"", 0.3, lambda d: self._heard(d, asked))
        self.wake(0.45, self._judge)
        body = wire.encode(self._who())
        for a in sorted(asked):
            if a != self.addr:
                self.cast(a, "here", body)
        me = self._who()
        self._put(lambda: self.core.here(me, self.now))

    def _heard(self, data: bytes | None, asked: set) -> None:
        if not data:
            return
        w = wire.who(data)
        self._answers.append(w)
        more = set(w.voters.voters.values()) - asked - {self.addr} if w.voters else set()
        for a in sorted(more):
            asked.add(a)
            self.call(a, "who", b"", 0.14, lambda d: self._heard(d, asked))

    def _judge(self) -> None:
        v = self._judge_over.hear(decide(self._who(), self._answers, 1, self.core.unborn), self.now)
        if isinstance(v, Found) and v.base is None:
            self._begin(founding(Group(v.generation, self._fresh_id()), v.voters, None))
        elif isinstance(v, Found):
            answers = list(self._answers)
            self.call(v.base.addr, "held", b"", 1.0, lambda d: d and self._found_anew(v, wire.held(d), answers))
        elif isinstance(v, Start):
            self.call(v.source.addr, "picture", b"", 1.0, lambda d: d and self._begin(picture_of(d)))
        elif isinstance(v, Wipe):
            new = self._fresh_id()
            self._put(lambda: self._persist(lambda: self.tale.wipe(new), lambda: self.core.stop(new)))

    def _found_anew(self, v: Found, base: wire.Held, answers: list) -> None:
        if heard_enough(base, answers):
            self._begin(founding(Group(v.generation, self._fresh_id()), v.voters, base))

    def _begin(self, p: Picture) -> None:
        head = store.head(Hard(p.group, 0, ""), [])

        def act() -> None:
            if self.core.raft is not None and self.core.raft.group.generation >= p.group.generation:
                return
            self._persist(lambda: self.tale.turn(encode(p), head), lambda: self.core.start(p, None, [], self.now))

        self._put(act)
