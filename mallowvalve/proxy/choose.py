"""Which upstream of a service takes the next request of a tenant."""

from __future__ import annotations

import math
import random

from mallowvalve.routing.compiler import Policy
from mallowvalve.types import Address, Locality
from mallowvalve.upstreams.board import HeartbeatRow

BROKEN = 2.0
COLD = 0.05


def warmth(r: HeartbeatRow, ramp_ms: int, now: float) -> float:
    """The share of its full load that an upstream bears so soon after its start, at least `COLD`."""
    if ramp_ms <= 0:
        return 1.0
    return max(COLD, min(1.0, (now - r.since) * 1000 / ramp_ms))


def cap(r: HeartbeatRow, policy: Policy, proxies: int, now: float) -> int:
    """How many requests one of so many proxies may have at an upstream at once."""
    return max(1, math.ceil(policy.width * warmth(r, policy.ramp_ms, now) / max(1, proxies)))


class Chooser:
    """Draws two upstreams by how warm they are and takes the one with the lesser load; near ones first if asked to."""

    __slots__ = ("near", "rng", "busy")

    def __init__(self, near: Locality, rng: random.Random):
        self.near, self.rng = near, rng
        self.busy: dict[Address, int] = {}

    def pick(
        self, rows: list[HeartbeatRow], policy: Policy, proxies: int, tried: set[Address], now: float
    ) -> HeartbeatRow | None:
        rows = [r for r in rows if r.heartbeat.address not in tried]
        rows = [r for r in rows if now - r.failed_at_s > BROKEN] or rows
        rows = [r for r in rows if self.busy.get(r.heartbeat.address, 0) < cap(r, policy, proxies, now)]
        if not rows:
            return None
        rings = [rows] if policy.chooser != "near" else self._rings(rows)
        warmest = max(warmth(r, policy.ramp_ms, now) for r in rows)
        for ring in rings:
            w = [warmth(r, policy.ramp_ms, now) for r in ring]
            if ring is rings[-1] or self.rng.random() * warmest <= max(w):
                break
        a, b = self.rng.choices(ring, w, k=2)
        return min((a, b), key=self._usage)

    def _rings(self, rows: list[HeartbeatRow]) -> list[list[HeartbeatRow]]:
        """By distance; where only cold ones are near, the warmer farther ones bear their share."""
        by: dict[int, list[HeartbeatRow]] = {}
        for r in rows:
            by.setdefault(self.near.distance(r.heartbeat.locality), []).append(r)
        return [by[d] for d in sorted(by)]

    def enter(self, a: Address) -> None:
        self.busy[a] = self.busy.get(a, 0) + 1

    def leave(self, a: Address) -> None:
        n = self.busy.get(a, 0) - 1
        if n > 0:
            self.busy[a] = n
        else:
            self.busy.pop(a, None)

    def _usage(self, r: HeartbeatRow) -> float:
        return self.busy.get(r.heartbeat.address, 0) + r.heartbeat.usage
