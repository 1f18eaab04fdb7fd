"""The upstreams of host routes as a proxy knows them: the registry's rows and the proxy's own observations."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable

from mallowvalve.configuration.items import ServiceItem
from mallowvalve.control.replica import Replica
from mallowvalve.proxy.idle_connections import IdleConnections
from mallowvalve.proxy.retry_budget import SlidingRetryBudget
from mallowvalve.proxy.steps import GATEWAY_TIMEOUT, MISDIRECTED, SERVER_ERROR, UpstreamResponse
from mallowvalve.proxy.upstream_state import BREAKER_OPEN_S, MAX_BREAKER_OPEN_S, NEVER, UpstreamState, ZoneHealth
from mallowvalve.settings import Settings
from mallowvalve.types import Locality, is_evacuated

PREFERRED_UTILIZATION = 0.85
"""Up to this utilization an upstream is preferred to all that are farther away."""
DISTANCE_PENALTIES = (0.0, 0.1, 0.5)
"""Utilization added for each distance: same zone, same region, other region."""
CAPACITY_REJECTION_S = 0.2
SAMPLED_UPSTREAMS = 2
QUEUED_PER_UPSTREAM = 2
COLD_RATE_SHARE = 0.9
MISDIRECTED_S = 5.0
COLD_AFTER_EVACUATION_HEARTBEATS = 1.4
RETRY_RATIO_SHARE = 0.7
RETRY_SLACK_SHARE = 0.5


class UpstreamLease:
    """One request's slot at an upstream and its connection, released exactly once."""

    __slots__ = ("connection", "hosts", "state", "streams", "idle_s", "sent_at", "_released")

    def __init__(self, hosts: HostUpstreams, state: UpstreamState):
        """Takes a slot. `idle_s` is how long a reused connection was idle, None for a new one.

        `sent_at` is when the request was sent, on the proxy's clock (s).
        """
        self.connection, self.hosts, self.state, self.idle_s = None, hosts, state, None
        self.sent_at: float | None = None
        self.streams = self._released = False
        state.in_flight += 1

    def reuse(self, recent_only: bool, now: float) -> bool:
        """Takes an idle connection and returns whether there was one."""
        self.connection = self.hosts.idle_connections.take(self.state.upstream, now, recent_only)
        if self.connection is not None:
            self.idle_s = now - self.connection.since
        return self.connection is not None

    def on_send(self, now: float) -> None:
        """Records the send; call it directly before the first byte."""
        self.sent_at = now
        self.hosts.on_send(self.state, now)

    def abandon(self) -> None:
        """Closes the connection at once because the client left; this does not count against the upstream."""
        if self._released:
            return
        self.release(keep=False)
        self.hosts.on_abandon(self.state)

    def release(self, keep: bool) -> None:
        """Frees the slot. The idle time of a kept connection counts from its last send, not from when it was taken."""
        if self._released:
            return
        self._released = True
        self.state.in_flight -= 1
        if self.connection is not None and keep:
            used_at = self.hosts.now() if self.sent_at is not None else self.connection.since
            self.hosts.idle_connections.give(self.connection, used_at)
        elif self.connection is not None:
            self.connection.close()
        self.hosts.on_free(self.state.upstream.service)


