"""Which proxies a client is told of."""

from __future__ import annotations

from zlib import crc32

from mallowvalve.membership.wire import ALIVE, LEAVING, Record
from mallowvalve.types import Address, Locality

MOST, ENOUGH = 64, 2
"""Proxies in an answer at most, and so many of a region that the others are not named."""


def serving(records: list[Record]) -> list[Record]:
    """The proxies that take new connections: those that are ready, or, without any, those that were and leave now.

    One that leaves serves on for a while; it is better than nobody.
    """
    ready = [r for r in records if r.role == "proxy" and r.ready and r.state in (ALIVE, LEAVING)]
    return [r for r in ready if r.state == ALIVE] or ready


def proxies(records: list[Record], near: Locality, most: int = MOST) -> list[Address]:
    """Where a client at this place may go, the nearest first: it takes any one of them by chance.

    All that serve in its region, if they are two at least, else all there are. An evacuation empties upstreams,
    not proxies. Of more than `most`, those in its zone come first, and each zone leaves others out.
    """
    ready = serving(records)
    mine = [r for r in ready if r.locality.region == near.region]
    rows = mine if len(mine) >= ENOUGH else ready
    rows.sort(key=lambda r: (r.locality.distance(near), crc32(f"{near} {r.web}".encode()), r.web))
    return [r.web for r in rows[:most]]
