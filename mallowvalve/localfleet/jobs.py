"""Background threads of a trial."""

from __future__ import annotations

from collections.abc import Callable
from threading import Event, Thread
from typing import Any, Self


class BackgroundThreads:
    """Threads that run while the context is entered."""

    def __init__(self, functions: list[tuple[Callable[..., object], tuple[Any, ...]]]):
        """Takes functions with their arguments; each must return soon after `stop` is set."""
        self.stop = Event()
        self._threads = [Thread(target=function, args=args) for function, args in functions]

    def __enter__(self) -> Self:
        """Starts the threads."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stops the threads and waits for their end."""
        self.stop.set()
        for thread in self._threads:
            thread.join()
