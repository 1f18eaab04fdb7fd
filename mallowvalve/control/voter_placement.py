"""Where the core's voters should be: how evenly they are spread, which losses they survive, and the next better places.

Functions of the members' places alone. The aim, kept whenever all members run and have caught up: no region, and below
it no zone, holds more voters than the members' places allow at best (`spread`), and the number of voters is the one
that tolerates most of the `FaultBudget` (`preferred_seats`).

A placement that no exchange of one voter for one other member makes more even is as even as any: the spread is a
lexicographic order of counts in regions and, within them, in zones, for which a local optimum is a global one.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping

import msgspec

from mallowvalve.settings import FaultBudget
from mallowvalve.types import Locality

MAX_VOTERS = 5

Spread = tuple[tuple[int, ...], tuple[int, ...]]
"""The numbers of voters in each region, then in each zone, each in descending order; the smaller, the more even."""


class Exchange(msgspec.Struct, frozen=True):
    """A voter that is to give its seat to another member."""

    voter: str
    successor: str


class Tolerance(msgspec.Struct, frozen=True):
    """Which losses leave a majority of the voters: of any `machines` of them, and of which regions and zones.

    A majority does not survive the loss of a critical region or zone. Places without a voter are not named.
    """

    machines: int
    regions: tuple[str, ...]
    zones: tuple[str, ...]
    critical_regions: tuple[str, ...]
    critical_zones: tuple[str, ...]

    def meets(self, budget: FaultBudget) -> bool:
        """Whether each loss that the budget names leaves a majority."""
        return (
            self.machines >= budget.machines
            and not (budget.regions and self.critical_regions)
            and not (budget.zones and self.critical_zones)
        )


def spread(places: Iterable[Locality]) -> Spread:
    """Returns how voters at these places are spread."""
    zones = Counter(places)
    regions: Counter[str] = Counter()
    for place, count in zones.items():
        regions[place.region] += count
    return tuple(sorted(regions.values(), reverse=True)), tuple(sorted(zones.values(), reverse=True))


def tolerance(voters: Mapping[str, Locality], lost: Collection[str] = ()) -> Tolerance:
    """Returns which further losses leave a majority, of voters of which some are lost already."""
    alive = [place for voter, place in voters.items() if voter not in lost]
    spare = len(alive) - len(voters) // 2 - 1
    regions = Counter(place.region for place in alive)
    zones = Counter(map(str, alive))
    return Tolerance(
        max(0, spare),
        regions=_places(regions, 0, spare),
        zones=_places(zones, 0, spare),
        critical_regions=_places(regions, max(0, spare + 1), MAX_VOTERS),
        critical_zones=_places(zones, max(0, spare + 1), MAX_VOTERS),
    )


def _places(counts: Counter[str], least: int, most: int) -> tuple[str, ...]:
    """Returns the places with `least` to `most` voters, in order."""
    return tuple(sorted(place for place, count in counts.items() if least <= count <= most))


def evenly_chosen(members: Mapping[str, Locality], seats: int, kept: Collection[str] = ()) -> list[str]:
    """Returns this many members, spread as evenly as possible around those that are `kept`."""
    chosen = list(kept)
    regions = Counter(members[member].region for member in chosen)
    zones = Counter(members[member] for member in chosen)
    others = sorted(members.keys() - set(chosen))
    while others and len(chosen) < seats:
        added = min(others, key=lambda member: (regions[members[member].region], zones[members[member]], member))
        others.remove(added)
        chosen.append(added)
        regions[members[added].region] += 1
        zones[members[added]] += 1
    return chosen


def preferred_seats(members: Mapping[str, Locality], budget: FaultBudget) -> int:
    """Returns the number of voters among these members that tolerates most of the budget: odd, at most `MAX_VOTERS`.

    The loss of machines comes before that of a region or zone, since it may take their disks.
    """

    def rank(seats: int) -> tuple[int, bool, bool, int]:
        chosen = tolerance({member: members[member] for member in evenly_chosen(members, seats)})
        survives_region = bool(budget.regions) and not chosen.critical_regions
        survives_zone = bool(budget.zones) and not chosen.critical_zones
        return min(chosen.machines, budget.machines), survives_region, survives_zone, seats

    return max(range(1, min(MAX_VOTERS, len(members)) + 1, 2), key=rank, default=0)


def better_exchange(
    voters: Mapping[str, Locality], candidates: Mapping[str, Locality], kept: Collection[str] = ()
) -> Exchange | None:
    """Returns the exchange that makes the spread most even, or None if none helps; the `kept` keep their seats."""
    successors = {place: member for member, place in sorted(candidates.items(), reverse=True)}
    best, present = None, spread(voters.values())
    for voter in sorted(voters.keys() - set(kept)):
        others = [place for other, place in voters.items() if other != voter]
        for place, member in sorted(successors.items()):
            after = spread([*others, place])
            if after < present:
                best, present = Exchange(voter, member), after
    return best
