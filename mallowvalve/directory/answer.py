"""Which proxies a client is told of, and why these.

A client takes any one of the proxies that it is told of, by chance, so none is named that is not wanted. The region
comes first: planned work leads nobody out of it while one proxy there accepts connections (docs/design/directory.md).
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Sequence
from zlib import crc32

import msgspec

from mallowvalve.membership.members import DepartedMember, accepts
from mallowvalve.membership.wire import ALIVE, FAILED, LEAVING, MemberRecord
from mallowvalve.types import Locality

PROXY_ROLE = "proxy"
MOST, ENOUGH = 64, 2
"""Proxies in an answer at most, and so many in a region that the loss of one is borne there."""

RECENT_FAILURE_S = 30.0
"""Seconds for which a failure in a region counts as one that another may follow."""

UNKNOWN_HOMES: frozenset[str] = frozenset()
"""Stands for homes that are not known yet: only the client's own region is sure to be allowed."""


class Reason(enum.Enum):
    """Why an answer names the proxies that it names."""

    OWN_REGION = "own_region"
    LONE = "lone"
    REST_FAILED = "rest_failed"
    HOME_REGION = "home_region"
    LEAVING = "leaving"
    NONE_ACCEPTS = "none_accepts"
    RETURNING = "returning"
    NOT_SETTLED = "not_settled"
    NOBODY = "nobody"


STABLE_REASONS = (Reason.OWN_REGION,)
"""Reasons that hold for long; what is named for another one is told for a shorter time."""


class Choice(msgspec.Struct, frozen=True):
    """The proxies of an answer, the nearest first, and why they were chosen; without any the answer is a refusal."""

    proxies: list[MemberRecord]
    reason: Reason

    def regions(self) -> list[str]:
        """The regions of the proxies that are named."""
        return sorted({record.locality.region for record in self.proxies})


class ProxyView(msgspec.Struct, frozen=True):
    """The proxies as a directory knows them: those that run, those that are gone, and whom it suspects.

    Who is gone is asked only where a region is short of proxies.
    """

    alive: Sequence[MemberRecord]
    gone: Callable[[], Sequence[DepartedMember]] = tuple
    suspects: Callable[[MemberRecord], bool] = lambda record: False


def choose_proxies(
    known: ProxyView, near: Locality, homes: frozenset[str] | None = None, most: int = MOST, patient: bool = True
) -> Choice:
    """Where a client at this place may go for a host or tenant with these homes (None: any region is as good).

    An evacuation empties upstreams, not proxies. Of more than `most`, those in the client's zone come first, and each
    zone leaves others out. With `patient` nobody is named while one that may serve
    is on its way back.
    """
    rows, reason = _choose(known, near, homes, patient)
    rows = sorted(rows, key=lambda r: (r.locality.distance(near), crc32(f"{near} {r.web}".encode()), r.web))
    return Choice(rows[:most], reason)


def _choose(
    known: ProxyView, near: Locality, homes: frozenset[str] | None, patient: bool
) -> tuple[list[MemberRecord], Reason]:
    """What serves nearest and may serve, by the order of `docs/design/directory.md`."""
    here = [record for record in known.alive if record.locality.region == near.region and record.role == PROXY_ROLE]
    own = _ready(known, here)
    if len(own) >= ENOUGH:
        return own, Reason.OWN_REGION
    proxies = [record for record in known.alive if record.role == PROXY_ROLE]
    if own:
        return _with_help(known, proxies, own, near.region, homes)
    home = _of(_ready(known, proxies), homes or ())
    if home:
        return home, Reason.HOME_REGION
    open_ = [record for record in proxies if accepts(record)]
    leaving = [record for record in open_ if not known.suspects(record)]
    for regions in ({near.region}, homes or ()):
        if found := _of(leaving, regions):
            return found, Reason.LEAVING
    if patient and _worth_waiting(known, proxies, near.region, homes):
        return [], Reason.RETURNING
    anywhere = _ready(known, proxies) or leaving or open_
    return (anywhere, Reason.NONE_ACCEPTS) if anywhere else ([], Reason.NOBODY)


def _with_help(
    known: ProxyView, proxies: list[MemberRecord], own: list[MemberRecord], region: str, homes: frozenset[str] | None
) -> tuple[list[MemberRecord], Reason]:
    """A region's one ready proxy; those that may serve help it where another one there has just failed."""
    if not _failed(known.gone(), region):
        return own, Reason.LONE
    ready = _ready(known, proxies)
    others = ready if homes is None else own + _of(ready, homes - {region})
    return (others, Reason.REST_FAILED) if len(others) > len(own) else (own, Reason.LONE)


def _ready(known: ProxyView, records: Iterable[MemberRecord]) -> list[MemberRecord]:
    return [record for record in records if record.ready and record.state == ALIVE and not known.suspects(record)]


def _of(records: Iterable[MemberRecord], regions: Iterable[str]) -> list[MemberRecord]:
    wanted = set(regions)
    return [record for record in records if record.locality.region in wanted]


def _failed(gone: Iterable[DepartedMember], region: str) -> bool:
    """Whether a proxy of the region failed so lately that another one may follow."""
    here = [one for one in gone if one.record.locality.region == region]
    return any(one.record.state == FAILED and one.departed_for_s < RECENT_FAILURE_S for one in here)


def _worth_waiting(
    known: ProxyView, proxies: Iterable[MemberRecord], region: str, homes: frozenset[str] | None
) -> bool:
    """Whether one that may serve is on its way back: it has left just now, or runs and does not accept yet.

    Without homes other regions are as good, but for a moment: of those that close at once one takes back its word.
    """
    silent = [record for record in proxies if not accepts(record) and not known.suspects(record)]
    if homes is None:
        return any(record.state == LEAVING for record in _of(silent, {region}))
    left = [one.record for one in known.gone() if one.is_expected_back()]
    return bool(_of([*left, *silent], {region, *homes}))
