"""Outcomes of commands: of the replicated state that applied or rejected them, or of a process that could not."""

from __future__ import annotations

import enum

import msgspec


class Code(enum.StrEnum):
    """All outcomes of commands, for every part of the state."""

    OK = "ok"
    GONE = "gone"
    CONFLICT = "conflict"
    INVALID = "invalid"

    LEADER = "leader"
    """Not proposed: this process is not the leader."""
    REPLACED = "replaced"
    """Not applied: another leader's entry replaced it in the log."""
    UNDECIDED = "undecided"
    """It may have taken effect, or may still do so."""

    LATE = "late"
    AHEAD = "ahead"
    FORGOTTEN = "forgotten"
    REUSED = "reused"
    """The caller's key belongs to a different command."""

    HELD = "held"
    LOST = "lost"
    MISSING = "missing"

    OPEN = "open"
    GRANTED = "granted"
    DONE = "done"
    RELEASED = "released"


NOT_APPLIED = frozenset({Code.LEADER, Code.REPLACED})
"""The command had no effect, and this submission of it never will."""
RETRYABLE = NOT_APPLIED | {Code.UNDECIDED}
"""The caller may submit the command again, with the same origin."""


WITHOUT_EFFECT = frozenset({Code.INVALID, Code.LATE, Code.AHEAD, Code.FORGOTTEN})
"""These commands changed nothing, so that their response does not wait for replication."""


class Outcome(msgspec.Struct, array_like=True, frozen=True):
    """The outcome is sent once `revision` is replicated; the format of `body` depends on the kind of command."""

    code: Code
    revision: int
    body: bytes = b""
