"""The ledger of requests that may run once: who claimed a key, and how that ended.

Replicated: `Ledger.apply` is the same on every node. Times are ms of the fleet's clock.
"""

from __future__ import annotations

from typing import Literal

import msgspec
from msgspec.structs import replace

KEEP_MS = 900_000
"""How long a key is remembered."""

KEEP_BYTES = 32 << 20
"""Bytes of answers that are kept in all; the oldest are dropped first."""

State = Literal["open", "done", "released", "lost"]
Said = Literal["open", "done", "released", "lost", "granted", "conflict", "gone", "ok", "undecided"]
"""What a command is told: the key's state, or granted (the key is the claimer's), conflict (another request has it),
gone (there is no such claim), ok. A proxy that hears nothing in time takes it as undecided.
"""

OPEN: State = "open"
DONE: State = "done"
RELEASED: State = "released"
LOST: State = "lost"


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


class Row(msgspec.Struct, array_like=True, frozen=True):
    """A key: its last claim, claimed at `at`, and how that ended; `freed` is the revision of its release."""

    digest: str
    state: State
    holder: str
    nonce: str
    at: int
    status: int = 0
    kind: str = ""
    body: bytes | None = None
    freed: int = 0


class Verdict(msgspec.Struct, array_like=True, frozen=True):
    """What a command is told, with the answer that was kept where the key is done."""

    state: Said
    status: int = 0
    kind: str = ""
    body: bytes | None = None


class Ledger:
    """All keys, the oldest claim first; `kept` gives the bytes of each answer that is held, the oldest first."""

    __slots__ = ("rows", "kept", "_bytes")

    def __init__(self) -> None:
        """No key at first."""
        self.rows: dict[str, Row] = {}
        self.kept: dict[str, int] = {}
        self._bytes = 0

    def apply(self, command: Command, at: int, revision: int = 0) -> Verdict:
        """Take in a command of the entry `revision`, at that entry's time."""
        self._forget(at)
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

    def look(self, key: str, digest: str) -> Verdict | None:
        """What is known of a key, None if nothing; it changes nothing."""
        row = self.rows.get(key)
        if row is None:
            return None
        return Verdict("conflict") if row.digest not in ("", digest) else _known(row)

    def keep_again(self, keys: list[str]) -> bool:
        """Answers kept by a snapshot, in its order; false where a row lacks its answer."""
        for key in keys:
            row = self.rows.get(key)
            if row is None or not row.body:
                return False
            self.kept[key] = len(row.body)
            self._bytes += len(row.body)
        return True

    def _claim(self, claim: Claim, at: int) -> Verdict:
        row = self.rows.get(claim.key)
        if row is not None and row.digest not in ("", claim.digest):
            return Verdict("conflict")
        if row is None or row.state == RELEASED and row.nonce != claim.nonce and claim.seen >= row.freed:
            self.rows.pop(claim.key, None)
            self.rows[claim.key] = Row(claim.digest, OPEN, claim.holder, claim.nonce, at)
            return Verdict("granted")
        if row.state == OPEN and row.nonce == claim.nonce:
            return Verdict("granted")
        return _known(row)

    def _release(self, release: Release, at: int, revision: int) -> Verdict:
        """A release that overtook its claim stays, so that the claim is refused when it comes."""
        if release.key not in self.rows:
            self.rows[release.key] = Row("", RELEASED, "", release.nonce, at)
        verdict = self._close(release.key, release.nonce, RELEASED)
        row = self.rows[release.key]
        if verdict.state == RELEASED and not row.freed:
            self.rows[release.key] = replace(row, freed=revision)
        return verdict

    def _lose(self, lose: Lose) -> Verdict:
        for key, row in self.rows.items():
            if row.state == OPEN and row.holder == lose.holder:
                self.rows[key] = replace(row, state=LOST)
        return Verdict("ok")

    def _close(self, key: str, nonce: str, state: State, done: Done | None = None) -> Verdict:
        """A claim ends in `state` if it has not ended otherwise; the verdict says how it stands."""
        row = self.rows.get(key)
        if row is None or row.nonce != nonce:
            return Verdict("gone")
        if row.state == DONE or state == RELEASED and row.state == LOST:
            return Verdict(row.state)
        if row.state == RELEASED and state != RELEASED:
            return Verdict(RELEASED)
        if done is None:
            self.rows[key] = replace(row, state=state)
            return Verdict(state)
        self.rows[key] = replace(row, state=state, status=done.status, kind=done.kind, body=done.body)
        if done.body:
            self._keep(key, done.body)
        return Verdict(state)

    def _keep(self, key: str, body: bytes) -> None:
        self.kept[key] = len(body)
        self._bytes += len(body)
        while self._bytes > KEEP_BYTES:
            oldest = next(iter(self.kept))
            self._drop(oldest)
            self.rows[oldest] = replace(self.rows[oldest], body=None)

    def _drop(self, key: str) -> None:
        self._bytes -= self.kept.pop(key, 0)

    def _forget(self, at: int) -> None:
        while self.rows:
            key, row = next(iter(self.rows.items()))
            if row.at + KEEP_MS > at:
                return
            del self.rows[key]
            self._drop(key)


def _known(row: Row) -> Verdict:
    return Verdict(row.state, row.status, row.kind, row.body)
