"""The checker of histories: planted breaches of each specification are found, correct concurrent histories pass."""

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
from tests.concurrent import DONE, REFUSED, UNKNOWN, amend, concurrent, draw, glance, lock, look, op, put, read
from tests.plainplay import check_linearizability, simulate
from verification import histories
from verification.histories import Draw, Extend, Free, Kind, Put, Take
from verification.linearizability import FOUND, UNDECIDED, UNREADABLE, Partition, check, main_check
from verification.specifications import SPECIFICATIONS

SOUND = {
    "a hold that lapses": [lock(Take("a", 5), 1, 2, 1), lock(Take("b", 9), 3, 6, 2)],
    "a take that waits for the lapse inside its call": [lock(Take("a", 5), 1, 2, 1), lock(Take("b", 9), 1.5, 5, 2)],
    "a hold that is freed": [lock(Take("a", 9), 1, 2, 1), lock(Free("a", 1), 3, 4), lock(Take("b", 9), 3.5, 3.6, 2)],
    "a free that got no answer": [
        lock(Take("a", 9), 1, 2, 1),
        lock(Free("a", 1), 3, None, outcome=UNKNOWN),
        lock(Take("b", 9), 5, 6, 2),
    ],
    "a hold taken again by its holder": [lock(Take("a", 5), 1, 2, 1), lock(Take("a", 7), 3, 4, 3)],
    "an extension by any token of the unbroken hold": [
        lock(Take("a", 5), 1, 2, 1),
        lock(Take("a", 7), 3, 4, 3),
        lock(Extend("a", 1, 9), 4, 5),
    ],
    "a take that got no answer and left a gap": [
        lock(Take("a", 99), 1, None, outcome=UNKNOWN),
        lock(Take("b", 9), 2, 3, 7),
    ],
    "a holder that names the token of a take without an answer": [
        lock(Take("a", 5), 1, 2, 1),
        lock(Take("a", 9), 2, None, outcome=UNKNOWN),
        lock(Free("a", 2), 3, 3.5),
        lock(Take("b", 9), 4, 4.5, 3),
        lock(Take("a", 20), 5, None, outcome=UNKNOWN),
        lock(Extend("a", 4, 20), 10, 11),
    ],
    "numbers that cross": [draw(1, 4, 2), draw(2, 3, 1), draw(5, 6, 9)],
    "a put of unknown outcome that shows up late": [
        put(1, 2, "a", 1),
        put(2, None, "b", outcome=UNKNOWN),
        read(3, 4, "a", 1),
        read(5, 6, "b", 4),
    ],
    "a put of unknown outcome that never was": [put(1, None, "a", outcome=UNKNOWN), read(2, 3, None, 0)],
    "a put on what an unknown one gave": [
        put(1, None, "a", outcome=UNKNOWN),
        glance(2, 3, 5),
        put(4, 5, "b", 6, base=5),
        glance(6, 7, 6),
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
    "an order that was overtaken": [amend(1, 2, 5, "b"), amend(3, 4, 4, "a"), look(5, 6, 5, "b")],
    "an order under a version that was held by another, overtaken by one of unknown outcome": [
        amend(1, 2, 5, "a"),
        amend(3, None, 6, "c", UNKNOWN),
        amend(4, 5, 5, "b"),
    ],
    "an item that a drop of unknown outcome took away": [
        amend(1, 2, 5, "a"),
        amend(3, None, 6, None, UNKNOWN),
        look(4, 5, 0, None),
    ],
    "one order confirmed twice": [amend(1, 2, 5, "b"), amend(3, 4, 5, "b"), look(5, 6, 5, "b")],
    "two orders that race, one refused": [
        amend(1, 4, 5, "a", REFUSED),
        amend(1, 4, 5, "b"),
        look(5, 6, 5, "b"),
    ],
}

BREACHES = {
    "a stale read": [put(1, 2, "a", 1), put(3, 4, "b", 2), read(5, 6, "a", 1)],
    "a stale read of a revision": [put(1, 2, "a", 1), put(3, 4, "b", 2), glance(5, 6, 1)],
    "two readers who see two puts in two orders": [
        put(1, 9, "a", 1),
        put(1, 9, "b", 2),
        read(2, 3, "b", 2),
        read(4, 5, "a", 1),
    ],
    "a lost put": [put(1, 2, "a", 1), read(3, 4, None, 0)],
    "a put over a later one than its base": [put(1, 2, "a", 1), put(3, 4, "b", 2), put(5, 6, "c", 3, base=1)],
    "a revision given twice": [put(1, 2, "a", 1), put(3, 4, "b", 1)],
    "a refused put that shows up": [put(1, 2, "a", 1), put(3, 4, "b", 0, 0, REFUSED), read(5, 6, "b", 2)],
    "a value nobody put": [put(1, 2, "a", 1), read(3, 4, "z", 2)],
    "a put of unknown outcome that shows up before its call": [
        read(1, 2, "b", 4),
        put(3, None, "b", outcome=UNKNOWN),
    ],
    "a put of unknown outcome that shows up and goes": [
        put(1, 2, "a", 1),
        put(2, None, "b", outcome=UNKNOWN),
        read(3, 4, "b", 4),
        read(5, 6, "a", 1),
    ],
    "a number given twice": [draw(1, 2, 5), draw(1, 3, 5)],
    "a number that falls": [draw(1, 2, 5), draw(3, 4, 4)],
    "two holders": [lock(Take("a", 5), 1, 2, 1), lock(Take("b", 9), 3, 4, 2)],
    "two holders after a free with an older token": [
        lock(Take("a", 9), 1, 2, 1),
        lock(Take("a", 9), 2, 3, 2),
        lock(Free("a", 1), 3, 4),
        lock(Take("b", 12), 5, 6, 3),
    ],
    "two holders after an extension": [
        lock(Take("a", 5), 1, 2, 1),
        lock(Extend("a", 1, 9), 3, 4),
        lock(Take("b", 9), 6, 7, 2),
    ],
    "a token used again": [lock(Take("a", 3), 1, 2, 1), lock(Take("b", 9), 4, 5, 1)],
    "an extension of a hold that another broke": [
        lock(Take("a", 3), 1, 2, 1),
        lock(Take("b", 9), 4, 5, 2),
        lock(Extend("a", 1, 12), 6, 7),
    ],
    "an extension of a take without an answer while another holds": [
        lock(Take("b", 9), 1, 2, 1),
        lock(Extend("a", 4, 20), 3, 4),
    ],
    "an item replaced under one version": [amend(1, 2, 5, "a"), amend(3, 4, 5, "b")],
    "an item replaced under one version before what overtakes it is called": [
        amend(1, 2, 5, "a"),
        amend(5, 6, 5, "b"),
        amend(7, 8, 6, "c"),
    ],
    "an item that an overtaken order replaced": [
        amend(1, 2, 5, "a"),
        amend(3, 4, 6, "c"),
        amend(5, 6, 5, "b"),
        look(7, 8, 5, "b"),
    ],
    "an item that is gone without a drop": [amend(1, 2, 5, "a"), look(3, 4, 0, None)],
    "an item that slips back": [amend(1, 2, 5, "a"), amend(3, 4, 6, "b"), look(5, 6, 5, "a")],
    "a refused order that shows up": [amend(1, 2, 5, "a"), amend(3, 4, 6, "b", REFUSED), look(5, 6, 6, "b")],
}


@pytest.mark.parametrize("name", SOUND)
def test_what_a_correct_system_may_answer_passes(name):
    report = check(SOUND[name])
    assert report.findings() == [] and report.partitions == 1 and report.operations == len(SOUND[name])


@pytest.mark.parametrize("name", BREACHES)
def test_a_planted_breach_is_found_beside_sound_partitions(name):
    sound = [msgspec.structs.replace(o, name=f"{o.name}{n}") for n, some in enumerate(SOUND.values()) for o in some]
    bad = BREACHES[name]
    report = check(sound + bad)
    assert [b.partition for b in report.breaches] == [Partition(bad[0].kind, bad[0].name)] and not report.undecided


def test_a_finding_names_the_shortest_prefix_and_what_fits_nowhere():
    more = [put(20 + n, 20.5 + n, f"v{n}", 20 + n) for n in range(50)]
    (breach,) = check([*BREACHES["a stale read"], *more]).breaches
    assert breach.prefix == 3 and breach.stuck == [read(5, 6, "a", 1)]
    assert "read" in str(breach) and "value='b'" in str(breach) and "v1" not in str(breach)


def test_steps_that_do_not_suffice_are_no_pass():
    many = [put(0, 100, f"v{n}", n + 1) for n in range(12)] + [read(0, 100, "nobody's", 50)]
    report = check(many, steps=1000)
    assert report.undecided == [Partition(Kind.KEY, "k")] and "undecided" in report.findings()[0]
    assert report.steps <= 1002 and not report.breaches


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.integers(0, 1 << 32), st.integers(1, 60))
def test_sequential_executions_spread_in_time_pass(seed, size):
    assert check(concurrent(seed, size)).findings() == []


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.integers(0, 1 << 32))
def test_a_read_of_what_was_replaced_before_it_began_is_found_in_any_history(seed):
    history = concurrent(seed, 40)
    end = 3 + max(o.ended or o.begun for o in history)
    bad = [put(end, end + 1, "old", 1000), put(end + 2, end + 3, "new", 1001), read(end + 4, end + 5, "old", 1000)]
    report = check(history + bad)
    assert [b.partition for b in report.breaches] == [Partition(Kind.KEY, "k")]


