"""A start waits for what passes: a lock or port that the process before it still holds, a disk without room.

Any other error, such as an address that the machine does not have, ends the start at once.
"""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from contextlib import AbstractContextManager, ExitStack
from types import TracebackType
from typing import Any, TypeVar

from mallowvalve import clock
from mallowvalve.metrics import log_event

START_WAIT_LIMIT_S = 60.0
"""How long a start waits for each resource: well above any grace period, at whose end the process before was killed."""
RETRY_PAUSE_MIN_S = 0.05
"""The pause after the first failure; it doubles with each further one."""
RETRY_PAUSE_MAX_S = 0.5

PASSING_ERRORS = frozenset(
    {
        errno.EADDRINUSE,
        errno.EAGAIN,
        errno.EDQUOT,
        errno.EINTR,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENOSPC,
    }
)

Value = TypeVar("Value")


class StartCancelledError(Exception):
    """The process was told to stop while it waited to start."""


class StartWait:
    """Repeats the operations of a start that fail by an error that passes.

    `waited_s` has the time that each resource was waited for, by its name (s).
    """

    __slots__ = ("is_cancelled", "waited_s", "limit_s", "_sleep")

    def __init__(
        self,
        is_cancelled: Callable[[], bool] = lambda: False,
        sleep: Callable[[float], object] = time.sleep,
        limit_s: float = START_WAIT_LIMIT_S,
    ) -> None:
        """`limit_s` is for each resource; `is_cancelled` is asked before each attempt after the first."""
        self.is_cancelled = is_cancelled
        self.limit_s = limit_s
        self.waited_s: dict[str, float] = {}
        self._sleep = sleep

    def retry(self, resource: str, operation: Callable[[], Value]) -> Value:
        """Returns the operation's value.

        Raises OSError if the error does not pass, or has not passed in time, and StartCancelledError.
        """
        begun, pause_s = clock.now(), RETRY_PAUSE_MIN_S
        while True:
            try:
                value = operation()
            except OSError as error:
                self._check(error, clock.now() - begun)
                if resource not in self.waited_s:
                    log_event("start_waits", resource=resource, error=str(error))
                self.waited_s[resource] = clock.now() - begun
                self._sleep(pause_s)
                pause_s = min(2 * pause_s, RETRY_PAUSE_MAX_S)
                continue
            if resource in self.waited_s:
                log_event("start_goes_on", resource=resource, waited_s=round(clock.now() - begun, 2))
            return value

    def enter(self, stack: ExitStack, part: AbstractContextManager[Any]) -> None:
        """Enters a part, whose exit is left to `stack`."""
        self.retry(type(part).__name__, part.__enter__)
        stack.push(part)

    def _check(self, error: OSError, waited_s: float) -> None:
        if error.errno not in PASSING_ERRORS or waited_s >= self.limit_s:
            raise error
        if self.is_cancelled():
            raise StartCancelledError


class WaitingPart:
    """A part that is entered as soon as what it needs is free."""

    __slots__ = ("part", "wait")

    def __init__(self, part: AbstractContextManager[Any], wait: StartWait) -> None:
        """Enters `part` by `wait`."""
        self.part, self.wait = part, wait

    def __enter__(self) -> None:
        """Enters the part."""
        self.wait.retry(type(self.part).__name__, self.part.__enter__)

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> bool | None:
        """Exits the part."""
        return self.part.__exit__(kind, error, trace)
