"""The checks of sim/history.py: silent on a valid run, and each finds the fault it is for."""

import pytest

from sim.history import RunHistory, check


def valid_run() -> RunHistory:
    run = RunHistory()
    run.ran = [(1.0, "k1", 1), (2.0, "k2", 2)]
    run.told = [(1.1, "k1", 1, "done"), (1.5, "k2", 1, "not-run"), (2.1, "k2", 2, "done")]
    run.changes = [(1.0, 2.0, 10, b"a"), (3.0, 4.0, 20, b"b")]
    run.admitted = [(2.5, "p", 10, None), (7.5, "p", 20, None)]
    run.reads = [(4.5, 4.6, 20, b"b")]
    run.holds = [[1.0, 2.0, 5, "x"], [2.0, 3.0, 6, "y"]]
    run.numbers = [(1.0, 1.1, 3), (1.2, 1.3, 4)]
    run.puts = [(1.0, 1.1, 7, "a"), (1.2, 1.3, 8, "b")]
    run.watched = [(1.5, "w", 7, "a"), (1.6, "w", 8, "b")]
    return run


FAULTS = {
    "ran 2 times": lambda run: run.ran.append((3.0, "k1", 2)),
    "told not-run": lambda run: run.ran.append((1.4, "k3", 1)) or run.told.append((1.5, "k3", 1, "not-run")),
    "ran at 9.00 by try 1": lambda run: run.ran.append((9.0, "k4", 1)) or run.told.append((1.5, "k4", 1, "not-run")),
    "never ran": lambda run: run.told.append((1.0, "k5", 1, "done")),
    "was acknowledged over": lambda run: run.admitted.append((7.6, "q", 10, None)),
    "slips from": lambda run: run.admitted.append((7.7, "p", 19, None)),
    "was acknowledged before": lambda run: run.reads.append((4.5, 4.6, 10, b"a")),
    "another configuration": lambda run: run.reads.append((4.5, 4.6, 20, b"c")),
    "given twice": lambda run: run.numbers.append((2.0, 2.1, 4)),
    "revision 20 was given twice": lambda run: run.changes.append((5.0, 6.0, 20, b"z")),
    "while x holds": lambda run: run.holds.append([1.5, 2.5, 7, "z"]),
    "token": lambda run: run.holds.append([3.5, 4.0, 2, "z"]),
    "after 4 was given": lambda run: run.numbers.append((5.0, 5.1, 2)),
    "missed": lambda run: run.watched.pop(0),
    "out of order": lambda run: run.watched.append((1.7, "w", 7, "a")),
}


def test_a_clean_history_has_no_findings():
    assert check(valid_run()) == []


@pytest.mark.parametrize("finding", FAULTS)
def test_each_checker_finds_its_planted_breach(finding):
    run = valid_run()
    FAULTS[finding](run)
    assert any(finding in f for f in check(run)), check(run)
