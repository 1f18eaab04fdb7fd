"""The daemon's side of a control process: its disk, its transport and its loop around `Core`."""

from __future__ import annotations

import random
import secrets
from collections.abc import Iterator

import gevent
import msgspec
from gevent.event import AsyncResult
from gevent.lock import RLock
from gevent.queue import Empty, Queue
from result import Result

from mallowvalve import clock
from mallowvalve.configuration.build import EMPTY_TREE, build
from mallowvalve.configuration.model import Tree
from mallowvalve.control import store, wire
from mallowvalve.control.bootstrap_task import BootstrapTask
from mallowvalve.control.core import Core
from mallowvalve.control.outcome import RETRYABLE, Code
from mallowvalve.control.sessions import Call, Session
from mallowvalve.control.snapshot_fetch import BASE, Puller, fill
from mallowvalve.control.snapshot_transfer import Fetching
from mallowvalve.control.state import ReplicatedState
from mallowvalve.finding import Findings
from mallowvalve.membership.wire import FAILED, LEFT
from mallowvalve.metrics import change, vital
from mallowvalve.node import Node
from mallowvalve.raft.messages import Envelope, GroupId, InstallSnapshot, Message, RaftSnapshot, decode_envelope, encode
from mallowvalve.raft.progress import RaftTimings
from mallowvalve.storage.log import DiskLog
from mallowvalve.types import Address

STORE_AGAIN = 2.0
VERDICTS = 0.25
ACTS_AT_ONCE = 512
"""How much of what came is acted on before the outcome is stored and sent."""


