"""The failure detector as a state machine: protocol periods (figure 1 of docs/paper.md), joins and refutations."""

from __future__ import annotations

import random
from typing import Any

import msgspec

from mallowvalve.membership.direct_probe import DirectProbes
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
"""The time after which a member that failed or left is removed from the view."""
DIGEST_RETENTION_S = 60.0
"""The time after which a member that failed or left is removed from digests, and contacted less often."""
JOIN_INTERVAL_S = 0.25
"""The interval between two requests of a joining member to its seeds."""
JOIN_MAX_S = 10.0
"""The maximum time for which a joining member sends requests to its seeds."""
SETTLED_S = 3.0
"""The time after which a new member counts as knowing the others: by then each of them has pinged a member."""
FAILURE_NOTICE_INTERVAL_S = 1.0
"""The interval between two rounds of notifying failed members of their state."""
FAILURE_NOTICES = 8
"""The maximum number of failed members notified in a round; also how many notify one member, on average."""
CONTACTS_PER_PERIOD = 16
"""How many members of the whole group contact a failed member in a period, on average."""
CONTACTED_MEMBERS_MAX = 8
"""The maximum number of failed members that one member contacts in a period."""
SEED_CONTACT_PERIODS = 4
"""The periods between two requests to seeds that are not in the view, while other members are."""
JOIN_SEEDS_MAX = 8
"""The maximum number of seeds contacted at once before a member knows any other."""
JOINED_SEEDS_MAX = 2
"""The maximum number of seeds contacted at once after that."""
SUCCESSORS_MAX = 3
"""The maximum number of neighbours in a leaving member's update, so that the datagram stays small."""


