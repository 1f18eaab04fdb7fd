from __future__ import annotations

import os
import sys
import time
from collections import Counter, deque

import eliot


class Counts:
    __slots__ = ("_c",)

    def __init__(self):
        self._c = Counter()

    def add(self, name: str, n: int = 1) -> None:
        self._c[name] += n

    def get(self, name: str) -> int:
        return self._c[name]

    def snapshot(self) -> dict[str, int]:
        return dict(sorted(self._c.items()))


class Recent:
    """The last changes of state, for whoever asks a node what it did."""

    __slots__ = ("_rows",)

    def __init__(self, most: int = 1000):
        self._rows: deque = deque(maxlen=most)

    def add(self, what: str, fields: dict) -> None:
        self._rows.append((time.monotonic(), what, fields))

    def about(self, thing: str) -> list[dict]:
        now = time.monotonic()
        return [
            {"ago_ms": int((now - at) * 1000), "what": what, **fields}
            for at, what, fields in self._rows
            if not thing or thing in (what, *map(str, fields.values()))
        ]


recent = Recent()


def change(what: str, **fields) -> None:
    recent.add(what, fields)
    eliot.log_message(message_type=what, **fields)


def vital(job):
    job.link_exception(_died)
    return job


def _died(job) -> None:
    change("task_died", task=str(job), error=repr(job.exception))
    os._exit(70)


def log_to(path: str | None) -> None:
    if path is None:
        eliot.to_file(sys.stderr)
        return
    eliot.to_file(open(path, "ab", buffering=0))
