"""The daemons' only source of time."""

from __future__ import annotations

import time


def now() -> float:
    """Returns monotonic seconds that include suspend time, so that a resumed proxy notices that its window is over."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
