"""Requests pending at a leader: commands until their acknowledgement, reads until a quorum confirms the leader."""

from __future__ import annotations

from typing import Any

import msgspec

from mallowvalve.control.outcome import Code
from mallowvalve.control.state import (
    COORDINATION_COMMANDS,
    SETTINGS_COMMANDS,
    ReplicatedState,
    command_tag,
    command_tags,
)
from mallowvalve.control.wire import CommandResponse
from mallowvalve.settings import Acks

COMMIT_MARK_DELAY_S = 0.03
SETTINGS_TAGS = command_tags(SETTINGS_COMMANDS)
COORDINATION_TAGS = command_tags(COORDINATION_COMMANDS)


def changes_settings(data: bytes) -> bool:
    """Whether an encoded command belongs to the settings part of the state."""
    return command_tag(data) in SETTINGS_TAGS


def acknowledgement_mode(data: bytes, acks: Acks) -> str:
    """Returns what the acknowledgement of an encoded command waits for.

    `commit`: its commit; `held`: its copies on the replicas; `force`: its being in force on every proxy as well.
    """
    if changes_settings(data):
        return acks.settings
    return acks.coordination if command_tag(data) in COORDINATION_TAGS else "held"


class PendingCommand(msgspec.Struct):
    """A command in the log; the response goes to its token at `limit` (s) at the latest.

    `required_index` is the index that the replicas must hold before the command is acknowledged.
    """

    token: Any
    term: int
    limit: float
    changes_settings: bool
    acknowledgement: str
    required_index: int = 0


class CommitMarkTimer:
    """Schedules the storing of the commit index after a change of the settings.

    The index is stored with the next batch, or with a batch of its own if none follows within `COMMIT_MARK_DELAY_S`.
    """

    __slots__ = ("at",)

    def __init__(self) -> None:
        """Creates a timer that is not running."""
        self.at: float | None = None

    def due(self, settings_index: int, marked: int, now: float) -> bool:
        """Whether a batch of its own is due: the settings changed beyond the stored commit index `marked`."""
        if settings_index <= marked:
            self.at = None
        elif self.at is None:
            self.at = now + COMMIT_MARK_DELAY_S
        elif now >= self.at:
            self.at = None
            return True
        return False


class PendingRead(msgspec.Struct):
    """A read that waits until the round `required_round` is confirmed and the index applied, by `limit` (s)."""

    token: Any
    required_round: int
    index: int
    limit: float


class PendingReads:
    """Linearizable reads that wait until a quorum confirms this leader in a round sent after they arrived."""

    __slots__ = ("_reads",)

    def __init__(self) -> None:
        """Creates an empty set of reads."""
        self._reads: list[PendingRead] = []

    def add(self, read: PendingRead) -> None:
        """Adds a read."""
        self._reads.append(read)

    def answer(
        self, confirmed: int, state: ReplicatedState, term: int, now: float
    ) -> list[tuple[Any, CommandResponse]]:
        """Removes the reads that are confirmed or past their limit and returns their responses.

        `confirmed` is the newest round of `term` that a quorum has confirmed.
        """
        responses, keep = [], []
        for read in self._reads:
            if read.required_round <= confirmed and read.index <= state.index:
                responses.append((read.token, CommandResponse(Code.OK, state.revision_at(read.index), term=term)))
            elif now >= read.limit:
                responses.append((read.token, CommandResponse(Code.UNDECIDED)))
            else:
                keep.append(read)
        self._reads = keep
        return responses

    def fail(self) -> list[tuple[Any, CommandResponse]]:
        """Removes all reads and returns their responses: this process is no longer the leader."""
        responses = [(read.token, CommandResponse(Code.LEADER)) for read in self._reads]
        self._reads = []
        return responses
