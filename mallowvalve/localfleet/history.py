"""Checks the recorded coordination calls by their revisions and by the order in which they ended and began."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

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


class CoordinationCall(msgspec.Struct):
    """A call and its outcome.

    `said` is ok, the code of a refusal, or undecided; `revision`, `base` and `at` are revisions of the store.
    """

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


class LockHold(msgspec.Struct):
    """The span in which a client relied on its lock, with the lock's fencing token."""

    name: str
    who: str
    start: float
    end: float
    token: int


class WatchEvent(msgspec.Struct):
    """A change of a key that a watcher received."""

    watcher: str
    revision: int
    name: str
    value: str | None


class CoordinationHistory(msgspec.Struct):
    """All recorded calls, lock holds and watch events; `gaps` are watches whose revision was compacted."""

    ops: list[CoordinationCall] = []
    holds: list[LockHold] = []
    events: list[WatchEvent] = []
    gaps: list[str] = []


def check_history(history: CoordinationHistory) -> list[str]:
    """Runs all checks of this module and returns their findings."""
    return [
        *check_revision_order(history),
        *check_reads(history),
        *check_put_bases(history),
        *check_refused_values(history),
        *check_lock_exclusion(history),
        *check_watches(history),
        *check_linearizability(history),
    ]


def check_linearizability(history: CoordinationHistory) -> list[str]:
    """Checks that each key, number and lock is linearizable, by the times of its calls alone."""
    return linearizability.check(to_operations(history)).findings()


def to_operations(history: CoordinationHistory) -> list[Operation]:
    """Converts the calls for the linearizability checker; a lock counts as held until the end of its hold."""
    hold_ends = {(hold.name, hold.token): hold.end for hold in history.holds}
    return [_operation(call, hold_ends) for call in history.ops]


def _operation(recorded: CoordinationCall, hold_ends: dict[tuple[str, int], float]) -> Operation:
    kind: ObjectKind
    call: histories.OperationCall
    match recorded.kind:
        case "take":
            hold_end = hold_ends.get((recorded.name, recorded.revision), recorded.begun)
            kind, call = ObjectKind.LOCK, TakeLock(recorded.who, hold_end)
        case "number":
            kind, call = ObjectKind.NUMBER, DrawNumber()
        case "put":
            kind, call = ObjectKind.KEY, PutValue(recorded.value, recorded.base)
        case _:
            kind, call = ObjectKind.KEY, ReadObject()
    outcome = outcome_from_code(recorded.said)
    number = recorded.at if recorded.kind == "read" else recorded.revision
    value = recorded.value if recorded.kind == "read" else None
    ended = None if outcome is OperationOutcome.UNKNOWN else recorded.ended
    return Operation(kind, recorded.name, recorded.who, call, recorded.begun, ended, outcome, number, value)


def _successful_writes(history: CoordinationHistory) -> list[CoordinationCall]:
    return [call for call in history.ops if call.said == "ok" and call.kind in ("put", "number", "take")]


def _successful_puts(history: CoordinationHistory, name: str) -> list[CoordinationCall]:
    return sorted(
        (call for call in _successful_writes(history) if call.kind == "put" and call.name == name),
        key=lambda call: call.revision,
    )


def check_revision_order(history: CoordinationHistory) -> list[str]:
    """Checks that revisions are unique and that no call gets one below that of a call that ended before it began."""
    writes, findings = _successful_writes(history), []
    by_revision: dict[int, CoordinationCall] = {}
    for call in writes:
        if call.revision in by_revision:
            findings.append(
                f"revision {call.revision} was given twice: {by_revision[call.revision].kind} and {call.kind}"
            )
        by_revision[call.revision] = call
    by_end, newest, index = sorted(writes, key=lambda call: call.ended), 0, 0
    successful = [*writes, *(call for call in history.ops if call.kind == "read" and call.said == "ok")]
    for call in sorted(successful, key=lambda call: call.begun):
        while index < len(by_end) and by_end[index].ended < call.begun:
            newest, index = max(newest, by_end[index].revision), index + 1
        if call.revision < newest or call.kind != "read" and call.revision == newest:
            findings.append(
                f"{call.kind} {call.name} begun at {call.begun:.2f} got {call.revision}, {newest} had ended before"
            )
    return findings


