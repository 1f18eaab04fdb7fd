"""What is said to a command: by the replicated state that applied or refused it, or by who could not offer it."""

from __future__ import annotations

import enum

import msgspec


class Code(enum.StrEnum):
    """Every outcome of a command, of whatever part of the state."""

    OK = "ok"
    GONE = "gone"
    CONFLICT = "conflict"
    INVALID = "invalid"

    LEADER = "leader"
    """Nothing was taken: there is no leader here just now, or it is another process."""
    REPLACED = "replaced"
    """Nothing was taken: another leader's entry stands in its place."""
    UNDECIDED = "undecided"
    """It may have taken effect, or may yet."""

    LATE = "late"
    AHEAD = "ahead"
    FORGOTTEN = "forgotten"
    REUSED = "reused"
    """The caller's key belongs to another command."""

    HELD = "held"
    LOST = "lost"
    MISSING = "missing"

    OPEN = "open"
    GRANTED = "granted"
    DONE = "done"
    RELEASED = "released"


NOT_APPLIED = frozenset({Code.LEADER, Code.REPLACED})
"""The command had no effect, and this very offer of it never will."""
RETRYABLE = NOT_APPLIED | {Code.UNDECIDED}
"""Whoever offered the command may offer it again, under the same origin."""


WITHOUT_EFFECT = frozenset({Code.INVALID, Code.LATE, Code.AHEAD, Code.FORGOTTEN})
"""Nothing came of these commands, so their answer waits for no copy of the state."""


class Outcome(msgspec.Struct, array_like=True, frozen=True):
    """`revision` is the one to wait for before it is told; `body` is the answer's own, by kind of command."""

    code: Code
    revision: int
    body: bytes = b""
