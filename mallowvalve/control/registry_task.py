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
from mallowvalve.metrics import change, vital
from mallowvalve.types import Address
from mallowvalve.upstreams.liveness import Heard, Liveness
from mallowvalve.upstreams.registry import Registered, Registry, Upstream

BATCH_DELAY_S, BATCH = 0.02, 512
COMMAND_TIMEOUT_S, ATTEMPT_TIMEOUT_S = 0.9, 0.45
SILENCE_CHECK_INTERVAL_S, REPORT_INTERVAL_S = 0.25, 1.0
REPORT_ACCEPTED = b"1"
decode_report = msgspec.msgpack.Decoder(list[Heard]).decode


class RegistryTask:
    """Hears upstreams: offers what changes, tells the leader whom it heard, and judges silence if it leads."""

    __slots__ = ("task", "liveness", "_box", "_jobs", "_judging", "_last_contact_at", "_told", "_reported")

    def __init__(self, task: ControlTask) -> None:
        """For one control process."""
        self.task = task
        self.liveness = Liveness(task.node.settings.heartbeat_ms / 1000)
        self._box: Queue = Queue()
        self._judging: gevent.Greenlet | None = None
        self._last_contact_at = clock.now()
        self._told: Address | None = None
        self._reported = 0.0
        task.node.transport.on("heard", self._on_heard, inline=True)

    def __enter__(self) -> RegistryTask:
        """Begins to gather changes and to judge silence."""
        self._last_contact_at = clock.now()
        self._jobs = [vital(gevent.spawn(self._collect)), vital(gevent.spawn(self._run))]
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
        c = self.liveness.heartbeat(u, s.registry, self.liveness.clock(s.clock, now), now)
        if c is None:
            return self.has_recent_contact(now)
        if c.instance not in s.registry.rows and s.registry.full(c.service):
            self.task.node.counts.add("registry_full")
            return False
        return self._notice(c) if c.state == "leaving" else self.offer(c)

    def deregister(self, u: Upstream) -> bool:
        """Whether the end of an upstream, known or not, is acknowledged."""
        s = self.task.core.state
        if s is None:
            return False
        row = s.registry.rows.get(u.instance)
        known = row is not None and row.state == "gone" and self.liveness.is_acked(row)
        return known and self.task.core.may_answer(AnswerKind.NOTICE, clock.now()) or self._notice(u)

    def _notice(self, u: Upstream) -> bool:
        if not self.offer(u):
            return False
        self.liveness.acked(u)
        return True

    def offer(self, u: Upstream) -> bool:
        """Whether the change was acknowledged in time; changes of one moment go as one command."""
        w = AsyncResult()
        self._box.put((u, w))
        try:
            return bool(w.get(timeout=COMMAND_TIMEOUT_S))
        except gevent.Timeout:
            return False

    def has_recent_contact(self, now: float) -> bool:
        """Whether a majority was asked, and a leader told whom this process heard, inside the bound of a heartbeat."""
        told = self.task.core.leads or lease.is_valid(AnswerKind.HEARTBEAT, self._last_contact_at, now)
        return told and self.task.core.may_answer(AnswerKind.HEARTBEAT, now)

    def _collect(self) -> None:
        while True:
            batch = [self._box.get()]
            gevent.sleep(BATCH_DELAY_S)
            while len(batch) < BATCH:
                try:
                    batch.append(self._box.get_nowait())
                except Empty:
                    break
            gevent.spawn(self._offer, batch)

    def _offer(self, batch: list[tuple[Upstream, AsyncResult]]) -> None:
        ok = self._offer_command(Registered([u for u, _ in batch]), COMMAND_TIMEOUT_S - BATCH_DELAY_S)
        for _, w in batch:
            w.set(ok)

    def _offer_command(self, c: Registered, limit: float) -> bool:
        t = self.task.offer(encode(c), limit, ATTEMPT_TIMEOUT_S)
        self.task.node.counts.add(
            "registry_offered" if t.code == Code.OK else "registry_not_taken", len(c.changes) + len(c.forget)
        )
        if t.code != Code.OK:
            return False
        for u in c.changes:
            change(
                f"upstream_{u.state}",
                upstream=u.instance,
                service=u.service,
                address=str(u.address),
                cold_ms=u.cold_until,
            )
        return True

    def _run(self) -> None:
        while True:
            gevent.sleep(SILENCE_CHECK_INTERVAL_S)
            now, s = clock.now(), self.task.core.state
            if s is None:
                continue
            self.liveness.clock(s.clock, now)
            if self.task.core.leads:
                self._last_contact_at = now
                self._judge(s.registry, now)
                continue
            self.liveness.follow()
            if now - self._reported >= REPORT_INTERVAL_S:
                self._report(s.registry, now)

    def _judge(self, registry: Registry, now: float) -> None:
        self.liveness.prune(registry, now)
        c = self.liveness.judge(registry, now)
        if c is not None and (self._judging is None or self._judging.ready()):
            self._judging = gevent.spawn(self._offer_command, c, COMMAND_TIMEOUT_S)

    def _report(self, registry: Registry, now: float) -> None:
        self.liveness.prune(registry, now)
        to = self.task.core.leader()
        if to is None:
            return
        since = self._reported if to == self._told else now - self.liveness.silent
        body = encode(self.liveness.report(since, now))
        r = self.task.node.transport.call(to, "heard", body, REPORT_INTERVAL_S)
        if isinstance(r, Ok) and r.ok_value == REPORT_ACCEPTED:
            self._told, self._reported, self._last_contact_at = to, now, now
            return
        self._told = None

    def _on_heard(self, _sender: Address, body: bytes) -> bytes:
        heard = decode_report(body)
        now = clock.now()
        if not self.task.core.leads or not self.task.core.may_answer(AnswerKind.HEARTBEAT, now):
            return b""
        self.liveness.told(heard, now)
        return REPORT_ACCEPTED
