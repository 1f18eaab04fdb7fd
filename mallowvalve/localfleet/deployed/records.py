"""What the clients, callers, upstreams and the operator of a soak have seen, and what was done to the machines."""

from __future__ import annotations

import enum

import msgspec

NO_STATUS = 0
NO_DEADLINE_S = 1e9


class RequestEnd(enum.StrEnum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    NOT_CONNECTED = "not connected"
    NOT_SENT = "not sent whole"
    NO_ANSWER = "no answer"
    TIMED_OUT = "timed out"


class RequestRecord(msgspec.Struct):
    """A request of a client; times are seconds of this process's clock, 0.0 before they are known.

    `first`: the first request on its connection. `repeatable`: it may run more than once. `sent_at` is when its last
    byte was sent. `after_close`: the last answer on the connection had announced its end. `deadline_s` is the time
    that the client gave it (s), `NO_DEADLINE_S` if it gave none.
    """

    id: str
    machine: str
    first: bool
    repeatable: bool
    began_at: float
    sent_at: float = 0.0
    ended_at: float = 0.0
    end: RequestEnd = RequestEnd.NOT_CONNECTED
    status: int = NO_STATUS
    answered_id: str = ""
    detail: str = ""
    after_close: bool = False
    is_call: bool = False
    deadline_s: float = NO_DEADLINE_S


class Run(msgspec.Struct, frozen=True):
    """A request that reached an upstream; `at` is when its head arrived."""

    id: str
    instance: str
    at: float


class Stop(msgspec.Struct):
    """A stop of a machine; `code` is None while its process runs, `overdue`: it was killed at the end of its grace."""

    machine: str
    signalled_at: float
    ended_at: float = 0.0
    code: int | None = None
    overdue: bool = False
    ready_at: float = 0.0


class Kill(msgspec.Struct, frozen=True):
    """A process that was killed without notice."""

    machine: str
    at: float
    ready_at: float


class LongEnd(msgspec.Struct):
    """A process that was killed without notice, and started again much later (`started_at`, 0.0 before that)."""

    machine: str
    at: float
    started_at: float = 0.0


class Standstill(msgspec.Struct, frozen=True):
    """A span in which a machine's process was suspended."""

    machine: str
    at: float
    ended_at: float


class DirectoryAnswer(msgspec.Struct, frozen=True):
    """The machines that a directory named for a region, in answer to a question sent at `at`."""

    at: float
    directory: str
    region: str
    machines: list[str]


class Leaving(msgspec.Struct, frozen=True):
    """An upstream whose notice that it leaves was acknowledged."""

    instance: str
    acknowledged_at: float


class OwnEnd(msgspec.Struct, frozen=True):
    """A process that ended though nobody stopped or killed it; `code` is negative for a signal.

    `lasted_s` is the time since its start, `log` the last lines that it wrote.
    """

    machine: str
    at: float
    code: int
    lasted_s: float
    log: str


class Hang(msgspec.Struct, frozen=True):
    """A process that ran and gave no answer to readiness checks for `silent_s`."""

    machine: str
    at: float
    silent_s: float
    log: str


class HandlerError(msgspec.Struct, frozen=True):
    """A line of a process's log: a request was answered with 500 because its handler raised an error of its own."""

    machine: str
    log: str


class SlowStart(msgspec.Struct, frozen=True):
    """A process that was not ready within `waited_s` of its start."""

    machine: str
    at: float
    waited_s: float
    log: str


class Stall(msgspec.Struct, frozen=True):
    """A span in which the soak's own process had no turn: what it saw then, it saw late."""

    at: float
    seconds: float


class MemoryPeak(msgspec.Struct):
    """The most resident memory that the processes of a machine were seen with, and what they may use (megabytes)."""

    machine: str
    most_mb: float
    allowed_mb: float


class LookUp(msgspec.Struct, frozen=True):
    """An answer of a directory: the names of the machines that it named."""

    at: float
    machines: list[str]


class NumberDrawn(msgspec.Struct, frozen=True):
    """A number that a caller got."""

    name: str
    begun: float
    ended: float
    value: int


class KeyRead(msgspec.Struct, frozen=True):
    """A revision that a read of a key returned."""

    key: str
    begun: float
    ended: float
    revision: int
    value: str | None


class KeyWrite(msgspec.Struct, frozen=True):
    """A write of a key; `revision` is None if it got no clear answer, 0 if it was refused."""

    key: str
    begun: float
    ended: float
    value: str
    revision: int | None


class LockHold(msgspec.Struct, frozen=True):
    """The span in which a caller relied on a lock."""

    name: str
    holder: str
    asked_at: float
    begun: float
    ended: float
    token: int


class WatchAnswer(msgspec.Struct, frozen=True):
    """The events of a group between two revisions, as (key, revision, value); `status` is 410 for a lost history."""

    watcher: str
    group: str
    after: int
    revision: int
    status: int
    age_s: float
    events: list[tuple[str, int, str]]


class Change(msgspec.Struct, frozen=True):
    """A change of an item that was acknowledged, or not (`acknowledged_at` 0.0)."""

    version: int
    sent_at: float
    acknowledged_at: float


class RegionLoss(msgspec.Struct, frozen=True):
    """A region whose machines were all killed; a change that was sent `asked_at` was acknowledged, or not (0.0)."""

    region: str
    at: float
    asked_at: float
    acknowledged_at: float
    ready_at: float


class VoterPlaces(msgspec.Struct, frozen=True):
    """The voters and the members of the core in each region, while all run; no voters if nobody answered."""

    after: str
    at: float
    voters: dict[str, int]
    members: dict[str, int]


class FinalState(msgspec.Struct):
    """What was read back at the end; None where no answer came in time.

    `watches` are the statuses of watches that were resumed from the last revision of each watcher.
    """

    item_version: int | None = None
    keys: dict[str, int | None] = {}
    numbers: dict[str, int | None] = {}
    tokens: dict[str, int | None] = {}
    watches: dict[str, int | None] = {}


class Records(msgspec.Struct):
    """All records of a soak; `share` is the share of processor time that the processes got."""

    share: float = 1.0
    requests: list[RequestRecord] = []
    runs: list[Run] = []
    stops: list[Stop] = []
    kills: list[Kill] = []
    long_ends: list[LongEnd] = []
    standstills: list[Standstill] = []
    directory_answers: list[DirectoryAnswer] = []
    leavings: list[Leaving] = []
    view_ages: dict[str, int] = {}
    own_ends: list[OwnEnd] = []
    hangs: list[Hang] = []
    slow_starts: list[SlowStart] = []
    handler_errors: list[HandlerError] = []
    stalls: list[Stall] = []
    memory: list[MemoryPeak] = []
    look_ups: list[LookUp] = []
    numbers: list[NumberDrawn] = []
    reads: list[KeyRead] = []
    writes: list[KeyWrite] = []
    holds: list[LockHold] = []
    watches: list[WatchAnswer] = []
    changes: list[Change] = []
    region_losses: list[RegionLoss] = []
    voter_places: list[VoterPlaces] = []
    final: FinalState = msgspec.field(default_factory=FinalState)
