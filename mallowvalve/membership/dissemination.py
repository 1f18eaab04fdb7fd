"""Dissemination of a member's view: updates are sent at once, and digests repair what lost updates left out."""

from __future__ import annotations

import random
from typing import Any

import msgspec

from mallowvalve.membership.view import BUCKET_COUNT, MemberTable, ViewDigest, pack_digests, unpack_digests
from mallowvalve.membership.wire import (
    LEAVING,
    PROTOCOL_VERSION,
    DatagramHeader,
    Marks,
    MemberRecord,
    MemberState,
    Message,
    Sums,
    Tell,
    Want,
)
from mallowvalve.metrics import Counts
from mallowvalve.types import Address

OutgoingDatagrams = list[tuple[Address, Message]]
"""Datagrams to send, each with its destination."""

DATAGRAM_RECORDS_BYTES = 1100
"""Bytes of records in one datagram, so that it fits in an Ethernet frame."""

RECORD_FIXED_BYTES = 40
"""The maximum bytes of a record besides its strings."""

DIRECT_SEND_MEMBERS_MAX = 64
"""In groups of up to this size, updates are sent directly to each member."""

INTRODUCTION_DELAY_S = 0.03
"""How long newly discovered members are collected before this member introduces itself to them."""

RECORD_DATAGRAMS_BURST = 128
"""Datagrams with whole records that may be sent at once."""

RECORD_DATAGRAMS_PER_S = 64.0
"""The sustained rate of datagrams with whole records."""

DATAGRAM_DIGESTS_MAX = 130
"""The maximum number of record digests in one datagram."""

RELAY_GROUPS_MIN = 8
DIGEST_REPLY_DATAGRAMS_MAX = 2
"""Datagrams of record digests in reply to one digest of a member."""

JOINER_DIGEST_REPLY_DATAGRAMS_MAX = 8
"""The same, while this member is joining."""

STATE_COUNTERS = {state: f"membership_{state.name.lower()}" for state in MemberState}


def record_bytes_max(record: MemberRecord) -> int:
    """Returns the maximum number of bytes that a record takes in a datagram."""
    locality = record.locality
    texts = len(record.role) + len(record.name) + len(locality.region) + len(locality.zone)
    return texts + 2 * len(record.addr.host) + RECORD_FIXED_BYTES


def record_batches(records: list[MemberRecord]) -> list[list[MemberRecord]]:
    """Splits records into batches that each fit in a datagram."""
    out: list[list[MemberRecord]] = []
    bytes_left = 0
    for record in records:
        needed = record_bytes_max(record)
        if not out or needed > bytes_left:
            out.append([])
            bytes_left = DATAGRAM_RECORDS_BYTES
        out[-1].append(record)
        bytes_left -= needed
    return out


def relay_group_count(members: int) -> int:
    """Returns the number of relay groups: a power of two near the square root, so that no member sends a burst."""
    count = RELAY_GROUPS_MIN
    while count < BUCKET_COUNT and count * count < members:
        count *= 2
    return count


