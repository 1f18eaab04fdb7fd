"""Locks, numbers and keys for callers without keys of their own: a repeat is known by its content."""

from __future__ import annotations

import msgspec


class Take(msgspec.Struct, frozen=True, array_like=True, tag="take"):
    name: str
    holder: str
    hold_ms: float


class Extend(msgspec.Struct, frozen=True, array_like=True, tag="extend"):
    name: str
    holder: str
    token: int
    hold_ms: float


class Free(msgspec.Struct, frozen=True, array_like=True, tag="free"):
    name: str
    holder: str
    token: int


class Count(msgspec.Struct, frozen=True, array_like=True, tag="count"):
    name: str


class Write(msgspec.Struct, frozen=True, array_like=True, tag="write"):
    name: str
    value: str
    base: int = 0


class Word(msgspec.Struct, frozen=True, array_like=True):
    """`code` is ok, held, lost or conflict; `number` the token, the value or the revision."""

    code: str
    number: int = 0


class Plain:
    __slots__ = ()

    def apply(self, c: Take | Extend | Free | Count | Write, clock: int) -> Word:
        raise NotImplementedError

    def lapse(self, clock: int) -> None:
        pass