def check_reads(history: CoordinationHistory) -> list[str]:
    """Checks that each read returns the last put of its key up to its revision, or an undecided put."""
    findings = []
    undecided = [call for call in history.ops if call.kind == "put" and call.said == "undecided"]
    for read in (call for call in history.ops if call.kind == "read" and call.said == "ok"):
        last = max(
            (put for put in _successful_puts(history, read.name) if put.revision <= read.revision),
            key=lambda put: put.revision,
            default=None,
        )
        if (
            last is not None
            and (read.at, read.value) == (last.revision, last.value)
            or last is None
            and read.value is None
        ):
            continue
        if last is not None and last.value is None and read.value is None:
            continue
        if any(
            put.name == read.name and put.value == read.value and put.begun < read.ended for put in undecided
        ) and read.at >= (last.revision if last else 0):
            continue
        if read.value is None and any(put.name == read.name and put.value is None for put in undecided):
            continue
        expected = (last.revision, last.value) if last else None
        findings.append(
            f"read of {read.name} at {read.begun:.2f} by {read.revision} shows {(read.at, read.value)}, want {expected}"
        )
    return findings


def check_put_bases(history: CoordinationHistory) -> list[str]:
    """Checks that no conditional put succeeded although its key was newer than its base."""
    findings = []
    for name in {call.name for call in history.ops}:
        previous_revision = 0
        for put in _successful_puts(history, name):
            if put.base is not None and previous_revision > put.base:
                findings.append(
                    f"put of {name} at {put.revision} on base {put.base} was taken over {previous_revision}"
                )
            previous_revision = put.revision
    return findings


def check_refused_values(history: CoordinationHistory) -> list[str]:
    """Checks that the value of a refused put appears nowhere; each value is written only once."""
    refused = {
        call.value
        for call in history.ops
        if call.kind == "put" and call.said not in ("ok", "undecided") and call.value is not None
    }
    seen = {event.value for event in history.events} | {call.value for call in history.ops if call.kind == "read"}
    return [f"value {value} was told refused and is there" for value in sorted(refused & seen)]


def check_lock_exclusion(history: CoordinationHistory) -> list[str]:
    """Checks that holds of a lock by different clients do not overlap and that their tokens increase."""
    findings: list[str] = []
    latest: dict[str, Any] = {}
    for hold in sorted(history.holds, key=lambda hold: hold.start):
        previous = latest.get(hold.name)
        if previous is not None and hold.start < previous.end and hold.who != previous.who:
            findings.append(
                f"{hold.who} holds {hold.name} from {hold.start:.2f} "
                f"while {previous.who} holds it until {previous.end:.2f}"
            )
        if previous is not None and hold.token <= previous.token:
            findings.append(f"token {hold.token} of {hold.name} after {previous.token}")
        if previous is None or hold.end > previous.end:
            latest[hold.name] = hold
    return findings


def check_watches(history: CoordinationHistory) -> list[str]:
    """Checks that each watcher receives every put once, in order and with its value, without compaction gaps."""
    findings = [f"a watcher was told compacted: {gap}" for gap in history.gaps]
    events_by_watcher: dict[str, list[WatchEvent]] = defaultdict(list)
    for event in history.events:
        events_by_watcher[event.watcher].append(event)
    puts = {call.revision: call for call in _successful_writes(history) if call.kind == "put"}
    for watcher, events in events_by_watcher.items():
        revisions = [event.revision for event in events]
        if revisions != sorted(set(revisions)):
            findings.append(f"{watcher} saw events twice or out of order")
        seen = set(revisions)
        findings += [
            f"{watcher} missed {revision}"
            for revision in puts
            if revisions[0] < revision < revisions[-1] and revision not in seen
        ]
        wrong = [
            event
            for event in events
            if event.revision in puts
            and (puts[event.revision].name, puts[event.revision].value) != (event.name, event.value)
        ]
        findings += [
            f"{watcher} saw {event.value} at {event.revision}, it was {puts[event.revision].value}" for event in wrong
        ]
    return findings
