"""What waits at a leader: commands for their acknowledgement, reads for a quorum."""

from __future__ import annotations

from typing import Any

import msgspec

from mallowvalve.control.outcome import Code
from mallowvalve.control.state import (
    COORDINATION_COMMANDS,
    SETTINGS_COMMANDS,
    Outcome,
    ReplicatedState,
    command_tag,
    command_tags,
)
from mallowvalve.control.wire import CommandResponse
from mallowvalve.settings import Acks

COMMIT_MARK_DELAY_S = 0.03
SETTINGS_TAGS, COORDINATION_TAGS = command_tags(SETTINGS_COMMANDS), command_tags(COORDINATION_COMMANDS)


def changes_settings(data: bytes) -> bool:
    """Whether an encoded command belongs to the settings part of the state."""
    return command_tag(data) in SETTINGS_TAGS


def acknowledgement_mode(data: bytes, acks: Acks) -> str:
    """What the acknowledgement of an encoded command waits for: `commit`, `held` or `force`."""
    if changes_settings(data):
        return acks.settings
    return acks.coordination if command_tag(data) in COORDINATION_TAGS else "held"


class PendingCommand(msgspec.Struct):
    """A command in the log; its token is answered by `limit` (s) at the latest."""

    token: Any
    term: int
    limit: float
    changes_settings: bool
    acknowledgement: str
    outcome: Outcome | None = None
    required_index: int = 0


class CommitMarkTimer:
    """Settings are noted as committed with the next batch, or with one of their own where none comes soon."""

    __slots__ = ("at",)

    def __init__(self) -> None:
        """None is due."""
        self.at: float | None = None

    def due(self, settings_index: int, marked: int, now: float) -> bool:
        """Whether a batch of its own is due: the settings turned at an index beyond the one noted last."""
        if settings_index <= marked:
            self.at = None
        elif self.at is None:
            self.at = now + COMMIT_MARK_DELAY_S
        elif now >= self.at:
            self.at = None
            return True
        return False


class PendingRead(msgspec.Struct):
    """A read that waits for the round `need`, and for the index to be applied."""

    token: Any
    required_round: int
    index: int
    limit: float


class PendingReads:
    """Reads that wait until a quorum has confirmed, after they were asked, that this is still the leader."""

    __slots__ = ("_rows",)

    def __init__(self) -> None:
        """Nobody waits."""
        self._rows: list[PendingRead] = []

    def add(self, r: PendingRead) -> None:
        """One more waits."""
        self._rows.append(r)

    def answer(
        self, confirmed: int, state: ReplicatedState, term: int, now: float
    ) -> list[tuple[Any, CommandResponse]]:
        """Answers to the reads whose round is confirmed in `term` and index applied, and to those out of time."""
        out, keep = [], []
        for r in self._rows:
            if r.required_round <= confirmed and r.index <= state.index:
                out.append((r.token, CommandResponse(Code.OK, state.revision_at(r.index), term=term)))
            elif now >= r.limit:
                out.append((r.token, CommandResponse(Code.UNDECIDED)))
            else:
                keep.append(r)
        self._rows = keep
        return out

    def fail(self) -> list[tuple[Any, CommandResponse]]:
        """Answers all that wait with a want of a leader."""
        out = [(r.token, CommandResponse(Code.LEADER)) for r in self._rows]
        self._rows = []
        return out
