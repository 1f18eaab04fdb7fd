"""The upstreams that a proxy may use for tenants, and its places at them."""

from __future__ import annotations

import random
from collections.abc import Callable

from mallowvalve.configuration.model import Plan
from mallowvalve.control.replica import Replica
from mallowvalve.proxy.chooser import Chooser
from mallowvalve.proxy.idle_tenant_connections import IdleTenantConnections
from mallowvalve.proxy.retry_budget import RetryBudget
from mallowvalve.types import Address, Locality, reachable
from mallowvalve.upstreams.board import Board, Row


class TenantUpstreamLease:
    """A place in an upstream's width, and the connection opened for it, given back exactly once."""

    __slots__ = ("connection", "pool", "row", "streams", "_left")

    def __init__(self, pool: TenantUpstreamPool, row: Row):
        self.connection, self.pool, self.row = None, pool, row
        self.streams = self._left = False
        pool.chooser.enter(row.heartbeat.address)

    def __enter__(self) -> TenantUpstreamLease:
        """The place is taken already."""
        return self

    def __exit__(self, kind, *_) -> None:
        """Give the place back, unless an answer still streams over it."""
        if kind is not None or not self.streams:
            self.release(keep=False)

    def release(self, keep: bool) -> None:
        if self._left:
            return
        self._left = True
        if self.connection is not None and keep:
            self.pool.idle_connections.give(self.connection, self.pool.now())
        elif self.connection is not None:
            self.connection.close()
        self.pool.leave(self.row)


class TenantUpstreamPool:
    """The upstreams a proxy may use, its places at them, their queues and their budgets."""

    __slots__ = ("board", "replica", "chooser", "idle_connections", "now", "on_free", "waiting", "_budgets")

    def __init__(
        self,
        board: Board,
        replica: Replica,
        near: Locality,
        rng: random.Random,
        now: Callable[[], float],
        on_free: Callable[[str], None] = lambda service: None,
    ):
        self.board, self.replica, self.now, self.on_free = board, replica, now, on_free
        self.chooser = Chooser(near, rng)
        self.idle_connections = IdleTenantConnections()
        self.waiting: dict[str, int] = {}
        self._budgets: dict[str, RetryBudget] = {}

    def budget(self, service: str) -> RetryBudget:
        return self._budgets.setdefault(service, RetryBudget())

    def usable(self, plan: Plan, tenant: str, tried: set[Address]) -> list[Row]:
        homes, out = self.replica.tree.homes(tenant), self.replica.state.settings.evacuated
        rows = self.board.usable(plan.service, self.now())
        return [r for r in rows if r.heartbeat.address not in tried and reachable(r.heartbeat.locality, homes, out)]

    def pick(self, rows: list[Row], plan: Plan, tried: set[Address]) -> Row | None:
        return self.chooser.pick(rows, plan.policy, len(self.replica.roster()), tried, self.now())

    def is_still_usable(self, row: Row, plan: Plan, tenant: str) -> bool:
        b = row.heartbeat
        r = self.board.rows.get(b.name)
        if (
            r is None
            or self.board.status(r, self.now()) != "ready"
            or (r.heartbeat.incarnation, r.heartbeat.address) != (b.incarnation, b.address)
        ):
            return False
        homes, out = self.replica.tree.homes(tenant), self.replica.state.settings.evacuated
        return b.service == plan.service and reachable(b.locality, homes, out)

    def leave(self, row: Row) -> None:
        self.chooser.leave(row.heartbeat.address)
        self.on_free(row.heartbeat.service)

    def prune(self) -> None:
        live = {
            (r.heartbeat.name, r.heartbeat.incarnation)
            for r in self.board.rows.values()
            if r.heartbeat.state == "ready"
        }
        self.idle_connections.keep(live)
        known = self.replica.tree.doc.services
        for s in [s for s in self._budgets if s not in known]:
            del self._budgets[s]
