"""Bytes that an object keeps, and processor time that an act takes."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable


def kept(make: Callable[[], object]) -> tuple[object, int]:
    """What `make` makes, and the bytes it keeps; slow, for each allocation is traced."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    x = make()
    gc.collect()
    n = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return x, n


def spent(act: Callable[[], object], most: float = 0.3) -> float:
    """Processor seconds of one `act`: the least of as many turns as fit into `most` seconds."""
    best, total = 1e9, 0.0
    while total < most:
        t = time.process_time()
        act()
        one = time.process_time() - t
        best, total = min(best, one), total + max(one, 1e-6)
    return best
