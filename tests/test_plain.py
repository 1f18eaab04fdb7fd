import random

import msgspec
import pytest

from mallowvalve.control.state import ReplicatedState, Tick, encode
from mallowvalve.coordination.plain import (
    HISTORY_MS,
    LEASE_SLACK_MS,
    Count,
    Extend,
    Free,
    KeyRevision,
    PlainCoordination,
    PlainResult,
    PlainSnapshot,
    Take,
    Write,
    group_of,
    split_snapshot,
)

OK = "ok"


@pytest.fixture
def state():
    return PlainCoordination()


def test_a_lock_has_one_holder_until_its_lease_expires(state):
    assert state.apply(Take("l", "a", 1000), 0) == PlainResult(OK, 1)
    assert state.apply(Take("l", "b", 1000), 1000) == PlainResult("held")
    assert state.apply(Extend("l", "a", 1, 500), 1000 + LEASE_SLACK_MS) == PlainResult("lost")
    assert state.apply(Take("l", "b", 1000), 1000 + LEASE_SLACK_MS) == PlainResult(OK, 2)
    assert state.apply(Take("m", "a", 1000), 1100) == PlainResult(OK, 3)


def test_an_extension_never_shortens_a_lease_and_needs_a_token_of_it(state):
    state.apply(Take("l", "a", 5000), 0)
    assert state.apply(Extend("l", "a", 1, 100), 10) == PlainResult(OK, 1)
    assert state.apply(Take("l", "b", 100), 4999) == PlainResult("held")
    assert state.apply(Extend("l", "a", 1, 5000), 4999) == PlainResult(OK, 1)
    assert state.apply(Take("l", "b", 100), 9999) == PlainResult("held")
    for invalid in (Extend("l", "a", 2, 9), Extend("l", "b", 1, 9), Extend("x", "a", 1, 9)):
        assert state.apply(invalid, 9999) == PlainResult("lost")


def test_a_late_release_does_not_end_a_newer_lease(state):
    state.apply(Take("l", "a", 1000), 0)
    assert state.apply(Take("l", "a", 1000), 100) == PlainResult(OK, 2)
    assert state.apply(Free("l", "a", 1), 200) == PlainResult(OK, 1)
    assert state.apply(Take("l", "b", 1000), 300) == PlainResult("held")
    state.apply(Free("l", "a", 2), 400)
    assert state.apply(Take("l", "b", 1000), 500) == PlainResult(OK, 3)
    state.apply(Free("l", "a", 2), 600)
    assert state.apply(Take("l", "c", 1000), 700) == PlainResult("held")


def test_a_take_repeated_after_a_lost_answer_leaves_both_tokens_valid_for_extending(state):
    state.apply(Take("l", "a", 1000), 0)
    state.apply(Take("l", "a", 1000), 500)
    assert state.apply(Extend("l", "a", 1, 1000), 600) == PlainResult(OK, 1)
    assert state.apply(Extend("l", "a", 2, 1000), 700) == PlainResult(OK, 2)
    state.apply(Free("l", "a", 2), 800)
    assert state.apply(Take("l", "a", 1000), 900) == PlainResult(OK, 3)
    assert state.apply(Extend("l", "a", 2, 1000), 1000) == PlainResult("lost")


def test_the_number_of_tokens_of_a_lease_is_bounded(state):
    for i in range(500):
        state.apply(Take("l", "a", 1000), i)
    assert len(state.locks["l"].tokens) == 64 and state.locks["l"].tokens[-1] == 500


def test_numbers_rise_per_name(state):
    assert [state.apply(Count(n), 0).number for n in "aabab"] == [1, 2, 1, 3, 2]


def test_each_group_has_its_own_revisions(state):
    names = ["g1.a", "g1.b", "g2.a", "g1.a.x", "g1", "g2.b"]
    assert [state.apply(Write(n, f"v{i}"), 0).number for i, n in enumerate(names)] == [1, 2, 1, 3, 1, 2]
    assert list(map(group_of, names)) == ["g1.", "g1.", "g2.", "g1.", "g1", "g2."]


