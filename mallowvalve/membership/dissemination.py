"""How what a member knows gets about: news at once, and digests for what the news missed."""

from __future__ import annotations

import random
from typing import Any

import msgspec

from mallowvalve.membership.view import BUCKET_COUNT, Digest, MemberTable, packed, unpacked
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
"""Datagrams to send, and to whom."""

ROOM = 1100
"""Bytes of records in one datagram, so that it fits in a frame of Ethernet."""

FIXED = 40
"""Bytes of a record beside its texts, at most."""

DIRECT_SEND_MEMBERS_MAX = 64
"""Up to so many members news go straight to each of them."""

PAUSE = 0.03
"""Seconds for which members that are new here are collected before this one introduces itself to them."""

RECORD_DATAGRAMS_BURST, RATE = 128, 64.0
"""Datagrams with whole records: so many at once, and so many a second."""

MOST_MARKS = 130
"""Marks in one datagram, at most."""

FEWEST_SHARES = 8
ANSWERS, JOINERS_ANSWERS = 2, 8
"""Datagrams of marks that answer one digest: for a member, and for one that has just joined."""

STATE_COUNTERS = {state: f"membership_{state.name.lower()}" for state in MemberState}


def size(record: MemberRecord) -> int:
    """Bytes a record takes in a datagram, at most."""
    locality = record.locality
    texts = len(record.role) + len(record.name) + len(locality.region) + len(locality.zone)
    return texts + 2 * len(record.addr.host) + FIXED


def record_batches(records: list[MemberRecord]) -> list[list[MemberRecord]]:
    """Records in groups that fit in a datagram each."""
    out: list[list[MemberRecord]] = []
    room = 0
    for record in records:
        needed = size(record)
        if not out or needed > room:
            out.append([])
            room = ROOM
        out[-1].append(record)
        room -= needed
    return out


def relay_group_count(members: int) -> int:
    """Into how many shares a group is cut: a power of two near its root, so that nobody sends many at once."""
    count = FEWEST_SHARES
    while count < BUCKET_COUNT and count * count < members:
        count *= 2
    return count


