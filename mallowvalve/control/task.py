"""Runs `Core` in the control daemon: event loop, disk log and transport."""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import msgspec
from gevent.event import AsyncResult
from gevent.lock import RLock
from gevent.queue import Empty, Queue
from result import Err, Result

from mallowvalve import clock
from mallowvalve.configuration.build import EMPTY_TREE, build, build_document
from mallowvalve.configuration.model import Tree
from mallowvalve.control import store, wire
from mallowvalve.control.bootstrap_task import BootstrapTask
from mallowvalve.control.core import Core
from mallowvalve.control.core_events import CoreEvents
from mallowvalve.control.detector_verdicts import report_detector_verdicts
from mallowvalve.control.frames import register_frames, send_raft_messages
from mallowvalve.control.outcome import RETRYABLE, Code
from mallowvalve.control.sessions import Session, SessionCall
from mallowvalve.control.snapshot_fetch import BASE_SNAPSHOT, SnapshotExchange, collect_pieces
from mallowvalve.control.snapshot_transfer import FetchProgress
from mallowvalve.control.state import ReplicatedState
from mallowvalve.control.tolerance_report import ToleranceReport
from mallowvalve.finding import Findings
from mallowvalve.metrics import log_event
from mallowvalve.node import Node
from mallowvalve.raft.messages import Envelope, GroupId, InstallSnapshot, RaftSnapshot
from mallowvalve.raft.progress import RaftTimings
from mallowvalve.storage.log import DiskLog
from mallowvalve.supervision import exit_on_failure, restart_on_failure
from mallowvalve.types import Address

Event = Callable[[float], object]
"""An event of the core's loop, which calls it with the time (s)."""

SNAPSHOT_RETRY_DELAY_S = 2.0
MAX_EVENTS_PER_SAVE = 512
"""How many queued events are handled before the result is stored and sent."""