class Membership(Dissemination):
    """The paper's detector (`_begin_period`, `_send_ping_reqs`, `_end_period`), with joins, refutations and removal.

    `tick` and `receive` take seconds of one monotonic clock and return the datagrams to send.
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
        "_ping_req_at",
        "_contact_rounds",
        "_started_at",
        "_join_at",
        "_joined",
        "_synced",
        "_notified_at",
        "_direct_probes",
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
        """Creates a member that knows nobody; `period` and `round_trip` are seconds, `helpers` a number of members."""
        super().__init__(me, fleet, rng)
        self.seeds = [seed for seed in seeds if seed != me.addr]
        self.period = period
        self.helpers = helpers
        self.round_trip = round_trip
        self.period_number = 0
        self._period_start: float | None = None
        self._target: MemberRecord | None = None
        self._acked = False
        self._ping_req_at: float | None = None
        self._contact_rounds = 0
        self._started_at = 0.0
        self._join_at: float | None = None
        self._joined = False
        self._synced = False
        self._notified_at = float("-inf")
        self._direct_probes = DirectProbes()

    def timer(self) -> float:
        """Returns the time at which `tick` is to be called next."""
        if self._period_start is None:
            return 0.0
        due = self._period_start + self.period
        if self._target is not None and not self._acked and self._ping_req_at is None:
            due = self._period_start + self.round_trip
        return min(at for at in (due, self._join_at, self._introduce_at) if at is not None)

    def tick(self, now: float) -> OutgoingDatagrams:
        """Advances the detector to `now`."""
        if self._period_start is None:
            self._started_at = self._join_at = now
            self._begin_period(now)
        elif now >= self._period_start + self.period:
            self._end_period(now, self._period_start)
            self._begin_period(now)
        elif (
            self._target
            and not self._acked
            and self._ping_req_at is None
            and now >= self._period_start + self.round_trip
        ):
            self._send_ping_reqs(now, self._target.addr)
        if self._join_at is not None and now >= self._join_at:
            self._request_join(now)
        self._send_introductions(now)
        return self._take_outgoing()

    def receive(self, message: Message, now: float) -> OutgoingDatagrams:
        """Handles a datagram; one of another protocol version or fleet is counted and dropped."""
        header = message.header
        if header.version != PROTOCOL_VERSION or header.fleet != self.fleet or header.sender == self.me.addr:
            self.counts.add("membership_foreign")
            return []
        if isinstance(message, Tell):
            self._merge_records(message, now)
        self._check_sender(header, now)
        match message:
            case Ping() | PingReq() | RelayPing() | Ack():
                self._handle_probe(message)
            case Sum():
                self._synced = self._compare_digest(header.sender, message.view_digest)
                if self._synced and message.confirm:
                    self._send(header.sender, Sum(self._header(), message.view_digest, False))
            case Sums():
                self._send_record_digests(header.sender, message.bucket_digests, self._join_at is not None)
            case Marks():
                self._reconcile(message, now)
            case Want():
                self._send_requested(header.sender, message.record_digests, now)
        return self._take_outgoing()

    def ready(self, ready: bool) -> OutgoingDatagrams:
        """Announces whether this member takes work."""
        if self.me.ready == ready:
            return []
        return self._announce_self(ready=ready)

    def leave(self, final: bool) -> OutgoingDatagrams:
        """Announces that this member leaves, or has left if `final`; if ready, it takes work until `accept(False)`."""
        return self._announce_self(ready=self.me.ready and not final, state=LEFT if final else LEAVING)

    def accept(self, accepts: bool) -> OutgoingDatagrams:
        """Announces whether this member, which is leaving, still accepts new work."""
        return [] if self.me.ready == accepts else self._announce_self(ready=accepts)

    def settled(self, now: float) -> bool:
        """Returns whether this member has had time to discover the others; before, it may know only other new ones."""
        return self._period_start is not None and now >= self._started_at + SETTLED_S

    def departed(self, role: str, now: float) -> list[DepartedMember]:
        """Returns the members of a role that failed or left and are not yet forgotten."""
        known = [(self.view[address], now - since) for address, since in self._departed_at.items()]
        return [DepartedMember(record, elapsed) for record, elapsed in known if record.role == role]

    def known_for(self, member: MemberRecord, now: float) -> float:
        """Returns for how long (s) this member has known the current process of another."""
        return now - self._known_since.get(member.addr, now)

    def probe(self, member: MemberRecord, now: float) -> OutgoingDatagrams:
        """Pings a member outside the protocol periods, unless it was pinged just before."""
        if self._view.is_live(member.addr) and self._direct_probes.due(member, now):
            self._send(member.addr, Ping(self._header(), self.me.addr, member.addr, self.period_number))
        return self._take_outgoing()

    def suspects(self, member: MemberRecord, now: float) -> bool:
        """Returns whether the last pings of `probe` are all unanswered."""
        return self._direct_probes.suspects(member, now)

    def _announce_self(self, **fields: Any) -> OutgoingDatagrams:
        self._update_self(self.me.incarnation + 1, **fields)
        self._disseminate([self.me, *(self._successors() if self.me.state != ALIVE else [])])
        return self._take_outgoing()

    def _successors(self) -> list[MemberRecord]:
        """Returns accepting neighbours; they travel with the notice of leaving, so its receivers know who remains."""
        neighbours = [record for record in self.alive(self.me.role) if is_neighbour(record, self.me)]
        return [record for record in neighbours if accepts(record)][:SUCCESSORS_MAX]

    def _handle_probe(self, message: Ping | PingReq | RelayPing | Ack) -> None:
        """Acks each ping, directly or through the helper that sent it, and relays pings and acks as a helper."""
        match message:
            case Ping():
                self._send(message.origin, Ack(self._header(), message.origin, message.target, message.period_number))
                if message.view_digest is not None:
                    self._compare_digest(message.header.sender, message.view_digest)
            case PingReq() if message.target != self.me.addr:
                relayed = RelayPing(self._header(), message.origin, message.target, self.me.addr, message.period_number)
                self._send(message.target, relayed)
            case RelayPing():
                ack = Ack(self._header(), message.origin, message.target, message.period_number, message.relay)
                self._send(message.relay, ack)
            case Ack() if message.relay == self.me.addr:
                self._send(message.origin, Ack(self._header(), message.origin, message.target, message.period_number))
            case Ack() if message.origin == self.me.addr:
                self._direct_probes.acked(message.target)
                if message.period_number == self.period_number and self._target and message.target == self._target.addr:
                    self._acked = True

    def _begin_period(self, now: float) -> None:
        """Begins a protocol period: pings one member, drawn uniformly."""
        self.period_number += 1
        self._period_start = now
        self._acked = False
        self._ping_req_at = None
        self._target = None
        self._forget_departed(now)
        if self._join_at is None:
            self._contact_absent(now)
        if not self._view.live:
            return
        self._target = self.view[self.rng.choice(self._view.live)]
        self._send(
            self._target.addr,
            Ping(self._header(), self.me.addr, self._target.addr, self.period_number, self._digest.total),
        )

    def _send_ping_reqs(self, now: float, target: Address) -> None:
        """Requests helpers to ping the target, because no ack arrived within a round trip."""
        self._ping_req_at = now
        for helper in self._view.sample(self.rng, self.helpers, target):
            self._send(helper, PingReq(self._header(), self.me.addr, target, self.period_number))
        self.counts.add("membership_asked")

    def _end_period(self, now: float, start: float) -> None:
        """Ends a period: declares a target without an ack failed, unless this process was suspended meanwhile."""
        target = self._target
        if target is None or self._acked:
            return
        late = max(1.5 * self.round_trip, self.period - 2 * self.round_trip)
        if self._ping_req_at is None or self._ping_req_at > start + late or now > start + self.period + self.round_trip:
            self.counts.add("membership_void_period")
            return
        failed = msgspec.structs.replace(target, state=FAILED)
        count = min(self.helpers, max(0, len(self._view.live) - 1))
        if not self._apply_record(failed, now, f"no ack in period {self.period_number}, direct or via {count} helpers"):
            return
        self.counts.add("membership_declared")
        self._disseminate([failed], failed.addr)

    def _request_join(self, now: float) -> None:
        """Requests records until all seeds are alive here and a peer's digest agrees, for at most `JOIN_MAX_S`."""
        absent = self._absent_seeds()
        if now > self._started_at + JOIN_MAX_S or self._synced and not absent or not self.seeds and not self._view.live:
            self._join_at = None
            return
        self._join_at = now + JOIN_INTERVAL_S
        for seed in self.rng.sample(absent, min(len(absent), JOINED_SEEDS_MAX if self._joined else JOIN_SEEDS_MAX)):
            self._send(seed, Tell(self._header(), [self.me], RequestedRecords.ALL))
        if self._view.live:
            self._send(self.rng.choice(self._view.live), Sum(self._header(), self._digest.total, True))

    def _absent_seeds(self) -> list[Address]:
        """Returns the seeds that are not alive in the view."""
        return [seed for seed in self.seeds if seed not in self.view or self.view[seed].state > LEAVING]

    def _contact_absent(self, now: float) -> None:
        """Contacts seeds that are not alive in the view, and members recorded as failed."""
        self._contact_rounds += 1
        live = self._view.live
        absent = self._absent_seeds()
        if absent and (not live or self._contact_rounds % SEED_CONTACT_PERIODS == 0):
            for seed in absent if not live else [self.rng.choice(absent)]:
                self._send(seed, Tell(self._header(), [self.me], RequestedRecords.ALL))
        members = len(live) + 1
        for address, since in self.rng.sample(
            list(self._departed_at.items()), min(len(self._departed_at), CONTACTED_MEMBERS_MAX)
        ):
            chance = (
                CONTACTS_PER_PERIOD / members if now - since < DIGEST_RETENTION_S else CONTACTS_PER_PERIOD / members / 4
            )
            if self.view[address].state == FAILED and self.rng.random() < chance:
                self._send(address, Sum(self._header(), self._digest.total, False))

    def _forget_departed(self, now: float) -> None:
        for address, since in list(self._departed_at.items()):
            if now - since > FORGET_AFTER_S:
                self._drop(address)
            elif now - since > DIGEST_RETENTION_S:
                self._digest.drop(address)

    def _check_sender(self, header: DatagramHeader, now: float) -> None:
        """Sends the stored record to a sender that it contradicts; requests the record of a newer one."""
        record = self.view.get(header.sender)
        if record is None:
            self._send(
                header.sender,
                Tell(self._header(), [self.me], RequestedRecords.SELF if self._joined else RequestedRecords.ALL),
            )
            return
        differs = (header.incarnation, header.boot) != (record.incarnation, record.boot)
        stale = differs and header.incarnation <= record.incarnation
        if stale or (record.state > LEAVING and header.incarnation <= record.incarnation):
            self._send(header.sender, Tell(self._header(), [record]))
            if record.state == FAILED and record.boot == header.boot:
                self._notify_failed(header.sender, now)
        elif header.incarnation > record.incarnation:
            self._send(header.sender, Tell(self._header(), [self.me], RequestedRecords.SELF))

    def _notify_failed(self, sender: Address, now: float) -> None:
        """Notifies failed members, so that they refute it before it spreads: a network partition may be over."""
        if now < self._notified_at + FAILURE_NOTICE_INTERVAL_S:
            return
        self._notified_at = now
        failed = self._failed_members(sender)
        for address in self.rng.sample(failed, min(FAILURE_NOTICES, len(failed))):
            self._send(address, Tell(self._header(), [self.view[address]]))

    def _merge_records(self, message: Tell, now: float) -> None:
        """Applies records; replies with higher-ranked records and with those that are requested."""
        sender = message.header.sender
        corrections = []
        for record in message.records:
            if record.addr == self.me.addr:
                self._refute(record, sender, now)
                continue
            old = self.view.get(record.addr)
            if self._apply_record(record, now, f"reported by {sender}"):
                self.counts.add("membership_learned")
                self._on_learned(record, old, now)
            elif old is not None and old.state > LEAVING and record.rank < old.rank and sender != record.addr:
                corrections.append(old)
        if corrections:
            self._send(sender, Tell(self._header(), corrections))
        if message.relay_group is not None:
            self._relay(message, message.relay_group)
        if message.request == RequestedRecords.SELF:
            self._send(sender, Tell(self._header(), [self.me]))
        if message.request == RequestedRecords.ALL:
            known = [self.view[address] for address in self.view if address in self._digest]
            self._send_records(sender, [self.me, *known], now)

    def _on_learned(self, record: MemberRecord, old: MemberRecord | None, now: float) -> None:
        if record.state <= LEAVING:
            self._joined = True
            if old is None and self._join_at is not None:
                self._schedule_introduction(record.addr, now)
        elif record.state == FAILED and self.rng.random() < FAILURE_NOTICES / (len(self._view.live) + 1):
            self._send(record.addr, Tell(self._header(), [record]))

    def _refute(self, record: MemberRecord, sender: Address, now: float) -> None:
        """Handles a record of this member: corrects an older one, and overrides a worse state by a new incarnation."""
        if record.boot == self.me.boot and record.incarnation <= self.me.incarnation and record.state <= self.me.state:
            return
        if record.incarnation < self.me.incarnation:
            self._send(sender, Tell(self._header(), [self.me]))
            return
        self._update_self(record.incarnation + 1)
        self.counts.add("membership_refuted")
        self._disseminate([self.me], sender)
        if record.boot != self.me.boot:
            return
        self._send_to_all([self.me], self._failed_members(sender))
        self._notify_failed(sender, now)

    def _failed_members(self, but: Address) -> list[Address]:
        return [address for address in self._departed_at if address != but and self.view[address].state == FAILED]


def initial_record(addr: Address, boot: int, role: str, name: str, locality: Locality, web: Address) -> MemberRecord:
    """Returns the record of a process that has just started; `boot` is a random number."""
    return MemberRecord(addr, boot, 0, ALIVE, role, name, locality, web, False)
