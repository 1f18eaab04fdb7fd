from __future__ import annotations

import hashlib
import uuid

import gevent
import msgspec

from mallowvalve import clock
from mallowvalve.claim.ledger import Claim, Done, Forfeit, Release, Verdict
from mallowvalve.count import Counts
from mallowvalve.law.echotask import EchoTask
from mallowvalve.law.state import encode

TRY = 10.0
_verdict = msgspec.msgpack.Decoder(Verdict).decode
UNDECIDED = Verdict("undecided")


def digest(method: str, target: str, body: bytes) -> str:
    return hashlib.blake2b(b"\0".join((method.encode(), target.encode(), body)), digest_size=16).hexdigest()


class Claims:
    __slots__ = ("echo", "holder", "counts")

    def __init__(self, echo: EchoTask, holder: str, counts: Counts):
        self.echo, self.holder, self.counts = echo, holder, counts

    def claim(self, key: str, dig: str, end: float) -> tuple[Verdict, str]:
        nonce = uuid.uuid4().hex
        v = self._offer(Claim(key, dig, self.holder, nonce), end - clock.now())
        if v.state == "undecided":
            self.release_later(key, nonce)
        return v, nonce

    def look(self, key: str) -> str | None:
        st = self.echo.echo.state
        r = st.ledger.rows.get(key) if st else None
        return r.state if r else None

    def wait(self, key: str, dig: str, end: float) -> Verdict:
        while clock.now() < end:
            st = self.echo.echo.state
            v = st.ledger.look(key, dig) if st else None
            if v is not None and v.state != "open":
                return v
            gevent.sleep(0.02)
        return Verdict("open")

    def done(self, key: str, nonce: str, status: int, kind: str, body: bytes | None) -> None:
        c = Done(key, nonce, status, kind, body)
        if self._offer(c, 1.0).state != "done":
            gevent.spawn(self._insist, c, ("done", "gone"))

    def release(self, key: str, nonce: str, end: float) -> bool:
        v = self._offer(Release(key, nonce), max(0.2, min(1.0, end - clock.now())))
        if v.state != "released":
            self.release_later(key, nonce)
        return v.state == "released"

    def release_later(self, key: str, nonce: str) -> None:
        gevent.spawn(self._insist, Release(key, nonce), ("released",))

    def forfeit(self, key: str, nonce: str) -> None:
        gevent.spawn(self._insist, Forfeit(key, nonce), ("lost", "done", "gone"))

    def _insist(self, c, good: tuple[str, ...]) -> None:
        end = clock.now() + TRY
        while clock.now() < end:
            if self._offer(c, 2.0).state in good:
                return
            gevent.sleep(0.5)
        self.counts.add("claim_left_open")

    def _offer(self, c, limit: float) -> Verdict:
        t = self.echo.offer(encode(c), limit)
        return _verdict(t.body) if t.body else UNDECIDED
