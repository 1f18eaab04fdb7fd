"""Converts the records of a core's API clients to operations for the linearizability checker."""

from __future__ import annotations

import math

from mallowvalve.coordination.plain import group_of
from sim import pages
from sim.orders import ClientRecords, ItemsRead, ItemUpdate, KeyRequest, LockHold, LockRequest, NumberRequest
from verification import linearizability
from verification.histories import Amend, Call, Draw, Kind, Operation, Outcome, Put, Read, Take

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


def _outcome(status: int) -> Outcome:
    if status == pages.OK:
        return Outcome.DONE
    return Outcome.REFUSED if status in REFUSED else Outcome.UNKNOWN


def _operation(
    kind: Kind, name: str, call: Call, record: ItemUpdate | LockRequest | KeyRequest, number: int
) -> Operation:
    outcome = _outcome(record.status)
    if outcome is not Outcome.UNKNOWN and math.isfinite(record.ended):
        return Operation(kind, name, _client(record), call, record.begun, record.ended, outcome, number)
    return Operation(kind, name, _client(record), call, record.begun, None, Outcome.UNKNOWN)


def _client(record: ItemUpdate | LockRequest | KeyRequest) -> str:
    match record:
        case ItemUpdate():
            return record.who
        case LockRequest():
            return record.holder
    return record.value or ""


def _update_operation(record: ItemUpdate) -> Operation:
    return _operation(Kind.ITEM, record.name, Amend(record.version, record.content), record, record.version)


def _read_operation(read: ItemsRead, name: str) -> Operation:
    version, content = read.rows.get(name, (0, None))
    return Operation(Kind.ITEM, name, read.by, Read(), read.begun, read.ended, Outcome.DONE, version, content)


def _lock_operation(request: LockRequest, hold: LockHold | None) -> Operation:
    """A lock operation; it claims the lock until the end of the holder's own hold, or not at all without a hold."""
    until = hold.end if hold is not None else request.begun
    return _operation(Kind.LOCK, request.name, Take(request.holder, until), request, request.token)


def _number_operation(request: NumberRequest) -> Operation:
    if not request.value:
        return Operation(Kind.NUMBER, request.name, "", Draw(), request.begun, None, Outcome.UNKNOWN)
    return Operation(Kind.NUMBER, request.name, "", Draw(), request.begun, request.ended, Outcome.DONE, request.value)


def _key_operation(request: KeyRequest) -> Operation:
    if request.kind == "put":
        return _operation(Kind.KEY, request.name, Put(request.value, request.base), request, request.revision)
    return Operation(
        Kind.KEY, request.name, "", Read(), request.begun, request.ended, Outcome.DONE, request.revision, request.value
    )


def _revision_operation(request: KeyRequest) -> Operation:
    name = f"revision of {group_of(request.name)}"
    return Operation(
        Kind.NUMBER, name, request.value or "", Draw(), request.begun, request.ended, Outcome.DONE, request.revision
    )
