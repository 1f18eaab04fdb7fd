"""The upstreams that a proxy may use for tenants' requests, and the slots that it takes at them."""

from __future__ import annotations

import random
from collections.abc import Callable

from mallowvalve.configuration.model import Plan
from mallowvalve.control.replica import Replica
from mallowvalve.proxy.chooser import Chooser
from mallowvalve.proxy.idle_tenant_connections import IdleTenantConnections
from mallowvalve.proxy.retry_budget import RetryBudget
from mallowvalve.types import Address, Locality, is_reachable
from mallowvalve.upstreams.board import HeartbeatRow, HeartbeatTable


class TenantUpstreamLease:
    """One request's slot at an upstream and its connection, released exactly once.

    `streams`: a response is still streamed over the connection, so the end of the `with` block keeps the lease.
    """

    __slots__ = ("connection", "pool", "row", "streams", "_released")

    def __init__(self, pool: TenantUpstreamPool, row: HeartbeatRow):
        """Takes a slot at the upstream of `row`."""
        self.connection, self.pool, self.row = None, pool, row
        self.streams = self._released = False
        pool.chooser.enter(row.heartbeat.address)

    def __enter__(self) -> TenantUpstreamLease:
        """Returns the lease; the constructor has taken the slot."""
        return self

    def __exit__(self, kind, *_) -> None:
        """Releases the lease, unless a response is still streamed over it."""
        if kind is not None or not self.streams:
            self.release(keep=False)

    def release(self, keep: bool) -> None:
        """Frees the slot; `keep` returns the connection to the idle ones, otherwise it is closed."""
        if self._released:
            return
        self._released = True
        if self.connection is not None and keep:
            self.pool.idle_connections.give(self.connection, self.pool.now())
        elif self.connection is not None:
            self.connection.close()
        self.pool.release_slot(self.row)


class TenantUpstreamPool:
    """The upstreams of tenants' services, with the proxy's slots, idle connections, queue lengths and retry budgets.

    `waiting` has the number of queued requests by service; `on_free` is called with the service of each freed slot.
    """

    __slots__ = ("board", "replica", "chooser", "idle_connections", "now", "on_free", "waiting", "_budgets")

    def __init__(
        self,
        board: HeartbeatTable,
        replica: Replica,
        near: Locality,
        rng: random.Random,
        now: Callable[[], float],
        on_free: Callable[[str], None] = lambda service: None,
    ):
        """Starts without load; `near` is the proxy's locality, `now` returns its clock (s)."""
        self.board, self.replica, self.now, self.on_free = board, replica, now, on_free
        self.chooser = Chooser(near, rng)
        self.idle_connections = IdleTenantConnections()
        self.waiting: dict[str, int] = {}
        self._budgets: dict[str, RetryBudget] = {}

    def budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service."""
        return self._budgets.setdefault(service, RetryBudget())

    def usable(self, plan: Plan, tenant: str, tried: set[Address]) -> list[HeartbeatRow]:
        """Returns the ready upstreams of the plan's service that are not in `tried` and that the tenant may reach."""
        homes, evacuated = self.replica.tree.homes(tenant), self.replica.state.settings.evacuated
        rows = self.board.usable(plan.service, self.now())
        return [
            row
            for row in rows
            if row.heartbeat.address not in tried and is_reachable(row.heartbeat.locality, homes, evacuated)
        ]

    def pick(self, rows: list[HeartbeatRow], plan: Plan, tried: set[Address]) -> HeartbeatRow | None:
        """Returns the upstream for the next request, or None if all are tried or at capacity."""
        return self.chooser.pick(rows, plan.policy, len(self.replica.roster()), tried, self.now())

    def is_still_usable(self, row: HeartbeatRow, plan: Plan, tenant: str) -> bool:
        """Returns whether the chosen upstream is still ready in the same incarnation and reachable for the tenant."""
        chosen = row.heartbeat
        current = self.board.rows.get(chosen.name)
        if (
            current is None
            or self.board.status(current, self.now()) != "ready"
            or (current.heartbeat.incarnation, current.heartbeat.address) != (chosen.incarnation, chosen.address)
        ):
            return False
        homes, evacuated = self.replica.tree.homes(tenant), self.replica.state.settings.evacuated
        return chosen.service == plan.service and is_reachable(chosen.locality, homes, evacuated)

    def release_slot(self, row: HeartbeatRow) -> None:
        """Frees a slot at the upstream of `row`."""
        self.chooser.leave(row.heartbeat.address)
        self.on_free(row.heartbeat.service)

    def prune(self) -> None:
        """Closes connections to upstreams that are not ready, and drops the retry budgets of removed services."""
        live = {
            (row.heartbeat.name, row.heartbeat.incarnation)
            for row in self.board.rows.values()
            if row.heartbeat.state == "ready"
        }
        self.idle_connections.prune(live)
        known = self.replica.tree.doc.services
        for service in [service for service in self._budgets if service not in known]:
            del self._budgets[service]
