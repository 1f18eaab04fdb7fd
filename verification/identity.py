"""Copies of machines and the identity of their states, for whatever slots a machine has.

A machine's floats are times of its own clock in seconds, so its identity takes them relative to that clock;
whatever is further away than `FAR` is equally far. Counters and random numbers are no part of it.
"""

from __future__ import annotations

import hashlib
import random
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from mallowvalve.metrics import Counts

FAR = 9.0
DIGITS = 3
UNCOUNTED = frozenset({"rng", "counts", "times", "_now"})
TIMELESS = UNCOUNTED | {"contact_stamps", "_quorum_contact"}
"""Where each member has a clock of its own no lease is checked, so who is in touch makes no state another one."""
NOBODY = ""
"""A pair of a member and a time says nothing if it names no member."""
PLAIN = (int, float, str, bytes, bool, type(None), type)

_copiers: dict[type, Callable[[Any], Any]] = {}


def clone(thing: Any) -> Any:
    """A deep copy; frozen structs, random generators and counters are shared."""
    kind = type(thing)
    copier = _copiers.get(kind)
    if copier is None:
        copier = _copiers[kind] = _copier(kind)
    return copier(thing)


def _copier(kind: type) -> Callable[[Any], Any]:
    if issubclass(kind, (*PLAIN, random.Random, Counts)) or callable(kind) and kind.__name__ == "function":
        return lambda thing: thing
    if issubclass(kind, msgspec.Struct):
        return _struct_copier(kind)
    if issubclass(kind, bytearray):
        return bytearray
    if issubclass(kind, list | deque | set | tuple | frozenset):
        return lambda thing: kind(map(clone, thing))
    if issubclass(kind, dict):
        return lambda thing: {key: clone(value) for key, value in thing.items()}
    return _object_copier(kind)


def _struct_copier(kind: type[msgspec.Struct]) -> Callable[[Any], Any]:
    if kind.__struct_config__.frozen:
        return lambda thing: thing
    return lambda thing: kind(*[clone(getattr(thing, name)) for name in kind.__struct_fields__])


def _object_copier(kind: type) -> Callable[[Any], Any]:
    names = slots_of(kind)

    def copy(thing: Any) -> Any:
        other: Any = object.__new__(kind)
        for name in names:
            setattr(other, name, clone(getattr(thing, name)))
        for name, value in getattr(thing, "__dict__", {}).items():
            setattr(other, name, clone(value))
        return other

    return copy


def slots_of(kind: type) -> list[str]:
    """The slots of a class and its bases."""
    return [name for base in reversed(kind.__mro__) for name in getattr(base, "__slots__", ())]


def shape(thing: Any, now: float, without: frozenset[str] = UNCOUNTED) -> Any:
    """What makes two machines the same, as plain values; `now` is what the machine's clock shows (s).

    Slots named in `without` are left out.
    """
    if isinstance(thing, float):
        return round(max(-FAR, min(FAR, thing - now)), DIGITS)
    if isinstance(thing, PLAIN) or isinstance(thing, msgspec.Struct) and thing.__struct_config__.frozen:
        return thing
    if isinstance(thing, dict):
        return sorted((key, shape(value, now, without)) for key, value in thing.items())
    if isinstance(thing, set | frozenset):
        return sorted(shape(part, now, without) for part in thing)
    if isinstance(thing, tuple) and thing and thing[0] == NOBODY:
        return NOBODY
    if isinstance(thing, list | tuple | deque):
        return [shape(part, now, without) for part in thing]
    if isinstance(thing, msgspec.Struct):
        return [shape(getattr(thing, name), now, without) for name in thing.__struct_fields__]
    return [shape(getattr(thing, name), now, without) for name in slots_of(type(thing)) if name not in without]


def outline(message: msgspec.Struct, now: float | None) -> Any:
    """What makes two messages the same: all that they say, stamps relative to the clock of all, or without them."""
    if not any(isinstance(value, float) for value in msgspec.structs.astuple(message)):
        return message
    parts = msgspec.structs.astuple(message)
    return [0 if now is None and isinstance(part, float) else shape(part, now or 0.0) for part in parts]


def digest(shaped: Any) -> bytes:
    """A name of 16 bytes for plain values."""
    return hashlib.blake2b(repr(shaped).encode(), digest_size=16).digest()


class Still(random.Random):
    """Random numbers that are all 0: any clock may move on first, so nothing is lost by equal time-outs."""

    def random(self) -> float:
        """Always 0."""
        return 0.0
