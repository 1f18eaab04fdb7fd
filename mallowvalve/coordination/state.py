"""Locks, numbers and keys for callers that send an idempotency key with each command."""

from __future__ import annotations

import enum
from collections import deque

import msgspec

from mallowvalve.types import BoundedInt

HISTORY_MS = 60_000
"""How long events are retained."""

MAX_HISTORY_EVENTS = 100_000


class Lock(msgspec.Struct, frozen=True, array_like=True, tag="lock"):
    """Acquires a lock for `ttl_ms`; `ask` is the idempotency key, here and below."""

    name: str
    holder: str
    ttl_ms: BoundedInt
    ask: str = ""


class Renew(msgspec.Struct, frozen=True, array_like=True, tag="renew"):
    """Renews a lease, given its fencing token."""

    name: str
    holder: str
    token: BoundedInt
    ttl_ms: BoundedInt
    ask: str = ""


class Unlock(msgspec.Struct, frozen=True, array_like=True, tag="unlock"):
    """Releases a lock, given its fencing token."""

    name: str
    holder: str
    token: BoundedInt
    ask: str = ""


class Next(msgspec.Struct, frozen=True, array_like=True, tag="next"):
    """Draws the next number of a sequence."""

    name: str
    ask: str = ""


class Put(msgspec.Struct, frozen=True, array_like=True, tag="put"):
    """Sets a key, or deletes it if `value` is None; `base` is the revision the key must have (0: absent), if given."""

    name: str
    value: str | None
    base: int | None = None
    ask: str = ""


class KeyedLease(msgspec.Struct, array_like=True):
    """The lease of a lock; `expires_at_ms` is in fleet clock ms."""

    holder: str
    token: int
    expires_at_ms: int


class KeyedResultCode(enum.StrEnum):
    """The outcome of a command.

    `HELD`: another holder has the lock. `LOST`: the caller no longer has it. `CONFLICT`: the key has another revision.
    `MISSING`: the key to delete does not exist.
    """

    OK = "ok"
    HELD = "held"
    LOST = "lost"
    CONFLICT = "conflict"
    MISSING = "missing"


class KeyedResult(msgspec.Struct, array_like=True, frozen=True):
    """The result of a command.

    `number` is the fencing token, the number drawn, the revision, or the remaining time of another holder's lease (ms).
    """

    code: KeyedResultCode
    number: int = 0
    holder: str = ""


class KeyEvent(msgspec.Struct, array_like=True, frozen=True):
    """A key was set, or deleted if `value` is None; `applied_at_ms` is in fleet clock ms."""

    revision: int
    applied_at_ms: int
    name: str
    value: str | None


class KeyedCoordination:
    """The replicated state machine; only `apply` and `expire` change it."""

    __slots__ = ("locks", "numbers", "keys", "events", "compacted")

    def __init__(self) -> None:
        """Creates the empty state."""
        self.locks: dict[str, KeyedLease] = {}
        self.numbers: dict[str, int] = {}
        self.keys: dict[str, tuple[str, int]] = {}
        self.events: deque[KeyEvent] = deque()
        self.compacted = 0

    def apply(self, command: Lock | Renew | Unlock | Next | Put, revision: int, now_ms: int) -> KeyedResult:
        """Applies a command at a revision and a time of the fleet clock."""
        self.expire(now_ms)
        match command:
            case Lock():
                lease = self.locks.get(command.name)
                if lease is not None:
                    return KeyedResult(KeyedResultCode.HELD, lease.expires_at_ms - now_ms, lease.holder)
                self.locks[command.name] = KeyedLease(command.holder, revision, now_ms + command.ttl_ms)
                return KeyedResult(KeyedResultCode.OK, revision, command.holder)
            case Renew():
                if not self.is_held(command.name, command.holder, command.token):
                    return KeyedResult(KeyedResultCode.LOST)
                lease = self.locks[command.name]
                lease.expires_at_ms = now_ms + command.ttl_ms
                return KeyedResult(KeyedResultCode.OK, lease.token, lease.holder)
            case Unlock():
                if not self.is_held(command.name, command.holder, command.token):
                    return KeyedResult(KeyedResultCode.LOST)
                del self.locks[command.name]
                return KeyedResult(KeyedResultCode.OK, command.token)
            case Next():
                self.numbers[command.name] = revision
                return KeyedResult(KeyedResultCode.OK, revision)
            case Put():
                return self._put(command, revision, now_ms)

    def _put(self, command: Put, revision: int, now_ms: int) -> KeyedResult:
        current = self.keys.get(command.name)
        if command.base is not None and command.base != (current[1] if current else 0):
            return KeyedResult(KeyedResultCode.CONFLICT, current[1] if current else 0)
        if command.value is None:
            if current is None:
                return KeyedResult(KeyedResultCode.MISSING)
            del self.keys[command.name]
        else:
            self.keys[command.name] = (command.value, revision)
        self.events.append(KeyEvent(revision, now_ms, command.name, command.value))
        return KeyedResult(KeyedResultCode.OK, revision)

    def expire(self, now_ms: int) -> None:
        """Drops expired leases, and events beyond the retention time or count."""
        for name in [name for name, lease in self.locks.items() if lease.expires_at_ms <= now_ms]:
            del self.locks[name]
        while self.events and (
            self.events[0].applied_at_ms + HISTORY_MS < now_ms or len(self.events) > MAX_HISTORY_EVENTS
        ):
            self.compacted = self.events.popleft().revision

    def is_held(self, name: str, holder: str, token: int) -> bool:
        """Returns whether the holder has the lock under this fencing token."""
        lease = self.locks.get(name)
        return lease is not None and (lease.holder, lease.token) == (holder, token)

    def has_leases(self) -> bool:
        """Returns whether the passing of time alone will change the locks."""
        return bool(self.locks)

    def events_since(self, revision: int, prefix: str) -> list[KeyEvent] | None:
        """Returns the events above a revision whose keys begin with `prefix`, or None if some are compacted."""
        if revision < self.compacted:
            return None
        return [e for e in self.events if e.revision > revision and e.name.startswith(prefix)]
