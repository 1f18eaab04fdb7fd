import random

import msgspec
import pytest

from mallowvalve.membership.detector import DIGEST_RETENTION_S, FORGET_AFTER_S, Membership
from mallowvalve.membership.dissemination import (
    DIRECT_SEND_MEMBERS_MAX,
    RECORD_DATAGRAMS_BURST,
    record_batches,
    relay_group_count,
)
from mallowvalve.membership.view import BUCKET_COUNT, MemberTable, ViewDigest
from mallowvalve.membership.wire import (
    ALIVE,
    FAILED,
    LEFT,
    Ack,
    Marks,
    Ping,
    PingReq,
    RequestedRecords,
    Sum,
    Sums,
    Tell,
    Want,
    encode,
)
from mallowvalve.types import Address
from sim.crowd import Crowd
from sim.members import Group
from tests.test_membership import A, B, C, D, head, membership, of, record

MANY = [Address(f"10.1.{i // 250}.{i % 250 + 1}", 7620) for i in range(600)]


def test_a_digest_is_the_same_in_any_order_and_shows_every_change():
    rs = [record(a, inc=i) for i, a in enumerate(MANY)]
    x, y = ViewDigest(), ViewDigest()
    for r in rs:
        x.put(r)
    for r in reversed(rs):
        y.put(msgspec.structs.replace(r, incarnation=99))
        y.put(r)
    assert x.total == y.total and x.bucket_digests == y.bucket_digests
    for change in ({"incarnation": 1000}, {"state": FAILED}, {"boot": 7}):
        y.put(msgspec.structs.replace(rs[5], **change))
        assert x.total != y.total and x.differing_buckets(tuple(y.bucket_digests)) == [x.bucket(rs[5].addr)]
        y.put(rs[5])
        assert x.total == y.total
    for r in rs:
        x.drop(r.addr)
    assert x.total == 0 and x.bucket_digests == [0] * BUCKET_COUNT and not any(x.buckets)


def test_a_view_chooses_only_the_living():
    v, rng = MemberTable(), random.Random(1)
    for a in MANY[:50]:
        v.put(record(a))
    for i, a in enumerate(MANY[:50]):
        if i % 2:
            v.put(record(a, inc=1, state=FAILED))
        if i % 10 == 0:
            v.drop(a)
    want = {a for i, a in enumerate(MANY[:50]) if i % 2 == 0 and i % 10}
    assert set(v.live) == want == {r.addr for r in v.alive()} == set(v.sample(rng, 99))
    v.put(record(MANY[1], inc=2))
    assert {r.addr for r in v.alive("proxy")} == want | {MANY[1]} and v.alive("control") == []
    assert MANY[2] not in v.sample(rng, 99, MANY[2]) and len(v.sample(rng, 3)) == 3


def test_equal_views_cost_a_ping_and_an_ack():
    x, y = membership((B,)), Membership(record(B), "f", [], random.Random(2), 2.0, 30, 0.5)
    y.receive(Tell(head(A), [record(A)]), 0.0)
    ((_, ping),) = of(Ping, x.tick(0.0))
    assert [type(m) for _, m in y.receive(ping, 0.0)] == [Ack]


def test_a_difference_is_mended_by_buckets_then_marks_then_records():
    x, y = membership((B,)), Membership(record(B), "f", [], random.Random(2), 2.0, 30, 0.5)
    y.receive(Tell(head(A), [record(A), *(record(a) for a in MANY[:40])]), 0.0)
    x.receive(Tell(head(B), [record(a) for a in MANY[20:60]]), 0.0)
    ((_, ping),) = of(Ping, [p for p in x.tick(0.0) if p[0] == B] or [(B, Ping(x._header(), A, B, 1, x._digest.total))])
    box, kinds = [(y, ping)], []
    while box:
        to, m = box.pop(0)
        kinds.append(type(m))
        box += [({A: x, B: y}[a], n) for a, n in to.receive(m, 0.0) if a in (A, B)]
    assert x._digest.total == y._digest.total and len(x.view) == len(y.view) == 61
    assert kinds.count(Sums) == 1 and {Marks, Want, Tell} <= set(kinds)


def test_datagrams_stay_small_and_a_storm_of_questions_is_answered_within_bounds():
    b = membership(MANY)
    out = b.receive(Tell(head(MANY[0]), [record(MANY[0])], RequestedRecords.ALL), 100.0)
    assert max(len(encode(m)) for _, m in out) <= 1200
    assert sum(len(m.records) for _, m in of(Tell, out)) >= 600
    sent = sum(len(of(Tell, b.receive(Tell(head(a), [record(a)], RequestedRecords.ALL), 100.0))) for a in MANY[:300])
    assert 300 <= sent <= 300 + RECORD_DATAGRAMS_BURST


def test_batches_keep_all_records():
    rs = [record(a) for a in MANY]
    assert [r for b in record_batches(rs) for r in b] == rs


def test_news_reach_a_large_group_in_two_hops_without_a_burst_from_anyone():
    n = 400
    c = Crowd(3, n, loss=0.0)
    c.run(4.0)
    m = c.members()[0]
    before = {x.addr: x.sent for x in c.members()}
    m._emit(m._coded(m.membership.ready(False)))
    assert m.sent - before[m.addr] == relay_group_count(n - 1)
    took = c.until(lambda: c.knows(m.addr, lambda r: not r.ready) == 1, 1.0, 0.01)
    assert took is not None and took <= 2 * 0.06
    assert max(x.sent - before[x.addr] for x in c.members()) <= 60


