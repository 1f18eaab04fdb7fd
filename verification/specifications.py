"""Sequential specifications of what the control side keeps for its callers: locks, numbers, keys and items.

A specification says what a single-threaded object would answer: given a state and an operation that was confirmed (or
one whose outcome is unknown), `step` returns the state after it, or `None` where no correct object could have given
that answer. States are immutable and hashable, for the search remembers them.

Each is *sound*: what a correct system may answer is never called wrong. Where an answer leaves something open, the
specification takes the more permissive reading and its docstring says which.
"""

from __future__ import annotations

from typing import Protocol, TypeVar

import msgspec

from verification.histories import (
    AmendItem,
    DrawNumber,
    ExtendLock,
    FreeLock,
    ObjectKind,
    Operation,
    PutValue,
    ReadObject,
    TakeLock,
)

State = TypeVar("State")


def _finding_text(name: str, state: msgspec.Struct) -> str:
    """Returns the fields of a state under the name that findings have always printed for it."""
    fields = ", ".join(f"{field}={getattr(state, field)!r}" for field in state.__struct_fields__)
    return f"{name}({fields})"


class Specification(Protocol[State]):
    """The sequential object that one partition of a history is held against."""

    def initial(self) -> State:
        """Return the state before any operation."""
        ...

    def step(self, state: State, operation: Operation, now: float) -> tuple[State, float] | None:
        """Return the state after `operation` and the earliest time (s) it can have taken effect, or None if illegal.

        `now` is the earliest time that the operations before it and its own call allow, in seconds.
        """
        ...

    def relevant(self, operations: list[Operation]) -> list[Operation]:
        """Return the operations that the search must consider.

        An operation without a known outcome may be left out where "it never took effect" allows every answer that
        "it took effect" allows, so that leaving it out changes no verdict.
        """
        ...


class LockState(msgspec.Struct, frozen=True):
    """A lock's state: its newest token, who holds it, the tokens of the unbroken hold, and the promise's end (s)."""

    newest: int = 0
    holder: str | None = None
    tokens: tuple[int, ...] = ()
    until: float = 0.0

    def __str__(self) -> str:
        """Returns the text that findings print."""
        return _finding_text("Holding", self)


class LockSpecification:
    """A lock with fencing tokens whose hold lapses by time.

    What a holder may rely on is a lower bound: the lock is its own until `until`, the time of its *call* plus the time
    it asked for (the service counts from when the command took effect, which is later). So another's take can have
    taken effect only at that time or later, or after a free. A lapse alone never forces anything: a hold that nobody
    followed may still be extended, as the service's own end lies later by an unknown amount. A take by the holder
    itself is allowed at any time and lengthens the hold. A free with another token than the newest changes nothing.

    Tokens rise strictly; gaps are allowed. Takes and extensions without a known outcome are left out: they only forbid,
    but for one thing. A holder that names a token above the newest was given it by such a take, so its extension counts
    as that take and its free as a free of the newest token.
    """

    def initial(self) -> LockState:
        """Return a lock that nobody ever held."""
        return LockState()

    def step(self, state: LockState, operation: Operation, now: float) -> tuple[LockState, float] | None:
        """Return the lock after the operation and when it can have been, or None."""
        match operation.call:
            case TakeLock():
                return self._take(state, operation, operation.call, operation.number, now)
            case ExtendLock():
                return self._extend(state, operation, operation.call, now)
            case FreeLock(holder=holder, token=token):
                if state.holder != holder or token < state.newest:
                    return state, now
                return LockState(state.newest), now
        return None

    def relevant(self, operations: list[Operation]) -> list[Operation]:
        """Leave out takes and extensions that may not have been."""
        return [operation for operation in operations if not operation.unknown or isinstance(operation.call, FreeLock)]

    def _take(
        self, state: LockState, operation: Operation, call: TakeLock | ExtendLock, token: int, now: float
    ) -> tuple[LockState, float] | None:
        if token <= state.newest:
            return None
        if state.holder == call.holder:
            return LockState(token, call.holder, (*state.tokens, token), max(state.until, call.until)), now
        if state.holder is not None:
            now = max(now, state.until)
        if now > operation.latest:
            return None
        return LockState(token, call.holder, (token,), call.until), now

    def _extend(
        self, state: LockState, operation: Operation, call: ExtendLock, now: float
    ) -> tuple[LockState, float] | None:
        if call.token > state.newest:
            return self._take(state, operation, call, call.token, now)
        if state.holder != call.holder or call.token not in state.tokens:
            return None
        return LockState(state.newest, state.holder, state.tokens, max(state.until, call.until)), now


class NumberSpecification:
    """A counter whose answers rise strictly; gaps are allowed, so a draw without a known outcome is left out."""

    def initial(self) -> int:
        """Return the number before the first one given, below all numbers."""
        return 0

    def step(self, state: int, operation: Operation, now: float) -> tuple[int, float] | None:
        """Return the number given, if it is above the last one."""
        if not isinstance(operation.call, DrawNumber) or operation.number <= state:
            return None
        return operation.number, now

    def relevant(self, operations: list[Operation]) -> list[Operation]:
        """Leave out draws that may not have been: they only leave gaps."""
        return [operation for operation in operations if not operation.unknown]


class KeyState(msgspec.Struct, frozen=True):
    """A key's state.

    `shown` is the revision a reader is told (0 without a value), or None while it is not known because the outcome of
    the put that gave it is not; `floor` is the highest revision that the key certainly has passed.
    """

    value: str | None = None
    shown: int | None = 0
    floor: int = 0

    def __str__(self) -> str:
        """Returns the text that findings print."""
        return _finding_text("Cell", self)


