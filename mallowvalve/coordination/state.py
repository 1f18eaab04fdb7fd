from __future__ import annotations

from collections import deque

import msgspec

HISTORY_MS = 60_000
HISTORY_MOST = 100_000


class Lock(msgspec.Struct, frozen=True, array_like=True, tag="lock"):
    name: str
    holder: str
    ttl_ms: int
    ask: str = ""


class Renew(msgspec.Struct, frozen=True, array_like=True, tag="renew"):
    name: str
    holder: str
    token: int
    ttl_ms: int
    ask: str = ""


class Unlock(msgspec.Struct, frozen=True, array_like=True, tag="unlock"):
    name: str
    holder: str
    token: int
    ask: str = ""


class Next(msgspec.Struct, frozen=True, array_like=True, tag="next"):
    name: str
    ask: str = ""


class Put(msgspec.Struct, frozen=True, array_like=True, tag="put"):
    name: str
    value: str | None
    base: int | None = None
    ask: str = ""


class Held(msgspec.Struct, array_like=True):
    holder: str
    token: int
    until: int


class Said(msgspec.Struct, array_like=True, frozen=True):
    code: str
    number: int = 0
    holder: str = ""


class Event(msgspec.Struct, array_like=True, frozen=True):
    revision: int
    at: int
    name: str
    value: str | None


class Coordination:
    __slots__ = ("locks", "numbers", "keys", "events", "compacted")

    def __init__(self):
        self.locks: dict[str, Held] = {}
        self.numbers: dict[str, int] = {}
        self.keys: dict[str, tuple[str, int]] = {}
        self.events: deque[Event] = deque()
        self.compacted = 0

    def apply(self, c: Lock | Renew | Unlock | Next | Put, revision: int, at: int) -> Said:
        self.lapse(at)
        match c:
            case Lock():
                h = self.locks.get(c.name)
                if h is not None:
                    return Said("held", h.until - at, h.holder)
                self.locks[c.name] = Held(c.holder, revision, at + c.ttl_ms)
                return Said("ok", revision, c.holder)
            case Renew():
                if not self.holds(c.name, c.holder, c.token):
                    return Said("lost")
                h = self.locks[c.name]
                h.until = at + c.ttl_ms
                return Said("ok", h.token, h.holder)
            case Unlock():
                if not self.holds(c.name, c.holder, c.token):
                    return Said("lost")
                del self.locks[c.name]
                return Said("ok", c.token)
            case Next():
                self.numbers[c.name] = revision
                return Said("ok", revision)
            case Put():
                return self._put(c, revision, at)

    def _put(self, c: Put, revision: int, at: int) -> Said:
        had = self.keys.get(c.name)
        if c.base is not None and c.base != (had[1] if had else 0):
            return Said("conflict", had[1] if had else 0)
        if c.value is None:
            if had is None:
                return Said("missing")
            del self.keys[c.name]
        else:
            self.keys[c.name] = (c.value, revision)
        self.events.append(Event(revision, at, c.name, c.value))
        return Said("ok", revision)

    def lapse(self, at: int) -> None:
        for n in [n for n, h in self.locks.items() if h.until <= at]:
            del self.locks[n]
        while self.events and (self.events[0].at + HISTORY_MS < at or len(self.events) > HISTORY_MOST):
            self.compacted = self.events.popleft().revision

    def holds(self, name: str, holder: str, token: int) -> bool:
        h = self.locks.get(name)
        return h is not None and (h.holder, h.token) == (holder, token)

    def restless(self) -> bool:
        return bool(self.locks)

    def since(self, revision: int, prefix: str) -> list[Event] | None:
        if revision < self.compacted:
            return None
        return [e for e in self.events if e.revision > revision and e.name.startswith(prefix)]
