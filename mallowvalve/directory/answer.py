"""Selection of the proxies that a directory answer names.

A client picks one of the named proxies at random, so an answer names only proxies that are meant to take its work.
Region affinity has priority: planned work sends no client out of its region while a proxy there accepts connections
(docs/design/directory.md).
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

MAX_NAMED_PROXIES = 64

MIN_READY_PROXIES = 2
"""Ready proxies with which a region tolerates the loss of one."""

RECENT_FAILURE_S = 30.0
"""Time after a proxy's failure during which another failure in its region counts as likely."""

UNKNOWN_HOMES: frozenset[str] = frozenset()
"""Home regions that are not known yet: only the client's own region is certainly allowed."""


class Reason(enum.Enum):
    """Reason for the selection of an answer's proxies."""

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
"""Reasons that last; answers with any other reason get a shorter time to live."""


class Choice(msgspec.Struct, frozen=True):
    """The selected proxies, the nearest first, and the reason. Without proxies the answer is a refusal."""

    proxies: list[MemberRecord]
    reason: Reason

    def regions(self) -> list[str]:
        """Returns the sorted regions of the selected proxies."""
        return sorted({record.locality.region for record in self.proxies})


class ProxyView(msgspec.Struct, frozen=True):
    """A directory's view of the members: the running ones, the departed ones, and which of them are suspected.

    `departed` is called only if a region is short of proxies.
    """

    alive: Sequence[MemberRecord]
    departed: Callable[[], Sequence[DepartedMember]] = tuple
    is_suspected: Callable[[MemberRecord], bool] = lambda record: False


def choose_proxies(
    view: ProxyView,
    near: Locality,
    homes: frozenset[str] | None = None,
    max_proxies: int = MAX_NAMED_PROXIES,
    wait_for_return: bool = True,
) -> Choice:
    """Selects the proxies for a client at `near` and a host or tenant with these home regions (None: any region).

    An evacuation drains upstreams, not proxies. Of more than `max_proxies`, those in the client's zone come first;
    each zone drops a different subset of the others. With `wait_for_return` the result is a refusal while an
    allowed proxy is expected back.
    """
    records, reason = _select(view, near, homes, wait_for_return)
    records = sorted(
        records,
        key=lambda record: (record.locality.distance(near), crc32(f"{near} {record.web}".encode()), record.web),
    )
    return Choice(records[:max_proxies], reason)


def _select(
    view: ProxyView, near: Locality, homes: frozenset[str] | None, wait_for_return: bool
) -> tuple[list[MemberRecord], Reason]:
    """Returns the nearest allowed proxies, in the order of preference of `docs/design/directory.md`."""
    local = [record for record in view.alive if record.locality.region == near.region and record.role == PROXY_ROLE]
    local_ready = _ready(view, local)
    if len(local_ready) >= MIN_READY_PROXIES:
        return local_ready, Reason.OWN_REGION
    proxies = [record for record in view.alive if record.role == PROXY_ROLE]
    if local_ready:
        return _single_ready_with_backup(view, proxies, local_ready, near.region, homes)
    in_home_regions = _in_regions(_ready(view, proxies), homes or ())
    if in_home_regions:
        return in_home_regions, Reason.HOME_REGION
    accepting = [record for record in proxies if accepts(record)]
    unsuspected = [record for record in accepting if not view.is_suspected(record)]
    for regions in ({near.region}, homes or ()):
        if found := _in_regions(unsuspected, regions):
            return found, Reason.LEAVING
    if wait_for_return and _is_return_expected(view, proxies, near.region, homes):
        return [], Reason.RETURNING
    anywhere = _ready(view, proxies) or unsuspected or accepting
    return (anywhere, Reason.NONE_ACCEPTS) if anywhere else ([], Reason.NOBODY)


def _single_ready_with_backup(
    view: ProxyView,
    proxies: list[MemberRecord],
    local_ready: list[MemberRecord],
    region: str,
    homes: frozenset[str] | None,
) -> tuple[list[MemberRecord], Reason]:
    """Returns a region's only ready proxy, with other allowed ones added if another proxy of the region just failed."""
    if not _has_recent_failure(view.departed(), region):
        return local_ready, Reason.LONE
    ready = _ready(view, proxies)
    allowed = ready if homes is None else local_ready + _in_regions(ready, homes - {region})
    return (allowed, Reason.REST_FAILED) if len(allowed) > len(local_ready) else (local_ready, Reason.LONE)


def _ready(view: ProxyView, records: Iterable[MemberRecord]) -> list[MemberRecord]:
    return [record for record in records if record.ready and record.state == ALIVE and not view.is_suspected(record)]


def _in_regions(records: Iterable[MemberRecord], regions: Iterable[str]) -> list[MemberRecord]:
    wanted = set(regions)
    return [record for record in records if record.locality.region in wanted]


def _has_recent_failure(departed: Iterable[DepartedMember], region: str) -> bool:
    """Returns whether a proxy of the region failed so recently that another failure is likely."""
    local = [member for member in departed if member.record.locality.region == region]
    return any(member.record.state == FAILED and member.departed_for_s < RECENT_FAILURE_S for member in local)


def _is_return_expected(
    view: ProxyView, proxies: Iterable[MemberRecord], region: str, homes: frozenset[str] | None
) -> bool:
    """Returns whether an allowed proxy has just left for a restart, or runs and does not accept connections yet.

    Without home regions any region will do, so only proxies of the own region that are leaving count: the wait covers
    the moment in which several proxies stop accepting at once and one of them reverts to accepting.
    """
    not_accepting = [record for record in proxies if not accepts(record) and not view.is_suspected(record)]
    if homes is None:
        return any(record.state == LEAVING for record in _in_regions(not_accepting, {region}))
    left = [member.record for member in view.departed() if member.is_expected_back()]
    return bool(_in_regions([*left, *not_accepting], {region, *homes}))
