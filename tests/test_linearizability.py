"""The checker of histories: planted breaches of each specification are found, correct concurrent histories pass."""

import random
from collections import Counter
from itertools import combinations, permutations
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verification import histories
from verification.histories import Amend, Draw, Extend, Free, Kind, Operation, Outcome, Put, Read, Take
from verification.linearizability import FOUND, UNDECIDED, UNREADABLE, Partition, check, main_check
from verification.specifications import SPECIFICATIONS

DONE, REFUSED, UNKNOWN = Outcome.DONE, Outcome.REFUSED, Outcome.UNKNOWN


def op(kind, call, begun, ended, number=0, value=None, outcome=DONE, name="x"):
    return Operation(kind, name, "c", call, begun, ended, outcome, number, value)


def lock(call, begun, ended, token=0, outcome=DONE):
    return op(Kind.LOCK, call, begun, ended, token, None, outcome, "l")


def draw(begun, ended, number, outcome=DONE):
    return op(Kind.NUMBER, Draw(), begun, ended, number, None, outcome, "n")


def put(begun, ended, value, revision=0, base=None, outcome=DONE):
    return op(Kind.KEY, Put(value, base), begun, ended, revision, None, outcome, "k")


def read(begun, ended, value, revision):
    return op(Kind.KEY, Read(), begun, ended, revision, value, DONE, "k")


def glance(begun, ended, revision):
    return op(Kind.KEY, Read(shows_value=False), begun, ended, revision, None, DONE, "k")


def amend(begun, ended, version, content, outcome=DONE):
    return op(Kind.ITEM, Amend(version, content), begun, ended, version, None, outcome, "i")


def look(begun, ended, version, content):
    return op(Kind.ITEM, Read(), begun, ended, version, content, DONE, "i")


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
    "an order that was overtaken": [amend(1, 2, 5, "b"), amend(3, 4, 4, "a"), look(5, 6, 5, "b")],
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
    "an item replaced under one version": [amend(1, 2, 5, "a"), amend(3, 4, 5, "b")],
    "an item replaced under a version already overtaken": [
        amend(1, 2, 5, "a"),
        amend(3, 4, 6, "c"),
        amend(5, 6, 5, "b"),
    ],
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


class Model:
    """A single-threaded service that answers at once; the time it answers at is what the histories are spread around."""

    def __init__(self, rng):
        self.rng, self.now, self.token, self.revision = rng, 0.0, 0, 0
        self.held, self.number = None, 0
        self.key, self.item, self.under = (None, 0), (0, None), {}

    def step(self, n):
        self.now += self.rng.choice((0.0, 0.25, 1.0))
        return self.rng.choice((self.take, self.free, self.draw, self.put, self.read, self.amend, self.look))(n)

    def take(self, n):
        who, until = self.rng.choice("ab"), self.now + self.rng.choice((0.5, 2.0))
        if self.held is not None and self.held[0] != who and self.held[2] > self.now:
            return lock(Take(who, until), self.now, self.now, outcome=REFUSED)
        if self.held is not None and self.held[0] == who and self.held[2] > self.now:
            until = max(until, self.held[2])
        self.token += self.rng.choice((1, 3))
        self.held = who, self.token, until
        return lock(Take(who, until), self.now, self.now, self.token)

    def free(self, n):
        if self.held is None:
            return self.draw(n)
        who, token, _ = self.held
        self.held = None
        return lock(Free(who, token), self.now, self.now)

    def draw(self, n):
        self.number += self.rng.choice((1, 2))
        return draw(self.now, self.now, self.number)

    def put(self, n):
        base = self.rng.choice((None, self.key[1], self.key[1] + 1))
        if base not in (None, self.key[1]):
            return put(self.now, self.now, f"v{n}", 0, base, REFUSED)
        self.revision += self.rng.choice((1, 2))
        value = self.rng.choice((f"v{n}", f"v{n}", None))
        self.key = value, self.revision if value is not None else 0
        return put(self.now, self.now, value, self.revision, base)

    def read(self, n):
        if self.rng.random() < 0.5:
            return glance(self.now, self.now, self.key[1])
        return read(self.now, self.now, *self.key)

    def amend(self, n):
        version, content = max(1, self.item[0] + self.rng.choice((-1, 0, 1, 2))), self.rng.choice("pq")
        if self.under.setdefault(version, content) != content:
            return amend(self.now, self.now, version, content, REFUSED)
        self.item = max(self.item, (version, content), key=lambda i: i[0])
        return amend(self.now, self.now, version, content)

    def look(self, n):
        return look(self.now, self.now, *self.item)


def spread(rng, o):
    """The same operation with a call before it took effect and an answer after, or none."""
    begun, ended = o.begun - rng.uniform(0, 1.0), o.ended + rng.uniform(0, 1.0)
    if o.outcome is DONE and not isinstance(o.call, Read) and rng.random() < 0.1:
        return msgspec.structs.replace(o, begun=begun, ended=None, outcome=UNKNOWN, number=0)
    return msgspec.structs.replace(o, begun=begun, ended=ended)


def concurrent(seed, size):
    rng = random.Random(seed)
    model = Model(rng)
    some = [spread(rng, model.step(n)) for n in range(size)]
    rng.shuffle(some)
    return some


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.integers(0, 1 << 32), st.integers(1, 60))
def test_sequential_executions_spread_in_time_pass(seed, size):
    assert check(concurrent(seed, size)).findings() == []


@settings(derandomize=True, max_examples=60, deadline=None)
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
