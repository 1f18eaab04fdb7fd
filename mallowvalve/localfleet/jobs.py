"""Threads that run while a trial does."""

from __future__ import annotations

from collections.abc import Callable
from threading import Event, Thread


class Jobs:
    """Threads of a stand-in that run while it is entered."""

    def __init__(self, jobs: list[tuple[Callable, tuple]]):
        """Functions with their arguments; each ends soon after `stop` is set."""
        self.stop = Event()
        self._jobs = [Thread(target=j, args=args) for j, args in jobs]

    def __enter__(self):
        """Start them."""
        for j in self._jobs:
            j.start()
        return self

    def __exit__(self, *_) -> None:
        """Stop them and wait for their end."""
        self.stop.set()
        for j in self._jobs:
            j.join()
