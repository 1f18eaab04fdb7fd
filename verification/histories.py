"""Recorded histories: what callers asked and were told, and the file format they are kept in.

A file holds one operation a line, as JSON. Its fields:

- `kind`: `lock`, `number`, `key` or `item`; `name`: of the object. Kind and name together are one partition.
- `caller`: who asked; shown in findings only.
- `call`: an object with the field `type`:
  `take` (`holder`, `until`: the time in s up to which the holder relied on the lock), `extend` (`holder`, `token`,
  `until`), `free` (`holder`, `token`), `draw`, `put` (`value`, null to remove it; `base`, the revision it rests on or
  null), `read` (`shows_value`: false where the reader was told only a revision), `amend` (`version`, `content`).
- `begun`, `ended`: in seconds of one clock; `ended` is absent while there is no answer.
- `outcome`: `done`, `refused` (with a promise: it had no effect and never will) or `unknown` (it may have taken
  effect at any time after `begun`, or never).
- `number`: the answer's token, number, revision or version; `value`: the answer's value or content.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import StrEnum
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from mallowvalve.finding import Finding, Findings


class ObjectKind(StrEnum):
    """What kind of object an operation is on."""

    LOCK = "lock"
    NUMBER = "number"
    KEY = "key"
    ITEM = "item"


class OperationOutcome(StrEnum):
    """What its caller knows of an operation."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class TakeLock(msgspec.Struct, frozen=True, tag="take"):
    """Take a lock; the holder relies on it up to `until` (s)."""

    holder: str
    until: float


class ExtendLock(msgspec.Struct, frozen=True, tag="extend"):
    """Lengthen a hold to `until` (s)."""

    holder: str
    token: int
    until: float


class FreeLock(msgspec.Struct, frozen=True, tag="free"):
    """Give a lock back."""

    holder: str
    token: int


class DrawNumber(msgspec.Struct, frozen=True, tag="draw"):
    """Draw the next number."""


class PutValue(msgspec.Struct, frozen=True, tag="put"):
    """Put a value into a key, or remove it (None), if the key is at revision `base` (None: whatever it is at)."""

    value: str | None
    base: int | None = None


class ReadObject(msgspec.Struct, frozen=True, tag="read"):
    """Read a key or an item."""

    shows_value: bool = True


class AmendItem(msgspec.Struct, frozen=True, tag="amend"):
    """Give an item a content under a version."""

    version: int
    content: str | None


OperationCall = TakeLock | ExtendLock | FreeLock | DrawNumber | PutValue | ReadObject | AmendItem


class Operation(msgspec.Struct, frozen=True, omit_defaults=True):
    """One call and what its caller was told; times in seconds of one clock."""

    kind: ObjectKind
    name: str
    caller: str
    call: OperationCall
    begun: float
    ended: float | None
    outcome: OperationOutcome
    number: int = 0
    value: str | None = None

    @property
    def unknown(self) -> bool:
        """Whether it may or may not have taken effect."""
        return self.outcome is OperationOutcome.UNKNOWN

    @property
    def latest(self) -> float:
        """The latest time (s) at which it can have taken effect."""
        return math.inf if self.unknown or self.ended is None else self.ended

    def __str__(self) -> str:
        """One line for findings."""
        end = "..." if self.ended is None else f"{self.ended:.3f}"
        arguments = " ".join(f"{k}={v}" for k, v in msgspec.structs.asdict(self.call).items())
        answer = f"{self.outcome} {self.number}" + (f" {self.value!r}" if self.value is not None else "")
        return f"[{self.begun:.3f}, {end}] {self.caller} {self.call.__struct_config__.tag} {arguments} -> {answer}"


_decode = msgspec.json.Decoder(Operation).decode
_encode = msgspec.json.Encoder().encode


def write(path: Path, operations: Iterable[Operation]) -> None:
    """Write a history, one operation a line."""
    path.write_bytes(b"".join(_encode(o) + b"\n" for o in operations))


def load(path: Path) -> Result[list[Operation], Findings]:
    """Return a recorded history, or findings that name each line which is not understood."""
    operations: list[Operation] = []
    findings: Findings = []
    for number, line in enumerate(path.read_bytes().splitlines(), 1):
        if not line.strip():
            continue
        try:
            operation = _decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            findings.append(Finding(f"{path.name}:{number}", str(error)))
            continue
        reason = _invalid_reason(operation)
        if reason:
            findings.append(Finding(f"{path.name}:{number}", reason))
        operations.append(operation)
    return Err(findings) if findings else Ok(operations)


def _invalid_reason(operation: Operation) -> str:
    """What makes an operation impossible to judge, or nothing."""
    if operation.call.__class__ not in CALL_TYPES[operation.kind]:
        return f"a {operation.kind} has no {operation.call.__struct_config__.tag}"
    if operation.ended is None and not operation.unknown:
        return f"{operation.outcome} without its end"
    if operation.ended is not None and operation.ended < operation.begun:
        return "ended before it began"
    return ""


REFUSAL_CODES = ("conflict", "missing", "lost", "held", "gone", "late")


def outcome_from_code(code: str) -> OperationOutcome:
    """What a service's answer says of a command; every code that is not known to be a promise leaves it open."""
    if code == "ok":
        return OperationOutcome.DONE
    return OperationOutcome.REFUSED if code in REFUSAL_CODES else OperationOutcome.UNKNOWN


class HistoryRecorder:
    """A history under way: calls are written down when they are made, and again when they are answered."""

    __slots__ = ("operations",)

    def __init__(self) -> None:
        """Begin an empty history."""
        self.operations: list[Operation] = []

    def record_call(self, kind: ObjectKind, name: str, caller: str, call: OperationCall, begun: float) -> int:
        """Write down a call (s) that has no answer yet; returns its place."""
        self.operations.append(Operation(kind, name, caller, call, begun, None, OperationOutcome.UNKNOWN))
        return len(self.operations) - 1

    def record_answer(self, place: int, ended: float, outcome: OperationOutcome, number: int = 0) -> None:
        """Write down the answer (s) of a call; one of unknown outcome stays without its end."""
        if outcome is not OperationOutcome.UNKNOWN:
            call = self.operations[place]
            self.operations[place] = msgspec.structs.replace(call, ended=ended, outcome=outcome, number=number)


CALL_TYPES: dict[ObjectKind, tuple[type, ...]] = {
    ObjectKind.LOCK: (TakeLock, ExtendLock, FreeLock),
    ObjectKind.NUMBER: (DrawNumber,),
    ObjectKind.KEY: (PutValue, ReadObject),
    ObjectKind.ITEM: (AmendItem, ReadObject),
}
