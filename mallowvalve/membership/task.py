"""The membership's socket and its clock."""

from __future__ import annotations

import gevent
import msgspec
from gevent import socket

from mallowvalve import clock
from mallowvalve.fault import Faults
from mallowvalve.membership.detector import Membership
from mallowvalve.membership.dissemination import DIRECT_SEND_MEMBERS_MAX, OutgoingDatagrams
from mallowvalve.membership.members import DepartedMember
from mallowvalve.membership.wire import ALIVE, MemberRecord, MemberState, decode, encode
from mallowvalve.metrics import change, vital
from mallowvalve.types import Address

STATE_NAMES = {state: state.name.lower() for state in MemberState}
AT_ONCE = 256
"""Datagrams that are read before the timer is looked at again."""

LARGEST = 65536
SHORTEST_WAIT = 0.005
"""Seconds; below it the loop would spin."""

READABLE = 1
"""The event of libev's that a socket has something to read."""


class MembershipTask:
    """Owns the socket. One greenlet waits for a datagram or the machine's next timer, whichever comes first.

    What has arrived is always read before the clock is: an ack that waited while the process slept still counts.
    """

    __slots__ = ("membership", "faults", "_sock", "_job", "_logged_states")

    def __init__(self, membership: Membership, faults: Faults | None = None) -> None:
        """Send and receive for `membership`, but what `faults` cut."""
        self.membership = membership
        self.faults = faults or Faults()
        self._logged_states: dict[Address, tuple[int, MemberState]] = {}

    def __enter__(self) -> MembershipTask:
        """Bind the member's address (UDP) and begin."""
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(self.membership.me.addr.pair)
        self._sock.setblocking(False)
        self._job = vital(gevent.spawn(self._run))
        return self

    def __exit__(self, *_: object) -> None:
        """Stop at once, without a word to the others."""
        gevent.kill(self._job)
        self._sock.close()

    def alive(self, role: str | None = None) -> list[MemberRecord]:
        """Others that are alive or leaving, of one role or of any; not to be changed by the caller."""
        return self.membership.alive(role)

    def departed(self, role: str) -> list[DepartedMember]:
        """Others of a role that failed or left and are not forgotten."""
        return self.membership.departed(role, clock.now())

    def settled(self) -> bool:
        """Whether this member has had time to meet the others; until then it may know a few only."""
        return self.membership.settled(clock.now())

    def known_for(self, member: MemberRecord) -> float:
        """For how long (s) the present life of a member has been known here."""
        return self.membership.known_for(member, clock.now())

    def probe(self, member: MemberRecord) -> None:
        """Ping a member beside the periods, a few times a second at most however often this is called."""
        self._do(self.membership.probe(member, clock.now()))

    def suspects(self, member: MemberRecord) -> bool:
        """Whether the last pings of `check` have all been unanswered."""
        return self.membership.suspects(member, clock.now())

    def view(self) -> list[MemberRecord]:
        """All records, this member's own first."""
        return [self.membership.me, *self.membership.view.values()]

    def ready(self, ready: bool) -> None:
        """This member takes work, or takes none."""
        self._do(self.membership.ready(ready))

    def leave(self, final: bool) -> None:
        """This member leaves, or has left if `final`."""
        self._do(self.membership.leave(final))

    def accept(self, accepts: bool) -> None:
        """This member, which leaves, takes new work still, or no more."""
        self._do(self.membership.accept(accepts))

    def _do(self, out: OutgoingDatagrams) -> None:
        for to, message in out:
            if self.faults.silent(self.membership.me.addr, to):
                continue
            try:
                self._sock.sendto(encode(message), to.pair)
            except OSError:
                self.membership.counts.add("membership_send_error")
        self._log()

    def _run(self) -> None:
        hub = gevent.get_hub()
        arrived = hub.loop.io(self._sock.fileno(), READABLE)
        try:
            while True:
                wait = self.membership.timer() - clock.now()
                if wait > 0:
                    with gevent.Timeout(max(SHORTEST_WAIT, wait), False):
                        hub.wait(arrived)
                self._read(1 if clock.now() < self.membership.timer() else AT_ONCE)
                now = clock.now()
                if now >= self.membership.timer():
                    self._do(self.membership.tick(now))
        finally:
            arrived.close()

    def _read(self, most: int) -> None:
        for _ in range(most):
            try:
                data = self._sock.recv(LARGEST)
            except BlockingIOError:
                return
            except OSError:
                continue
            try:
                message = decode(data)
            except msgspec.DecodeError:
                self.membership.counts.add("membership_garbage")
                continue
            self._do(self.membership.receive(message, clock.now()))

    def _log(self) -> None:
        """Write what became of members to the log; in a large group not each that is new and alive."""
        why = self.membership.reasons
        view = self.membership.view
        if len(self._logged_states) > len(view):
            self._logged_states = {address: known for address, known in self._logged_states.items() if address in view}
        while why:
            address, text = why.popitem()
            record = view.get(address)
            if record is None or self._logged_states.get(address) == (record.boot, record.state):
                continue
            new = address not in self._logged_states
            self._logged_states[address] = (record.boot, record.state)
            if new and record.state == ALIVE and len(view) > DIRECT_SEND_MEMBERS_MAX:
                continue
            change(
                f"peer_{STATE_NAMES[record.state]}",
                peer=str(address),
                name=record.name,
                incarnation=record.incarnation,
                why=text,
            )
