from __future__ import annotations

import random
from collections.abc import Callable

from mallowvalve.beat.board import Board, Row
from mallowvalve.flow.budget import Budget
from mallowvalve.flow.draw import Draw, reachable
from mallowvalve.flow.sessions import Sessions
from mallowvalve.kind import Address, Locality
from mallowvalve.law.echo import Echo
from mallowvalve.tree.model import Plan


class Lease:
    """A place in an upstream's width, and the session opened for it, given back exactly once."""

    __slots__ = ("session", "pool", "row", "streams", "_left")

    def __init__(self, pool: Pool, row: Row):
        self.session, self.pool, self.row = None, pool, row
        self.streams = self._left = False
        pool.draw.enter(row.beat.address)

    def __enter__(self) -> Lease:
        return self

    def __exit__(self, kind, *_) -> None:
        if kind is not None or not self.streams:
            self.back(keep=False)

    def back(self, keep: bool) -> None:
        if self._left:
            return
        self._left = True
        if self.session is not None and keep:
            self.pool.sessions.give(self.session, self.pool.now())
        elif self.session is not None:
            self.session.close()
        self.pool.leave(self.row)


class Pool:
    """The upstreams a proxy may use, its places at them, their queues and their budgets."""

    __slots__ = ("board", "echo", "draw", "sessions", "now", "on_free", "waiting", "_budgets")

    def __init__(
        self,
        board: Board,
        echo: Echo,
        near: Locality,
        rng: random.Random,
        now: Callable[[], float],
        on_free: Callable[[str], None] = lambda service: None,
    ):
        self.board, self.echo, self.now, self.on_free = board, echo, now, on_free
        self.draw = Draw(near, rng)
        self.sessions = Sessions()
        self.waiting: dict[str, int] = {}
        self._budgets: dict[str, Budget] = {}

    def budget(self, service: str) -> Budget:
        return self._budgets.setdefault(service, Budget())

    def usable(self, plan: Plan, tenant: str, tried: set[Address]) -> list[Row]:
        homes, out = self.echo.tree.homes(tenant), self.echo.state.params.evacuated
        rows = self.board.usable(plan.service, self.now())
        return [r for r in rows if r.beat.address not in tried and reachable(r.beat.locality, homes, out)]

    def pick(self, rows: list[Row], plan: Plan, tried: set[Address]) -> Row | None:
        return self.draw.pick(rows, plan.policy, len(self.echo.roster()), tried, self.now())

    def fits(self, row: Row, plan: Plan, tenant: str) -> bool:
        b = row.beat
        r = self.board.rows.get(b.name)
        if (
            r is None
            or self.board.status(r, self.now()) != "ready"
            or (r.beat.incarnation, r.beat.address) != (b.incarnation, b.address)
        ):
            return False
        homes, out = self.echo.tree.homes(tenant), self.echo.state.params.evacuated
        return b.service == plan.service and reachable(b.locality, homes, out)

    def leave(self, row: Row) -> None:
        self.draw.leave(row.beat.address)
        self.on_free(row.beat.service)

    def tidy(self) -> None:
        live = {(r.beat.name, r.beat.incarnation) for r in self.board.rows.values() if r.beat.state == "ready"}
        self.sessions.keep(live)
        known = self.echo.tree.doc.services
        for s in [s for s in self._budgets if s not in known]:
            del self._budgets[s]
