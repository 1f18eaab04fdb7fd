from __future__ import annotations

import random

import gevent
import msgspec
from gevent.event import Event

from mallowvalve import clock
from mallowvalve.beat.board import Row
from mallowvalve.beat.task import BeatTask
from mallowvalve.count import Counts, vital
from mallowvalve.flow.budget import Budget
from mallowvalve.flow.draw import Draw, reachable
from mallowvalve.flow.session import Answer, Session, Sessions
from mallowvalve.kind import Address, Locality
from mallowvalve.law.echotask import EchoTask
from mallowvalve.tree.model import Plan

QUEUE_MOST = 1.0


class Lease:
    """A session to an upstream and a place in its width, given back exactly once."""

    __slots__ = ("session", "pool", "row", "streams", "_left")

    def __init__(self, session: Session, pool: Pool, row: Row):
        self.session, self.pool, self.row = session, pool, row
        self.streams = self._left = False

    def __enter__(self) -> Lease:
        return self

    def __exit__(self, kind, *_) -> None:
        if kind is not None or not self.streams:
            self.back(keep=False)

    def back(self, keep: bool) -> None:
        if self._left:
            return
        self._left = True
        if keep:
            self.pool.sessions.give(self.session)
        else:
            self.session.close()
        self.pool.leave(self.row)


class Failure(msgspec.Struct, frozen=True):
    why: str
    status: int
    retry_after: float


class Pool:
    __slots__ = ("beats", "echo", "counts", "draw", "sessions", "_waiting", "_freed", "_budgets", "_job")

    def __init__(self, beats: BeatTask, echo: EchoTask, near: Locality, counts: Counts):
        self.beats, self.echo, self.counts = beats, echo, counts
        self.draw = Draw(near, random.Random())
        self.sessions = Sessions()
        self._waiting: dict[str, int] = {}
        self._freed: dict[str, Event] = {}
        self._budgets: dict[str, Budget] = {}

    def __enter__(self) -> Pool:
        self._job = vital(gevent.spawn(self._tidy))
        return self

    def __exit__(self, *_) -> None:
        self._job.kill()
        self.sessions.keep(set())

    def budget(self, service: str) -> Budget:
        return self._budgets.setdefault(service, Budget())

    def take(self, plan: Plan, tenant: str, tried: set[Address], end: float) -> Lease | Failure:
        queue_end = min(end, clock.now() + QUEUE_MOST)
        while True:
            rows = self.usable(plan, tenant, tried)
            if not rows:
                return Failure("no upstream is alive where this tenant may go", 503, 2)
            row = self.draw.pick(rows, plan.policy, len(self.echo.echo.roster()), tried, clock.now())
            if row is None:
                if not self._wait(plan, queue_end):
                    return Failure("all upstreams are busy", 503, 1)
                continue
            self.draw.enter(row.beat.address)
            s = self._open(plan, row, end)
            if isinstance(s, Session) and self._still(row, tenant):
                return Lease(s, self, row)
            tried.add(row.beat.address)
            if isinstance(s, Session):
                s.close()
            else:
                row.broken = clock.now()
            self.leave(row)
            if clock.now() >= end:
                return Failure("the limit is over", 504, 1)

    def usable(self, plan: Plan, tenant: str, tried: set[Address]) -> list[Row]:
        homes = self.echo.tree.homes(tenant)
        out = self.echo.echo.state.params.evacuated
        return [r for r in self.beats.usable(plan.service) if r.beat.address not in tried and reachable(r.beat.locality, homes, out)]

    def leave(self, row: Row) -> None:
        self.draw.leave(row.beat.address)
        e = self._freed.pop(row.beat.service, None)
        if e is not None:
            e.set()

    def _open(self, plan: Plan, row: Row, end: float) -> Session | str:
        s = self.sessions.take(row.beat)
        if s is not None:
            return s
        service = self.echo.tree.doc.services.get(plan.service)
        if service is None:
            return "no such service"
        r = Session.open(row.beat, service.health, end)
        if r.is_ok():
            self.counts.add("upstream_sessions")
            return r.ok_value
        self.counts.add("upstream_open_failed")
        return r.err_value

    def _still(self, row: Row, tenant: str) -> bool:
        now = self.beats.board.rows.get(row.beat.name)
        if now is None or now.beat.state != "ready" or now.beat.incarnation != row.beat.incarnation:
            return False
        return tenant in self.echo.tree.cell_of and reachable(
            row.beat.locality, self.echo.tree.homes(tenant), self.echo.echo.state.params.evacuated
        )

    def _wait(self, plan: Plan, end: float) -> bool:
        n = self._waiting.get(plan.service, 0)
        left = end - clock.now()
        if left <= 0 or n >= plan.policy.queue:
            return False
        self._waiting[plan.service] = n + 1
        try:
            return self._freed.setdefault(plan.service, Event()).wait(timeout=left)
        finally:
            self._waiting[plan.service] -= 1

    def _tidy(self) -> None:
        while True:
            gevent.sleep(1.0)
            rows = self.beats.board.rows.values()
            self.sessions.keep({(r.beat.name, r.beat.incarnation) for r in rows if r.beat.state == "ready"})


class Stream:
    __slots__ = ("lease", "rest")

    def __init__(self, lease: Lease, a: Answer):
        self.lease, self.rest = lease, a.rest
        lease.streams = True

    def __iter__(self):
        try:
            yield from self.rest
        finally:
            self.close()

    def close(self) -> None:
        self.lease.back(keep=False)
