"""What the users of a core were told, as the checker of histories takes it."""

from __future__ import annotations

import math

from mallowvalve.coordination.plain import group_of
from sim import pages
from sim.orders import ClientRecords, ItemsRead, ItemUpdate, KeyRequest, LockHold, LockRequest, NumberRequest
from verification import linearizability
from verification.histories import Amend, Call, Draw, Kind, Operation, Outcome, Put, Read, Take

REFUSED = (pages.CONFLICT, pages.INVALID)


def findings(o: ClientRecords) -> list[str]:
    """What cannot be ordered by the times of the calls alone, and what the search left undecided."""
    return linearizability.check(operations(o)).findings()


def operations(o: ClientRecords) -> list[Operation]:
    """Items, locks, numbers and keys by name; each group's revisions besides, as numbers that rise over its keys."""
    names = sorted({x.name for x in o.orders})
    ends = {(h.name, h.token): h for h in o.held}
    return [
        *(_order(x) for x in o.orders),
        *(_item_read(r, name) for r in o.reads for name in names),
        *(_take(t, ends.get((t.name, t.token))) for t in o.takes),
        *(_number(n) for n in o.numbers),
        *(_cell(c) for c in o.cells),
        *(_revision(c) for c in o.cells if c.kind == "put" and c.status == pages.OK),
    ]


def _outcome(status: int) -> Outcome:
    if status == pages.OK:
        return Outcome.DONE
    return Outcome.REFUSED if status in REFUSED else Outcome.UNKNOWN


def _told(kind: Kind, name: str, call: Call, x: ItemUpdate | LockRequest | KeyRequest, number: int) -> Operation:
    outcome = _outcome(x.status)
    if outcome is not Outcome.UNKNOWN and math.isfinite(x.ended):
        return Operation(kind, name, _caller(x), call, x.begun, x.ended, outcome, number)
    return Operation(kind, name, _caller(x), call, x.begun, None, Outcome.UNKNOWN)


def _caller(x: ItemUpdate | LockRequest | KeyRequest) -> str:
    match x:
        case ItemUpdate():
            return x.who
        case LockRequest():
            return x.holder
    return x.value or ""


def _order(x: ItemUpdate) -> Operation:
    return _told(Kind.ITEM, x.name, Amend(x.version, x.content), x, x.version)


def _item_read(r: ItemsRead, name: str) -> Operation:
    version, content = r.rows.get(name, (0, None))
    return Operation(Kind.ITEM, name, r.by, Read(), r.begun, r.ended, Outcome.DONE, version, content)


def _take(t: LockRequest, held: LockHold | None) -> Operation:
    """A holder relies on its lock to the end of its own hold, and not at all where it never began one."""
    until = held.end if held is not None else t.begun
    return _told(Kind.LOCK, t.name, Take(t.holder, until), t, t.token)


def _number(n: NumberRequest) -> Operation:
    if not n.value:
        return Operation(Kind.NUMBER, n.name, "", Draw(), n.begun, None, Outcome.UNKNOWN)
    return Operation(Kind.NUMBER, n.name, "", Draw(), n.begun, n.ended, Outcome.DONE, n.value)


def _cell(c: KeyRequest) -> Operation:
    if c.kind == "put":
        return _told(Kind.KEY, c.name, Put(c.value, c.base), c, c.revision)
    return Operation(Kind.KEY, c.name, "", Read(), c.begun, c.ended, Outcome.DONE, c.revision, c.value)


def _revision(c: KeyRequest) -> Operation:
    name = f"revision of {group_of(c.name)}"
    return Operation(Kind.NUMBER, name, c.value or "", Draw(), c.begun, c.ended, Outcome.DONE, c.revision)
