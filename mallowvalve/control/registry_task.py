"""Runs the registry of upstreams in a control process: batches changes, reports heartbeats, expires silent ones."""

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
from mallowvalve.metrics import log_event
from mallowvalve.supervision import restart_on_failure
from mallowvalve.types import Address
from mallowvalve.upstreams.liveness import HeardInstance, LivenessTracker
from mallowvalve.upstreams.registry import Registered, Registry, Upstream

BATCH_DELAY_S = 0.02
MAX_BATCH_CHANGES = 512
COMMAND_TIMEOUT_S = 0.9
ATTEMPT_TIMEOUT_S = 0.45
SILENCE_CHECK_INTERVAL_S = 0.25
APPLY_POLL_S = 0.01
"""How often to look whether an acknowledged command is applied at this process too."""
REPORT_INTERVAL_S = 1.0
REPORT_ACCEPTED = b"1"
decode_report = msgspec.msgpack.Decoder(list[HeardInstance]).decode


class RegistryTask:
    """Handles upstreams' heartbeats: offers changes, reports heartbeats to the leader, and expires silence if it leads.

    `_last_contact_at` is when the leader last accepted a report, or when this process last led (s).
    """

    __slots__ = (
        "task",
        "liveness",
        "_changes",
        "_jobs",
        "_expiring",
        "_last_contact_at",
        "_reported_to",
        "_reported_at",
    )

    def __init__(self, task: ControlTask) -> None:
        """Creates the registry task of a control process and registers its transport handler."""
        self.task = task
        self.liveness = LivenessTracker(task.node.settings.heartbeat_ms / 1000)
        self._changes: Queue = Queue()
        self._expiring: gevent.Greenlet | None = None
        self._last_contact_at = clock.now()
        self._reported_to: Address | None = None
        self._reported_at = 0.0
        task.node.transport.on("heard", self._on_heard, inline=True)

    def __enter__(self) -> RegistryTask:
        """Starts to batch changes and to check for silence."""
        self._last_contact_at = clock.now()
        counts = self.task.node.counts
        self._jobs = [
            restart_on_failure("registry_changes", self._collect, counts),
            restart_on_failure("registry", self._run, counts),
        ]
        return self

    def __exit__(self, *_: object) -> None:
        """Stops; pending changes are not acknowledged."""
        gevent.killall(self._jobs)

    @property
    def registry(self) -> Registry | None:
        """The replicated registry as applied here; None if this process is blank."""
        state = self.task.core.state
        return state.registry if state is not None else None

    def heartbeat(self, upstream: Upstream) -> bool:
        """Whether the heartbeat is acknowledged: one without a change at once, a change once it is in force."""
        now, state = clock.now(), self.task.core.state
        if state is None:
            return False
        changed = self.liveness.observe(upstream, state.registry, self.liveness.fleet_time_ms(state.clock, now), now)
        if changed is None:
            is_held = upstream.state != "leaving" or self._holds_notice(upstream)
            self.task.node.counts.add("notice_not_held", not is_held)
            return is_held and self.has_recent_contact(now)
        if changed.instance not in state.registry.rows and state.registry.full(changed.service):
            self.task.node.counts.add("registry_full")
            return False
        return self._offer_notice(changed) if changed.state == "leaving" else self.offer(changed)

    def deregister(self, upstream: Upstream) -> bool:
        """Whether the end of an upstream, known or not, is acknowledged."""
        state = self.task.core.state
        if state is None:
            return False
        row = state.registry.rows.get(upstream.instance)
        known = row is not None and row.state == "gone" and self.liveness.is_acknowledged(row)
        return known and self.task.core.may_answer(AnswerKind.NOTICE, clock.now()) or self._offer_notice(upstream)

    def _offer_notice(self, upstream: Upstream) -> bool:
        """Whether the registry holds the upstream's end or notice, by the state applied here after its command."""
        end = clock.now() + COMMAND_TIMEOUT_S
        if not self.offer(upstream):
            return False
        while not self._holds_notice(upstream):
            if clock.now() >= end:
                self.task.node.counts.add("notice_not_held")
                return False
            gevent.sleep(APPLY_POLL_S)
        self.liveness.mark_acknowledged(upstream)
        return True

    def _holds_notice(self, upstream: Upstream) -> bool:
        """Whether the registry as applied here has the upstream as gone, or as leaving if it said that."""
        row = self.registry.rows.get(upstream.instance) if self.registry is not None else None
        return row is not None and row.state in ("gone", upstream.state)

    def offer(self, upstream: Upstream) -> bool:
        """Whether the change was acknowledged in time; changes offered at about the same time share a command."""
        acknowledged = AsyncResult()
        self._changes.put((upstream, acknowledged))
        try:
            return bool(acknowledged.get(timeout=COMMAND_TIMEOUT_S))
        except gevent.Timeout:
            return False

    def has_recent_contact(self, now: float) -> bool:
        """Whether a majority confirmed, and the leader accepted a report, within the bound for heartbeats."""
        reported = self.task.core.leads or lease.is_valid(AnswerKind.HEARTBEAT, self._last_contact_at, now)
        return reported and self.task.core.may_answer(AnswerKind.HEARTBEAT, now)

    def _collect(self) -> None:
        while True:
            batch = [self._changes.get()]
            gevent.sleep(BATCH_DELAY_S)
            while len(batch) < MAX_BATCH_CHANGES:
                try:
                    batch.append(self._changes.get_nowait())
                except Empty:
                    break
            gevent.spawn(self._offer_batch, batch)

    def _offer_batch(self, batch: list[tuple[Upstream, AsyncResult]]) -> None:
        command = Registered([upstream for upstream, _ in batch])
        ok = self._offer_command(command, COMMAND_TIMEOUT_S - BATCH_DELAY_S)
        for _, acknowledged in batch:
            acknowledged.set(ok)

    def _offer_command(self, command: Registered, limit: float) -> bool:
        response = self.task.offer(encode(command), limit, ATTEMPT_TIMEOUT_S)
        self.task.node.counts.add(
            "registry_offered" if response.code == Code.OK else "registry_not_taken",
            len(command.changes) + len(command.forget),
        )
        if response.code != Code.OK:
            return False
        for upstream in command.changes:
            log_event(
                f"upstream_{upstream.state}",
                upstream=upstream.instance,
                service=upstream.service,
                address=str(upstream.address),
                cold_ms=upstream.cold_until,
            )
        return True

    def _run(self) -> None:
        while True:
            gevent.sleep(SILENCE_CHECK_INTERVAL_S)
            now, state = clock.now(), self.task.core.state
            if state is None:
                continue
            self.liveness.fleet_time_ms(state.clock, now)
            if self.task.core.leads:
                self._last_contact_at = now
                self._expire_silent(state.registry, now)
                continue
            self.liveness.stop_judging()
            if now - self._reported_at >= REPORT_INTERVAL_S:
                self._report(state.registry, now)

    def _expire_silent(self, registry: Registry, now: float) -> None:
        self.liveness.prune(registry, now)
        command = self.liveness.detect_silent(registry, now)
        if command is not None and (self._expiring is None or self._expiring.ready()):
            self._expiring = gevent.spawn(self._offer_command, command, COMMAND_TIMEOUT_S)

    def _report(self, registry: Registry, now: float) -> None:
        """Reports to the leader the upstreams heard since the last report; to a new leader, within a silence period."""
        self.liveness.prune(registry, now)
        to = self.task.core.leader()
        if to is None:
            return
        since = self._reported_at if to == self._reported_to else now - self.liveness.silence_timeout_s
        body = encode(self.liveness.report(since, now))
        reply = self.task.node.transport.call(to, "heard", body, REPORT_INTERVAL_S)
        if isinstance(reply, Ok) and reply.ok_value == REPORT_ACCEPTED:
            self._reported_to, self._reported_at, self._last_contact_at = to, now, now
            return
        self._reported_to = None

    def _on_heard(self, _sender: Address, body: bytes) -> bytes:
        heard = decode_report(body)
        now = clock.now()
        if not self.task.core.leads or not self.task.core.may_answer(AnswerKind.HEARTBEAT, now):
            return b""
        self.liveness.merge_report(heard, now)
        return REPORT_ACCEPTED
