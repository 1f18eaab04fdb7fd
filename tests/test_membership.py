import random

import msgspec
import pytest

from mallowvalve.membership import formula
from mallowvalve.membership.detector import Membership
from mallowvalve.membership.wire import (
    ALIVE,
    FAILED,
    LEAVING,
    LEFT,
    PROTOCOL_VERSION,
    Ack,
    DatagramHeader,
    MemberRecord,
    Ping,
    PingReq,
    RelayPing,
    Sum,
    Tell,
    decode,
    encode,
)
from mallowvalve.types import Address, Locality
from sim.members import Group

A, B, C, D = (Address("10.0.0.1", port) for port in (1, 2, 3, 4))
LOCALITY = Locality("eu", "x")


def record(addr, boot=1, inc=0, state=ALIVE) -> MemberRecord:
    return MemberRecord(addr, boot, inc, state, "proxy", "n", LOCALITY, addr, True)


def new_membership(peers=(B, C, D), inc=0) -> Membership:
    member = Membership(record(A, inc=inc), "f", [B], random.Random(1), 2.0, 30, 0.5)
    member.receive(Tell(header(B), [record(peer) for peer in peers]), 0.0)
    return member


def header(sender, inc=0, fleet="f", version=PROTOCOL_VERSION) -> DatagramHeader:
    return DatagramHeader(version, fleet, sender, 1, inc)


def hear(member, now, peers=(B, C, D)) -> None:
    """Lets the member hear its neighbours, so that a period probes nobody but the member that it draws."""
    for peer in peers:
        assert member.receive(Sum(header(peer), member._digest.total, False), now) == []


def of_type(kind, out):
    return [(to, message) for to, message in out if isinstance(message, kind)]


def test_a_protocol_period_proceeds_as_in_figure_1_of_the_paper():
    member = new_membership()
    hear(member, 9.9)
    ((target, ping),) = of_type(Ping, member.tick(10.0))
    assert (ping.origin, ping.target, ping.period_number) == (A, target, 1)
    assert not of_type(PingReq, member.tick(10.49))
    requests = of_type(PingReq, member.tick(10.5))
    assert {to for to, _ in requests} == {B, C, D} - {target}
    assert {message.period_number for _, message in requests} == {1}
    assert member.view[target].state == ALIVE
    member.tick(11.99)
    assert member.view[target].state == ALIVE
    out = member.tick(12.0)
    assert member.view[target].state == FAILED and member.period_number == 2
    updates = of_type(Tell, out)
    assert {to for to, message in updates if any(entry.state == FAILED for entry in message.records)} == {B, C, D}


@pytest.mark.parametrize("relay", [False, True])
def test_an_ack_of_this_period_saves_the_target_and_an_older_one_does_not(relay):
    for period_number, state in ((2, ALIVE), (1, FAILED)):
        member = new_membership()
        ((first_target, _),) = of_type(Ping, member.tick(0.0))
        member.receive(Ack(header(first_target), A, first_target, 1), 0.1)
        hear(member, 1.9)
        ((target, _),) = of_type(Ping, member.tick(2.0))
        member.tick(2.5)
        sender = next(peer for peer in (B, C, D) if peer != target) if relay else target
        member.receive(Ack(header(sender), A, target, period_number), 3.0)
        member.tick(4.0)
        assert member.view[target].state == state


def test_in_a_large_group_all_neighbours_learn_of_a_leaver_although_its_update_contains_their_own_records():
    addresses = [Address("10.0.0.1", port) for port in range(1, 91)]
    members = {
        address: Membership(record(address), "f", [], random.Random(index), 2.0, 30, 0.5)
        for index, address in enumerate(addresses)
    }
    for member in members.values():
        sender = addresses[1] if member.me.addr == addresses[0] else addresses[0]
        member.receive(
            Tell(header(sender), [record(address) for address in addresses if address != member.me.addr]), 0.0
        )
    queue = members[addresses[0]].leave(final=False)
    while queue:
        to, message = queue.pop()
        queue += members[to].receive(message, 1.0) if isinstance(message, Tell) else []
    assert [address for address in addresses[1:] if members[address].view[addresses[0]].state != LEAVING] == []


def test_every_ping_is_acked_and_relays_pass_the_ack_back():
    member = new_membership()
    assert of_type(Ack, member.receive(Ping(header(B), B, A, 7), 0.0)) == [(B, Ack(header(A), B, A, 7))]
    ((to, relayed),) = of_type(RelayPing, member.receive(PingReq(header(B), B, C, 7), 0.0))
    assert to == C and (relayed.origin, relayed.target, relayed.relay, relayed.period_number) == (B, C, A, 7)
    assert of_type(Ack, member.receive(Ack(header(C), B, C, 7, A), 0.0)) == [(B, Ack(header(A), B, C, 7))]
    assert of_type(Ack, member.receive(RelayPing(header(D), B, A, D, 9), 0.0)) == [(D, Ack(header(A), B, A, 9, D))]


