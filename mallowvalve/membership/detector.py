"""The failure detector as a state machine: periods of the source's figure 1, joins, refutations and forgetting."""

from __future__ import annotations

import random
from typing import Any

import msgspec

from mallowvalve.membership.direct_probe import Checks
from mallowvalve.membership.dissemination import Dissemination, OutgoingDatagrams
from mallowvalve.membership.members import DepartedMember, accepts, is_neighbour
from mallowvalve.membership.wire import (
    ALIVE,
    FAILED,
    LEAVING,
    LEFT,
    PROTOCOL_VERSION,
    Ack,
    DatagramHeader,
    Marks,
    MemberRecord,
    Message,
    Ping,
    PingReq,
    RelayPing,
    RequestedRecords,
    Sum,
    Sums,
    Tell,
    Want,
)
from mallowvalve.types import Address, Locality

FORGET_AFTER_S = 600.0
"""Seconds after which one that failed or left is forgotten."""

DIGEST_RETENTION_S = 60.0
"""Seconds after which one that failed or left no longer counts in digests, and is sought less often."""

JOIN = 0.25
"""Seconds between two questions of a new member to its seeds."""

YOUNG = 10.0
"""Seconds for which a new member asks its seeds, at most."""

SETTLED_S = 3.0
"""Seconds after which a new member counts as knowing the others: each of them has pinged somebody meanwhile."""

HEAL = 1.0
"""Seconds between two rounds of telling those held as failed that they are."""

ACCUSED = 8
"""Members held as failed that are told so in one round, at most; also how many tell one that it was declared."""

TRIES = 16
"""How many of the whole group seek one that failed, in a period."""

SOUGHT = 8
"""Members held as failed that may be sought in a period, at most."""

SEEK_EVERY = 4
"""Periods between two questions to seeds that are not in the view, while others are."""

SEEDS_AT_ONCE, SEEDS_ONCE_JOINED = 8, 2
"""Seeds that a new member asks at once: before it knows anybody, and after."""

MOST_SUCCESSORS = 3
"""Neighbours named in a leaver's news; the datagram stays small."""


