"""The daemon's side of a replica: follows the leader, and goes on without one."""

from __future__ import annotations

import random
import secrets

import gevent
import msgspec
from gevent.event import Event
from gevent.queue import Empty, Queue
from result import Result

from mallowvalve import clock
from mallowvalve.configuration.build import build
from mallowvalve.configuration.model import Tree
from mallowvalve.control import wire
from mallowvalve.control.outcome import RETRYABLE, Code
from mallowvalve.control.replica import DEFAULT_MAX_WAIT_S, Replica
from mallowvalve.control.sessions import Call, Session
from mallowvalve.control.snapshot_fetch import BASE, NOW, SETTINGS, Puller
from mallowvalve.control.snapshot_transfer import Label
from mallowvalve.control.state import Change, decode_command
from mallowvalve.finding import Findings
from mallowvalve.metrics import change, vital
from mallowvalve.node import Node
from mallowvalve.raft.messages import COMMAND, Entry
from mallowvalve.types import Address

ROUND = 0.3
ROUND_MOST = 3
SEEK, SEEK_MOST = 0.8, 3
OVER = 0.6
SHUN = 1.0
ANYWHERE = 1.0
FIRST, FIRST_AGAIN, FIRST_WAIT, FIRST_LIMIT = 0.02, 0.1, 0.05, 0.4
HOLD_ON = 1.0
LARGE = 32768
ATTEMPT_TIMEOUT_S = 0.8


