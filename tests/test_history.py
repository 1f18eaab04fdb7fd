"""Tests that the checks of coordination histories find each kind of violation."""

import pytest

from mallowvalve.localfleet.history import CoordinationCall, CoordinationHistory, LockHold, WatchEvent, check_history


def put(begun, ended, revision, value, base=None, said="ok", name="k"):
    return CoordinationCall("put", name, "u", begun, ended, said, revision, value, base)


def read(begun, ended, revision, value, at):
    return CoordinationCall("read", "k", "u", begun, ended, "ok", revision, value, None, at)


def correct_history() -> CoordinationHistory:
    return CoordinationHistory(
        [
            put(1, 2, 10, "a"),
            read(3, 4, 12, "a", 10),
            put(4, 5, 20, "b", 10),
            put(4, 6, 0, "c", 10, "conflict"),
            CoordinationCall("number", "n", "u", 6, 7, "ok", 30),
            CoordinationCall("take", "l", "u", 7, 8, "ok", 40),
            read(8, 9, 41, "b", 20),
            put(9, 12, 0, "maybe", None, "undecided"),
            read(13, 14, 60, "maybe", 50),
        ],
        [LockHold("l", "x", 8, 9, 40), LockHold("l", "y", 9, 10, 45)],
        [WatchEvent("w", 10, "k", "a"), WatchEvent("w", 20, "k", "b"), WatchEvent("w", 50, "k", "maybe")],
        [],
    )


VIOLATIONS = {
    "given twice": lambda history: history.ops.append(put(10, 11, 20, "z")),
    "had ended before": lambda history: history.ops.append(CoordinationCall("number", "n", "u", 20, 21, "ok", 15)),
    "read k begun": lambda history: history.ops.append(read(20, 21, 12, "a", 10)),
    "read of k": lambda history: history.ops.append(read(10, 11, 45, "a", 10)),
    "by 70 shows": lambda history: history.ops.append(read(20, 21, 70, "invented", 65)),
    "was taken over": lambda history: history.ops.append(put(20, 21, 80, "late", 10)),
    "told refused and is there": lambda history: history.events.append(WatchEvent("v", 70, "k", "c")),
    "while x holds it": lambda history: history.holds.append(LockHold("l", "z", 8.5, 8.9, 41)),
    "token 3": lambda history: history.holds.append(LockHold("l", "z", 20, 21, 3)),
    "missed 20": lambda history: history.events.pop(1),
    "out of order": lambda history: history.events.append(WatchEvent("w", 20, "k", "b")),
    "it was b": lambda history: history.events.append(WatchEvent("v", 20, "k", "x")),
    "compacted": lambda history: history.gaps.append("w since 3"),
}


def test_a_correct_history_has_no_findings():
    assert check_history(correct_history()) == []


@pytest.mark.parametrize("finding", VIOLATIONS)
def test_each_violation_is_found(finding):
    history = correct_history()
    VIOLATIONS[finding](history)
    assert any(finding in found for found in check_history(history)), check_history(history)
