"""The linearizability checker finds violations of each specification and passes correct concurrent histories."""

import random
from collections import Counter
from itertools import combinations, permutations
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import sim.history
from mallowvalve.localfleet import history
from tests import test_plainplay
from tests.concurrent import (
    DONE,
    REFUSED,
    UNKNOWN,
    amend,
    concurrent,
    draw,
    lock,
    make_operation,
    put,
    read,
    read_item,
    read_revision,
)
from tests.plainplay import check_linearizability, simulate
from verification import histories
from verification.histories import DrawNumber, ExtendLock, FreeLock, ObjectKind, PutValue, TakeLock
from verification.linearizability import EXIT_UNDECIDED, EXIT_UNREADABLE, EXIT_VIOLATION, Partition, check, check_file
from verification.specifications import SPECIFICATIONS

VALID_HISTORIES = {
    "a hold that expires": [lock(TakeLock("a", 5), 1, 2, 1), lock(TakeLock("b", 9), 3, 6, 2)],
    "a take that waits during its call for the hold to expire": [
        lock(TakeLock("a", 5), 1, 2, 1),
        lock(TakeLock("b", 9), 1.5, 5, 2),
    ],
    "a hold that is released": [
        lock(TakeLock("a", 9), 1, 2, 1),
        lock(FreeLock("a", 1), 3, 4),
        lock(TakeLock("b", 9), 3.5, 3.6, 2),
    ],
    "a release without an answer": [
        lock(TakeLock("a", 9), 1, 2, 1),
        lock(FreeLock("a", 1), 3, None, outcome=UNKNOWN),
        lock(TakeLock("b", 9), 5, 6, 2),
    ],
    "a hold taken again by its holder": [lock(TakeLock("a", 5), 1, 2, 1), lock(TakeLock("a", 7), 3, 4, 3)],
    "an extension by any token of the unbroken hold": [
        lock(TakeLock("a", 5), 1, 2, 1),
        lock(TakeLock("a", 7), 3, 4, 3),
        lock(ExtendLock("a", 1, 9), 4, 5),
    ],
    "a take without an answer that leaves a gap": [
        lock(TakeLock("a", 99), 1, None, outcome=UNKNOWN),
        lock(TakeLock("b", 9), 2, 3, 7),
    ],
    "a holder that uses the token of a take without an answer": [
        lock(TakeLock("a", 5), 1, 2, 1),
        lock(TakeLock("a", 9), 2, None, outcome=UNKNOWN),
        lock(FreeLock("a", 2), 3, 3.5),
        lock(TakeLock("b", 9), 4, 4.5, 3),
        lock(TakeLock("a", 20), 5, None, outcome=UNKNOWN),
        lock(ExtendLock("a", 4, 20), 10, 11),
    ],
    "numbers drawn concurrently": [draw(1, 4, 2), draw(2, 3, 1), draw(5, 6, 9)],
    "a put of unknown outcome that becomes visible late": [
        put(1, 2, "a", 1),
        put(2, None, "b", outcome=UNKNOWN),
        read(3, 4, "a", 1),
        read(5, 6, "b", 4),
    ],
    "a put of unknown outcome that never took effect": [put(1, None, "a", outcome=UNKNOWN), read(2, 3, None, 0)],
    "a put whose base is the revision of a put of unknown outcome": [
        put(1, None, "a", outcome=UNKNOWN),
        read_revision(2, 3, 5),
        put(4, 5, "b", 6, base=5),
        read_revision(6, 7, 6),
    ],
    "a put that was refused": [put(1, 2, "a", 1), put(3, 4, "b", 1, 0, REFUSED), read(5, 6, "a", 1)],
    "the same put confirmed again": [put(1, 2, "a", 1), put(3, 4, "a", 1), read(5, 6, "a", 1)],
    "a key removed and put again": [
        put(1, 2, "a", 1),
        put(3, 4, None, 2, base=1),
        read(5, 6, None, 0),
        put(7, 8, "b", 3, base=0),
        read(9, 10, "b", 3),
    ],
    "a removal of unknown outcome that only a base of 0 shows": [
        put(1, 2, "a", 1),
        put(3, None, None, outcome=UNKNOWN),
        put(4, 5, "b", 3, base=0),
    ],
    "an amendment that was superseded": [amend(1, 2, 5, "b"), amend(3, 4, 4, "a"), read_item(5, 6, 5, "b")],
    "an amendment under a used version, superseded by one of unknown outcome": [
        amend(1, 2, 5, "a"),
        amend(3, None, 6, "c", UNKNOWN),
        amend(4, 5, 5, "b"),
    ],
    "an item removed by a drop of unknown outcome": [
        amend(1, 2, 5, "a"),
        amend(3, None, 6, None, UNKNOWN),
        read_item(4, 5, 0, None),
    ],
    "an amendment confirmed twice": [amend(1, 2, 5, "b"), amend(3, 4, 5, "b"), read_item(5, 6, 5, "b")],
    "two concurrent amendments, one refused": [
        amend(1, 4, 5, "a", REFUSED),
        amend(1, 4, 5, "b"),
        read_item(5, 6, 5, "b"),
    ],
}

