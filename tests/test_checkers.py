import pytest

from sim.history import RunHistory, check


def clean() -> RunHistory:
    h = RunHistory()
    h.ran = [(1.0, "k1", 1), (2.0, "k2", 2)]
    h.told = [(1.1, "k1", 1, "done"), (1.5, "k2", 1, "not-run"), (2.1, "k2", 2, "done")]
    h.changes = [(1.0, 2.0, 10, b"a"), (3.0, 4.0, 20, b"b")]
    h.admitted = [(2.5, "p", 10, None), (7.5, "p", 20, None)]
    h.reads = [(4.5, 4.6, 20, b"b")]
    h.holds = [[1.0, 2.0, 5, "x"], [2.0, 3.0, 6, "y"]]
    h.numbers = [(1.0, 1.1, 3), (1.2, 1.3, 4)]
    h.puts = [(1.0, 1.1, 7, "a"), (1.2, 1.3, 8, "b")]
    h.watched = [(1.5, "w", 7, "a"), (1.6, "w", 8, "b")]
    return h


BREACHES = {
    "ran 2 times": lambda h: h.ran.append((3.0, "k1", 2)),
    "told not-run": lambda h: h.ran.append((1.4, "k3", 1)) or h.told.append((1.5, "k3", 1, "not-run")),
    "ran at 9.00 by try 1": lambda h: h.ran.append((9.0, "k4", 1)) or h.told.append((1.5, "k4", 1, "not-run")),
    "never ran": lambda h: h.told.append((1.0, "k5", 1, "done")),
    "was acknowledged over": lambda h: h.admitted.append((7.6, "q", 10, None)),
    "slips from": lambda h: h.admitted.append((7.7, "p", 19, None)),
    "was acknowledged before": lambda h: h.reads.append((4.5, 4.6, 10, b"a")),
    "another configuration": lambda h: h.reads.append((4.5, 4.6, 20, b"c")),
    "given twice": lambda h: h.numbers.append((2.0, 2.1, 4)),
    "revision 20 was given twice": lambda h: h.changes.append((5.0, 6.0, 20, b"z")),
    "while x holds": lambda h: h.holds.append([1.5, 2.5, 7, "z"]),
    "token": lambda h: h.holds.append([3.5, 4.0, 2, "z"]),
    "after 4 was given": lambda h: h.numbers.append((5.0, 5.1, 2)),
    "missed": lambda h: h.watched.pop(0),
    "out of order": lambda h: h.watched.append((1.7, "w", 7, "a")),
}


def test_a_clean_history_has_no_findings():
    assert check(clean()) == []


@pytest.mark.parametrize("finding", BREACHES)
def test_each_checker_finds_its_planted_breach(finding):
    h = clean()
    BREACHES[finding](h)
    assert any(finding in f for f in check(h)), check(h)
