"""The replicated registry of upstreams: changes go through the log, plain heartbeats do not."""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec.structs import replace

from mallowvalve.types import MAX_MAGNITUDE, Address, BoundedInt, Locality

TOMBSTONE_MS = 60_000
"""How long a gone upstream stays in the registry, so that a late heartbeat does not bring it back."""

MAX_UPSTREAMS = 100_000
MAX_SERVICES = 4096
MAX_GONE = 10_000

UpstreamStatus = Literal["ready", "silent", "leaving", "gone"]


class Upstream(msgspec.Struct, frozen=True, array_like=True):
    """One run of an upstream process; `since` and `cold_until` are times of the fleet's clock (ms).

    In a change, `since` is unused and `cold_until` is the remaining time of the cold phase (ms). In the row of a gone
    upstream, `since` is the time of its end.
    """

    instance: str
    service: str
    address: Address
    locality: Locality
    slots: BoundedInt
    state: UpstreamStatus
    sequence: BoundedInt = 0
    since: BoundedInt = 0
    cold_until: BoundedInt = 0


class Registered(msgspec.Struct, frozen=True, array_like=True, tag="registered"):
    """A command: changes of upstreams, and rows to drop without a tombstone if they are still silent or leaving.

    `ask` is the command's idempotency key, empty for none.
    """

    changes: list[Upstream]
    ask: str = ""
    forget: list[str] = []


class Registry:
    """The upstreams by instance in `rows`.

    Rows of gone upstreams stay for `TOMBSTONE_MS`, so that a late heartbeat brings none back.
    """

    __slots__ = ("rows", "revision")

    def __init__(self) -> None:
        """Creates an empty registry; `revision` counts the commands that changed something."""
        self.rows: dict[str, Upstream] = {}
        self.revision = 0

    def apply(self, command: Registered, fleet_time_ms: int) -> None:
        """Applies a command at the fleet time of its log entry; the result is the same on every node."""
        before = len(self.rows)
        self._drop_tombstones(fleet_time_ms)
        changed = len(self.rows) != before
        for upstream in command.changes:
            changed |= self._apply_change(upstream, fleet_time_ms)
        for instance in command.forget:
            row = self.rows.get(instance)
            if row is not None and row.state in ("silent", "leaving"):
                del self.rows[instance]
                changed = True
        self.revision += changed

    def ready(self, service: str) -> list[Upstream]:
        """Returns the ready upstreams of a service."""
        return [row for row in self.rows.values() if row.state == "ready" and row.service == service]

    def full(self, service: str) -> bool:
        """Returns whether a limit prevents one more upstream of this service."""
        if len(self.rows) < MAX_SERVICES:
            return False
        services = {row.service for row in self.rows.values()}
        return len(self.rows) >= MAX_UPSTREAMS or service not in services and len(services) >= MAX_SERVICES

    def _apply_change(self, upstream: Upstream, fleet_time_ms: int) -> bool:
        """Applies one change; returns whether a row changed."""
        old = self.rows.get(upstream.instance)
        if old is not None and old.state == "gone":
            return False
        if upstream.state == "gone":
            return self._mark_gone(old or upstream, fleet_time_ms)
        if old is None:
            if upstream.state == "silent" or self.full(upstream.service):
                return False
            return self._store(upstream, fleet_time_ms, fleet_time_ms, 0)
        if upstream.sequence < old.sequence or old.state == "leaving":
            return False
        if upstream.state == "silent":
            if old.state != "ready":
                return False
            self.rows[upstream.instance] = replace(old, state="silent")
            return True
        return self._store(upstream, fleet_time_ms, old.since, old.cold_until)

    def _store(self, upstream: Upstream, fleet_time_ms: int, since: int, cold_until: int) -> bool:
        """Stores the upstream's row; its cold phase ends at the later of the known and the reported end."""
        old = self.rows.get(upstream.instance)
        cold = max(cold_until, fleet_time_ms + upstream.cold_until) if upstream.cold_until > 0 else cold_until
        cold = min(cold, MAX_MAGNITUDE)
        new = replace(upstream, since=since, cold_until=cold)
        if old is not None and replace(new, sequence=old.sequence) == old:
            return False
        if old is None or old.address != upstream.address:
            self._retire_address_holders(upstream, fleet_time_ms)
        self.rows[upstream.instance] = new
        return True

    def _retire_address_holders(self, upstream: Upstream, fleet_time_ms: int) -> None:
        """Marks other upstreams with the same address as gone: a new process took it over."""
        others = [row for row in self.rows.values() if row.address == upstream.address]
        for other in others:
            if other.instance != upstream.instance and other.state != "gone":
                self._mark_gone(other, fleet_time_ms)

    def _mark_gone(self, upstream: Upstream, fleet_time_ms: int) -> bool:
        self.rows[upstream.instance] = replace(upstream, state="gone", since=fleet_time_ms, cold_until=0)
        return True

    def _drop_tombstones(self, fleet_time_ms: int) -> None:
        """Drops the expired rows of gone upstreams, and the oldest ones above `MAX_GONE`."""
        gone = [row for row in self.rows.values() if row.state == "gone"]
        expired = [row for row in gone if fleet_time_ms - row.since > TOMBSTONE_MS]
        if len(gone) - len(expired) > MAX_GONE:
            expired = sorted(gone, key=lambda row: (row.since, row.instance))[: len(gone) - MAX_GONE]
        for row in expired:
            del self.rows[row.instance]
