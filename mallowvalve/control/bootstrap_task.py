"""Runs the bootstrap decisions of a control process: queries other processes and carries out `bootstrap.decide`."""

from __future__ import annotations

import itertools
import random
import time
import uuid
from collections.abc import Callable
from typing import Protocol

import gevent
import msgspec
from gevent.event import AsyncResult
from gevent.lock import RLock
from result import Err, Ok, Result

from mallowvalve import clock
from mallowvalve.control import store, wire
from mallowvalve.control.bootstrap import (
    Decision,
    DecisionStabilizer,
    FoundGroup,
    JoinGroup,
    WipeState,
    decide,
    roster_majority_answered,
    sources,
)
from mallowvalve.control.core import Core
from mallowvalve.control.leave import Leave
from mallowvalve.control.snapshot import initial_snapshot
from mallowvalve.control.snapshot_fetch import BASE_SNAPSHOT, CURRENT_SNAPSHOT, SETTINGS_SNAPSHOT, SnapshotExchange
from mallowvalve.control.state import ReplicatedState
from mallowvalve.membership.wire import ALIVE
from mallowvalve.metrics import log_event
from mallowvalve.node import Node
from mallowvalve.raft.messages import ClusterConfiguration, GroupId, HardState, RaftSnapshot
from mallowvalve.storage.log import DiskLog
from mallowvalve.types import Address

FOUNDING_INTERVAL_S = 0.5
BLANK_INTERVAL_S = 0.15
ANNOUNCEMENT_INTERVAL_S = 1.0
STATUS_QUERY_TIMEOUT_S = 0.8
LEAVE_QUERY_TIMEOUT_S = 0.3
LEAVE_RETRY_INTERVAL_S = 0.1
ROUNDS_PER_QUERY_WITH_LEADER = 5
REPLICAS_QUERIED_WITH_LEADER = 4
ID_LENGTH = 12
STATE_HOLDER_VALIDITY_S = 10.0
GENERATION_EPOCH_S = 1_790_000_000
SECONDS_PER_GENERATION = 4


