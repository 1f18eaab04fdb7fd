"""The resident memory of this process, as the system counts it."""

from __future__ import annotations

import resource
from pathlib import Path

_STATM = Path("/proc/self/statm")
_RESIDENT_FIELD = 1


def resident_bytes() -> int | None:
    """Returns the resident memory of this process (bytes); None where the system does not tell."""
    try:
        return int(_STATM.read_text().split()[_RESIDENT_FIELD]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return None
