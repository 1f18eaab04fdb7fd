"""Pings outside the protocol periods, for the few members that are the sole answer to a look-up."""

from __future__ import annotations

import msgspec

from mallowvalve.membership.wire import MemberRecord
from mallowvalve.types import Address

PROBE_INTERVAL_S = 0.2
"""The minimum interval between two probes of one member."""

SUSPECT_AFTER_S = 0.8
"""The minimum age of the first of `SUSPECT_PINGS` unanswered pings before the member is suspected."""

SUSPECT_PINGS = 4
"""The last ping may still be in flight; each of the three before it had at least `PROBE_INTERVAL_S` for its ack."""

IDLE_S = 5.0
"""A member that was not asked about for this long is no longer tracked."""


class ProbeState(msgspec.Struct):
    """The pings to one process of a member since its last ack: their count, and the times of the first and last (s)."""

    boot: int
    unanswered: int
    first: float
    last: float


class DirectProbes:
    """Tracks the members that this member probes directly, and which of them are suspected.

    Probes are sent when a caller asks about a member, so no timer is needed. A suspected member is not declared failed:
    only the detector does that, at the end of a protocol period.
    """

    __slots__ = ("_probes",)

    def __init__(self) -> None:
        """Starts with no tracked member."""
        self._probes: dict[Address, ProbeState] = {}

    def due(self, member: MemberRecord, now: float) -> bool:
        """Returns whether a ping is due; if so, the ping counts as sent at `now`."""
        self._forget_idle(now)
        probe = self._probes.get(member.addr)
        if probe is None or probe.boot != member.boot:
            self._probes[member.addr] = ProbeState(member.boot, 1, now, now)
            return True
        if now < probe.last + PROBE_INTERVAL_S:
            return False
        if probe.unanswered == 0:
            probe.first = now
        probe.unanswered += 1
        probe.last = now
        return True

    def acked(self, address: Address) -> None:
        """Records that the member acked a ping of this process."""
        probe = self._probes.get(address)
        if probe is not None:
            probe.unanswered = 0

    def suspects(self, member: MemberRecord, now: float) -> bool:
        """Returns whether this process of the member left several pings unanswered, the first for long enough."""
        probe = self._probes.get(member.addr)
        if probe is None or probe.boot != member.boot:
            return False
        return probe.unanswered >= SUSPECT_PINGS and now - probe.first >= SUSPECT_AFTER_S

    def _forget_idle(self, now: float) -> None:
        idle = [address for address, probe in self._probes.items() if now - probe.last > IDLE_S]
        for address in idle:
            del self._probes[address]
