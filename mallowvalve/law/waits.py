"""What waits at a leader: commands for their acknowledgement, reads for a quorum, echoes for news."""

from __future__ import annotations

from typing import Any

import msgspec

from mallowvalve.law.state import Outcome
from mallowvalve.law.wire import Want


class Pending(msgspec.Struct):
    token: Any
    term: int
    limit: float
    settings: bool
    waits: str
    outcome: Outcome | None = None
    need: int = 0


class Parked(msgspec.Struct):
    token: Any
    want: Want
    at: float


class Read(msgspec.Struct):
    token: Any
    need: int
    index: int
    limit: float
