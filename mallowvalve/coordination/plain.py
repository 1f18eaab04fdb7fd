"""Locks, numbers and keys for callers without idempotency keys: a repeated command is recognised by its content.

Times are ms of the fleet clock, which never goes back.
"""

from __future__ import annotations

import enum
import hashlib
import math
from collections import deque
from collections.abc import Iterable, Iterator
from itertools import islice

import msgspec

from mallowvalve.types import BoundedInt, Milliseconds

HISTORY_MS = 60_000
"""How long revisions and write outcomes are retained."""

MAX_HISTORY_EVENTS = 100_000
MAX_HISTORY_BYTES = 32 << 20
SWEEP_INTERVAL_MS = 1000
LEASE_SLACK_MS = 20
MAX_TOKENS_PER_LEASE = 64
VALUE_ID_BYTES = 32
"""The size of a value's digest; a value of at most as many characters identifies itself."""


class Take(msgspec.Struct, frozen=True, array_like=True, tag="take"):
    """Acquires a lock for `hold_ms`, or extends the lease of its holder."""

    name: str
    holder: str
    hold_ms: Milliseconds


class Extend(msgspec.Struct, frozen=True, array_like=True, tag="extend"):
    """Extends a lease, given any of its fencing tokens."""

    name: str
    holder: str
    token: BoundedInt
    hold_ms: Milliseconds


class Free(msgspec.Struct, frozen=True, array_like=True, tag="free"):
    """Releases a lock; has no effect unless `token` is the newest fencing token of the lease."""

    name: str
    holder: str
    token: BoundedInt


class Count(msgspec.Struct, frozen=True, array_like=True, tag="count"):
    """Draws the next number of a sequence."""

    name: str


class Write(msgspec.Struct, frozen=True, array_like=True, tag="write"):
    """Sets a key; `base` is the revision that the key must have (0: absent), or None for any."""

    name: str
    value: str
    base: BoundedInt | None = None


class PlainResultCode(enum.StrEnum):
    """The outcome of a command.

    `HELD`: another holder has the lock. `LOST`: the caller no longer has it. `CONFLICT`: the key has another revision.
    """

    OK = "ok"
    HELD = "held"
    LOST = "lost"
    CONFLICT = "conflict"


class PlainResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of a command; `number` is the fencing token, the number drawn or the revision."""

    code: PlainResultCode
    number: int = 0


class PlainLease(msgspec.Struct, frozen=True, array_like=True):
    """The lease of a lock; `tokens` are the fencing tokens issued since the holder acquired it, newest last."""

    holder: str
    tokens: tuple[int, ...]
    expires_at_ms: int


class KeyRevision(msgspec.Struct, frozen=True, array_like=True):
    """A revision of a key, written by a write that took effect."""

    revision: int
    written_at_ms: int
    name: str
    value: str


class WriteOutcome(msgspec.Struct, frozen=True, array_like=True):
    """The retained outcome of a write, for deduplication; revision 0 means that it was rejected."""

    name: str
    value_id: str
    decided_at_ms: int
    revision: int


class PlainSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The whole state, or one part of it in a transfer."""

    token: int = 0
    locks: dict[str, PlainLease] = {}
    numbers: dict[str, int] = {}
    keys: dict[str, tuple[str, int]] = {}
    revisions: dict[str, int] = {}
    history: list[KeyRevision] = []
    outcomes: list[WriteOutcome] = []


EMPTY_SNAPSHOT = PlainSnapshot()


class KeyGroup:
    """The keys whose names are alike up to the first dot: the group's revision and its retained history."""

    __slots__ = ("revision", "events")

    def __init__(self) -> None:
        """Creates a group without writes."""
        self.revision = 0
        self.events: deque[KeyRevision] = deque()

    @property
    def compacted(self) -> int:
        """The revision up to which the history is compacted."""
        return self.events[0].revision - 1 if self.events else self.revision


def group_of(name: str) -> str:
    """Returns the group of a key: its name up to and including the first dot."""
    head, dot, _ = name.partition(".")
    return head + dot


def value_id_of(value: str) -> str:
    """Returns what identifies a value in deduplication: the value itself, or its digest if it is long."""
    if len(value) <= VALUE_ID_BYTES:
        return value
    return hashlib.blake2b(value.encode(), digest_size=VALUE_ID_BYTES).hexdigest()


