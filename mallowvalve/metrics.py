"""Counters and the event log."""

from __future__ import annotations

import time
from bisect import bisect_left
from collections import Counter, deque
from itertools import accumulate
from typing import Any

import eliot
import msgspec


class Counts:
    """Counters by name; they start at 0 with the process and only increase."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        """Creates an empty set of counters."""
        self._counts: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Adds `amount` to a counter, which is created if missing."""
        self._counts[name] += amount

    def get(self, name: str) -> int:
        """Returns the value of a counter, 0 for an unknown one."""
        return self._counts[name]

    def snapshot(self) -> dict[str, int]:
        """Returns all existing counters by name."""
        return dict(sorted(self._counts.items()))


class DistributionSnapshot(msgspec.Struct, frozen=True):
    """How many values were at most each bound, in ascending order of the bounds, and the sum of all values."""

    bounds: tuple[float, ...]
    cumulative: list[int]
    count: int
    total: float


class Distribution:
    """Counts values in buckets; the exposition makes a histogram of them."""

    __slots__ = ("_bounds", "_buckets", "_total")

    def __init__(self, bounds: tuple[float, ...]) -> None:
        """Starts empty; `bounds` are the upper bounds of the buckets, in ascending order, without infinity."""
        self._bounds = bounds
        self._buckets = [0] * (len(bounds) + 1)
        self._total = 0.0

    def observe(self, value: float) -> None:
        """Counts a value."""
        self._buckets[bisect_left(self._bounds, value)] += 1
        self._total += value

    def snapshot(self) -> DistributionSnapshot:
        """Returns the counts so far."""
        cumulative = list(accumulate(self._buckets))
        return DistributionSnapshot(self._bounds, cumulative[:-1], cumulative[-1], self._total)


class RecentEvents:
    """The most recent log events, kept in memory for queries to a node."""

    __slots__ = ("_rows",)

    def __init__(self, max_events: int = 1000) -> None:
        """Keeps the last `max_events` events."""
        self._rows: deque[tuple[float, str, dict[str, Any]]] = deque(maxlen=max_events)

    def add(self, event: str, fields: dict[str, Any]) -> None:
        """Adds an event and drops the oldest one if the limit is reached."""
        self._rows.append((time.monotonic(), event, fields))

    def about(self, term: str) -> list[dict[str, Any]]:
        """Returns the events named `term` or with that value in a field, the oldest first; all if it is empty."""
        now = time.monotonic()
        return [
            {"ago_ms": int((now - at) * 1000), "what": event, **fields}
            for at, event, fields in self._rows
            if not term or term in (event, *map(str, fields.values()))
        ]


recent_events = RecentEvents()
_last_logged_at: dict[str, float] = {}
EVENT_INTERVAL_S = 1.0
"""The shortest time between two events of the same name from `log_event_rarely`."""


def log_event(event: str, **fields: Any) -> None:
    """Writes an event, usually a change of state, to the log and to `recent_events`."""
    recent_events.add(event, fields)
    eliot.log_message(message_type=event, **fields)


def log_event_rarely(event: str, **fields: Any) -> None:
    """Writes an event that others can bring about at any rate; the ones that come too soon are left out."""
    now = time.monotonic()
    if now - _last_logged_at.get(event, float("-inf")) >= EVENT_INTERVAL_S:
        _last_logged_at[event] = now
        log_event(event, **fields)
