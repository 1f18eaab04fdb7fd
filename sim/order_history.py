"""What the users of a core were told, as the checker of histories takes it."""

from __future__ import annotations

import math

from mallowvalve.coordination.plain import group_of
from sim import pages
from sim.orders import CellCall, Counted, Held, ItemsRead, Order, Orders, TakeCall
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


def findings(o: Orders) -> list[str]:
    """What cannot be ordered by the times of the calls alone, and what the search left undecided."""
    return linearizability.check(operations(o)).findings()


def operations(o: Orders) -> list[Operation]:
    """Items, locks, numbers and keys by name; each group's revisions besides, as numbers that rise over its keys."""
    names = sorted({x.name for x in o.orders})
    ends = {(h.name, h.token): h for h in o.held}
    return [
        *(_order(x) for x in o.orders),
        *(_item_read(r, name) for r in o.reads for name in names),
        *(_take(t, ends.get((t.name, t.token))) for t in o.takes),
        *(_number(n) for n in o.numbers),
        *(_cell(c) for c in o.cells),
        *(_revision(c) for c in o.cells if c.kind == "put" and c.said == pages.OK),
    ]


def _outcome(said: int) -> OperationOutcome:
    if said == pages.OK:
        return OperationOutcome.DONE
    return OperationOutcome.REFUSED if said in REFUSED else OperationOutcome.UNKNOWN


def _told(kind: ObjectKind, name: str, call: OperationCall, x: Order | TakeCall | CellCall, number: int) -> Operation:
    outcome = _outcome(x.said)
    if outcome is not OperationOutcome.UNKNOWN and math.isfinite(x.ended):
        return Operation(kind, name, _caller(x), call, x.begun, x.ended, outcome, number)
    return Operation(kind, name, _caller(x), call, x.begun, None, OperationOutcome.UNKNOWN)


def _caller(x: Order | TakeCall | CellCall) -> str:
    match x:
        case Order():
            return x.who
        case TakeCall():
            return x.holder
    return x.value or ""


def _order(x: Order) -> Operation:
    return _told(ObjectKind.ITEM, x.name, AmendItem(x.version, x.content), x, x.version)


def _item_read(r: ItemsRead, name: str) -> Operation:
    version, content = r.rows.get(name, (0, None))
    return Operation(
        ObjectKind.ITEM, name, r.by, ReadObject(), r.begun, r.ended, OperationOutcome.DONE, version, content
    )


def _take(t: TakeCall, held: Held | None) -> Operation:
    """A holder relies on its lock to the end of its own hold, and not at all where it never began one."""
    until = held.end if held is not None else t.begun
    return _told(ObjectKind.LOCK, t.name, TakeLock(t.holder, until), t, t.token)


def _number(n: Counted) -> Operation:
    if not n.value:
        return Operation(ObjectKind.NUMBER, n.name, "", DrawNumber(), n.begun, None, OperationOutcome.UNKNOWN)
    return Operation(ObjectKind.NUMBER, n.name, "", DrawNumber(), n.begun, n.ended, OperationOutcome.DONE, n.value)


def _cell(c: CellCall) -> Operation:
    if c.kind == "put":
        return _told(ObjectKind.KEY, c.name, PutValue(c.value, c.base), c, c.revision)
    return Operation(
        ObjectKind.KEY, c.name, "", ReadObject(), c.begun, c.ended, OperationOutcome.DONE, c.revision, c.value
    )


def _revision(c: CellCall) -> Operation:
    name = f"revision of {group_of(c.name)}"
    return Operation(
        ObjectKind.NUMBER, name, c.value or "", DrawNumber(), c.begun, c.ended, OperationOutcome.DONE, c.revision
    )
