"""The ledger of requests that may run once: who claimed a key, and how that ended.

Replicated: `Ledger.apply` is the same on every node. Times are ms of the fleet's clock.
"""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec.structs import replace

KEY_RETENTION_MS = 900_000
"""How long a key is remembered."""

MAX_STORED_BODY_BYTES = 32 << 20
"""Bytes of answers that are kept in all; the oldest are dropped first."""

ClaimState = Literal["open", "done", "released", "lost"]
ResultState = Literal["open", "done", "released", "lost", "granted", "conflict", "gone", "ok", "undecided"]
"""What a command is told: the key's state, or granted (the key is the claimer's), conflict (another request has it),
gone (there is no such claim), ok. A proxy that hears nothing in time takes it as undecided.
"""

OPEN: ClaimState = "open"
DONE: ClaimState = "done"
RELEASED: ClaimState = "released"
LOST: ClaimState = "lost"


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Asks for a key. `digest` is of the request, `holder` the proxy, `nonce` tells its attempts apart.

    `seen` is the revision that the proxy held when the request came: a claim from before a release is refused after it.
    """

    key: str
    digest: str
    holder: str
    nonce: str
    seen: int = 0


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """The request ran: its answer's status, content type and body, None if it was too large to keep."""

    key: str
    nonce: str
    status: int
    kind: str
    body: bytes | None


class Release(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    """Nothing was sent under this claim: the key is free again."""

    key: str
    nonce: str


class Forfeit(msgspec.Struct, frozen=True, array_like=True, tag="forfeit"):
    """Something was sent under this claim and no whole answer came: the key is lost for good."""

    key: str
    nonce: str


class Lose(msgspec.Struct, frozen=True, array_like=True, tag="lose"):
    """A proxy is gone: its open claims are lost."""

    holder: str


Command = Claim | Done | Release | Forfeit | Lose


class ClaimRecord(msgspec.Struct, array_like=True, frozen=True):
    """A key: its last claim, claimed at `at`, and how that ended; `freed` is the revision of its release."""

    digest: str
    state: ClaimState
    holder: str
    nonce: str
    at: int
    status: int = 0
    kind: str = ""
    body: bytes | None = None
    freed: int = 0


class LedgerResult(msgspec.Struct, array_like=True, frozen=True):
    """What a command is told, with the answer that was kept where the key is done."""

    state: ResultState
    status: int = 0
    kind: str = ""
    body: bytes | None = None


class Ledger:
    """All keys, the oldest claim first; `kept` gives the bytes of each answer that is held, the oldest first."""

    __slots__ = ("rows", "body_sizes", "_stored_bytes")

    def __init__(self) -> None:
        """No key at first."""
        self.rows: dict[str, ClaimRecord] = {}
        self.body_sizes: dict[str, int] = {}
        self._stored_bytes = 0

    def apply(self, command: Command, at: int, revision: int = 0) -> LedgerResult:
        """Take in a command of the entry `revision`, at that entry's time."""
        self._expire(at)
        match command:
            case Claim():
                return self._claim(command, at)
            case Done():
                return self._close(command.key, command.nonce, DONE, command)
            case Release():
                return self._release(command, at, revision)
            case Forfeit():
                return self._close(command.key, command.nonce, LOST)
            case Lose():
                return self._lose(command)

    def find(self, key: str, digest: str) -> LedgerResult | None:
        """What is known of a key, None if nothing; it changes nothing."""
        row = self.rows.get(key)
        if row is None:
            return None
        return LedgerResult("conflict") if row.digest not in ("", digest) else _result_of(row)

    def restore_body_sizes(self, keys: list[str]) -> bool:
        """Answers kept by a snapshot, in its order; false where a row lacks its answer."""
        for key in keys:
            row = self.rows.get(key)
            if row is None or not row.body:
                return False
            self.body_sizes[key] = len(row.body)
            self._stored_bytes += len(row.body)
        return True

    def _claim(self, claim: Claim, at: int) -> LedgerResult:
        row = self.rows.get(claim.key)
        if row is not None and row.digest not in ("", claim.digest):
            return LedgerResult("conflict")
        if row is None or row.state == RELEASED and row.nonce != claim.nonce and claim.seen >= row.freed:
            self.rows.pop(claim.key, None)
            self.rows[claim.key] = ClaimRecord(claim.digest, OPEN, claim.holder, claim.nonce, at)
            return LedgerResult("granted")
        if row.state == OPEN and row.nonce == claim.nonce:
            return LedgerResult("granted")
        return _result_of(row)

    def _release(self, release: Release, at: int, revision: int) -> LedgerResult:
        """A release that overtook its claim stays, so that the claim is refused when it comes."""
        if release.key not in self.rows:
            self.rows[release.key] = ClaimRecord("", RELEASED, "", release.nonce, at)
        verdict = self._close(release.key, release.nonce, RELEASED)
        row = self.rows[release.key]
        if verdict.state == RELEASED and not row.freed:
            self.rows[release.key] = replace(row, freed=revision)
        return verdict

    def _lose(self, lose: Lose) -> LedgerResult:
        for key, row in self.rows.items():
            if row.state == OPEN and row.holder == lose.holder:
                self.rows[key] = replace(row, state=LOST)
        return LedgerResult("ok")

    def _close(self, key: str, nonce: str, state: ClaimState, done: Done | None = None) -> LedgerResult:
        """A claim ends in `state` if it has not ended otherwise; the verdict says how it stands."""
        row = self.rows.get(key)
        if row is None or row.nonce != nonce:
            return LedgerResult("gone")
        if row.state == DONE or state == RELEASED and row.state == LOST:
            return LedgerResult(row.state)
        if row.state == RELEASED and state != RELEASED:
            return LedgerResult(RELEASED)
        if done is None:
            self.rows[key] = replace(row, state=state)
            return LedgerResult(state)
        self.rows[key] = replace(row, state=state, status=done.status, kind=done.kind, body=done.body)
        if done.body:
            self._store_body(key, done.body)
        return LedgerResult(state)

    def _store_body(self, key: str, body: bytes) -> None:
        self.body_sizes[key] = len(body)
        self._stored_bytes += len(body)
        while self._stored_bytes > MAX_STORED_BODY_BYTES:
            oldest = next(iter(self.body_sizes))
            self._drop_body(oldest)
            self.rows[oldest] = replace(self.rows[oldest], body=None)

    def _drop_body(self, key: str) -> None:
        self._stored_bytes -= self.body_sizes.pop(key, 0)

    def _expire(self, at: int) -> None:
        while self.rows:
            key, row = next(iter(self.rows.items()))
            if row.at + KEY_RETENTION_MS > at:
                return
            del self.rows[key]
            self._drop_body(key)


def _result_of(row: ClaimRecord) -> LedgerResult:
    return LedgerResult(row.state, row.status, row.kind, row.body)
