"""Liveness of the registered upstreams: when each was heard, which heartbeats are changes, and which are silent."""

from __future__ import annotations

from collections import Counter

import msgspec
from msgspec.structs import replace

from mallowvalve.types import Address, Locality
from mallowvalve.upstreams.registry import Registered, Registry, Upstream, UpstreamStatus

COLD_EXTENSION_MS = 200
"""A later end of the cold phase is replicated only if it moves by more than this."""

DROP_SILENT_S = 60.0
"""Silence after which an upstream's row is dropped."""

MAX_JUDGE_GAP_S = 2.0
"""A leader that did not check for silence for longer than this starts a new observation."""

MISSED_HEARTBEATS = 3
"""Consecutive missed heartbeats after which an upstream is silent."""

MAX_TRACKED_INSTANCES = 200_000

UNKNOWN_SEQUENCE = -1


class HeardInstance(msgspec.Struct, array_like=True, frozen=True):
    """An entry of a node's report to the leader: an instance and the age of its last heartbeat."""

    instance: str
    age_ms: int


class LastHeartbeat:
    """When an upstream's last heartbeat arrived at this node (s), and its sequence number."""

    __slots__ = ("at", "sequence")

    def __init__(self, at: float, sequence: int) -> None:
        """Stores a heartbeat that arrived at `at`."""
        self.at = at
        self.sequence = sequence


