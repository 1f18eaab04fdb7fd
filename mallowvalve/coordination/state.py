"""Locks, numbers and keys for callers that bring a key for each command, which makes a repeat of it known."""

from __future__ import annotations

import enum
from collections import deque

import msgspec

HISTORY_MS = 60_000
MAX_HISTORY_EVENTS = 100_000


class Lock(msgspec.Struct, frozen=True, array_like=True, tag="lock"):
    """Take a lock for `ttl_ms`."""

    name: str
    holder: str
    ttl_ms: int
    ask: str = ""


class Renew(msgspec.Struct, frozen=True, array_like=True, tag="renew"):
    """Hold a lock longer, under its token."""

    name: str
    holder: str
    token: int
    ttl_ms: int
    ask: str = ""


class Unlock(msgspec.Struct, frozen=True, array_like=True, tag="unlock"):
    """Give a lock back."""

    name: str
    holder: str
    token: int
    ask: str = ""


class Next(msgspec.Struct, frozen=True, array_like=True, tag="next"):
    """Draw the next number of a name."""

    name: str
    ask: str = ""


class Put(msgspec.Struct, frozen=True, array_like=True, tag="put"):
    """Put a key, or with no value delete it; `base` is the revision that it must have (0: none), or None for any."""

    name: str
    value: str | None
    base: int | None = None
    ask: str = ""


class KeyedLease(msgspec.Struct, array_like=True):
    """A lock while it is held, `until` by the fleet's clock (ms)."""

    holder: str
    token: int
    until: int


class KeyedResultCode(enum.StrEnum):
    """What became of a command: `HELD` by another, `LOST` to its holder, `MISSING`: nothing to delete."""

    OK = "ok"
    HELD = "held"
    LOST = "lost"
    CONFLICT = "conflict"
    MISSING = "missing"


class KeyedResult(msgspec.Struct, array_like=True, frozen=True):
    """The outcome of a command; `number` is a token, a value, a revision, or how long a lock is still held (ms)."""

    code: KeyedResultCode
    number: int = 0
    holder: str = ""


class KeyEvent(msgspec.Struct, array_like=True, frozen=True):
    """A key was put or deleted; `at` is the fleet's clock (ms)."""

    revision: int
    applied_at_ms: int
    name: str
    value: str | None


class KeyedCoordination:
    """The replicated state: only `apply` and `lapse` change it."""

    __slots__ = ("locks", "numbers", "keys", "events", "compacted")

    def __init__(self) -> None:
        """Nothing is held."""
        self.locks: dict[str, KeyedLease] = {}
        self.numbers: dict[str, int] = {}
        self.keys: dict[str, tuple[str, int]] = {}
        self.events: deque[KeyEvent] = deque()
        self.compacted = 0

    def apply(self, c: Lock | Renew | Unlock | Next | Put, revision: int, at: int) -> KeyedResult:
        """Applies a command under a revision and the fleet's clock (ms)."""
        self.expire(at)
        match c:
            case Lock():
                h = self.locks.get(c.name)
                if h is not None:
                    return KeyedResult(KeyedResultCode.HELD, h.until - at, h.holder)
                self.locks[c.name] = KeyedLease(c.holder, revision, at + c.ttl_ms)
                return KeyedResult(KeyedResultCode.OK, revision, c.holder)
            case Renew():
                if not self.is_held(c.name, c.holder, c.token):
                    return KeyedResult(KeyedResultCode.LOST)
                h = self.locks[c.name]
                h.until = at + c.ttl_ms
                return KeyedResult(KeyedResultCode.OK, h.token, h.holder)
            case Unlock():
                if not self.is_held(c.name, c.holder, c.token):
                    return KeyedResult(KeyedResultCode.LOST)
                del self.locks[c.name]
                return KeyedResult(KeyedResultCode.OK, c.token)
            case Next():
                self.numbers[c.name] = revision
                return KeyedResult(KeyedResultCode.OK, revision)
            case Put():
                return self._put(c, revision, at)

    def _put(self, c: Put, revision: int, at: int) -> KeyedResult:
        had = self.keys.get(c.name)
        if c.base is not None and c.base != (had[1] if had else 0):
            return KeyedResult(KeyedResultCode.CONFLICT, had[1] if had else 0)
        if c.value is None:
            if had is None:
                return KeyedResult(KeyedResultCode.MISSING)
            del self.keys[c.name]
        else:
            self.keys[c.name] = (c.value, revision)
        self.events.append(KeyEvent(revision, at, c.name, c.value))
        return KeyedResult(KeyedResultCode.OK, revision)

    def expire(self, at: int) -> None:
        """Forgets locks that have run out and events that are too old or too many."""
        for n in [n for n, h in self.locks.items() if h.until <= at]:
            del self.locks[n]
        while self.events and (self.events[0].applied_at_ms + HISTORY_MS < at or len(self.events) > MAX_HISTORY_EVENTS):
            self.compacted = self.events.popleft().revision

    def is_held(self, name: str, holder: str, token: int) -> bool:
        """Whether the lock is held under this token."""
        h = self.locks.get(name)
        return h is not None and (h.holder, h.token) == (holder, token)

    def has_leases(self) -> bool:
        """Whether time alone will change something."""
        return bool(self.locks)

    def events_since(self, revision: int, prefix: str) -> list[KeyEvent] | None:
        """The events after a revision whose names begin so; None if some of them are forgotten."""
        if revision < self.compacted:
            return None
        return [e for e in self.events if e.revision > revision and e.name.startswith(prefix)]
