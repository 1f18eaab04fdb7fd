"""Seeded days of planned work under a directory: whom clients are led to while machines are stopped in turn."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import msgspec

from sim.directory_fleet import GRACE, Day, SimProxy, Visit

BEGIN, LENGTH = 4.0, 30.0
SPREAD = 0.5
"""How long a door must have been open (s) until every directory is held to know of it: two lost datagrams and a digest."""
GAP = 0.15
"""For how long nobody of a region may accept (s): a turn of the loop and a datagram between two neighbours."""
MOST_A_REGION = 5
CLIENTS = 9


def drawn(seed: int) -> Day:
    """One to three regions with two to five proxies each, and clients of hosts with and without homes."""
    day = Day(seed, [], BEGIN, LENGTH)
    counts = [day.rng.randint(2, MOST_A_REGION) for _ in range(day.rng.randint(1, 3))]
    day = Day(seed, counts, BEGIN, LENGTH)
    kinds = [None, frozenset(day.regions[:1]), frozenset(day.regions[:2])]
    day.clients(CLIENTS, lambda n: kinds[n % 3])
    return day


def in_turn(day: Day) -> None:
    """Every proxy in turn, with a gap between a moment and the grace."""
    gap = day.rng.choice([0.2, 0.4, 0.8, 1.2, 2.0, 3.0, GRACE])
    order = list(day.proxies.values())
    day.rng.shuffle(order)
    for i, proxy in enumerate(order):
        day.world.at(BEGIN + 2.0 + i * gap, proxy.stop)


def region_by_region(day: Day) -> None:
    """The proxies of one region after another, the quicker the more there are."""
    gap = day.rng.uniform(0.2, 2.0)
    at = BEGIN + 2.0
    for region in day.regions:
        for proxy in day.of(region):
            day.world.at(at, proxy.stop)
            at += gap


def at_once(day: Day) -> None:
    """All proxies of a region at the same moment, one region after another."""
    for i, region in enumerate(day.regions):
        for proxy in day.of(region):
            day.world.at(BEGIN + 2.0 + 5.0 * i, proxy.stop)


def twice_across(day: Day) -> None:
    """Two rounds that overlap, the second begun before the first has come round."""
    in_turn(day)
    order = list(day.proxies.values())
    for i, proxy in enumerate(order):
        day.world.at(BEGIN + 4.5 + i * day.rng.uniform(0.5, 2.0), proxy.stop)


def with_directories(day: Day) -> None:
    """The same while the directories are restarted in turn too."""
    in_turn(day)
    for i, directory in enumerate(day.directories):
        day.world.at(BEGIN + 2.5 + 1.7 * i, directory.stop)


def directories_again_and_again(day: Day) -> None:
    """Every directory starts anew each few seconds, knowing nobody, while the proxies are stopped in turn."""
    in_turn(day)
    for directory in day.directories:
        at = BEGIN + day.rng.random()
        while at < LENGTH:
            day.world.at(at, directory.stop)
            at += day.rng.uniform(1.5, 3.0)


PLANNED: dict[str, Callable[[Day], None]] = {
    f.__name__: f
    for f in (in_turn, region_by_region, at_once, twice_across, with_directories, directories_again_and_again)
}


DEATH = BEGIN + 6.0
CUT, BACK = 1.6, 5.0
"""How long a machine is cut off, too short for the detector mostly, and after how long all must be as before (s)."""


class Lone(msgspec.Struct, frozen=True):
    """What became of a region whose only proxy died unseen: shares of its requests, and seconds after the death."""

    led_away_before: float
    failed_after: float
    last_failure: float


def play_cut_off(seed: int, homes: frozenset[str] | None) -> tuple[float, float]:
    """A region's only proxy is cut off from the directories for a while: the shares of requests led away then and later.

    Later is from `BACK` seconds after the cut has healed.
    """
    day = Day(seed, [1, 3, 3], BEGIN, LENGTH)
    day.clients(CLIENTS, lambda n: homes)
    region = day.regions[0]
    others = [a for a in (*day.proxies, *(d.addr for d in day.directories)) if a != day.of(region)[0].addr]
    day.world.at(DEATH, lambda: day.world.split([day.of(region)[0].addr], others))
    day.world.at(DEATH + CUT, day.world.heal)
    day.run()
    there = [v for v in day.visits if v.client.region == region]
    meanwhile = [v.region != region for v in there if DEATH < v.at < DEATH + CUT]
    later = [v.region != region for v in there if v.at > DEATH + CUT + BACK]
    return sum(meanwhile) / len(meanwhile), sum(later) / len(later)


def play_lone(seed: int, homes: frozenset[str] | None) -> Lone:
    """A region with one proxy, which dies without a word, beside two regions with three."""
    day = Day(seed, [1, 3, 3], BEGIN, LENGTH)
    day.clients(CLIENTS, lambda n: homes)
    region = day.regions[0]
    at = DEATH + 3.0 * day.rng.random()
    day.world.at(at, day.of(region)[0].kill)
    day.run()
    visits = [visit for visit in day.visits if visit.client.region == region]
    before, after = [v for v in visits if v.at < at], [v for v in visits if v.at >= at]
    failed = [v for v in after if v.region is None]
    away = sum(v.region not in (region, None) for v in before)
    return Lone(away / len(before), len(failed) / len(after), max((v.at for v in failed), default=at) - at)


def allowed(visit: Visit) -> set[str]:
    """The regions that a request may be led to: its client's, and its homes."""
    return {visit.client.region, *(visit.homes or ())}