class PlainCoordination:
    """The replicated state machine: the same commands at the same times give the same state on every replica."""

    __slots__ = (
        "token",
        "locks",
        "numbers",
        "keys",
        "groups",
        "write_count",
        "_history",
        "_history_chars",
        "_outcomes",
        "_outcome_revisions",
        "_swept_at_ms",
    )

    def __init__(self) -> None:
        """Creates the empty state."""
        self.token = 0
        self.locks: dict[str, PlainLease] = {}
        self.numbers: dict[str, int] = {}
        self.keys: dict[str, tuple[str, int]] = {}
        self.groups: dict[str, KeyGroup] = {}
        self.write_count = 0
        self._history: deque[KeyRevision] = deque()
        self._history_chars = 0
        self._outcomes: deque[WriteOutcome] = deque()
        self._outcome_revisions: dict[tuple[str, str], int] = {}
        self._swept_at_ms = 0

    def apply(self, command: Take | Extend | Free | Count | Write, now_ms: int) -> PlainResult:
        """Applies a command; the result depends only on the state and the fleet clock."""
        if now_ms - self._swept_at_ms >= SWEEP_INTERVAL_MS:
            self.expire(now_ms)
        match command:
            case Take():
                return self._take(command, now_ms)
            case Extend():
                return self._extend(command, now_ms)
            case Free():
                return self._free(command, now_ms)
            case Count():
                number = self.numbers[command.name] = self.numbers.get(command.name, 0) + 1
                return PlainResult(PlainResultCode.OK, number)
            case Write():
                return self._write(command, now_ms)

    def expire(self, now_ms: int) -> None:
        """Drops expired leases, history and outcomes.

        Commands ignore what has expired, so the time of this call changes no result.
        """
        self._swept_at_ms = now_ms
        for name in [name for name, lease in self.locks.items() if lease.expires_at_ms <= now_ms]:
            del self.locks[name]
        self._trim_history(now_ms)
        self._trim_outcomes(now_ms)

    def has_leases(self) -> bool:
        """Returns whether the passing of time alone will change the locks."""
        return bool(self.locks)

    def revision(self, group: str) -> int:
        """Returns the revision of a group, 0 if it has no writes."""
        known = self.groups.get(group)
        return known.revision if known else 0

    def events_since(self, group: str, after: int) -> tuple[list[KeyRevision], int] | None:
        """Returns the writes above revision `after` and the group's revision, or None if some of them are compacted."""
        known = self.groups.get(group)
        if known is None:
            return [], 0
        if after < known.compacted:
            return None
        return list(islice(known.events, after - known.compacted, None)), known.revision

    def _lease_of(self, name: str, now_ms: int) -> PlainLease | None:
        lease = self.locks.get(name)
        return lease if lease is not None and lease.expires_at_ms > now_ms else None

    def _take(self, command: Take, now_ms: int) -> PlainResult:
        lease = self._lease_of(command.name, now_ms)
        if lease is not None and lease.holder != command.holder:
            return PlainResult(PlainResultCode.HELD)
        self.token += 1
        expires_at_ms = lease_expiry_ms(now_ms, command.hold_ms)
        earlier_tokens: tuple[int, ...] = ()
        if lease is not None:
            expires_at_ms = max(expires_at_ms, lease.expires_at_ms)
            earlier_tokens = lease.tokens[1 - MAX_TOKENS_PER_LEASE :]
        self.locks[command.name] = PlainLease(command.holder, (*earlier_tokens, self.token), expires_at_ms)
        return PlainResult(PlainResultCode.OK, self.token)

    def _extend(self, command: Extend, now_ms: int) -> PlainResult:
        lease = self._lease_of(command.name, now_ms)
        if lease is None or lease.holder != command.holder or command.token not in lease.tokens:
            return PlainResult(PlainResultCode.LOST)
        self.locks[command.name] = PlainLease(
            lease.holder, lease.tokens, max(lease.expires_at_ms, lease_expiry_ms(now_ms, command.hold_ms))
        )
        return PlainResult(PlainResultCode.OK, command.token)

    def _free(self, command: Free, now_ms: int) -> PlainResult:
        lease = self._lease_of(command.name, now_ms)
        if lease is not None and (lease.holder, lease.tokens[-1]) == (command.holder, command.token):
            del self.locks[command.name]
        return PlainResult(PlainResultCode.OK, command.token)

    def _write(self, command: Write, now_ms: int) -> PlainResult:
        self._trim_outcomes(now_ms)
        value, revision = self.keys.get(command.name, (None, 0))
        if value == command.value:
            return PlainResult(PlainResultCode.OK, revision)
        write_id = command.name, value_id_of(command.value)
        earlier_revision = self._outcome_revisions.get(write_id)
        if earlier_revision:
            return PlainResult(PlainResultCode.OK, earlier_revision)
        if earlier_revision == 0 or command.base not in (None, revision):
            self._record_outcome(write_id, now_ms, 0)
            return PlainResult(PlainResultCode.CONFLICT, revision)
        group = self.groups.setdefault(group_of(command.name), KeyGroup())
        group.revision += 1
        self.keys[command.name] = command.value, group.revision
        self._record_outcome(write_id, now_ms, group.revision)
        self._record_revision(group, KeyRevision(group.revision, now_ms, command.name, command.value))
        self._trim_history(now_ms)
        return PlainResult(PlainResultCode.OK, group.revision)

    def _record_outcome(self, write_id: tuple[str, str], now_ms: int, revision: int) -> None:
        if write_id in self._outcome_revisions:
            return
        self._outcome_revisions[write_id] = revision
        self._outcomes.append(WriteOutcome(*write_id, now_ms, revision))

    def _trim_outcomes(self, now_ms: int) -> None:
        while self._outcomes and (
            self._outcomes[0].decided_at_ms + HISTORY_MS < now_ms or len(self._outcomes) > MAX_HISTORY_EVENTS
        ):
            oldest = self._outcomes.popleft()
            del self._outcome_revisions[oldest.name, oldest.value_id]

    def _record_revision(self, group: KeyGroup, event: KeyRevision) -> None:
        self.write_count += 1
        group.events.append(event)
        self._history.append(event)
        self._history_chars += len(event.value)

    def _trim_history(self, now_ms: int) -> None:
        history = self._history
        while history and (
            history[0].written_at_ms + HISTORY_MS < now_ms
            or len(history) > MAX_HISTORY_EVENTS
            or self._history_chars > MAX_HISTORY_BYTES
        ):
            oldest = history.popleft()
            self._history_chars -= len(oldest.value)
            self.groups[group_of(oldest.name)].events.popleft()

    def snapshot(self) -> PlainSnapshot:
        """Returns a copy of the whole state."""
        return PlainSnapshot(
            self.token,
            self.locks.copy(),
            self.numbers.copy(),
            self.keys.copy(),
            {name: group.revision for name, group in self.groups.items()},
            list(self._history),
            list(self._outcomes),
        )

    def load_snapshot(self, snapshot: PlainSnapshot) -> None:
        """Loads a snapshot, or one of its parts; parts are loaded in order."""
        self.token = max(self.token, snapshot.token)
        self.locks.update(snapshot.locks)
        self.numbers.update(snapshot.numbers)
        self.keys.update(snapshot.keys)
        for name, revision in snapshot.revisions.items():
            self.groups.setdefault(name, KeyGroup()).revision = revision
        for event in snapshot.history:
            self._record_revision(self.groups.setdefault(group_of(event.name), KeyGroup()), event)
        for outcome in snapshot.outcomes:
            self._record_outcome((outcome.name, outcome.value_id), outcome.decided_at_ms, outcome.revision)


