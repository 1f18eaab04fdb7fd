"""The daemon's side of a start: asks other processes, and does what `bootstrap.decide` says."""

from __future__ import annotations

import itertools
import random
import time
import uuid

import gevent
import msgspec
from gevent.event import AsyncResult
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
from mallowvalve.control.leave import Leave
from mallowvalve.control.snapshot import founding
from mallowvalve.control.snapshot_fetch import BASE, NOW, SETTINGS
from mallowvalve.control.state import ReplicatedState
from mallowvalve.membership.wire import ALIVE
from mallowvalve.metrics import change
from mallowvalve.raft.messages import ClusterConfiguration, GroupId, HardState, RaftSnapshot
from mallowvalve.types import Address

FOUND_EVERY, BLANK_EVERY = 0.5, 0.15
HERE = 1.0
ASK = 0.8
LEAVE_QUERY_TIMEOUT_S, LEAVE_RETRY_INTERVAL_S = 0.3, 0.1
CALM = 5
FEW = 4
ID = 12
HELD = 10.0
EPOCH, TICK = 1_790_000_000, 4


def first_generation() -> int:
    """Rises with the years, so that a fleet that lost everything does not count again from where it began."""
    return max(1, int(time.time() - EPOCH) // TICK)


class BootstrapTask:
    """Asks around, and founds, joins or wipes this core machine as `found.decide` says."""

    __slots__ = ("control", "_judge", "_holders")

    def __init__(self, control):
        """For one control process, whose loop runs `run`."""
        self.control, self._judge = control, DecisionStabilizer()
        self._holders: dict[Address, float] = {}

    def run(self) -> None:
        """Asks around for as long as the process lives; seldom while a leader is known."""
        for turn in itertools.count():
            if self.control.core.leader() is not None and turn % CALM:
                self.announce()
                gevent.sleep(HERE)
                continue
            calm = self.control.core.leader() is not None
            answers, v = self._look(calm)
            if calm and isinstance(v, FoundGroup):
                answers, v = self._look(False)
            self._act(self._judge.confirm(v, clock.now()), answers)
            self.announce()
            joins = any(w.group is not None for w in answers)
            gevent.sleep(HERE if self.control.core.raft is not None else BLANK_EVERY if joins else FOUND_EVERY)

    def _look(self, calm: bool) -> tuple[list[wire.ProcessStatus], Decision]:
        answers = self._ask_all(calm)
        nothing_committed = self.control.core.nothing_committed
        return answers, decide(self.control.process_status(), answers, first_generation(), nothing_committed)

    def record_state_holder(self, w: wire.ReplicationRequest) -> None:
        """Who asks for what comes after its state holds one: a blank core must not found without having asked it."""
        if w.group is not None:
            self._holders[w.addr] = clock.now()

    def _ask_all(self, calm: bool = False) -> list[wire.ProcessStatus]:
        """In calm times all control processes and a few others: too few to found on, enough to hear of a new group."""
        p = self.control.node.settings
        alive, self._holders = (
            self.control.node.membership.alive(),
            {a: t for a, t in self._holders.items() if clock.now() - t < HELD},
        )
        others = {r.addr for r in alive if r.role != "control"} | self._holders.keys()
        if calm and len(others) > FEW:
            others = set(random.sample(sorted(others), FEW))
        to = {r.addr for r in alive if r.role == "control"} | set(p.seeds) | others
        if self.control.core.raft is not None:
            to |= set(self.control.core.raft.log.configuration.all_voters().values())
        best = [w for w in self._ask(to - {p.transport})]
        known = {a for w in best if w.voters for a in w.voters.all_voters().values()}
        return best + self._ask(known - to - {p.transport})

    def _ask(self, to: set[Address], limit: float = ASK) -> list[wire.ProcessStatus]:
        jobs = [gevent.spawn(self.control.node.transport.call, a, "who", b"", limit) for a in sorted(to)]
        gevent.joinall(jobs)
        out = []
        for j in jobs:
            if j.value is not None and j.value.is_ok():
                out.append(wire.decode_status(j.value.ok_value))
        return out

    def _act(self, v: Decision | None, answers: list[wire.ProcessStatus]) -> None:
        if isinstance(v, FoundGroup):
            base = self._fetch_state(v)
            if v.base is not None and (base is None or not roster_majority_answered(base, answers)):
                return
            group = GroupId(v.generation, uuid.uuid4().hex[:ID])
            change(
                "founding",
                generation=v.generation,
                voters=[str(a) for a in v.voters.voters.values()],
                base=str(v.base.addr) if v.base else None,
                whole=v.base.holds_all if v.base else None,
                settings=str(v.settings_source.addr) if v.settings_source else None,
            )
            self._begin(founding(group, v.voters, base), None)
        elif isinstance(v, JoinGroup):
            r = self.control.puller.pull(v.source.addr, BASE)
            if r.is_ok():
                self._begin(*r.ok_value)
        elif isinstance(v, WipeState):
            self._wipe()

    def found_new_group(self) -> Result[FoundGroup, str]:
        """An operator's word in place of proof that the old voters are gone for good."""
        if self.control.core.raft is not None:
            return Err("this control process belongs to a group: ask one that is blank")
        answers = self._ask_all()
        known = [w for w in answers if w.group is not None and w.voters is not None]
        if not known:
            return Err("nobody who answers holds a state")
        best = max(known, key=lambda w: (w.group.generation, w.index))
        v = FoundGroup(
            best.group.generation + 1,
            ClusterConfiguration({self.control.core.id: self.control.node.settings.transport}),
            *sources(known, best),
        )
        base = self._fetch_state(v)
        if base is None:
            return Err(f"{v.base.addr} did not hand over its state")
        group = GroupId(v.generation, uuid.uuid4().hex[:ID])
        change("founding_by_operator", generation=v.generation, base=str(v.base.addr), index=base.index)
        self._begin(founding(group, v.voters, base), None)
        return Ok(v)

    def _fetch_state(self, v: FoundGroup) -> ReplicatedState | None:
        base, settings_source = self._fetch_held(v.base), self._fetch_held(v.settings_source)
        if v.settings_source is None or base is None or settings_source is None:
            return base if v.settings_source is None else None
        base.replace_settings(settings_source)
        return base

    def _fetch_held(self, w: wire.ProcessStatus | None) -> ReplicatedState | None:
        if w is None:
            return None
        what = NOW if w.holds_all else SETTINGS
        r = self.control.puller.pull(w.addr, what, lambda offered: (offered.group, offered.index) >= (w.group, w.index))
        return r.ok_value[1] if r.is_ok() else None

    def _begin(self, p: RaftSnapshot, s: ReplicatedState | None) -> None:
        done = AsyncResult()

        def act(now: float) -> None:
            mine = self.control.core.raft
            if mine is not None and mine.group.generation >= p.group.generation:
                return done.set(False)
            with self.control.disk_lock:
                self.control.persist(
                    lambda: store.restart_log(
                        self.control.disk_log, p, store.encode_log_head(HardState(p.group, 0, ""), [])
                    )
                )
            self.control.core.start(p, None, [], now, s)
            done.set(True)

        self.control.post(act)
        if done.get():
            change("joined", generation=p.group.generation, index=p.index)

    def _wipe(self) -> None:
        done = AsyncResult()

        def act(now: float) -> None:
            new = uuid.uuid4().hex[:ID]
            with self.control.disk_lock:
                self.control.persist(lambda: self.control.disk_log.wipe(new))
            self.control.core.stop(new)
            done.set(True)

        self.control.post(act)
        done.get()
        change("wiped_to_rejoin")

    def leave(self, limit: float) -> None:
        """Waits until this member's vote and copy are needed no more (`Leave`), for `limit` seconds at most."""
        begun, leave = clock.now(), Leave(self.control.core.id)
        while clock.now() - begun < limit:
            control = [r.addr for r in self.control.node.membership.alive("control") if r.state == ALIVE]
            others = {*control, self.control.core.leader()} - {None, self.control.node.settings.transport}
            if leave.may_leave(self.control.core.raft, self._ask(others, LEAVE_QUERY_TIMEOUT_S), control):
                break
            self.announce()
            gevent.sleep(LEAVE_RETRY_INTERVAL_S)
        change("left_core", seconds=round(clock.now() - begun, 2), why=leave.why)

    def announce(self) -> None:
        """Tells the leader, or whoever may know one, that this process is here."""
        body = wire.encode(msgspec.structs.replace(self.control.process_status(), seeds=[], voters=None))
        alive = [r.addr for r in self.control.node.membership.alive("control")]
        for a in self.control.core.announcement_targets(alive):
            self.control.node.transport.cast(a, "here", body)
        self.control.post(lambda now: self.control.core.announced(self.control.process_status(), now))