class ControlTask:
    """Owns a `Core`; a context manager that runs while it is open."""

    __slots__ = (
        "node",
        "core",
        "disk_log",
        "_box",
        "_jobs",
        "stalled",
        "_role_said",
        "_tree",
        "puller",
        "_saving",
        "_fetching",
        "_stored",
        "disk",
        "bootstrap_task",
        "_waits",
        "_stopping",
        "_leader_hint",
        "_session",
    )

    def __init__(self, node: Node, disk_log: DiskLog, loaded: store.StoredState):
        """For one process, from what it had stored."""
        self.node, self.disk_log = node, disk_log
        p = node.settings
        self.core = Core(
            disk_log.identity.id,
            p.transport,
            p.locality,
            random.Random(node.boot),
            p.acks,
            RaftTimings(min_broadcast_interval=p.pace, election_timeout=p.election),
        )
        self.core.members.boot = node.boot
        if loaded.snapshot is not None:
            self.core.start(loaded.snapshot, loaded.hard, loaded.entries, clock.now())
        self._box: Queue = Queue()
        self.stalled = False
        self._role_said = ""
        self._tree: tuple[int, Tree] = (0, EMPTY_TREE)
        self.puller = Puller(node.transport, self.core.snapshot, self.core.base_snapshot, self.core.settings_snapshot)
        self._saving = False
        self._fetching = Fetching()
        self._stored: dict[tuple[GroupId, int], str] = {}
        self.disk = RLock()
        self._waits: set[AsyncResult] = set()
        self._stopping = False
        self._leader_hint: Address | None = None
        self._session = Session(lambda: secrets.randbits(64))
        self.bootstrap_task = BootstrapTask(self)
        node.transport.on_peer_disconnected = lambda a: self.put(lambda now: self.core.peer_disconnected(a, now))
        on = node.transport.on
        on("raft", self._vote, inline=True)
        on("want", lambda s, b: wire.encode(self._want(wire.decode_replication_request(b))))
        on("offer", lambda s, b: wire.encode(self._offer(wire.decode_command_request(b))))
        on("read", lambda s, b: wire.encode(self._read(2.0)))
        on("who", lambda s, b: wire.encode(self.who()), inline=True)
        on("here", lambda s, b: self.put(lambda now: self.core.announced(wire.decode_status(b), now)), inline=True)

    def __enter__(self) -> ControlTask:
        """Begins to run."""
        jobs = (self._run, self.bootstrap_task.run, self._watch)
        self._jobs = [vital(gevent.spawn(job)) for job in jobs]
        return self

    def __exit__(self, *_) -> None:
        """Whoever still waits for the machine hears that nothing is decided, before the server cuts it off."""
        self._stopping = True
        gevent.killall(self._jobs)
        for w in list(self._waits):
            w.set(None)

    def tree(self) -> Tree:
        """The configuration as this process has it."""
        s = self.core.state
        if s is None:
            return EMPTY_TREE
        if self._tree[0] != s.settings.doc_revision or self._tree[0] == 0:
            doc = msgspec.json.decode(s.settings.doc)
            self._tree = (s.settings.doc_revision, build(doc).unwrap())
        return self._tree[1]

    def check(self, doc: dict) -> Result[Tree, Findings]:
        """Compiles a document beside the loop; the tree, or what is wrong with it."""
        return gevent.get_hub().threadpool.apply(build, (doc,))

    def offer(
        self, command: bytes, limit: float, attempt: float = 60.0, effect: float | None = None
    ) -> wire.CommandResponse:
        """Offers a command to whoever leads until the limit; what may have run never ends as refused.

        All in s. It takes effect within `effect` or never; the rest of the limit is for its acknowledgement.
        """
        begun = clock.now()
        end, call, t = (
            begun + limit,
            Call(self._session, command, begun + (effect or limit)),
            wire.CommandResponse(Code.LEADER),
        )
        while t.code in RETRYABLE and (left := end - (now := clock.now())) > 0 and not self._stopping:
            data = call.data(self.core.clock.estimate(now), now)
            t = call.heard(self._offer_once(data, min(left, attempt)), clock.now())
            if t.code not in RETRYABLE or call.is_over(clock.now()):
                break
            gevent.sleep(min(0.05, max(0.0, end - clock.now())))
        return call.ended(t, RETRYABLE)

    def _offer_once(self, command: bytes, limit: float) -> wire.CommandResponse:
        """A control process that is blank or whose disk refuses holds no command back: another one is asked."""
        other = self._other() if self.core.raft is None or self.stalled else None
        own = other is None and not self.stalled
        t = self._offer(wire.CommandRequest(command, limit)) if own else wire.CommandResponse(Code.LEADER, leader=other)
        if t.code != Code.LEADER or t.leader is None or t.leader == self.node.settings.transport:
            return t
        to, self._leader_hint = t.leader, None
        r = self.node.transport.call(to, "offer", wire.encode(wire.CommandRequest(command, limit)), limit)
        if r.is_err():
            return wire.CommandResponse(Code.UNDECIDED)
        t = wire.decode_command_response(r.ok_value)
        self._leader_hint = t.leader if t.code in RETRYABLE else to
        return t

    def _other(self) -> Address | None:
        controls = [r.addr for r in self.node.membership.alive("control")]
        return self._leader_hint if self._leader_hint in controls else random.choice(controls) if controls else None

    def read(self, limit: float) -> wire.CommandResponse:
        """Asks whoever leads for a confirmed revision and waits until it is applied here, `limit` seconds at most."""
        if self.stalled:
            return wire.CommandResponse(Code.LEADER, leader=self._other())
        end = clock.now() + limit
        t = self._read(limit)
        if t.code != Code.LEADER or t.leader is None or t.leader == self.node.settings.transport:
            return t
        r = self.node.transport.call(t.leader, "read", b"", limit)
        if r.is_err():
            return wire.CommandResponse(Code.UNDECIDED)
        t = wire.decode_command_response(r.ok_value)
        while t.code == Code.OK and (self.core.state is None or self.core.state.revision < t.revision):
            if clock.now() > end or self._stopping:
                return wire.CommandResponse(Code.UNDECIDED)
            gevent.sleep(0.01)
        return t

    def _read(self, limit: float) -> wire.CommandResponse:
        if self._stopping:
            return wire.CommandResponse(Code.LEADER)
        t = self._do(lambda t, now: self.core.read(t, now + limit, now), limit + 0.5)
        return t or wire.CommandResponse(Code.UNDECIDED)

    def hand_over(self) -> None:
        """Begins to leave: another is to lead, and this one's seat is free for whoever holds all."""
        self.core.members.leaving = True
        self.put(lambda now: self.core.raft and self.core.raft.transfer_leadership())
        self.bootstrap_task.say_here()

    def _watch(self) -> None:
        """Shows the leader's machine what the failure detector says of its members."""
        while True:
            gevent.sleep(VERDICTS)
            raft = self.core.raft
            if raft is None or not raft.leads:
                continue
            view = self.node.membership.membership.view
            records = [view[a] for a in raft.log.configuration.members().values() if a in view]
            departed = {r.addr: r.boot for r in records if r.state in (FAILED, LEFT)}
            reassigned_addresses = {r.addr for r in records if r.role != "control"}
            self.put(
                lambda now, verdicts=(departed, reassigned_addresses): self.core.members.update_detector_verdicts(
                    *verdicts
                )
            )

    def _offer(self, o: wire.CommandRequest) -> wire.CommandResponse:
        if self._stopping:
            return wire.CommandResponse(Code.LEADER)
        t = self._do(lambda t, now: self.core.propose(o.command, t, now + o.limit, now), o.limit + 0.5)
        return t or wire.CommandResponse(Code.UNDECIDED)

    def _do(self, act, limit: float):
        w = AsyncResult()
        self._waits.add(w)
        self.put(lambda now: act(w, now))
        try:
            return w.get(timeout=limit)
        except gevent.Timeout:
            return None
        finally:
            self._waits.discard(w)

    def put(self, act) -> None:
        """Has the loop call `act` with the time (s)."""
        self._box.put(act)

    def _want(self, w: wire.ReplicationRequest) -> wire.ReplicationResponse:
        self.bootstrap_task.heard(w)
        return self._do(lambda t, now: self.core.replicate(w, t, now), 2.0) or wire.ReplicationResponse(None)

    def _vote(self, sender: Address, body: bytes) -> None:
        e = decode_envelope(body)
        self.put(lambda now: self.core.receive(e, now))
        if (
            isinstance(e.body, InstallSnapshot)
            and self.core.raft
            and e.group == self.core.raft.group
            and e.body.snapshot.index > self.core.raft.commit_index
            and self._fetching.announced(e.body.snapshot.index)
        ):
            gevent.spawn(self._install, e)

    def _install(self, e: Envelope) -> None:
        """Fetches an announced snapshot by pieces, stores it beside the log, and only then shows it to the machine."""
        try:
            r = self.puller.pull(
                e.address, BASE, lambda offered: offered.group == e.group and offered.index >= e.body.snapshot.index
            )
            if r.is_err():
                return self.node.counts.add("snapshots_not_fetched")
            p, s = r.ok_value
            name = self._store(p)
            if name is None:
                return
            m = msgspec.structs.replace(e.body, snapshot=p)
            self.put(lambda now: self._show(msgspec.structs.replace(e, body=m), s, name, now))
        finally:
            self.node.counts.add("snapshots_overtaken", self._fetching.end())

    def _show(self, e: Envelope, s: ReplicatedState, name: str, now: float) -> None:
        raft = self.core.raft
        if (
            raft is None
            or raft.group != e.group
            or e.body.snapshot.index <= raft.commit_index
            or e.body.term < raft.term
        ):
            return self.persist(lambda: self.disk_log.drop_snapshot(name))
        self._stored = {(e.group, e.body.snapshot.index): name}
        self.core.keep_fetched_state(e.body.snapshot, s)
        self.core.receive(e, now)

    def _store(self, p: RaftSnapshot) -> str | None:
        """Writes a snapshot beside the log; a disk without room for it is not yet one without room for the log."""
        with self.disk:
            name = self.disk_log.reserve_snapshot()
            try:
                gevent.get_hub().threadpool.apply(self.disk_log.store_snapshot, (name, store.encode_snapshot(p)))
                return name
            except OSError as e:
                self.node.counts.add("snapshots_not_stored")
                return change("snapshot_not_stored", error=str(e), bytes=sum(map(len, p.state)))

    def who(self) -> wire.ProcessStatus:
        """What this process says of itself."""
        return self.core.process_status("control", self.node.settings.seeds)

    def _run(self) -> None:
        while True:
            now = clock.now()
            for act in self._take(max(0.001, self.core.timer(now) - now)):
                act(clock.now())
            self.core.tick(clock.now())
            self._flush()
            self._log()

    def _take(self, wait: float) -> list:
        out: list = []
        try:
            out.append(self._box.get(timeout=wait))
            while len(out) < ACTS_AT_ONCE:
                out.append(self._box.get_nowait())
        except Empty:
            pass
        return out

    def _flush(self) -> None:
        r = self.core.ready(clock.now())
        if r is not None:
            group = self.core.raft.group
            self._send(group, r.before_save)
            if r.entries or r.hard_state is not None:
                self.node.counts.add("log_batches")
                self.node.counts.add("log_entries", len(r.entries))
                self.node.counts.add("log_bytes", sum(len(e.data) for e in r.entries))
            stored = self._stored.pop((group, r.snapshot.index), None) if r.snapshot is not None else None
            self.persist(lambda: store.save(self.disk_log, r, self.core.raft.hard_state(), stored))
            self._send(group, r.after_save)
            self.core.saved(r, clock.now())
            if self.disk_log.snapshot_due() and not self._saving and not self.puller.holds():
                self._saving = True
                gevent.spawn(self._compact, *self.core.snapshot())
        replies, self.core.replies = self.core.replies, []
        for w, body in replies:
            w.set(body)

    def persist(self, act) -> None:
        """Writes to disk off the loop, again and again until the disk takes it."""
        pool = gevent.get_hub().threadpool
        while True:
            try:
                t = clock.now()
                pool.apply(act)
                if clock.now() - t > 1.0:
                    self.node.counts.add("disk_slow")
                if self.stalled:
                    change("disk_well")
                self.stalled = False
                return
            except OSError as e:
                if not self.stalled:
                    change("disk_refuses", error=str(e))
                self.stalled = True
                self.node.counts.add("disk_errors")
                gevent.sleep(0.5)

    def _compact(self, p: RaftSnapshot, pieces: Iterator[bytes]) -> None:
        """Makes and stores a snapshot while the machine goes on; the log turns to it once it is safe."""
        p = fill(p, pieces)
        name = self._store(p)
        if name is None:
            gevent.sleep(STORE_AGAIN)
            self._saving = False
            return
        self.put(lambda now: self._turn(p, name))

    def _turn(self, p: RaftSnapshot, name: str) -> None:
        raft, self._saving = self.core.raft, False
        if raft is None or raft.group != p.group or p.index <= raft.log.snapshot_index:
            return self.persist(lambda: self.disk_log.drop_snapshot(name))
        tail = [e for e in raft.log.entries if e.index > p.index]
        first = store.encode_log_head(raft.hard_state(), tail)
        self.persist(lambda: store.restart_log(self.disk_log, p, first, name))
        self.core.compact(p)
        self.node.counts.add("snapshots_taken")

    def _send(self, group: GroupId, out: list) -> None:
        for to, message in out:
            address = self.core.address_of(to)
            if address is None:
                self.node.counts.add("raft_unaddressed")
                continue
            e = Envelope(group, self.core.id, to, self.node.settings.transport, without_snapshot_pieces(message))
            self.node.transport.cast(address, "raft", encode(e))

    def _log(self) -> None:
        decided, self.core.decided = self.core.decided, []
        r = self.core.raft
        term = r.term if r else 0
        for c, o in decided:
            fields = {f: str(getattr(c, f)) for f in c.__struct_fields__ if f not in ("doc", "digest")}
            change(f"decided_{type(c).__name__.lower()}", said=o.code, revision=o.revision, term=term, **fields)
        role = r.role if r else "blank"
        if role in (self._role_said, "pre"):
            return
        self._role_said = role
        change("raft_role", role=role, term=term, generation=r.group.generation if r else 0)


def without_snapshot_pieces(m: Message) -> Message:
    """A snapshot is only named in a message; its pieces are fetched."""
    if not isinstance(m, InstallSnapshot):
        return m
    return msgspec.structs.replace(m, snapshot=msgspec.structs.replace(m.snapshot, state=[]))
