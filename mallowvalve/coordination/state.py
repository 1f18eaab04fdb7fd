"""Locks, numbers and keys for callers that bring a key for each command, which makes a repeat of it known."""

from __future__ import annotations

import enum
from collections import deque

import msgspec

HISTORY_MS = 60_000
HISTORY_MOST = 100_000


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


class Held(msgspec.Struct, array_like=True):
    """A lock while it is held, `until` by the fleet's clock (ms)."""

    holder: str
    token: int
    until: int


class SaidCode(enum.StrEnum):
    """What became of a command: `HELD` by another, `LOST` to its holder, `MISSING`: nothing to delete."""

    OK = "ok"
    HELD = "held"
    LOST = "lost"
    CONFLICT = "conflict"
    MISSING = "missing"


class Said(msgspec.Struct, array_like=True, frozen=True):
    """The outcome of a command; `number` is a token, a value, a revision, or how long a lock is still held (ms)."""

    code: SaidCode
    number: int = 0
    holder: str = ""


class Event(msgspec.Struct, array_like=True, frozen=True):
    """A key was put or deleted; `at` is the fleet's clock (ms)."""

    revision: int
    at: int
    name: str
    value: str | None


class Coordination:
    """The replicated state: only `apply` and `lapse` change it."""

    __slots__ = ("locks", "numbers", "keys", "events", "compacted")

    def __init__(self) -> None:
        """Nothing is held."""
        self.locks: dict[str, Held] = {}
        self.numbers: dict[str, int] = {}
        self.keys: dict[str, tuple[str, int]] = {}
        self.events: deque[Event] = deque()
        self.compacted = 0

    def apply(self, c: Lock | Renew | Unlock | Next | Put, revision: int, at: int) -> Said:
        """Applies a command under a revision and the fleet's clock (ms)."""
        self.lapse(at)
        match c:
            case Lock():
                h = self.locks.get(c.name)
                if h is not None:
                    return Said(SaidCode.HELD, h.until - at, h.holder)
                self.locks[c.name] = Held(c.holder, revision, at + c.ttl_ms)
                return Said(SaidCode.OK, revision, c.holder)
            case Renew():
                if not self.holds(c.name, c.holder, c.token):
                    return Said(SaidCode.LOST)
                h = self.locks[c.name]
                h.until = at + c.ttl_ms
                return Said(SaidCode.OK, h.token, h.holder)
            case Unlock():
                if not self.holds(c.name, c.holder, c.token):
                    return Said(SaidCode.LOST)
                del self.locks[c.name]
                return Said(SaidCode.OK, c.token)
            case Next():
                self.numbers[c.name] = revision
                return Said(SaidCode.OK, revision)
            case Put():
                return self._put(c, revision, at)

    def _put(self, c: Put, revision: int, at: int) -> Said:
        had = self.keys.get(c.name)
        if c.base is not None and c.base != (had[1] if had else 0):
            return Said(SaidCode.CONFLICT, had[1] if had else 0)
        if c.value is None:
            if had is None:
                return Said(SaidCode.MISSING)
            del self.keys[c.name]
        else:
            self.keys[c.name] = (c.value, revision)
        self.events.append(Event(revision, at, c.name, c.value))
        return Said(SaidCode.OK, revision)

    def lapse(self, at: int) -> None:
        """Forgets locks that have run out and events that are too old or too many."""
        for n in [n for n, h in self.locks.items() if h.until <= at]:
            del self.locks[n]
        while self.events and (self.events[0].at + HISTORY_MS < at or len(self.events) > HISTORY_MOST):
            self.compacted = self.events.popleft().revision

    def holds(self, name: str, holder: str, token: int) -> bool:
        """Whether the lock is held under this token."""
        h = self.locks.get(name)
        return h is not None and (h.holder, h.token) == (holder, token)

    def restless(self) -> bool:
        """Whether time alone will change something."""
        return bool(self.locks)

    def since(self, revision: int, prefix: str) -> list[Event] | None:
        """The events after a revision whose names begin so; None if some of them are forgotten."""
        if revision < self.compacted:
            return None
        return [e for e in self.events if e.revision > revision and e.name.startswith(prefix)]
