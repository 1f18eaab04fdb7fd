"""The checks of sim/order_checks.py: silent on valid records, and each finds the fault it is for."""

import pytest

from mallowvalve.types import Address
from sim.order_checks import check
from sim.orders import (
    CatchUp,
    ClientRecords,
    Confirmation,
    ItemsRead,
    ItemUpdate,
    KeyRequest,
    LockInterval,
    LockRequest,
    MemberLoss,
    NetworkCut,
    Notice,
    NumberRequest,
    WatchedEvent,
    WatchResponse,
    ZoneUpdate,
)

NODE_A = Address("10.0.1.1", 7000)
NODE_B = Address("10.0.1.2", 7000)


def update(version, content, begun, status=200, who="x", name="r"):
    return ItemUpdate(who, name, version, content, begun, begun + 0.2, status)


def read(begun, rows, evacuated=(), upstreams=None):
    return ItemsRead(begun, begun + 0.1, str(NODE_A), rows, list(evacuated), upstreams or {})


def put(value, begun, revision, status=200, base=None):
    return KeyRequest("put", "g.a", value, begun, begun + 0.1, status, revision, base)


def valid_records() -> ClientRecords:
    """A retried update, a refused one, a superseded one, and the other records of a fault-free run."""
    records = ClientRecords()
    records.orders = [
        update(1, "a", 1, status=0),
        update(1, "a", 2),
        update(1, "b", 2.1, status=409, who="y"),
        update(2, "c", 4),
        update(1, "b", 5, who="y"),
        update(3, None, 8),
    ]
    records.reads = [
        read(3, {"r": (1, "a")}, ["z"], {"u": "ready"}),
        read(6, {"r": (2, "c")}, [], {"u": "leaving"}),
        read(9, {}, [], {"u": "gone"}),
    ]
    records.zones = [ZoneUpdate("z", True, 1, 2, True), ZoneUpdate("z", False, 4, 5, True)]
    records.notices = [Notice("u", "leaving", 5), Notice("u", "gone", 7)]
    records.takes = [
        LockRequest("l", "h1", 1, 1.2, 200, 2.0, 1, 2.5),
        LockRequest("l", "h2", 2, 2.1, 409, 2.0),
        LockRequest("l", "h3", 3, 3.2, 200, 2.0, 2, 4.0),
        LockRequest("l", "h4", 3.1, 4.6, 409, 2.0, unsure=4.4),
        LockRequest("l", "h5", 7, 7.1, 409, 2.0),
    ]
    records.held = [LockInterval("l", "h1", 1.2, 2.4, 1), LockInterval("l", "h3", 3.2, 3.9, 2)]
    records.numbers = [NumberRequest("n", 1, 1.1, 1), NumberRequest("n", 2, 3, 0), NumberRequest("n", 4, 4.1, 3)]
    records.cells = [
        put("v1", 1, 1),
        KeyRequest("read", "g.a", "v1", 2, 2.1, 200, 1),
        put("v2", 3, 2, base=1),
        put("v3", 3, 0, status=409, base=0),
    ]
    records.events = [WatchedEvent("w", 1, "g.a", "v1", 1.5), WatchedEvent("w", 2, "g.a", "v2", 3.5)]
    records.watched = [WatchResponse(NODE_A, 3.9, 1), WatchResponse(NODE_A, 4.2, 2)]
    records.cuts = [NetworkCut([NODE_A], 10, 30)]
    records.confirmations = [
        Confirmation(NODE_A, "order", 9, 9.5),
        Confirmation(NODE_B, "order", 12, 12.5),
        Confirmation(NODE_A, "read", 30.1, 30.2),
    ]
    records.catch_ups = [CatchUp(NODE_A, "wiped", 40, 100, 42), CatchUp(NODE_A, "wiped", 70, 90, 84, 4.0)]
    records.losses = [MemberLoss("A wiped", 39, 41)]
    return records


def add_put_on_older_base(records: ClientRecords) -> None:
    records.cells += [put("v4", 5, 4, base=1)]


