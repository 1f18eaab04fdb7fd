"""Table of the upstreams that nodes gossip about: the newest heartbeat of each, and when it was received."""

from __future__ import annotations

from typing import Literal

import msgspec

from mallowvalve.metrics import Counts
from mallowvalve.types import Address, Locality

SILENCE_TIMEOUT_S = 8.0
"""Time without a heartbeat after which an upstream gets no requests."""

TOMBSTONE_S = 600.0
"""Time without a heartbeat after which an upstream is forgotten; a late heartbeat must not bring it back before."""

NEVER_S = -1e9
UNKNOWN_RANK = (-1, -1)

HeartbeatState = Literal["ready", "leaving", "gone"]
Status = Literal["ready", "leaving", "gone", "silent"]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """An upstream's report about itself.

    `incarnation` identifies the start of the process, `sequence` counts its heartbeats since, `usage` is the upstream's
    own measure of load.
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
        """The order of an upstream's heartbeats: the newer one has the higher rank."""
        return self.incarnation, self.sequence


class AgedHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat as nodes forward it, with the time since an upstream sent it to a node (s)."""

    heartbeat: Heartbeat
    age_s: float


class HeartbeatRow:
    """An upstream: its newest heartbeat, when that was received, since when it is present, and its last failure (s)."""

    __slots__ = ("heartbeat", "heard_at_s", "since", "failed_at_s")

    def __init__(self, heartbeat: Heartbeat, heard_at_s: float, since: float) -> None:
        """Creates a row without a broken connection."""
        self.heartbeat = heartbeat
        self.heard_at_s = heard_at_s
        self.since = since
        self.failed_at_s = NEVER_S


class HeartbeatTable:
    """All upstreams known to this node; `now` is always the time of this node's clock (s)."""

    __slots__ = ("rows", "counts")

    def __init__(self) -> None:
        """Creates an empty table; the keys of `rows` are SERVICE/INSTANCE."""
        self.rows: dict[str, HeartbeatRow] = {}
        self.counts = Counts()

    def record(self, heartbeat: Heartbeat, now: float, age_s: float = 0.0) -> bool:
        """Stores a heartbeat that is `age_s` seconds old; returns whether it is new.

        Within an incarnation, a leaving upstream never becomes ready again, and a gone one never changes.
        """
        row = self.rows.get(heartbeat.name)
        heard_at_s = now - age_s
        if row is None:
            self.rows[heartbeat.name] = HeartbeatRow(heartbeat, heard_at_s, heard_at_s)
            self.counts.add("heartbeat_new")
            return True
        if heartbeat.rank <= row.heartbeat.rank:
            return False
        if heartbeat.incarnation > row.heartbeat.incarnation:
            self.rows[heartbeat.name] = HeartbeatRow(heartbeat, heard_at_s, heard_at_s)
            self.counts.add("heartbeat_reborn")
            return True
        if row.heartbeat.state != "ready" and heartbeat.state == "ready" or row.heartbeat.state == "gone":
            self.counts.add("heartbeat_after_leaving")
            return False
        if heard_at_s - row.heard_at_s > SILENCE_TIMEOUT_S:
            row.since = heard_at_s
        row.heartbeat = heartbeat
        row.heard_at_s = max(row.heard_at_s, heard_at_s)
        return True

    def usable(self, service: str, now: float) -> list[HeartbeatRow]:
        """Returns the upstreams of a service that are ready and not silent."""
        return [
            row
            for row in self.rows.values()
            if row.heartbeat.service == service
            and row.heartbeat.state == "ready"
            and now - row.heard_at_s < SILENCE_TIMEOUT_S
        ]

    def entries(self, now: float) -> list[tuple[Heartbeat, Status, float]]:
        """Returns every upstream in the order of names: its heartbeat, its status and the heartbeat's age (s)."""
        return [(row.heartbeat, self.status(row, now), now - row.heard_at_s) for _, row in sorted(self.rows.items())]

    def status(self, row: HeartbeatRow, now: float) -> Status:
        """Returns the upstream's reported state, or `silent` for a ready one whose heartbeats stopped."""
        if row.heartbeat.state != "ready":
            return row.heartbeat.state
        return "silent" if now - row.heard_at_s >= SILENCE_TIMEOUT_S else "ready"

    def digest(self) -> dict[str, tuple[int, int]]:
        """Returns the rank of each upstream's heartbeat, as input to `newer_than` on another node."""
        return {name: row.heartbeat.rank for name, row in self.rows.items()}

    def newer_than(self, digest: dict[str, tuple[int, int]], now: float) -> list[AgedHeartbeat]:
        """Returns the heartbeats that are newer than those in another node's digest."""
        return [
            AgedHeartbeat(row.heartbeat, max(0.0, now - row.heard_at_s))
            for name, row in self.rows.items()
            if row.heartbeat.rank > digest.get(name, UNKNOWN_RANK)
        ]

    def drop_expired(self, now: float) -> None:
        """Removes the upstreams that have been silent for longer than `TOMBSTONE_S`."""
        for name in [name for name, row in self.rows.items() if now - row.heard_at_s > TOMBSTONE_S]:
            del self.rows[name]
