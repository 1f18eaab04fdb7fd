from __future__ import annotations

from math import ceil
from zlib import crc32

from mallowvalve.bond.wire import ALIVE, Record
from mallowvalve.kind import Address, Locality

MOST, ENOUGH = 64, 2
MORE = 1.5


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
    """Leaves out some of a zone that is more than half of all, a different lot for each asking zone.

    When that zone is lost, a consumer's second choice is then likelier to be alive. None gets over `MORE` times its
    even share by it.
    """
    by: dict[str, list[Record]] = {}
    for r in sorted(rows, key=lambda r: str(r.web)):
        by.setdefault(r.locality.zone, []).append(r)
    zone = max(by, key=lambda z: (len(by[z]), z))
    big = by[zone]
    others = len(rows) - len(big)
    keep = max(others, ceil(len(rows) / MORE - others))
    if not others or keep >= len(big):
        return rows
    at = sorted({*by, near.zone}).index(near.zone) * keep
    lot = {big[(at + i) % len(big)].web for i in range(keep)}
    return [r for r in rows if r.locality.zone != zone or r.web in lot]
