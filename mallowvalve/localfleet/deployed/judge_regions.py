"""Judges losses of regions: the core answers while one is lost, and its voters are spread again after it is back."""

from __future__ import annotations

from mallowvalve.localfleet.deployed.records import Records


def check_regions(records: Records) -> list[str]:
    """Changes without an answer while one region was lost, and voters spread less evenly than they could be."""
    found = [
        f"ACKS: {loss.region} alone was lost, and a change sent {loss.asked_at - loss.at:.1f} s later got no answer"
        for loss in records.region_losses
        if not loss.acknowledged_at
    ]
    for places in records.voter_places:
        best = most_even(places.members, sum(places.voters.values()))
        if not places.voters:
            found.append(f"SPREAD: after {places.after} nobody said where the voters are")
        elif sorted(places.voters.values(), reverse=True) != best:
            found.append(f"SPREAD: after {places.after} the voters are {places.voters}, they could be {best}")
    return found


def most_even(members: dict[str, int], seats: int) -> list[int]:
    """Returns the most even numbers of seats in regions with so many members, in descending order, without zeros."""
    given = dict.fromkeys(members, 0)
    for _ in range(seats):
        open_regions = [region for region, count in members.items() if given[region] < count]
        if not open_regions:
            break
        given[min(open_regions, key=lambda region: given[region])] += 1
    return sorted((count for count in given.values() if count), reverse=True)
