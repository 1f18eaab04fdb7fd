from __future__ import annotations

from zlib import crc32

from mallowvalve.membership.wire import ALIVE, Record
from mallowvalve.types import Address, Locality

MOST, ENOUGH = 64, 2


def proxies(records: list[Record], near: Locality, most: int = MOST) -> list[Address]:
    """Where a client at this place may go, the nearest first: it takes any one of them by chance.

    All that are ready in its region, if they are two at least, else all there are. An evacuation empties upstreams,
    not proxies. Of more than `most`, those in its zone come first, and each zone leaves others out.
    """
    ready = [r for r in records if r.role == "proxy" and r.state == ALIVE and r.ready]
    mine = [r for r in ready if r.locality.region == near.region]
    rows = mine if len(mine) >= ENOUGH else ready
    rows.sort(key=lambda r: (r.locality.distance(near), crc32(f"{near} {r.web}".encode()), r.web))
    return [r.web for r in rows[:most]]
