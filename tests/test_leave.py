"""Graceful stops of core members in the seeded simulator: no seat is given up before another member has caught up."""

import random

import msgspec
import pytest

from mallowvalve.control.leave import Leave, LeaveReason
from mallowvalve.control.wire import ProcessStatus
from mallowvalve.raft.log import Log
from mallowvalve.raft.messages import CONFIGURATION, ClusterConfiguration, Entry, GroupId, RaftSnapshot, encode
from mallowvalve.raft.raft import Raft
from mallowvalve.types import Address, Locality
from sim.disk import SimDisk
from sim.fleet import SimulatedFleet
from sim.storms import check

CATCH_UP_S = 4.0
GRACE_PERIOD_S = 3.4
A, B, C, D = (Address("10.0.0.1", p) for p in (1, 2, 3, 4))
GROUP = GroupId(1, "g")


def configuration(voters, learners=(), old=()):
    def ids(names):
        return {id: address for id, address in zip("abcd", (A, B, C, D)) if id in names}

    return ClusterConfiguration(ids(voters), ids(learners), ids(old))


def raft_with(voters):
    return Raft("a", Log(RaftSnapshot(GROUP, 0, 0, voters, [])), 0, "", random.Random(1), 0.0)


def status(voters, group=GROUP):
    return ProcessStatus("control", "b", B, Locality("eu", "x"), [], False, group, 5, voters, B)


def test_a_member_leaves_only_once_its_configuration_is_committed():
    log = Log(
        RaftSnapshot(GROUP, 6, 1, configuration("abc", "", "abd"), []),
        [Entry(7, 2, CONFIGURATION, 0, encode(configuration("abc")))],
    )
    raft = Raft("a", log, 2, "", random.Random(1), 0.0)
    leave = Leave("a")
    assert not leave.may_leave(raft, [], [B, C]) and leave.why is LeaveReason.WAITS
    raft = Raft("a", log, 2, "", random.Random(1), 0.0, commit_index=7)
    assert leave.may_leave(raft, [], [B, C]) and leave.why is LeaveReason.NOBODY


def test_a_member_waits_for_a_change_that_only_another_member_knows_of():
    raft = Raft("a", Log(RaftSnapshot(GROUP, 6, 1, configuration("abc"), [])), 1, "", random.Random(1), 0.0)
    joint = msgspec.structs.replace(status(configuration("abd", "", "abc")), index=8)
    leave = Leave("a")
    assert not leave.may_leave(raft, [joint], [B, C]) and leave.why is LeaveReason.WAITS


def test_the_voters_that_a_lagging_member_reports_do_not_count():
    log = Log(RaftSnapshot(GROUP, 6, 1, configuration("abc"), []))
    raft = Raft("a", log, 1, "", random.Random(1), 0.0)
    leave = Leave("a")
    assert not leave.may_leave(raft, [status(configuration("bcd"))], [B, C, D]) and leave.why is LeaveReason.WAITS
    assert leave.may_leave(raft, [msgspec.structs.replace(status(configuration("bcd")), index=6)], [B, C, D])


def blank_status(id, at, leaving=False):
    """Returns the status of a blank core process, at an address whose former id may have a seat."""
    status = ProcessStatus("control", id, at, Locality("eu", "x"), [], True, None, 0, None, None)
    return msgspec.structs.replace(status, leaving=leaving)


@pytest.mark.parametrize(
    ("own", "answers", "control", "why"),
    [
        (configuration("abc"), [], [B, C], LeaveReason.NOBODY),
        (configuration("abc"), [], [B, C, D], LeaveReason.WAITS),
        (configuration("abc", "d"), [status(configuration("bcd", "", "abc"))], [B, C, D], LeaveReason.WAITS),
        (configuration("abc", "d"), [status(configuration("bcd"))], [B, C, D], LeaveReason.REPLACED),
        (configuration("abc", "d"), [status(configuration("bcd"), GroupId(1, "other"))], [B, C, D], LeaveReason.WAITS),
        (configuration("bcd", "", "abc"), [], [B, C, D], LeaveReason.WAITS),
        (configuration("bcd"), [], [B, C, D], LeaveReason.REPLACED),
        (configuration("bcd", "a"), [], [B, C, D], LeaveReason.NO_SEAT),
        (ClusterConfiguration(configuration("abc").voters, {"x": B}), [], [B, C], LeaveReason.WAITS),
        (ClusterConfiguration(configuration("abc").voters, {"x": D}), [], [B, C], LeaveReason.NOBODY),
        (configuration("abc"), [blank_status("x", B)], [B, C], LeaveReason.WAITS),
        (configuration("abc"), [blank_status("b", B)], [B, C], LeaveReason.NOBODY),
        (configuration("abc"), [blank_status("x", B, leaving=True)], [B, C], LeaveReason.NOBODY),
    ],
)
def test_a_member_leaves_once_its_seat_is_taken_or_no_process_could_take_it(own, answers, control, why):
    leave = Leave("a")
    assert leave.may_leave(raft_with(own), answers, control) == (why is not LeaveReason.WAITS) and leave.why is why


