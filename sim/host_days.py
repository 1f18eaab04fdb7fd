"""Seeded days of a fleet of proxies: machines stopped in turn, clients who leave, upstreams in trouble; every request's
fate is kept, and judged by what clients were told and upstreams saw."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from mallowvalve.proxy.steps import OK, REDIRECT
from mallowvalve.types import Address, Locality
from mallowvalve.upstreams.registry import Upstream
from sim.host_fleet import GRACE, LAG, Call, HostProxy, SimUpstream, items
from sim.world import World

PROXIES, UPSTREAMS, CLIENTS, SLOTS = 30, 24, 60, 6
LIMITS = {"read": (1.5, 6.0), "try": (1.0, 4.0)}
"""Between which the limits of a day are drawn (s)."""
WORK = 0.3
LENGTH = 24.0
PAUSE = 0.25
STALE = 3.0
SOON = 0.5
LATE_WORK = 5 / 6
"""What is at work in this part of the grace or later may be cut, if it was sent by `EARLY_PART` of it."""
EARLY_PART = 0.5
ZONES = [Locality("eu", "eu-a"), Locality("eu", "eu-b"), Locality("us", "us-a")]


class HostDay:
    """One seeded day."""

    def __init__(self, seed: int, leavers: float = 0.0):
        self.world, self.leavers = World(seed), leavers
        self.rng = self.world.rng
        self.calls: list[Call] = []
        self.upstreams = [self._upstream(i) for i in range(UPSTREAMS)]
        self.limits = {kind: self.rng.uniform(*bounds) for kind, bounds in LIMITS.items()}
        routes = items(self.limits, tries=2)
        self.proxies = [HostProxy(self.world, i, ZONES[i % 3], self.upstreams, routes) for i in range(PROXIES)]
        for n in range(CLIENTS):
            self.world.after(1.0 + self.rng.random() * PAUSE, lambda n=n: self._ask(n, None))

    def _upstream(self, i: int) -> SimUpstream:
        where = ZONES[i % 3]
        row = Upstream(f"u{i}", "s", Address("10.9.0.1", 1000 + i), where, SLOTS, "ready", 0, 0, 0)
        return SimUpstream(self.world, row, WORK * self.rng.choice([0.5, 1.0, 1.5]))

    def run(self) -> None:
        self.world.run(LENGTH)
        for p in self.proxies:
            p.busy_at_end += [s.upstream.instance for s in p.hosts.upstreams.values() if s.in_flight and not p.open]

    def roll(self, at: float, together: int, gap: float) -> None:
        """All proxies in turn get SIGTERM, so many at a time."""
        order = self.rng.sample(self.proxies, len(self.proxies))
        for i, p in enumerate(order):
            self.world.at(at + i // together * gap + self.rng.random() * 0.2, p.stop)

    def trouble(self, at: float, length: float, share: float, **how: float) -> None:
        """For a while, a share of the upstreams is slow, hangs, breaks off or is dark."""
        some = self.rng.sample(self.upstreams, max(1, int(share * UPSTREAMS)))
        for u in some:
            for name, value in how.items():
                well = getattr(u, name)
                self.world.at(at, lambda u=u, n=name, v=value: setattr(u, n, v))
                self.world.at(at + length, lambda u=u, n=name, v=well: setattr(u, n, v))

    def _ask(self, n: int, kept: HostProxy | None) -> None:
        if self.world.now > LENGTH - LIMITS["read"][1]:
            return
        kind = "read" if self.rng.random() < 0.7 else "try"
        call = Call(f"{n}.{len(self.calls)}", kind, self.limits[kind], self.world.now)
        self.calls.append(call)
        proxy = kept or self.rng.choice(self.proxies)
        self.world.after(LAG, lambda: self._arrive(n, call, proxy, kept is not None))
        if self.rng.random() < self.leavers:
            self.world.after(self.rng.random() * 0.8 * call.limit, lambda: self._leave(n, call, proxy))

    def _arrive(self, n: int, call: Call, proxy: HostProxy, kept: bool) -> None:
        if call.left is not None:
            return
        if not proxy.listens:
            call.closed = "not read"
            self.world.after(PAUSE, lambda: self._ask(n, None))
            return
        proxy.take(call, lambda c: self.world.after(LAG, lambda: self._answered(n, c, proxy)))

    def _answered(self, n: int, call: Call, proxy: HostProxy) -> None:
        if call.left is not None:
            return
        stays = proxy.told_at is None and not call.reply.close and self.rng.random() < 0.8
        self.world.after(PAUSE * self.rng.random(), lambda: self._ask(n, proxy if stays else None))

    def _leave(self, n: int, call: Call, proxy: HostProxy) -> None:
        if call.answered is not None or call.closed:
            return
        call.left = self.world.now
        self.world.after(LAG, lambda: proxy.client_left(call))
        self.world.after(PAUSE, lambda: self._ask(n, None))


def findings(day: HostDay) -> list[str]:
    """What was broken, by request."""
    return [
        *(f"{c.id}: {text}" for c in day.calls for text in (*_lost(c), *_gone(c), *_promises(c))),
        *(f"{p.name}: places not given back: {p.busy_at_end[:3]}" for p in day.proxies if p.busy_at_end),
    ]


def _succeeded(c: Call) -> bool:
    return c.reply is not None and c.reply.answer is not None and OK <= c.reply.status < REDIRECT


def _lost(c: Call) -> list[str]:
    """Read whole, therefore answered whole: no upstream at work is left before its limit for an answer of our own."""
    if c.read is None or c.left is not None or _succeeded(c):
        return []
    at = c.answered if c.answered is not None else LENGTH
    if at >= c.read + c.limit - 2 * LAG - 0.02:
        return []
    if c.reply is None and c.closed == "":
        return ["neither answered nor closed"]
    if _may_be_cut(c, at):
        return []
    left = [r for r in c.runs if r.how == "cut" and r.ended <= at + SOON]
    if left:
        return [f"{left[0].upstream} was at work when {c.closed or c.reply.status} came, {at - c.read:.2f} s after"]
    return [c.closed] if c.closed else []


def _may_be_cut(c: Call, at: float) -> bool:
    if not c.closed or c.told_at is None:
        return False
    return c.sent <= c.told_at + EARLY_PART * GRACE and at >= c.told_at + LATE_WORK * GRACE


def _gone(c: Call) -> list[str]:
    if c.left is None:
        return []
    out = [
        f"sent to {r.upstream} {r.began - c.left:.2f} s after its client left"
        for r in c.runs
        if r.began > c.left + SOON
    ]
    for r in c.runs:
        on_until = r.ended if r.ended is not None else LENGTH
        if c.kind == "read" and on_until > c.left + SOON and r.began <= c.left + SOON:
            out.append(f"{r.upstream} worked on for {on_until - c.left:.2f} s after its client left")
        stopped = r.how == "cut" and r.ended < c.read + c.limit - 0.1
        if c.kind == "try" and stopped and not c.closed:
            out.append(f"what may not be repeated was stopped at {r.upstream}")
    return out


def _promises(c: Call) -> list[str]:
    out = []
    if c.kind == "try" and len(c.runs) > 1:
        out.append("ran twice")
    if c.reply is not None and c.reply.outcome == "not-run" and c.runs:
        out.append("told not-run, and ran")
    return out


def rolls(day: HostDay) -> None:
    """In turn, five at a time."""
    day.roll(3.0, 5, 1.0)


def rolls_slow(day: HostDay) -> None:
    """In turn, while upstreams are slow enough for many requests to run to their limit, and proxies slow to notice."""
    for p in day.proxies:
        p.sluggish = 0.5
    day.roll(3.0, 6, 1.2)
    day.trouble(2.0, 14.0, 0.4, slow=4.0)


def rolls_hang(day: HostDay) -> None:
    """In turn, while upstreams hang or break off a part of what they are sent."""
    day.roll(3.0, 6, 0.8)
    day.trouble(2.0, 14.0, 0.3, hangs=0.3)
    day.trouble(2.0, 14.0, 0.2, hangs=1.0)
    day.trouble(2.0, 14.0, 0.5, breaks=0.4)


def rolls_dark(day: HostDay) -> None:
    """In turn, while upstreams go dark by turns."""
    day.roll(3.0, 6, 1.0)
    for i in range(8):
        day.trouble(2.0 + 1.5 * i, 1.2, 0.25, dark=True)
    day.trouble(2.0, 14.0, 0.2, slow=3.0)


def leavers(day: HostDay) -> None:
    """Half of the clients leave, while upstreams hang, break off and are dark."""
    day.leavers = 0.5
    day.trouble(2.0, 14.0, 0.3, hangs=0.5)
    day.trouble(4.0, 10.0, 0.2, breaks=0.3)
    for i in range(6):
        day.trouble(3.0 + 2.0 * i, 1.0, 0.3, dark=True)


def leavers_and_rolls(day: HostDay) -> None:
    """The same while all proxies are stopped in turn."""
    leavers(day)
    rolls_slow(day)


HOST_DAYS: dict[str, Callable[[HostDay], None]] = {
    f.__name__: f for f in (rolls, rolls_slow, rolls_hang, rolls_dark, leavers, leavers_and_rolls)
}


def play_host_day(name: str, seed: int) -> tuple[list[str], dict[str, int]]:
    """Findings, and what happened, counted."""
    day = HostDay(seed)
    HOST_DAYS[name](day)
    day.run()
    counts = Counter(calls=len(day.calls), served=sum(map(_succeeded, day.calls)))
    counts["left"] = sum(c.left is not None for c in day.calls)
    counts["refused"] = sum(c.reply is not None and c.reply.outcome == "not-run" for c in day.calls)
    counts["stops"] = sum(p.life > 1 for p in day.proxies)
    return findings(day), dict(counts)
