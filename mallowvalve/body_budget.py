"""Bounds the bytes of request bodies that a process holds at once, and reads bodies without a second copy."""

from __future__ import annotations

import mmap
from collections import deque
from typing import Protocol

from gevent.event import Event

from mallowvalve import clock
from mallowvalve.metrics import Counts, log_event
from mallowvalve.resident_memory import resident_bytes

BYTES_PER_MB = 1 << 20
BODY_MEMORY_RATIO = 0.5
"""The part of a process's memory that bodies may take."""

SMALL_BODY_BYTES = 64 << 10
SMALL_RESERVE_RATIO = 0.2
"""The part of the budget that is kept for bodies of at most `SMALL_BODY_BYTES`."""

MAPPED_BODY_BYTES = 256 << 10
"""A larger body is read into a mapping of its own, whose pages the system gets back when the body is dropped."""

PART_BYTES = 64 << 10
REFUSAL_LOG_INTERVAL_S = 1.0
EXTENSION_BYTES = 1 << 20
"""A body of unknown length reserves room in steps of this size."""


class BodyTooLargeError(Exception):
    """A body is larger than the limit on bodies."""


class BodyRefusedError(Exception):
    """There is no room for a body; its request did not run and may come again."""


class BodyStream(Protocol):
    """A stream from which a body is read."""

    def read(self, size: int) -> bytes:
        """Returns up to `size` bytes; none at the end of the body."""


class BodyBudget:
    """The room for bodies, in bytes; larger ones wait for it in the order of their arrival."""

    __slots__ = ("total_bytes", "used_bytes", "_waiting")

    def __init__(self, total_bytes: int):
        """All of it is free."""
        self.total_bytes = total_bytes
        self.used_bytes = 0
        self._waiting: deque[tuple[int, Event]] = deque()

    @classmethod
    def of_memory(cls, memory_mb: float) -> BodyBudget:
        """Returns the budget of a process that may use `memory_mb` megabytes in all."""
        return cls(int(memory_mb * BYTES_PER_MB * BODY_MEMORY_RATIO))

    @property
    def waiting(self) -> int:
        """How many bodies wait for room."""
        return len(self._waiting)

    def capacity(self, size: int) -> int:
        """Returns how many bytes may be in use, with a body of this size among them."""
        if size <= SMALL_BODY_BYTES:
            return self.total_bytes
        return int(self.total_bytes * (1.0 - SMALL_RESERVE_RATIO))

    def reserve(self, size: int, wait_s: float = 0.0) -> BodyReservation | None:
        """Returns a reservation of `size` bytes; None if there is no room for it within `wait_s` seconds."""
        overtakes = bool(self._waiting) and size > SMALL_BODY_BYTES
        if not overtakes and self._take(size):
            return BodyReservation(self, size)
        if wait_s <= 0.0 or size > self.capacity(size):
            return None
        waiter = size, Event()
        self._waiting.append(waiter)
        try:
            waiter[1].wait(timeout=wait_s)
        finally:
            granted = waiter not in self._waiting
            if not granted:
                self._waiting.remove(waiter)
                self._wake()
        return BodyReservation(self, size) if granted else None

    def give_back(self, size: int) -> None:
        """Frees `size` bytes, and grants them to those that wait."""
        self.used_bytes -= size
        self._wake()

    def extend(self, size: int, held: int) -> bool:
        """Takes `size` more bytes for a body that holds `held`; returns whether there was room."""
        if self.used_bytes + size > self.capacity(held + size):
            return False
        self.used_bytes += size
        return True

    def _take(self, size: int) -> bool:
        return self.extend(size, 0)

    def _wake(self) -> None:
        while self._waiting and self._take(self._waiting[0][0]):
            self._waiting.popleft()[1].set()


class BodyRefusals:
    """Counts the bodies that a server refuses for want of room, and logs them, at most once a second."""

    __slots__ = ("_counts", "_unlogged", "_next_log_at")

    def __init__(self, counts: Counts):
        """Counts as `bodies_refused`."""
        self._counts = counts
        self._unlogged = 0
        self._next_log_at = float("-inf")

    def record(self, budget: BodyBudget) -> None:
        """Records that a body found no room in `budget`."""
        self._counts.add("bodies_refused")
        self._unlogged += 1
        now = clock.now()
        if now < self._next_log_at:
            return
        log_event(
            "bodies_refused",
            refused=self._unlogged,
            waiting=budget.waiting,
            used_bytes=budget.used_bytes,
            total_bytes=budget.total_bytes,
            resident_bytes=resident_bytes(),
        )
        self._unlogged, self._next_log_at = 0, now + REFUSAL_LOG_INTERVAL_S


class BodyReservation:
    """The bytes that one request holds of a budget."""

    __slots__ = ("_budget", "size")

    def __init__(self, budget: BodyBudget, size: int):
        """Holds `size` bytes, which were taken already."""
        self._budget = budget
        self.size = size

    def grow(self, size: int) -> bool:
        """Holds `size` bytes in all, if there is room; returns whether there was."""
        more = size - self.size
        if more > 0:
            if not self._budget.extend(more, self.size):
                return False
            self.size = size
        return True

    def release(self) -> None:
        """Gives everything back; does nothing a second time."""
        size, self.size = self.size, 0
        if size:
            self._budget.give_back(size)


def read_body(stream: BodyStream, length: int | None, max_bytes: int, reservation: BodyReservation) -> memoryview:
    """Reads a body of known length, or of unknown length if that is None; it may end early.

    The result is a view of the body's bytes whatever its size, and the last reference to it frees them.
    Raises BodyTooLargeError beyond `max_bytes`, and BodyRefusedError if `reservation` cannot grow with the body.
    """
    limit = max_bytes + 1 if length is None else length
    first_bytes = min(limit, MAPPED_BODY_BYTES)
    first = stream.read(first_bytes)
    _check_room(len(first), max_bytes, reservation)
    if len(first) < first_bytes or first_bytes == limit:
        return memoryview(first)
    buffer = mmap.mmap(-1, limit, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)
    end = len(first)
    buffer[:end] = first
    while end < limit and (part := stream.read(min(PART_BYTES, limit - end))):
        _check_room(end + len(part), max_bytes, reservation)
        buffer[end : end + len(part)] = part
        end += len(part)
    return memoryview(buffer)[:end]


def _check_room(size: int, max_bytes: int, reservation: BodyReservation) -> None:
    if size > max_bytes:
        raise BodyTooLargeError
    if size > reservation.size and not reservation.grow(-(-size // EXTENSION_BYTES) * EXTENSION_BYTES):
        raise BodyRefusedError
