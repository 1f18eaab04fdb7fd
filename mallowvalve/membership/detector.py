"""The failure detector as a state machine: protocol periods (figure 1 of docs/paper.md) and refutations."""

from __future__ import annotations

import random
from typing import Any

import msgspec

from mallowvalve.membership.direct_probe import DirectProbes
from mallowvalve.membership.dissemination import OutgoingDatagrams
from mallowvalve.membership.joining import DIGEST_RETENTION_S, Joining
from mallowvalve.membership.members import DepartedMember, accepts, is_neighbour
from mallowvalve.membership.probes import FIRST_HELPERS, Probe, Probes, Verdict
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
from mallowvalve.metrics import Distribution
from mallowvalve.types import Address, Locality

FORGET_AFTER_S = 600.0
"""The time after which a member that failed or left is removed from the view."""
SETTLED_S = 3.0
"""The time after which a new member counts as knowing the others: by then each of them has pinged a member."""
FAILURE_NOTICE_INTERVAL_S = 1.0
"""The interval between two rounds of notifying failed members of their state."""
FAILURE_NOTICES = 8
"""The maximum number of failed members notified in a round; also how many notify one member, on average."""
WATCHED_EACH_SIDE = 2
"""How many ring neighbours on each side a member watches: four others watch each member."""
SILENCE_BOUNDS_S = (1.0, 2.0, 3.0, 4.0, 5.0, 7.0, 10.0, 15.0, 30.0)
"""The buckets of the time for which a member was not heard here when its failure became known."""
SUCCESSORS_MAX = 3
"""The maximum number of neighbours in a leaving member's update, so that the datagram stays small."""


class Membership(Joining):
    """The paper's detector (`_begin_period`, `_request_helpers`, `_end_probes`), with refutations and removal.

    Beside the member that a period draws, a member probes those of its ring neighbours that it has not heard for half
    a period, so that the time to a declaration has a bound (docs/paper.md).
    `tick` and `receive` take seconds of one monotonic clock and return the datagrams to send.
    """

    __slots__ = (
        "period",
        "helpers",
        "round_trip",
        "period_number",
        "_period_start",
        "_probes",
        "_heard_at",
        "_notified_at",
        "_direct_probes",
        "silence_s",
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
        super().__init__(me, fleet, seeds, rng)
        self.period = period
        self.helpers = helpers
        self.round_trip = round_trip
        self.period_number = 0
        self._period_start: float | None = None
        self._probes = Probes(period, round_trip)
        self._heard_at: dict[Address, float] = {}
        self._notified_at = float("-inf")
        self._direct_probes = DirectProbes()
        self.silence_s = Distribution(SILENCE_BOUNDS_S)

    def timer(self) -> float:
        """Returns the time at which `tick` is to be called next."""
        if self._period_start is None:
            return 0.0
        times = (self._period_start + self.period, self._probes.due_at(), self._join_at, self._introduce_at)
        return min(at for at in times if at is not None)

    def tick(self, now: float) -> OutgoingDatagrams:
        """Advances the detector to `now`."""
        if self._period_start is None:
            self._started_at = self._join_at = now
        self._end_probes(now)
        if self._period_start is None or now >= self._period_start + self.period:
            self._begin_period(now)
        for probe in self._probes.due_requests(now):
            self._request_helpers(probe, now)
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
        if header.sender in self.view:
            self._heard_at[header.sender] = now
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
                self._probes.ack(message.target, message.period_number)

    def _begin_period(self, now: float) -> None:
        """Begins a protocol period: pings one member, drawn uniformly, and the silent neighbours."""
        self.period_number += 1
        self._period_start = now
        self._forget_departed(now)
        if self._join_at is None:
            self._contact_absent(now)
        if not self._view.live:
            return
        self._begin_probe(self.rng.choice(self._view.live), now)
        self._probe_silent_neighbours(now)

    def _begin_probe(self, target: Address, now: float, staged: bool = False) -> None:
        if target in self._probes:
            return
        self._probes.begin(Probe(self.view[target], self.period_number, now, staged))
        self._send_ping(target)

    def _send_ping(self, target: Address) -> None:
        ping = Ping(self._header(), self.me.addr, target, self.period_number, self._digest.total)
        self._send(target, ping)

    def _probe_silent_neighbours(self, now: float) -> None:
        """Probes the ring neighbours that were not heard for half a period, so one of each two neighbours pings."""
        if self._period_start is None:
            return
        for address in self._view.ring.neighbours(self.me.addr, WATCHED_EACH_SIDE):
            heard_at = max(times.get(address, float("-inf")) for times in (self._heard_at, self._known_since))
            if now >= heard_at + self.period / 2:
                self._begin_probe(address, now, staged=True)

    def _request_helpers(self, probe: Probe, now: float) -> None:
        """Requests helpers to ping the target, because no ack arrived within a round trip."""
        target = probe.target.addr
        count = self.helpers
        is_first = probe.first_requests_at is None
        if is_first:
            probe.first_requests_at = now
            self.counts.add("membership_asked")
        if is_first and probe.staged:
            count = min(count, FIRST_HELPERS)
        else:
            probe.last_requests_at = now
        helpers = self._view.sample(self.rng, count, target)
        for helper in helpers:
            self._send(helper, PingReq(self._header(), self.me.addr, target, probe.period_number))
        repeats = max(FIRST_HELPERS - len(helpers), int(probe.staged and is_first))
        for _ in range(repeats):
            self._send(target, Ping(self._header(), self.me.addr, target, probe.period_number))

    def _end_probes(self, now: float) -> None:
        """Ends probes: declares a target without an ack failed, unless this process had no turn in time."""
        declared = False
        for probe, verdict in self._probes.take_ended(now):
            if verdict is Verdict.VOID:
                self.counts.add("membership_void_period")
                self.counts.add(f"membership_void_{probe.void_cause()}")
                if self._view.is_live(probe.target.addr):
                    self._begin_probe(probe.target.addr, now, probe.staged)
            elif verdict is Verdict.FAILED:
                declared |= self._declare_failed(probe, now)
        if declared:
            self._probe_silent_neighbours(now)

    def _declare_failed(self, probe: Probe, now: float) -> bool:
        target = probe.target
        failed = msgspec.structs.replace(target, state=FAILED)
        count = min(self.helpers, max(0, len(self._view.live) - 1))
        silent_s = now - self._heard_at.get(target.addr, probe.began_at)
        reason = (
            f"no ack in period {probe.period_number}, direct or via {count} helpers, not heard for {silent_s:.1f} s"
        )
        if not self._apply_record(failed, now, reason):
            return False
        self.counts.add("membership_declared")
        self.silence_s.observe(silent_s)
        self._disseminate([failed], failed.addr)
        return True

    def _forget_departed(self, now: float) -> None:
        for address, since in list(self._departed_at.items()):
            if now - since > FORGET_AFTER_S:
                self._drop(address)
                self._heard_at.pop(address, None)
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
            return
        self._probe_silent_neighbours(now)
        if record.state == FAILED and record.addr in self._heard_at:
            self.silence_s.observe(now - self._heard_at[record.addr])
        if record.state == FAILED and self.rng.random() < FAILURE_NOTICES / (len(self._view.live) + 1):
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
