"""What was said to commands that came under a key of their caller, so that a repeat is answered alike."""

from __future__ import annotations

import msgspec

OUTCOME_RETENTION_MS = 900_000


class RecordedOutcome(msgspec.Struct, array_like=True, frozen=True):
    """The outcome of one command at `at` (ms, fleet clock); `digest` tells the command from others."""

    at: int
    digest: str
    code: str
    revision: int
    body: bytes


class IdempotencyTable:
    """What was said to each keyed command: the same command gets it again, another under that key is a conflict."""

    __slots__ = ("rows",)

    def __init__(self) -> None:
        """Nothing was said yet."""
        self.rows: dict[str, RecordedOutcome] = {}

    def find(self, key: str, digest: str) -> RecordedOutcome | None:
        """What was said under the key; with the code `reused` if that was another command; None if nothing."""
        a = self.rows.get(key)
        if a is None or a.digest == digest:
            return a
        return msgspec.structs.replace(a, code="reused", body=b"")

    def record(self, key: str, a: RecordedOutcome) -> None:
        """Stores what was said to a command just applied."""
        self.rows[key] = a

    def expire(self, at: int) -> None:
        """Drops what is older than `KEEP_MS`."""
        while self.rows:
            key, a = next(iter(self.rows.items()))
            if a.at + OUTCOME_RETENTION_MS > at:
                return
            del self.rows[key]
