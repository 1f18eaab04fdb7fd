import pytest

from mallowvalve.localfleet.history import CoordinationCall, CoordinationHistory, LockHold, WatchEvent, check_history


def put(begun, ended, revision, value, base=None, said="ok", name="k"):
    return CoordinationCall("put", name, "u", begun, ended, said, revision, value, base)


def read(begun, ended, revision, value, at):
    return CoordinationCall("read", "k", "u", begun, ended, "ok", revision, value, None, at)


def clean() -> CoordinationHistory:
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


BREACHES = {
    "given twice": lambda h: h.ops.append(put(10, 11, 20, "z")),
    "had ended before": lambda h: h.ops.append(CoordinationCall("number", "n", "u", 20, 21, "ok", 15)),
    "read k begun": lambda h: h.ops.append(read(20, 21, 12, "a", 10)),
    "read of k": lambda h: h.ops.append(read(10, 11, 45, "a", 10)),
    "by 70 shows": lambda h: h.ops.append(read(20, 21, 70, "invented", 65)),
    "was taken over": lambda h: h.ops.append(put(20, 21, 80, "late", 10)),
    "told refused and is there": lambda h: h.events.append(WatchEvent("v", 70, "k", "c")),
    "while x holds it": lambda h: h.holds.append(LockHold("l", "z", 8.5, 8.9, 41)),
    "token 3": lambda h: h.holds.append(LockHold("l", "z", 20, 21, 3)),
    "missed 20": lambda h: h.events.pop(1),
    "out of order": lambda h: h.events.append(WatchEvent("w", 20, "k", "b")),
    "it was b": lambda h: h.events.append(WatchEvent("v", 20, "k", "x")),
    "compacted": lambda h: h.gaps.append("w since 3"),
}


def test_a_clean_history_has_no_findings():
    assert check_history(clean()) == []


@pytest.mark.parametrize("finding", BREACHES)
def test_each_planted_breach_is_found(finding):
    h = clean()
    BREACHES[finding](h)
    assert any(finding in f for f in check_history(h)), check_history(h)
