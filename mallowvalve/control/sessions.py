"""Exactly-once execution of commands: the origin of each command, and the stored outcomes of applied commands.

After Ongaro's dissertation, section 6.3 (sessions, sequence numbers, stored responses). Sessions are not registered;
instead each command carries an expiry time, `not_after`, which bounds the stored outcomes. All times are the fleet
clock in ms, as recorded in log entries.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

import msgspec

from mallowvalve.control.outcome import Code, Outcome
from mallowvalve.control.wire import CommandResponse

OUTCOME_RETENTION_MS = 10_000
"""How long after its `not_after` the outcome of a command is stored."""
MAX_AHEAD_MS = 600_000
"""A `not_after` further ahead of its entry's time is rejected; the product's longest call takes 8 s."""
MAX_STORED_OUTCOMES = 10_000
MAX_STORED_BODY_BYTES = 4 << 20
CLOCK_CORRECTION_VALID_S = 10.0
"""How long a process uses the time from a rejection in place of its own estimate of the fleet clock."""
SESSION_BYTES = 8
NUMBER_BYTES = 3
TIME_BYTES = 6
MAX_CALL_NUMBER = (1 << 8 * NUMBER_BYTES) - 1

HEADER_MARKER = b"\xc1"
"""The first byte of a header. msgpack never uses it, so it distinguishes commands with and without a header."""
_NUMBER_OFFSET = 1 + SESSION_BYTES
_TIME_OFFSET = _NUMBER_OFFSET + NUMBER_BYTES
HEADER_BYTES = _TIME_OFFSET + TIME_BYTES
_decode_clock = msgspec.msgpack.Decoder(int).decode
encode_clock = msgspec.msgpack.Encoder().encode


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a call: `session` is 64 random bits per run of a process, `number` increases by one per call.

    `not_after` is the latest entry time (ms) at which the command may be applied.
    """

    session: int
    number: int
    not_after: int


def encode_with_origin(origin: Origin, command: bytes) -> bytes:
    """Returns the encoded command, prefixed with a header that contains its origin."""
    session = origin.session.to_bytes(SESSION_BYTES, "big")
    number = origin.number.to_bytes(NUMBER_BYTES, "big")
    return b"".join((HEADER_MARKER, session, number, origin.not_after.to_bytes(TIME_BYTES, "big"), command))


def command_offset(data: bytes) -> int:
    """Returns the offset of the command, after the header if there is one."""
    return HEADER_BYTES if data[:1] == HEADER_MARKER else 0


def split_origin(data: bytes) -> tuple[Origin | None, bytes]:
    """Returns the origin, if there is a header, and the encoded command."""
    offset = command_offset(data)
    if not offset:
        return None, data
    session = int.from_bytes(data[1:_NUMBER_OFFSET], "big")
    number = int.from_bytes(data[_NUMBER_OFFSET:_TIME_OFFSET], "big")
    return Origin(session, number, int.from_bytes(data[_TIME_OFFSET:offset], "big")), data[offset:]


class SessionOutcome(msgspec.Struct, frozen=True, array_like=True):
    """The stored outcome of an applied command."""

    origin: Origin
    outcome: Outcome


class SessionTimes(msgspec.Struct, frozen=True, array_like=True):
    """`latest` is the newest entry time seen; outcomes whose `not_after` is at most `floor` may have been evicted."""

    latest: int = 0
    floor: int = 0


