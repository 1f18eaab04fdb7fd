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
from tests.test_membership import A, B, C, D, header, new_membership, of_type, record

MANY = [Address(f"10.1.{index // 250}.{index % 250 + 1}", 7620) for index in range(600)]


def test_a_digest_does_not_depend_on_the_order_of_records_and_shows_every_change():
    records = [record(address, inc=index) for index, address in enumerate(MANY)]
    first, second = ViewDigest(), ViewDigest()
    for entry in records:
        first.put(entry)
    for entry in reversed(records):
        second.put(msgspec.structs.replace(entry, incarnation=99))
        second.put(entry)
    assert first.total == second.total and first.bucket_digests == second.bucket_digests
    for change in ({"incarnation": 1000}, {"state": FAILED}, {"boot": 7}):
        second.put(msgspec.structs.replace(records[5], **change))
        assert first.total != second.total
        assert first.differing_buckets(tuple(second.bucket_digests)) == [first.bucket(records[5].addr)]
        second.put(records[5])
        assert first.total == second.total
    for entry in records:
        first.drop(entry.addr)
    assert first.total == 0 and first.bucket_digests == [0] * BUCKET_COUNT and not any(first.buckets)


def test_only_live_members_are_sampled():
    table, rng = MemberTable(), random.Random(1)
    for address in MANY[:50]:
        table.put(record(address))
    for index, address in enumerate(MANY[:50]):
        if index % 2:
            table.put(record(address, inc=1, state=FAILED))
        if index % 10 == 0:
            table.drop(address)
    live = {address for index, address in enumerate(MANY[:50]) if index % 2 == 0 and index % 10}
    assert set(table.live) == live == {entry.addr for entry in table.alive()} == set(table.sample(rng, 99))
    table.put(record(MANY[1], inc=2))
    assert {entry.addr for entry in table.alive("proxy")} == live | {MANY[1]} and table.alive("control") == []
    assert MANY[2] not in table.sample(rng, 99, MANY[2]) and len(table.sample(rng, 3)) == 3


def test_members_with_equal_views_exchange_only_a_ping_and_an_ack():
    pinger, target = new_membership((B,)), Membership(record(B), "f", [], random.Random(2), 2.0, 30, 0.5)
    target.receive(Tell(header(A), [record(A)]), 0.0)
    ((_, ping),) = of_type(Ping, pinger.tick(0.0))
    assert [type(message) for _, message in target.receive(ping, 0.0)] == [Ack]


def test_a_difference_of_views_is_repaired_by_bucket_digests_then_record_digests_then_records():
    pinger, target = new_membership((B,)), Membership(record(B), "f", [], random.Random(2), 2.0, 30, 0.5)
    target.receive(Tell(header(A), [record(A), *(record(address) for address in MANY[:40])]), 0.0)
    pinger.receive(Tell(header(B), [record(address) for address in MANY[20:60]]), 0.0)
    ((_, ping),) = of_type(
        Ping,
        [datagram for datagram in pinger.tick(0.0) if datagram[0] == B]
        or [(B, Ping(pinger._header(), A, B, 1, pinger._digest.total))],
    )
    queue, kinds = [(target, ping)], []
    while queue:
        receiver, message = queue.pop(0)
        kinds.append(type(message))
        queue += [
            ({A: pinger, B: target}[address], reply)
            for address, reply in receiver.receive(message, 0.0)
            if address in (A, B)
        ]
    assert pinger._digest.total == target._digest.total and len(pinger.view) == len(target.view) == 61
    assert kinds.count(Sums) == 1 and {Marks, Want, Tell} <= set(kinds)


def test_datagrams_stay_small_and_the_replies_to_a_storm_of_requests_are_limited():
    member = new_membership(MANY)
    out = member.receive(Tell(header(MANY[0]), [record(MANY[0])], RequestedRecords.ALL), 100.0)
    assert max(len(encode(message)) for _, message in out) <= 1200
    assert sum(len(message.records) for _, message in of_type(Tell, out)) >= 600
    sent = sum(
        len(of_type(Tell, member.receive(Tell(header(address), [record(address)], RequestedRecords.ALL), 100.0)))
        for address in MANY[:300]
    )
    assert 300 <= sent <= 300 + RECORD_DATAGRAMS_BURST


