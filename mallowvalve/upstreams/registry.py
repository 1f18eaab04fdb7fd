"""The upstreams as the core agreed on them: what changes is replicated, plain heartbeats are not."""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec.structs import replace

from mallowvalve.types import Address, Locality

TOMBSTONE_MS = 60_000
MOST, MOST_SERVICES, MOST_GONE = 100_000, 4096, 10_000


class Upstream(msgspec.Struct, frozen=True, array_like=True):
    """One life of an upstream; `since` and `cold_until` count on the fleet's clock (ms).

    In a change, `since` says nothing and `cold_until` is how much longer it stays cold (ms). In a row that is gone,
    `since` is when it went.
    """

    instance: str
    service: str
    address: Address
    locality: Locality
    slots: int
    state: Literal["ready", "silent", "leaving", "gone"]
    sequence: int = 0
    since: int = 0
    cold_until: int = 0


class Registered(msgspec.Struct, frozen=True, array_like=True, tag="registered"):
    """`forget` names rows to drop without a trace, if they are silent or leaving still."""

    changes: list[Upstream]
    ask: str = ""
    forget: list[str] = []


class Registry:
    """All rows are in `rows`, those that are gone for a minute more, so that a late heartbeat brings none back."""

    __slots__ = ("rows", "revision")

    def __init__(self):
        self.rows: dict[str, Upstream] = {}
        self.revision = 0

    def apply(self, c: Registered, clock: int) -> None:
        before = len(self.rows)
        self._lapse(clock)
        changed = len(self.rows) != before
        for u in c.changes:
            changed |= self._change(u, clock)
        for i in c.forget:
            row = self.rows.get(i)
            if row is not None and row.state in ("silent", "leaving"):
                del self.rows[i]
                changed = True
        self.revision += changed

    def ready(self, service: str) -> list[Upstream]:
        return [u for u in self.rows.values() if u.state == "ready" and u.service == service]

    def full(self, service: str) -> bool:
        """Whether there is no room for one more upstream of this service."""
        if len(self.rows) < MOST_SERVICES:
            return False
        services = {u.service for u in self.rows.values()}
        return len(self.rows) >= MOST or service not in services and len(services) >= MOST_SERVICES

    def _change(self, u: Upstream, clock: int) -> bool:
        old = self.rows.get(u.instance)
        if old is not None and old.state == "gone":
            return False
        if u.state == "gone":
            return self._bury(old or u, clock)
        if old is None:
            return u.state != "silent" and not self.full(u.service) and self._enter(u, clock, clock, 0)
        if u.sequence < old.sequence or old.state == "leaving":
            return False
        if u.state == "silent":
            if old.state != "ready":
                return False
            self.rows[u.instance] = replace(old, state="silent")
            return True
        return self._enter(u, clock, old.since, old.cold_until)

    def _enter(self, u: Upstream, clock: int, since: int, cold_until: int) -> bool:
        old = self.rows.get(u.instance)
        cold = max(cold_until, clock + u.cold_until) if u.cold_until > 0 else cold_until
        new = replace(u, since=since, cold_until=cold)
        if old is not None and replace(new, sequence=old.sequence) == old:
            return False
        if old is None or old.address != u.address:
            self._take_over(u, clock)
        self.rows[u.instance] = new
        return True

    def _take_over(self, u: Upstream, clock: int) -> None:
        for o in [o for o in self.rows.values() if o.address == u.address and o.instance != u.instance]:
            if o.state != "gone":
                self._bury(o, clock)

    def _bury(self, u: Upstream, clock: int) -> bool:
        self.rows[u.instance] = replace(u, state="gone", since=clock, cold_until=0)
        return True

    def _lapse(self, clock: int) -> None:
        gone = [u for u in self.rows.values() if u.state == "gone"]
        old = [u for u in gone if clock - u.since > TOMBSTONE_MS]
        if len(gone) - len(old) > MOST_GONE:
            old = sorted(gone, key=lambda u: (u.since, u.instance))[: len(gone) - MOST_GONE]
        for u in old:
            del self.rows[u.instance]
