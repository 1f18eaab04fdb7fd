from __future__ import annotations

import os
import sys
from collections import Counter

import eliot


class Counts:
    __slots__ = ("_c",)

    def __init__(self):
        self._c = Counter()

    def add(self, name: str, n: int = 1) -> None:
        self._c[name] += n

    def get(self, name: str) -> int:
        return self._c[name]

    def picture(self) -> dict[str, int]:
        return dict(sorted(self._c.items()))


def change(what: str, **fields) -> None:
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
