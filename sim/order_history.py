"""Converts the records of a core's API clients to operations for the linearizability checker."""

from __future__ import annotations

import math

from mallowvalve.coordination.plain import group_of
from sim import pages
from sim.orders import ClientRecords, ItemsRead, ItemUpdate, KeyRequest, LockInterval, LockRequest, NumberRequest
from verification import linearizability
from verification.histories import (
    AmendItem,
    DrawNumber,
    ObjectKind,
    Operation,
    OperationCall,
    OperationOutcome,
    PutValue,
    ReadObject,
    TakeLock,
)

REFUSED = (pages.CONFLICT, pages.INVALID)


def findings(records: ClientRecords) -> list[str]:
    """Returns histories that are not linearizable, and those the search left undecided."""
    return linearizability.check(operations(records)).findings()


def operations(records: ClientRecords) -> list[Operation]:
    """Operations on items, locks, numbers and keys; a key group's revisions count as numbers drawn from one counter."""
    names = sorted({record.name for record in records.orders})
    ends = {(h.name, h.token): h for h in records.held}
    return [
        *(_update_operation(record) for record in records.orders),
        *(_read_operation(read, name) for read in records.reads for name in names),
        *(_lock_operation(request, ends.get((request.name, request.token))) for request in records.takes),
        *(_number_operation(request) for request in records.numbers),
        *(_key_operation(request) for request in records.cells),
        *(
            _revision_operation(request)
            for request in records.cells
            if request.kind == "put" and request.status == pages.OK
        ),
    ]


def _outcome(status: int) -> OperationOutcome:
    if status == pages.OK:
        return OperationOutcome.DONE
    return OperationOutcome.REFUSED if status in REFUSED else OperationOutcome.UNKNOWN


def _operation(
    kind: ObjectKind, name: str, call: OperationCall, record: ItemUpdate | LockRequest | KeyRequest, number: int
) -> Operation:
    outcome = _outcome(record.status)
    if outcome is not OperationOutcome.UNKNOWN and math.isfinite(record.ended):
        return Operation(kind, name, _client(record), call, record.begun, record.ended, outcome, number)
    return Operation(kind, name, _client(record), call, record.begun, None, OperationOutcome.UNKNOWN)


def _client(record: ItemUpdate | LockRequest | KeyRequest) -> str:
    match record:
        case ItemUpdate():
            return record.who
        case LockRequest():
            return record.holder
    return record.value or ""


def _update_operation(record: ItemUpdate) -> Operation:
    return _operation(ObjectKind.ITEM, record.name, AmendItem(record.version, record.content), record, record.version)


def _read_operation(read: ItemsRead, name: str) -> Operation:
    version, content = read.rows.get(name, (0, None))
    return Operation(
        ObjectKind.ITEM, name, read.by, ReadObject(), read.begun, read.ended, OperationOutcome.DONE, version, content
    )


def _lock_operation(request: LockRequest, hold: LockInterval | None) -> Operation:
    """A lock operation; it claims the lock until the end of the holder's own hold, or not at all without a hold."""
    until = hold.end if hold is not None else request.begun
    return _operation(ObjectKind.LOCK, request.name, TakeLock(request.holder, until), request, request.token)


def _number_operation(request: NumberRequest) -> Operation:
    if not request.value:
        return Operation(
            ObjectKind.NUMBER, request.name, "", DrawNumber(), request.begun, None, OperationOutcome.UNKNOWN
        )
    return Operation(
        ObjectKind.NUMBER,
        request.name,
        "",
        DrawNumber(),
        request.begun,
        request.ended,
        OperationOutcome.DONE,
        request.value,
    )


def _key_operation(request: KeyRequest) -> Operation:
    if request.kind == "put":
        return _operation(
            ObjectKind.KEY, request.name, PutValue(request.value, request.base), request, request.revision
        )
    return Operation(
        ObjectKind.KEY,
        request.name,
        "",
        ReadObject(),
        request.begun,
        request.ended,
        OperationOutcome.DONE,
        request.revision,
        request.value,
    )


def _revision_operation(request: KeyRequest) -> Operation:
    name = f"revision of {group_of(request.name)}"
    return Operation(
        ObjectKind.NUMBER,
        name,
        request.value or "",
        DrawNumber(),
        request.begun,
        request.ended,
        OperationOutcome.DONE,
        request.revision,
    )
