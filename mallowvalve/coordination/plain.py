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
HISTORY_MOST, HISTORY_BYTES = 100_000, 32 << 20
SWEEP_MS = 1000
SLACK_MS = 20
TOKENS_MOST = 64
SHORT = 32


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


class WordCode(enum.StrEnum):
    """What became of a command: `HELD` by another holder, `LOST` to its holder, in `CONFLICT` with what is there."""

    OK = "ok"
    HELD = "held"
    LOST = "lost"
    CONFLICT = "conflict"


class Word(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of a command; `number` is the token, the value or the revision."""

    code: WordCode
    number: int = 0


class Hold(msgspec.Struct, frozen=True, array_like=True):
    """A lock while it is held; `tokens` are those of the unbroken hold, the newest last; `until` in fleet ms."""

    holder: str
    tokens: tuple[int, ...]
    until: int


class Put(msgspec.Struct, frozen=True, array_like=True):
    """A put that took effect; `at` is the fleet's clock (ms)."""

    revision: int
    at: int
    name: str
    value: str


class Kept(msgspec.Struct, frozen=True, array_like=True):
    """What was said to a put; a refused one has revision 0."""

    name: str
    mark: str
    at: int
    revision: int


class PlainSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The whole state, or one part of it on its way."""

    token: int = 0
    locks: dict[str, Hold] = {}
    numbers: dict[str, int] = {}
    cells: dict[str, tuple[str, int]] = {}
    revisions: dict[str, int] = {}
    history: list[Put] = []
    kept: list[Kept] = []


EMPTY = PlainSnapshot()


class Group:
    """The keys that are alike up to the first dot: their revision, and their puts that are still known."""

    __slots__ = ("revision", "events")

    def __init__(self) -> None:
        """Nothing was put yet."""
        self.revision = 0
        self.events: deque[Put] = deque()

    @property
    def compacted(self) -> int:
        """The revision up to which puts are no longer known."""
        return self.events[0].revision - 1 if self.events else self.revision


def group_of(name: str) -> str:
    """The group of a key, with its dot."""
    head, dot, _ = name.partition(".")
    return head + dot


def mark_of(value: str) -> str:
    """What tells a value from others: itself, or its digest if it is long."""
    if len(value) <= SHORT:
        return value
    return hashlib.blake2b(value.encode(), digest_size=SHORT).hexdigest()


class Plain:
    """Replicated; `clock` is the fleet clock in ms, which only rises."""

    __slots__ = (
        "token",
        "locks",
        "numbers",
        "cells",
        "groups",
        "writes",
        "_history",
        "_bytes",
        "_kept",
        "_said",
        "_swept",
    )

    def __init__(self) -> None:
        """Nothing is held."""
        self.token = 0
        self.locks: dict[str, Hold] = {}
        self.numbers: dict[str, int] = {}
        self.cells: dict[str, tuple[str, int]] = {}
        self.groups: dict[str, Group] = {}
        self.writes = 0
        self._history: deque[Put] = deque()
        self._bytes = 0
        self._kept: deque[Kept] = deque()
        self._said: dict[tuple[str, str], int] = {}
        self._swept = 0

    def apply(self, c: Take | Extend | Free | Count | Write, clock: int) -> Word:
        """Applies a command; the outcome depends on the state and the fleet's clock (ms) alone."""
        if clock - self._swept >= SWEEP_MS:
            self.lapse(clock)
        match c:
            case Take():
                return self._take(c, clock)
            case Extend():
                return self._extend(c, clock)
            case Free():
                return self._free(c, clock)
            case Count():
                n = self.numbers[c.name] = self.numbers.get(c.name, 0) + 1
                return Word(WordCode.OK, n)
            case Write():
                return self._write(c, clock)

    def lapse(self, clock: int) -> None:
        """Forgets what has run out; it is no longer heeded anyway, so when this is called changes no answer."""
        self._swept = clock
        for n in [n for n, h in self.locks.items() if h.until <= clock]:
            del self.locks[n]
        self._trim(clock)
        self._forget(clock)

    def restless(self) -> bool:
        """Whether time alone will change something."""
        return bool(self.locks)

    def revision(self, group: str) -> int:
        """The revision of a group; 0 if nothing was put in it."""
        g = self.groups.get(group)
        return g.revision if g else 0

    def since(self, group: str, after: int) -> tuple[list[Put], int] | None:
        """Puts above `after` and the group's revision, or None when the history begins later."""
        g = self.groups.get(group)
        if g is None:
            return [], 0
        if after < g.compacted:
            return None
        return list(islice(g.events, after - g.compacted, None)), g.revision

    def _held(self, name: str, clock: int) -> Hold | None:
        h = self.locks.get(name)
        return h if h is not None and h.until > clock else None

    def _take(self, c: Take, clock: int) -> Word:
        h = self._held(c.name, clock)
        if h is not None and h.holder != c.holder:
            return Word(WordCode.HELD)
        self.token += 1
        until = until_of(clock, c.hold_ms)
        before: tuple[int, ...] = ()
        if h is not None:
            until = max(until, h.until)
            before = h.tokens[1 - TOKENS_MOST :]
        self.locks[c.name] = Hold(c.holder, (*before, self.token), until)
        return Word(WordCode.OK, self.token)

    def _extend(self, c: Extend, clock: int) -> Word:
        h = self._held(c.name, clock)
        if h is None or h.holder != c.holder or c.token not in h.tokens:
            return Word(WordCode.LOST)
        self.locks[c.name] = Hold(h.holder, h.tokens, max(h.until, until_of(clock, c.hold_ms)))
        return Word(WordCode.OK, c.token)

    def _free(self, c: Free, clock: int) -> Word:
        h = self._held(c.name, clock)
        if h is not None and (h.holder, h.tokens[-1]) == (c.holder, c.token):
            del self.locks[c.name]
        return Word(WordCode.OK, c.token)

    def _write(self, c: Write, clock: int) -> Word:
        self._forget(clock)
        value, revision = self.cells.get(c.name, (None, 0))
        if value == c.value:
            return Word(WordCode.OK, revision)
        key = c.name, mark_of(c.value)
        said = self._said.get(key)
        if said:
            return Word(WordCode.OK, said)
        if said == 0 or c.base not in (None, revision):
            self._keep(key, clock, 0)
            return Word(WordCode.CONFLICT, revision)
        g = self.groups.setdefault(group_of(c.name), Group())
        g.revision += 1
        self.cells[c.name] = c.value, g.revision
        self._keep(key, clock, g.revision)
        self._record(g, Put(g.revision, clock, c.name, c.value))
        self._trim(clock)
        return Word(WordCode.OK, g.revision)

    def _keep(self, key: tuple[str, str], clock: int, revision: int) -> None:
        if key in self._said:
            return
        self._said[key] = revision
        self._kept.append(Kept(*key, clock, revision))

    def _forget(self, clock: int) -> None:
        while self._kept and (self._kept[0].at + HISTORY_MS < clock or len(self._kept) > HISTORY_MOST):
            k = self._kept.popleft()
            del self._said[k.name, k.mark]

    def _record(self, g: Group, p: Put) -> None:
        self.writes += 1
        g.events.append(p)
        self._history.append(p)
        self._bytes += len(p.value)

    def _trim(self, clock: int) -> None:
        h = self._history
        while h and (h[0].at + HISTORY_MS < clock or len(h) > HISTORY_MOST or self._bytes > HISTORY_BYTES):
            p = h.popleft()
            self._bytes -= len(p.value)
            self.groups[group_of(p.name)].events.popleft()

    def snapshot(self) -> PlainSnapshot:
        """A copy of the whole state."""
        return PlainSnapshot(
            self.token,
            self.locks.copy(),
            self.numbers.copy(),
            self.cells.copy(),
            {n: g.revision for n, g in self.groups.items()},
            list(self._history),
            list(self._kept),
        )

    def adopt(self, p: PlainSnapshot) -> None:
        """Takes a snapshot in, or one part after the other."""
        self.token = max(self.token, p.token)
        self.locks.update(p.locks)
        self.numbers.update(p.numbers)
        self.cells.update(p.cells)
        for n, r in p.revisions.items():
            self.groups.setdefault(n, Group()).revision = r
        for e in p.history:
            self._record(self.groups.setdefault(group_of(e.name), Group()), e)
        for k in p.kept:
            self._keep((k.name, k.mark), k.at, k.revision)


def until_of(clock: int, hold_ms: float) -> int:
    """A little later than asked: the fleet clock counts whole ms, and no two clocks run alike."""
    return clock + math.ceil(hold_ms) + SLACK_MS


def parts(p: PlainSnapshot, rows: int = 2000, size: int = 1 << 20) -> Iterator[PlainSnapshot]:
    """A snapshot in parts of about so many rows and characters, to be adopted in this order."""
    yield PlainSnapshot(p.token)
    for field in ("locks", "numbers", "cells", "revisions"):
        for some in _slices(getattr(p, field).items(), rows, size):
            yield msgspec.structs.replace(EMPTY, **{field: dict(some)})
    for field in ("history", "kept"):
        for some in _slices(getattr(p, field), rows, size):
            yield msgspec.structs.replace(EMPTY, **{field: some})


def _slices(items: Iterable, rows: int, size: int) -> Iterator[list]:
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
