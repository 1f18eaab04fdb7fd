import random

import pytest

from mallowvalve.control.snapshot import decode_snapshot, encode_snapshot
from mallowvalve.control.state import ReplicatedState
from mallowvalve.ledger import ledger
from mallowvalve.ledger.ledger import KEY_RETENTION_MS, Claim, Done, Forfeit, Ledger, Lose, Release

FIRST = Claim("k", "d", "p1", "n1")
SECOND = Claim("k", "d", "p2", "n2", 1)


def apply_all(*commands, start_ms=0):
    claims = Ledger()
    return claims, [claims.apply(command, start_ms + i).state for i, command in enumerate(commands)]


def copy_by_snapshot(source, target):
    state = ReplicatedState(1)
    state.ledger = source
    state = decode_snapshot(encode_snapshot(state))
    target.rows, target.body_sizes = state.ledger.rows, state.ledger.body_sizes
    target._stored_bytes = state.ledger._stored_bytes


@pytest.mark.parametrize(
    "commands,states",
    [
        ([FIRST, FIRST], ["granted", "granted"]),
        ([FIRST, SECOND], ["granted", "open"]),
        ([FIRST, Done("k", "n1", 200, "t", b"x"), SECOND], ["granted", "done", "done"]),
        ([FIRST, Release("k", "n1"), SECOND, Release("k", "n1")], ["granted", "released", "granted", "gone"]),
        ([FIRST, Release("k", "n1"), FIRST], ["granted", "released", "released"]),
        ([FIRST, Forfeit("k", "n1"), SECOND], ["granted", "lost", "lost"]),
        ([FIRST, Lose("p1"), SECOND, Release("k", "n1")], ["granted", "ok", "lost", "lost"]),
        ([FIRST, Lose("p1"), Done("k", "n1", 200, "t", b"x"), SECOND], ["granted", "ok", "done", "done"]),
        (
            [FIRST, Done("k", "n1", 200, "t", b"x"), Release("k", "n1"), Forfeit("k", "n1")],
            ["granted", "done", "done", "done"],
        ),
        ([FIRST, Claim("k", "other", "p2", "n2")], ["granted", "conflict"]),
        ([FIRST, Release("k", "n2"), Done("k", "n2", 200, "t", b"")], ["granted", "gone", "gone"]),
        ([FIRST, Release("k", "n1"), Claim("k", "other", "p2", "n2")], ["granted", "released", "conflict"]),
    ],
)
def test_commands_give_these_states(commands, states):
    assert apply_all(*commands)[1] == states


def test_a_claim_from_before_a_release_is_not_granted_after_it():
    claims = Ledger()
    early = Claim("k", "d", "p2", "n2", 5)
    assert claims.apply(FIRST, 0, 6).state == "granted" and claims.apply(Release("k", "n1"), 1, 7).state == "released"
    assert claims.apply(early, 2, 8).state == "released"
    assert claims.apply(Claim("k", "d", "p3", "n3", 7), 3, 9).state == "granted"


def test_a_release_that_arrives_before_its_claim_keeps_the_claim_from_being_granted():
    claims = Ledger()
    assert claims.apply(Release("k", "n1"), 0, 1).state == "released"
    assert claims.apply(FIRST, 1, 2).state == "released"
    assert claims.apply(Claim("k", "d", "p2", "n2", 1), 2, 3).state == "granted"


def test_keys_are_retained_for_the_stated_time():
    claims = Ledger()
    claims.apply(FIRST, 0)
    claims.apply(Done("k", "n1", 200, "t", b"x"), 1)
    assert claims.apply(SECOND, KEY_RETENTION_MS - 1).state == "done"
    assert claims.apply(SECOND, KEY_RETENTION_MS).state == "granted"


def test_a_snapshot_contains_all_claims():
    claims, _ = apply_all(FIRST, Done("k", "n1", 201, "t", b"x"), Claim("j", "d", "p", "n"))
    copy = Ledger()
    copy_by_snapshot(claims, copy)
    assert copy.apply(SECOND, 5).body == b"x" and copy.apply(Claim("j", "d", "q", "m"), 6).state == "open"


def test_stored_bodies_are_bounded_and_dropped_oldest_first_without_the_claim(monkeypatch):
    monkeypatch.setattr(ledger, "MAX_STORED_BODY_BYTES", 1000)
    claims = Ledger()
    for i in range(20):
        claims.apply(Claim(f"k{i}", "d", "p", "n"), i)
        claims.apply(Done(f"k{i}", "n", 200, "t", b"x" * 100), i)
    results = [claims.find(f"k{i}", "d") for i in range(20)]
    assert {result.state for result in results} == {"done"}
    assert [result.body is None for result in results] == [True] * 10 + [False] * 10


def test_a_replica_loaded_from_a_snapshot_drops_the_same_bodies(monkeypatch):
    monkeypatch.setattr(ledger, "MAX_STORED_BODY_BYTES", 350)
    original, copy = Ledger(), Ledger()
    for number in range(3):
        original.apply(Claim(f"k{number}", "d", "p", "n"), 0)
    for number in (2, 0, 1):
        original.apply(Done(f"k{number}", "n", 200, "t", b"x" * 100), 1)
    copy_by_snapshot(original, copy)
    for claims in (original, copy):
        claims.apply(Claim("k3", "d", "p", "n"), 2)
        claims.apply(Done("k3", "n", 200, "t", b"x" * 100), 2)
    assert [original.find(f"k{i}", "d") for i in range(4)] == [copy.find(f"k{i}", "d") for i in range(4)]
    assert original.find("k2", "d").body is None


def test_no_order_of_commands_grants_a_key_twice_without_a_release():
    for seed in range(300):
        rng, claims, granted, ran = random.Random(seed), Ledger(), set(), set()
        for now_ms in range(40):
            nonce = f"n{rng.randrange(5)}"
            command = rng.choice(
                [
                    Claim("k", "d", f"p{nonce}", nonce),
                    Done("k", nonce, 200, "", b""),
                    Release("k", nonce),
                    Forfeit("k", nonce),
                    Lose(f"p{nonce}"),
                ]
            )
            if isinstance(command, Release) and nonce in ran:
                continue
            state = claims.apply(command, now_ms).state
            if isinstance(command, Claim) and state == "granted":
                granted.add(nonce)
                if rng.random() < 0.3:
                    ran.add(nonce)
            if isinstance(command, Done) and nonce in granted and state == "done":
                ran.add(nonce)
        assert len(ran) <= 1, seed