class Dissemination:
    """What a member knows, and how it gets about: news at once, digests for what the news missed.

    Up to 64 members news go straight to all. In a larger group they go to one member of each share, who passes them on
    to the rest of it. A datagram that was lost shows as a difference of digests at the next ping between any two.
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
        "_met",
        "_out",
        "_untold",
        "_flush_at",
        "_told",
        "_room",
        "_filled",
    )

    def __init__(self, me: MemberRecord, fleet: str, rng: random.Random) -> None:
        """Know only `me`; `why` is for the log to take: why each record came to be as it is."""
        self.me = me
        self.fleet = fleet
        self.rng = rng
        self.counts = Counts()
        self.reasons: dict[Address, str] = {}
        self._view = MemberTable()
        self._digest = Digest()
        self._digest.put(me)
        self._departed_at: dict[Address, float] = {}
        self._met: dict[Address, float] = {}
        self._out: OutgoingDatagrams = []
        self._untold: list[Address] = []
        self._flush_at: float | None = None
        self._told = 0
        self._room = float(RECORD_DATAGRAMS_BURST)
        self._filled = 0.0

    @property
    def view(self) -> dict[Address, MemberRecord]:
        """What is known of the others."""
        return self._view.records

    def alive(self, role: str | None = None) -> list[MemberRecord]:
        """Members alive or leaving, of one role or of any; not to be changed by the caller."""
        return self._view.alive(role)

    def _raise(self, incarnation: int, **fields: Any) -> None:
        """This member's own record changes, under a new incarnation."""
        self.me = msgspec.structs.replace(self.me, incarnation=incarnation, **fields)
        self._digest.put(self.me)

    def _apply_record(self, record: MemberRecord, now: float, why: str) -> bool:
        """Take in a record if it ranks above the one held; `_seen` says since when one is failed or has left,
        `_met` since when its present life is known."""
        old = self.view.get(record.addr)
        if old is not None and record.rank <= old.rank:
            return False
        self._view.put(record)
        self._digest.put(record)
        if old is None or old.boot != record.boot:
            self._met[record.addr] = now
        if record.state <= LEAVING:
            self._departed_at.pop(record.addr, None)
        elif old is None or old.state <= LEAVING or old.boot != record.boot:
            self._departed_at[record.addr] = now
        if old is None or (old.state, old.boot) != (record.state, record.boot):
            self.reasons[record.addr] = why
        if old is None or old.state != record.state:
            self.counts.add(STATE_COUNTERS[record.state])
        return True

    def _drop(self, address: Address) -> None:
        self._view.drop(address)
        self._digest.drop(address)
        self._departed_at.pop(address, None)
        self._met.pop(address, None)
        self.reasons.pop(address, None)

    def _introduce(self, address: Address, now: float) -> None:
        """This member will soon send its record to one that is new here."""
        self._untold.append(address)
        self._flush_at = self._flush_at or now + PAUSE

    def _flush(self, now: float) -> None:
        if self._flush_at is None or now < self._flush_at:
            return
        self._flush_at = None
        if len(self._view.live) <= DIRECT_SEND_MEMBERS_MAX:
            for address in self._untold:
                self._send(address, Tell(self._header(), [self.me]))
        elif self._untold and len(self._view.live) > 2 * self._told:
            self._spread([self.me])
            self._told = len(self._view.live)
        self._untold = []

    def _spread(self, records: list[MemberRecord], also: Address | None = None) -> None:
        """Send news to all that are alive, and to `also` whatever it is."""
        if also is not None and not self._view.lives(also):
            self._send(also, Tell(self._header(), records))
        self._cast(records, self._view.live)

    def _cast(self, records: list[MemberRecord], to: list[Address]) -> None:
        if len(to) <= DIRECT_SEND_MEMBERS_MAX:
            for address in to:
                self._send(address, Tell(self._header(), records))
            return
        count = relay_group_count(len(to))
        cut: list[list[Address]] = [[] for _ in range(count)]
        for address in to:
            cut[self._digest.bucket(address) % count].append(address)
        for i, members in enumerate(cut):
            self._send(self.rng.choice(members or to), Tell(self._header(), records, share=(i, count)))

    def _relay(self, message: Tell, share: tuple[int, int]) -> None:
        """Pass records on to the members of a share; to nobody the record of itself alone."""
        sender = message.head.sender
        i, count = share
        about = {record.addr for record in message.records}
        for address in self._view.live:
            if count > 0 and self._digest.bucket(address) % count == i and address != sender and about != {address}:
                self._send(address, Tell(self._header(), message.records))

    def _compare(self, to: Address, total: int) -> bool:
        """Whether another's digest is this one's; if not, it gets the digests of the buckets."""
        if total == self._digest.total:
            return True
        self.counts.add("membership_differed")
        self._send(to, Sums(self._header(), packed(self._digest.bucket_digests)))
        return False

    def _show(self, to: Address, bucket_digests: bytes, much: bool) -> None:
        """Answer digests of buckets with the marks of those that differ, in a few datagrams at most."""
        differing = self._digest.differing(unpacked(bucket_digests))
        self.rng.shuffle(differing)
        bits = 0
        marks: list[int] = []
        left = JOINERS_ANSWERS if much else ANSWERS
        for i in differing:
            if marks and len(marks) + len(self._digest.buckets[i]) > MOST_MARKS:
                self._send(to, Marks(self._header(), bits, packed(marks)))
                bits = 0
                marks = []
                left -= 1
            if not left:
                return
            bits |= 1 << i
            marks += self._digest.buckets[i]
        if bits:
            self._send(to, Marks(self._header(), bits, packed(marks)))

    def _fill(self, message: Marks, now: float) -> None:
        """Answer marks with the records that the sender lacks, and ask for those that this member lacks."""
        theirs = set(unpacked(message.marks))
        mine: set[int] = set()
        lacking: list[Address] = []
        for i in range(BUCKET_COUNT):
            if message.buckets >> i & 1:
                mine.update(self._digest.buckets[i])
                lacking += [address for its, address in self._digest.buckets[i].items() if its not in theirs]
        self._tell(message.head.sender, [self._record(address) for address in lacking], now)
        wanted = sorted(theirs - mine)
        if wanted:
            self._send(message.head.sender, Want(self._header(), packed(wanted[:MOST_MARKS])))

    def _give(self, to: Address, marks: bytes, now: float) -> None:
        found = [self._digest.find(its) for its in unpacked(marks)]
        self._tell(to, [self._record(address) for address in found if address is not None], now)

    def _tell(self, to: Address, records: list[MemberRecord], now: float) -> None:
        """Sends records, so many datagrams a second in all; who gets some only sees a difference and asks again."""
        self._room = min(float(RECORD_DATAGRAMS_BURST), self._room + (now - self._filled) * RATE)
        self._filled = now
        out = record_batches(records)
        if len(out) > max(1, int(self._room)):
            self.rng.shuffle(out)
            out = out[: max(1, int(self._room))]
        self._room -= len(out)
        for batch in out:
            self._send(to, Tell(self._header(), batch))

    def _record(self, address: Address) -> MemberRecord:
        return self.me if address == self.me.addr else self.view[address]

    def _header(self) -> DatagramHeader:
        return DatagramHeader(PROTOCOL_VERSION, self.fleet, self.me.addr, self.me.boot, self.me.incarnation)

    def _send(self, to: Address, message: Message) -> None:
        self._out.append((to, message))

    def _take(self) -> OutgoingDatagrams:
        out = self._out
        self._out = []
        for _, message in out:
            self.counts.add(f"membership_sent_{type(message).__name__.lower()}")
        return out
