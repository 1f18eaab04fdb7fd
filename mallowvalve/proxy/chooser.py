"""Selects the upstream of a service for a tenant's next request."""

from __future__ import annotations

import math
import random

from mallowvalve.routing.compiler import Policy
from mallowvalve.types import Address, Locality
from mallowvalve.upstreams.board import HeartbeatRow

FAILURE_AVOIDANCE_S = 2.0
MIN_SLOW_START_FACTOR = 0.05


def slow_start_factor(row: HeartbeatRow, ramp_ms: int, now: float) -> float:
    """Returns the share of its full load that a recently started upstream gets, at least `MIN_SLOW_START_FACTOR`."""
    if ramp_ms <= 0:
        return 1.0
    return max(MIN_SLOW_START_FACTOR, min(1.0, (now - row.since) * 1000 / ramp_ms))


def max_in_flight(row: HeartbeatRow, policy: Policy, proxies: int, now: float) -> int:
    """Returns how many requests each of `proxies` proxies may have in flight at an upstream."""
    return max(1, math.ceil(policy.width * slow_start_factor(row, policy.ramp_ms, now) / max(1, proxies)))


class Chooser:
    """Draws two upstreams weighted by slow start and takes the less loaded one; near ones first if so configured."""

    __slots__ = ("near", "rng", "in_flight")

    def __init__(self, near: Locality, rng: random.Random):
        self.near, self.rng = near, rng
        self.in_flight: dict[Address, int] = {}

    def pick(
        self, rows: list[HeartbeatRow], policy: Policy, proxies: int, tried: set[Address], now: float
    ) -> HeartbeatRow | None:
        """Returns the upstream for the next request, or None if all are tried or at capacity."""
        rows = [r for r in rows if r.heartbeat.address not in tried]
        rows = [r for r in rows if now - r.failed_at_s > FAILURE_AVOIDANCE_S] or rows
        rows = [r for r in rows if self.in_flight.get(r.heartbeat.address, 0) < max_in_flight(r, policy, proxies, now)]
        if not rows:
            return None
        rings = [rows] if policy.chooser != "near" else self._by_distance(rows)
        max_factor = max(slow_start_factor(r, policy.ramp_ms, now) for r in rows)
        for ring in rings:
            factors = [slow_start_factor(r, policy.ramp_ms, now) for r in ring]
            if ring is rings[-1] or self.rng.random() * max_factor <= max(factors):
                break
        first, second = self.rng.choices(ring, factors, k=2)
        return min((first, second), key=self._load)

    def _by_distance(self, rows: list[HeartbeatRow]) -> list[list[HeartbeatRow]]:
        """Groups upstreams by distance; if all near ones are in slow start, farther ones take a share of the load."""
        by_distance: dict[int, list[HeartbeatRow]] = {}
        for row in rows:
            by_distance.setdefault(self.near.distance(row.heartbeat.locality), []).append(row)
        return [by_distance[d] for d in sorted(by_distance)]

    def enter(self, address: Address) -> None:
        """Counts a request to the upstream as in flight."""
        self.in_flight[address] = self.in_flight.get(address, 0) + 1

    def leave(self, address: Address) -> None:
        """Removes a request to the upstream from those in flight."""
        remaining = self.in_flight.get(address, 0) - 1
        if remaining > 0:
            self.in_flight[address] = remaining
        else:
            self.in_flight.pop(address, None)

    def _load(self, row: HeartbeatRow) -> float:
        return self.in_flight.get(row.heartbeat.address, 0) + row.heartbeat.usage