def test_a_large_group_mends_what_lost_datagrams_left_out():
    c = Crowd(4, 200, loss=0.15)
    c.run(4.0)
    m = c.members()[0]
    m._emit(m._coded(m.membership.ready(False)))
    assert c.until(lambda: c.knows(m.addr, lambda r: not r.ready) == 1, 15.0) is not None


@pytest.mark.parametrize("n", [15, DIRECT_SEND_MEMBERS_MAX + 40])
def test_a_restart_is_seen_by_all_within_a_fraction_of_a_second(n):
    c = Crowd(5, n, loss=0.0)
    c.run(2.0)
    m = c.restart(n - 1)
    seen = c.until(
        lambda: c.knows(m.addr, lambda r: r.boot == m.membership.me.boot and r.state == ALIVE) == 1, 5.0, 0.01
    )
    assert seen is not None and seen < 0.35
    assert len(m.membership.alive()) == n - 1 and m.membership.me.incarnation > 1


def test_a_member_joins_through_one_seed_of_three_while_datagrams_are_lost():
    g = Group(7, 15, 0.05)
    assert g.run_until(g.whole, 30) is not None
    for i in (0, 1, 14):
        g.kill(i)
    assert g.run_until(g.whole, 60) is not None
    g.start(14, seeds=g.addrs[:3])
    assert g.run_until(g.whole, 4) is not None


def test_a_member_whose_seeds_are_all_down_joins_when_it_is_pinged():
    g = Group(8, 10, 0.0)
    assert g.run_until(g.whole, 30) is not None
    for i in (0, 1, 2, 9):
        g.kill(i)
    g.start(9, seeds=g.addrs[:3])
    assert g.run_until(lambda: len(g.member(9).membership.alive()) >= 6, 30) is not None


def test_everyone_starting_at_once_makes_one_group():
    for seed in range(5):
        c = Crowd(seed, 40)
        c.herd()
        assert c.until(lambda: all(len(m.membership.alive()) == 39 for m in c.members()), 8.0) is not None


@pytest.mark.parametrize("size", [1, 7])
def test_a_healed_cut_is_mended_within_two_seconds(size):
    for seed in range(1, 6):
        c = Crowd(seed, 15)
        c.run(2.0)
        c.world.split([m.addr for m in c.members()][:size], [m.addr for m in c.members()][size:])
        c.run(20.0)
        c.world.heal()
        assert c.until(lambda: all(len(m.membership.alive()) == 14 for m in c.members()), 2.0) is not None


def test_one_held_as_failed_that_speaks_has_the_other_accused_told_at_once():
    b = membership()
    b.receive(Tell(head(B), [record(C, state=FAILED), record(D, state=FAILED)]), 0.0)
    out = b.receive(Ping(head(C), C, A, 1), 5.0)
    told = {(to, m.records[0].addr) for to, m in of(Tell, out)}
    assert (C, C) in told and (D, D) in told
    assert D not in {to for to, _ in of(Tell, b.receive(Ping(head(C), C, A, 2), 5.1))}


def test_one_that_was_wrongly_failed_tells_those_it_failed_itself():
    b = membership()
    b.receive(Tell(head(B), [record(C, state=FAILED)]), 0.0)
    out = of(Tell, b.receive(Tell(head(B), [record(A, state=FAILED)]), 1.0))
    assert {to for to, m in out if m.records[0].addr == A} == {B, C, D}
    assert [m.records[0].state for to, m in out if m.records[0].addr == C] == [FAILED]


def test_helpers_that_were_asked_too_late_to_answer_judge_nobody():
    b = membership()
    b.tick(0.0)
    assert of(PingReq, b.tick(1.9))
    b.tick(2.0)
    assert all(r.state == ALIVE for r in b.view.values()) and b.counts.get("membership_void_period") == 1


def test_an_ack_in_the_same_breath_as_the_end_of_the_period_is_heard_first():
    b = membership((B,))
    b.tick(0.0)
    b.tick(0.5)
    b.receive(Ack(head(B), A, B, 1), 2.1)
    b.tick(2.1)
    assert b.view[B].state == ALIVE


def test_the_dead_leave_the_digest_then_the_view_and_are_not_taught_again():
    x, y = membership((B, C)), membership((B, C))
    x.receive(Tell(head(B), [record(C, inc=1, state=LEFT)]), 1.0)
    y.receive(Tell(head(B), [record(C, inc=1, state=LEFT)]), 9.0)
    assert x._digest.total == y._digest.total
    x.tick(2.0 + DIGEST_RETENTION_S)
    assert C not in x._digest and C in x.view
    y.tick(10.0 + DIGEST_RETENTION_S)
    assert x._digest.total == y._digest.total
    x.tick(2.0 + FORGET_AFTER_S)
    assert C not in x.view
    out = of(Tell, y.receive(Tell(head(B), [record(B)], RequestedRecords.ALL), 20.0 + DIGEST_RETENTION_S))
    assert C not in {r.addr for _, m in out for r in m.records}


def test_a_new_member_asks_at_once_and_every_quarter_second_until_it_agrees():
    b = Membership(record(A), "f", [B, C], random.Random(1), 2.0, 30, 0.5)
    assert {to for to, m in of(Tell, b.tick(0.0)) if m.request == RequestedRecords.ALL} == {B, C}
    assert b.timer() == 0.25
    assert {to for to, m in of(Tell, b.tick(0.25)) if m.request == RequestedRecords.ALL} == {B, C}
    b.receive(Tell(head(B), [record(B), record(C)]), 0.3)
    assert of(Sum, b.tick(0.5)) and b.timer() == 0.75
    b.receive(Sum(head(B), b._digest.total, False), 0.6)
    b.tick(0.75)
    assert b.timer() > 0.75
