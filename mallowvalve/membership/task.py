"""Runs the membership on a UDP socket and the monotonic clock."""

from __future__ import annotations

import traceback

import gevent
import msgspec
from gevent import socket

from mallowvalve import clock
from mallowvalve.fault import InjectedFaults
from mallowvalve.membership.detector import Membership
from mallowvalve.membership.dissemination import DIRECT_SEND_MEMBERS_MAX, OutgoingDatagrams
from mallowvalve.membership.members import DepartedMember
from mallowvalve.membership.wire import ALIVE, MemberRecord, MemberState, Message, decode, encode
from mallowvalve.metrics import Distribution, log_event, log_event_rarely
from mallowvalve.supervision import restart_on_failure
from mallowvalve.types import Address

STATE_NAMES = {state: state.name.lower() for state in MemberState}
DATAGRAMS_PER_READ = 256
"""The maximum number of datagrams read before the timer is checked again."""

DATAGRAM_BYTES_MAX = 65536
WAIT_MIN_S = 0.005
"""A shorter wait would make the loop spin."""

STANDSTILL_S = 0.5
"""A turn that comes later than this is counted as a standstill."""

STANDSTILL_BOUNDS_S = (1.0, 2.0, 4.0, 8.0, 16.0)
LIBEV_READ = 1
"""The libev event for a readable socket."""


def require_number(address: Address) -> None:
    """Raises OSError for a host that is no IPv4 number: the system would ask a name server, and block meanwhile."""
    socket.inet_pton(socket.AF_INET, address.host)


class MembershipTask:
    """Owns the socket; one greenlet waits for a datagram or for the next tick, whichever comes first.

    Pending datagrams are always read before the clock: an ack that came while the process was suspended still counts.
    """

    __slots__ = ("membership", "faults", "standstills", "_socket", "_greenlet", "_logged_states")

    def __init__(self, membership: Membership, faults: InjectedFaults | None = None) -> None:
        """Sends and receives for `membership`, except where `faults` cuts the path."""
        self.membership = membership
        self.faults = faults or InjectedFaults()
        self.standstills = Distribution(STANDSTILL_BOUNDS_S)
        self._logged_states: dict[Address, tuple[int, MemberState]] = {}

    def __enter__(self) -> MembershipTask:
        """Binds the member's UDP address and starts."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._socket.bind(self.membership.me.addr.pair)
        except OSError:
            self._socket.close()
            raise
        self._socket.setblocking(False)
        self._greenlet = restart_on_failure("membership", self._run, self.membership.counts)
        return self

    def __exit__(self, *_: object) -> None:
        """Stops at once, without notifying the other members."""
        gevent.kill(self._greenlet)
        self._socket.close()

    def alive(self, role: str | None = None) -> list[MemberRecord]:
        """Returns the alive and leaving members of a role, or of all roles; the caller must not modify the list."""
        return self.membership.alive(role)

    def departed(self, role: str) -> list[DepartedMember]:
        """Returns the members of a role that failed or left and are not yet forgotten."""
        return self.membership.departed(role, clock.now())

    def settled(self) -> bool:
        """Returns whether this member has had time to discover the others; before that it may know only a few."""
        return self.membership.settled(clock.now())

    def known_for(self, member: MemberRecord) -> float:
        """Returns for how long (s) this member has known the current process of another."""
        return self.membership.known_for(member, clock.now())

    def probe(self, member: MemberRecord) -> None:
        """Pings a member outside the protocol periods, at most a few times a second however often it is called."""
        self._send(self.membership.probe(member, clock.now()))

    def suspects(self, member: MemberRecord) -> bool:
        """Returns whether the last pings of `probe` are all unanswered."""
        return self.membership.suspects(member, clock.now())

    def view(self) -> list[MemberRecord]:
        """Returns all records, this member's own first."""
        return [self.membership.me, *self.membership.view.values()]

    def ready(self, ready: bool) -> None:
        """Announces whether this member takes work."""
        self._send(self.membership.ready(ready))

    def leave(self, final: bool) -> None:
        """Announces that this member is leaving, or has left if `final`."""
        self._send(self.membership.leave(final))

    def accept(self, accepts: bool) -> None:
        """Announces whether this member, which is leaving, still accepts new work."""
        self._send(self.membership.accept(accepts))

    def _send(self, datagrams: OutgoingDatagrams) -> None:
        for to, message in datagrams:
            if self.faults.drops_datagram(self.membership.me.addr, to):
                continue
            try:
                require_number(to)
                self._socket.sendto(encode(message), to.pair)
            except (OSError, ValueError, TypeError, OverflowError):
                self.membership.counts.add("membership_send_error")
        self._log()

    def _run(self) -> None:
        hub = gevent.get_hub()
        readable = hub.loop.io(self._socket.fileno(), LIBEV_READ)
        try:
            while True:
                wait = self.membership.timer() - clock.now()
                if wait > 0:
                    with gevent.Timeout(max(WAIT_MIN_S, wait), False):
                        hub.wait(readable)
                    self._note_standstill(clock.now() - self.membership.timer())
                self._read(1 if clock.now() < self.membership.timer() else DATAGRAMS_PER_READ)
                now = clock.now()
                if now >= self.membership.timer():
                    self._send(self.membership.tick(now))
        finally:
            readable.close()

    def _note_standstill(self, late_s: float) -> None:
        """Counts and logs a turn of this process that came late: what it holds is as old as that."""
        if late_s >= STANDSTILL_S:
            self.standstills.observe(late_s)
            log_event_rarely("standstill", late_ms=int(1000 * late_s))

    def _read(self, count: int) -> None:
        for _ in range(count):
            try:
                data = self._socket.recv(DATAGRAM_BYTES_MAX)
            except BlockingIOError:
                return
            except OSError:
                continue
            try:
                message = decode(data)
            except msgspec.DecodeError:
                self.membership.counts.add("membership_garbage")
                continue
            self._receive(message)

    def _receive(self, message: Message) -> None:
        """Handles a message; an error concerns this message alone, as no promise rests on the membership."""
        try:
            self._send(self.membership.receive(message, clock.now()))
        except Exception as error:
            self.membership.counts.add("membership_failed")
            log_event_rarely("datagram_failed", error=repr(error), trace=traceback.format_exc())

    def _log(self) -> None:
        """Logs changes of members' states; in large groups, new members that are alive are not logged."""
        reasons = self.membership.reasons
        view = self.membership.view
        if len(self._logged_states) > len(view):
            self._logged_states = {address: state for address, state in self._logged_states.items() if address in view}
        while reasons:
            address, reason = reasons.popitem()
            record = view.get(address)
            if record is None or self._logged_states.get(address) == (record.boot, record.state):
                continue
            new = address not in self._logged_states
            self._logged_states[address] = (record.boot, record.state)
            if new and record.state == ALIVE and len(view) > DIRECT_SEND_MEMBERS_MAX:
                continue
            log_event(
                f"peer_{STATE_NAMES[record.state]}",
                peer=str(address),
                name=record.name,
                incarnation=record.incarnation,
                why=reason,
            )
