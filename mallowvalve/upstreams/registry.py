"""The upstreams as the core agreed on them: what changes is replicated, plain heartbeats are not."""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec.structs import replace

from mallowvalve.types import Address, Locality

TOMBSTONE_MS = 60_000
"""How long one that is gone stays known, so that a late heartbeat does not bring it back."""

MAX_UPSTREAMS, MAX_SERVICES, MAX_GONE = 100_000, 4096, 10_000
"""Upstreams, services and upstreams that are gone, at most."""

UpstreamState = Literal["ready", "silent", "leaving", "gone"]


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
    state: UpstreamState
    sequence: int = 0
    since: int = 0
    cold_until: int = 0


class Registered(msgspec.Struct, frozen=True, array_like=True, tag="registered"):
    """A command: changes of upstreams, and rows to drop without a trace if they are silent or leaving still.

    `ask` is the key under which it is decided once, if it has one.
    """

    changes: list[Upstream]
    ask: str = ""
    forget: list[str] = []


class Registry:
    """All rows are in `rows`, those that are gone for a minute more, so that a late heartbeat brings none back."""

    __slots__ = ("rows", "revision")

    def __init__(self) -> None:
        """Nobody at first; `rows` is by instance, `revision` counts the commands that changed something."""
        self.rows: dict[str, Upstream] = {}
        self.revision = 0

    def apply(self, command: Registered, clock: int) -> None:
        """Take in a command at the time of its entry (ms of the fleet's clock); the same on every node."""
        before = len(self.rows)
        self._lapse(clock)
        changed = len(self.rows) != before
        for upstream in command.changes:
            changed |= self._change(upstream, clock)
        for instance in command.forget:
            row = self.rows.get(instance)
            if row is not None and row.state in ("silent", "leaving"):
                del self.rows[instance]
                changed = True
        self.revision += changed

    def ready(self, service: str) -> list[Upstream]:
        """The upstreams of a service that are ready."""
        return [row for row in self.rows.values() if row.state == "ready" and row.service == service]

    def full(self, service: str) -> bool:
        """Whether there is no room for one more upstream of this service."""
        if len(self.rows) < MAX_SERVICES:
            return False
        services = {row.service for row in self.rows.values()}
        return len(self.rows) >= MAX_UPSTREAMS or service not in services and len(services) >= MAX_SERVICES

    def _change(self, upstream: Upstream, clock: int) -> bool:
        """One change; whether it changed anything."""
        old = self.rows.get(upstream.instance)
        if old is not None and old.state == "gone":
            return False
        if upstream.state == "gone":
            return self._bury(old or upstream, clock)
        if old is None:
            if upstream.state == "silent" or self.full(upstream.service):
                return False
            return self._enter(upstream, clock, clock, 0)
        if upstream.sequence < old.sequence or old.state == "leaving":
            return False
        if upstream.state == "silent":
            if old.state != "ready":
                return False
            self.rows[upstream.instance] = replace(old, state="silent")
            return True
        return self._enter(upstream, clock, old.since, old.cold_until)

    def _enter(self, upstream: Upstream, clock: int, since: int, cold_until: int) -> bool:
        """A row as the upstream says; it stays cold for the longer of what was known and what it says."""
        old = self.rows.get(upstream.instance)
        cold = max(cold_until, clock + upstream.cold_until) if upstream.cold_until > 0 else cold_until
        new = replace(upstream, since=since, cold_until=cold)
        if old is not None and replace(new, sequence=old.sequence) == old:
            return False
        if old is None or old.address != upstream.address:
            self._take_over(upstream, clock)
        self.rows[upstream.instance] = new
        return True

    def _take_over(self, upstream: Upstream, clock: int) -> None:
        """Whoever had this address before is gone."""
        others = [row for row in self.rows.values() if row.address == upstream.address]
        for other in others:
            if other.instance != upstream.instance and other.state != "gone":
                self._bury(other, clock)

    def _bury(self, upstream: Upstream, clock: int) -> bool:
        self.rows[upstream.instance] = replace(upstream, state="gone", since=clock, cold_until=0)
        return True

    def _lapse(self, clock: int) -> None:
        """Forget those that are gone for long, and the earliest of too many."""
        gone = [row for row in self.rows.values() if row.state == "gone"]
        old = [row for row in gone if clock - row.since > TOMBSTONE_MS]
        if len(gone) - len(old) > MAX_GONE:
            old = sorted(gone, key=lambda row: (row.since, row.instance))[: len(gone) - MAX_GONE]
        for row in old:
            del self.rows[row.instance]
