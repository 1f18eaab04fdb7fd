"""Judges what coordination calls were told, by their revisions and by who ended before whom began."""

from __future__ import annotations

from collections import defaultdict

import msgspec

from verification import histories, linearizability
from verification.histories import (
    DrawNumber,
    ObjectKind,
    Operation,
    OperationOutcome,
    PutValue,
    ReadObject,
    TakeLock,
    outcome_from_code,
)


class Op(msgspec.Struct):
    """`said` is ok, a refusal's code, or undecided; revision, base and at are the store's own."""

    kind: str
    name: str
    who: str
    begun: float
    ended: float
    said: str
    revision: int = 0
    value: str | None = None
    base: int | None = None
    at: int = 0


class Hold(msgspec.Struct):
    name: str
    who: str
    start: float
    end: float
    token: int


class Event(msgspec.Struct):
    watcher: str
    revision: int
    name: str
    value: str | None


class History(msgspec.Struct):
    ops: list[Op] = []
    holds: list[Hold] = []
    events: list[Event] = []
    gaps: list[str] = []


def check(h: History) -> list[str]:
    return [*in_order(h), *reads(h), *bases(h), *refused(h), *one_holder(h), *watches(h), *orders(h)]


def orders(h: History) -> list[str]:
    """Whether each key, number and lock answered as a single one would have, by the times of its calls alone."""
    return linearizability.check(operations(h)).findings()


def operations(h: History) -> list[Operation]:
    """Return the calls as the checker of histories takes them; a lock is relied on to the end of its hold."""
    ends = {(x.name, x.token): x.end for x in h.holds}
    return [_operation(o, ends) for o in h.ops]


def _operation(o: Op, ends: dict[tuple[str, int], float]) -> Operation:
    kind: ObjectKind
    call: histories.OperationCall
    match o.kind:
        case "take":
            kind, call = ObjectKind.LOCK, TakeLock(o.who, ends.get((o.name, o.revision), o.begun))
        case "number":
            kind, call = ObjectKind.NUMBER, DrawNumber()
        case "put":
            kind, call = ObjectKind.KEY, PutValue(o.value, o.base)
        case _:
            kind, call = ObjectKind.KEY, ReadObject()
    outcome = outcome_from_code(o.said)
    number = o.at if o.kind == "read" else o.revision
    value = o.value if o.kind == "read" else None
    ended = None if outcome is OperationOutcome.UNKNOWN else o.ended
    return Operation(kind, o.name, o.who, call, o.begun, ended, outcome, number, value)


def _made(h: History) -> list[Op]:
    return [o for o in h.ops if o.said == "ok" and o.kind in ("put", "number", "take")]


def _puts(h: History, name: str) -> list[Op]:
    return sorted((o for o in _made(h) if o.kind == "put" and o.name == name), key=lambda o: o.revision)


def in_order(h: History) -> list[str]:
    made, out = _made(h), []
    seen: dict[int, Op] = {}
    for o in made:
        if o.revision in seen:
            out.append(f"revision {o.revision} was given twice: {seen[o.revision].kind} and {o.kind}")
        seen[o.revision] = o
    ends, newest, i = sorted(made, key=lambda o: o.ended), 0, 0
    said = [*made, *(o for o in h.ops if o.kind == "read" and o.said == "ok")]
    for o in sorted(said, key=lambda o: o.begun):
        while i < len(ends) and ends[i].ended < o.begun:
            newest, i = max(newest, ends[i].revision), i + 1
        if o.revision < newest or o.kind != "read" and o.revision == newest:
            out.append(f"{o.kind} {o.name} begun at {o.begun:.2f} got {o.revision}, {newest} had ended before")
    return out


def reads(h: History) -> list[str]:
    out = []
    maybe = [o for o in h.ops if o.kind == "put" and o.said == "undecided"]
    for r in (o for o in h.ops if o.kind == "read" and o.said == "ok"):
        last = max((p for p in _puts(h, r.name) if p.revision <= r.revision), key=lambda p: p.revision, default=None)
        if last is not None and (r.at, r.value) == (last.revision, last.value) or last is None and r.value is None:
            continue
        if last is not None and last.value is None and r.value is None:
            continue
        if any(p.name == r.name and p.value == r.value and p.begun < r.ended for p in maybe) and r.at >= (
            last.revision if last else 0
        ):
            continue
        if r.value is None and any(p.name == r.name and p.value is None for p in maybe):
            continue
        want = (last.revision, last.value) if last else None
        out.append(f"read of {r.name} at {r.begun:.2f} by {r.revision} shows {(r.at, r.value)}, want {want}")
    return out


def bases(h: History) -> list[str]:
    out = []
    for name in {o.name for o in h.ops}:
        before = 0
        for p in _puts(h, name):
            if p.base is not None and before > p.base:
                out.append(f"put of {name} at {p.revision} on base {p.base} was taken over {before}")
            before = p.revision
    return out


def refused(h: History) -> list[str]:
    """What was told refused must be seen nowhere; each value is written once."""
    no = {o.value for o in h.ops if o.kind == "put" and o.said not in ("ok", "undecided") and o.value is not None}
    shown = {e.value for e in h.events} | {o.value for o in h.ops if o.kind == "read"}
    return [f"value {v} was told refused and is there" for v in sorted(no & shown)]


def one_holder(h: History) -> list[str]:
    out, last = [], {}
    for x in sorted(h.holds, key=lambda x: x.start):
        y = last.get(x.name)
        if y is not None and x.start < y.end and x.who != y.who:
            out.append(f"{x.who} holds {x.name} from {x.start:.2f} while {y.who} holds it until {y.end:.2f}")
        if y is not None and x.token <= y.token:
            out.append(f"token {x.token} of {x.name} after {y.token}")
        if y is None or x.end > y.end:
            last[x.name] = x
    return out


def watches(h: History) -> list[str]:
    out = [f"a watcher was told compacted: {g}" for g in h.gaps]
    by: dict[str, list[Event]] = defaultdict(list)
    for e in h.events:
        by[e.watcher].append(e)
    puts = {p.revision: p for p in _made(h) if p.kind == "put"}
    for who, es in by.items():
        revisions = [e.revision for e in es]
        if revisions != sorted(set(revisions)):
            out.append(f"{who} saw events twice or out of order")
        seen = set(revisions)
        out += [f"{who} missed {r}" for r in puts if revisions[0] < r < revisions[-1] and r not in seen]
        wrong = [
            e for e in es if e.revision in puts and (puts[e.revision].name, puts[e.revision].value) != (e.name, e.value)
        ]
        out += [f"{who} saw {e.value} at {e.revision}, it was {puts[e.revision].value}" for e in wrong]
    return out