class LivenessTracker:
    """Tracks heartbeats at one control process. Times are seconds of this node's clock; the fleet's clock is in ms.

    `heartbeat_interval_s` is the expected interval. Three missed heartbeats are a silence, and six where most of a
    service falls silent at once, because then the fault is more likely on this side.
    """

    __slots__ = (
        "heartbeat_interval_s",
        "silence_timeout_s",
        "_last",
        "_acknowledged",
        "_leading_since",
        "_judged_at",
        "_fleet_time_ms",
        "_fleet_time_read_at",
    )

    def __init__(self, heartbeat_interval_s: float = 1.5) -> None:
        """Creates a tracker that has received no heartbeat."""
        self.heartbeat_interval_s = heartbeat_interval_s
        self.silence_timeout_s = MISSED_HEARTBEATS * heartbeat_interval_s
        self._last: dict[str, LastHeartbeat] = {}
        self._acknowledged: set[tuple[str, UpstreamStatus]] = set()
        self._leading_since: float | None = None
        self._judged_at = 0.0
        self._fleet_time_ms = 0
        self._fleet_time_read_at = 0.0

    def fleet_time_ms(self, latest_ms: int, now: float) -> int:
        """Returns the fleet's time: that of the newest command, `latest_ms`, plus the time since it was first seen.

        The result may be behind the leader's fleet clock, but never ahead of it.
        """
        if latest_ms != self._fleet_time_ms:
            self._fleet_time_ms = latest_ms
            self._fleet_time_read_at = now
        return self._fleet_time_ms + int((now - self._fleet_time_read_at) * 1000)

    def observe(self, upstream: Upstream, registry: Registry, fleet_time_ms: int, now: float) -> Upstream | None:
        """Records a heartbeat; returns the change to propose for it, or None for a plain heartbeat.

        `upstream.cold_until` is the remaining time of the cold phase (ms).
        """
        last = self._last.get(upstream.instance)
        if last is not None and upstream.sequence < last.sequence:
            return None
        row = registry.rows.get(upstream.instance)
        if row is None:
            self._record(upstream.instance, now, upstream.sequence)
            return upstream
        if row.state == "gone" or upstream.sequence < row.sequence:
            return None
        self._record(upstream.instance, now, upstream.sequence)
        if row.state == "leaving":
            return upstream if upstream.state == "leaving" and not self.is_acknowledged(upstream) else None
        if _replicated_fields(upstream) != _replicated_fields(row):
            return upstream
        if upstream.cold_until > 0 and fleet_time_ms + upstream.cold_until > row.cold_until + COLD_EXTENSION_MS:
            return upstream
        return None

    def mark_acknowledged(self, upstream: Upstream) -> None:
        """Records that this node acknowledged the upstream's `leaving` or `gone` notice; repeats of it are plain."""
        self._acknowledged.add((upstream.instance, upstream.state))

    def is_acknowledged(self, upstream: Upstream) -> bool:
        """Returns whether this node acknowledged the upstream's notice of its present state."""
        return (upstream.instance, upstream.state) in self._acknowledged

    def report(self, since: float, now: float) -> list[HeardInstance]:
        """Returns the upstreams heard at this node after `since`, as a report to the leader."""
        return [
            HeardInstance(instance, int((now - last.at) * 1000))
            for instance, last in self._last.items()
            if last.at > since
        ]

    def merge_report(self, heard: list[HeardInstance], now: float) -> None:
        """Merges another node's report; called on the leader."""
        for entry in heard:
            at = now - max(0, entry.age_ms) / 1000
            last = self._last.get(entry.instance)
            if last is None:
                self._record(entry.instance, at, UNKNOWN_SEQUENCE)
            elif at > last.at:
                last.at = at

    def stop_judging(self) -> None:
        """Marks this node as not leading; if it leads again, it starts a new observation."""
        self._leading_since = None

    def detect_silent(self, registry: Registry, now: float) -> Registered | None:
        """Returns the upstreams to mark as silent and those to drop, None without any; called on the leader.

        A node that has just begun to lead reports nothing until it has observed for the silence timeout.
        """
        if self._leading_since is None or now - self._judged_at > MAX_JUDGE_GAP_S:
            self._leading_since = now
        self._judged_at = now
        if now - self._leading_since < self.silence_timeout_s:
            return None
        ages = self._heartbeat_ages(registry, self._leading_since, now)
        mass_silences = self._services_in_mass_silence(registry, ages)
        silent = []
        forget = []
        for instance, row in registry.rows.items():
            age = ages[instance]
            if row.state == "ready" and age >= self.silence_timeout_s * (2 if row.service in mass_silences else 1):
                silent.append(replace(row, state="silent", cold_until=0))
            elif row.state in ("silent", "leaving") and age >= DROP_SILENT_S:
                forget.append(instance)
        return Registered(silent, "", forget) if silent or forget else None

    def prune(self, registry: Registry, now: float) -> None:
        """Drops what is stored about upstreams that are no longer in the registry."""
        self._acknowledged = {notice for notice in self._acknowledged if notice[0] in registry.rows}
        if len(self._last) > len(registry.rows):
            outside = [
                instance
                for instance, last in self._last.items()
                if instance not in registry.rows and now - last.at > DROP_SILENT_S
            ]
            for instance in outside:
                del self._last[instance]

    def _heartbeat_ages(self, registry: Registry, leading_since: float, now: float) -> dict[str, float]:
        """Returns the seconds since each upstream's last heartbeat, or since this node leads if that is shorter."""
        ages = {}
        for instance in registry.rows:
            last = self._last.get(instance)
            ages[instance] = now - (leading_since if last is None else max(leading_since, last.at))
        return ages

    def _services_in_mass_silence(self, registry: Registry, ages: dict[str, float]) -> set[str]:
        """Returns the services of which more than half miss heartbeats at once.

        An upstream counts one heartbeat before it would be silent, since upstreams that fall silent together do so
        within one heartbeat.
        """
        total: Counter[str] = Counter()
        late: Counter[str] = Counter()
        for instance, row in registry.rows.items():
            if row.state in ("ready", "silent"):
                total[row.service] += 1
            if row.state == "ready" and ages[instance] >= self.silence_timeout_s - self.heartbeat_interval_s:
                late[row.service] += 1
        return {service for service, count in late.items() if 2 * count > total[service] and count > 1}

    def _record(self, instance: str, at: float, sequence: int) -> None:
        last = self._last.get(instance)
        if last is not None:
            last.at = max(last.at, at)
            last.sequence = max(last.sequence, sequence)
        elif len(self._last) < MAX_TRACKED_INSTANCES:
            self._last[instance] = LastHeartbeat(at, sequence)


def _replicated_fields(upstream: Upstream) -> tuple[UpstreamStatus, str, Address, Locality, int]:
    """Returns the fields whose change is replicated."""
    return upstream.state, upstream.service, upstream.address, upstream.locality, upstream.slots
