"""What is said to a command that was applied, or refused, by the replicated state."""

from __future__ import annotations

import enum

import msgspec


class Code(enum.StrEnum):
    """The codes of the state's own; the ledger and the coordination state add theirs."""

    OK = "ok"
    GONE = "gone"
    CONFLICT = "conflict"
    INVALID = "invalid"
    LOST = "lost"
    LATE = "late"
    AHEAD = "ahead"
    FORGOTTEN = "forgotten"


UNAPPLIED = frozenset({Code.INVALID, Code.LATE, Code.AHEAD, Code.FORGOTTEN})
"""Nothing came of these commands, so their answer waits for no copy of the state."""


class Outcome(msgspec.Struct, array_like=True, frozen=True):
    """`revision` is the one to wait for before it is told; `body` is the answer's own, by kind of command."""

    code: str
    revision: int
    body: bytes = b""