FAULTS = {
    "version 2: 2 contents were confirmed": lambda records: records.orders.append(update(2, "d", 5, who="y")),
    "lacks r": lambda records: records.reads.append(read(7, {})),
    "2 was confirmed before": lambda records: records.reads.append(read(7, {"r": (1, "a")})),
    "as d, not c": lambda records: records.reads.append(read(7, {"r": (2, "d")})),
    "was refused (409) at 6.20 and is read back": lambda records: records.orders.append(update(2, "c", 6, status=409)),
    "was refused (400) at 6.20 and confirmed besides": lambda records: (
        records.orders.append(update(7, "e", 5)),
        records.orders.append(update(7, "e", 6, status=400)),
        records.reads.clear(),
    ),
    "z given back, acknowledged at 5.00": lambda records: records.reads.append(read(7, {"r": (2, "c")}, ["z"])),
    "z evacuated, acknowledged at 2.00": lambda records: records.reads.append(read(3.5, {"r": (1, "a")})),
    "shows ready": lambda records: records.reads.append(read(6, {"r": (2, "c")}, [], {"u": "ready"})),
    "shows leaving": lambda records: records.reads.append(read(8.3, {}, [], {"u": "leaving"})),
    "while h1 holds it": lambda records: records.held.append(LockInterval("l", "h9", 2.0, 2.2, 5)),
    "token 2 of l after 2": lambda records: records.held.append(LockInterval("l", "h9", 9, 9.5, 2)),
    "h9 is refused l at 7.60": lambda records: records.takes.append(LockRequest("l", "h9", 7.6, 7.7, 409, 2.0)),
    "h9 is refused l at 4.15": lambda records: (
        records.takes.__delitem__(slice(3, 5)),
        records.takes.append(LockRequest("l", "h9", 4.15, 4.2, 409, 2.0)),
    ),
    "a late take": lambda records: records.takes.append(LockRequest("l", "h9", 20, 20.1, 409, 2.0)),
    "number n 3 was given twice": lambda records: records.numbers.append(NumberRequest("n", 5, 5.1, 3)),
    "number n 2 was asked at 5.00 after 3": lambda records: records.numbers.append(NumberRequest("n", 5, 5.1, 2)),
    "a call was counted twice": lambda records: records.numbers.append(NumberRequest("n", 5, 5.1, 6)),
    "was given to v2 and v9": lambda records: records.cells.append(put("v9", 6, 2)),
    "on base 1 was taken over 2": add_put_on_older_base,
    "shows 1, 2 was put before": lambda records: records.cells.append(KeyRequest("read", "g.a", "v1", 5, 5.1, 200, 1)),
    "shows v1 at 2": lambda records: records.cells.append(KeyRequest("read", "g.a", "v1", 5, 5.1, 200, 2)),
    "which nobody had put": lambda records: records.cells.append(KeyRequest("read", "g.a", "v8", 5, 5.1, 200, 9)),
    "value v3 was refused and is there": lambda records: records.events.append(WatchedEvent("w", 3, "g.a", "v3", 5)),
    "w saw events twice or out of order": lambda records: records.events.append(WatchedEvent("w", 2, "g.a", "v2", 5)),
    "w missed 2": lambda records: records.events.__setitem__(1, WatchedEvent("w", 3, "g.a", "v4", 5)),
    "w saw v7 at 2, it was v2": lambda records: records.events.__setitem__(1, WatchedEvent("w", 2, "g.a", "v7", 5)),
    "answers a watch at 4.20 up to 1": lambda records: records.watched.append(WatchResponse(NODE_B, 4.2, 1)),
    "confirmed a order at 12.00": lambda records: records.confirmations.append(Confirmation(NODE_A, "order", 11, 12)),
    "confirmed a read at 10.90": lambda records: records.confirmations.append(Confirmation(NODE_A, "read", 10.5, 10.9)),
    "confirmed a beat at 13.50": lambda records: records.confirmations.append(Confirmation(NODE_A, "beat", 13.4, 13.5)),
    "has not caught up with 100": lambda records: records.catch_ups.append(CatchUp(NODE_B, "frozen", 50, 100)),
    "has not caught up with 90": lambda records: records.catch_ups.append(CatchUp(NODE_B, "frozen", 50, 90, 63)),
    "has not caught up with 80": lambda records: records.catch_ups.append(CatchUp(NODE_B, "wiped", 50, 80, 67, 4.0)),
    "B killed at 50.00: nothing confirmed": lambda records: records.losses.append(MemberLoss("B killed", 50)),
    "B wiped at 50.00: nothing confirmed": lambda records: records.losses.append(MemberLoss("B wiped", 50, 59)),
}


def test_a_clean_history_has_no_findings():
    assert check(valid_records()) == []


@pytest.mark.parametrize("finding", FAULTS)
def test_each_planted_breach_is_found(finding):
    records = valid_records()
    FAULTS[finding](records)
    assert any(finding in f for f in check(records)), check(records)
