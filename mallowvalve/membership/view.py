"""A member's view of the others, and the digests by which two members find out where their views differ."""

from __future__ import annotations

import random
import struct
from collections.abc import Collection
from hashlib import blake2b
from zlib import crc32

from mallowvalve.membership.wire import LEAVING, MemberRecord
from mallowvalve.types import Address

BUCKET_COUNT = 64
MARK_BYTES = 8


def mark(record: MemberRecord) -> int:
    """64 bits that tell this state of this record from any other; the low 6 are the bucket of its address."""
    address = f"{record.addr.host}:{record.addr.port}"
    text = f"{address} {record.boot} {record.incarnation} {record.state}"
    digest = blake2b(text.encode(), digest_size=MARK_BYTES).digest()
    return int.from_bytes(digest, "big") & ~(BUCKET_COUNT - 1) | bucket(address)


def bucket(address: str) -> int:
    """The bucket of HOST:PORT, the same on every member."""
    return crc32(address.encode()) % BUCKET_COUNT


def packed(marks: Collection[int]) -> bytes:
    """Marks as they travel, 8 bytes each."""
    return struct.pack(f">{len(marks)}Q", *marks)


def unpacked(data: bytes) -> tuple[int, ...]:
    """Marks as they came; bytes beyond the last whole one are ignored."""
    count = len(data) // MARK_BYTES
    return struct.unpack(f">{count}Q", data[: count * MARK_BYTES])


class Digest:
    """Marks of records, combined by XOR in all and by bucket; the order in which they came makes no difference."""

    __slots__ = ("total", "bucket_digests", "buckets", "_digest_of")

    def __init__(self) -> None:
        """No record at first."""
        self.total = 0
        self.bucket_digests = [0] * BUCKET_COUNT
        self.buckets: list[dict[int, Address]] = [{} for _ in range(BUCKET_COUNT)]
        self._digest_of: dict[Address, int] = {}

    def put(self, record: MemberRecord) -> None:
        """Take in a record in place of the one of its address."""
        self.drop(record.addr)
        its = self._digest_of[record.addr] = mark(record)
        self._turn(its)
        self.buckets[its % BUCKET_COUNT][its] = record.addr

    def drop(self, address: Address) -> None:
        """Forget the record of an address, if there is one."""
        its = self._digest_of.pop(address, None)
        if its is None:
            return
        self._turn(its)
        self.buckets[its % BUCKET_COUNT].pop(its, None)

    def __contains__(self, address: Address) -> bool:
        """Whether a record of that address is counted."""
        return address in self._digest_of

    def bucket(self, address: Address) -> int:
        """The bucket of an address, known or not."""
        its = self._digest_of.get(address)
        return bucket(f"{address.host}:{address.port}") if its is None else its % BUCKET_COUNT

    def find(self, its: int) -> Address | None:
        """Whose record has this mark."""
        return self.buckets[its % BUCKET_COUNT].get(its)

    def differing(self, theirs: tuple[int, ...]) -> list[int]:
        """Buckets whose sums differ from another's."""
        return [i for i, (mine, other) in enumerate(zip(self.bucket_digests, theirs, strict=False)) if mine != other]

    def _turn(self, its: int) -> None:
        self.total ^= its
        self.bucket_digests[its % BUCKET_COUNT] ^= its


class MemberTable:
    """The records a member has of the others, those alive at hand for a choice in constant time."""

    __slots__ = ("records", "live", "_live_index", "_lists")

    def __init__(self) -> None:
        """Nobody at first; `live` are the addresses of those alive or leaving, in no order."""
        self.records: dict[Address, MemberRecord] = {}
        self.live: list[Address] = []
        self._live_index: dict[Address, int] = {}
        self._lists: dict[str | None, list[MemberRecord]] = {}

    def put(self, record: MemberRecord) -> None:
        """Take in a record in place of the one of its address."""
        self.records[record.addr] = record
        self._lists.clear()
        if record.state > LEAVING:
            self._unlive(record.addr)
        elif record.addr not in self._live_index:
            self._live_index[record.addr] = len(self.live)
            self.live.append(record.addr)

    def drop(self, address: Address) -> None:
        """Forget a member that is in the view."""
        del self.records[address]
        self._lists.clear()
        self._unlive(address)

    def lives(self, address: Address) -> bool:
        """Whether a member is alive or leaving."""
        return address in self._live_index

    def alive(self, role: str | None = None) -> list[MemberRecord]:
        """Members alive or leaving, of one role or of any; not to be changed by the caller."""
        found = self._lists.get(role)
        if found is None:
            found = [
                record for record in self.records.values() if record.state <= LEAVING and role in (None, record.role)
            ]
            self._lists[role] = found
        return found

    def some(self, rng: random.Random, most: int, but: Address | None = None) -> list[Address]:
        """At most `most` others that are alive, chosen uniformly."""
        chosen = rng.sample(self.live, min(most + 1, len(self.live)))
        return [address for address in chosen if address != but][:most]

    def _unlive(self, address: Address) -> None:
        """Take one out of `live`: the last one moves to its place."""
        i = self._live_index.pop(address, None)
        if i is None:
            return
        last = self.live.pop()
        if last != address:
            self.live[i] = last
            self._live_index[last] = i