INVALID_HISTORIES = {
    "a stale read": [put(1, 2, "a", 1), put(3, 4, "b", 2), read(5, 6, "a", 1)],
    "a stale read of a revision": [put(1, 2, "a", 1), put(3, 4, "b", 2), read_revision(5, 6, 1)],
    "two readers that see two puts in different orders": [
        put(1, 9, "a", 1),
        put(1, 9, "b", 2),
        read(2, 3, "b", 2),
        read(4, 5, "a", 1),
    ],
    "a lost put": [put(1, 2, "a", 1), read(3, 4, None, 0)],
    "a put that overwrites a revision after its base": [
        put(1, 2, "a", 1),
        put(3, 4, "b", 2),
        put(5, 6, "c", 3, base=1),
    ],
    "a revision given twice": [put(1, 2, "a", 1), put(3, 4, "b", 1)],
    "a refused put that becomes visible": [put(1, 2, "a", 1), put(3, 4, "b", 0, 0, REFUSED), read(5, 6, "b", 2)],
    "a value that was never put": [put(1, 2, "a", 1), read(3, 4, "z", 2)],
    "a put of unknown outcome that is visible before its call": [
        read(1, 2, "b", 4),
        put(3, None, "b", outcome=UNKNOWN),
    ],
    "a put of unknown outcome that becomes visible and disappears": [
        put(1, 2, "a", 1),
        put(2, None, "b", outcome=UNKNOWN),
        read(3, 4, "b", 4),
        read(5, 6, "a", 1),
    ],
    "a number given twice": [draw(1, 2, 5), draw(1, 3, 5)],
    "a number that falls": [draw(1, 2, 5), draw(3, 4, 4)],
    "two holders": [lock(TakeLock("a", 5), 1, 2, 1), lock(TakeLock("b", 9), 3, 4, 2)],
    "two holders after a release with an older token": [
        lock(TakeLock("a", 9), 1, 2, 1),
        lock(TakeLock("a", 9), 2, 3, 2),
        lock(FreeLock("a", 1), 3, 4),
        lock(TakeLock("b", 12), 5, 6, 3),
    ],
    "two holders after an extension": [
        lock(TakeLock("a", 5), 1, 2, 1),
        lock(ExtendLock("a", 1, 9), 3, 4),
        lock(TakeLock("b", 9), 6, 7, 2),
    ],
    "a token used again": [lock(TakeLock("a", 3), 1, 2, 1), lock(TakeLock("b", 9), 4, 5, 1)],
    "an extension of a hold that another holder replaced": [
        lock(TakeLock("a", 3), 1, 2, 1),
        lock(TakeLock("b", 9), 4, 5, 2),
        lock(ExtendLock("a", 1, 12), 6, 7),
    ],
    "an extension of a take without an answer while another holds": [
        lock(TakeLock("b", 9), 1, 2, 1),
        lock(ExtendLock("a", 4, 20), 3, 4),
    ],
    "an item replaced under one version": [amend(1, 2, 5, "a"), amend(3, 4, 5, "b")],
    "an item replaced under one version before the superseding amendment is called": [
        amend(1, 2, 5, "a"),
        amend(5, 6, 5, "b"),
        amend(7, 8, 6, "c"),
    ],
    "an item replaced by a superseded amendment": [
        amend(1, 2, 5, "a"),
        amend(3, 4, 6, "c"),
        amend(5, 6, 5, "b"),
        read_item(7, 8, 5, "b"),
    ],
    "an item that disappears without a drop": [amend(1, 2, 5, "a"), read_item(3, 4, 0, None)],
    "an item that returns to an earlier version": [amend(1, 2, 5, "a"), amend(3, 4, 6, "b"), read_item(5, 6, 5, "a")],
    "a refused amendment that becomes visible": [
        amend(1, 2, 5, "a"),
        amend(3, 4, 6, "b", REFUSED),
        read_item(5, 6, 6, "b"),
    ],
}


