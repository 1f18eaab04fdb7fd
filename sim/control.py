"""A simulated control process: the control core, its log and snapshots, with the daemon's tasks as callbacks."""

from __future__ import annotations

import random

from msgspec.structs import replace

from mallowvalve.control import store, wire
from mallowvalve.control.bootstrap import (
    DecisionStabilizer,
    FoundGroup,
    JoinGroup,
    WipeState,
    decide,
    roster_majority_answered,
)
from mallowvalve.control.bootstrap_task import LEAVE_QUERY_TIMEOUT_S, LEAVE_RETRY_INTERVAL_S
from mallowvalve.control.core import Core
from mallowvalve.control.leave import Leave, LeaveReason
from mallowvalve.control.snapshot import initial_snapshot
from mallowvalve.control.snapshot_fetch import BASE_SNAPSHOT, CURRENT_SNAPSHOT
from mallowvalve.control.snapshot_transfer import FetchProgress, decode_piece_request
from mallowvalve.control.state import ReplicatedState
from mallowvalve.raft.messages import (
    Envelope,
    GroupId,
    HardState,
    InstallSnapshot,
    RaftSnapshot,
    decode_envelope,
    encode,
    without_snapshot_pieces,
)
from mallowvalve.raft.progress import RaftTimings
from mallowvalve.settings import Acks
from mallowvalve.storage.log import DiskLog
from mallowvalve.types import Address, Locality
from sim.disk import SimDisk
from sim.replica import SimShelf, pull
from sim.world import SimulatedNode, World

FAILURE_DETECTION_S = 6.5
"""Time after which an absent process counts as failed: the 95th percentile of the real failure detector."""


