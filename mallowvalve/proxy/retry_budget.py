"""Retry budgets: they limit the retries to a service, so that failures do not multiply its load."""

from __future__ import annotations

from collections import deque

WINDOW_S = 10.0
RETRIES_PER_FIRST_ATTEMPT = 0.12
MAX_SAVED_RETRIES_PER_FIRST_ATTEMPT = 0.005


class RetryBudget:
    """Each first attempt adds a fraction of a retry.

    Few retries can be saved, so that after a drop of traffic no large budget remains.
    """

    __slots__ = ("_first_attempts", "_available")

    def __init__(self) -> None:
        self._first_attempts: deque[float] = deque()
        self._available = 0.0

    def record_first(self, now: float) -> None:
        """Records a first attempt."""
        self._first_attempts.append(now)
        while self._first_attempts[0] <= now - WINDOW_S:
            self._first_attempts.popleft()
        self._available = min(
            self._available + RETRIES_PER_FIRST_ATTEMPT,
            max(1.0, MAX_SAVED_RETRIES_PER_FIRST_ATTEMPT * len(self._first_attempts)),
        )

    def take_retry(self, now: float) -> bool:
        """Takes a retry from the budget and returns whether there was one."""
        if self._available < 1.0 - 1e-9:
            return False
        self._available -= 1.0
        return True


class SlidingRetryBudget:
    """Limits the retries in any window to a ratio of the first attempts in that window, plus a floor. Times in s."""

    __slots__ = ("ratio", "window_s", "floor", "_first_attempts", "_retries")

    def __init__(self, ratio: float, window_s: float, floor: float):
        self.ratio, self.window_s, self.floor = ratio, window_s, floor
        self._first_attempts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_first(self, now: float) -> None:
        """Records a first attempt."""
        self._first_attempts.append(now)
        self._expire(self._first_attempts, now)

    def take_retry(self, now: float) -> bool:
        """Takes a retry from the budget and returns whether there was one."""
        self._expire(self._first_attempts, now)
        self._expire(self._retries, now)
        if len(self._retries) + 1 > self.ratio * len(self._first_attempts) + self.floor:
            return False
        self._retries.append(now)
        return True

    def _expire(self, times: deque[float], now: float) -> None:
        while times and times[0] <= now - self.window_s:
            times.popleft()
