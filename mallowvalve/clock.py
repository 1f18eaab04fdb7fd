"""The one clock of the daemons; everything that counts time takes `now` from here."""

from __future__ import annotations

import time


def now() -> float:
    """Seconds that go on while the machine sleeps, so that a suspended proxy knows its window is over."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