def ordered(operations):
    """The definition itself, tried out: every subset of the unknown operations, in every order."""
    certain = [o for o in operations if o.outcome is DONE]
    unknown = [o for o in operations if o.outcome is UNKNOWN]
    specification = SPECIFICATIONS[operations[0].kind]
    for n in range(len(unknown) + 1):
        for some in combinations(unknown, n):
            if any(legal(specification, order) for order in permutations([*certain, *some])):
                return True
    return False


def legal(specification, order):
    state, now = specification.initial(), 0.0
    for o in order:
        after = specification.step(state, o, max(now, o.begun))
        if after is None or after[1] > o.latest:
            return False
        state, now = after
    return True


def scrambled(seed):
    """A short history on one object whose answers may be wrong."""
    rng = random.Random(seed)
    kind = rng.choice(list(Kind))
    some = [o for o in concurrent(rng.random(), 30) if o.kind is kind][:6]
    some = [
        msgspec.structs.replace(o, number=max(0, o.number + rng.choice((0, 0, 0, 0, -1, 1))))
        if o.outcome is DONE
        else o
        for o in some
    ]
    return [msgspec.structs.replace(o, begun=o.begun + 1, ended=o.ended and o.ended + 1) for o in some]


def test_the_search_says_what_trying_every_order_says():
    said = Counter()
    for seed in range(400):
        history = scrambled(seed)
        if not history:
            continue
        report = check(history)
        want = ordered(history)
        assert bool(report.breaches) is not want and not report.undecided, seed
        said[history[0].kind, want] += 1
    assert len(said) == 2 * len(Kind) and min(said.values()) >= 5, said


