"""Bytes that an object keeps, and processor time that an action takes."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable

MIN_COUNTED_S = 1e-6
"""A repetition counts as at least this long, so that the measurement ends."""


def kept(make: Callable[[], object]) -> tuple[object, int]:
    """Returns what `make` makes, and the bytes it keeps; slow, for each allocation is traced."""
    gc.collect()
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    made = make()
    gc.collect()
    kept_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    return made, kept_bytes


def spent(act: Callable[[], object], duration_s: float = 0.3) -> float:
    """Returns the processor time of one `act` (s): the least of as many repetitions as fit into `duration_s`."""
    least_s = float("inf")
    total_s = 0.0
    while total_s < duration_s:
        began = time.process_time()
        act()
        repetition_s = time.process_time() - began
        least_s = min(least_s, repetition_s)
        total_s += max(repetition_s, MIN_COUNTED_S)
    return least_s