class ControlTask:
    """Owns a `Core` and runs it while the context is open."""

    __slots__ = (
        "node",
        "core",
        "disk_log",
        "_events",
        "_jobs",
        "stalled",
        "_core_events",
        "tolerance_report",
        "_tree",
        "snapshot_exchange",
        "_compacting",
        "_fetching",
        "_stored_snapshot",
        "disk_lock",
        "bootstrap_task",
        "_waiters",
        "_stopping",
        "_leader_hint",
        "_session",
    )

    def __init__(self, node: Node, disk_log: DiskLog, loaded: store.StoredState):
        """Creates the task of the node from its stored state and registers the transport handlers."""
        self.node, self.disk_log = node, disk_log
        settings, rng, id = node.settings, random.Random(node.boot), disk_log.identity.id
        timings = RaftTimings(min_broadcast_interval=settings.pace, election_timeout=settings.election)
        self.core = Core(id, settings.transport, settings.locality, rng, settings.acks, timings)
        self.core.members.boot, self.core.members.fault_budget = node.boot, settings.fault_budget
        if loaded.snapshot is not None:
            self.core.start(loaded.snapshot, loaded.hard, loaded.entries, clock.now())
        self._events: Queue = Queue()
        self.stalled = self._compacting = self._stopping = False
        self._core_events = CoreEvents(self.core, node.counts)
        self.tolerance_report = ToleranceReport(self.core, settings.fault_budget)
        self._tree: tuple[int, Tree] = (0, EMPTY_TREE)
        self.snapshot_exchange = SnapshotExchange(
            node.transport, self.core.snapshot, self.core.base_snapshot, self.core.settings_snapshot
        )
        self._fetching = FetchProgress()
        self._stored_snapshot: dict[tuple[GroupId, int], str] = {}
        self.disk_lock = RLock()
        self._waiters: set[AsyncResult] = set()
        self._leader_hint: Address | None = None
        self._session = Session(lambda: secrets.randbits(64))
        self.bootstrap_task = BootstrapTask(self)
        node.transport.on_peer_disconnected = lambda peer: self.post(lambda now: self.core.peer_disconnected(peer, now))
        register_frames(node.transport, self)

    def __enter__(self) -> ControlTask:
        """Starts the event loop, the bootstrap task and the failure detector poll."""
        counts = self.node.counts
        self._jobs = [
            exit_on_failure(gevent.spawn(self._run)),
            restart_on_failure("bootstrap", self.bootstrap_task.run, counts),
            restart_on_failure(
                "detector_verdicts",
                lambda: report_detector_verdicts(self.core, self.node.membership, self.post),
                counts,
            ),
        ]
        return self

    def __exit__(self, *_: object) -> None:
        """Stops; pending calls end as undecided before the server closes their connections."""
        self._stopping = True
        gevent.killall(self._jobs)
        for waiter in list(self._waiters):
            waiter.set(None)

    def tree(self) -> Tree:
        """Returns the configuration that this process has applied."""
        state = self.core.state
        if state is None:
            return EMPTY_TREE
        if self._tree[0] != state.settings.doc_revision or self._tree[0] == 0:
            built = build_document(state.settings.doc)
            if isinstance(built, Err):
                log_event("document_not_understood", findings=[str(problem) for problem in built.err_value])
            self._tree = (state.settings.doc_revision, built.unwrap_or(self._tree[1]))
        return self._tree[1]

    def check(self, doc: dict[str, Any]) -> Result[Tree, Findings]:
        """Compiles a document off the event loop; returns the tree or its findings."""
        built: Result[Tree, Findings] = gevent.get_hub().threadpool.apply(build, (doc,))
        return built

    def offer(
        self, command: bytes, limit: float, attempt: float = 60.0, effect: float | None = None
    ) -> wire.CommandResponse:
        """Offers a command to the leader until `limit` (s); one that may have run is never reported as refused.

        It takes effect within `effect` (s) or never; the rest of `limit` is for its acknowledgement.
        """
        begun = clock.now()
        end = begun + limit
        call = SessionCall(self._session, command, begun + (effect or limit))
        response = wire.CommandResponse(Code.LEADER)
        while response.code in RETRYABLE and (left := end - (now := clock.now())) > 0 and not self._stopping:
            data = call.encoded_command(self.core.clock.estimate(now), now)
            response = call.on_response(self._offer_once(data, min(left, attempt)), clock.now())
            if response.code not in RETRYABLE or call.has_expired(clock.now()):
                break
            gevent.sleep(min(0.05, max(0.0, end - clock.now())))
        return call.final_response(response, RETRYABLE)

    def _offer_once(self, command: bytes, limit: float) -> wire.CommandResponse:
        """Offers the command once; a process that is blank or whose disk refuses writes passes it to another one."""
        other = self._choose_control_process() if self.core.raft is None or self.stalled else None
        request, local = wire.CommandRequest(command, limit), other is None and not self.stalled
        response = self.offer_locally(request) if local else wire.CommandResponse(Code.LEADER, leader=other)
        if response.code != Code.LEADER or response.leader is None or response.leader == self.node.settings.transport:
            return response
        to, self._leader_hint = response.leader, None
        reply = self.node.transport.call(to, "offer", wire.encode(request), limit)
        if isinstance(reply, Err):
            return wire.CommandResponse(Code.UNDECIDED)
        response = wire.decode_command_response(reply.ok_value)
        self._leader_hint = response.leader if response.code in RETRYABLE else to
        return response

    def _choose_control_process(self) -> Address | None:
        controls = [record.addr for record in self.node.membership.alive("control")]
        return self._leader_hint if self._leader_hint in controls else random.choice(controls) if controls else None

    def read(self, limit: float) -> wire.CommandResponse:
        """Asks the leader for a confirmed revision and waits until it is applied here, `limit` s at most."""
        if self.stalled:
            return wire.CommandResponse(Code.LEADER, leader=self._choose_control_process())
        end = clock.now() + limit
        response = self.read_locally(limit)
        if response.code != Code.LEADER or response.leader is None or response.leader == self.node.settings.transport:
            return response
        reply = self.node.transport.call(response.leader, "read", b"", limit)
        if isinstance(reply, Err):
            return wire.CommandResponse(Code.UNDECIDED)
        response = wire.decode_command_response(reply.ok_value)
        while response.code == Code.OK and (self.core.state is None or self.core.state.revision < response.revision):
            if clock.now() > end or self._stopping:
                return wire.CommandResponse(Code.UNDECIDED)
            gevent.sleep(0.01)
        return response

    def read_locally(self, limit: float) -> wire.CommandResponse:
        """Returns the outcome of a read at this process, which must lead, within `limit` (s)."""
        if self._stopping:
            return wire.CommandResponse(Code.LEADER)
        response: wire.CommandResponse | None = self._await_reply(
            lambda token, now: self.core.read(token, now + limit, now), limit + 0.5
        )
        return response or wire.CommandResponse(Code.UNDECIDED)

    def begin_leaving(self) -> None:
        """Begins to leave: transfers the leadership and offers its seat to a caught-up member."""
        self.core.members.leaving = True
        self.post(lambda now: self._transfer_leadership())
        self.bootstrap_task.announce()

    def _transfer_leadership(self) -> None:
        if self.core.raft is not None:
            self.core.raft.transfer_leadership()

    def _report_detector_verdicts(self) -> None:
        report_detector_verdicts(self.core, self.node.membership, self.post)

    def offer_locally(self, request: wire.CommandRequest) -> wire.CommandResponse:
        """Returns the outcome of a command at this process, which must lead."""
        if self._stopping:
            return wire.CommandResponse(Code.LEADER)
        response: wire.CommandResponse | None = self._await_reply(
            lambda token, now: self.core.propose(request.command, token, now + request.limit, now), request.limit + 0.5
        )
        return response or wire.CommandResponse(Code.UNDECIDED)

    def _await_reply(self, event: Callable[[AsyncResult[Any], float], None], limit: float) -> Any:
        waiter: AsyncResult[Any] = AsyncResult()
        self._waiters.add(waiter)
        self.post(lambda now: event(waiter, now))
        try:
            return waiter.get(timeout=limit)
        except gevent.Timeout:
            return None
        finally:
            self._waiters.discard(waiter)

    def post(self, event: Event) -> None:
        """Queues `event`, which the event loop calls with the time (s)."""
        self._events.put(event)

    def replicate(self, request: wire.ReplicationRequest) -> wire.ReplicationResponse:
        """Returns the entries that a replica asks for, as soon as there are some."""
        self.bootstrap_task.record_state_holder(request)
        response: wire.ReplicationResponse | None = self._await_reply(
            lambda token, now: self.core.replicate(request, token, now), 2.0
        )
        return response or wire.ReplicationResponse(None)

    def receive(self, envelope: Envelope) -> None:
        """Passes a Raft message to the core, and begins to fetch the snapshot that it announces."""
        self.post(lambda now: self.core.receive(envelope, now))
        if (
            isinstance(envelope.body, InstallSnapshot)
            and self.core.raft
            and envelope.group == self.core.raft.group
            and envelope.body.snapshot.index > self.core.raft.commit_index
            and self._fetching.on_announcement(envelope.body.snapshot.index)
        ):
            gevent.spawn(self._fetch_snapshot, envelope, envelope.body)

    def _fetch_snapshot(self, envelope: Envelope, announcement: InstallSnapshot) -> None:
        """Fetches the pieces of an announced snapshot and stores it beside the log before the core installs it."""
        group, index = envelope.group, announcement.snapshot.index
        try:
            pulled = self.snapshot_exchange.fetch(
                envelope.address, BASE_SNAPSHOT, lambda label: label.group == group and label.index >= index
            )
            if isinstance(pulled, Err):
                self.node.counts.add("snapshots_not_fetched")
                return
            snapshot, state = pulled.ok_value
            name = self._store_snapshot(snapshot)
            if name is None:
                return
            whole = msgspec.structs.replace(announcement, snapshot=snapshot)
            self.post(lambda now: self._install_snapshot(envelope, whole, state, name, now))
        finally:
            self.node.counts.add("snapshots_overtaken", self._fetching.end())

    def _install_snapshot(
        self, envelope: Envelope, message: InstallSnapshot, state: ReplicatedState, name: str, now: float
    ) -> None:
        raft, term, snapshot = self.core.raft, message.term, message.snapshot
        if raft is None or raft.group != envelope.group or snapshot.index <= raft.commit_index or term < raft.term:
            self.persist(lambda: self.disk_log.drop_snapshot(name))
            return
        self._stored_snapshot = {(envelope.group, snapshot.index): name}
        self.core.keep_fetched_state(snapshot, state)
        self.core.receive(msgspec.structs.replace(envelope, body=message), now)

    def _store_snapshot(self, snapshot: RaftSnapshot) -> str | None:
        """Stores a snapshot beside the log; None if that fails, as the disk may still have room for log entries."""
        with self.disk_lock:
            name = self.disk_log.reserve_snapshot()
            try:
                gevent.get_hub().threadpool.apply(self.disk_log.store_snapshot, (name, store.encode_snapshot(snapshot)))
                return name
            except OSError as error:
                self.node.counts.add("snapshots_not_stored")
                log_event("snapshot_not_stored", error=str(error), bytes=sum(map(len, snapshot.state)))
                return None

    def process_status(self) -> wire.ProcessStatus:
        """Returns the status that this process reports to others."""
        return self.core.process_status("control", self.node.settings.seeds)

    def _run(self) -> None:
        while True:
            now = clock.now()
            for event in self._take_events(max(0.001, self.core.timer(now) - now)):
                event(clock.now())
            self.core.tick(clock.now())
            self._flush()
            self._core_events.log()
            self.tolerance_report.log()

    def _take_events(self, wait: float) -> list[Event]:
        events: list[Event] = []
        try:
            events.append(self._events.get(timeout=wait))
            while len(events) < MAX_EVENTS_PER_SAVE:
                events.append(self._events.get_nowait())
        except Empty:
            pass
        return events

    def _flush(self) -> None:
        ready, raft = self.core.ready(clock.now()), self.core.raft
        if ready is not None and raft is not None:
            group = raft.group
            send_raft_messages(self.core, self.node.transport, group, ready.before_save)
            if ready.entries or ready.hard_state is not None:
                self.node.counts.add("log_batches")
                self.node.counts.add("log_entries", len(ready.entries))
                self.node.counts.add("log_bytes", sum(len(entry.data) for entry in ready.entries))
            installed = ready.snapshot
            stored = self._stored_snapshot.pop((group, installed.index), None) if installed is not None else None
            self.persist(lambda: store.save(self.disk_log, ready, raft.hard_state(), stored))
            send_raft_messages(self.core, self.node.transport, group, ready.after_save)
            self.core.saved(ready, clock.now())
            self._compact_if_due()
        replies, self.core.replies = self.core.replies, []
        for waiter, body in replies:
            waiter.set(body)

    def _compact_if_due(self) -> None:
        if not self.disk_log.snapshot_due() or self._compacting or self.snapshot_exchange.retains_log():
            return
        snapshot = self.core.snapshot()
        if snapshot is not None:
            self._compacting = True
            gevent.spawn(self._compact, *snapshot)

    def persist(self, write: Callable[[], object]) -> None:
        """Runs a disk write off the event loop and retries it until it succeeds."""
        pool = gevent.get_hub().threadpool
        while True:
            try:
                begun = clock.now()
                pool.apply(write)
                if clock.now() - begun > 1.0:
                    self.node.counts.add("disk_slow")
                if self.stalled:
                    log_event("disk_well")
                self.stalled = False
                return
            except OSError as error:
                if not self.stalled:
                    log_event("disk_refuses", error=str(error))
                self.stalled = True
                self.node.counts.add("disk_errors")
                gevent.sleep(0.5)

    def _compact(self, snapshot: RaftSnapshot, pieces: Iterator[bytes]) -> None:
        """Encodes and stores a snapshot while the core keeps running, then restarts the log from it."""
        try:
            snapshot = collect_pieces(snapshot, pieces)
            name = self._store_snapshot(snapshot)
        except (ArithmeticError, ValueError) as error:
            self.node.counts.add("snapshots_not_stored")
            log_event("snapshot_not_encoded", error=repr(error))
            name = None
        if name is None:
            gevent.sleep(SNAPSHOT_RETRY_DELAY_S)
            self._compacting = False
            return
        self.post(lambda now: self._restart_log(snapshot, name))

    def _restart_log(self, snapshot: RaftSnapshot, name: str) -> None:
        raft, self._compacting = self.core.raft, False
        if raft is None or raft.group != snapshot.group or snapshot.index <= raft.log.snapshot_index:
            return self.persist(lambda: self.disk_log.drop_snapshot(name))
        tail = [entry for entry in raft.log.entries if entry.index > snapshot.index]
        log_head = store.encode_log_head(raft.hard_state(), tail)
        self.persist(lambda: store.restart_log(self.disk_log, snapshot, log_head, name))
        self.core.compact(snapshot)
        self.node.counts.add("snapshots_taken")