@pytest.mark.parametrize(
    "make, rule",
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
def test_a_machine_with_a_planted_fault_is_found_by_its_history_alone(make, rule):
    assert any(rule in check_linearizability(simulate(seed, 60_000, make)) for seed in range(200))


def test_a_recorded_history_is_checked_by_the_command(tmp_path: Path, capsys):
    path = tmp_path / "h.jsonl"
    histories.write(path, [o for some in SOUND.values() for o in some][:3])
    assert histories.load(path).is_ok()
    assert main_check(path) == FOUND and "lock l" in capsys.readouterr().out
    histories.write(path, concurrent(5, 200))
    assert main_check(path) == 0 and "0 breached, 0 undecided" in capsys.readouterr().out


def test_a_file_that_is_not_a_history_is_refused_with_its_lines(tmp_path: Path, capsys):
    path = tmp_path / "h.jsonl"
    lines = [
        msgspec.json.encode(draw(1, 2, 1)),
        b"{",
        msgspec.json.encode(draw(3, 2, 2)),
        msgspec.json.encode(op(Kind.NUMBER, Put("a"), 1, 2)),
        msgspec.json.encode(draw(1, None, 1)),
    ]
    path.write_bytes(b"\n".join(lines))
    assert main_check(path) == UNREADABLE
    said = capsys.readouterr().err.splitlines()
    assert [line.split(":")[1] for line in said] == ["2", "3", "4", "5"]


def test_the_commands_codes_tell_a_breach_from_what_was_not_decided():
    assert len({0, FOUND, UNDECIDED, UNREADABLE}) == 4


def test_the_simulators_check_looks_at_its_recorded_history():
    h = sim.history.RunHistory()
    place = h.recorder.called(Kind.NUMBER, "n", "u", Draw(), 1.0)
    h.recorder.answered(place, 2.0, DONE, 7)
    h.recorder.called(Kind.NUMBER, "n", "u", Draw(), 2.5)
    assert sim.history.check(h) == []
    place = h.recorder.called(Kind.NUMBER, "n", "u", Draw(), 3.0)
    h.recorder.answered(place, 4.0, DONE, 7)
    assert any("number n" in f for f in sim.history.check(h))


def test_the_trials_check_looks_at_its_history_by_times_too():
    """A value that was read, gone, and read again: each read alone is as its revision says."""
    ops = [
        history.Op("put", "k", "u", 1, 20, "ok", 10, "a"),
        history.Op("put", "k", "v", 1, 20, "ok", 20, "b"),
        history.Op("read", "k", "w", 2, 3, "ok", 25, "b", None, 20),
        history.Op("read", "k", "w", 4, 5, "ok", 25, "a", None, 10),
    ]
    h = history.History(ops[:3], [], [], [])
    assert history.check(h) == []
    h.ops.append(ops[3])
    assert any(f.startswith("key k") for f in history.check(h))


def test_a_trials_lock_is_relied_on_to_the_end_of_its_hold():
    ops = [history.Op("take", "l", "u", 1, 2, "ok", 4), history.Op("take", "l", "v", 3, 4, "ok", 9)]
    h = history.History(ops, [history.Hold("l", "u", 2, 4.5, 4)], [], [])
    assert any(f.startswith("lock l") for f in history.check(h))
    h.holds[0].end = 3.5
    assert history.check(h) == []
