"""Sequential specifications of the objects that the control plane offers to clients: locks, numbers, keys and items.

A specification defines the answers of a single-threaded object: given a state and an operation that was confirmed (or
whose outcome is unknown), `step` returns the next state, or `None` if no correct object could have given that answer.
States are immutable and hashable, since the search caches them.

Each specification is *sound*: it accepts every answer that a correct system may give. Where an answer is ambiguous,
the specification accepts the more permissive reading, and its docstring names it.
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
    """Returns the fields of a state under the name that findings print for it."""
    fields = ", ".join(f"{field}={getattr(state, field)!r}" for field in state.__struct_fields__)
    return f"{name}({fields})"


class Specification(Protocol[State]):
    """The sequential object that one partition of a history is checked against."""

    def initial(self) -> State:
        """Returns the state before any operation."""
        ...

    def step(self, state: State, operation: Operation, now: float) -> tuple[State, float] | None:
        """Returns the next state and the earliest time (s) at which `operation` took effect, or None if illegal.

        `now` is the earliest time (s) that the preceding operations and the operation's own call allow.
        """
        ...

    def relevant(self, operations: list[Operation]) -> list[Operation]:
        """Returns the operations that the search must consider.

        An operation of unknown outcome may be left out where "it never took effect" allows every answer that "it took
        effect" allows, so its omission changes no verdict.
        """
        ...


class LockState(msgspec.Struct, frozen=True):
    """A lock's newest token, its holder, the tokens of the uninterrupted hold, and the end of the hold (s)."""

    newest: int = 0
    holder: str | None = None
    tokens: tuple[int, ...] = ()
    until: float = 0.0

    def __str__(self) -> str:
        """Returns the text that findings print."""
        return _finding_text("Holding", self)


class LockSpecification:
    """A lock with fencing tokens whose hold expires.

    A holder may rely on a lower bound: it owns the lock until `until`, the time of its *call* plus the requested
    duration (the service counts from the moment the command took effect, which is later). A take by another holder can
    therefore take effect only at that time or later, or after a release. Expiry alone forces nothing: an expired hold
    that nobody followed may still be extended, since the service's own end is later by an unknown amount. A take by
    the holder itself is allowed at any time and extends the hold. A release with a token other than the newest has no
    effect.

    Tokens rise strictly; gaps are allowed. Takes and extensions of unknown outcome are left out, since they only forbid
    answers, with one exception. A holder that uses a token above the newest received it from such a take, so its
    extension counts as that take and its release as a release of the newest token.
    """

    def initial(self) -> LockState:
        """Returns a lock that was never held."""
        return LockState()

    def step(self, state: LockState, operation: Operation, now: float) -> tuple[LockState, float] | None:
        """Returns the lock after the operation and the earliest time of the operation, or None."""
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
        """Leaves out takes and extensions of unknown outcome."""
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
    """A counter whose answers rise strictly.

    Gaps are allowed, so a draw of unknown outcome is left out.
    """

    def initial(self) -> int:
        """Returns 0, which is below all numbers."""
        return 0

    def step(self, state: int, operation: Operation, now: float) -> tuple[int, float] | None:
        """Returns the drawn number if it is above the last one, else None."""
        if not isinstance(operation.call, DrawNumber) or operation.number <= state:
            return None
        return operation.number, now

    def relevant(self, operations: list[Operation]) -> list[Operation]:
        """Leaves out draws of unknown outcome, which only leave gaps."""
        return [operation for operation in operations if not operation.unknown]


class KeyState(msgspec.Struct, frozen=True):
    """A key's value and revision.

    `shown` is the revision that a reader sees (0 without a value), or None if it is unknown because the outcome of the
    put that set it is unknown. `floor` is the highest revision that the key has certainly passed.
    """

    value: str | None = None
    shown: int | None = 0
    floor: int = 0

    def __str__(self) -> str:
        """Returns the text that findings print."""
        return _finding_text("Cell", self)


class KeySpecification:
    """A key with a value and a revision that rises strictly with each put.

    A put with a base takes effect only if the key is at that revision. A confirmed put of the current value may be
    answered with the current revision (a repeat is recognized by its content). A read shows value and revision
    together; a read that shows only a revision is checked against that. Revisions may have gaps, since a group of keys
    or the whole store shares one counter.
    """

    def initial(self) -> KeyState:
        """Returns a key without a value."""
        return KeyState()

    def step(self, state: KeyState, operation: Operation, now: float) -> tuple[KeyState, float] | None:
        """Returns the key after a put or a read, or None."""
        call = operation.call
        after = None
        if isinstance(call, PutValue):
            after = self._put(state, operation, call)
        elif isinstance(call, ReadObject):
            after = self._read(state, operation, call)
        return None if after is None else (after, now)

    def relevant(self, operations: list[Operation]) -> list[Operation]:
        """Leaves out puts of unknown outcome that no answer shows.

        An answer shows a put by its value, or by a revision that no other put received.
        """
        values: set[str | None] = set()
        confirmed_revisions: set[int] = set()
        shown_revisions: set[int] = set()
        for operation in operations:
            match operation.call:
                case ReadObject(shows_value=True):
                    values.add(operation.value)
                case ReadObject():
                    shown_revisions.add(operation.number)
                case PutValue(base=base):
                    shown_revisions |= {base} if base is not None else set()
                    if not operation.unknown:
                        confirmed_revisions.add(operation.number)
        if 0 in shown_revisions:
            values.add(None)
        shows_unknown_put = bool(shown_revisions - confirmed_revisions - {0})
        return [
            operation
            for operation in operations
            if not operation.unknown
            or isinstance(operation.call, PutValue)
            and (shows_unknown_put or operation.call.value in values)
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
    """Returns whether the key may be at this revision.

    A revision from a put of unknown outcome is above all earlier ones.
    """
    return revision == state.shown if state.shown is not None else revision > state.floor


class ItemState(msgspec.Struct, frozen=True):
    """An item's current version and content, None if that version dropped the item."""

    version: int = 0
    content: str | None = None

    def __str__(self) -> str:
        """Returns the text that findings print."""
        return _finding_text("Kept", self)


class ItemSpecification:
    """An item whose highest version wins.

    A repeat of the same version with the same content is confirmed and changes nothing; with other content it is never
    confirmed while that version is current. An amendment below the current version may be confirmed as superseded,
    whatever its content, and changes nothing. A read shows the current version and content, or that there is no item.
    """

    def initial(self) -> ItemState:
        """Returns an item that was never set."""
        return ItemState()

    def step(self, state: ItemState, operation: Operation, now: float) -> tuple[ItemState, float] | None:
        """Returns the item after an amendment or a read, or None."""
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
        """Leaves out amendments of unknown outcome that no read shows.

        One above a version with differing contents stays, since it may have superseded that version.
        """
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
