"""One upstream, and one zone of them, as a proxy sees them."""

from __future__ import annotations

from mallowvalve.upstreams.registry import Upstream

NEVER = -1e9
"""A time before all others."""
HALF = 0.4
FRESH = 0.3
BREAK, BREAK_MOST = 0.5, 4.0
MUTE, OWES = 0.25, 2.5
OPENING = 0.15
DARK, DARK_OWES, DARK_SENT, DARK_MOST = 0.15, 1.5, 3, 2.0
ILL, WELL, HEALED, HALE = 0.5, 0.7, 4.0, 0.1


class Zone:
    """Whether a zone answers at all: dark once it has said nothing since several requests were sent there (s)."""

    __slots__ = ("first", "sent", "latency")

    def __init__(self):
        self.first, self.sent, self.latency = NEVER, 0, 0.1

    def sending(self, now: float) -> None:
        if now - self.first > DARK_MOST:
            self.first, self.sent = now, 0
        self.sent += 1

    def heard(self, took: float) -> None:
        self.first, self.sent = NEVER, 0
        self.latency += 0.1 * (took - self.latency)

    def dark(self, now: float) -> bool:
        """Not for long, so that one that is back is found."""
        return self.sent >= DARK_SENT and max(DARK, DARK_OWES * self.latency) < now - self.first <= DARK_MOST


class UpstreamState:
    """One upstream as this proxy sees it. Times on the proxy's own clock (s); `load` counts requests of all proxies."""

    __slots__ = (
        "upstream",
        "zone",
        "in_flight",
        "base",
        "base_at",
        "since",
        "full_until",
        "broken_until",
        "pause",
        "wrong_until",
        "mute",
        "latency",
        "opening",
        "cold_until",
        "cold_end",
        "cold_next",
        "cold_k",
        "cold_senders_version",
        "_ill",
        "_ill_at",
    )

    def __init__(self, upstream: Upstream, zone: Zone | None = None):
        self.upstream, self.zone, self.in_flight = upstream, zone or Zone(), 0
        self.base, self.base_at, self.since = 0.0, NEVER, 0
        self.full_until = self.broken_until = self.wrong_until = NEVER
        self.pause = BREAK
        self.mute: float | None = None
        self.latency = 0.1
        self.opening: list[float] = []
        self.cold_until, self.cold_end, self.cold_next = 0, NEVER, NEVER
        self.cold_k, self.cold_senders_version = 0, (-1, -1)
        self._ill = self._ill_at = 0.0

    def ill(self, now: float) -> float:
        """How much it failed of late what it was sent, 0 to 1, whatever it says of itself; it counts as fill does."""
        if not self._ill:
            return 0.0
        ill = self._ill * 0.5 ** ((now - self._ill_at) / HEALED)
        return ill if ill >= HALE else 0.0

    def judged(self, well: bool, now: float) -> None:
        if well and not self._ill:
            return
        ill = self.ill(now)
        self._ill, self._ill_at = WELL * ill if well else min(1.0, ill + ILL), now

    def load(self, now: float, share: int) -> float:
        if self.base_at <= NEVER:
            return float(self.in_flight * share)
        return max(float(self.in_flight), self.base * 0.5 ** ((now - self.base_at) / HALF) + self.since)

    def fill(self, now: float, share: int) -> float:
        return (self.load(now, share) + 1) / max(1, self.upstream.slots)

    def full(self, now: float, share: int, most: int) -> bool:
        if now < self.full_until or self.in_flight >= most:
            return True
        return self.load(now, share) >= 2 * self.upstream.slots if now - self.base_at < FRESH else False

    def sound(self, now: float) -> bool:
        """One that failed is tried by one request at a time, and one that is slow to connect is left to those at it."""
        if now < self.broken_until or self.doubted and self.in_flight or self.zone.dark(now):
            return False
        if self.opening and now - self.opening[0] > OPENING:
            return False
        return self.mute is None or now - self.mute <= max(MUTE, OWES * self.latency)

    @property
    def doubted(self) -> bool:
        return self.pause > BREAK

    def cold(self, now: float) -> bool:
        return now < self.cold_end
