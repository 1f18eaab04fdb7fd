"""Copies of state machines and the identity of their states, derived from the slots of their classes.

Floats in a machine are times of its own clock in seconds, so its identity takes them relative to that clock. All times
further away than `TIME_HORIZON_S` count as equal. Counters and random generators are not part of the identity.
"""

from __future__ import annotations

import hashlib
import random
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from mallowvalve.metrics import Counts

TIME_HORIZON_S = 9.0
TIME_DIGITS = 3
EXCLUDED_SLOTS = frozenset({"rng", "counts", "times", "_now"})
EXCLUDED_SLOTS_WITHOUT_LEASES = EXCLUDED_SLOTS | {"contact_stamps", "_quorum_contact"}
"""The slots left out where each member has its own clock: no lease is checked there, so contact times don't matter."""
NO_MEMBER = ""
"""A pair of a member and a time whose member is empty means that there is none, so its time is left out."""
PLAIN_TYPES = (int, float, str, bytes, bool, type(None), type)

_copiers: dict[type, Callable[[Any], Any]] = {}


def clone(state: Any) -> Any:
    """Returns a deep copy that shares frozen structs, random generators and counters."""
    cls = type(state)
    copier = _copiers.get(cls)
    if copier is None:
        copier = _copiers[cls] = _copier(cls)
    return copier(state)


def _copier(cls: type) -> Callable[[Any], Any]:
    if issubclass(cls, (*PLAIN_TYPES, random.Random, Counts)) or callable(cls) and cls.__name__ == "function":
        return lambda state: state
    if issubclass(cls, msgspec.Struct):
        return _struct_copier(cls)
    if issubclass(cls, bytearray):
        return bytearray
    if issubclass(cls, list | deque | set | tuple | frozenset):
        return lambda state: cls(map(clone, state))
    if issubclass(cls, dict):
        return lambda state: {key: clone(value) for key, value in state.items()}
    return _object_copier(cls)


def _struct_copier(cls: type[msgspec.Struct]) -> Callable[[Any], Any]:
    if cls.__struct_config__.frozen:
        return lambda state: state
    return lambda state: cls(*[clone(getattr(state, name)) for name in cls.__struct_fields__])


def _object_copier(cls: type) -> Callable[[Any], Any]:
    names = slots_of(cls)

    def copy(state: Any) -> Any:
        other: Any = object.__new__(cls)
        for name in names:
            setattr(other, name, clone(getattr(state, name)))
        for name, value in getattr(state, "__dict__", {}).items():
            setattr(other, name, clone(value))
        return other

    return copy


def slots_of(cls: type) -> list[str]:
    """Returns the slots of a class and its bases."""
    return [name for base in reversed(cls.__mro__) for name in getattr(base, "__slots__", ())]


def canonical_form(state: Any, now: float, excluded: frozenset[str] = EXCLUDED_SLOTS) -> Any:
    """Returns plain values that are equal for equal states; `now` is the time of the machine's clock (s).

    Slots named in `excluded` are left out.
    """
    if isinstance(state, float):
        return round(max(-TIME_HORIZON_S, min(TIME_HORIZON_S, state - now)), TIME_DIGITS)
    if isinstance(state, PLAIN_TYPES) or isinstance(state, msgspec.Struct) and state.__struct_config__.frozen:
        return state
    if isinstance(state, dict):
        return sorted((key, canonical_form(value, now, excluded)) for key, value in state.items())
    if isinstance(state, set | frozenset):
        return sorted(canonical_form(element, now, excluded) for element in state)
    if isinstance(state, tuple) and state and state[0] == NO_MEMBER:
        return NO_MEMBER
    if isinstance(state, list | tuple | deque):
        return [canonical_form(element, now, excluded) for element in state]
    if isinstance(state, msgspec.Struct):
        return [canonical_form(getattr(state, name), now, excluded) for name in state.__struct_fields__]
    return [
        canonical_form(getattr(state, name), now, excluded) for name in slots_of(type(state)) if name not in excluded
    ]


def message_identity(message: msgspec.Struct, now: float | None) -> Any:
    """Returns a value that is equal for equal messages.

    Times are relative to the shared clock `now` (s), and are left out if `now` is None.
    """
    if not any(isinstance(value, float) for value in msgspec.structs.astuple(message)):
        return message
    values = msgspec.structs.astuple(message)
    return [0 if now is None and isinstance(value, float) else canonical_form(value, now or 0.0) for value in values]


def digest(canonical: Any) -> bytes:
    """Returns a 16-byte digest of plain values."""
    return hashlib.blake2b(repr(canonical).encode(), digest_size=16).digest()


class ZeroRandom(random.Random):
    """A random generator that always returns 0.

    Equal timeouts lose no behaviour, since any clock may advance first.
    """

    def random(self) -> float:
        """Returns 0."""
        return 0.0