def test_a_repeated_write_gets_its_first_revision_even_after_a_newer_write(state):
    assert state.apply(Write("g.a", "one"), 0) == PlainResult(OK, 1)
    assert state.apply(Write("g.a", "one"), 1) == PlainResult(OK, 1)
    assert state.apply(Write("g.a", "two", 1), 2) == PlainResult(OK, 2)
    assert state.apply(Write("g.a", "one"), 3) == PlainResult(OK, 1)
    assert state.apply(Write("g.a", "two", 1), 4) == PlainResult(OK, 2)
    assert state.keys["g.a"] == ("two", 2) and [e.value for e in state.events_since("g.", 0)[0]] == ["one", "two"]


def test_a_write_of_the_current_value_is_deduplicated_at_any_time(state):
    state.apply(Write("g.a", "one"), 0)
    assert state.apply(Write("g.a", "one", 7), 10 * HISTORY_MS) == PlainResult(OK, 1)


def test_a_write_with_base_0_needs_an_absent_key(state):
    assert state.apply(Write("g.a", "first", 0), 1) == PlainResult("ok", 1)
    assert state.apply(Write("g.a", "second", 0), 2) == PlainResult("conflict", 1)
    assert state.apply(Write("g.a", "third"), 3) == PlainResult("ok", 2)


@pytest.mark.parametrize("base", [0, 3, 99])
def test_a_rejected_write_stays_rejected(state, base):
    state.apply(Write("g.a", "one"), 0)
    state.apply(Write("g.a", "two"), 1)
    assert state.apply(Write("g.a", "mine", base), 2) == PlainResult("conflict", 2)
    state.apply(Write("g.a", "three"), 3)
    for repeated in (Write("g.a", "mine", base), Write("g.a", "mine", 3), Write("g.a", "mine")):
        assert state.apply(repeated, 4) == PlainResult("conflict", 3)
    assert state.keys["g.a"] == ("three", 3) and "mine" not in [e.value for e in state.events_since("g.", 0)[0]]


def test_a_conflict_has_the_revision_of_its_own_key(state):
    state.apply(Write("g.a", "one"), 0)
    assert state.apply(Write("g.b", "x", 1), 0) == PlainResult("conflict", 0)
    assert state.apply(Write("g.b", "y"), 0) == PlainResult(OK, 2)
    assert state.apply(Write("g.a", "two", 1), 0) == PlainResult(OK, 3)


def test_writes_of_long_values_are_deduplicated(state):
    values = ["x" * 65536, "x" * 65535 + "y"]
    assert [state.apply(Write("g.a", v), 0).number for v in (*values, *values)] == [1, 2, 1, 2]


def test_history_is_retained_for_its_time_and_reports_compaction(state):
    for second in range(10):
        state.apply(Write("g.a", str(second)), second * 1000)
    assert state.events_since("g.", 0)[1] == 10 and [e.revision for e in state.events_since("g.", 7)[0]] == [8, 9, 10]
    assert (
        state.events_since("g.", 10) == ([], 10)
        and state.events_since("g.", 99) == ([], 10)
        and state.events_since("h.", 3) == ([], 0)
    )
    state.expire(HISTORY_MS + 4500)
    assert state.events_since("g.", 4) is None
    assert [e.revision for e in state.events_since("g.", 5)[0]] == [6, 7, 8, 9, 10]
    state.expire(3 * HISTORY_MS)
    assert state.events_since("g.", 9) is None and state.events_since("g.", 10) == ([], 10)
    assert state.apply(Write("g.b", "new"), 3 * HISTORY_MS) == PlainResult(OK, 11)
    assert (
        state.events_since("g.", 10)[0] == [KeyRevision(11, 3 * HISTORY_MS, "g.b", "new")]
        and state.events_since("g.", 9) is None
    )


def test_history_is_bounded_by_its_size_across_groups(state):
    for i in range(600):
        state.apply(Write(f"g{i % 2}.a", str(i).rjust(65536)), 0)
    retained = [state.events_since(g, state.groups[g].compacted)[0] for g in ("g0.", "g1.")]
    assert 500 < sum(map(len, retained)) <= 512 and state.events_since("g0.", 0) is None
    assert all([e.revision for e in h] == list(range(301 - len(h), 301)) for h in retained)


