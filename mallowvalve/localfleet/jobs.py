from __future__ import annotations

from collections.abc import Callable
from threading import Event, Thread


class Jobs:
    """Threads of a stand-in that run while it is entered."""

    def __init__(self, jobs: list[tuple[Callable, tuple]]):
        self.stop = Event()
        self._jobs = [Thread(target=j, args=args) for j, args in jobs]

    def __enter__(self):
        for j in self._jobs:
            j.start()
        return self

    def __exit__(self, *_) -> None:
        self.stop.set()
        for j in self._jobs:
            j.join()
