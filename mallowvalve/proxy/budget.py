"""How many repeats a proxy may send to a service, so that failures do not multiply the load."""

from __future__ import annotations

from collections import deque

SPAN = 10.0
SHARE = 0.12
SAVED = 0.005


class RetryBudget:
    """Each first try earns a share of a repeat.

    Little can be saved up, so that a fall of traffic leaves no hoard to spend.
    """

    __slots__ = ("_first", "_earned")

    def __init__(self):
        self._first: deque[float] = deque()
        self._earned = 0.0

    def first(self, now: float) -> None:
        self._first.append(now)
        while self._first[0] <= now - SPAN:
            self._first.popleft()
        self._earned = min(self._earned + SHARE, max(1.0, SAVED * len(self._first)))

    def again(self, now: float) -> bool:
        if self._earned < 1.0 - 1e-9:
            return False
        self._earned -= 1.0
        return True


class SlidingRetryBudget:
    """Repeats within any span: a share of the first sends of that span, and a floor of their own. Times in seconds."""

    __slots__ = ("ratio", "span", "floor", "_first", "_again")

    def __init__(self, ratio: float, span: float, floor: float):
        self.ratio, self.span, self.floor = ratio, span, floor
        self._first: deque[float] = deque()
        self._again: deque[float] = deque()

    def first(self, now: float) -> None:
        self._first.append(now)
        self._forget(self._first, now)

    def again(self, now: float) -> bool:
        self._forget(self._first, now)
        self._forget(self._again, now)
        if len(self._again) + 1 > self.ratio * len(self._first) + self.floor:
            return False
        self._again.append(now)
        return True

    def _forget(self, q: deque[float], now: float) -> None:
        while q and q[0] <= now - self.span:
            q.popleft()
