from __future__ import annotations

from typing import Literal

import msgspec

from mallowvalve.metrics import Counts
from mallowvalve.types import Address, Locality

SILENT = 8.0
TOMBSTONE = 600.0


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    service: str
    instance: str
    incarnation: int
    sequence: int
    usage: float
    state: Literal["ready", "leaving", "gone"]
    locality: Locality
    address: Address

    @property
    def name(self) -> str:
        return f"{self.service}/{self.instance}"

    @property
    def rank(self) -> tuple[int, int]:
        return self.incarnation, self.sequence


class Aged(msgspec.Struct, frozen=True, array_like=True):
    heartbeat: Heartbeat
    age: float


class Row:
    __slots__ = ("heartbeat", "heard", "since", "broken")

    def __init__(self, heartbeat: Heartbeat, heard: float, since: float):
        self.heartbeat, self.heard, self.since, self.broken = heartbeat, heard, since, -1e9


class Board:
    __slots__ = ("rows", "counts")

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.counts = Counts()

    def hear(self, b: Heartbeat, now: float, age: float = 0.0) -> bool:
        r = self.rows.get(b.name)
        heard = now - age
        if r is None:
            self.rows[b.name] = Row(b, heard, heard)
            self.counts.add("heartbeat_new")
            return True
        if b.rank <= r.heartbeat.rank:
            return False
        if b.incarnation > r.heartbeat.incarnation:
            self.rows[b.name] = Row(b, heard, heard)
            self.counts.add("heartbeat_reborn")
            return True
        if r.heartbeat.state != "ready" and b.state == "ready" or r.heartbeat.state == "gone":
            self.counts.add("heartbeat_after_leaving")
            return False
        if heard - r.heard > SILENT:
            r.since = heard
        r.heartbeat, r.heard = b, max(r.heard, heard)
        return True

    def usable(self, service: str, now: float) -> list[Row]:
        return [
            r
            for r in self.rows.values()
            if r.heartbeat.service == service and r.heartbeat.state == "ready" and now - r.heard < SILENT
        ]

    def all(self, now: float) -> list[tuple[Heartbeat, str, float]]:
        return [(r.heartbeat, self.status(r, now), now - r.heard) for _, r in sorted(self.rows.items())]

    def status(self, r: Row, now: float) -> str:
        if r.heartbeat.state != "ready":
            return r.heartbeat.state
        return "silent" if now - r.heard >= SILENT else "ready"

    def digest(self) -> dict[str, tuple[int, int]]:
        return {n: r.heartbeat.rank for n, r in self.rows.items()}

    def newer_than(self, digest: dict[str, tuple[int, int]], now: float) -> list[Aged]:
        return [
            Aged(r.heartbeat, max(0.0, now - r.heard))
            for n, r in self.rows.items()
            if r.heartbeat.rank > digest.get(n, (-1, -1))
        ]

    def forget(self, now: float) -> None:
        for n in [n for n, r in self.rows.items() if now - r.heard > TOMBSTONE]:
            del self.rows[n]
