"""The ledger of requests that run at most once: which proxy claimed an idempotency key, and how the claim ended.

The ledger is replicated: `Ledger.apply` gives the same result on every replica. Times are ms of the fleet clock.
"""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec.structs import replace

from mallowvalve.types import BoundedInt

KEY_RETENTION_MS = 900_000
"""How long a key is retained after its claim."""

MAX_STORED_BODY_BYTES = 32 << 20
"""The bound of all stored response bodies together; the oldest are dropped first."""

ClaimState = Literal["open", "done", "released", "lost"]
ResultState = Literal["open", "done", "released", "lost", "granted", "conflict", "gone", "ok", "undecided"]
"""The result of a command: the state of the key's claim, or one of these.

granted: the key is claimed. conflict: another request has claimed the key. gone: there is no such claim. ok: the
command took effect. undecided: not a result of the ledger; a proxy assumes it when it gets no answer in time.
"""

OPEN: ClaimState = "open"
DONE: ClaimState = "done"
RELEASED: ClaimState = "released"
LOST: ClaimState = "lost"


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Claims a key. `digest` is that of the request, `holder` the proxy; `nonce` identifies the attempt.

    `seen` is the revision that the proxy had when the request arrived: a claim from before a release is refused after
    it.
    """

    key: str
    digest: str
    holder: str
    nonce: str
    seen: BoundedInt = 0


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """Closes a claim whose request ran, with the response: `kind` is its content type, `body` None if too large."""

    key: str
    nonce: str
    status: BoundedInt
    kind: str
    body: bytes | None


class Release(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    """Closes a claim under which nothing was sent upstream: the key may be claimed again."""

    key: str
    nonce: str


class Forfeit(msgspec.Struct, frozen=True, array_like=True, tag="forfeit"):
    """Closes a claim under which something was sent without a complete response: the key is lost for good."""

    key: str
    nonce: str


class Lose(msgspec.Struct, frozen=True, array_like=True, tag="lose"):
    """Closes all open claims of a proxy that has left or failed: their keys are lost."""

    holder: str


Command = Claim | Done | Release | Forfeit | Lose


class ClaimRecord(msgspec.Struct, array_like=True, frozen=True):
    """The last claim of a key, and how it ended; `released_revision` is the revision of its release, 0 before."""

    digest: str
    state: ClaimState
    holder: str
    nonce: str
    claimed_at_ms: int
    status: int = 0
    kind: str = ""
    body: bytes | None = None
    released_revision: int = 0


class LedgerResult(msgspec.Struct, array_like=True, frozen=True):
    """The result of a command, with the stored response where the request is done; `kind` is its content type."""

    state: ResultState
    status: int = 0
    kind: str = ""
    body: bytes | None = None


class Ledger:
    """The claims by key, oldest first; `body_sizes` has the bytes of each stored response body, oldest first."""

    __slots__ = ("rows", "body_sizes", "_stored_bytes")

    def __init__(self) -> None:
        """Creates an empty ledger."""
        self.rows: dict[str, ClaimRecord] = {}
        self.body_sizes: dict[str, int] = {}
        self._stored_bytes = 0

    def apply(self, command: Command, now_ms: int, revision: int = 0) -> LedgerResult:
        """Applies the command of the log entry with this revision and time."""
        self._expire(now_ms)
        match command:
            case Claim():
                return self._claim(command, now_ms)
            case Done():
                return self._close(command.key, command.nonce, DONE, command)
            case Release():
                return self._release(command, now_ms, revision)
            case Forfeit():
                return self._close(command.key, command.nonce, LOST)
            case Lose():
                return self._lose(command)

    def find(self, key: str, digest: str) -> LedgerResult | None:
        """Returns the state of a key, None if it has no claim; changes nothing."""
        row = self.rows.get(key)
        if row is None:
            return None
        return LedgerResult("conflict") if row.digest not in ("", digest) else _result_of(row)

    def restore_body_sizes(self, keys: list[str]) -> bool:
        """Restores the order of stored bodies from a snapshot; returns False if a key has no stored body."""
        for key in keys:
            row = self.rows.get(key)
            if row is None or not row.body:
                return False
            self.body_sizes[key] = len(row.body)
            self._stored_bytes += len(row.body)
        return True

    def _claim(self, claim: Claim, now_ms: int) -> LedgerResult:
        row = self.rows.get(claim.key)
        if row is not None and row.digest not in ("", claim.digest):
            return LedgerResult("conflict")
        if row is None or row.state == RELEASED and row.nonce != claim.nonce and claim.seen >= row.released_revision:
            self.rows.pop(claim.key, None)
            self.rows[claim.key] = ClaimRecord(claim.digest, OPEN, claim.holder, claim.nonce, now_ms)
            return LedgerResult("granted")
        if row.state == OPEN and row.nonce == claim.nonce:
            return LedgerResult("granted")
        return _result_of(row)

    def _release(self, release: Release, now_ms: int, revision: int) -> LedgerResult:
        """Records also a release that arrives before its claim, so that the claim is refused when it arrives."""
        if release.key not in self.rows:
            self.rows[release.key] = ClaimRecord("", RELEASED, "", release.nonce, now_ms)
        result = self._close(release.key, release.nonce, RELEASED)
        row = self.rows[release.key]
        if result.state == RELEASED and not row.released_revision:
            self.rows[release.key] = replace(row, released_revision=revision)
        return result

    def _lose(self, lose: Lose) -> LedgerResult:
        for key, row in self.rows.items():
            if row.state == OPEN and row.holder == lose.holder:
                self.rows[key] = replace(row, state=LOST)
        return LedgerResult("ok")

    def _close(self, key: str, nonce: str, state: ClaimState, done: Done | None = None) -> LedgerResult:
        """Closes a claim in `state` unless it was closed otherwise; the result has its state afterwards."""
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

    def _expire(self, now_ms: int) -> None:
        while self.rows:
            key, row = next(iter(self.rows.items()))
            if row.claimed_at_ms + KEY_RETENTION_MS > now_ms:
                return
            del self.rows[key]
            self._drop_body(key)


def _result_of(row: ClaimRecord) -> LedgerResult:
    return LedgerResult(row.state, row.status, row.kind, row.body)
