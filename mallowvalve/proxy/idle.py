"""The idle connections to the upstreams of host routes, without sockets: which one may carry the next request."""

from __future__ import annotations

from bisect import insort
from collections.abc import Container
from typing import Protocol

from mallowvalve.upstreams.registry import Upstream

SURE = 1.0
"""What cannot be sent again goes only on a connection that was used so recently (s)."""
CAUTION, CAUTION_SHARE, CAUTION_LEAST = 30.0, 0.5, 0.2
"""After one was forgotten at rest: how long (s) all are trusted less, to which share of its rest, and at least (s)."""
_ALWAYS, _NEVER = 1e9, -1e9


class Idle(Protocol):
    """A connection: `since` when it was last used or opened, `life` for how long its upstream keeps it (s)."""

    heartbeat: Upstream
    since: float
    life: float

    def close(self) -> None:
        """Drop it."""

    def stale(self) -> bool:
        """Whether it ended, or holds bytes that nobody asked for."""


class IdleConnections:
    """Idle connections, the last used first; none is used beyond the time that its upstream keeps it.

    Where one was forgotten sooner than said, all are trusted for half of that time for a while.
    """

    __slots__ = ("_idle", "_trust", "_until")

    def __init__(self) -> None:
        """None is idle yet, and all are trusted."""
        self._idle: dict[str, list[Idle]] = {}
        self._trust = _ALWAYS
        self._until = _NEVER

    def take(self, upstream: Upstream, now: float, sure: bool = False) -> Idle | None:
        """`sure`: one that was used just now, for what cannot be sent again."""
        idle = self._idle.get(upstream.instance, [])
        trust = self._trust if now < self._until else _ALWAYS
        while idle:
            if sure and now - idle[-1].since > SURE:
                return None
            connection = idle.pop()
            is_young = now - connection.since <= min(connection.life, trust)
            if connection.heartbeat.address == upstream.address and is_young and not connection.stale():
                return connection
            connection.close()
        return None

    def forgotten(self, idle: float, now: float) -> None:
        """A connection not used for `idle` seconds broke at once when it was sent on."""
        trust = max(CAUTION_LEAST, CAUTION_SHARE * idle)
        self._trust = min(trust, self._trust) if now < self._until else trust
        self._until = now + CAUTION

    def drop(self, instance: str) -> None:
        """Close all to this upstream."""
        for connection in self._idle.pop(instance, ()):
            connection.close()

    def give(self, connection: Idle, used_at: float) -> None:
        """Idle from now on; it was last used at `used_at`, which may be a while ago for one taken and not sent on."""
        connection.since = used_at
        idle = self._idle.setdefault(connection.heartbeat.instance, [])
        if not idle or idle[-1].since <= used_at:
            idle.append(connection)
        else:
            insort(idle, connection, key=lambda c: c.since)

    def prune(self, ready: Container[str], now: float) -> None:
        """Close those to upstreams not in `ready`, and those that rested for too long."""
        for instance, idle in list(self._idle.items()):
            kept = [c for c in idle if instance in ready and now - c.since <= c.life]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle[instance] = kept
            else:
                del self._idle[instance]