def first_generation() -> int:
    """Returns a generation that rises with time, so that a fleet that lost all state doesn't reuse generations."""
    return max(1, int(time.time() - GENERATION_EPOCH_S) // SECONDS_PER_GENERATION)


class ControlProcess(Protocol):
    """The process that the task founds or joins a group for: `control.task.ControlTask`, whose members these are."""

    node: Node
    core: Core
    disk_log: DiskLog
    disk_lock: RLock
    snapshot_exchange: SnapshotExchange

    def post(self, event: Callable[[float], object]) -> None:
        """Queues an event, which the event loop calls with the time (s)."""

    def persist(self, write: Callable[[], object]) -> None:
        """Runs a disk write until it succeeds."""

    def process_status(self) -> wire.ProcessStatus:
        """Returns the status of this process."""


class BootstrapTask:
    """Queries other processes, and founds or joins a group or wipes the state as `bootstrap.decide` returns."""

    __slots__ = ("control", "_stabilizer", "_state_holders")

    def __init__(self, control: ControlProcess):
        """Creates the task of a control process, whose loop runs `run`."""
        self.control, self._stabilizer = control, DecisionStabilizer()
        self._state_holders: dict[Address, float] = {}

    def run(self) -> None:
        """Queries other processes for as long as this one runs; rarely while a leader is known."""
        for turn in itertools.count():
            if self.control.core.leader() is not None and turn % ROUNDS_PER_QUERY_WITH_LEADER:
                self.announce()
                gevent.sleep(ANNOUNCEMENT_INTERVAL_S)
                continue
            has_leader = self.control.core.leader() is not None
            answers, decision = self._decide(has_leader)
            if has_leader and isinstance(decision, FoundGroup):
                answers, decision = self._decide(False)
            self._execute(self._stabilizer.confirm(decision, clock.now()), answers)
            self.announce()
            group_exists = any(status.group is not None for status in answers)
            blank_interval_s = BLANK_INTERVAL_S if group_exists else FOUNDING_INTERVAL_S
            gevent.sleep(ANNOUNCEMENT_INTERVAL_S if self.control.core.raft is not None else blank_interval_s)

    def _decide(self, has_leader: bool) -> tuple[list[wire.ProcessStatus], Decision]:
        answers = self._query_all(has_leader)
        nothing_committed = self.control.core.nothing_committed
        return answers, decide(self.control.process_status(), answers, first_generation(), nothing_committed)

    def record_state_holder(self, request: wire.ReplicationRequest) -> None:
        """Records a process that has a state: a blank core must query it before founding a group."""
        if request.group is not None:
            self._state_holders[request.addr] = clock.now()

    def _query_all(self, has_leader: bool = False) -> list[wire.ProcessStatus]:
        """Returns the statuses of all processes; with a leader, of all control processes and a few others.

        The few others aren't enough to found a group, but enough to learn of a new one.
        """
        settings = self.control.node.settings
        alive, self._state_holders = (
            self.control.node.membership.alive(),
            {
                address: seen_at
                for address, seen_at in self._state_holders.items()
                if clock.now() - seen_at < STATE_HOLDER_VALIDITY_S
            },
        )
        others = {record.addr for record in alive if record.role != "control"} | self._state_holders.keys()
        if has_leader and len(others) > REPLICAS_QUERIED_WITH_LEADER:
            others = set(random.sample(sorted(others), REPLICAS_QUERIED_WITH_LEADER))
        to = {record.addr for record in alive if record.role == "control"} | set(settings.seeds) | others
        if self.control.core.raft is not None:
            to |= set(self.control.core.raft.log.configuration.all_voters().values())
        answers = [status for status in self._query(to - {settings.transport})]
        voters = {address for status in answers if status.voters for address in status.voters.all_voters().values()}
        return answers + self._query(voters - to - {settings.transport})

    def _query(self, to: set[Address], limit: float = STATUS_QUERY_TIMEOUT_S) -> list[wire.ProcessStatus]:
        request = self.control.node.transport.request
        jobs = [gevent.spawn(request, address, "who", b"", limit, wire.decode_status) for address in sorted(to)]
        gevent.joinall(jobs)
        return [job.value.ok_value for job in jobs if isinstance(job.value, Ok)]

    def _execute(self, decision: Decision | None, answers: list[wire.ProcessStatus]) -> None:
        if isinstance(decision, FoundGroup):
            base = self._fetch_base_state(decision)
            if decision.base is not None and (base is None or not roster_majority_answered(base, answers)):
                return
            group = GroupId(decision.generation, uuid.uuid4().hex[:ID_LENGTH])
            log_event(
                "founding",
                generation=decision.generation,
                voters=[str(address) for address in decision.voters.voters.values()],
                base=str(decision.base.addr) if decision.base else None,
                whole=decision.base.holds_all if decision.base else None,
                settings=str(decision.settings_source.addr) if decision.settings_source else None,
            )
            self._start_from(initial_snapshot(group, decision.voters, base), None)
        elif isinstance(decision, JoinGroup):
            pulled = self.control.snapshot_exchange.fetch(decision.source.addr, BASE_SNAPSHOT)
            if isinstance(pulled, Ok):
                self._start_from(*pulled.ok_value)
        elif isinstance(decision, WipeState):
            self._wipe()

    def found_new_group(self) -> Result[tuple[FoundGroup, wire.ProcessStatus], str]:
        """Founds a new generation on an operator's request, without proof that the old voters are lost for good.

        Returns what was founded, and whose state it was founded from.
        """
        if self.control.core.raft is not None:
            return Err("this control process belongs to a group: ask one that is blank")
        answers = self._query_all()
        known = [status for status in answers if status.group is not None and status.voters is not None]
        if not known:
            return Err("nobody who answers holds a state")
        best = max(known, key=lambda status: (status.generation, status.index))
        source, settings_source = sources(known, best)
        voters = ClusterConfiguration({self.control.core.id: self.control.node.settings.transport})
        decision = FoundGroup(best.generation + 1, voters, source, settings_source)
        base = self._fetch_base_state(decision)
        if base is None:
            return Err(f"{source.addr} did not hand over its state")
        group = GroupId(decision.generation, uuid.uuid4().hex[:ID_LENGTH])
        log_event("founding_by_operator", generation=decision.generation, base=str(source.addr), index=base.index)
        self._start_from(initial_snapshot(group, decision.voters, base), None)
        return Ok((decision, source))

    def _fetch_base_state(self, decision: FoundGroup) -> ReplicatedState | None:
        base, settings = self._fetch_state(decision.base), self._fetch_state(decision.settings_source)
        if decision.settings_source is None or base is None or settings is None:
            return base if decision.settings_source is None else None
        base.replace_settings(settings)
        return base

    def _fetch_state(self, source: wire.ProcessStatus | None) -> ReplicatedState | None:
        if source is None:
            return None
        what, minimum = CURRENT_SNAPSHOT if source.holds_all else SETTINGS_SNAPSHOT, (source.group, source.index)
        pulled = self.control.snapshot_exchange.fetch(
            source.addr, what, lambda label: (label.group, label.index) >= minimum
        )
        return pulled.ok_value[1] if isinstance(pulled, Ok) else None

    def _start_from(self, snapshot: RaftSnapshot, state: ReplicatedState | None) -> None:
        done: AsyncResult[bool] = AsyncResult()

        def start(now: float) -> None:
            raft = self.control.core.raft
            if raft is not None and raft.group.generation >= snapshot.group.generation:
                done.set(False)
                return
            with self.control.disk_lock:
                log_head = store.encode_log_head(HardState(snapshot.group, 0, ""), [])
                self.control.persist(lambda: store.restart_log(self.control.disk_log, snapshot, log_head))
            self.control.core.start(snapshot, None, [], now, state)
            done.set(True)

        self.control.post(start)
        if done.get():
            log_event("joined", generation=snapshot.group.generation, index=snapshot.index)

    def _wipe(self) -> None:
        done: AsyncResult[bool] = AsyncResult()

        def wipe(now: float) -> None:
            new_id = uuid.uuid4().hex[:ID_LENGTH]
            with self.control.disk_lock:
                self.control.persist(lambda: self.control.disk_log.wipe(new_id))
            self.control.core.stop(new_id)
            done.set(True)

        self.control.post(wipe)
        done.get()
        log_event("wiped_to_rejoin")

    def leave(self, limit: float) -> None:
        """Waits until this member's vote and copy aren't needed any more (`Leave`), for `limit` s at most."""
        begun, leave = clock.now(), Leave(self.control.core.id)
        while clock.now() - begun < limit:
            control = [record.addr for record in self.control.node.membership.alive("control") if record.state == ALIVE]
            leader = self.control.core.leader()
            others = {*control, *([leader] if leader is not None else [])} - {self.control.node.settings.transport}
            if leave.may_leave(self.control.core.raft, self._query(others, LEAVE_QUERY_TIMEOUT_S), control):
                break
            self.announce()
            gevent.sleep(LEAVE_RETRY_INTERVAL_S)
        log_event("left_core", seconds=round(clock.now() - begun, 2), why=leave.why)

    def announce(self) -> None:
        """Announces this process to the leader, or to all control processes if no leader is known."""
        body = wire.encode(msgspec.structs.replace(self.control.process_status(), seeds=[], voters=None))
        alive = [record.addr for record in self.control.node.membership.alive("control")]
        for address in self.control.core.announcement_targets(alive):
            self.control.node.transport.cast(address, "here", body)
        self.control.post(lambda now: self.control.core.announced(self.control.process_status(), now))