def test_a_suspended_process_does_not_judge_the_period_in_which_it_was_suspended():
    member = new_membership()
    member.tick(0.0)
    member.tick(30.0)
    assert all(entry.state == ALIVE for entry in member.view.values())
    assert member.counts.get("membership_void_period") == 1
    member = new_membership()
    member.tick(0.0)
    member.tick(0.5)
    member.tick(30.0)
    assert all(entry.state == ALIVE for entry in member.view.values())


def test_records_are_ordered_by_incarnation_then_state():
    member = new_membership()
    for received, expected in (
        (record(B, inc=3), (3, ALIVE)),
        (record(B, inc=2, state=FAILED), (3, ALIVE)),
        (record(B, inc=3, state=FAILED), (3, FAILED)),
        (record(B, inc=3), (3, FAILED)),
        (record(B, inc=4), (4, ALIVE)),
        (record(B, inc=4, state=LEFT), (4, LEFT)),
    ):
        member.receive(Tell(header(C), [received]), 1.0)
        assert (member.view[B].incarnation, member.view[B].state) == expected


def test_a_member_wrongly_declared_failed_raises_its_incarnation_and_refutes():
    member = new_membership(inc=5)
    out = member.receive(Tell(header(C), [record(A, inc=5, state=FAILED)]), 1.0)
    assert member.me.incarnation == 6
    assert {to for to, message in of_type(Tell, out) if message.records[0].incarnation == 6} >= {B, C, D}


def test_a_restarted_member_without_a_disk_learns_its_incarnation_and_exceeds_it():
    member = new_membership()
    old = record(A, boot=99, inc=8)
    member.receive(Tell(header(C), [old]), 1.0)
    assert member.me.incarnation == 9


def test_foreign_messages_are_counted_and_dropped():
    member = new_membership()
    for foreign in (header(B, fleet="other"), header(B, version=9), header(A)):
        assert member.receive(Ping(foreign, B, A, 1), 0.0) == []
    assert member.counts.get("membership_foreign") == 3


def test_a_group_joins_detects_a_failure_and_every_view_agrees():
    group = Group(3, 15, 0.05)
    assert group.run_until(group.whole, 30) is not None
    group.kill(7)
    assert group.run_until(lambda: len(group.knows_failed(group.addrs[7])) == 14, 40) is not None
    group.start(7, seeds=[group.addrs[5]])
    assert group.run_until(group.whole, 30) is not None
    assert group.member(7).membership.me.incarnation > 0


def test_a_group_merges_after_a_partition_while_its_seeds_are_down():
    group = Group(4, 12, 0.0)
    assert group.run_until(group.whole, 30) is not None
    left = group.addrs[:6]
    group.world.split(left, group.addrs[6:])
    assert (
        group.run_until(lambda: all(len(member.membership.alive()) == 5 for member in group.members()), 60) is not None
    )
    group.world.heal()
    for index in range(3):
        group.kill(index)
    assert group.run_until(group.whole, 60) is not None


def test_a_leaving_member_is_not_declared_failed():
    group = Group(5, 8, 0.0)
    assert group.run_until(group.whole, 30) is not None
    leaver = group.member(4)
    leaver.emit(leaver.membership.leave(final=True))
    group.run(0.2)
    group.kill(4)
    group.run(20)
    assert {member.membership.view[group.addrs[4]].state for member in group.members()} == {LEFT}
    assert group.declared() == 0


def test_mistakes_at_fifteen_percent_loss_stay_within_the_formula_for_the_available_helpers():
    seconds, size = 600, 15
    mistake = 0.85 * (1 - 0.85**2) * formula.expected_periods_to_ping(0.15) * (1 - 0.85 * 0.85**4) ** (size - 2)
    allowed = size * seconds / 3.0 * mistake
    group = Group(6, size, 0.15)
    group.run_until(group.whole, 60)
    before = group.declared()
    group.run(seconds)
    assert group.declared() - before <= 4 * allowed
    group.world.loss = 0.0
    assert group.run_until(group.whole, 30) is not None


@pytest.mark.parametrize("state", [-1, 4, 200])
def test_a_record_with_an_unknown_state_is_rejected_as_garbage(state):
    data = encode(Tell(header(B), [record(C, state=state)]))
    with pytest.raises(msgspec.DecodeError):
        new_membership().receive(decode(data), 1.0)


def test_a_request_of_unknown_records_is_rejected_as_garbage():
    with pytest.raises(msgspec.DecodeError):
        decode(encode(Tell(header(B), [record(C)], request=3)))