class KeySpecification:
    """A key with a value and a revision that rises strictly with each put.

    A put on a base takes effect only if the key is at that revision. A confirmed put of the value that the key already
    has may be answered with the revision it has (a repeat is known by its content). A read shows value and revision
    together; a reader that was told only a revision is held to that. Revisions may have gaps, since a group or the
    whole store counts them.
    """

    def initial(self) -> KeyState:
        """Return a key without a value."""
        return KeyState()

    def step(self, state: KeyState, operation: Operation, now: float) -> tuple[KeyState, float] | None:
        """Return the key after a put or a read, or None."""
        call = operation.call
        after = None
        if isinstance(call, PutValue):
            after = self._put(state, operation, call)
        elif isinstance(call, ReadObject):
            after = self._read(state, operation, call)
        return None if after is None else (after, now)

    def relevant(self, operations: list[Operation]) -> list[Operation]:
        """Leave out puts of unknown outcome that nobody saw: neither their value nor a revision nobody else gave."""
        values: set[str | None] = set()
        given: set[int] = set()
        used: set[int] = set()
        for operation in operations:
            match operation.call:
                case ReadObject(shows_value=True):
                    values.add(operation.value)
                case ReadObject():
                    used.add(operation.number)
                case PutValue(base=base):
                    used |= {base} if base is not None else set()
                    if not operation.unknown:
                        given.add(operation.number)
        if 0 in used:
            values.add(None)
        unexplained = bool(used - given - {0})
        return [
            operation
            for operation in operations
            if not operation.unknown
            or isinstance(operation.call, PutValue)
            and (unexplained or operation.call.value in values)
        ]

    def _put(self, state: KeyState, operation: Operation, call: PutValue) -> KeyState | None:
        revision = operation.number
        if not operation.unknown and call.value == state.value and _may_be_at(state, revision):
            return KeyState(state.value, revision, max(state.floor, revision))
        if call.base is not None and not _may_be_at(state, call.base):
            return None
        floor = state.floor if call.base is None else max(state.floor, call.base)
        if operation.unknown:
            return KeyState(call.value, None if call.value is not None else 0, floor)
        if revision <= floor:
            return None
        return KeyState(call.value, revision if call.value is not None else 0, revision)

    def _read(self, state: KeyState, operation: Operation, call: ReadObject) -> KeyState | None:
        if call.shows_value and operation.value != state.value:
            return None
        if call.shows_value and state.value is None:
            return state
        if not _may_be_at(state, operation.number):
            return None
        return KeyState(state.value, operation.number, max(state.floor, operation.number))


def _may_be_at(state: KeyState, revision: int) -> bool:
    """Whether the key may be at this revision; one that a put of unknown outcome gave lies above what went before."""
    return revision == state.shown if state.shown is not None else revision > state.floor


class ItemState(msgspec.Struct, frozen=True):
    """An item's state: the version in force and its content, None where that version dropped it."""

    version: int = 0
    content: str | None = None

    def __str__(self) -> str:
        """Returns the text that findings print."""
        return _finding_text("Kept", self)


class ItemSpecification:
    """An item whose highest version wins.

    The same version with the same content is confirmed again and changes nothing; with another content it is never
    confirmed while that version holds. An order below the version in force may be confirmed as overtaken, whatever its
    content, and changes nothing. A read shows the version and content in force, or that there is none.
    """

    def initial(self) -> ItemState:
        """Return an item that was never given."""
        return ItemState()

    def step(self, state: ItemState, operation: Operation, now: float) -> tuple[ItemState, float] | None:
        """Return the item after an order or a read, or None."""
        call = operation.call
        if isinstance(call, ReadObject):
            shown = operation.value == state.content and (state.content is None or operation.number == state.version)
            return (state, now) if shown else None
        if not isinstance(call, AmendItem):
            return None
        if call.version > state.version:
            return ItemState(call.version, call.content), now
        if operation.unknown or call.version == state.version and call.content != state.content:
            return None
        return state, now

    def relevant(self, operations: list[Operation]) -> list[Operation]:
        """Leave out orders of unknown outcome that nobody saw and that need not have overtaken a disputed version."""
        seen = {
            (operation.number, operation.value)
            for operation in operations
            if isinstance(operation.call, ReadObject) and operation.value is not None
        }
        absent = any(isinstance(operation.call, ReadObject) and operation.value is None for operation in operations)
        contents: dict[int, set[str | None]] = {}
        for operation in operations:
            if isinstance(operation.call, AmendItem):
                contents.setdefault(operation.call.version, set()).add(operation.call.content)
        disputed = min((version for version, variants in contents.items() if len(variants) > 1), default=None)
        relevant = []
        for operation in operations:
            if not operation.unknown:
                relevant.append(operation)
            elif isinstance(operation.call, AmendItem):
                read = (
                    absent
                    if operation.call.content is None
                    else (operation.call.version, operation.call.content) in seen
                )
                if read or disputed is not None and operation.call.version > disputed:
                    relevant.append(operation)
        return relevant


SPECIFICATIONS: dict[ObjectKind, Specification] = {
    ObjectKind.LOCK: LockSpecification(),
    ObjectKind.NUMBER: NumberSpecification(),
    ObjectKind.KEY: KeySpecification(),
    ObjectKind.ITEM: ItemSpecification(),
}
