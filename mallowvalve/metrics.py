"""Counters and the event log."""

from __future__ import annotations

import time
from collections import Counter, deque
from typing import Any

import eliot

from mallowvalve.log_queue import open_log


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


def log_event(event: str, **fields: Any) -> None:
    """Writes an event, usually a change of state, to the log and to `recent_events`."""
    recent_events.add(event, fields)
    eliot.log_message(message_type=event, **fields)


def log_to(path: str | None) -> None:
    """Sets the log's destination: a file that is appended to, or standard error; raises OSError."""
    eliot.to_file(open_log(path))