class Dissemination:
    """A member's view of the group, and the exchange of updates and digests with the other members.

    In groups of up to 64 members, updates are sent directly to all. In larger groups they are sent to one member of
    each relay group, which forwards them to the rest of its group. A lost datagram shows as a difference of digests at
    the next ping between any two members.
    """

    __slots__ = (
        "me",
        "fleet",
        "rng",
        "counts",
        "reasons",
        "_view",
        "_digest",
        "_departed_at",
        "_known_since",
        "_outgoing",
        "_to_introduce",
        "_introduce_at",
        "_introduced_size",
        "_datagram_tokens",
        "_tokens_refilled_at",
    )

    def __init__(self, me: MemberRecord, fleet: str, rng: random.Random) -> None:
        """Starts knowing only `me`; `reasons` collects, for the log, why each record has its present state."""
        self.me = me
        self.fleet = fleet
        self.rng = rng
        self.counts = Counts()
        self.reasons: dict[Address, str] = {}
        self._view = MemberTable()
        self._digest = ViewDigest()
        self._digest.put(me)
        self._departed_at: dict[Address, float] = {}
        self._known_since: dict[Address, float] = {}
        self._outgoing: OutgoingDatagrams = []
        self._to_introduce: list[Address] = []
        self._introduce_at: float | None = None
        self._introduced_size = 0
        self._datagram_tokens = float(RECORD_DATAGRAMS_BURST)
        self._tokens_refilled_at = 0.0

    @property
    def view(self) -> dict[Address, MemberRecord]:
        """The records of the other members."""
        return self._view.records

    def alive(self, role: str | None = None) -> list[MemberRecord]:
        """Returns the alive and leaving members of a role, or of all roles; the caller must not modify the list."""
        return self._view.alive(role)

    def _update_self(self, incarnation: int, **fields: Any) -> None:
        """Updates this member's own record under a new incarnation."""
        self.me = msgspec.structs.replace(self.me, incarnation=incarnation, **fields)
        self._digest.put(self.me)

    def _apply_record(self, record: MemberRecord, now: float, reason: str) -> bool:
        """Stores a record if it outranks the stored one, and returns whether it did.

        `_departed_at` is the time at which a member was recorded as failed or left, `_known_since` the time at which
        its current process became known.
        """
        old = self.view.get(record.addr)
        if old is not None and record.rank <= old.rank:
            return False
        self._view.put(record)
        self._digest.put(record)
        if old is None or old.boot != record.boot:
            self._known_since[record.addr] = now
        if record.state <= LEAVING:
            self._departed_at.pop(record.addr, None)
        elif old is None or old.state <= LEAVING or old.boot != record.boot:
            self._departed_at[record.addr] = now
        if old is None or (old.state, old.boot) != (record.state, record.boot):
            self.reasons[record.addr] = reason
        if old is None or old.state != record.state:
            self.counts.add(STATE_COUNTERS[record.state])
        return True

    def _drop(self, address: Address) -> None:
        self._view.drop(address)
        self._digest.drop(address)
        self._departed_at.pop(address, None)
        self._known_since.pop(address, None)
        self.reasons.pop(address, None)

    def _schedule_introduction(self, address: Address, now: float) -> None:
        """Schedules sending this member's record to a newly discovered member."""
        self._to_introduce.append(address)
        self._introduce_at = self._introduce_at or now + INTRODUCTION_DELAY_S

    def _send_introductions(self, now: float) -> None:
        if self._introduce_at is None or now < self._introduce_at:
            return
        self._introduce_at = None
        if len(self._view.live) <= DIRECT_SEND_MEMBERS_MAX:
            for address in self._to_introduce:
                self._send(address, Tell(self._header(), [self.me]))
        elif self._to_introduce and len(self._view.live) > 2 * self._introduced_size:
            self._disseminate([self.me])
            self._introduced_size = len(self._view.live)
        self._to_introduce = []

    def _disseminate(self, records: list[MemberRecord], also: Address | None = None) -> None:
        """Sends records to all live members, and to `also` whatever its state is."""
        if also is not None and not self._view.is_live(also):
            self._send(also, Tell(self._header(), records))
        self._send_to_all(records, self._view.live)

    def _send_to_all(self, records: list[MemberRecord], addresses: list[Address]) -> None:
        """Sends records to these members, through relay groups if there are many."""
        if len(addresses) <= DIRECT_SEND_MEMBERS_MAX:
            for address in addresses:
                self._send(address, Tell(self._header(), records))
            return
        count = relay_group_count(len(addresses))
        groups: list[list[Address]] = [[] for _ in range(count)]
        for address in addresses:
            groups[self._digest.bucket(address) % count].append(address)
        for index, group in enumerate(groups):
            self._send(self.rng.choice(group or addresses), Tell(self._header(), records, relay_group=(index, count)))

    def _relay(self, message: Tell, relay_group: tuple[int, int]) -> None:
        """Forwards records to the members of a relay group, except to a member that they alone are about."""
        sender = message.header.sender
        index, count = relay_group
        about = {record.addr for record in message.records}
        for address in self._view.live:
            if count > 0 and self._digest.bucket(address) % count == index and address != sender and about != {address}:
                self._send(address, Tell(self._header(), message.records))

    def _compare_digest(self, peer: Address, view_digest: int) -> bool:
        """Returns whether a peer's digest equals this member's; if not, sends the peer the bucket digests."""
        if view_digest == self._digest.total:
            return True
        self.counts.add("membership_differed")
        self._send(peer, Sums(self._header(), pack_digests(self._digest.bucket_digests)))
        return False

    def _send_record_digests(self, peer: Address, bucket_digests: bytes, joining: bool) -> None:
        """Replies to bucket digests with the record digests of differing buckets, in a few datagrams at most."""
        differing = self._digest.differing_buckets(unpack_digests(bucket_digests))
        self.rng.shuffle(differing)
        bucket_mask = 0
        digests: list[int] = []
        datagrams_left = JOINER_DIGEST_REPLY_DATAGRAMS_MAX if joining else DIGEST_REPLY_DATAGRAMS_MAX
        for index in differing:
            if digests and len(digests) + len(self._digest.buckets[index]) > DATAGRAM_DIGESTS_MAX:
                self._send(peer, Marks(self._header(), bucket_mask, pack_digests(digests)))
                bucket_mask = 0
                digests = []
                datagrams_left -= 1
            if not datagrams_left:
                return
            bucket_mask |= 1 << index
            digests += self._digest.buckets[index]
        if bucket_mask:
            self._send(peer, Marks(self._header(), bucket_mask, pack_digests(digests)))

    def _reconcile(self, message: Marks, now: float) -> None:
        """Replies to record digests with the records that the sender lacks, and requests those that this one lacks."""
        theirs = set(unpack_digests(message.record_digests))
        mine: set[int] = set()
        lacking: list[Address] = []
        for index in range(BUCKET_COUNT):
            if message.bucket_mask >> index & 1:
                mine.update(self._digest.buckets[index])
                lacking += [address for digest, address in self._digest.buckets[index].items() if digest not in theirs]
        self._send_records(message.header.sender, [self._record(address) for address in lacking], now)
        wanted = sorted(theirs - mine)
        if wanted:
            self._send(message.header.sender, Want(self._header(), pack_digests(wanted[:DATAGRAM_DIGESTS_MAX])))

    def _send_requested(self, peer: Address, record_digests: bytes, now: float) -> None:
        found = [self._digest.find(digest) for digest in unpack_digests(record_digests)]
        self._send_records(peer, [self._record(address) for address in found if address is not None], now)

    def _send_records(self, peer: Address, records: list[MemberRecord], now: float) -> None:
        """Sends records within the datagram rate limit; a peer that gets only some sees a difference and asks again."""
        self._datagram_tokens = min(
            float(RECORD_DATAGRAMS_BURST),
            self._datagram_tokens + (now - self._tokens_refilled_at) * RECORD_DATAGRAMS_PER_S,
        )
        self._tokens_refilled_at = now
        batches = record_batches(records)
        if len(batches) > max(1, int(self._datagram_tokens)):
            self.rng.shuffle(batches)
            batches = batches[: max(1, int(self._datagram_tokens))]
        self._datagram_tokens -= len(batches)
        for batch in batches:
            self._send(peer, Tell(self._header(), batch))

    def _record(self, address: Address) -> MemberRecord:
        return self.me if address == self.me.addr else self.view[address]

    def _header(self) -> DatagramHeader:
        return DatagramHeader(PROTOCOL_VERSION, self.fleet, self.me.addr, self.me.boot, self.me.incarnation)

    def _send(self, to: Address, message: Message) -> None:
        """Queues a datagram."""
        self._outgoing.append((to, message))

    def _take_outgoing(self) -> OutgoingDatagrams:
        """Returns the queued datagrams, and counts them by message type."""
        out = self._outgoing
        self._outgoing = []
        for _, message in out:
            self.counts.add(f"membership_sent_{type(message).__name__.lower()}")
        return out
