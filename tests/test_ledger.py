import random

import pytest

from mallowvalve.control.snapshot import dump, load
from mallowvalve.control.state import ReplicatedState
from mallowvalve.ledger import ledger
from mallowvalve.ledger.ledger import KEEP_MS, Claim, Done, Forfeit, Ledger, Lose, Release

A, B = Claim("k", "d", "p1", "n1"), Claim("k", "d", "p2", "n2", 1)


def play(*commands, at=0):
    x = Ledger()
    return x, [x.apply(c, at + i).state for i, c in enumerate(commands)]


def copy(x, y):
    s = ReplicatedState(1)
    s.ledger = x
    s = load(dump(s))
    y.rows, y.kept, y._bytes = s.ledger.rows, s.ledger.kept, s.ledger._bytes


@pytest.mark.parametrize(
    "commands,states",
    [
        ([A, A], ["granted", "granted"]),
        ([A, B], ["granted", "open"]),
        ([A, Done("k", "n1", 200, "t", b"x"), B], ["granted", "done", "done"]),
        ([A, Release("k", "n1"), B, Release("k", "n1")], ["granted", "released", "granted", "gone"]),
        ([A, Release("k", "n1"), A], ["granted", "released", "released"]),
        ([A, Forfeit("k", "n1"), B], ["granted", "lost", "lost"]),
        ([A, Lose("p1"), B, Release("k", "n1")], ["granted", "ok", "lost", "lost"]),
        ([A, Lose("p1"), Done("k", "n1", 200, "t", b"x"), B], ["granted", "ok", "done", "done"]),
        (
            [A, Done("k", "n1", 200, "t", b"x"), Release("k", "n1"), Forfeit("k", "n1")],
            ["granted", "done", "done", "done"],
        ),
        ([A, Claim("k", "other", "p2", "n2")], ["granted", "conflict"]),
        ([A, Release("k", "n2"), Done("k", "n2", 200, "t", b"")], ["granted", "gone", "gone"]),
        ([A, Release("k", "n1"), Claim("k", "other", "p2", "n2")], ["granted", "released", "conflict"]),
    ],
)
def test_traces(commands, states):
    assert play(*commands)[1] == states


def test_a_claim_asked_before_a_release_is_not_granted_after_it():
    x = Ledger()
    early = Claim("k", "d", "p2", "n2", 5)
    assert x.apply(A, 0, 6).state == "granted" and x.apply(Release("k", "n1"), 1, 7).state == "released"
    assert x.apply(early, 2, 8).state == "released"
    assert x.apply(Claim("k", "d", "p3", "n3", 7), 3, 9).state == "granted"


def test_a_release_that_overtakes_its_own_claim_keeps_it_from_being_granted():
    x = Ledger()
    assert x.apply(Release("k", "n1"), 0, 1).state == "released"
    assert x.apply(A, 1, 2).state == "released"
    assert x.apply(Claim("k", "d", "p2", "n2", 1), 2, 3).state == "granted"


def test_keys_are_kept_for_their_stated_time():
    x = Ledger()
    x.apply(A, 0)
    x.apply(Done("k", "n1", 200, "t", b"x"), 1)
    assert x.apply(B, KEEP_MS - 1).state == "done"
    assert x.apply(B, KEEP_MS).state == "granted"


def test_a_snapshot_holds_everything():
    x, _ = play(A, Done("k", "n1", 201, "t", b"x"), Claim("j", "d", "p", "n"))
    y = Ledger()
    copy(x, y)
    assert y.apply(B, 5).body == b"x" and y.apply(Claim("j", "d", "q", "m"), 6).state == "open"


def test_stored_answers_have_a_bound_and_the_oldest_go_first_but_never_the_fact(monkeypatch):
    monkeypatch.setattr(ledger, "KEEP_BYTES", 1000)
    x = Ledger()
    for i in range(20):
        x.apply(Claim(f"k{i}", "d", "p", "n"), i)
        x.apply(Done(f"k{i}", "n", 200, "t", b"x" * 100), i)
    states = [x.look(f"k{i}", "d") for i in range(20)]
    assert {v.state for v in states} == {"done"}
    assert [v.body is None for v in states] == [True] * 10 + [False] * 10


def test_a_replica_that_came_by_snapshot_forgets_the_same_answers(monkeypatch):
    monkeypatch.setattr(ledger, "KEEP_BYTES", 350)
    x, y = Ledger(), Ledger()
    for i in range(3):
        x.apply(Claim(f"k{i}", "d", "p", "n"), 0)
    for i in (2, 0, 1):
        x.apply(Done(f"k{i}", "n", 200, "t", b"x" * 100), 1)
    copy(x, y)
    for z in (x, y):
        z.apply(Claim("k3", "d", "p", "n"), 2)
        z.apply(Done("k3", "n", 200, "t", b"x" * 100), 2)
    assert [x.look(f"k{i}", "d") for i in range(4)] == [y.look(f"k{i}", "d") for i in range(4)]
    assert x.look("k2", "d").body is None


def test_no_order_of_commands_grants_a_key_twice_without_a_release():
    for seed in range(300):
        rng, x, open_by, ran = random.Random(seed), Ledger(), set(), set()
        for i in range(40):
            n = f"n{rng.randrange(5)}"
            c = rng.choice(
                [
                    Claim("k", "d", f"p{n}", n),
                    Done("k", n, 200, "", b""),
                    Release("k", n),
                    Forfeit("k", n),
                    Lose(f"p{n}"),
                ]
            )
            if isinstance(c, Release) and n in ran:
                continue
            v = x.apply(c, i).state
            if isinstance(c, Claim) and v == "granted":
                open_by.add(n)
                if rng.random() < 0.3:
                    ran.add(n)
            if isinstance(c, Done) and n in open_by and v == "done":
                ran.add(n)
        assert len(ran) <= 1, seed
