"""What a proxy knows of the upstreams of host routes: the registry's rows, and what it saw of each itself."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable

from mallowvalve.configuration.items import ServiceItem
from mallowvalve.control.replica import Replica
from mallowvalve.proxy.budget import Sliding
from mallowvalve.proxy.idle import Links
from mallowvalve.proxy.spot import BREAK, BREAK_MOST, NEVER, Spot, Zone
from mallowvalve.proxy.steps import GATEWAY_TIMEOUT, MISDIRECTED, SERVER_ERROR, Answer
from mallowvalve.settings import Settings
from mallowvalve.types import Locality, is_evacuated

FILL, FAR = 0.85, (0.0, 0.1, 0.5)
FULL = 0.2
DRAWN = 2
QUEUED = 2
COLD_SHARE = 0.9
WRONG = 5.0
BUDGET_SHARE, FLOOR_SHARE = 0.7, 0.5


class Place:
    """A place at an upstream and the connection opened for it, given back exactly once."""

    __slots__ = ("connection", "hosts", "spot", "streams", "idle", "sent_at", "_left")

    def __init__(self, hosts: Hosts, spot: Spot):
        """Take a place. `idle`: for how long its connection was not used (s), None for one just opened.

        `sent_at`: when the request was sent on it, on the proxy's own clock (s).
        """
        self.connection, self.hosts, self.spot, self.idle = None, hosts, spot, None
        self.sent_at: float | None = None
        self.streams = self._left = False
        spot.busy += 1

    def reuse(self, sure: bool, now: float) -> bool:
        self.connection = self.hosts.links.take(self.spot.up, now, sure)
        if self.connection is not None:
            self.idle = now - self.connection.since
        return self.connection is not None

    def sending(self, now: float) -> None:
        """Told right before the first byte."""
        self.sent_at = now
        self.hosts.sending(self.spot, now)

    def abandon(self) -> None:
        """Its client has left: the connection is closed at once, and the upstream is not judged by it."""
        if self._left:
            return
        self.back(keep=False)
        self.hosts.abandoned(self.spot)

    def back(self, keep: bool) -> None:
        """The place is free. A connection that is kept has rested since it was last sent on, not since it was taken."""
        if self._left:
            return
        self._left = True
        self.spot.busy -= 1
        if self.connection is not None and keep:
            used_at = self.hosts.now() if self.sent_at is not None else self.connection.since
            self.hosts.links.give(self.connection, used_at)
        elif self.connection is not None:
            self.connection.close()
        self.hosts.on_free(self.spot.up.service)


class Hosts:
    """The upstreams of host routes as this proxy knows them, its places at them, their budgets and connections."""

    __slots__ = (
        "replica",
        "settings",
        "rng",
        "now",
        "on_free",
        "links",
        "waiting",
        "spots",
        "zones",
        "_rings",
        "_registry",
        "_revision",
        "_budgets",
        "_share",
        "_proxies",
        "_roster",
        "_out",
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
        self.links = Links()
        self.waiting: dict[str, int] = {}
        self.spots: dict[str, Spot] = {}
        self.zones: dict[Locality, Zone] = {}
        self._rings: dict[str, list[tuple[int, list[Spot]]]] = {}
        self._registry, self._revision = None, -1
        self._budgets: dict[str, Sliding] = {}
        self._share = self._proxies = 1
        self._roster = -1
        self._out: dict[str, int] = {}

    def pick(self, service: str, homes: list[str], tried: set[str], now: float) -> tuple[Spot | None, bool]:
        """The upstream for the next request, and whether there is any that may take it at all."""
        self.sync(now)
        out, share, any_, free, rest = self.replica.state.settings.evacuated, self._share, False, [], []
        item = self.replica.state.items.services.get(service)
        for d, ring in self._rings.get(service, ()):
            ok = [s for s in ring if s.up.instance not in tried and self._may(s, homes, out, now)]
            any_ = any_ or bool(ok)
            ok = [s for s in ok if not s.full(now, share, self.most(s, item)) and self._warm(s, item, now)]
            good = [s for s in ok if s.sound(now)]
            free += ok
            if not good:
                continue
            s = self._two(good, now, share)
            f = s.fill(now, share) + s.ill(now)
            if f > FILL and len(good) > DRAWN:
                f, s = min(((x.fill(now, share) + x.ill(now), x) for x in good), key=lambda g: g[0])
            if f <= FILL:
                return s, True
            rest.append((f + FAR[d], s))
        if rest:
            return min(rest, key=lambda r: r[0])[1], True
        return (min(free, key=lambda s: s.broken_until) if free else None), any_

    def fits(self, s: Spot, service: str, homes: list[str], now: float) -> bool:
        """Whether what was chosen a moment ago may still be sent to."""
        self.sync(now)
        if self.spots.get(s.up.instance) is not s or s.up.service != service:
            return False
        item = self.replica.state.items.services.get(service)
        return self._may(s, homes, self.replica.state.settings.evacuated, now) and self._warm(s, item, now)

    def sending(self, s: Spot, now: float) -> None:
        """Told right before the first byte: a cold upstream's turn is used up."""
        s.since += 1
        s.zone.sending(now)
        if s.mute is None:
            s.mute = now
        item = self.replica.state.items.services.get(s.up.service)
        if s.cold(now) and item is not None and item.cold_per_s > 0:
            s.cold_next = now + self._period(s, item)

    def heard(self, s: Spot, a: Answer, took: float, now: float) -> None:
        s.pause, s.broken_until = BREAK, NEVER
        s.zone.heard(took)
        s.mute = now if s.busy > 1 else None
        s.latency += 0.2 * (took - s.latency)
        t = self.settings.terms
        if not (a.status == MISDIRECTED or t.not_run and t.not_run.lower() in a.said):
            s.judged(a.status < SERVER_ERROR or a.status == GATEWAY_TIMEOUT, now)
        usage = a.said.get(t.usage.lower()) if t.usage else None
        if usage is not None:
            self._usage(s, usage, now)
        else:
            s.since = max(0, s.since - 1)
        cold = a.said.get(t.cold.lower(), "") if t.cold else ""
        if cold.isdigit() and int(cold) > 0:
            self._chill(s, now + int(cold[:6]) / 1000, now)

    def late(self, s: Spot, sent_at: float, now: float) -> None:
        """No answer within the limit: its fault when it has answered nothing at all since.

        Whether it is there at all shows when a connection is opened, at no risk to a request.
        """
        if self.is_mute(s, sent_at):
            self.failed(s, now)
            self.links.drop(s.up.instance)

    def abandoned(self, s: Spot) -> None:
        """One request less is at work there; what it would have answered, and when, is not known."""
        s.since = max(0, s.since - 1)
        if not s.busy:
            s.mute = None

    def is_mute(self, s: Spot, since: float) -> bool:
        return s.mute is not None and s.mute <= since

    def failed(self, s: Spot, now: float) -> None:
        s.mute = now if s.busy else None
        if now >= s.broken_until:
            s.broken_until, s.pause = now + s.pause, min(BREAK_MOST, s.pause * 2)
        s.since = max(0, s.since - 1)

    def turned_away(self, s: Spot, status: int, now: float) -> None:
        if status == MISDIRECTED:
            s.wrong_until = now + WRONG
            return
        s.full_until = now + FULL

    def most(self, s: Spot, item: ServiceItem | None) -> int:
        own = s.up.slots + QUEUED
        if item is not None and item.connections > 0:
            own = min(own, max(1, item.connections // self._proxies))
        if s.base_at <= NEVER:
            own = min(own, max(1, -(-2 * s.up.slots // self._share)))
        return own

    def budget(self, service: str) -> Sliding:
        b = self._budgets.get(service)
        p = self.settings.budget
        if b is None:
            b = self._budgets[service] = Sliding(BUDGET_SHARE * p.ratio, p.span, 0.0)
        b.floor = FLOOR_SHARE * p.slack / self._proxies
        return b

    def sync(self, now: float) -> None:
        state = self.replica.state
        registry, p = state.registry, state.settings
        if p.revision != self._roster:
            self._roster = p.revision
            self._proxies = max(1, len(p.roster))
            here = self.settings.locality
            self._share = max(1, sum(seat.locality == here for seat in p.roster.values()))
            self._lifted(dict(p.evacuated), now)
        if registry is not self._registry or registry.revision != self._revision:
            self._rebuild(registry, state.clock, now)

    def tidy(self) -> None:
        if self.replica.state is None:
            return
        now = self.now()
        self.sync(now)
        self.links.tidy(set(self.spots), now)
        known = self.replica.state.items.services
        for s in [s for s in self._budgets if s not in known]:
            del self._budgets[s]

    def _rebuild(self, registry, clock: int, now: float) -> None:
        self._registry, self._revision = registry, registry.revision
        spots: dict[str, Spot] = {}
        rings: dict[str, dict[int, list[Spot]]] = {}
        for name, up in registry.rows.items():
            if up.state != "ready":
                continue
            s = self.spots.get(name)
            if s is None or s.up.address != up.address or s.up.service != up.service:
                s = Spot(up, self.zones.setdefault(up.locality, Zone()))
            s.up = up
            if up.cold_until != s.cold_until:
                s.cold_until = up.cold_until
                self._chill(s, now + max(0, up.cold_until - clock) / 1000, now)
            spots[name] = s
            rings.setdefault(up.service, {}).setdefault(self.settings.locality.distance(up.locality), []).append(s)
        self.spots = spots
        self._rings = {k: sorted(by.items()) for k, by in rings.items()}

    def _lifted(self, out: dict[str, int], now: float) -> None:
        """Upstreams of a zone given back may have become cold, and the heartbeat that says so may be on its way."""
        before, self._out = self._out, out
        for zone in before.keys() - out.keys():
            for s in self.spots.values():
                if is_evacuated(s.up.locality, {zone: 0}):
                    self._chill(s, now + 1.4 * self.settings.heartbeat_ms / 1000, now)

    def _chill(self, s: Spot, end: float, now: float) -> None:
        was = s.cold(now)
        s.cold_end = max(s.cold_end, end) if was else end
        if was or not s.cold(now):
            return
        item = self.replica.state.items.services.get(s.up.service)
        if item is not None and item.cold_per_s > 0:
            s.cold_next = now + self.rng.random() * self._period(s, item)

    def _warm(self, s: Spot, item: ServiceItem | None, now: float) -> bool:
        if not s.cold(now) or item is None or item.cold_per_s <= 0:
            return True
        return self._turns(s, item) > 0 and now >= s.cold_next

    def _period(self, s: Spot, item: ServiceItem) -> float:
        return max(1, self._turns(s, item)) / (COLD_SHARE * item.cold_per_s)

    def _turns(self, s: Spot, item: ServiceItem) -> int:
        """How many proxies share a cold upstream's rate, 0 when this one is not among them.

        Each sends once a period, so in any one second at most once more than its share: they are as many as leaves the
        sum below the bound, the nearest ones, ordered alike by all.
        """
        if s.cold_at == (self._roster, item.version):
            return s.cold_k
        c, rate = self.settings.cold, item.cold_per_s
        k = min(self._proxies, int(rate * c.over + c.slack - COLD_SHARE * rate + 1e-9))
        k = max(k, 1 if rate * c.over + c.slack >= 1 else 0)
        roster = self.replica.state.settings.roster
        order = sorted(roster, key=lambda a: (roster[a].locality.distance(s.up.locality), _mix(a, s.up.instance)))
        s.cold_at, s.cold_k = (self._roster, item.version), k if not order or str(self.replica.addr) in order[:k] else 0
        return s.cold_k

    def _may(self, s: Spot, homes: list[str], out: dict[str, int], now: float) -> bool:
        at: Locality = s.up.locality
        return now >= s.wrong_until and (not homes or at.region in homes) and not (out and is_evacuated(at, out))

    def _two(self, good: list[Spot], now: float, share: int) -> Spot:
        if len(good) == 1:
            return good[0]
        a, b = self.rng.sample(good, 2)
        return a if a.fill(now, share) + a.ill(now) <= b.fill(now, share) + b.ill(now) else b

    def _usage(self, s: Spot, text: str, now: float) -> None:
        try:
            running, waiting = (int(x) for x in text.split(",")[:2])
        except ValueError:
            return
        s.base, s.base_at, s.since = float(max(0, running + waiting)), now, 0


def _mix(a: str, b: str) -> bytes:
    return hashlib.blake2b(f"{a}\0{b}".encode(), digest_size=8).digest()