def test_expired_leases_history_and_outcomes_are_dropped(state):
    for i in range(100):
        state.apply(Take(f"l{i}", "a", 10), 0)
        state.apply(Write(f"g{i}.a", "v", i), 0)
    assert state.has_leases()
    state.expire(HISTORY_MS + 1)
    assert not state.has_leases() and state.snapshot().outcomes == [] and state.snapshot().history == []


def test_the_replicated_state_applies_commands_and_ticks():
    state = ReplicatedState(1)
    outcome = state.apply(1, 50, encode(Take("l", "a", 100)))
    assert msgspec.msgpack.decode(outcome.body, type=PlainResult) == PlainResult(OK, 1) and state.plain.has_leases()
    state.apply(2, 500, encode(Tick()))
    assert not state.plain.has_leases()


@pytest.mark.parametrize("gap_ms", [HISTORY_MS - 1, HISTORY_MS, HISTORY_MS + 1, HISTORY_MS + 900])
def test_replicas_that_swept_at_different_times_agree_on_every_write(gap_ms):
    """One replica swept at the command before, one is loaded from a snapshot each time, one expires at each entry."""
    swept, loaded, ticked = PlainCoordination(), PlainCoordination(), PlainCoordination()
    entries = [
        (500, Write("g.a", "old")),
        (500, Write("g.a", "new")),
        (500 + gap_ms - 200, Count("n")),
        (500 + gap_ms, Write("g.a", "old")),
    ]
    for now_ms, command in entries:
        ticked.expire(now_ms)
        loaded, previous = PlainCoordination(), loaded
        loaded.load_snapshot(previous.snapshot())
        assert len({replica.apply(command, now_ms) for replica in (swept, loaded, ticked)}) == 1
    assert swept.keys == loaded.keys == ticked.keys and (swept.revision("g.") == 3) is (gap_ms > HISTORY_MS)


def random_entries(seed: int, count: int):
    rng, now_ms = random.Random(seed), 0
    for step in range(count):
        now_ms += rng.choice((0, 1, 20, 400, 3000))
        name, holder = f"g{rng.randrange(2)}.{rng.randrange(3)}", f"h{rng.randrange(3)}"
        yield (
            now_ms,
            rng.choice(
                (
                    Take(name, holder, rng.choice((50, 900))),
                    Extend(name, holder, rng.randrange(1, 9), 300),
                    Free(name, holder, rng.randrange(1, 9)),
                    Count(name),
                    Write(name, f"v{rng.randrange(step + 1)}", rng.choice((0, 0, 1, 5))),
                )
            ),
        )


def same_state(a: PlainCoordination, b: PlainCoordination, now_ms: int) -> bool:
    a.expire(now_ms)
    b.expire(now_ms)
    return a.snapshot() == b.snapshot() and all(
        a.events_since(g, n) == b.events_since(g, n) for g in a.groups for n in range(a.revision(g) + 1)
    )


@pytest.mark.parametrize("seed", range(20))
def test_a_state_loaded_from_a_snapshot_continues_as_the_original(seed):
    entries = list(random_entries(seed, 300))
    cut = random.Random(seed).randrange(300)
    original = PlainCoordination()
    for now_ms, command in entries[:cut]:
        original.apply(command, now_ms)
    snapshot = original.snapshot()
    encoded = msgspec.msgpack.encode(snapshot)
    from_whole, from_parts = PlainCoordination(), PlainCoordination()
    from_whole.load_snapshot(msgspec.msgpack.decode(encoded, type=PlainSnapshot))
    for part in split_snapshot(snapshot, rows=7):
        from_parts.load_snapshot(msgspec.msgpack.decode(msgspec.msgpack.encode(part), type=PlainSnapshot))
    for now_ms, command in entries[cut:]:
        result = original.apply(command, now_ms)
        assert result == from_whole.apply(command, now_ms) == from_parts.apply(command, now_ms)
    assert same_state(original, from_whole, entries[-1][0]) and same_state(original, from_parts, entries[-1][0])
    assert msgspec.msgpack.encode(snapshot) == encoded
