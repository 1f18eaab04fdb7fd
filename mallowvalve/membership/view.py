"""A member's view of the other members, and the digests by which two members locate differences of their views."""

from __future__ import annotations

import random
import struct
from bisect import bisect_left, insort
from collections.abc import Collection
from hashlib import blake2b
from zlib import crc32

from mallowvalve.membership.wire import LEAVING, MemberRecord
from mallowvalve.types import Address

BUCKET_COUNT = 64
RECORD_DIGEST_BYTES = 8
RING_POSITION_BYTES = 8


def record_digest(record: MemberRecord) -> int:
    """Returns 64 bits that identify this version of the record; the low 6 bits are the bucket of its address."""
    address = f"{record.addr.host}:{record.addr.port}"
    text = f"{address} {record.boot} {record.incarnation} {record.state}"
    digest = blake2b(text.encode(), digest_size=RECORD_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big") & ~(BUCKET_COUNT - 1) | bucket_of(address)


def bucket_of(address: str) -> int:
    """Returns the bucket of HOST:PORT, which is the same on every member."""
    return crc32(address.encode()) % BUCKET_COUNT


def pack_digests(digests: Collection[int]) -> bytes:
    """Returns the wire format of digests, 8 bytes each."""
    return struct.pack(f">{len(digests)}Q", *digests)


def unpack_digests(data: bytes) -> tuple[int, ...]:
    """Returns the digests in `data`; bytes beyond the last whole digest are ignored."""
    count = len(data) // RECORD_DIGEST_BYTES
    return struct.unpack(f">{count}Q", data[: count * RECORD_DIGEST_BYTES])


class ViewDigest:
    """The record digests of a view, combined by XOR over all records and per bucket.

    The result does not depend on the order in which the records were added.
    """

    __slots__ = ("total", "bucket_digests", "buckets", "_digest_of")

    def __init__(self) -> None:
        """Creates the digest of an empty view."""
        self.total = 0
        self.bucket_digests = [0] * BUCKET_COUNT
        self.buckets: list[dict[int, Address]] = [{} for _ in range(BUCKET_COUNT)]
        self._digest_of: dict[Address, int] = {}

    def put(self, record: MemberRecord) -> None:
        """Adds a record in place of the previous record of its address."""
        self.drop(record.addr)
        digest = self._digest_of[record.addr] = record_digest(record)
        self._toggle(digest)
        self.buckets[digest % BUCKET_COUNT][digest] = record.addr

    def drop(self, address: Address) -> None:
        """Removes the record of an address, if there is one."""
        digest = self._digest_of.pop(address, None)
        if digest is None:
            return
        self._toggle(digest)
        self.buckets[digest % BUCKET_COUNT].pop(digest, None)

    def __contains__(self, address: Address) -> bool:
        """Returns whether a record of that address is included."""
        return address in self._digest_of

    def bucket(self, address: Address) -> int:
        """Returns the bucket of an address, whether or not its record is included."""
        digest = self._digest_of.get(address)
        return bucket_of(f"{address.host}:{address.port}") if digest is None else digest % BUCKET_COUNT

    def find(self, digest: int) -> Address | None:
        """Returns the address whose record has this digest."""
        return self.buckets[digest % BUCKET_COUNT].get(digest)

    def differing_buckets(self, theirs: tuple[int, ...]) -> list[int]:
        """Returns the buckets whose digests differ from those of another member."""
        return [i for i, (mine, other) in enumerate(zip(self.bucket_digests, theirs, strict=False)) if mine != other]

    def _toggle(self, digest: int) -> None:
        """Adds a record digest, or removes one that is included."""
        self.total ^= digest
        self.bucket_digests[digest % BUCKET_COUNT] ^= digest


def ring_position(address: Address) -> int:
    """Returns the position of a member on the ring: evenly spread, and the same on every member."""
    digest = blake2b(f"{address.host}:{address.port}".encode(), digest_size=RING_POSITION_BYTES).digest()
    return int.from_bytes(digest, "big")


class Ring:
    """The live members in the order of their positions on a ring."""

    __slots__ = ("_members",)

    def __init__(self) -> None:
        """Creates an empty ring."""
        self._members: list[tuple[int, Address]] = []

    def copy(self) -> Ring:
        """Returns a ring with the same members."""
        other = Ring()
        other._members = self._members.copy()
        return other

    def add(self, address: Address) -> None:
        """Adds a member that is not on the ring."""
        insort(self._members, (ring_position(address), address))

    def remove(self, address: Address) -> None:
        """Removes a member that is on the ring."""
        del self._members[bisect_left(self._members, (ring_position(address), address))]

    def neighbours(self, address: Address, each_side: int) -> list[Address]:
        """Returns the members next to `address`, which is not on the ring itself, on both sides."""
        members = self._members
        if len(members) <= 2 * each_side:
            return [member for _, member in members]
        start = bisect_left(members, (ring_position(address), address))
        return [members[(start + offset) % len(members)][1] for offset in range(-each_side, each_side)]


class MemberTable:
    """The records of the other members, from which a live member can be drawn in constant time.

    `ring` has the live ones in the order by which they watch each other.
    """

    __slots__ = ("records", "live", "ring", "_live_index", "_live_by_role")

    def __init__(self) -> None:
        """Creates an empty table; `live` lists the addresses of alive and leaving members, in no particular order."""
        self.records: dict[Address, MemberRecord] = {}
        self.live: list[Address] = []
        self.ring = Ring()
        self._live_index: dict[Address, int] = {}
        self._live_by_role: dict[str | None, list[MemberRecord]] = {}

    def put(self, record: MemberRecord) -> None:
        """Stores a record in place of the previous record of its address."""
        self.records[record.addr] = record
        self._live_by_role.clear()
        if record.state > LEAVING:
            self._remove_live(record.addr)
        elif record.addr not in self._live_index:
            self._live_index[record.addr] = len(self.live)
            self.live.append(record.addr)
            self.ring.add(record.addr)

    def drop(self, address: Address) -> None:
        """Removes the record of an address that is in the table."""
        del self.records[address]
        self._live_by_role.clear()
        self._remove_live(address)

    def is_live(self, address: Address) -> bool:
        """Returns whether the member is alive or leaving."""
        return address in self._live_index

    def alive(self, role: str | None = None) -> list[MemberRecord]:
        """Returns the alive and leaving members of a role, or of all roles; the caller must not modify the list."""
        found = self._live_by_role.get(role)
        if found is None:
            found = [
                record for record in self.records.values() if record.state <= LEAVING and role in (None, record.role)
            ]
            self._live_by_role[role] = found
        return found

    def sample(self, rng: random.Random, count: int, excluded: Address | None = None) -> list[Address]:
        """Returns at most `count` live members other than `excluded`, drawn uniformly."""
        chosen = rng.sample(self.live, min(count + 1, len(self.live)))
        return [address for address in chosen if address != excluded][:count]

    def _remove_live(self, address: Address) -> None:
        """Removes an address from `live`; the last entry takes its place."""
        index = self._live_index.pop(address, None)
        if index is None:
            return
        self.ring.remove(address)
        last = self.live.pop()
        if last != address:
            self.live[index] = last
            self._live_index[last] = index
