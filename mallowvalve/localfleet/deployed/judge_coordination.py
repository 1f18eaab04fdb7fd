"""Judges locks, numbers, keys, watches and the configuration by the records of a soak."""

from __future__ import annotations

from collections import defaultdict
from itertools import combinations

from mallowvalve.localfleet.deployed.records import KeyWrite, LockHold, NumberDrawn, Records

HISTORY_S = 20.0
"""How long the events of a watch are kept."""

STATUS_OK = 200
STATUS_GONE = 410


def check_coordination(records: Records) -> list[str]:
    """Returns the findings on what the control plane answered, and on what was read back at the end."""
    return [
        *check_numbers(records.numbers),
        *check_reads(records),
        *check_values(records),
        *check_locks(records.holds),
        *check_watches(records),
        *check_final_state(records),
    ]


def check_numbers(numbers: list[NumberDrawn]) -> list[str]:
    """Numbers given out twice, or not above one that was given before the call."""
    found = []
    by_name: dict[str, list[NumberDrawn]] = defaultdict(list)
    for drawn in numbers:
        by_name[drawn.name].append(drawn)
    for name, rows in by_name.items():
        values = [row.value for row in rows]
        found += [f"ORDER: {name} gave {value} twice" for value in {v for v in values if values.count(v) > 1}]
        highest, ended = 0, sorted(rows, key=lambda row: row.ended)
        position = 0
        for row in sorted(rows, key=lambda row: row.begun):
            while position < len(ended) and ended[position].ended < row.begun:
                highest = max(highest, ended[position].value)
                position += 1
            if row.value <= highest:
                found.append(f"ORDER: {name} gave {row.value} after {highest}")
    return found


def check_reads(records: Records) -> list[str]:
    """Reads that returned a revision below that of a write acknowledged before they began."""
    return [
        f"STALE: {read.key} was read at {read.revision} after {write.revision} was acknowledged"
        for read in records.reads
        for write in records.writes
        if write.key == read.key and write.revision and write.ended < read.begun and read.revision < write.revision
    ]


def check_values(records: Records) -> list[str]:
    """Values that nobody wrote to their key, that stand under two revisions, or whose write was refused."""
    written: dict[tuple[str, str], KeyWrite] = {(write.key, write.value): write for write in records.writes}
    found = []
    revisions: dict[tuple[str, str], int] = {}
    for read in records.reads:
        if read.value is None:
            continue
        place = (read.key, read.value)
        write = written.get(place)
        if write is not None and write.revision == 0:
            found.append(f"REFUSED: {read.key} has the value of a refused write")
        if write is not None and write.revision and write.revision != read.revision:
            found.append(f"MIXED: {read.key} has {read.value} at {read.revision}, it was written at {write.revision}")
        if revisions.setdefault(place, read.revision) != read.revision:
            found.append(f"MIXED: {read.key} has {read.value} under two revisions")
    return found


def check_locks(holds: list[LockHold]) -> list[str]:
    """Two holders at one moment, the same fence twice, or a fence that is not above an earlier one."""
    found = []
    for one, other in combinations(sorted(holds, key=lambda hold: hold.begun), 2):
        if one.name != other.name:
            continue
        if one.holder != other.holder and other.begun < one.ended:
            found.append(f"ONE: {one.name} was held by {one.holder} and {other.holder}")
        if one.token == other.token and one.holder != other.holder:
            found.append(f"ONE: {one.name} gave the fence {one.token} to {one.holder} and {other.holder}")
        if one.begun < other.asked_at and other.token <= one.token and one.holder != other.holder:
            found.append(f"ONE: {one.name} gave the fence {other.token} after {one.token}")
    return found


def check_watches(records: Records) -> list[str]:
    """Watches whose events do not rise or skip an acknowledged write, and histories lost too early."""
    found = []
    for answer in records.watches:
        if answer.status == STATUS_GONE:
            if answer.age_s < HISTORY_S:
                found.append(f"LOST: {answer.watcher} got 410 for {answer.group} {answer.age_s:.1f} s old")
            continue
        revisions = [revision for _, revision, _ in answer.events]
        if revisions != sorted(set(revisions)):
            found.append(f"ORDER: the events of {answer.group} do not rise")
        if answer.after == 0:
            continue
        missed = [
            write.revision
            for write in records.writes
            if write.revision
            and write.key.startswith(answer.group)
            and answer.after < write.revision <= answer.revision
            and write.revision not in revisions
        ]
        found += [f"ORDER: a watch of {answer.group} skipped {revision}" for revision in missed]
    return found


def check_final_state(records: Records) -> list[str]:
    """What was acknowledged and is not there at the end, or could not be read."""
    final = records.final
    found = []
    acknowledged = max((change.version for change in records.changes if change.acknowledged_at), default=0)
    if final.item_version is None or final.item_version < acknowledged:
        found.append(f"CONFIG: version {acknowledged} was acknowledged, {final.item_version} is there at the end")
    for key, revision in final.keys.items():
        written = max((write.revision or 0 for write in records.writes if write.key == key), default=0)
        if revision is None or revision < written:
            found.append(f"LOST: {key} was written at {written}, {revision} is there at the end")
    for name, value in final.numbers.items():
        given = max((drawn.value for drawn in records.numbers if drawn.name == name), default=0)
        if value is None or value <= given:
            found.append(f"LOST: {name} gave {given}, and {value} at the end")
    for watcher, status in final.watches.items():
        if status != STATUS_OK:
            found.append(f"LOST: {watcher} could not resume its watch at the end: {status or 'no answer'}")
    for name, token in final.tokens.items():
        given = max((hold.token for hold in records.holds if hold.name == name), default=0)
        if token is None or token <= given:
            found.append(f"LOST: the lock {name} gave the fence {given}, and {token} at the end")
    return found