class HostUpstreams:
    """The upstreams of host routes, with their load, health, retry budgets and idle connections."""

    __slots__ = (
        "replica",
        "settings",
        "rng",
        "now",
        "on_free",
        "idle_connections",
        "waiting",
        "upstreams",
        "zones",
        "_by_distance",
        "_registry",
        "_registry_revision",
        "_budgets",
        "_local_proxies",
        "_proxy_count",
        "_settings_revision",
        "_evacuated",
    )

    def __init__(
        self,
        replica: Replica,
        settings: Settings,
        rng: random.Random,
        now: Callable[[], float],
        on_free: Callable[[str], None] = lambda service: None,
    ):
        self.replica, self.settings, self.rng, self.now, self.on_free = replica, settings, rng, now, on_free
        self.idle_connections = IdleConnections()
        self.waiting: dict[str, int] = {}
        self.upstreams: dict[str, UpstreamState] = {}
        self.zones: dict[Locality, ZoneHealth] = {}
        self._by_distance: dict[str, list[tuple[int, list[UpstreamState]]]] = {}
        self._registry, self._registry_revision = None, -1
        self._budgets: dict[str, SlidingRetryBudget] = {}
        self._local_proxies = self._proxy_count = 1
        self._settings_revision = -1
        self._evacuated: dict[str, int] = {}

    def pick(self, service: str, homes: list[str], tried: set[str], now: float) -> tuple[UpstreamState | None, bool]:
        """Returns the upstream for the next request, and whether any upstream is eligible at all."""
        self.refresh(now)
        evacuated, proxies, any_eligible, with_capacity, fallbacks = (
            self.replica.state.settings.evacuated,
            self._local_proxies,
            False,
            [],
            [],
        )
        item = self.replica.state.items.services.get(service)
        for distance, ring in self._by_distance.get(service, ()):
            usable = [s for s in ring if s.upstream.instance not in tried and self._eligible(s, homes, evacuated, now)]
            any_eligible = any_eligible or bool(usable)
            usable = [
                s
                for s in usable
                if not s.at_capacity(now, proxies, self.max_in_flight(s, item)) and self._may_send_cold(s, item, now)
            ]
            healthy = [s for s in usable if s.is_healthy(now)]
            with_capacity += usable
            if not healthy:
                continue
            chosen = self._less_loaded_of_two(healthy, now, proxies)
            cost = chosen.utilization(now, proxies) + chosen.failure_score(now)
            if cost > PREFERRED_UTILIZATION and len(healthy) > SAMPLED_UPSTREAMS:
                cost, chosen = min(
                    ((s.utilization(now, proxies) + s.failure_score(now), s) for s in healthy),
                    key=lambda candidate: candidate[0],
                )
            if cost <= PREFERRED_UTILIZATION:
                return chosen, True
            fallbacks.append((cost + DISTANCE_PENALTIES[distance], chosen))
        if fallbacks:
            return min(fallbacks, key=lambda candidate: candidate[0])[1], True
        return (min(with_capacity, key=lambda s: s.breaker_open_until) if with_capacity else None), any_eligible

    def still_eligible(self, state: UpstreamState, service: str, homes: list[str], now: float) -> bool:
        """Returns whether a request may still be sent to an upstream that was picked earlier."""
        self.refresh(now)
        if self.upstreams.get(state.upstream.instance) is not state or state.upstream.service != service:
            return False
        item = self.replica.state.items.services.get(service)
        return self._eligible(state, homes, self.replica.state.settings.evacuated, now) and self._may_send_cold(
            state, item, now
        )

    def on_send(self, state: UpstreamState, now: float) -> None:
        """Records a send, directly before its first byte, and schedules the next one to a cold upstream."""
        state.sent_since_report += 1
        state.zone.on_send(now)
        if state.silent_since is None:
            state.silent_since = now
        item = self.replica.state.items.services.get(state.upstream.service)
        if state.is_cold(now) and item is not None and item.cold_per_s > 0:
            state.next_cold_send = now + self._cold_period_s(state, item)

    def on_response(self, state: UpstreamState, response: UpstreamResponse, latency: float, now: float) -> None:
        """Closes the circuit breaker, and takes over the usage and the cold time that the response reports."""
        state.breaker_open_s, state.breaker_open_until = BREAKER_OPEN_S, NEVER
        state.zone.on_response(latency)
        state.silent_since = now if state.in_flight > 1 else None
        state.latency += 0.2 * (latency - state.latency)
        terms = self.settings.terms
        if not (response.status == MISDIRECTED or terms.not_run and terms.not_run.lower() in response.header_map):
            state.record_outcome(response.status < SERVER_ERROR or response.status == GATEWAY_TIMEOUT, now)
        usage = response.header_map.get(terms.usage.lower()) if terms.usage else None
        if usage is not None:
            self._record_usage(state, usage, now)
        else:
            state.sent_since_report = max(0, state.sent_since_report - 1)
        cold_ms = response.header_map.get(terms.cold.lower(), "") if terms.cold else ""
        if cold_ms.isdigit() and int(cold_ms) > 0:
            self._mark_cold(state, now + int(cold_ms[:6]) / 1000, now)

    def on_timeout(self, state: UpstreamState, sent_at: float, now: float) -> None:
        """Handles a missing response: a failure if the upstream has answered nothing at all since the send.

        The idle connections are closed then: opening a new one shows whether the upstream is reachable, without risk
        to a request.
        """
        if self.is_silent(state, sent_at):
            self.on_failure(state, now)
            self.idle_connections.drop(state.upstream.instance)

    def on_abandon(self, state: UpstreamState) -> None:
        """Removes an abandoned request from the load estimate; its outcome and latency are unknown."""
        state.sent_since_report = max(0, state.sent_since_report - 1)
        if not state.in_flight:
            state.silent_since = None

    def is_silent(self, state: UpstreamState, since: float) -> bool:
        """Returns whether the upstream has answered no request at all since that time."""
        return state.silent_since is not None and state.silent_since <= since

    def on_failure(self, state: UpstreamState, now: float) -> None:
        """Opens the circuit breaker, for twice as long after each further failure."""
        state.silent_since = now if state.in_flight else None
        if now >= state.breaker_open_until:
            state.breaker_open_until, state.breaker_open_s = (
                now + state.breaker_open_s,
                min(MAX_BREAKER_OPEN_S, state.breaker_open_s * 2),
            )
        state.sent_since_report = max(0, state.sent_since_report - 1)

    def on_rejection(self, state: UpstreamState, status: int, now: float) -> None:
        """Avoids an upstream for a while that rejected a request without running it."""
        if status == MISDIRECTED:
            state.misdirected_until = now + MISDIRECTED_S
            return
        state.at_capacity_until = now + CAPACITY_REJECTION_S

    def max_in_flight(self, state: UpstreamState, item: ServiceItem | None) -> int:
        """Returns how many requests this proxy may have in flight at an upstream."""
        limit = state.upstream.slots + QUEUED_PER_UPSTREAM
        if item is not None and item.connections > 0:
            limit = min(limit, max(1, item.connections // self._proxy_count))
        if state.reported_at <= NEVER:
            limit = min(limit, max(1, -(-2 * state.upstream.slots // self._local_proxies)))
        return limit

    def budget(self, service: str) -> SlidingRetryBudget:
        """Returns the service's retry budget, with the floor for the current number of proxies."""
        budget = self._budgets.get(service)
        bounds = self.settings.budget
        if budget is None:
            budget = self._budgets[service] = SlidingRetryBudget(RETRY_RATIO_SHARE * bounds.ratio, bounds.span, 0.0)
        budget.floor = RETRY_SLACK_SHARE * bounds.slack / self._proxy_count
        return budget

    def refresh(self, now: float) -> None:
        """Takes over changes of the settings and of the registry."""
        state = self.replica.state
        registry, settings = state.registry, state.settings
        if settings.revision != self._settings_revision:
            self._settings_revision = settings.revision
            self._proxy_count = max(1, len(settings.roster))
            here = self.settings.locality
            self._local_proxies = max(1, sum(seat.locality == here for seat in settings.roster.values()))
            self._update_evacuated(dict(settings.evacuated), now)
        if registry is not self._registry or registry.revision != self._registry_revision:
            self._rebuild(registry, state.clock, now)

    def prune(self) -> None:
        """Closes connections that are unusable and drops the budgets of removed services."""
        if self.replica.state is None:
            return
        now = self.now()
        self.refresh(now)
        self.idle_connections.prune(set(self.upstreams), now)
        known = self.replica.state.items.services
        for service in [s for s in self._budgets if s not in known]:
            del self._budgets[service]

    def _rebuild(self, registry, clock: int, now: float) -> None:
        self._registry, self._registry_revision = registry, registry.revision
        states: dict[str, UpstreamState] = {}
        rings: dict[str, dict[int, list[UpstreamState]]] = {}
        for name, upstream in registry.rows.items():
            if upstream.state != "ready":
                continue
            state = self.upstreams.get(name)
            if (
                state is None
                or state.upstream.address != upstream.address
                or state.upstream.service != upstream.service
            ):
                state = UpstreamState(upstream, self.zones.setdefault(upstream.locality, ZoneHealth()))
            state.upstream = upstream
            if upstream.cold_until != state.registry_cold_until:
                state.registry_cold_until = upstream.cold_until
                self._mark_cold(state, now + max(0, upstream.cold_until - clock) / 1000, now)
            states[name] = state
            rings.setdefault(upstream.service, {}).setdefault(
                self.settings.locality.distance(upstream.locality), []
            ).append(state)
        self.upstreams = states
        self._by_distance = {service: sorted(ring.items()) for service, ring in rings.items()}

    def _update_evacuated(self, evacuated: dict[str, int], now: float) -> None:
        """Marks the upstreams of a zone cold whose evacuation has ended.

        They may be cold, and the heartbeat that reports it may not have arrived yet.
        """
        before, self._evacuated = self._evacuated, evacuated
        for zone in before.keys() - evacuated.keys():
            for state in self.upstreams.values():
                if is_evacuated(state.upstream.locality, {zone: 0}):
                    self._mark_cold(
                        state, now + COLD_AFTER_EVACUATION_HEARTBEATS * self.settings.heartbeat_ms / 1000, now
                    )

    def _mark_cold(self, state: UpstreamState, end: float, now: float) -> None:
        was_cold = state.is_cold(now)
        state.cold_end = max(state.cold_end, end) if was_cold else end
        if was_cold or not state.is_cold(now):
            return
        item = self.replica.state.items.services.get(state.upstream.service)
        if item is not None and item.cold_per_s > 0:
            state.next_cold_send = now + self.rng.random() * self._cold_period_s(state, item)

    def _may_send_cold(self, state: UpstreamState, item: ServiceItem | None, now: float) -> bool:
        if not state.is_cold(now) or item is None or item.cold_per_s <= 0:
            return True
        return self._cold_senders(state, item) > 0 and now >= state.next_cold_send

    def _cold_period_s(self, state: UpstreamState, item: ServiceItem) -> float:
        return max(1, self._cold_senders(state, item)) / (COLD_RATE_SHARE * item.cold_per_s)

    def _cold_senders(self, state: UpstreamState, item: ServiceItem) -> int:
        """Returns how many proxies share a cold upstream's request rate, 0 if this proxy is not among them.

        Each sends once a period, so in any second it exceeds its share by one request at most. As many proxies send
        as keep the sum below the limit: the nearest ones, in an order that all proxies compute alike.
        """
        if state.cold_senders_version == (self._settings_revision, item.version):
            return state.cold_senders
        bounds, rate = self.settings.cold, item.cold_per_s
        count = min(self._proxy_count, int(rate * bounds.over + bounds.slack - COLD_RATE_SHARE * rate + 1e-9))
        count = max(count, 1 if rate * bounds.over + bounds.slack >= 1 else 0)
        roster = self.replica.state.settings.roster
        order = sorted(
            roster,
            key=lambda proxy: (
                roster[proxy].locality.distance(state.upstream.locality),
                _hash(proxy, state.upstream.instance),
            ),
        )
        state.cold_senders_version, state.cold_senders = (
            (self._settings_revision, item.version),
            count if not order or str(self.replica.addr) in order[:count] else 0,
        )
        return state.cold_senders

    def _eligible(self, state: UpstreamState, homes: list[str], evacuated: dict[str, int], now: float) -> bool:
        locality: Locality = state.upstream.locality
        return (
            now >= state.misdirected_until
            and (not homes or locality.region in homes)
            and not (evacuated and is_evacuated(locality, evacuated))
        )

    def _less_loaded_of_two(self, healthy: list[UpstreamState], now: float, proxies: int) -> UpstreamState:
        """Returns the less loaded of two random upstreams (power of two choices)."""
        if len(healthy) == 1:
            return healthy[0]
        first, second = self.rng.sample(healthy, 2)
        return (
            first
            if first.utilization(now, proxies) + first.failure_score(now)
            <= second.utilization(now, proxies) + second.failure_score(now)
            else second
        )

    def _record_usage(self, state: UpstreamState, text: str, now: float) -> None:
        try:
            running, waiting = (int(number) for number in text.split(",")[:2])
        except ValueError:
            return
        state.reported_load, state.reported_at, state.sent_since_report = float(max(0, running + waiting)), now, 0


def _hash(proxy: str, instance: str) -> bytes:
    return hashlib.blake2b(f"{proxy}\0{instance}".encode(), digest_size=8).digest()
