"""The idle connections to the upstreams of tenants' services."""

from __future__ import annotations

from typing import Protocol

from mallowvalve.upstreams.board import Heartbeat

IDLE = 30.0


class IdleTenantConnection(Protocol):
    """A connection: `since` when it was last given back or opened (s)."""

    heartbeat: Heartbeat
    since: float

    def close(self) -> None: ...
    def stale(self) -> bool: ...


class IdleTenantConnections:
    """Idle connections to upstreams, one exchange at a time each."""

    __slots__ = ("_idle",)

    def __init__(self):
        self._idle: dict[tuple[str, int], list[IdleTenantConnection]] = {}

    def take(self, b: Heartbeat, now: float) -> IdleTenantConnection | None:
        idle = self._idle.get((b.name, b.incarnation), [])
        while idle:
            s = idle.pop()
            if s.heartbeat.address == b.address and now - s.since <= IDLE and not s.stale():
                return s
            s.close()
        return None

    def give(self, s: IdleTenantConnection, now: float) -> None:
        s.since = now
        self._idle.setdefault((s.heartbeat.name, s.heartbeat.incarnation), []).append(s)

    def keep(self, live: set[tuple[str, int]]) -> None:
        for k in [k for k in self._idle if k not in live]:
            for s in self._idle.pop(k):
                s.close()
