"""The idle connections to the upstreams of tenants' services, without sockets."""

from __future__ import annotations

from typing import Protocol

from mallowvalve.upstreams.board import Heartbeat

MAX_IDLE_S = 30.0


class IdleTenantConnection(Protocol):
    """A connection; `since` is the time of its opening or of its return to the idle connections (s)."""

    heartbeat: Heartbeat
    since: float

    def close(self) -> None:
        """Closes the connection."""

    def stale(self) -> bool:
        """Returns whether the connection has ended, or has received unexpected bytes."""


class IdleTenantConnections:
    """Idle connections by upstream and incarnation, last used first."""

    __slots__ = ("_idle",)

    def __init__(self) -> None:
        """Starts without connections."""
        self._idle: dict[tuple[str, int], list[IdleTenantConnection]] = {}

    def take(self, heartbeat: Heartbeat, now: float) -> IdleTenantConnection | None:
        """Removes and returns a usable connection to the upstream of `heartbeat`, or returns None."""
        idle = self._idle.get((heartbeat.name, heartbeat.incarnation), [])
        while idle:
            connection = idle.pop()
            if (
                connection.heartbeat.address == heartbeat.address
                and now - connection.since <= MAX_IDLE_S
                and not connection.stale()
            ):
                return connection
            connection.close()
        return None

    def give(self, connection: IdleTenantConnection, now: float) -> None:
        """Adds a connection that is idle from `now` on."""
        connection.since = now
        self._idle.setdefault((connection.heartbeat.name, connection.heartbeat.incarnation), []).append(connection)

    def prune(self, live: set[tuple[str, int]]) -> None:
        """Closes the connections to all upstreams whose name and incarnation are not in `live`."""
        for key in [key for key in self._idle if key not in live]:
            for connection in self._idle.pop(key):
                connection.close()
