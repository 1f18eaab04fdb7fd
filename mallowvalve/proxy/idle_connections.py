"""The pool of idle connections to the upstreams of host routes, without sockets."""

from __future__ import annotations

from bisect import insort
from collections.abc import Container
from typing import Protocol

from mallowvalve.upstreams.registry import Upstream

RECENT_USE_S = 1.0
"""A request that cannot be sent again only goes on a connection that was used within this time."""
CAUTION_S = 30.0
"""How long the idle times of all connections are limited after an upstream dropped an idle connection."""
CAUTION_IDLE_SHARE = 0.5
"""The limit, as a share of the idle time of the dropped connection."""
MIN_CAUTION_IDLE_S = 0.2
_UNLIMITED_S = 1e9
_NEVER = -1e9


class IdleConnection(Protocol):
    """A connection; `since` is its last use or its opening, `life` how long its upstream keeps it idle (s)."""

    heartbeat: Upstream
    since: float
    life: float

    def close(self) -> None:
        """Closes the connection."""

    def stale(self) -> bool:
        """Returns whether the connection has ended, or has received unexpected bytes."""


class IdleConnections:
    """Idle connections, last used first; none is reused after the time that its upstream keeps it.

    After an upstream dropped an idle connection earlier than announced, the idle time of all connections is limited
    to half of that time for a while.
    """

    __slots__ = ("_idle", "_max_idle_s", "_caution_until")

    def __init__(self) -> None:
        """Starts without connections and without a limit."""
        self._idle: dict[str, list[IdleConnection]] = {}
        self._max_idle_s = _UNLIMITED_S
        self._caution_until = _NEVER

    def take(self, upstream: Upstream, now: float, recent_only: bool = False) -> IdleConnection | None:
        """Returns a usable connection or None; `recent_only` requires use within `RECENT_USE_S`."""
        idle = self._idle.get(upstream.instance, [])
        max_idle_s = self._max_idle_s if now < self._caution_until else _UNLIMITED_S
        while idle:
            if recent_only and now - idle[-1].since > RECENT_USE_S:
                return None
            connection = idle.pop()
            is_young = now - connection.since <= min(connection.life, max_idle_s)
            if connection.heartbeat.address == upstream.address and is_young and not connection.stale():
                return connection
            connection.close()
        return None

    def record_forgotten(self, idle_s: float, now: float) -> None:
        """Records that a connection broke directly after a send, after `idle_s` seconds without use."""
        max_idle_s = max(MIN_CAUTION_IDLE_S, CAUTION_IDLE_SHARE * idle_s)
        self._max_idle_s = min(max_idle_s, self._max_idle_s) if now < self._caution_until else max_idle_s
        self._caution_until = now + CAUTION_S

    def drop(self, instance: str) -> None:
        """Closes all connections to this upstream."""
        for connection in self._idle.pop(instance, ()):
            connection.close()

    def give(self, connection: IdleConnection, used_at: float) -> None:
        """Adds an idle connection; `used_at` may lie well in the past if it was taken but not sent on."""
        connection.since = used_at
        idle = self._idle.setdefault(connection.heartbeat.instance, [])
        if not idle or idle[-1].since <= used_at:
            idle.append(connection)
        else:
            insort(idle, connection, key=lambda other: other.since)

    def prune(self, ready: Container[str], now: float) -> None:
        """Closes the connections to upstreams not in `ready`, and those that were idle for too long."""
        for instance, idle in list(self._idle.items()):
            kept = [c for c in idle if instance in ready and now - c.since <= c.life]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle[instance] = kept
            else:
                del self._idle[instance]
