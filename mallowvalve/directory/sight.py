"""Observability of the directory's answers: counters by region and reason, and a log event when a reason changes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from mallowvalve.directory.answer import Choice, Reason
from mallowvalve.membership.wire import ALIVE, LEAVING, MemberRecord
from mallowvalve.metrics import Counts, log_event

MAX_CLIENT_GROUPS = 256
"""Client groups that are counted by name; the limit is needed because clients may send any region."""

ClientGroup = tuple[str, frozenset[str] | None]
"""A client's region and the home regions of the requested host or tenant."""

OTHER_REGIONS = "other"


class AnswerMetrics:
    """Counts this process's answers and logs an event when the reason changes for a client group.

    The event `directory_answers` holds the region, the home regions, the reason, the regions of the named proxies, and
    how many of the region's proxies are ready or leaving.
    """

    __slots__ = ("_counts", "_by_region", "_last_reason", "_log_event")

    def __init__(self, counts: Counts, log: Callable[..., None] = log_event) -> None:
        """Adds to `counts`; `log` writes the events."""
        self._counts = counts
        self._by_region: Counter[str] = Counter()
        self._last_reason: dict[ClientGroup, Reason] = {}
        self._log_event = log

    def record(
        self, region: str, homes: frozenset[str] | None, choice: Choice, proxies: Sequence[MemberRecord]
    ) -> None:
        """Records an answer to a client of `region`, selected from `proxies`."""
        self._counts.add(f"directory_{choice.reason.value}")
        if choice.regions() not in ([], [region]):
            self._counts.add("directory_named_elsewhere")
        if (region, homes) not in self._last_reason and len(self._last_reason) >= MAX_CLIENT_GROUPS:
            region, homes = OTHER_REGIONS, None
        self._by_region[f"{region} {choice.reason.value}"] += 1
        if self._last_reason.get((region, homes), Reason.OWN_REGION) is not choice.reason:
            self._log_change(region, homes, choice, proxies)
        self._last_reason[region, homes] = choice.reason

    def by_region(self) -> dict[str, int]:
        """Returns the number of answers since the process started, by region and reason."""
        return dict(sorted(self._by_region.items()))

    def _log_change(
        self, region: str, homes: frozenset[str] | None, choice: Choice, proxies: Sequence[MemberRecord]
    ) -> None:
        local = [record for record in proxies if record.locality.region == region]
        self._log_event(
            "directory_answers",
            region=region,
            homes=sorted(homes or ()),
            reason=choice.reason.value,
            named_regions=choice.regions(),
            ready=sum(record.ready and record.state == ALIVE for record in local),
            leaving=sum(record.state == LEAVING for record in local),
        )
