from __future__ import annotations

import msgspec
from msgspec.structs import replace

KEEP_MS = 900_000
KEEP_BYTES = 32 << 20
OPEN, DONE, RELEASED, LOST = "open", "done", "released", "lost"


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    key: str
    digest: str
    holder: str
    nonce: str
    seen: int = 0


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    key: str
    nonce: str
    status: int
    kind: str
    body: bytes | None


class Release(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    key: str
    nonce: str


class Forfeit(msgspec.Struct, frozen=True, array_like=True, tag="forfeit"):
    key: str
    nonce: str


class Lose(msgspec.Struct, frozen=True, array_like=True, tag="lose"):
    holder: str


class Row(msgspec.Struct, array_like=True, frozen=True):
    digest: str
    state: str
    holder: str
    nonce: str
    at: int
    status: int = 0
    kind: str = ""
    body: bytes | None = None
    freed: int = 0


class Verdict(msgspec.Struct, array_like=True, frozen=True):
    state: str
    status: int = 0
    kind: str = ""
    body: bytes | None = None


class Ledger:
    __slots__ = ("rows", "kept", "_bytes")

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.kept: dict[str, int] = {}
        self._bytes = 0

    def apply(self, c: Claim | Done | Release | Forfeit | Lose, at: int, revision: int = 0) -> Verdict:
        self._forget(at)
        match c:
            case Claim():
                return self._claim(c, at)
            case Done():
                return self._close(c.key, c.nonce, DONE, c)
            case Release():
                return self._release(c, at, revision)
            case Forfeit():
                return self._close(c.key, c.nonce, LOST)
            case Lose():
                for k, r in self.rows.items():
                    if r.state == OPEN and r.holder == c.holder:
                        self.rows[k] = replace(r, state=LOST)
                return Verdict("ok")

    def look(self, key: str, digest: str) -> Verdict | None:
        r = self.rows.get(key)
        if r is None:
            return None
        return Verdict("conflict") if r.digest not in ("", digest) else Verdict(r.state, r.status, r.kind, r.body)

    def _claim(self, c: Claim, at: int) -> Verdict:
        r = self.rows.get(c.key)
        if r is not None and r.digest not in ("", c.digest):
            return Verdict("conflict")
        if r is None or r.state == RELEASED and r.nonce != c.nonce and c.seen >= r.freed:
            self.rows.pop(c.key, None)
            self.rows[c.key] = Row(c.digest, OPEN, c.holder, c.nonce, at)
            return Verdict("granted")
        if r.state == OPEN and r.nonce == c.nonce:
            return Verdict("granted")
        return Verdict(r.state, r.status, r.kind, r.body)

    def _release(self, c: Release, at: int, revision: int) -> Verdict:
        """A release that overtook its claim stays, so that the claim is refused when it comes."""
        if c.key not in self.rows:
            self.rows[c.key] = Row("", RELEASED, "", c.nonce, at)
        v = self._close(c.key, c.nonce, RELEASED)
        r = self.rows[c.key]
        if v.state == RELEASED and not r.freed:
            self.rows[c.key] = replace(r, freed=revision)
        return v

    def _close(self, key: str, nonce: str, state: str, d: Done | None = None) -> Verdict:
        r = self.rows.get(key)
        if r is None or r.nonce != nonce:
            return Verdict("gone")
        if r.state == DONE or state == RELEASED and r.state == LOST:
            return Verdict(r.state)
        if r.state == RELEASED and state != RELEASED:
            return Verdict(RELEASED)
        if d is None:
            self.rows[key] = replace(r, state=state)
            return Verdict(state)
        self.rows[key] = replace(r, state=state, status=d.status, kind=d.kind, body=d.body)
        if d.body:
            self._keep(key, d.body)
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
            key, r = next(iter(self.rows.items()))
            if r.at + KEEP_MS > at:
                return
            del self.rows[key]
            self._drop(key)

    def keep_again(self, keys: list[str]) -> bool:
        """Answers kept by a snapshot, in its order; false where a row lacks its answer."""
        for k in keys:
            r = self.rows.get(k)
            if r is None or not r.body:
                return False
            self.kept[k] = len(r.body)
            self._bytes += len(r.body)
        return True
