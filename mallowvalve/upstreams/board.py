"""The upstreams where nodes tell each other of them: the newest heartbeat of each, and when it was heard."""

from __future__ import annotations

from typing import Literal

import msgspec

from mallowvalve.metrics import Counts
from mallowvalve.types import Address, Locality

SILENCE_TIMEOUT_S = 8.0
"""Seconds without a heartbeat after which an upstream takes no work."""

TOMBSTONE_S = 600.0
"""Seconds without a heartbeat after which an upstream is forgotten, so that no late one brings it back."""

NEVER = -1e9
UNKNOWN = (-1, -1)

HeartbeatState = Literal["ready", "leaving", "gone"]
Status = Literal["ready", "leaving", "gone", "silent"]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """What an upstream says of itself.

    `incarnation` tells its starts apart, `sequence` counts its heartbeats since, `usage` is its own measure of load.
    """

    service: str
    instance: str
    incarnation: int
    sequence: int
    usage: float
    state: HeartbeatState
    locality: Locality
    address: Address

    @property
    def name(self) -> str:
        """SERVICE/INSTANCE."""
        return f"{self.service}/{self.instance}"

    @property
    def rank(self) -> tuple[int, int]:
        """Of two heartbeats of an upstream the one of the higher rank is newer."""
        return self.incarnation, self.sequence


class AgedHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat as nodes pass it on, and how long ago it was heard (s)."""

    heartbeat: Heartbeat
    age_s: float


class HeartbeatRow:
    """An upstream: its newest heartbeat, when it was heard, since when it is there, and when it last broke off (s)."""

    __slots__ = ("heartbeat", "heard", "since", "failed_at_s")

    def __init__(self, heartbeat: Heartbeat, heard: float, since: float) -> None:
        """One that has not broken off yet."""
        self.heartbeat = heartbeat
        self.heard = heard
        self.since = since
        self.failed_at_s = NEVER


class HeartbeatTable:
    """All upstreams that this node has heard of; `now` is seconds of this node's clock everywhere."""

    __slots__ = ("rows", "counts")

    def __init__(self) -> None:
        """Nobody at first; `rows` is by SERVICE/INSTANCE."""
        self.rows: dict[str, HeartbeatRow] = {}
        self.counts = Counts()

    def record(self, heartbeat: Heartbeat, now: float, age: float = 0.0) -> bool:
        """Take in a heartbeat that was heard `age` seconds ago; false if it says nothing new.

        Leaving is final for an incarnation, and gone more so.
        """
        row = self.rows.get(heartbeat.name)
        heard = now - age
        if row is None:
            self.rows[heartbeat.name] = HeartbeatRow(heartbeat, heard, heard)
            self.counts.add("heartbeat_new")
            return True
        if heartbeat.rank <= row.heartbeat.rank:
            return False
        if heartbeat.incarnation > row.heartbeat.incarnation:
            self.rows[heartbeat.name] = HeartbeatRow(heartbeat, heard, heard)
            self.counts.add("heartbeat_reborn")
            return True
        if row.heartbeat.state != "ready" and heartbeat.state == "ready" or row.heartbeat.state == "gone":
            self.counts.add("heartbeat_after_leaving")
            return False
        if heard - row.heard > SILENCE_TIMEOUT_S:
            row.since = heard
        row.heartbeat = heartbeat
        row.heard = max(row.heard, heard)
        return True

    def usable(self, service: str, now: float) -> list[HeartbeatRow]:
        """Upstreams of a service that are ready and not silent."""
        return [
            row
            for row in self.rows.values()
            if row.heartbeat.service == service
            and row.heartbeat.state == "ready"
            and now - row.heard < SILENCE_TIMEOUT_S
        ]

    def entries(self, now: float) -> list[tuple[Heartbeat, Status, float]]:
        """Every upstream by name: its heartbeat, its status, and how long ago it was heard (s)."""
        return [(row.heartbeat, self.status(row, now), now - row.heard) for _, row in sorted(self.rows.items())]

    def status(self, row: HeartbeatRow, now: float) -> Status:
        """The upstream's own state, or silent."""
        if row.heartbeat.state != "ready":
            return row.heartbeat.state
        return "silent" if now - row.heard >= SILENCE_TIMEOUT_S else "ready"

    def digest(self) -> dict[str, tuple[int, int]]:
        """The rank of each upstream's heartbeat, for `newer_than` of another node."""
        return {name: row.heartbeat.rank for name, row in self.rows.items()}

    def newer_than(self, digest: dict[str, tuple[int, int]], now: float) -> list[AgedHeartbeat]:
        """What another node lacks."""
        return [
            AgedHeartbeat(row.heartbeat, max(0.0, now - row.heard))
            for name, row in self.rows.items()
            if row.heartbeat.rank > digest.get(name, UNKNOWN)
        ]

    def drop_expired(self, now: float) -> None:
        """Drop those that were silent for long."""
        for name in [name for name, row in self.rows.items() if now - row.heard > TOMBSTONE_S]:
            del self.rows[name]