def test_batches_contain_all_records():
    records = [record(address) for address in MANY]
    assert [entry for batch in record_batches(records) for entry in batch] == records


def test_an_update_reaches_a_large_group_in_two_hops_without_a_burst_from_any_member():
    size = 400
    crowd = Crowd(3, size, loss=0.0)
    crowd.run(4.0)
    origin = crowd.members()[0]
    before = {member.addr: member.sent for member in crowd.members()}
    origin._emit(origin._coded(origin.membership.ready(False)))
    assert origin.sent - before[origin.addr] == relay_group_count(size - 1)
    took = crowd.until(lambda: crowd.knows(origin.addr, lambda entry: not entry.ready) == 1, 1.0, 0.01)
    assert took is not None and took <= 2 * 0.06
    assert max(member.sent - before[member.addr] for member in crowd.members()) <= 60


def test_a_large_group_repairs_what_lost_datagrams_left_out():
    crowd = Crowd(4, 200, loss=0.15)
    crowd.run(4.0)
    origin = crowd.members()[0]
    origin._emit(origin._coded(origin.membership.ready(False)))
    assert crowd.until(lambda: crowd.knows(origin.addr, lambda entry: not entry.ready) == 1, 15.0) is not None


@pytest.mark.parametrize("size", [15, DIRECT_SEND_MEMBERS_MAX + 40])
def test_a_restart_is_known_to_all_members_within_a_fraction_of_a_second(size):
    crowd = Crowd(5, size, loss=0.0)
    crowd.run(2.0)
    restarted = crowd.restart(size - 1)
    took = crowd.until(
        lambda: (
            crowd.knows(
                restarted.addr,
                lambda entry: entry.boot == restarted.membership.me.boot and entry.state == ALIVE,
            )
            == 1
        ),
        5.0,
        0.01,
    )
    assert took is not None and took < 0.35
    assert len(restarted.membership.alive()) == size - 1 and restarted.membership.me.incarnation > 1


def test_a_member_joins_through_one_seed_of_three_while_datagrams_are_lost():
    group = Group(7, 15, 0.05)
    assert group.run_until(group.whole, 30) is not None
    for index in (0, 1, 14):
        group.kill(index)
    assert group.run_until(group.whole, 60) is not None
    group.start(14, seeds=group.addrs[:3])
    assert group.run_until(group.whole, 4) is not None


def test_a_member_whose_seeds_are_all_down_joins_when_it_is_pinged():
    group = Group(8, 10, 0.0)
    assert group.run_until(group.whole, 30) is not None
    for index in (0, 1, 2, 9):
        group.kill(index)
    group.start(9, seeds=group.addrs[:3])
    assert group.run_until(lambda: len(group.member(9).membership.alive()) >= 6, 30) is not None


def test_members_that_all_start_at_once_form_one_group():
    for seed in range(5):
        crowd = Crowd(seed, 40)
        crowd.herd()
        assert (
            crowd.until(lambda: all(len(member.membership.alive()) == 39 for member in crowd.members()), 8.0)
            is not None
        )


@pytest.mark.parametrize("size", [1, 7])
def test_views_agree_within_two_seconds_after_a_partition(size):
    for seed in range(1, 6):
        crowd = Crowd(seed, 15)
        crowd.run(2.0)
        crowd.world.split(
            [member.addr for member in crowd.members()][:size], [member.addr for member in crowd.members()][size:]
        )
        crowd.run(20.0)
        crowd.world.heal()
        assert (
            crowd.until(lambda: all(len(member.membership.alive()) == 14 for member in crowd.members()), 2.0)
            is not None
        )


