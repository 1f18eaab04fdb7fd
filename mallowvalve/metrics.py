"""Counters, the last changes of state, the log, and the watch over jobs that a process cannot live without."""

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

DIED = 70
"""The exit code of a process whose vital job died: EX_SOFTWARE of sysexits.h."""


class Counts:
    """Counters by name; they only rise, and begin at 0 with the process."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        """No counter at first."""
        self._counts: Counter[str] = Counter()

    def add(self, name: str, n: int = 1) -> None:
        """Add `n` to a counter, which need not exist."""
        self._counts[name] += n

    def get(self, name: str) -> int:
        """The value of a counter, 0 if nothing was counted."""
        return self._counts[name]

    def snapshot(self) -> dict[str, int]:
        """All counters that exist, by name."""
        return dict(sorted(self._counts.items()))


class RecentEvents:
    """The last changes of state, for whoever asks a node what it did."""

    __slots__ = ("_rows",)

    def __init__(self, most: int = 1000) -> None:
        """Keep `most` changes."""
        self._rows: deque[tuple[float, str, dict[str, Any]]] = deque(maxlen=most)

    def add(self, what: str, fields: dict[str, Any]) -> None:
        """Note a change; the oldest one is dropped where there is no room."""
        self._rows.append((time.monotonic(), what, fields))

    def about(self, thing: str) -> list[dict[str, Any]]:
        """Changes, the oldest first, that are called `thing` or have a field of that value; all if it is empty."""
        now = time.monotonic()
        return [
            {"ago_ms": int((now - at) * 1000), "what": what, **fields}
            for at, what, fields in self._rows
            if not thing or thing in (what, *map(str, fields.values()))
        ]


recent_events = RecentEvents()


def log_event(what: str, **fields: Any) -> None:
    """Note a change of state and write it to the log."""
    recent_events.add(what, fields)
    eliot.log_message(message_type=what, **fields)


def exit_on_failure(job: Greenlet) -> Greenlet:
    """The same job; if it ends by an exception, the process ends with code 70."""
    job.link_exception(_died)
    return job


def _died(job: Greenlet) -> None:
    log_event("task_died", task=str(job), error=repr(job.exception))
    os._exit(DIED)


def log_to(path: str | None) -> None:
    """Where the log goes from now on: a file that is appended to without a buffer, or standard error."""
    eliot.to_file(sys.stderr if path is None else Path(path).open("ab", buffering=0))
