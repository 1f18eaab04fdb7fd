"""Locks, numbers and keys for callers without keys of their own: a repeat is known by its content."""

from __future__ import annotations

import enum
import hashlib
import math
from collections import deque
from collections.abc import Iterable, Iterator
from itertools import islice

import msgspec

HISTORY_MS = 60_000
MAX_HISTORY_EVENTS, MAX_HISTORY_BYTES = 100_000, 32 << 20
SWEEP_INTERVAL_MS = 1000
LEASE_SLACK_MS = 20
MAX_TOKENS_PER_LEASE = 64
VALUE_ID_BYTES = 32


class Take(msgspec.Struct, frozen=True, array_like=True, tag="take"):
    """Take a lock for `hold_ms`, or hold it longer."""

    name: str
    holder: str
    hold_ms: float


class Extend(msgspec.Struct, frozen=True, array_like=True, tag="extend"):
    """Hold a lock longer, under a token of the hold."""

    name: str
    holder: str
    token: int
    hold_ms: float


class Free(msgspec.Struct, frozen=True, array_like=True, tag="free"):
    """Give a lock back; without effect unless `token` is the newest of the hold."""

    name: str
    holder: str
    token: int


class Count(msgspec.Struct, frozen=True, array_like=True, tag="count"):
    """Draw the next number of a name."""

    name: str


class Write(msgspec.Struct, frozen=True, array_like=True, tag="write"):
    """Put a key; `base` is the revision that it must have (0: none), or None for any."""

    name: str
    value: str
    base: int | None = None


class PlainResultCode(enum.StrEnum):
    """What became of a command: `HELD` by another holder, `LOST` to its holder, in `CONFLICT` with what is there."""

    OK = "ok"
    HELD = "held"
    LOST = "lost"
    CONFLICT = "conflict"


