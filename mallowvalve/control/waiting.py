"""What waits at a leader: commands for their acknowledgement, reads for a quorum."""

from __future__ import annotations

from typing import Any

import msgspec

from mallowvalve.control.outcome import Code
from mallowvalve.control.state import COORDINATION, SETTINGS, Outcome, State, tag_of, tags
from mallowvalve.control.wire import Took
from mallowvalve.settings import Acks

NOTE_AFTER = 0.03
SETTINGS_TAGS, COORDINATION_TAGS = tags(SETTINGS), tags(COORDINATION)


def turns_settings(data: bytes) -> bool:
    """Whether an encoded command belongs to the settings part of the state."""
    return tag_of(data) in SETTINGS_TAGS


def waits_for(data: bytes, acks: Acks) -> str:
    """What the acknowledgement of an encoded command waits for: `commit`, `held` or `force`."""
    if turns_settings(data):
        return acks.settings
    return acks.coordination if tag_of(data) in COORDINATION_TAGS else "held"


class Pending(msgspec.Struct):
    """A command in the log; its token is answered by `limit` (s) at the latest."""

    token: Any
    term: int
    limit: float
    settings: bool
    waits: str
    outcome: Outcome | None = None
    need: int = 0


class CommitNote:
    """Settings are noted as committed with the next batch, or with one of their own where none comes soon."""

    __slots__ = ("at",)

    def __init__(self) -> None:
        """None is due."""
        self.at: float | None = None

    def due(self, turned: int, marked: int, now: float) -> bool:
        """Whether a batch of its own is due: the settings turned at an index beyond the one noted last."""
        if turned <= marked:
            self.at = None
        elif self.at is None:
            self.at = now + NOTE_AFTER
        elif now >= self.at:
            self.at = None
            return True
        return False


class Read(msgspec.Struct):
    """A read that waits for the round `need`, and for the index to be applied."""

    token: Any
    need: int
    index: int
    limit: float


class Reads:
    """Reads that wait until a quorum has confirmed, after they were asked, that this is still the leader."""

    __slots__ = ("_rows",)

    def __init__(self) -> None:
        """Nobody waits."""
        self._rows: list[Read] = []

    def add(self, r: Read) -> None:
        """One more waits."""
        self._rows.append(r)

    def answer(self, confirmed: int, state: State, term: int, now: float) -> list[tuple[Any, Took]]:
        """Answers to the reads whose round is confirmed in `term` and index applied, and to those out of time."""
        out, keep = [], []
        for r in self._rows:
            if r.need <= confirmed and r.index <= state.index:
                out.append((r.token, Took(Code.OK, state.revision_at(r.index), term=term)))
            elif now >= r.limit:
                out.append((r.token, Took(Code.UNDECIDED)))
            else:
                keep.append(r)
        self._rows = keep
        return out

    def fail(self) -> list[tuple[Any, Took]]:
        """Answers all that wait with a want of a leader."""
        out = [(r.token, Took(Code.LEADER)) for r in self._rows]
        self._rows = []
        return out
