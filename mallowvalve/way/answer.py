from __future__ import annotations

from zlib import crc32

from mallowvalve.bond.wire import ALIVE, Record
from mallowvalve.kind import Address, Locality

MOST, ENOUGH = 64, 2
MORE = 1.6


def proxies(records: list[Record], near: Locality, most: int = MOST) -> list[Address]:
    """Where a consumer at this place may go, the nearest first: it takes any one of them by chance.

    All that are ready in its region, if they are two at least, else all there are. An evacuation empties upstreams,
    not proxies. Of more than `most`, those in its zone come first, and each zone leaves others out.
    """
    ready = [r for r in records if r.role == "flow" and r.state == ALIVE and r.ready]
    mine = [r for r in ready if r.locality.region == near.region]
    rows = mine if len(mine) >= ENOUGH else ready
    rows = _spread(rows, near) if rows is mine else rows
    rows.sort(key=lambda r: (r.locality.distance(near), crc32(f"{near} {r.web}".encode()), r.web))
    return [r.web for r in rows[:most]]


def _spread(rows: list[Record], near: Locality) -> list[Record]:
    """Names the others twice where one zone has more than half: consumers choose by chance, by this as often there.

    When that zone is lost, a consumer's next choice is then likelier to be alive. None gets over `MORE` times its even
    share by it.
    """
    by: dict[str, list[Record]] = {}
    for r in rows:
        by.setdefault(r.locality.zone, []).append(r)
    big = max(map(len, by.values()))
    others = len(rows) - big
    if not others or big <= others or 2 * len(rows) > MORE * (len(rows) + others):
        return rows
    return rows + [r for z in by.values() if len(z) < big for r in z]
