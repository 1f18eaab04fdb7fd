"""Who was heard when, what a heartbeat changes, and whose silence has lasted too long."""

from __future__ import annotations

from collections import Counter

import msgspec
from msgspec.structs import replace

from mallowvalve.types import Address, Locality
from mallowvalve.upstreams.registry import Registered, Registry, Upstream, UpstreamState

COLD_MOVED_MS = 200
"""A cold upstream that says it stays so for longer is news from so many ms on."""

FORGET = 60.0
"""Seconds of silence after which an upstream's row is dropped."""

PAUSE = 2.0
"""A leader that did not judge for so long (s) begins to listen anew."""

MISSED = 3
"""Heartbeats missed in a row that are a silence."""

MOST = 200_000
"""Instances that are remembered, at most."""

NOT_SEEN = -1


class HeardInstance(msgspec.Struct, array_like=True, frozen=True):
    """One line of a node's report to the leader: who was heard how long ago."""

    instance: str
    age_ms: int


class LastHeartbeat:
    """When an upstream was last heard here (s), and the number of that heartbeat."""

    __slots__ = ("at", "sequence")

    def __init__(self, at: float, sequence: int) -> None:
        """Heard at `at`."""
        self.at = at
        self.sequence = sequence


class LivenessTracker:
    """One at each control process. All times are seconds of this node's own clock but for the fleet's, which is ms.

    `heartbeat` is how often upstreams are heard; three without a word are a silence, and six where most of a service
    fall silent at once, for then the fault is more likely ours.
    """

    __slots__ = ("heartbeat_every", "silence_timeout_s", "_last", "_acked", "_led", "_judged", "_clock", "_clock_at")

    def __init__(self, heartbeat: float = 1.5) -> None:
        """Nobody heard yet; upstreams are expected every `heartbeat` seconds."""
        self.heartbeat_every = heartbeat
        self.silence_timeout_s = MISSED * heartbeat
        self._last: dict[str, LastHeartbeat] = {}
        self._acked: set[tuple[str, UpstreamState]] = set()
        self._led: float | None = None
        self._judged = 0.0
        self._clock = 0
        self._clock_at = 0.0

    def fleet_time_ms(self, seen: int, now: float) -> int:
        """The fleet's clock (ms), by the newest command seen and the time since; it may be behind, not ahead."""
        if seen != self._clock:
            self._clock = seen
            self._clock_at = now
        return self._clock + int((now - self._clock_at) * 1000)

    def observe(self, upstream: Upstream, registry: Registry, clock: int, now: float) -> Upstream | None:
        """Note a heartbeat; what is to be offered for it, or None for a plain one.

        `cold_until` of the upstream says how much longer it stays cold (ms).
        """
        last = self._last.get(upstream.instance)
        if last is not None and upstream.sequence < last.sequence:
            return None
        row = registry.rows.get(upstream.instance)
        if row is None:
            self._note(upstream.instance, now, upstream.sequence)
            return upstream
        if row.state == "gone" or upstream.sequence < row.sequence:
            return None
        self._note(upstream.instance, now, upstream.sequence)
        if row.state == "leaving":
            return upstream if upstream.state == "leaving" and not self.is_acknowledged(upstream) else None
        if _said(upstream) != _said(row):
            return upstream
        if upstream.cold_until > 0 and clock + upstream.cold_until > row.cold_until + COLD_MOVED_MS:
            return upstream
        return None

    def mark_acknowledged(self, upstream: Upstream) -> None:
        """A notice that it leaves or is gone was acknowledged by this node: what repeats it is plain."""
        self._acked.add((upstream.instance, upstream.state))

    def is_acknowledged(self, upstream: Upstream) -> bool:
        """Whether this node acknowledged such a notice of it."""
        return (upstream.instance, upstream.state) in self._acked

    def report(self, since: float, now: float) -> list[HeardInstance]:
        """Who was heard here after `since`, for the leader."""
        return [HeardInstance(i, int((now - last.at) * 1000)) for i, last in self._last.items() if last.at > since]

    def merge_report(self, heard: list[HeardInstance], now: float) -> None:
        """The leader takes in another node's report."""
        for line in heard:
            at = now - max(0, line.age_ms) / 1000
            last = self._last.get(line.instance)
            if last is None:
                self._note(line.instance, at, NOT_SEEN)
            elif at > last.at:
                last.at = at

    def stop_judging(self) -> None:
        """This node does not lead: it judges nobody, and listens anew when it does."""
        self._led = None

    def detect_silent(self, registry: Registry, now: float) -> Registered | None:
        """The leader's: what has become silent, and what is forgotten. One that just began to lead waits first."""
        if self._led is None or now - self._judged > PAUSE:
            self._led = now
        self._judged = now
        if now - self._led < self.silence_timeout_s:
            return None
        ages = self._ages(registry, self._led, now)
        held = self._mass(registry, ages)
        silent = []
        forget = []
        for instance, row in registry.rows.items():
            age = ages[instance]
            if row.state == "ready" and age >= self.silence_timeout_s * (2 if row.service in held else 1):
                silent.append(replace(row, state="silent", cold_until=0))
            elif row.state in ("silent", "leaving") and age >= FORGET:
                forget.append(instance)
        return Registered(silent, "", forget) if silent or forget else None

    def prune(self, registry: Registry, now: float) -> None:
        """Forget what concerns nobody in the registry any more."""
        self._acked = {acked for acked in self._acked if acked[0] in registry.rows}
        if len(self._last) > len(registry.rows):
            outside = [i for i, last in self._last.items() if i not in registry.rows and now - last.at > FORGET]
            for instance in outside:
                del self._last[instance]

    def _ages(self, registry: Registry, led: float, now: float) -> dict[str, float]:
        """Seconds since each upstream was heard, or since this node leads if that is shorter."""
        ages = {}
        for instance in registry.rows:
            last = self._last.get(instance)
            ages[instance] = now - (led if last is None else max(led, last.at))
        return ages

    def _mass(self, registry: Registry, ages: dict[str, float]) -> set[str]:
        """Services of which more than half have missed a heartbeat at once: those would follow within one more."""
        every: Counter[str] = Counter()
        late: Counter[str] = Counter()
        for instance, row in registry.rows.items():
            if row.state in ("ready", "silent"):
                every[row.service] += 1
            if row.state == "ready" and ages[instance] >= self.silence_timeout_s - self.heartbeat_every:
                late[row.service] += 1
        return {service for service, count in late.items() if 2 * count > every[service] and count > 1}

    def _note(self, instance: str, at: float, sequence: int) -> None:
        last = self._last.get(instance)
        if last is not None:
            last.at = max(last.at, at)
            last.sequence = max(last.sequence, sequence)
        elif len(self._last) < MOST:
            self._last[instance] = LastHeartbeat(at, sequence)


def _said(upstream: Upstream) -> tuple[UpstreamState, str, Address, Locality, int]:
    """What a heartbeat says that is news if it differs."""
    return upstream.state, upstream.service, upstream.address, upstream.locality, upstream.slots
