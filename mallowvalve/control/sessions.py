"""Commands applied once and never late: the origin of each, and the memory of what was said to it.

After Ongaro's dissertation, 6.3 (sessions, sequence numbers, stored answers), with a time in place of a session's
registration: memory is bounded by `not_after`. All times are the fleet's clock in ms, as log entries carry it.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

import msgspec

from mallowvalve.control.outcome import Code, Outcome
from mallowvalve.control.wire import CommandResponse

OUTCOME_RETENTION_MS = 10_000
"""For how long after its `not_after` a command's outcome is kept."""
MAX_AHEAD_MS = 600_000
"""A `not_after` further ahead of its entry's time is a fault; the product's longest call has 8 s."""
MAX_STORED_OUTCOMES, MAX_STORED_BODY_BYTES = 10_000, 4 << 20
CLOCK_CORRECTION_VALID_S = 10.0
"""For how long (s) a process goes by the time it was told when its own estimate had been wrong."""
SESSION_BYTES, NUMBER_BYTES, TIME_BYTES = 8, 3, 6
MAX_CALL_NUMBER = (1 << 8 * NUMBER_BYTES) - 1

HEADER_MARKER = b"\xc1"
"""The first byte of a header: msgpack never uses it, so a command without a header is known."""
_NUMBER_OFFSET = 1 + SESSION_BYTES
_TIME_OFFSET = _NUMBER_OFFSET + NUMBER_BYTES
HEADER_BYTES = _TIME_OFFSET + TIME_BYTES
_decode_clock = msgspec.msgpack.Decoder(int).decode
encode_clock = msgspec.msgpack.Encoder().encode


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """`session` is 64 random bits of one life of a process, `number` rises by one with each of its calls."""

    session: int
    number: int
    not_after: int


def encode_with_origin(origin: Origin, command: bytes) -> bytes:
    """An encoded command under the header that names its origin."""
    session = origin.session.to_bytes(SESSION_BYTES, "big")
    number = origin.number.to_bytes(NUMBER_BYTES, "big")
    return b"".join((HEADER_MARKER, session, number, origin.not_after.to_bytes(TIME_BYTES, "big"), command))


def command_offset(data: bytes) -> int:
    """Where the command itself begins."""
    return HEADER_BYTES if data[:1] == HEADER_MARKER else 0


def split_origin(data: bytes) -> tuple[Origin | None, bytes]:
    """The origin, if there is one, and the encoded command."""
    at = command_offset(data)
    if not at:
        return None, data
    session = int.from_bytes(data[1:_NUMBER_OFFSET], "big")
    number = int.from_bytes(data[_NUMBER_OFFSET:_TIME_OFFSET], "big")
    return Origin(session, number, int.from_bytes(data[_TIME_OFFSET:at], "big")), data[at:]


class SessionOutcome(msgspec.Struct, frozen=True, array_like=True):
    """What was said to a command."""

    origin: Origin
    outcome: Outcome


class SessionTimes(msgspec.Struct, frozen=True, array_like=True):
    """`latest` is the newest time of an entry judged; origins whose `not_after` is up to `floor` may be forgotten."""

    latest: int = 0
    floor: int = 0


