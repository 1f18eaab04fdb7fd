"""The probes of a member: pings that wait for an ack, directly or through helpers, for one protocol period each."""

from __future__ import annotations

import enum
from collections.abc import Iterator

import msgspec

from mallowvalve.membership.wire import MemberRecord
from mallowvalve.types import Address

FIRST_HELPERS = 3
"""The helpers that a staged probe asks first; the others follow if these bring no ack within a round trip."""

MAX_DELAY_PERIODS = 0.5
"""How many periods late a turn of this process may come; a probe with a later one is void."""


class Verdict(enum.Enum):
    """What the end of a probe shows."""

    ACKED = "acked"
    FAILED = "failed"
    VOID = "void"
    """This process had no turn when one was due, so the silence may be its own."""


class Probe(msgspec.Struct):
    """A ping of one member, and the times at which helpers were asked to ping it too (s).

    A staged probe asks helpers in two steps, since it accompanies the ordinary one and is usually answered by the first
    few.
    """

    target: MemberRecord
    period_number: int
    began_at: float
    staged: bool = False
    acked: bool = False
    first_requests_at: float | None = None
    last_requests_at: float | None = None

    def next_requests_at(self, round_trip: float) -> float | None:
        """Returns when helpers are to be asked next (s), None if no more are."""
        if self.acked or self.last_requests_at is not None:
            return None
        return (self.began_at if self.first_requests_at is None else self.first_requests_at) + round_trip

    def ends_at(self, period: float, round_trip: float) -> float:
        """Returns the end of the probe (s): a period after its beginning, later if helpers were asked late."""
        if self.acked:
            return self.began_at + period
        if self.first_requests_at is None or self.last_requests_at is None:
            return (self.first_requests_at or self.began_at) + (1 + MAX_DELAY_PERIODS) * period
        return max(self.began_at + period, self.first_requests_at + 2 * round_trip, self.last_requests_at + round_trip)

    def void_cause(self) -> str:
        """Returns why the probe is void: helpers were not asked in time, or its end was not noticed in time."""
        return "late_end" if self.last_requests_at is not None else "late_requests"


class Probes:
    """The probes in flight, one for each target at most. `period` and `round_trip` are seconds."""

    __slots__ = ("period", "round_trip", "_by_target")

    def __init__(self, period: float, round_trip: float) -> None:
        """Starts with no probe."""
        self.period = period
        self.round_trip = round_trip
        self._by_target: dict[Address, Probe] = {}

    def __contains__(self, target: Address) -> bool:
        """Returns whether a probe of this member is in flight."""
        return target in self._by_target

    def begin(self, probe: Probe) -> None:
        """Adds a probe whose ping is sent now."""
        self._by_target[probe.target.addr] = probe

    def ack(self, target: Address, period_number: int) -> None:
        """Records an ack for the ping of that period."""
        probe = self._by_target.get(target)
        if probe is not None and probe.period_number == period_number:
            probe.acked = True

    def due_at(self) -> float | None:
        """Returns when the next probe needs a turn (s), None without any."""
        times = [time for probe in self._by_target.values() for time in self._times(probe)]
        return min(times, default=None)

    def take_ended(self, now: float) -> list[tuple[Probe, Verdict]]:
        """Removes the probes that have ended, and returns them with their verdicts."""
        ended = [probe for probe in self._by_target.values() if now >= probe.ends_at(self.period, self.round_trip)]
        for probe in ended:
            del self._by_target[probe.target.addr]
        return [(probe, self._verdict(probe, now)) for probe in ended]

    def due_requests(self, now: float) -> list[Probe]:
        """Returns the probes that are to ask helpers now."""
        found = []
        for probe in self._by_target.values():
            due = probe.next_requests_at(self.round_trip)
            if due is not None and now >= due:
                found.append(probe)
        return found

    def _times(self, probe: Probe) -> Iterator[float]:
        yield probe.ends_at(self.period, self.round_trip)
        due = probe.next_requests_at(self.round_trip)
        if due is not None:
            yield due

    def _verdict(self, probe: Probe, now: float) -> Verdict:
        if probe.acked:
            return Verdict.ACKED
        late = now - probe.ends_at(self.period, self.round_trip)
        if probe.last_requests_at is None or late > MAX_DELAY_PERIODS * self.period:
            return Verdict.VOID
        return Verdict.FAILED