@pytest.mark.parametrize("name", VALID_HISTORIES)
def test_a_valid_history_passes(name):
    report = check(VALID_HISTORIES[name])
    assert report.findings() == [] and report.partitions == 1 and report.operations == len(VALID_HISTORIES[name])


@pytest.mark.parametrize("name", INVALID_HISTORIES)
def test_an_invalid_partition_is_found_among_valid_ones(name):
    valid = [
        msgspec.structs.replace(operation, name=f"{operation.name}{number}")
        for number, history in enumerate(VALID_HISTORIES.values())
        for operation in history
    ]
    invalid = INVALID_HISTORIES[name]
    report = check(valid + invalid)
    assert [violation.partition for violation in report.violations] == [
        Partition(invalid[0].kind, invalid[0].name)
    ] and not report.undecided


def test_a_finding_names_the_shortest_prefix_and_the_blocked_operations():
    later = [put(20 + n, 20.5 + n, f"v{n}", 20 + n) for n in range(50)]
    (violation,) = check([*INVALID_HISTORIES["a stale read"], *later]).violations
    assert violation.prefix == 3 and violation.blocked == [read(5, 6, "a", 1)]
    assert "read" in str(violation) and "value='b'" in str(violation) and "v1" not in str(violation)


def test_an_exceeded_step_limit_is_undecided_and_not_a_pass():
    many = [put(0, 100, f"v{n}", n + 1) for n in range(12)] + [read(0, 100, "nobody's", 50)]
    report = check(many, steps=1000)
    assert report.undecided == [Partition(ObjectKind.KEY, "k")] and "undecided" in report.findings()[0]
    assert report.steps <= 1002 and not report.violations


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.integers(0, 1 << 32), st.integers(1, 60))
def test_sequential_executions_spread_in_time_pass(seed, size):
    assert check(concurrent(seed, size)).findings() == []


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.integers(0, 1 << 32))
def test_a_stale_read_is_found_in_any_history(seed):
    history = concurrent(seed, 40)
    end = 3 + max(operation.ended or operation.begun for operation in history)
    invalid = [put(end, end + 1, "old", 1000), put(end + 2, end + 3, "new", 1001), read(end + 4, end + 5, "old", 1000)]
    report = check(history + invalid)
    assert [violation.partition for violation in report.violations] == [Partition(ObjectKind.KEY, "k")]


def can_be_ordered(operations):
    """Applies the definition directly: tries every subset of the unknown operations in every order."""
    certain = [operation for operation in operations if operation.outcome is DONE]
    unknown = [operation for operation in operations if operation.outcome is UNKNOWN]
    specification = SPECIFICATIONS[operations[0].kind]
    for size in range(len(unknown) + 1):
        for effective in combinations(unknown, size):
            if any(is_legal(specification, order) for order in permutations([*certain, *effective])):
                return True
    return False


def is_legal(specification, order):
    state, now = specification.initial(), 0.0
    for operation in order:
        after = specification.step(state, operation, max(now, operation.begun))
        if after is None or after[1] > operation.latest:
            return False
        state, now = after
    return True


def random_small_history(seed):
    """Returns a short history of one object whose answers may be wrong."""
    rng = random.Random(seed)
    kind = rng.choice(list(ObjectKind))
    operations = [operation for operation in concurrent(rng.random(), 30) if operation.kind is kind][:6]
    operations = [
        msgspec.structs.replace(operation, number=max(0, operation.number + rng.choice((0, 0, 0, 0, -1, 1))))
        if operation.outcome is DONE
        else operation
        for operation in operations
    ]
    return [
        msgspec.structs.replace(operation, begun=operation.begun + 1, ended=operation.ended and operation.ended + 1)
        for operation in operations
    ]


def test_the_search_agrees_with_trying_every_order():
    counts = Counter()
    for seed in range(400):
        history = random_small_history(seed)
        if not history:
            continue
        report = check(history)
        expected = can_be_ordered(history)
        assert bool(report.violations) is not expected and not report.undecided, seed
        counts[history[0].kind, expected] += 1
    assert len(counts) == 2 * len(ObjectKind) and min(counts.values()) >= 5, counts


