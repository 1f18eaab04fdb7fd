"""Which proxies a client is told of, and why these."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from zlib import crc32

import msgspec

from mallowvalve.membership.wire import ALIVE, LEAVING, Record
from mallowvalve.types import Locality

MOST, ENOUGH = 64, 2
"""Proxies in an answer at most, and so many of a region that the others are not named."""


class Reason(enum.Enum):
    """Why an answer names the proxies that it names."""

    OWN_REGION = "own_region"
    TOO_FEW_READY = "too_few_ready"
    NONE_READY = "none_ready"
    ONLY_LEAVING = "only_leaving"
    NOBODY = "nobody"


class Choice(msgspec.Struct, frozen=True):
    """The proxies of an answer, the nearest first, and why they were chosen."""

    named: list[Record]
    reason: Reason

    def regions(self) -> list[str]:
        """The regions of the proxies that are named."""
        return sorted({record.locality.region for record in self.named})


def serving(records: Sequence[Record]) -> list[Record]:
    """The proxies that take new connections: those that are ready, or, without any, those that were and leave now.

    One that leaves serves on for a while; it is better than nobody.
    """
    ready = [r for r in records if r.role == "proxy" and r.ready and r.state in (ALIVE, LEAVING)]
    return [r for r in ready if r.state == ALIVE] or ready


def choose(records: Sequence[Record], near: Locality, most: int = MOST) -> Choice:
    """Where a client at this place may go, the nearest first: it takes any one of them by chance.

    All that serve in its region, if they are two at least, else all there are. An evacuation empties upstreams,
    not proxies. Of more than `most`, those in its zone come first, and each zone leaves others out.
    """
    ready = serving(records)
    mine = [r for r in ready if r.locality.region == near.region]
    rows = mine if len(mine) >= ENOUGH else ready
    rows.sort(key=lambda r: (r.locality.distance(near), crc32(f"{near} {r.web}".encode()), r.web))
    return Choice(rows[:most], _reason(rows, len(mine)))


def _reason(rows: list[Record], of_the_region: int) -> Reason:
    if not rows:
        return Reason.NOBODY
    if rows[0].state == LEAVING:
        return Reason.ONLY_LEAVING
    if of_the_region >= ENOUGH:
        return Reason.OWN_REGION
    return Reason.TOO_FEW_READY if of_the_region else Reason.NONE_READY