class Sessions:
    """Outcomes by session and number. Replicated: judged by the times that entries carry, and by nothing else.

    One that was fed only the entries that were applied elsewhere holds a part of the rows and no later times, so it
    applies whatever was applied there.
    """

    __slots__ = ("latest", "floor", "rows", "_order", "_bytes")

    def __init__(self) -> None:
        """Starts with nothing known."""
        self.latest = self.floor = 0
        self.rows: dict[tuple[int, int], SessionOutcome] = {}
        self._order: list[tuple[int, int, int]] = []
        self._bytes = 0

    @property
    def times(self) -> SessionTimes:
        """What a snapshot carries beside the rows."""
        return SessionTimes(self.latest, self.floor)

    def deduplicate(self, o: Origin, at: int) -> Outcome | Code | None:
        """The outcome stored, the code of a refusal, or None for a command to apply in an entry of the time `at`."""
        self.latest = max(self.latest, at)
        self.floor = max(self.floor, self.latest - OUTCOME_RETENTION_MS)
        self._evict()
        had = self.rows.get((o.session, o.number))
        if had is not None:
            return had.outcome
        if o.not_after <= self.floor:
            return Code.FORGOTTEN
        if o.not_after < self.latest:
            return Code.LATE
        return Code.AHEAD if o.not_after > at + MAX_AHEAD_MS else None

    def store_outcome(self, o: Origin, outcome: Outcome) -> None:
        """Stores what was said to a command just applied."""
        self._put(SessionOutcome(o, outcome))
        while len(self.rows) > MAX_STORED_OUTCOMES or self._bytes > MAX_STORED_BODY_BYTES and len(self.rows) > 1:
            self.floor = max(self.floor, self._order[0][0])
            self._evict()

    def restore_times(self, times: SessionTimes) -> None:
        """Takes over a snapshot's times; its rows follow."""
        self.latest, self.floor = times.latest, times.floor

    def restore_outcomes(self, rows: list[SessionOutcome]) -> None:
        """Takes over rows of a snapshot."""
        for row in rows:
            self._put(row)

    def _put(self, row: SessionOutcome) -> None:
        o = row.origin
        self.rows[o.session, o.number] = row
        self._bytes += len(row.outcome.body)
        heapq.heappush(self._order, (o.not_after, o.session, o.number))

    def _evict(self) -> None:
        while self._order and self._order[0][0] <= self.floor:
            _, session, number = heapq.heappop(self._order)
            self._bytes -= len(self.rows.pop((session, number)).outcome.body)


class Session:
    """A process's own side: numbers its calls and estimates the fleet's clock for them."""

    __slots__ = ("_draw", "_id", "_number", "_clock_correction")

    def __init__(self, draw: Callable[[], int]) -> None:
        """`draw` gives 64 random bits, anew for each life and when the numbers are used up."""
        self._draw = draw
        self._id, self._number = draw(), 0
        self._clock_correction: tuple[int, float] | None = None

    def origin(self, estimate: int, now: float, limit: float) -> Origin:
        """The next call's; `estimate` is the fleet's clock (ms) as known here, `now` and `limit` are in s."""
        if self._number == MAX_CALL_NUMBER:
            self._id, self._number = self._draw(), 0
        self._number += 1
        correct_clock = self._clock_correction
        if correct_clock is not None and now - correct_clock[1] < CLOCK_CORRECTION_VALID_S:
            estimate = correct_clock[0] + int((now - correct_clock[1]) * 1000)
        return Origin(self._id, self._number, max(0, estimate + int(limit * 1000)))

    def correct_clock(self, clock: int, now: float) -> None:
        """The estimate was wrong: an entry's time was `clock` (ms)."""
        self._clock_correction = clock, now


class SessionCall:
    """One call of a caller: each offer of it has the same origin, unless that is known to have had no effect."""

    __slots__ = ("_session", "_command", "_end", "_sealed", "_may_have_run")

    def __init__(self, session: Session, command: bytes, end: float) -> None:
        """`end` is when the command is to take effect at the latest (s)."""
        self._session, self._command, self._end = session, command, end
        self._sealed, self._may_have_run = b"", False

    def sealed_command(self, estimate: int, now: float) -> bytes:
        """What to offer."""
        if not self._sealed:
            self._sealed = encode_with_origin(self._session.origin(estimate, now, self._end - now), self._command)
        return self._sealed

    def on_response(self, t: CommandResponse, now: float) -> CommandResponse:
        """What an offer's answer says of the call: after one that may have run, an untimely one is undecided.

        Untimely at first, nothing ran, even if the state may have forgotten others of that time: the call goes on under
        a new number, by the time that the answer tells.
        """
        self._may_have_run = self._may_have_run or t.code == Code.UNDECIDED
        if t.code not in (Code.LATE, Code.AHEAD, Code.FORGOTTEN):
            return t
        if self._may_have_run:
            return CommandResponse(Code.FORGOTTEN)
        self._session.correct_clock(_decode_clock(t.body), now)
        self._sealed = b""
        return CommandResponse(Code.LEADER, leader=t.leader)

    def has_expired(self, now: float) -> bool:
        """Whether it can take no effect any more, and nothing that was offered may have."""
        return now >= self._end and not self._may_have_run

    def final_response(self, t: CommandResponse, again: frozenset[Code]) -> CommandResponse:
        """The last word of a call: what may have run never ends as refused."""
        return (
            CommandResponse(Code.UNDECIDED) if t.code == Code.FORGOTTEN or self._may_have_run and t.code in again else t
        )
