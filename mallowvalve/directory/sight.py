"""What operators see of the directory's answers: counters by region and reason, an event where a reason changes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from mallowvalve.directory.answer import Choice, Reason
from mallowvalve.membership.wire import ALIVE, LEAVING, MemberRecord
from mallowvalve.metrics import Counts, log_event

MAX_CLIENT_GROUPS = 256
"""Regions, with the homes of what is asked for, that are counted by name; clients may write any."""

Place = tuple[str, frozenset[str] | None]
"""A client's region and the homes of what it asks for."""

OTHER_REGIONS = "other"


class AnswerMetrics:
    """Counts the answers given here and notes each change of how clients of a region with the same homes are answered.

    The event `directory_answers` says the region, the homes, the reason, the regions that are named, and how many of
    the region's proxies are ready or leaving.
    """

    __slots__ = ("_counts", "_by_region", "_last", "_note")

    def __init__(self, counts: Counts, note: Callable[..., None] = log_event) -> None:
        """Add to `counts`; `note` writes the events."""
        self._counts = counts
        self._by_region: Counter[str] = Counter()
        self._last: dict[Place, Reason] = {}
        self._note = note

    def record(self, region: str, homes: frozenset[str] | None, choice: Choice, known: Sequence[MemberRecord]) -> None:
        """An answer was given to a client of `region` out of the `known` proxies."""
        self._counts.add(f"directory_{choice.reason.value}")
        if choice.regions() not in ([], [region]):
            self._counts.add("directory_named_elsewhere")
        if (region, homes) not in self._last and len(self._last) >= MAX_CLIENT_GROUPS:
            region, homes = OTHER_REGIONS, None
        self._by_region[f"{region} {choice.reason.value}"] += 1
        if self._last.get((region, homes), Reason.OWN_REGION) is not choice.reason:
            self._tell(region, homes, choice, known)
        self._last[region, homes] = choice.reason

    def by_region(self) -> dict[str, int]:
        """Answers since the start of the process, by region and reason."""
        return dict(sorted(self._by_region.items()))

    def _tell(self, region: str, homes: frozenset[str] | None, choice: Choice, known: Sequence[MemberRecord]) -> None:
        own = [record for record in known if record.locality.region == region]
        self._note(
            "directory_answers",
            region=region,
            homes=sorted(homes or ()),
            reason=choice.reason.value,
            named_regions=choice.regions(),
            ready=sum(record.ready and record.state == ALIVE for record in own),
            leaving=sum(record.state == LEAVING for record in own),
        )