def findings(day: Day) -> list[str]:
    """Who was led away from a region that accepted, and regions of two or more in which nobody accepted."""
    return [*_led_elsewhere(day), *_gaps(day)]


def _led_elsewhere(day: Day) -> list[str]:
    out = []
    for visit in day.visits:
        if visit.region is None or visit.region in allowed(visit):
            continue
        open_there = [
            p
            for p in day.proxies.values()
            if p.locality.region in allowed(visit) and p.accepted_since(visit.asked_at - SPREAD, visit.asked_at)
        ]
        if open_there:
            out.append(
                f"{visit.at:.2f} s: {visit.client} led to {visit.region} by an answer of {visit.asked_at:.2f} s"
                f" ({visit.reason}), homes {sorted(visit.homes or ())}, {len(open_there)} accepted"
            )
    return out


def _gaps(day: Day) -> list[str]:
    out = []
    for region in day.regions:
        shut = _nobody(day.of(region))
        out += [f"{region}: nobody accepts from {a:.2f} to {b:.2f} s" for a, b in shut if b - a > GAP]
    return out


def _nobody(proxies: list[SimProxy]) -> list[tuple[float, float]]:
    """The spans after the beginning in which none of these accepts."""
    events = sorted((at, 1 if opens else -1) for p in proxies for at, opens in p.doors)
    count, since, out = 0, None, []
    for at, step in events:
        count += step
        if count == 0:
            since = at
        elif since is not None:
            out.append((since, at))
            since = None
    if since is not None:
        out.append((since, LENGTH))
    return [(max(a, BEGIN), b) for a, b in out if b > BEGIN]


def play_directory_day(name: str, seed: int) -> tuple[list[str], dict[str, int]]:
    """Findings, and what happened, counted."""
    day = drawn(seed)
    PLANNED[name](day)
    day.run()
    return findings(day), counted(day)


def counted(day: Day) -> dict[str, int]:
    """Requests by what became of them, and restarts."""
    counts = Counter(requests=len(day.visits))
    for visit in day.visits:
        if visit.region is None:
            counts["failed"] += 1
        elif visit.region == visit.client.region:
            counts["own region"] += 1
        elif visit.region in allowed(visit):
            counts["home region"] += 1
        else:
            counts["elsewhere"] += 1
    counts["restarts"] = sum(opens for p in day.proxies.values() for _, opens in p.doors) - len(day.proxies)
    return dict(counts)