def lease_expiry_ms(now_ms: int, hold_ms: float) -> int:
    """Returns when a lease expires: a little later than requested.

    The slack covers the rounding of the fleet clock to whole ms and the drift between clocks.
    """
    return now_ms + math.ceil(hold_ms) + LEASE_SLACK_MS


def split_snapshot(snapshot: PlainSnapshot, rows: int = 2000, size: int = 1 << 20) -> Iterator[PlainSnapshot]:
    """Yields a snapshot in parts of about `rows` rows and `size` characters, in the order in which to load them."""
    yield PlainSnapshot(snapshot.token)
    for field in ("locks", "numbers", "keys", "revisions"):
        for batch in _batches(getattr(snapshot, field).items(), rows, size):
            yield msgspec.structs.replace(EMPTY_SNAPSHOT, **{field: dict(batch)})
    for field in ("history", "outcomes"):
        for batch in _batches(getattr(snapshot, field), rows, size):
            yield msgspec.structs.replace(EMPTY_SNAPSHOT, **{field: batch})


def _batches(items: Iterable, rows: int, size: int) -> Iterator[list]:
    batch, chars = [], 0
    for item in items:
        batch.append(item)
        row = item[1] if isinstance(item, tuple) else item
        text = row[0] if isinstance(row, tuple) else getattr(row, "value", "")
        chars += len(text)
        if len(batch) >= rows or chars >= size:
            yield batch
            batch, chars = [], 0
    if batch:
        yield batch