@pytest.mark.parametrize(
    "service_class, rule",
    [
        (test_plainplay.FreesWithAnyToken, "LINEAR lock"),
        (test_plainplay.ReusesToken, "LINEAR lock"),
        (test_plainplay.ExpiresEarly, "LINEAR lock"),
        (test_plainplay.CountsTokensPerLock, "LINEAR lock"),
        (test_plainplay.ForgetsWrites, "LINEAR key"),
        (test_plainplay.IgnoresBase, "LINEAR key"),
        (test_plainplay.RepeatsNumbers, "LINEAR number"),
    ],
)
def test_an_injected_fault_is_found_by_the_history_alone(service_class, rule):
    assert any(rule in check_linearizability(simulate(seed, 60_000, service_class)) for seed in range(200))


def test_the_command_checks_a_recorded_history(tmp_path: Path, capsys):
    path = tmp_path / "h.jsonl"
    histories.write(path, [operation for history in VALID_HISTORIES.values() for operation in history][:3])
    assert histories.load(path).is_ok()
    assert check_file(path) == EXIT_VIOLATION and "lock l" in capsys.readouterr().out
    histories.write(path, concurrent(5, 200))
    assert check_file(path) == 0 and "0 breached, 0 undecided" in capsys.readouterr().out


def test_an_invalid_history_file_is_refused_with_the_numbers_of_its_invalid_lines(tmp_path: Path, capsys):
    path = tmp_path / "h.jsonl"
    lines = [
        msgspec.json.encode(draw(1, 2, 1)),
        b"{",
        msgspec.json.encode(draw(3, 2, 2)),
        msgspec.json.encode(make_operation(ObjectKind.NUMBER, PutValue("a"), 1, 2)),
        msgspec.json.encode(draw(1, None, 1)),
    ]
    path.write_bytes(b"\n".join(lines))
    assert check_file(path) == EXIT_UNREADABLE
    errors = capsys.readouterr().err.splitlines()
    assert [line.split(":")[1] for line in errors] == ["2", "3", "4", "5"]


def test_the_exit_codes_of_the_command_are_distinct():
    assert len({0, EXIT_VIOLATION, EXIT_UNDECIDED, EXIT_UNREADABLE}) == 4


def test_the_simulator_checks_its_recorded_history():
    recorded = sim.history.RunHistory()
    place = recorded.recorder.record_call(ObjectKind.NUMBER, "n", "u", DrawNumber(), 1.0)
    recorded.recorder.record_answer(place, 2.0, DONE, 7)
    recorded.recorder.record_call(ObjectKind.NUMBER, "n", "u", DrawNumber(), 2.5)
    assert sim.history.check(recorded) == []
    place = recorded.recorder.record_call(ObjectKind.NUMBER, "n", "u", DrawNumber(), 3.0)
    recorded.recorder.record_answer(place, 4.0, DONE, 7)
    assert any("number n" in finding for finding in sim.history.check(recorded))


def test_the_trial_checks_its_history_by_call_times_too():
    """A value is read, replaced, and read again, while each read alone matches its revision."""
    ops = [
        history.CoordinationCall("put", "k", "u", 1, 20, "ok", 10, "a"),
        history.CoordinationCall("put", "k", "v", 1, 20, "ok", 20, "b"),
        history.CoordinationCall("read", "k", "w", 2, 3, "ok", 25, "b", None, 20),
        history.CoordinationCall("read", "k", "w", 4, 5, "ok", 25, "a", None, 10),
    ]
    recorded = history.CoordinationHistory(ops[:3], [], [], [])
    assert history.check_history(recorded) == []
    recorded.ops.append(ops[3])
    assert any(finding.startswith("key k") for finding in history.check_history(recorded))


def test_a_holder_in_a_trial_relies_on_its_lock_to_the_end_of_the_hold():
    ops = [
        history.CoordinationCall("take", "l", "u", 1, 2, "ok", 4),
        history.CoordinationCall("take", "l", "v", 3, 4, "ok", 9),
    ]
    recorded = history.CoordinationHistory(ops, [history.LockHold("l", "u", 2, 4.5, 4)], [], [])
    assert any(finding.startswith("lock l") for finding in history.check_history(recorded))
    recorded.holds[0].end = 3.5
    assert history.check_history(recorded) == []
