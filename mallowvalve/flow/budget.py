from __future__ import annotations

from collections import deque

SPAN = 10.0
SHARE = 0.18


class Budget:
    __slots__ = ("_first", "_again", "floor")

    def __init__(self, floor: int = 1):
        self.floor = floor
        self._first: deque[float] = deque()
        self._again: deque[float] = deque()

    def first(self, now: float) -> None:
        self._trim(now)
        self._first.append(now)

    def again(self, now: float) -> bool:
        self._trim(now)
        if len(self._again) + 1 > max(self.floor, SHARE * len(self._first)):
            return False
        self._again.append(now)
        return True

    def _trim(self, now: float) -> None:
        for d in (self._first, self._again):
            while d and d[0] <= now - SPAN:
                d.popleft()