class ControlNode(SimulatedNode):
    """A control process with its disk."""

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
        """`segment_bytes` is the log size at which a snapshot replaces the log; the default is the class's."""
        super().__init__(world, addr)
        self.locality, self.seeds, self.disk, self.peers = locality, seeds, disk, peers
        self.rng = random.Random(world.rng.random())
        self.disk_log = DiskLog.open(
            disk, "sim", self._fresh_id(), segment_bytes=segment_bytes or self.segment_bytes
        ).unwrap()
        loaded = store.load(self.disk_log).unwrap()
        self.core = Core(self.disk_log.identity.id, addr, locality, self.rng, self.acks, self.times)
        self.core.members.boot = self.life
        self._absent_since: dict[Address, float] = {}
        if loaded.snapshot is not None:
            self.core.start(loaded.snapshot, loaded.hard, loaded.entries, world.now)
        self._persisting = self._storing_snapshot = self._joining = False
        self._fetching = FetchProgress()
        self.left: LeaveReason | None = None
        self.shelf = SimShelf()
        self._pending_actions: list = []
        self._bootstrap_judge = DecisionStabilizer()
        self._statuses: list = []
        self.every(0.02, lambda: self._enqueue(lambda: None))
        self.every(0.5, self._query_status)
        self.every(0.25, self._detect_failures)

    def _fresh_id(self) -> str:
        return f"{self.rng.getrandbits(64):016x}"

    def handle(self, kind, src, body, answer) -> None:
        """Handles a Raft message, or a request of a replica, client or other control process."""
        match kind:
            case "raft":
                self._receive_raft(decode_envelope(body))
            case "want":
                self._enqueue(lambda: self.core.replicate(wire.decode_replication_request(body), answer, self.now))
            case "offer":
                request = wire.decode_command_request(body)
                self._enqueue(lambda: self.core.propose(request.command, answer, self.now + request.limit, self.now))
            case "read":
                self._enqueue(lambda: self.core.read(answer, self.now + 2.0, self.now))
            case "here":
                self._enqueue(lambda: self.core.announced(wire.decode_status(body), self.now))
            case "who":
                answer(wire.encode(self._own_status()))
            case "label":
                answer(wire.encode(self._snapshot_label(body)))
            case "piece":
                answer(wire.encode(self.shelf.get_piece(decode_piece_request(body), self.now)))

    def broken(self, peer: Address) -> None:
        """Reports the disconnect of a peer to the core, as the daemon does."""
        super().broken(peer)
        self._enqueue(lambda: self.core.peer_disconnected(peer, self.now))

    def _snapshot_label(self, what: bytes):
        if what == CURRENT_SNAPSHOT:
            return self.shelf.offer(self.core.snapshot(), self.now)
        snapshot = self.core.base_snapshot()
        return self.shelf.put(snapshot, self.now) if snapshot is not None else None

    def _receive_raft(self, envelope: Envelope) -> None:
        """Passes on a Raft message; an InstallSnapshot makes this node fetch the snapshot by pieces."""
        self._enqueue(lambda: self.core.receive(envelope, self.now))
        if (
            not isinstance(envelope.body, InstallSnapshot)
            or self.core.raft is None
            or envelope.group != self.core.raft.group
            or envelope.body.snapshot.index <= self.core.raft.commit_index
            or not self._fetching.on_announcement(envelope.body.snapshot.index)
        ):
            return

        def fetched(got) -> None:
            self.core.counts.add("snapshots_overtaken", self._fetching.end())
            if got is not None:
                self._enqueue(lambda: self._install_fetched(envelope, *got))

        pull(
            self,
            envelope.address,
            BASE_SNAPSHOT,
            fetched,
            lambda offered: offered.group == envelope.group and offered.index >= envelope.body.snapshot.index,
        )

    def _install_fetched(self, envelope: Envelope, snapshot: RaftSnapshot, state) -> None:
        if (
            self.core.raft is not None
            and self.core.raft.group == envelope.group
            and snapshot.index > self.core.raft.commit_index
        ):
            self.core.keep_fetched_state(snapshot, state)
            self.core.receive(replace(envelope, body=replace(envelope.body, snapshot=snapshot)), self.now)

    def _own_status(self) -> wire.ProcessStatus:
        return self.core.process_status("control", self.seeds)

    def _enqueue(self, act) -> None:
        self._pending_actions.append(act)
        if not self._persisting:
            self._step()

    def _step(self) -> None:
        actions, self._pending_actions = self._pending_actions, []
        for act in actions:
            act()
        self.core.tick(self.now)
        ready = self.core.ready(self.now)
        if ready is None:
            return self._send_replies()
        raft = self.core.raft
        self._send(raft.group, ready.before_save)
        hard_state = raft.hard_state()
        self._persist(lambda: store.save(self.disk_log, ready, hard_state), lambda: self._saved(raft, ready))

    def _persist(self, act, then) -> None:
        self._persisting = True
        try:
            act()
        except OSError:
            return self.wake(0.5, lambda: self._persist(act, then))
        if self.disk.stall:
            return self.wake(self.disk.stall, lambda: self._resume(then))
        self._resume(then)

    def _resume(self, then) -> None:
        self._persisting = False
        then()

    def _saved(self, raft, ready) -> None:
        if self.core.raft is raft:
            self._send(raft.group, ready.after_save)
            self.core.saved(ready, self.now)
            if self.disk_log.snapshot_due() and not self._storing_snapshot and not self.shelf.retains_log(self.now):
                self._compact()
        self._send_replies()

    def _compact(self) -> None:
        """Stores a snapshot while the node runs on; the log switches to it some time later, as in the daemon."""
        snapshot, pieces = self.core.snapshot()
        snapshot = replace(snapshot, state=list(pieces))
        name = self.disk_log.reserve_snapshot()
        try:
            self.disk_log.store_snapshot(name, store.encode_snapshot(snapshot))
        except OSError:
            return
        self._storing_snapshot = True
        self.wake(0.3 + self.disk.stall, lambda: self._enqueue(lambda: self._switch_snapshot(snapshot, name)))

    def _switch_snapshot(self, snapshot: RaftSnapshot, name: str) -> None:
        raft, self._storing_snapshot = self.core.raft, False
        if raft is None or raft.group != snapshot.group or snapshot.index <= raft.log.snapshot_index:
            return self.disk_log.drop_snapshot(name)

        def switch() -> None:
            tail = [e for e in raft.log.entries if e.index > snapshot.index]
            store.restart_log(self.disk_log, snapshot, store.encode_log_head(raft.hard_state(), tail), name)

        self._persist(switch, lambda: self.core.compact(snapshot))

    def _send_replies(self) -> None:
        replies, self.core.replies = self.core.replies, []
        for answer, body in replies:
            if answer is not None:
                answer(wire.encode(body))
        if self._pending_actions and not self._persisting:
            self._step()

    def _send(self, group: GroupId, out: list) -> None:
        for to, message in out:
            address = self.core.address_of(to)
            if address is not None:
                self.cast(
                    address,
                    "raft",
                    encode(Envelope(group, self.core.id, to, self.addr, without_snapshot_pieces(message))),
                )

    def _detect_failures(self) -> None:
        """Stands in for the failure detector: a process absent or frozen for `FAILURE_DETECTION_S` has failed."""
        if self.core.raft is None:
            return
        present = set(self.peers()) - self.world.frozen.keys()
        absent = {address for address in self.core.raft.log.configuration.members().values() if address not in present}
        self._absent_since = {address: self._absent_since.get(address, self.now) for address in absent}
        failed = [address for address, since in self._absent_since.items() if self.now - since >= FAILURE_DETECTION_S]
        boots = {s.addr: s.boot for s in sorted(self.core.announcements.values(), key=lambda s: s.at)}
        reassigned = {
            address
            for address in present
            if address in self.world.nodes and not isinstance(self.world.nodes[address], ControlNode)
        }
        self._enqueue(
            lambda: self.core.members.update_detector_verdicts(
                {address: boots.get(address, 0) for address in failed}, reassigned
            )
        )

    def leave(self, limit: float) -> None:
        """Stops as the daemon does: transfers leadership, announces the leave, ends within `limit` seconds."""
        self.core.members.leaving = True
        self._enqueue(lambda: self.core.raft and self.core.raft.transfer_leadership())
        self._continue_leave(Leave(self.core.id), self.now + limit)

    def _continue_leave(self, leave: Leave, end: float) -> None:
        """Asks all control processes at once; decides when each has answered or timed out, as the daemon does."""
        if self.now >= end:
            return self._end_leave(leave)
        asked = sorted({*self._others(), self.core.leader()} - {None, self.addr})
        answers: list[wire.ProcessStatus | None] = []

        def heard(data: bytes | None) -> None:
            answers.append(wire.decode_status(data) if data else None)
            if len(answers) == len(asked):
                self._judge_leave(leave, [w for w in answers if w is not None], end)

        for address in asked:
            self.call(address, "who", b"", LEAVE_QUERY_TIMEOUT_S, heard)
        if not asked:
            self._judge_leave(leave, [], end)
        return None

    def _judge_leave(self, leave: Leave, answers: list[wire.ProcessStatus], end: float) -> None:
        if leave.may_leave(self.core.raft, answers, self._others()):
            return self._end_leave(leave)
        self._enqueue(lambda: self.core.announced(self._own_status(), self.now))
        for address in self._others():
            self.cast(address, "here", wire.encode(self._own_status()))
        return self.wake(LEAVE_RETRY_INTERVAL_S, lambda: self._continue_leave(leave, end))

    def _end_leave(self, leave: Leave) -> None:
        self.left = leave.why
        self.crash()
        self.disk.crash()

    def _others(self) -> list[Address]:
        nodes = (self.world.nodes[a] for a in self.peers() if a != self.addr)
        return [n.addr for n in nodes if isinstance(n, ControlNode) and not n.core.members.leaving]

    def _query_status(self) -> None:
        """Asks all known processes for their status, decides on a bootstrap step soon after, and announces this one."""
        self._statuses = []
        to = set(self.peers()) | set(self.seeds)
        if self.core.raft is not None:
            to |= set(self.core.raft.log.configuration.all_voters().values())
        asked = to - {self.addr}
        for address in sorted(asked):
            self.call(address, "who", b"", 0.3, lambda data: self._status_received(data, asked))
        self.wake(0.45, self._decide_bootstrap)
        body = wire.encode(self._own_status())
        control = [a for a in self.peers() if isinstance(self.world.nodes[a], ControlNode)]
        for address in sorted(self.core.announcement_targets(control)):
            self.cast(address, "here", body)
        own_status = self._own_status()
        self._enqueue(lambda: self.core.announced(own_status, self.now))

    def _status_received(self, data: bytes | None, asked: set) -> None:
        if not data:
            return
        status = wire.decode_status(data)
        self._statuses.append(status)
        more = set(status.voters.all_voters().values()) - asked - {self.addr} if status.voters else set()
        for address in sorted(more):
            asked.add(address)
            self.call(address, "who", b"", 0.14, lambda data: self._status_received(data, asked))

    def _decide_bootstrap(self) -> None:
        decision = self._bootstrap_judge.confirm(
            decide(self._own_status(), self._statuses, 1, self.core.nothing_committed), self.now
        )
        if isinstance(decision, FoundGroup) and decision.base is None:
            self._start_group(initial_snapshot(GroupId(decision.generation, self._fresh_id()), decision.voters, None))
        elif isinstance(decision, FoundGroup):
            statuses = list(self._statuses)
            pull(
                self,
                decision.base.addr,
                CURRENT_SNAPSHOT,
                lambda got: got and self._found_new_generation(decision, got[1], statuses),
                lambda offered: (offered.group, offered.index) >= (decision.base.group, decision.base.index),
            )
        elif isinstance(decision, JoinGroup) and not self._joining:
            self._joining = True
            pull(self, decision.source.addr, BASE_SNAPSHOT, self._join_fetched)
        elif isinstance(decision, WipeState):
            new = self._fresh_id()
            self._enqueue(lambda: self._persist(lambda: self.disk_log.wipe(new), lambda: self.core.stop(new)))

    def _join_fetched(self, got) -> None:
        self._joining = False
        if got is not None:
            self._start_group(got[0])

    def _found_new_generation(self, decision: FoundGroup, base: ReplicatedState, statuses: list) -> None:
        if roster_majority_answered(base, statuses):
            self._start_group(initial_snapshot(GroupId(decision.generation, self._fresh_id()), decision.voters, base))

    def _start_group(self, snapshot: RaftSnapshot) -> None:
        head = store.encode_log_head(HardState(snapshot.group, 0, ""), [])

        def act() -> None:
            if self.core.raft is not None and self.core.raft.group.generation >= snapshot.group.generation:
                return
            self._persist(
                lambda: store.restart_log(self.disk_log, snapshot, head),
                lambda: self.core.start(snapshot, None, [], self.now),
            )

        self._enqueue(act)
