from __future__ import annotations

import gevent
import msgspec
from gevent.event import AsyncResult
from gevent.queue import Empty, Queue

from mallowvalve import clock
from mallowvalve.beat.hear import Hear, Heard
from mallowvalve.beat.roll import Roll, Rolled, Upstream
from mallowvalve.count import change, vital
from mallowvalve.kind import Address
from mallowvalve.law.state import encode

GATHER, BATCH = 0.02, 512
LIMIT, ATTEMPT = 0.9, 0.45
JUDGE, REPORT = 0.25, 1.0
OUT = 2.5
TAKEN = b"1"
_heard = msgspec.msgpack.Decoder(list[Heard]).decode


class RollTask:
    """Hears upstreams at a law: offers what changes, tells the leader whom it heard, and judges silence if it leads."""

    __slots__ = ("task", "hear", "_box", "_jobs", "_judging", "_touched", "_told", "_reported")

    def __init__(self, task):
        self.task = task
        self.hear = Hear(task.node.params.beat_ms / 1000)
        self._box: Queue = Queue()
        self._judging = None
        self._touched = clock.now()
        self._told: Address | None = None
        self._reported = 0.0
        task.node.mesh.on("heard", self._on_heard, quick=True)

    def __enter__(self) -> RollTask:
        self._touched = clock.now()
        self._jobs = [vital(gevent.spawn(self._collect)), vital(gevent.spawn(self._run))]
        return self

    def __exit__(self, *_) -> None:
        gevent.killall(self._jobs)

    @property
    def roll(self) -> Roll | None:
        s = self.task.core.state
        return s.roll if s is not None else None

    def beat(self, u: Upstream) -> bool:
        """Whether the beat is acknowledged: a plain one by what is known here, a change once it is in force."""
        now, s = clock.now(), self.task.core.state
        if s is None:
            return False
        c = self.hear.beat(u, s.roll, self.hear.clock(s.clock, now), now)
        if c is None:
            return self.in_touch(now)
        if c.instance not in s.roll.rows and s.roll.full(c.service):
            self.task.node.counts.add("roll_full")
            return False
        return self._notice(c) if c.state == "leaving" else self.offer(c)

    def gone(self, u: Upstream) -> bool:
        """Whether the end of an upstream, known or not, is acknowledged."""
        s = self.task.core.state
        if s is None:
            return False
        row = s.roll.rows.get(u.instance)
        if row is not None and row.state == "gone" and self.hear.is_acked(row):
            return self.in_touch(clock.now())
        return self._notice(u)

    def _notice(self, u: Upstream) -> bool:
        if not self.offer(u):
            return False
        self.hear.acked(u)
        return True

    def offer(self, u: Upstream) -> bool:
        """Whether the change was acknowledged in time; changes of one moment go as one command."""
        w = AsyncResult()
        self._box.put((u, w))
        try:
            return w.get(timeout=LIMIT)
        except gevent.Timeout:
            return False

    def in_touch(self, now: float) -> bool:
        """Whether a leader took this law's report just now; upstreams of one cut off had better call another."""
        return self.task.core.leads or now - self._touched < OUT

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
        ok = self._rolled(Rolled([u for u, _ in batch]), LIMIT - GATHER)
        for _, w in batch:
            w.set(ok)

    def _rolled(self, c: Rolled, limit: float) -> bool:
        t = self.task.offer(encode(c), limit, ATTEMPT)
        self.task.node.counts.add(
            "roll_offered" if t.code == "ok" else "roll_not_taken", len(c.changes) + len(c.forget)
        )
        if t.code != "ok":
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
            gevent.sleep(JUDGE)
            now, s = clock.now(), self.task.core.state
            if s is None:
                continue
            self.hear.clock(s.clock, now)
            if self.task.core.leads:
                self._touched = now
                self._judge(s.roll, now)
                continue
            self.hear.follow()
            if now - self._reported >= REPORT:
                self._report(s.roll, now)

    def _judge(self, roll: Roll, now: float) -> None:
        self.hear.prune(roll, now)
        c = self.hear.judge(roll, now)
        if c is not None and (self._judging is None or self._judging.ready()):
            self._judging = gevent.spawn(self._rolled, c, LIMIT)

    def _report(self, roll: Roll, now: float) -> None:
        self.hear.prune(roll, now)
        to = self.task.core.leader()
        if to is None:
            return
        since = self._reported if to == self._told else now - self.hear.silent
        body = encode(self.hear.report(since, now))
        r = self.task.node.mesh.call(to, "heard", body, REPORT)
        if r.is_ok() and r.ok_value == TAKEN:
            self._told, self._reported, self._touched = to, now, clock.now()
            return
        self._told = None

    def _on_heard(self, _sender: Address, body: bytes) -> bytes:
        heard = _heard(body)
        if not self.task.core.leads:
            return b""
        self.hear.told(heard, clock.now())
        return TAKEN
