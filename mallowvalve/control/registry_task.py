"""The daemon's side of the upstreams' registry."""

from __future__ import annotations

import gevent
import msgspec
from gevent.event import AsyncResult
from gevent.queue import Empty, Queue
from result import Ok

from mallowvalve import clock
from mallowvalve.control import lease
from mallowvalve.control.lease import AnswerKind
from mallowvalve.control.outcome import Code
from mallowvalve.control.state import encode
from mallowvalve.control.task import ControlTask
from mallowvalve.metrics import exit_on_failure, log_event
from mallowvalve.types import Address
from mallowvalve.upstreams.liveness import HeardInstance, LivenessTracker
from mallowvalve.upstreams.registry import Registered, Registry, Upstream

GATHER, BATCH = 0.02, 512
LIMIT, ATTEMPT = 0.9, 0.45
JUDGE, REPORT = 0.25, 1.0
TAKEN = b"1"
_heard = msgspec.msgpack.Decoder(list[HeardInstance]).decode


class RegistryTask:
    """Hears upstreams: offers what changes, tells the leader whom it heard, and judges silence if it leads."""

    __slots__ = ("task", "liveness", "_box", "_jobs", "_judging", "_touched", "_told", "_reported")

    def __init__(self, task: ControlTask) -> None:
        """For one control process."""
        self.task = task
        self.liveness = LivenessTracker(task.node.settings.heartbeat_ms / 1000)
        self._box: Queue = Queue()
        self._judging: gevent.Greenlet | None = None
        self._touched = clock.now()
        self._told: Address | None = None
        self._reported = 0.0
        task.node.transport.on("heard", self._on_heard, inline=True)

    def __enter__(self) -> RegistryTask:
        """Begins to gather changes and to judge silence."""
        self._touched = clock.now()
        self._jobs = [exit_on_failure(gevent.spawn(self._collect)), exit_on_failure(gevent.spawn(self._run))]
        return self

    def __exit__(self, *_: object) -> None:
        """Ends; whoever still waits is not acknowledged."""
        gevent.killall(self._jobs)

    @property
    def registry(self) -> Registry | None:
        """The replicated registry as this process has it; None where it is blank."""
        s = self.task.core.state
        return s.registry if s is not None else None

    def heartbeat(self, u: Upstream) -> bool:
        """Whether the heartbeat is acknowledged: a plain one by what is known here, a change once it is in force."""
        now, s = clock.now(), self.task.core.state
        if s is None:
            return False
        c = self.liveness.observe(u, s.registry, self.liveness.fleet_time_ms(s.clock, now), now)
        if c is None:
            return self.in_touch(now)
        if c.instance not in s.registry.rows and s.registry.full(c.service):
            self.task.node.counts.add("registry_full")
            return False
        return self._notice(c) if c.state == "leaving" else self.offer(c)

    def gone(self, u: Upstream) -> bool:
        """Whether the end of an upstream, known or not, is acknowledged."""
        s = self.task.core.state
        if s is None:
            return False
        row = s.registry.rows.get(u.instance)
        known = row is not None and row.state == "gone" and self.liveness.is_acknowledged(row)
        return known and self.task.core.may_answer(AnswerKind.NOTICE, clock.now()) or self._notice(u)

    def _notice(self, u: Upstream) -> bool:
        if not self.offer(u):
            return False
        self.liveness.mark_acknowledged(u)
        return True

    def offer(self, u: Upstream) -> bool:
        """Whether the change was acknowledged in time; changes of one moment go as one command."""
        w = AsyncResult()
        self._box.put((u, w))
        try:
            return bool(w.get(timeout=LIMIT))
        except gevent.Timeout:
            return False

    def in_touch(self, now: float) -> bool:
        """Whether a majority was asked, and a leader told whom this process heard, inside the bound of a heartbeat."""
        told = self.task.core.leads or lease.is_valid(AnswerKind.HEARTBEAT, self._touched, now)
        return told and self.task.core.may_answer(AnswerKind.HEARTBEAT, now)

    def _collect(self) -> None:
        while True:
            batch = [self._box.get()]
            gevent.sleep(GATHER)
            while len(batch) < BATCH:
                try:
                    batch.append(self._box.get_nowait())
                except Empty:
                    break
            gevent.spawn(self._offer, batch)

    def _offer(self, batch: list[tuple[Upstream, AsyncResult]]) -> None:
        ok = self._registered(Registered([u for u, _ in batch]), LIMIT - GATHER)
        for _, w in batch:
            w.set(ok)

    def _registered(self, c: Registered, limit: float) -> bool:
        t = self.task.offer(encode(c), limit, ATTEMPT)
        self.task.node.counts.add(
            "registry_offered" if t.code == Code.OK else "registry_not_taken", len(c.changes) + len(c.forget)
        )
        if t.code != Code.OK:
            return False
        for u in c.changes:
            log_event(
                f"upstream_{u.state}",
                upstream=u.instance,
                service=u.service,
                address=str(u.address),
                cold_ms=u.cold_until,
            )
        return True

    def _run(self) -> None:
        while True:
            gevent.sleep(JUDGE)
            now, s = clock.now(), self.task.core.state
            if s is None:
                continue
            self.liveness.fleet_time_ms(s.clock, now)
            if self.task.core.leads:
                self._touched = now
                self._judge(s.registry, now)
                continue
            self.liveness.stop_judging()
            if now - self._reported >= REPORT:
                self._report(s.registry, now)

    def _judge(self, registry: Registry, now: float) -> None:
        self.liveness.prune(registry, now)
        c = self.liveness.detect_silent(registry, now)
        if c is not None and (self._judging is None or self._judging.ready()):
            self._judging = gevent.spawn(self._registered, c, LIMIT)

    def _report(self, registry: Registry, now: float) -> None:
        self.liveness.prune(registry, now)
        to = self.task.core.leader()
        if to is None:
            return
        since = self._reported if to == self._told else now - self.liveness.silence_timeout_s
        body = encode(self.liveness.report(since, now))
        r = self.task.node.transport.call(to, "heard", body, REPORT)
        if isinstance(r, Ok) and r.ok_value == TAKEN:
            self._told, self._reported, self._touched = to, now, now
            return
        self._told = None

    def _on_heard(self, _sender: Address, body: bytes) -> bytes:
        heard = _heard(body)
        now = clock.now()
        if not self.task.core.leads or not self.task.core.may_answer(AnswerKind.HEARTBEAT, now):
            return b""
        self.liveness.merge_report(heard, now)
        return TAKEN
