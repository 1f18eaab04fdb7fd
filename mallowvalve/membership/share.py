from __future__ import annotations

import random

import msgspec

from mallowvalve.membership.view import BUCKETS, Digest, View, packed, unpacked
from mallowvalve.membership.wire import LEAVING, VERSION, Head, Marks, Message, Record, Sums, Tell, Want
from mallowvalve.metrics import Counts
from mallowvalve.types import Address

ROOM = 1100
DIRECT = 64
PAUSE = 0.03
BURST, RATE = 128, 64.0
MOST_MARKS = 130


def size(r: Record) -> int:
    """Bytes a record takes in a datagram, at most."""
    text = len(r.role) + len(r.name) + len(r.locality.region) + len(r.locality.zone) + 2 * len(r.addr.host)
    return text + 40


def batches(records: list[Record]) -> list[list[Record]]:
    out, room = [], 0
    for r in records:
        n = size(r)
        if not out or n > room:
            out.append([])
            room = ROOM
        out[-1].append(r)
        room -= n
    return out


def shares(n: int) -> int:
    """Into how many shares a group of `n` is cut: a power of two near its root, so that nobody sends many at once."""
    m = 8
    while m < BUCKETS and m * m < n:
        m *= 2
    return m


class Share:
    """What a member knows, and how it gets about: news at once, digests for what the news missed.

    Up to 64 members news go straight to all. In a larger group they go to one member of each share, who passes them on
    to the rest of it. A datagram that was lost shows as a difference of digests at the next ping between any two.
    """

    __slots__ = (
        "me",
        "fleet",
        "rng",
        "counts",
        "why",
        "_view",
        "_digest",
        "_seen",
        "_out",
        "_untold",
        "_flush_at",
        "_told",
        "_room",
        "_filled",
    )

    def __init__(self, me: Record, fleet: str, rng: random.Random):
        self.me, self.fleet, self.rng = me, fleet, rng
        self.counts = Counts()
        self.why: dict[Address, str] = {}
        self._view, self._digest = View(), Digest()
        self._digest.put(me)
        self._seen: dict[Address, float] = {}
        self._out: list[tuple[Address, Message]] = []
        self._untold: list[Address] = []
        self._flush_at: float | None = None
        self._told = 0
        self._room, self._filled = float(BURST), 0.0

    @property
    def view(self) -> dict[Address, Record]:
        return self._view.rows

    def alive(self, role: str | None = None) -> list[Record]:
        """Members alive or leaving, of one role or of any; not to be changed by the caller."""
        return self._view.alive(role)

    def _raise(self, incarnation: int, **fields) -> None:
        self.me = msgspec.structs.replace(self.me, incarnation=incarnation, **fields)
        self._digest.put(self.me)

    def _accept(self, r: Record, now: float, why: str) -> bool:
        old = self.view.get(r.addr)
        if old is not None and r.rank <= old.rank:
            return False
        self._view.put(r)
        self._digest.put(r)
        if r.state <= LEAVING:
            self._seen.pop(r.addr, None)
        elif old is None or old.state <= LEAVING or old.boot != r.boot:
            self._seen[r.addr] = now
        if old is None or (old.state, old.boot) != (r.state, r.boot):
            self.why[r.addr] = why
        if old is None or old.state != r.state:
            self.counts.add(("membership_alive", "membership_leaving", "membership_failed", "membership_left")[r.state])
        return True

    def _drop(self, a: Address) -> None:
        self._view.drop(a)
        self._digest.drop(a)
        self._seen.pop(a, None)
        self.why.pop(a, None)

    def _introduce(self, a: Address, now: float) -> None:
        self._untold.append(a)
        self._flush_at = self._flush_at or now + PAUSE

    def _flush(self, now: float) -> None:
        if self._flush_at is None or now < self._flush_at:
            return
        self._flush_at = None
        if len(self._view.live) <= DIRECT:
            for a in self._untold:
                self._send(a, Tell(self._head(), [self.me]))
        elif self._untold and len(self._view.live) > 2 * self._told:
            self._spread([self.me])
            self._told = len(self._view.live)
        self._untold = []

    def _spread(self, records: list[Record], also: Address | None = None) -> None:
        if also is not None and not self._view.lives(also):
            self._send(also, Tell(self._head(), records))
        self._cast(records, self._view.live)

    def _cast(self, records: list[Record], to: list[Address]) -> None:
        if len(to) <= DIRECT:
            for a in to:
                self._send(a, Tell(self._head(), records))
            return
        m = shares(len(to))
        cut: list[list[Address]] = [[] for _ in range(m)]
        for a in to:
            cut[self._digest.bucket(a) % m].append(a)
        for i, members in enumerate(cut):
            self._send(self.rng.choice(members or to), Tell(self._head(), records, share=(i, m)))

    def _relay(self, m: Tell, sender: Address) -> None:
        i, n = m.share
        about = {r.addr for r in m.records}
        for a in self._view.live:
            if n > 0 and self._digest.bucket(a) % n == i and a != sender and a not in about:
                self._send(a, Tell(self._head(), m.records))

    def _compare(self, to: Address, total: int) -> bool:
        if total == self._digest.total:
            return True
        self.counts.add("membership_differed")
        self._send(to, Sums(self._head(), packed(self._digest.sums)))
        return False

    def _show(self, to: Address, sums: bytes, much: bool) -> None:
        differing = self._digest.differing(unpacked(sums))
        self.rng.shuffle(differing)
        bits, marks, left = 0, [], 8 if much else 2
        for i in differing:
            if marks and len(marks) + len(self._digest.buckets[i]) > MOST_MARKS:
                self._send(to, Marks(self._head(), bits, packed(marks)))
                bits, marks, left = 0, [], left - 1
            if not left:
                return
            bits |= 1 << i
            marks += self._digest.buckets[i]
        if bits:
            self._send(to, Marks(self._head(), bits, packed(marks)))

    def _fill(self, m: Marks, now: float) -> None:
        theirs, mine, lack = set(unpacked(m.marks)), set(), []
        for i in range(BUCKETS):
            if m.buckets >> i & 1:
                mine.update(self._digest.buckets[i])
                lack += [a for x, a in self._digest.buckets[i].items() if x not in theirs]
        self._tell(m.head.sender, [self._record(a) for a in lack], now)
        want = sorted(theirs - mine)
        if want:
            self._send(m.head.sender, Want(self._head(), packed(want[:MOST_MARKS])))

    def _give(self, to: Address, marks: bytes, now: float) -> None:
        found = [self._digest.find(x) for x in unpacked(marks)]
        self._tell(to, [self._record(a) for a in found if a is not None], now)

    def _tell(self, to: Address, records: list[Record], now: float) -> None:
        """Sends records, so many datagrams a second in all; who gets some only sees a difference and asks again."""
        self._room = min(float(BURST), self._room + (now - self._filled) * RATE)
        self._filled = now
        out = batches(records)
        if len(out) > max(1, int(self._room)):
            self.rng.shuffle(out)
            out = out[: max(1, int(self._room))]
        self._room -= len(out)
        for rs in out:
            self._send(to, Tell(self._head(), rs))

    def _record(self, a: Address) -> Record:
        return self.me if a == self.me.addr else self.view[a]

    def _head(self) -> Head:
        return Head(VERSION, self.fleet, self.me.addr, self.me.boot, self.me.incarnation)

    def _send(self, to: Address, m: Message) -> None:
        self._out.append((to, m))

    def _take(self) -> list[tuple[Address, Message]]:
        out, self._out = self._out, []
        for _, m in out:
            self.counts.add(f"membership_sent_{type(m).__name__.lower()}")
        return out