def test_a_blank_member_leaves_at_once():
    assert Leave("a").may_leave(None, [], [B])


def fleet_under_load(seed, cores):
    fleet = SimulatedFleet(seed, cores=cores, proxies=3, directory_server=1)
    fleet.load()
    assert fleet.run_until(lambda: has_quorum(fleet) and fleet.history.numbers, 30.0)
    fleet.run(6.0)
    return fleet


def has_quorum(fleet):
    """Whether a majority has confirmed a leader within the last second."""
    leader = fleet.leader()
    return leader is not None and fleet.world.now - leader.core.raft.last_quorum_contact() <= 1.0


def add_core(fleet):
    address = fleet._address("1", len(fleet.disks))
    fleet.disks[address] = SimDisk(random.Random(fleet.rng.random()))
    fleet.core.append(address)
    fleet.start(address)
    return address


def stop_gracefully(fleet, address):
    """Stops the member gracefully and returns why its wait ended and how long that took (s)."""
    node, begun = fleet.world.nodes[address], fleet.world.now
    node.leave(GRACE_PERIOD_S)
    assert fleet.run_until(lambda: not fleet.world.up(address), GRACE_PERIOD_S + 0.2)
    fleet.core.remove(address)
    return node.left, fleet.world.now - begun


def voters(fleet):
    return set(fleet.leader().core.raft.log.configuration.all_voters().values())


def check_progress(fleet):
    """Checks that numbers are still issued; pending calls end before the history is checked."""
    before = len(fleet.history.numbers)
    assert fleet.run_until(lambda: has_quorum(fleet) and len(fleet.history.numbers) > before + 3, 15.0)
    fleet.run(8.0)
    assert check(fleet.history) == []


@pytest.mark.parametrize("seed", range(5))
def test_the_only_copy_is_replicated_before_its_member_leaves(seed):
    fleet = fleet_under_load(seed, 1)
    (only,) = fleet.core
    successor = add_core(fleet)
    fleet.run(fleet.rng.random())
    assert stop_gracefully(fleet, only)[0] is LeaveReason.REPLACED
    fleet.run(1.0)
    assert voters(fleet) == {successor}
    check_progress(fleet)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("leads", [True, False])
def test_on_a_core_of_three_a_successor_takes_the_seat_and_the_next_loss_leaves_a_majority(seed, leads):
    fleet = fleet_under_load(seed, 3)
    leader = fleet.leader().addr
    leaving = leader if leads else fleet.rng.choice([address for address in fleet.core if address != leader])
    successor = add_core(fleet)
    fleet.run(0.5 * fleet.rng.random())
    assert stop_gracefully(fleet, leaving)[0] is LeaveReason.REPLACED
    fleet.run(CATCH_UP_S)
    assert voters(fleet) == set(fleet.core)
    fleet.kill(fleet.rng.choice([address for address in fleet.core if address != successor]))
    check_progress(fleet)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("cores", [6, 9])
def test_learners_take_the_seats_of_members_that_leave_in_turn(cores, seed):
    fleet = fleet_under_load(seed, cores)
    for _ in range(cores - 5):
        leaving = fleet.leader().addr if fleet.rng.random() < 0.5 else fleet.rng.choice(sorted(voters(fleet)))
        why, took = stop_gracefully(fleet, leaving)
        assert why is LeaveReason.REPLACED and took < 2.0
        assert fleet.run_until(lambda: has_quorum(fleet), 5.0) and leaving not in voters(fleet)
    fleet.kill(fleet.rng.choice(fleet.core))
    fleet.kill(fleet.rng.choice([address for address in fleet.core if fleet.world.up(address)]))
    check_progress(fleet)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("cores", [3, 5])
def test_a_restart_is_not_delayed_where_no_process_can_take_the_seat(cores, seed):
    fleet = fleet_under_load(seed, cores)
    fleet.run(10.0)
    for address in list(fleet.core):
        fleet.run_until(lambda: has_quorum(fleet), 10.0)
        why, took = stop_gracefully(fleet, address)
        assert why is LeaveReason.NOBODY and took < 0.3
        fleet.core.append(address)
        fleet.start(address)
        fleet.run(CATCH_UP_S)
    check_progress(fleet)
    assert len(voters(fleet)) == cores


@pytest.mark.parametrize("seed", range(3))
def test_the_wait_for_a_successor_that_never_catches_up_ends_with_the_grace_period(seed):
    fleet = fleet_under_load(seed, 3)
    leaving, successor = fleet.core[0], add_core(fleet)
    fleet.world.split([successor], [address for address in fleet.core if address != successor])
    why, took = stop_gracefully(fleet, leaving)
    assert why is LeaveReason.WAITS and GRACE_PERIOD_S <= took < GRACE_PERIOD_S + 0.3
    fleet.world.heal()
    check_progress(fleet)