class ReplicaTask:
    """Owns a `Replica`; a context manager that follows while it is open."""

    __slots__ = (
        "node",
        "replica",
        "puller",
        "_jobs",
        "_rng",
        "_fetching",
        "_met",
        "_shunned",
        "_sought",
        "settings_available",
        "_session",
    )

    def __init__(self, node: Node):
        """For one process, whose transport it answers on."""
        self.node = node
        p = node.settings
        max_wait_s = HOLD_ON if p.serve_on else DEFAULT_MAX_WAIT_S
        self.replica = Replica(p.transport, node.boot, p.role, p.locality, self._settings, p.holds, max_wait_s)
        self._rng = random.Random()
        self._fetching = False
        self.puller = Puller(node.transport, self.replica.snapshot, settings=self.replica.settings_snapshot)
        self._met: Address | None = None
        self._shunned: dict[Address, float] = {}
        self._sought = -1e9
        self._session = Session(lambda: secrets.randbits(64))
        self.settings_available = Event()
        on = node.transport.on
        on(
            "round",
            lambda s, b: wire.encode(self.replica.answer_revision_query(wire.decode_revision_query(b))),
            inline=True,
        )
        on("who", lambda s, b: wire.encode(self._who()), inline=True)
        node.gauge("revision", lambda: self.replica.revision)
        node.gauge("held_index", lambda: self.replica.state.index if self.replica.state else 0)
        node.gauge("fresh", lambda: self.replica.fresh(clock.now()))
        node.allow(lambda service: service in self.tree.doc.services)

    def __enter__(self) -> ReplicaTask:
        """Begins to follow."""
        self._jobs = [vital(gevent.spawn(self._follow)), vital(gevent.spawn(self._rounds))]
        if self.node.settings.serve_on:
            self._jobs.append(vital(gevent.spawn(self._begin)))
        return self

    def __exit__(self, *_) -> None:
        """Ends."""
        gevent.killall(self._jobs)

    @property
    def tree(self) -> Tree:
        """The configuration that requests are routed by."""
        return self.replica.tree

    def admits(self) -> bool:
        """Whether requests may be admitted by what is held."""
        return self.replica.admits(clock.now())

    def control(self) -> Address | None:
        """The control process to ask: the leader, or one that may know it; None where none is known."""
        if self.replica.leader is not None:
            return self.replica.leader
        return next(iter(self._controls()), None)

    def _controls(self) -> list[Address]:
        """The control processes to ask, those just found silent last; seeds too, for membership may know nobody yet."""
        alive = [r.addr for r in self.node.membership.alive("control")]
        seeds = [a for a in self.node.settings.seeds if a not in alive]
        for some in (alive, seeds):
            self._rng.shuffle(some)
        now = clock.now()
        return sorted([*alive, *seeds], key=lambda a: self._shunned.get(a, now) > now)

    def offer(self, command: bytes, limit: float) -> wire.CommandResponse:
        """Offers a command in short attempts, for a dead leader's machine answers nothing; all limits in s."""
        end = clock.now() + limit
        call = Call(self._session, command, end)
        while (left := end - clock.now()) > 0:
            to = self.control()
            if to is None:
                gevent.sleep(min(0.05, left))
                continue
            left = min(left, ATTEMPT_TIMEOUT_S)
            data = call.data(self.replica.clock(now := clock.now()), now)
            r = self.node.transport.call(to, "offer", wire.encode(wire.CommandRequest(data, left)), left)
            if r.is_err():
                call.heard(wire.CommandResponse(Code.UNDECIDED), clock.now())
                self._forget(to)
                gevent.sleep(min(0.05, left))
                continue
            t = call.heard(wire.decode_command_response(r.ok_value), clock.now())
            if t.code not in RETRYABLE:
                return call.ended(t, RETRYABLE)
            self.replica.leader = t.leader
            gevent.sleep(min(0.05, left))
        return wire.CommandResponse(Code.UNDECIDED)

    def _forget(self, a: Address) -> None:
        if self.replica.leader == a:
            self.replica.leader = None
        now = clock.now()
        self._shunned = {x: t for x, t in self._shunned.items() if t > now} | {a: now + SHUN}

    def _settings(self, built: Result[Tree, Findings]) -> None:
        if built.is_ok():
            self.node.counts.add("snapshots")
            return change(
                "settings_in_use",
                revision=self.replica.revision,
                evacuated=sorted(self.replica.state.settings.evacuated),
            )
        change("snapshot_not_understood", revision=self.replica.revision, findings=[str(f) for f in built.err_value])

    def _who(self) -> wire.ProcessStatus:
        p, e = self.node.settings, self.replica
        return wire.ProcessStatus(
            p.role,
            "",
            p.transport,
            p.locality,
            p.seeds,
            e.state is None,
            e.group,
            e.state.index if e.state else 0,
            e.voters,
            e.leader,
            e.scope == "all",
        )

    def _follow(self) -> None:
        while True:
            to = self.replica.leader
            if to is None:
                self._seek()
                continue
            max_wait_s = self.replica.max_wait_s if to == self._met else 0.0
            f = self._want(to, max_wait_s, max_wait_s + OVER)
            if f is None:
                self._forget(to)
                continue
            self._take(to, f)
            if f.group is None:
                gevent.sleep(0.05 if f.leader in (None, to) else 0.01)

    def _want(self, to: Address, max_wait_s: float, limit: float) -> wire.ReplicationResponse | None:
        r = self.node.transport.call(
            to, "want", wire.encode(self.replica.replication_request(clock.now(), max_wait_s)), limit
        )
        return wire.decode_replication_response(r.ok_value) if r.is_ok() else None

    def _take(self, of: Address, f: wire.ReplicationResponse) -> None:
        warm(large_docs(f.entries))
        self.replica.receive_response(f, clock.now())
        self._note()
        if f.group is None:
            return
        self._met = of
        if f.needs_snapshot and not self._fetch(of, SETTINGS if self.replica.scope == "settings" else BASE):
            gevent.sleep(0.05)

    def _seek(self) -> None:
        """Asks a few control processes at once who leads; the first that names a leader that is not silent ends it."""
        box: Queue = Queue()
        asked = self._controls()[:SEEK_MOST]
        for a in asked:
            gevent.spawn(lambda a=a: box.put((a, self._want(a, 0.0, SEEK))))
        for _ in asked:
            try:
                a, f = box.get(timeout=SEEK + 0.1)
            except Empty:
                break
            if f is None:
                self._forget(a)
            elif f.group is not None and not self.replica.is_older_generation(f.group):
                return self._take(a, f)
            elif f.leader is not None and self._shunned.get(f.leader, -1e9) < clock.now():
                self.replica.leader = f.leader
                return
        if self.node.settings.serve_on:
            self._fetch_anywhere()
        gevent.sleep(0.1)

    def _begin(self) -> None:
        """A proxy with nothing to go by takes the newest settings that anybody has, and waits for nobody silent.

        It asks less and less often: where nobody has any, the whole fleet asks.
        """
        gevent.sleep(FIRST)
        pause = FIRST_AGAIN
        while not self.settings_available.is_set():
            self._take_newest(FIRST_WAIT)
            self.settings_available.wait(timeout=pause)
            pause = min(2 * pause, ANYWHERE)

    def _fetch_anywhere(self) -> None:
        """The newest settings that a control process or a peer holds, while nobody leads; never older than held."""
        now = clock.now()
        if now - self._sought < ANYWHERE:
            return
        self._sought = now
        self._take_newest(None)

    def _take_newest(self, wait: float | None) -> None:
        """Of all that answer, or of those that do within `wait` (s) once somebody who holds settings has."""
        proxies = [r.addr for r in self.node.membership.alive("proxy") if r.addr != self.replica.addr]
        to = [*self._controls()[: 2 * SEEK_MOST], *self._rng.sample(proxies, min(len(proxies), SEEK_MOST))]
        known = self._known(to, wait)
        for w in sorted(known, key=lambda w: (w.group.generation, w.index), reverse=True):
            if self.replica.is_behind(Label(w.group, w.index, 0, w.voters, 0)) and self._fetch(w.addr, self._now):
                return

    def _known(self, to: list[Address], wait: float | None) -> list[wire.ProcessStatus]:
        box: Queue = Queue()
        for a in to:
            gevent.spawn(lambda a=a: box.put(self.node.transport.call(a, "who", b"", FIRST_LIMIT)))
        known: list[wire.ProcessStatus] = []
        end = clock.now() + FIRST_LIMIT + 0.1
        for _ in to:
            try:
                r = box.get(timeout=max(0.001, end - clock.now()))
            except Empty:
                break
            w = wire.decode_status(r.ok_value) if r.is_ok() else None
            if w is None or w.group is None or w.voters is None:
                continue
            if not known and wait is not None:
                end = min(end, clock.now() + wait)
            known.append(w)
        return known

    def _note(self) -> None:
        s = self.replica.state
        if s is not None and s.items.revision:
            self.settings_available.set()

    @property
    def _now(self) -> bytes:
        return SETTINGS if self.replica.scope == "settings" else NOW

    def _fetch(self, a: Address, what: bytes) -> bool:
        r = self.puller.pull(a, what, self.replica.is_behind)
        if r.is_err():
            return False
        p, s = r.ok_value
        warm([s.settings.doc] if len(s.settings.doc) > LARGE else [])
        self.replica.install(p, s)
        self._note()
        return True

    def _rounds(self) -> None:
        while True:
            gevent.sleep(ROUND)
            now = clock.now()
            if not self.replica.leader_is_silent(now):
                continue
            m = self.replica.revision_query(now)
            if m is None:
                continue
            body = wire.encode(m)
            others = [a for a in self.replica.roster() if a != self.replica.addr]
            if self.node.settings.serve_on:
                others = self._rng.sample(others, min(len(others), ROUND_MOST))
            for a in others:
                gevent.spawn(self._ask, a, body)

    def _ask(self, a: Address, body: bytes) -> None:
        r = self.node.transport.call(a, "round", body, 1.0)
        if r.is_err() or not self.replica.receive_revision_reply(wire.decode_revision_reply(r.ok_value)):
            return
        if self._fetching:
            return
        self._fetching = True
        try:
            self._fetch(a, self._now)
        finally:
            self._fetching = False


def large_docs(entries: list[Entry]) -> list[bytes]:
    """The configuration documents among these entries that take long to parse."""
    datas = [e.data for e in entries if e.kind == COMMAND and len(e.data) > LARGE]
    return [c.doc for c in map(decode_command, datas) if isinstance(c, Change)]


def warm(docs: list[bytes]) -> None:
    """Parses large new trees off the hub, so that taking them in finds every part remembered."""
    for doc in docs:
        gevent.get_hub().threadpool.apply(build, (msgspec.json.decode(doc),))
