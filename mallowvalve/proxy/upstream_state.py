"""The health and load of one upstream, and of one zone of upstreams, as a proxy observes them."""

from __future__ import annotations

from mallowvalve.upstreams.registry import Upstream

NEVER = -1e9
"""A time before all others (s)."""
USAGE_HALF_LIFE_S = 0.4
USAGE_VALID_S = 0.3
BREAKER_OPEN_S = 0.5
MAX_BREAKER_OPEN_S = 4.0
MIN_SILENCE_S = 0.25
SILENCE_PER_LATENCY = 2.5
SLOW_CONNECT_S = 0.15
MIN_ZONE_SILENCE_S = 0.15
ZONE_SILENCE_PER_LATENCY = 1.5
ZONE_SILENT_REQUESTS = 3
MAX_ZONE_SILENCE_S = 2.0
FAILURE_SCORE_STEP = 0.5
SUCCESS_SCORE_FACTOR = 0.7
FAILURE_SCORE_HALF_LIFE_S = 4.0
MIN_FAILURE_SCORE = 0.1


class ZoneHealth:
    """Detects a zone that has not responded since several requests were sent to it. Times in seconds."""

    __slots__ = ("silent_since", "sent", "latency")

    def __init__(self) -> None:
        self.silent_since, self.sent, self.latency = NEVER, 0, 0.1

    def on_send(self, now: float) -> None:
        """Records a send; after `MAX_ZONE_SILENCE_S` the silence is measured anew."""
        if now - self.silent_since > MAX_ZONE_SILENCE_S:
            self.silent_since, self.sent = now, 0
        self.sent += 1

    def on_response(self, latency: float) -> None:
        """Ends the silence and updates the mean latency."""
        self.silent_since, self.sent = NEVER, 0
        self.latency += 0.1 * (latency - self.latency)

    def is_silent(self, now: float) -> bool:
        """Returns whether the zone is silent; false after `MAX_ZONE_SILENCE_S`, so that a recovered zone is found."""
        return (
            self.sent >= ZONE_SILENT_REQUESTS
            and max(MIN_ZONE_SILENCE_S, ZONE_SILENCE_PER_LATENCY * self.latency)
            < now - self.silent_since
            <= MAX_ZONE_SILENCE_S
        )


class UpstreamState:
    """One upstream as this proxy observes it. Times on the proxy's clock (s); `load` counts all proxies' requests."""

    __slots__ = (
        "upstream",
        "zone",
        "in_flight",
        "reported_load",
        "reported_at",
        "sent_since_report",
        "at_capacity_until",
        "breaker_open_until",
        "breaker_open_s",
        "misdirected_until",
        "silent_since",
        "latency",
        "connecting_since",
        "registry_cold_until",
        "cold_end",
        "next_cold_send",
        "cold_senders",
        "cold_senders_version",
        "_failure_score",
        "_scored_at",
    )

    def __init__(self, upstream: Upstream, zone: ZoneHealth | None = None):
        self.upstream, self.zone, self.in_flight = upstream, zone or ZoneHealth(), 0
        self.reported_load, self.reported_at, self.sent_since_report = 0.0, NEVER, 0
        self.at_capacity_until = self.breaker_open_until = self.misdirected_until = NEVER
        self.breaker_open_s = BREAKER_OPEN_S
        self.silent_since: float | None = None
        self.latency = 0.1
        self.connecting_since: list[float] = []
        self.registry_cold_until, self.cold_end, self.next_cold_send = 0, NEVER, NEVER
        self.cold_senders, self.cold_senders_version = 0, (-1, -1)
        self._failure_score = self._scored_at = 0.0

    def failure_score(self, now: float) -> float:
        """Returns the decayed share of recent failures, 0 to 1, whatever the upstream reports about itself.

        It is added to the utilization when upstreams are compared.
        """
        if not self._failure_score:
            return 0.0
        score = self._failure_score * 0.5 ** ((now - self._scored_at) / FAILURE_SCORE_HALF_LIFE_S)
        return score if score >= MIN_FAILURE_SCORE else 0.0

    def record_outcome(self, success: bool, now: float) -> None:
        """Updates the failure score after a response."""
        if success and not self._failure_score:
            return
        score = self.failure_score(now)
        self._failure_score, self._scored_at = (
            SUCCESS_SCORE_FACTOR * score if success else min(1.0, score + FAILURE_SCORE_STEP),
            now,
        )

    def load(self, now: float, local_proxies: int) -> float:
        """Returns the estimated requests of all proxies; reported usage decays and counts newer sends on top."""
        if self.reported_at <= NEVER:
            return float(self.in_flight * local_proxies)
        decay: float = 0.5 ** ((now - self.reported_at) / USAGE_HALF_LIFE_S)
        return max(float(self.in_flight), self.reported_load * decay + self.sent_since_report)

    def utilization(self, now: float, local_proxies: int) -> float:
        """Returns the load with one more request, as a share of the upstream's slots."""
        return (self.load(now, local_proxies) + 1) / max(1, self.upstream.slots)

    def at_capacity(self, now: float, local_proxies: int, max_in_flight: int) -> bool:
        """Returns whether the upstream cannot take another request now."""
        if now < self.at_capacity_until or self.in_flight >= max_in_flight:
            return True
        return (
            self.load(now, local_proxies) >= 2 * self.upstream.slots
            if now - self.reported_at < USAGE_VALID_S
            else False
        )

    def is_healthy(self, now: float) -> bool:
        """Whether the upstream may take another request.

        After a failure the breaker is half open and admits one request at a time. While a connection opens slowly,
        only the requests that already wait for it use the upstream.
        """
        if now < self.breaker_open_until or self.half_open and self.in_flight or self.zone.is_silent(now):
            return False
        if self.connecting_since and now - self.connecting_since[0] > SLOW_CONNECT_S:
            return False
        return self.silent_since is None or now - self.silent_since <= max(
            MIN_SILENCE_S, SILENCE_PER_LATENCY * self.latency
        )

    @property
    def half_open(self) -> bool:
        """Whether the upstream has failed and not responded since."""
        return self.breaker_open_s > BREAKER_OPEN_S

    def is_cold(self, now: float) -> bool:
        """Returns whether the upstream is in slow start, with a limited request rate."""
        return now < self.cold_end
