"""Recorded histories: the calls of clients with their answers, and the file format that stores them.

A file contains one operation per line, as JSON. Its fields:

- `kind`: `lock`, `number`, `key` or `item`; `name`: of the object. Kind and name together identify a partition.
- `caller`: the client; only findings show it.
- `call`: an object with the field `type`:
  `take` (`holder`, `until`: the time in s up to which the holder relies on the lock), `extend` (`holder`, `token`,
  `until`), `free` (`holder`, `token`), `draw`, `put` (`value`, null to remove it; `base`, the expected revision or
  null), `read` (`shows_value`: false if the answer contained only a revision), `amend` (`version`, `content`).
- `begun`, `ended`: in seconds of one clock; `ended` is absent while there is no answer.
- `outcome`: `done`, `refused` (guaranteed to have no effect, now or later) or `unknown` (it may have taken
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
    """The kind of object that an operation acts on."""

    LOCK = "lock"
    NUMBER = "number"
    KEY = "key"
    ITEM = "item"


class OperationOutcome(StrEnum):
    """The outcome of an operation as its client knows it."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class TakeLock(msgspec.Struct, frozen=True, tag="take"):
    """Takes a lock; the holder relies on it up to `until` (s)."""

    holder: str
    until: float


class ExtendLock(msgspec.Struct, frozen=True, tag="extend"):
    """Extends a held lock to `until` (s)."""

    holder: str
    token: int
    until: float


class FreeLock(msgspec.Struct, frozen=True, tag="free"):
    """Releases a lock."""

    holder: str
    token: int


class DrawNumber(msgspec.Struct, frozen=True, tag="draw"):
    """Draws the next number."""


class PutValue(msgspec.Struct, frozen=True, tag="put"):
    """Sets the value of a key, or removes it (None), if the key is at revision `base` (None: at any revision)."""

    value: str | None
    base: int | None = None


class ReadObject(msgspec.Struct, frozen=True, tag="read"):
    """Reads a key or an item."""

    shows_value: bool = True


class AmendItem(msgspec.Struct, frozen=True, tag="amend"):
    """Sets the content of an item under a version."""

    version: int
    content: str | None


OperationCall = TakeLock | ExtendLock | FreeLock | DrawNumber | PutValue | ReadObject | AmendItem


class Operation(msgspec.Struct, frozen=True, omit_defaults=True):
    """One call and its answer; times in seconds of one clock."""

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
        """Returns whether the outcome is unknown."""
        return self.outcome is OperationOutcome.UNKNOWN

    @property
    def latest(self) -> float:
        """Returns the latest time (s) at which the operation can have taken effect."""
        return math.inf if self.unknown or self.ended is None else self.ended

    def __str__(self) -> str:
        """Returns one line for findings."""
        end = "..." if self.ended is None else f"{self.ended:.3f}"
        arguments = " ".join(f"{k}={v}" for k, v in msgspec.structs.asdict(self.call).items())
        answer = f"{self.outcome} {self.number}" + (f" {self.value!r}" if self.value is not None else "")
        return f"[{self.begun:.3f}, {end}] {self.caller} {self.call.__struct_config__.tag} {arguments} -> {answer}"


_decode = msgspec.json.Decoder(Operation).decode
_encode = msgspec.json.Encoder().encode


def write(path: Path, operations: Iterable[Operation]) -> None:
    """Writes a history, one operation per line."""
    path.write_bytes(b"".join(_encode(o) + b"\n" for o in operations))


def load(path: Path) -> Result[list[Operation], Findings]:
    """Returns a recorded history, or findings that name each invalid line."""
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
    """Returns why an operation can't be checked, or an empty string."""
    if operation.call.__class__ not in CALL_TYPES[operation.kind]:
        return f"a {operation.kind} has no {operation.call.__struct_config__.tag}"
    if operation.ended is None and not operation.unknown:
        return f"{operation.outcome} without its end"
    if operation.ended is not None and operation.ended < operation.begun:
        return "ended before it began"
    return ""


REFUSAL_CODES = ("conflict", "missing", "lost", "held", "gone", "late")


def outcome_from_code(code: str) -> OperationOutcome:
    """Returns the outcome that an answer's code stands for; any code but a known refusal leaves it unknown."""
    if code == "ok":
        return OperationOutcome.DONE
    return OperationOutcome.REFUSED if code in REFUSAL_CODES else OperationOutcome.UNKNOWN


class HistoryRecorder:
    """Records a history: each call when it is made, and again when it is answered."""

    __slots__ = ("operations",)

    def __init__(self) -> None:
        """Starts an empty history."""
        self.operations: list[Operation] = []

    def record_call(self, kind: ObjectKind, name: str, caller: str, call: OperationCall, begun: float) -> int:
        """Records a call made at `begun` (s) that has no answer yet; returns its position."""
        self.operations.append(Operation(kind, name, caller, call, begun, None, OperationOutcome.UNKNOWN))
        return len(self.operations) - 1

    def record_answer(self, place: int, ended: float, outcome: OperationOutcome, number: int = 0) -> None:
        """Records the answer of a call at `ended` (s); a call of unknown outcome stays open."""
        if outcome is not OperationOutcome.UNKNOWN:
            call = self.operations[place]
            self.operations[place] = msgspec.structs.replace(call, ended=ended, outcome=outcome, number=number)


CALL_TYPES: dict[ObjectKind, tuple[type, ...]] = {
    ObjectKind.LOCK: (TakeLock, ExtendLock, FreeLock),
    ObjectKind.NUMBER: (DrawNumber,),
    ObjectKind.KEY: (PutValue, ReadObject),
    ObjectKind.ITEM: (AmendItem, ReadObject),
}