class Membership(Dissemination):
    """The paper's detector (`_begin`, `_ask`, `_end`) and what joins, refutes and forgets; `Share` spreads views.

    `tick` and `receive` take seconds of any one steady clock and return datagrams to send.
    """

    __slots__ = (
        "seeds",
        "period",
        "helpers",
        "round_trip",
        "period_number",
        "_period_start",
        "_target",
        "_acked",
        "_asked",
        "_turn",
        "_started_at",
        "_join_at",
        "_joined",
        "_agrees",
        "_healed",
        "_checks",
    )

    def __init__(
        self,
        me: MemberRecord,
        fleet: str,
        seeds: list[Address],
        rng: random.Random,
        period: float,
        helpers: int,
        round_trip: float,
    ) -> None:
        """Period and round trip are seconds; `pr` is the number of the present period."""
        super().__init__(me, fleet, rng)
        self.seeds = [seed for seed in seeds if seed != me.addr]
        self.period = period
        self.helpers = helpers
        self.round_trip = round_trip
        self.period_number = 0
        self._period_start: float | None = None
        self._target: MemberRecord | None = None
        self._acked = False
        self._asked: float | None = None
        self._turn = 0
        self._started_at = 0.0
        self._join_at: float | None = None
        self._joined = False
        self._agrees = False
        self._healed = float("-inf")
        self._checks = Checks()

    def timer(self) -> float:
        """When `tick` wants to be called next."""
        if self._period_start is None:
            return 0.0
        due = self._period_start + self.period
        if self._target is not None and not self._acked and self._asked is None:
            due = self._period_start + self.round_trip
        return min(at for at in (due, self._join_at, self._flush_at) if at is not None)

    def tick(self, now: float) -> OutgoingDatagrams:
        """What time alone brings about."""
        if self._period_start is None:
            self._started_at = self._join_at = now
            self._begin(now)
        elif now >= self._period_start + self.period:
            self._end(now, self._period_start)
            self._begin(now)
        elif self._target and not self._acked and self._asked is None and now >= self._period_start + self.round_trip:
            self._ask(now, self._target.addr)
        if self._join_at is not None and now >= self._join_at:
            self._join(now)
        self._flush(now)
        return self._take()

    def receive(self, message: Message, now: float) -> OutgoingDatagrams:
        """What a datagram brings about; one of another version or fleet is counted and dropped."""
        head = message.head
        if head.version != PROTOCOL_VERSION or head.fleet != self.fleet or head.sender == self.me.addr:
            self.counts.add("membership_foreign")
            return []
        if isinstance(message, Tell):
            self._merge(message, now)
        self._check_sender(head, now)
        match message:
            case Ping() | PingReq() | RelayPing() | Ack():
                self._probe(message)
            case Sum():
                self._agrees = self._compare(head.sender, message.total)
                if self._agrees and message.ask:
                    self._send(head.sender, Sum(self._header(), message.total, False))
            case Sums():
                self._show(head.sender, message.bucket_digests, self._join_at is not None)
            case Marks():
                self._fill(message, now)
            case Want():
                self._give(head.sender, message.marks, now)
        return self._take()

    def ready(self, ready: bool) -> OutgoingDatagrams:
        """This member takes work, or takes none."""
        if self.me.ready == ready:
            return []
        return self._renew(ready=ready)

    def leave(self, final: bool) -> OutgoingDatagrams:
        """This member leaves, or has left if `final`.

        One that leaves and was ready still serves those who come, until `accept` says otherwise.
        """
        return self._renew(ready=self.me.ready and not final, state=LEFT if final else LEAVING)

    def accept(self, accepts: bool) -> OutgoingDatagrams:
        """This member, which leaves, takes new work still, or no more."""
        return [] if self.me.ready == accepts else self._renew(ready=accepts)

    def settled(self, now: float) -> bool:
        """Whether this member has had time to meet the others; until then it may know only some that are new too."""
        return self._period_start is not None and now >= self._started_at + SETTLED_S

    def departed(self, role: str, now: float) -> list[DepartedMember]:
        """Members of a role that failed or left and are not forgotten."""
        known = [(self.view[address], now - since) for address, since in self._departed_at.items()]
        return [DepartedMember(record, ago) for record, ago in known if record.role == role]

    def known_for(self, member: MemberRecord, now: float) -> float:
        """For how long (s) the present life of a member has been known here."""
        return now - self._met.get(member.addr, now)

    def probe(self, member: MemberRecord, now: float) -> OutgoingDatagrams:
        """Ping a member beside the periods, if none went to it just now."""
        if self._view.lives(member.addr) and self._checks.due(member, now):
            self._send(member.addr, Ping(self._header(), self.me.addr, member.addr, self.period_number))
        return self._take()

    def suspects(self, member: MemberRecord, now: float) -> bool:
        """Whether the last pings of `check` have all been unanswered."""
        return self._checks.suspects(member, now)

    def _renew(self, **fields: Any) -> OutgoingDatagrams:
        self._raise(self.me.incarnation + 1, **fields)
        self._spread([self.me, *(self._successors() if self.me.state != ALIVE else [])])
        return self._take()

    def _successors(self) -> list[MemberRecord]:
        """Neighbours that accept: whoever hears that this member leaves hears at the same time who is left there."""
        neighbours = [record for record in self.alive(self.me.role) if is_neighbour(record, self.me)]
        return [record for record in neighbours if accepts(record)][:MOST_SUCCESSORS]

    def _probe(self, message: Ping | PingReq | RelayPing | Ack) -> None:
        """Every ping is acked, directly or through the helper that it came from."""
        match message:
            case Ping():
                self._send(message.origin, Ack(self._header(), message.origin, message.target, message.period_number))
                if message.total is not None:
                    self._compare(message.head.sender, message.total)
            case PingReq() if message.target != self.me.addr:
                relayed = RelayPing(self._header(), message.origin, message.target, self.me.addr, message.period_number)
                self._send(message.target, relayed)
            case RelayPing():
                ack = Ack(self._header(), message.origin, message.target, message.period_number, message.relay)
                self._send(message.relay, ack)
            case Ack() if message.relay == self.me.addr:
                self._send(message.origin, Ack(self._header(), message.origin, message.target, message.period_number))
            case Ack() if message.origin == self.me.addr:
                self._checks.acked(message.target)
                if message.period_number == self.period_number and self._target and message.target == self._target.addr:
                    self._acked = True

    def _begin(self, now: float) -> None:
        """A period begins: one member, chosen uniformly, is pinged."""
        self.period_number += 1
        self._period_start = now
        self._acked = False
        self._asked = None
        self._target = None
        self._forget(now)
        if self._join_at is None:
            self._seek(now)
        if not self._view.live:
            return
        self._target = self.view[self.rng.choice(self._view.live)]
        self._send(
            self._target.addr,
            Ping(self._header(), self.me.addr, self._target.addr, self.period_number, self._digest.total),
        )

    def _ask(self, now: float, target: Address) -> None:
        """A round trip is over without an ack: helpers are asked to ping the target."""
        self._asked = now
        for helper in self._view.some(self.rng, self.helpers, target):
            self._send(helper, PingReq(self._header(), self.me.addr, target, self.period_number))
        self.counts.add("membership_asked")

    def _end(self, now: float, start: float) -> None:
        """A period ends; a target without an ack is declared failed, unless this member slept through it."""
        target = self._target
        if target is None or self._acked:
            return
        late = max(1.5 * self.round_trip, self.period - 2 * self.round_trip)
        if self._asked is None or self._asked > start + late or now > start + self.period + self.round_trip:
            self.counts.add("membership_void_period")
            return
        failed = msgspec.structs.replace(target, state=FAILED)
        helpers = min(self.helpers, max(0, len(self._view.live) - 1))
        if not self._apply_record(
            failed, now, f"no ack in period {self.period_number}, direct or through {helpers} helpers"
        ):
            return
        self.counts.add("membership_declared")
        self._spread([failed], failed.addr)

    def _join(self, now: float) -> None:
        """Until it sees its seeds and agrees with a peer a new member asks four times a second, ten seconds at most."""
        lone = self._lone()
        if now > self._started_at + YOUNG or self._agrees and not lone or not self.seeds and not self._view.live:
            self._join_at = None
            return
        self._join_at = now + JOIN
        for seed in self.rng.sample(lone, min(len(lone), SEEDS_ONCE_JOINED if self._joined else SEEDS_AT_ONCE)):
            self._send(seed, Tell(self._header(), [self.me], RequestedRecords.ALL))
        if self._view.live:
            self._send(self.rng.choice(self._view.live), Sum(self._header(), self._digest.total, True))

    def _lone(self) -> list[Address]:
        """Seeds that are not alive in the view."""
        return [seed for seed in self.seeds if seed not in self.view or self.view[seed].state > LEAVING]

    def _seek(self, now: float) -> None:
        """Looks for those outside: seeds that are not in the view, and members held as failed."""
        self._turn += 1
        live = self._view.live
        lone = self._lone()
        if lone and (not live or self._turn % SEEK_EVERY == 0):
            for seed in lone if not live else [self.rng.choice(lone)]:
                self._send(seed, Tell(self._header(), [self.me], RequestedRecords.ALL))
        members = len(live) + 1
        for address, since in self.rng.sample(list(self._departed_at.items()), min(len(self._departed_at), SOUGHT)):
            chance = TRIES / members if now - since < DIGEST_RETENTION_S else TRIES / members / 4
            if self.view[address].state == FAILED and self.rng.random() < chance:
                self._send(address, Sum(self._header(), self._digest.total, False))

    def _forget(self, now: float) -> None:
        for address, since in list(self._departed_at.items()):
            if now - since > FORGET_AFTER_S:
                self._drop(address)
            elif now - since > DIGEST_RETENTION_S:
                self._digest.drop(address)

    def _check_sender(self, head: DatagramHeader, now: float) -> None:
        """A sender that this member knows otherwise is told so, one that is newer here than known is asked."""
        record = self.view.get(head.sender)
        if record is None:
            self._send(
                head.sender,
                Tell(self._header(), [self.me], RequestedRecords.SELF if self._joined else RequestedRecords.ALL),
            )
            return
        other_life = (head.incarnation, head.boot) != (record.incarnation, record.boot)
        stale = other_life and head.incarnation <= record.incarnation
        if stale or (record.state > LEAVING and head.incarnation <= record.incarnation):
            self._send(head.sender, Tell(self._header(), [record]))
            if record.state == FAILED and record.boot == head.boot:
                self._heal(head.sender, now)
        elif head.incarnation > record.incarnation:
            self._send(head.sender, Tell(self._header(), [self.me], RequestedRecords.SELF))

    def _heal(self, sender: Address, now: float) -> None:
        """One held as failed speaks, or this node hears that it was: a cut may be over.

        Those it holds as failed are told so, to refute it before it spreads.
        """
        if now < self._healed + HEAL:
            return
        self._healed = now
        accused = self._failed(sender)
        for address in self.rng.sample(accused, min(ACCUSED, len(accused))):
            self._send(address, Tell(self._header(), [self.view[address]]))

    def _merge(self, message: Tell, now: float) -> None:
        """Take in records, give back what is known better, and what is asked for."""
        sender = message.head.sender
        back = []
        for record in message.records:
            if record.addr == self.me.addr:
                self._refute(record, sender, now)
                continue
            old = self.view.get(record.addr)
            if self._apply_record(record, now, f"told by {sender}"):
                self.counts.add("membership_learned")
                self._learned(record, old, now)
            elif old is not None and old.state > LEAVING and record.rank < old.rank and sender != record.addr:
                back.append(old)
        if back:
            self._send(sender, Tell(self._header(), back))
        if message.share is not None:
            self._relay(message, message.share)
        if message.ask == RequestedRecords.SELF:
            self._send(sender, Tell(self._header(), [self.me]))
        if message.ask == RequestedRecords.ALL:
            known = [self.view[address] for address in self.view if address in self._digest]
            self._tell(sender, [self.me, *known], now)

    def _learned(self, record: MemberRecord, old: MemberRecord | None, now: float) -> None:
        if record.state <= LEAVING:
            self._joined = True
            if old is None and self._join_at is not None:
                self._introduce(record.addr, now)
        elif record.state == FAILED and self.rng.random() < ACCUSED / (len(self._view.live) + 1):
            self._send(record.addr, Tell(self._header(), [record]))

    def _refute(self, record: MemberRecord, sender: Address, now: float) -> None:
        """A record of this member itself: an older one is answered, one that says worse is overcome."""
        if record.boot == self.me.boot and record.incarnation <= self.me.incarnation and record.state <= self.me.state:
            return
        if record.incarnation < self.me.incarnation:
            self._send(sender, Tell(self._header(), [self.me]))
            return
        self._raise(record.incarnation + 1)
        self.counts.add("membership_refuted")
        self._spread([self.me], sender)
        if record.boot != self.me.boot:
            return
        self._cast([self.me], self._failed(sender))
        self._heal(sender, now)

    def _failed(self, but: Address) -> list[Address]:
        return [address for address in self._departed_at if address != but and self.view[address].state == FAILED]


def initial_record(addr: Address, boot: int, role: str, name: str, locality: Locality, web: Address) -> MemberRecord:
    """The record of a process that has just started; `boot` is a random number."""
    return MemberRecord(addr, boot, 0, ALIVE, role, name, locality, web, False)
