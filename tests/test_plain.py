import random

import msgspec
import pytest

from mallowvalve.control.state import ReplicatedState, Tick, encode
from mallowvalve.coordination.plain import (
    HISTORY_MS,
    SLACK_MS,
    Count,
    Extend,
    Free,
    Plain,
    PlainSnapshot,
    Put,
    Take,
    Word,
    Write,
    group_of,
    parts,
)

OK = "ok"


@pytest.fixture
def p():
    return Plain()


def test_a_lock_goes_to_one_holder_and_to_the_next_when_it_lapses(p):
    assert p.apply(Take("l", "a", 1000), 0) == Word(OK, 1)
    assert p.apply(Take("l", "b", 1000), 1000) == Word("held")
    assert p.apply(Extend("l", "a", 1, 500), 1000 + SLACK_MS) == Word("lost")
    assert p.apply(Take("l", "b", 1000), 1000 + SLACK_MS) == Word(OK, 2)
    assert p.apply(Take("m", "a", 1000), 1100) == Word(OK, 3)


def test_a_renewal_never_shortens_and_needs_its_token(p):
    p.apply(Take("l", "a", 5000), 0)
    assert p.apply(Extend("l", "a", 1, 100), 10) == Word(OK, 1)
    assert p.apply(Take("l", "b", 100), 4999) == Word("held")
    assert p.apply(Extend("l", "a", 1, 5000), 4999) == Word(OK, 1)
    assert p.apply(Take("l", "b", 100), 9999) == Word("held")
    for wrong in (Extend("l", "a", 2, 9), Extend("l", "b", 1, 9), Extend("x", "a", 1, 9)):
        assert p.apply(wrong, 9999) == Word("lost")


def test_a_late_free_does_not_end_the_hold_taken_after_it(p):
    p.apply(Take("l", "a", 1000), 0)
    assert p.apply(Take("l", "a", 1000), 100) == Word(OK, 2)
    assert p.apply(Free("l", "a", 1), 200) == Word(OK, 1)
    assert p.apply(Take("l", "b", 1000), 300) == Word("held")
    p.apply(Free("l", "a", 2), 400)
    assert p.apply(Take("l", "b", 1000), 500) == Word(OK, 3)
    p.apply(Free("l", "a", 2), 600)
    assert p.apply(Take("l", "c", 1000), 700) == Word("held")


def test_a_take_whose_answer_was_lost_is_taken_again_and_either_token_extends(p):
    p.apply(Take("l", "a", 1000), 0)
    p.apply(Take("l", "a", 1000), 500)
    assert p.apply(Extend("l", "a", 1, 1000), 600) == Word(OK, 1)
    assert p.apply(Extend("l", "a", 2, 1000), 700) == Word(OK, 2)
    p.apply(Free("l", "a", 2), 800)
    assert p.apply(Take("l", "a", 1000), 900) == Word(OK, 3)
    assert p.apply(Extend("l", "a", 2, 1000), 1000) == Word("lost")


def test_a_hold_taken_again_without_end_keeps_few_tokens(p):
    for i in range(500):
        p.apply(Take("l", "a", 1000), i)
    assert len(p.locks["l"].tokens) == 64 and p.locks["l"].tokens[-1] == 500


def test_numbers_rise_by_name(p):
    assert [p.apply(Count(n), 0).number for n in "aabab"] == [1, 2, 1, 3, 2]


def test_groups_count_their_own_revisions(p):
    names = ["g1.a", "g1.b", "g2.a", "g1.a.x", "g1", "g2.b"]
    assert [p.apply(Write(n, f"v{i}"), 0).number for i, n in enumerate(names)] == [1, 2, 1, 3, 1, 2]
    assert list(map(group_of, names)) == ["g1.", "g1.", "g2.", "g1.", "g1", "g2."]


def test_a_put_that_arrives_again_gets_its_first_revision_even_after_a_newer_one(p):
    assert p.apply(Write("g.a", "one"), 0) == Word(OK, 1)
    assert p.apply(Write("g.a", "one"), 1) == Word(OK, 1)
    assert p.apply(Write("g.a", "two", 1), 2) == Word(OK, 2)
    assert p.apply(Write("g.a", "one"), 3) == Word(OK, 1)
    assert p.apply(Write("g.a", "two", 1), 4) == Word(OK, 2)
    assert p.cells["g.a"] == ("two", 2) and [e.value for e in p.since("g.", 0)[0]] == ["one", "two"]


def test_a_present_value_is_known_for_ever(p):
    p.apply(Write("g.a", "one"), 0)
    assert p.apply(Write("g.a", "one", 7), 10 * HISTORY_MS) == Word(OK, 1)


def test_a_put_on_revision_0_wants_no_cell_there(p):
    assert p.apply(Write("g.a", "first", 0), 1) == Word("ok", 1)
    assert p.apply(Write("g.a", "second", 0), 2) == Word("conflict", 1)
    assert p.apply(Write("g.a", "third"), 3) == Word("ok", 2)


@pytest.mark.parametrize("base", [0, 3, 99])
def test_a_refused_put_stays_refused(p, base):
    p.apply(Write("g.a", "one"), 0)
    p.apply(Write("g.a", "two"), 1)
    assert p.apply(Write("g.a", "mine", base), 2) == Word("conflict", 2)
    p.apply(Write("g.a", "three"), 3)
    for again in (Write("g.a", "mine", base), Write("g.a", "mine", 3), Write("g.a", "mine")):
        assert p.apply(again, 4) == Word("conflict", 3)
    assert p.cells["g.a"] == ("three", 3) and "mine" not in [e.value for e in p.since("g.", 0)[0]]