class PlainResult(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of a command; `number` is the token, the value or the revision."""

    code: PlainResultCode
    number: int = 0


class PlainLease(msgspec.Struct, frozen=True, array_like=True):
    """A lock while it is held; `tokens` are those of the unbroken hold, the newest last; `until` in fleet ms."""

    holder: str
    tokens: tuple[int, ...]
    until: int


class KeyRevision(msgspec.Struct, frozen=True, array_like=True):
    """A put that took effect; `at` is the fleet's clock (ms)."""

    revision: int
    at: int
    name: str
    value: str


class WriteOutcome(msgspec.Struct, frozen=True, array_like=True):
    """What was said to a put; a refused one has revision 0."""

    name: str
    mark: str
    at: int
    revision: int


class PlainSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The whole state, or one part of it on its way."""

    token: int = 0
    locks: dict[str, PlainLease] = {}
    numbers: dict[str, int] = {}
    keys: dict[str, tuple[str, int]] = {}
    revisions: dict[str, int] = {}
    history: list[KeyRevision] = []
    outcomes: list[WriteOutcome] = []


EMPTY_SNAPSHOT = PlainSnapshot()


class KeyGroup:
    """The keys that are alike up to the first dot: their revision, and their puts that are still known."""

    __slots__ = ("revision", "events")

    def __init__(self) -> None:
        """Nothing was put yet."""
        self.revision = 0
        self.events: deque[KeyRevision] = deque()

    @property
    def compacted(self) -> int:
        """The revision up to which puts are no longer known."""
        return self.events[0].revision - 1 if self.events else self.revision


def group_of(name: str) -> str:
    """The group of a key, with its dot."""
    head, dot, _ = name.partition(".")
    return head + dot


def value_id_of(value: str) -> str:
    """What tells a value from others: itself, or its digest if it is long."""
    if len(value) <= VALUE_ID_BYTES:
        return value
    return hashlib.blake2b(value.encode(), digest_size=VALUE_ID_BYTES).hexdigest()


class PlainCoordination:
    """Replicated; `clock` is the fleet clock in ms, which only rises."""

    __slots__ = (
        "token",
        "locks",
        "numbers",
        "keys",
        "groups",
        "write_count",
        "_history",
        "_bytes",
        "_outcomes",
        "_said",
        "_swept",
    )

    def __init__(self) -> None:
        """Nothing is held."""
        self.token = 0
        self.locks: dict[str, PlainLease] = {}
        self.numbers: dict[str, int] = {}
        self.keys: dict[str, tuple[str, int]] = {}
        self.groups: dict[str, KeyGroup] = {}
        self.write_count = 0
        self._history: deque[KeyRevision] = deque()
        self._bytes = 0
        self._outcomes: deque[WriteOutcome] = deque()
        self._said: dict[tuple[str, str], int] = {}
        self._swept = 0

    def apply(self, c: Take | Extend | Free | Count | Write, clock: int) -> PlainResult:
        """Applies a command; the outcome depends on the state and the fleet's clock (ms) alone."""
        if clock - self._swept >= SWEEP_INTERVAL_MS:
            self.expire(clock)
        match c:
            case Take():
                return self._take(c, clock)
            case Extend():
                return self._extend(c, clock)
            case Free():
                return self._free(c, clock)
            case Count():
                n = self.numbers[c.name] = self.numbers.get(c.name, 0) + 1
                return PlainResult(PlainResultCode.OK, n)
            case Write():
                return self._write(c, clock)

    def expire(self, clock: int) -> None:
        """Forgets what has run out; it is no longer heeded anyway, so when this is called changes no answer."""
        self._swept = clock
        for n in [n for n, h in self.locks.items() if h.until <= clock]:
            del self.locks[n]
        self._trim(clock)
        self._forget(clock)

    def has_leases(self) -> bool:
        """Whether time alone will change something."""
        return bool(self.locks)

    def revision(self, group: str) -> int:
        """The revision of a group; 0 if nothing was put in it."""
        g = self.groups.get(group)
        return g.revision if g else 0

    def events_since(self, group: str, after: int) -> tuple[list[KeyRevision], int] | None:
        """Puts above `after` and the group's revision, or None when the history begins later."""
        g = self.groups.get(group)
        if g is None:
            return [], 0
        if after < g.compacted:
            return None
        return list(islice(g.events, after - g.compacted, None)), g.revision

    def _held(self, name: str, clock: int) -> PlainLease | None:
        h = self.locks.get(name)
        return h if h is not None and h.until > clock else None

    def _take(self, c: Take, clock: int) -> PlainResult:
        h = self._held(c.name, clock)
        if h is not None and h.holder != c.holder:
            return PlainResult(PlainResultCode.HELD)
        self.token += 1
        until = lease_expiry_ms(clock, c.hold_ms)
        before: tuple[int, ...] = ()
        if h is not None:
            until = max(until, h.until)
            before = h.tokens[1 - MAX_TOKENS_PER_LEASE :]
        self.locks[c.name] = PlainLease(c.holder, (*before, self.token), until)
        return PlainResult(PlainResultCode.OK, self.token)

    def _extend(self, c: Extend, clock: int) -> PlainResult:
        h = self._held(c.name, clock)
        if h is None or h.holder != c.holder or c.token not in h.tokens:
            return PlainResult(PlainResultCode.LOST)
        self.locks[c.name] = PlainLease(h.holder, h.tokens, max(h.until, lease_expiry_ms(clock, c.hold_ms)))
        return PlainResult(PlainResultCode.OK, c.token)

    def _free(self, c: Free, clock: int) -> PlainResult:
        h = self._held(c.name, clock)
        if h is not None and (h.holder, h.tokens[-1]) == (c.holder, c.token):
            del self.locks[c.name]
        return PlainResult(PlainResultCode.OK, c.token)

    def _write(self, c: Write, clock: int) -> PlainResult:
        self._forget(clock)
        value, revision = self.keys.get(c.name, (None, 0))
        if value == c.value:
            return PlainResult(PlainResultCode.OK, revision)
        key = c.name, value_id_of(c.value)
        said = self._said.get(key)
        if said:
            return PlainResult(PlainResultCode.OK, said)
        if said == 0 or c.base not in (None, revision):
            self._keep(key, clock, 0)
            return PlainResult(PlainResultCode.CONFLICT, revision)
        g = self.groups.setdefault(group_of(c.name), KeyGroup())
        g.revision += 1
        self.keys[c.name] = c.value, g.revision
        self._keep(key, clock, g.revision)
        self._record(g, KeyRevision(g.revision, clock, c.name, c.value))
        self._trim(clock)
        return PlainResult(PlainResultCode.OK, g.revision)

    def _keep(self, key: tuple[str, str], clock: int, revision: int) -> None:
        if key in self._said:
            return
        self._said[key] = revision
        self._outcomes.append(WriteOutcome(*key, clock, revision))

    def _forget(self, clock: int) -> None:
        while self._outcomes and (
            self._outcomes[0].at + HISTORY_MS < clock or len(self._outcomes) > MAX_HISTORY_EVENTS
        ):
            k = self._outcomes.popleft()
            del self._said[k.name, k.mark]

    def _record(self, g: KeyGroup, p: KeyRevision) -> None:
        self.write_count += 1
        g.events.append(p)
        self._history.append(p)
        self._bytes += len(p.value)

    def _trim(self, clock: int) -> None:
        h = self._history
        while h and (h[0].at + HISTORY_MS < clock or len(h) > MAX_HISTORY_EVENTS or self._bytes > MAX_HISTORY_BYTES):
            p = h.popleft()
            self._bytes -= len(p.value)
            self.groups[group_of(p.name)].events.popleft()

    def snapshot(self) -> PlainSnapshot:
        """A copy of the whole state."""
        return PlainSnapshot(
            self.token,
            self.locks.copy(),
            self.numbers.copy(),
            self.keys.copy(),
            {n: g.revision for n, g in self.groups.items()},
            list(self._history),
            list(self._outcomes),
        )

    def load_snapshot(self, p: PlainSnapshot) -> None:
        """Takes a snapshot in, or one part after the other."""
        self.token = max(self.token, p.token)
        self.locks.update(p.locks)
        self.numbers.update(p.numbers)
        self.keys.update(p.keys)
        for n, r in p.revisions.items():
            self.groups.setdefault(n, KeyGroup()).revision = r
        for e in p.history:
            self._record(self.groups.setdefault(group_of(e.name), KeyGroup()), e)
        for k in p.outcomes:
            self._keep((k.name, k.mark), k.at, k.revision)


def lease_expiry_ms(clock: int, hold_ms: float) -> int:
    """A little later than asked: the fleet clock counts whole ms, and no two clocks run alike."""
    return clock + math.ceil(hold_ms) + LEASE_SLACK_MS


def split_snapshot(p: PlainSnapshot, rows: int = 2000, size: int = 1 << 20) -> Iterator[PlainSnapshot]:
    """A snapshot in parts of about so many rows and characters, to be adopted in this order."""
    yield PlainSnapshot(p.token)
    for field in ("locks", "numbers", "keys", "revisions"):
        for some in _batches(getattr(p, field).items(), rows, size):
            yield msgspec.structs.replace(EMPTY_SNAPSHOT, **{field: dict(some)})
    for field in ("history", "outcomes"):
        for some in _batches(getattr(p, field), rows, size):
            yield msgspec.structs.replace(EMPTY_SNAPSHOT, **{field: some})


def _batches(items: Iterable, rows: int, size: int) -> Iterator[list]:
    some, chars = [], 0
    for i in items:
        some.append(i)
        v = i[1] if isinstance(i, tuple) else i
        body = v[0] if isinstance(v, tuple) else getattr(v, "value", "")
        chars += len(body)
        if len(some) >= rows or chars >= size:
            yield some
            some, chars = [], 0
    if some:
        yield some
