from __future__ import annotations

import random
import struct
from hashlib import blake2b
from zlib import crc32

from mallowvalve.membership.wire import LEAVING, Record
from mallowvalve.types import Address

BUCKETS = 64


def mark(r: Record) -> int:
    """64 bits that tell this state of this record from any other; the low 6 are the bucket of its address."""
    addr = f"{r.addr.host}:{r.addr.port}"
    h = blake2b(f"{addr} {r.boot} {r.incarnation} {r.state}".encode(), digest_size=8).digest()
    return int.from_bytes(h, "big") & ~(BUCKETS - 1) | bucket(addr)


def bucket(addr: str) -> int:
    return crc32(addr.encode()) % BUCKETS


def packed(marks) -> bytes:
    return struct.pack(f">{len(marks)}Q", *marks)


def unpacked(data: bytes) -> tuple[int, ...]:
    return struct.unpack(f">{len(data) // 8}Q", data[: len(data) // 8 * 8])


class Digest:
    """Digests of records, by bucket and in sum, kept up to date; the order in which they came makes no difference."""

    __slots__ = ("total", "sums", "buckets", "_of")

    def __init__(self):
        self.total = 0
        self.sums = [0] * BUCKETS
        self.buckets: list[dict[int, Address]] = [{} for _ in range(BUCKETS)]
        self._of: dict[Address, int] = {}

    def put(self, r: Record) -> None:
        self.drop(r.addr)
        m = self._of[r.addr] = mark(r)
        self._turn(m)
        self.buckets[m % BUCKETS][m] = r.addr

    def drop(self, a: Address) -> None:
        m = self._of.pop(a, None)
        if m is None:
            return
        self._turn(m)
        self.buckets[m % BUCKETS].pop(m, None)

    def __contains__(self, a: Address) -> bool:
        return a in self._of

    def bucket(self, a: Address) -> int:
        m = self._of.get(a)
        return bucket(f"{a.host}:{a.port}") if m is None else m % BUCKETS

    def find(self, m: int) -> Address | None:
        return self.buckets[m % BUCKETS].get(m)

    def differing(self, theirs: tuple[int, ...]) -> list[int]:
        return [i for i, (x, y) in enumerate(zip(self.sums, theirs)) if x != y]

    def _turn(self, m: int) -> None:
        self.total ^= m
        self.sums[m % BUCKETS] ^= m


class View:
    """The records a member has of the others, those alive at hand for a choose in constant time."""

    __slots__ = ("rows", "live", "_place", "_lists")

    def __init__(self):
        self.rows: dict[Address, Record] = {}
        self.live: list[Address] = []
        self._place: dict[Address, int] = {}
        self._lists: dict[str | None, list[Record]] = {}

    def put(self, r: Record) -> None:
        self.rows[r.addr] = r
        self._lists.clear()
        if r.state > LEAVING:
            self._unlive(r.addr)
        elif r.addr not in self._place:
            self._place[r.addr] = len(self.live)
            self.live.append(r.addr)

    def drop(self, a: Address) -> None:
        del self.rows[a]
        self._lists.clear()
        self._unlive(a)

    def lives(self, a: Address) -> bool:
        return a in self._place

    def alive(self, role: str | None = None) -> list[Record]:
        got = self._lists.get(role)
        if got is None:
            got = self._lists[role] = [r for r in self.rows.values() if r.state <= LEAVING and role in (None, r.role)]
        return got

    def some(self, rng: random.Random, n: int, but: Address | None = None) -> list[Address]:
        """At most `n` others that are alive, chosen uniformly."""
        chosen = rng.sample(self.live, min(n + 1, len(self.live)))
        return [a for a in chosen if a != but][:n]

    def _unlive(self, a: Address) -> None:
        i = self._place.pop(a, None)
        if i is None:
            return
        last = self.live.pop()
        if last != a:
            self.live[i], self._place[last] = last, i