def test_a_datagram_from_a_failed_member_has_the_other_failed_members_notified_at_once():
    member = new_membership()
    member.receive(Tell(header(B), [record(C, state=FAILED), record(D, state=FAILED)]), 0.0)
    out = member.receive(Ping(header(C), C, A, 1), 5.0)
    notified = {(to, message.records[0].addr) for to, message in of_type(Tell, out)}
    assert (C, C) in notified and (D, D) in notified
    assert D not in {to for to, _ in of_type(Tell, member.receive(Ping(header(C), C, A, 2), 5.1))}


def test_a_member_wrongly_declared_failed_notifies_those_that_it_recorded_as_failed():
    member = new_membership()
    member.receive(Tell(header(B), [record(C, state=FAILED)]), 0.0)
    out = of_type(Tell, member.receive(Tell(header(B), [record(A, state=FAILED)]), 1.0))
    assert {to for to, message in out if message.records[0].addr == A} == {B, C, D}
    assert [message.records[0].state for to, message in out if message.records[0].addr == C] == [FAILED]


def test_helpers_that_were_asked_late_get_their_time_before_anybody_is_declared():
    for answered in (True, False):
        member = new_membership()
        ((target, _),) = of_type(Ping, member.tick(0.0))
        assert of_type(PingReq, member.tick(1.9))
        member.tick(2.0)
        member.tick(2.89)
        assert all(entry.state == ALIVE for entry in member.view.values())
        if answered:
            member.receive(Ack(header(target), A, target, 1), 2.89)
        member.tick(2.9)
        failed = [address for address, entry in member.view.items() if entry.state != ALIVE]
        assert failed == ([] if answered else [target])


def test_a_period_whose_helpers_were_asked_after_its_end_is_void():
    member = new_membership()
    member.tick(0.0)
    member.tick(3.0)
    member.tick(3.1)
    assert all(entry.state == ALIVE for entry in member.view.values())
    assert member.counts.get("membership_void_period") == 1


def test_an_ack_received_just_before_the_end_of_the_period_counts():
    member = new_membership((B,))
    member.tick(0.0)
    member.tick(0.5)
    member.receive(Ack(header(B), A, B, 1), 2.1)
    member.tick(2.1)
    assert member.view[B].state == ALIVE


def test_departed_members_are_removed_from_the_digest_then_from_the_view_and_are_not_sent_again():
    first, second = new_membership((B, C)), new_membership((B, C))
    first.receive(Tell(header(B), [record(C, inc=1, state=LEFT)]), 1.0)
    second.receive(Tell(header(B), [record(C, inc=1, state=LEFT)]), 9.0)
    assert first._digest.total == second._digest.total
    first.tick(2.0 + DIGEST_RETENTION_S)
    assert C not in first._digest and C in first.view
    second.tick(10.0 + DIGEST_RETENTION_S)
    assert first._digest.total == second._digest.total
    first.tick(2.0 + FORGET_AFTER_S)
    assert C not in first.view
    out = of_type(Tell, second.receive(Tell(header(B), [record(B)], RequestedRecords.ALL), 20.0 + DIGEST_RETENTION_S))
    assert C not in {entry.addr for _, message in out for entry in message.records}


def test_a_joining_member_requests_records_at_once_and_every_quarter_second_until_its_digest_agrees():
    member = Membership(record(A), "f", [B, C], random.Random(1), 2.0, 30, 0.5)
    assert {to for to, message in of_type(Tell, member.tick(0.0)) if message.request == RequestedRecords.ALL} == {B, C}
    assert member.timer() == 0.25
    assert {to for to, message in of_type(Tell, member.tick(0.25)) if message.request == RequestedRecords.ALL} == {B, C}
    member.receive(Tell(header(B), [record(B), record(C)]), 0.3)
    assert of_type(Sum, member.tick(0.5)) and member.timer() == 0.75
    member.receive(Sum(header(B), member._digest.total, False), 0.6)
    member.tick(0.75)
    assert member.timer() > 0.75