class Sessions:
    """Stored outcomes by session and call number. Replicated: it depends on nothing but the times of log entries.

    A replica that receives only the applied entries of a part of the state stores a subset of the rows and no later
    times, so it applies every command that was applied on the leader.
    """

    __slots__ = ("latest", "floor", "rows", "_order", "_body_bytes")

    def __init__(self) -> None:
        """Starts without stored outcomes."""
        self.latest = self.floor = 0
        self.rows: dict[tuple[int, int], SessionOutcome] = {}
        self._order: list[tuple[int, int, int]] = []
        self._body_bytes = 0

    @property
    def times(self) -> SessionTimes:
        """Returns the times that a snapshot contains in addition to the rows."""
        return SessionTimes(self.latest, self.floor)

    def deduplicate(self, origin: Origin, entry_time: int) -> Outcome | Code | None:
        """Returns the stored outcome, the code of a rejection, or None if the command is to be applied."""
        self.latest = max(self.latest, entry_time)
        self.floor = max(self.floor, self.latest - OUTCOME_RETENTION_MS)
        self._evict()
        stored = self.rows.get((origin.session, origin.number))
        if stored is not None:
            return stored.outcome
        if origin.not_after <= self.floor:
            return Code.FORGOTTEN
        if origin.not_after < self.latest:
            return Code.LATE
        return Code.AHEAD if origin.not_after > entry_time + MAX_AHEAD_MS else None

    def store_outcome(self, origin: Origin, outcome: Outcome) -> None:
        """Stores the outcome of an applied command; evicts the outcomes that expire first while above a limit."""
        self._put(SessionOutcome(origin, outcome))
        while len(self.rows) > MAX_STORED_OUTCOMES or self._body_bytes > MAX_STORED_BODY_BYTES and len(self.rows) > 1:
            self.floor = max(self.floor, self._order[0][0])
            self._evict()

    def restore_times(self, times: SessionTimes) -> None:
        """Restores the times of a snapshot, before its rows."""
        self.latest, self.floor = times.latest, times.floor

    def restore_outcomes(self, rows: list[SessionOutcome]) -> None:
        """Restores rows of a snapshot."""
        for row in rows:
            self._put(row)

    def _put(self, row: SessionOutcome) -> None:
        origin = row.origin
        self.rows[origin.session, origin.number] = row
        self._body_bytes += len(row.outcome.body)
        heapq.heappush(self._order, (origin.not_after, origin.session, origin.number))

    def _evict(self) -> None:
        while self._order and self._order[0][0] <= self.floor:
            _, session, number = heapq.heappop(self._order)
            self._body_bytes -= len(self.rows.pop((session, number)).outcome.body)


class Session:
    """The submitting process's session: numbers its calls and derives their `not_after` from the fleet clock."""

    __slots__ = ("_random_bits", "_id", "_number", "_clock_correction")

    def __init__(self, random_bits: Callable[[], int]) -> None:
        """`random_bits` returns 64 random bits; it is called at the start and whenever the numbers are exhausted."""
        self._random_bits = random_bits
        self._id, self._number = random_bits(), 0
        self._clock_correction: tuple[int, float] | None = None

    def origin(self, estimate: int, now: float, limit: float) -> Origin:
        """Returns the next call's origin; `estimate` is the local fleet clock (ms), `now` and `limit` are in s."""
        if self._number == MAX_CALL_NUMBER:
            self._id, self._number = self._random_bits(), 0
        self._number += 1
        correction = self._clock_correction
        if correction is not None and now - correction[1] < CLOCK_CORRECTION_VALID_S:
            estimate = correction[0] + int((now - correction[1]) * 1000)
        return Origin(self._id, self._number, max(0, estimate + int(limit * 1000)))

    def correct_clock(self, clock: int, now: float) -> None:
        """Replaces a wrong estimate of the fleet clock by an entry's time, `clock` (ms)."""
        self._clock_correction = clock, now


class SessionCall:
    """One call of a client. All its submissions have the same origin until one is known to have had no effect."""

    __slots__ = ("_session", "_command", "_deadline", "_encoded", "_may_have_run")

    def __init__(self, session: Session, command: bytes, deadline: float) -> None:
        """`deadline` is the latest time at which the command may take effect (s)."""
        self._session, self._command, self._deadline = session, command, deadline
        self._encoded, self._may_have_run = b"", False

    def encoded_command(self, estimate: int, now: float) -> bytes:
        """Returns the command with its origin, to be submitted."""
        if not self._encoded:
            self._encoded = encode_with_origin(self._session.origin(estimate, now, self._deadline - now), self._command)
        return self._encoded

    def on_response(self, response: CommandResponse, now: float) -> CommandResponse:
        """Returns the call's outcome after the response to one submission.

        A rejection for its time is FORGOTTEN if an earlier submission may have run. Otherwise nothing ran, even if
        outcomes of that time were evicted: the call continues under a new number, with the clock in the response.
        """
        self._may_have_run = self._may_have_run or response.code == Code.UNDECIDED
        if response.code not in (Code.LATE, Code.AHEAD, Code.FORGOTTEN):
            return response
        if self._may_have_run:
            return CommandResponse(Code.FORGOTTEN)
        self._session.correct_clock(_decode_clock(response.body), now)
        self._encoded = b""
        return CommandResponse(Code.LEADER, leader=response.leader)

    def has_expired(self, now: float) -> bool:
        """Returns whether the deadline has passed and no submission may have run."""
        return now >= self._deadline and not self._may_have_run

    def final_response(self, response: CommandResponse, retryable: frozenset[Code]) -> CommandResponse:
        """Returns the call's final response: UNDECIDED in place of a retryable code if the command may have run."""
        return (
            CommandResponse(Code.UNDECIDED)
            if response.code == Code.FORGOTTEN or self._may_have_run and response.code in retryable
            else response
        )
