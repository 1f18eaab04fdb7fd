"""Counters, the event log, and supervision of the tasks that a process cannot run without."""

from __future__ import annotations

import os
import sys
import time
from collections import Counter, deque
from pathlib import Path
from typing import TYPE_CHECKING, Any

import eliot

if TYPE_CHECKING:
    from gevent import Greenlet

TASK_DIED_EXIT_CODE = 70
"""Exit code of a process whose vital task died: EX_SOFTWARE of sysexits.h."""


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


def exit_on_failure(task: Greenlet) -> Greenlet:
    """Returns the same task; an exception in it ends the process with exit code 70."""
    task.link_exception(_exit_process)
    return task


def _exit_process(task: Greenlet) -> None:
    log_event("task_died", task=str(task), error=repr(task.exception))
    os._exit(TASK_DIED_EXIT_CODE)


def log_to(path: str | None) -> None:
    """Sets the log's destination: a file that is appended to without a buffer, or standard error."""
    eliot.to_file(sys.stderr if path is None else Path(path).open("ab", buffering=0))
