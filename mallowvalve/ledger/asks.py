"""Outcomes of commands that came with an idempotency key, so that a repeated command gets the same answer."""

from __future__ import annotations

import msgspec

OUTCOME_RETENTION_MS = 900_000


class RecordedOutcome(msgspec.Struct, array_like=True, frozen=True):
    """The outcome of a command; `digest` identifies the command's content, `applied_at_ms` is in fleet clock ms."""

    applied_at_ms: int
    digest: str
    code: str
    revision: int
    body: bytes


class IdempotencyTable:
    """The outcomes by idempotency key; replicated. A key used again for another command is a conflict."""

    __slots__ = ("rows",)

    def __init__(self) -> None:
        """Creates an empty table."""
        self.rows: dict[str, RecordedOutcome] = {}

    def find(self, key: str, digest: str) -> RecordedOutcome | None:
        """Returns the outcome under the key, None if there is none; its code is `reused` if the commands differ."""
        outcome = self.rows.get(key)
        if outcome is None or outcome.digest == digest:
            return outcome
        return msgspec.structs.replace(outcome, code="reused", body=b"")

    def record(self, key: str, outcome: RecordedOutcome) -> None:
        """Stores the outcome of a command that was just applied."""
        self.rows[key] = outcome

    def expire(self, now_ms: int) -> None:
        """Drops outcomes that are older than `OUTCOME_RETENTION_MS`."""
        while self.rows:
            key, outcome = next(iter(self.rows.items()))
            if outcome.applied_at_ms + OUTCOME_RETENTION_MS > now_ms:
                return
            del self.rows[key]