def test_a_conflict_names_no_revision_of_another_key(p):
    p.apply(Write("g.a", "one"), 0)
    assert p.apply(Write("g.b", "x", 1), 0) == Word("conflict", 0)
    assert p.apply(Write("g.b", "y"), 0) == Word(OK, 2)
    assert p.apply(Write("g.a", "two", 1), 0) == Word(OK, 3)


def test_long_values_are_known_again_too(p):
    long = ["x" * 65536, "x" * 65535 + "y"]
    assert [p.apply(Write("g.a", v), 0).number for v in (*long, *long)] == [1, 2, 1, 2]


def test_history_holds_a_minute_and_says_when_it_holds_no_more(p):
    for i in range(10):
        p.apply(Write("g.a", str(i)), i * 1000)
    assert p.since("g.", 0)[1] == 10 and [e.revision for e in p.since("g.", 7)[0]] == [8, 9, 10]
    assert p.since("g.", 10) == ([], 10) and p.since("g.", 99) == ([], 10) and p.since("h.", 3) == ([], 0)
    p.lapse(HISTORY_MS + 4500)
    assert p.since("g.", 4) is None and [e.revision for e in p.since("g.", 5)[0]] == [6, 7, 8, 9, 10]
    p.lapse(3 * HISTORY_MS)
    assert p.since("g.", 9) is None and p.since("g.", 10) == ([], 10)
    assert p.apply(Write("g.b", "new"), 3 * HISTORY_MS) == Word(OK, 11)
    assert p.since("g.", 10)[0] == [Put(11, 3 * HISTORY_MS, "g.b", "new")] and p.since("g.", 9) is None


def test_history_is_bounded_by_its_bytes_across_groups(p):
    for i in range(600):
        p.apply(Write(f"g{i % 2}.a", str(i).rjust(65536)), 0)
    held = [p.since(g, p.groups[g].compacted)[0] for g in ("g0.", "g1.")]
    assert 500 < sum(map(len, held)) <= 512 and p.since("g0.", 0) is None
    assert all([e.revision for e in h] == list(range(301 - len(h), 301)) for h in held)


def test_what_ran_out_is_forgotten(p):
    for i in range(100):
        p.apply(Take(f"l{i}", "a", 10), 0)
        p.apply(Write(f"g{i}.a", "v", i), 0)
    assert p.restless()
    p.lapse(HISTORY_MS + 1)
    assert not p.restless() and p.snapshot().kept == [] and p.snapshot().history == []


def test_the_state_routes_commands_and_ticks():
    s = ReplicatedState(1)
    o = s.apply(1, 50, encode(Take("l", "a", 100)))
    assert msgspec.msgpack.decode(o.body, type=Word) == Word(OK, 1) and s.plain.restless()
    s.apply(2, 500, encode(Tick()))
    assert not s.plain.restless()


@pytest.mark.parametrize("gap", [HISTORY_MS - 1, HISTORY_MS, HISTORY_MS + 1, HISTORY_MS + 900])
def test_replicas_that_swept_at_different_times_agree_on_every_put(gap):
    """One swept just before, one was made from a snapshot, one had ticks all along."""
    a, b, c = Plain(), Plain(), Plain()
    lines = [
        (500, Write("g.a", "old")),
        (500, Write("g.a", "new")),
        (500 + gap - 200, Count("n")),
        (500 + gap, Write("g.a", "old")),
    ]
    for at, line in lines:
        c.lapse(at)
        b, was = Plain(), b
        b.adopt(was.snapshot())
        assert len({p.apply(line, at) for p in (a, b, c)}) == 1
    assert a.cells == b.cells == c.cells and (a.revision("g.") == 3) is (gap > HISTORY_MS)


def history(seed: int, n: int):
    r, at = random.Random(seed), 0
    for i in range(n):
        at += r.choice((0, 1, 20, 400, 3000))
        name, holder = f"g{r.randrange(2)}.{r.randrange(3)}", f"h{r.randrange(3)}"
        yield (
            at,
            r.choice(
                (
                    Take(name, holder, r.choice((50, 900))),
                    Extend(name, holder, r.randrange(1, 9), 300),
                    Free(name, holder, r.randrange(1, 9)),
                    Count(name),
                    Write(name, f"v{r.randrange(i + 1)}", r.choice((0, 0, 1, 5))),
                )
            ),
        )


def same(a: Plain, b: Plain, clock: int) -> bool:
    a.lapse(clock)
    b.lapse(clock)
    return a.snapshot() == b.snapshot() and all(
        a.since(g, n) == b.since(g, n) for g in a.groups for n in range(a.revision(g) + 1)
    )


@pytest.mark.parametrize("seed", range(20))
def test_a_snapshot_taken_anywhere_goes_on_as_the_original_does(seed):
    lines = list(history(seed, 300))
    cut = random.Random(seed).randrange(300)
    whole = Plain()
    for at, c in lines[:cut]:
        whole.apply(c, at)
    pic = whole.snapshot()
    wire = msgspec.msgpack.encode(pic)
    one, many = Plain(), Plain()
    one.adopt(msgspec.msgpack.decode(wire, type=PlainSnapshot))
    for part in parts(pic, rows=7):
        many.adopt(msgspec.msgpack.decode(msgspec.msgpack.encode(part), type=PlainSnapshot))
    for at, c in lines[cut:]:
        assert whole.apply(c, at) == one.apply(c, at) == many.apply(c, at)
    assert same(whole, one, lines[-1][0]) and same(whole, many, lines[-1][0])
    assert msgspec.msgpack.encode(pic) == wire
