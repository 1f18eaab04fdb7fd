"""Repairs of the core's voters in the seeded simulator: losses `CATCH_UP_S` apart leave a majority each time."""

import random
from collections import Counter

import pytest

from mallowvalve.control.reconfiguration import MemberAnnouncement, MemberObservations
from mallowvalve.raft.log import Log
from mallowvalve.raft.messages import ClusterConfiguration, GroupId, RaftSnapshot
from mallowvalve.raft.progress import Progress
from mallowvalve.types import Address, Locality
from sim import fleet as fleet_module
from sim.control import ControlNode
from sim.disk import SimDisk
from sim.fleet import SimulatedFleet

CATCH_UP_S = 4.0
ADDRESS_REUSE_S = 2.0
RECOVERY_TIMEOUT_S = 10.0
CORE_SIZES = (3, 5, 6, 9)


def wiped(fleet, address):
    """Restarts the machine at its address a second later with an empty disk."""
    fleet.kill(address)
    fleet.run(1.0)
    fleet.disks[address] = SimDisk(random.Random(fleet.rng.random()))
    fleet.start(address)


def reused(fleet, address):
    """Removes the machine for good; `ADDRESS_REUSE_S` later a new core machine has its address."""
    fleet.kill(address)
    fleet.run(ADDRESS_REUSE_S)
    fleet.disks[address] = SimDisk(random.Random(fleet.rng.random()))
    fleet.start(address)


def replaced(fleet, address):
    """Removes the machine for good and starts an empty one at a new address."""
    fleet.replace(address)


def killed(fleet, address):
    """Removes the machine for good, without a replacement."""
    fleet.kill(address)
    fleet.core.remove(address)


def moved(fleet, address):
    """Removes the machine for good; `ADDRESS_REUSE_S` later a learner with its disk has its address."""
    fleet.kill(address)
    fleet.run(ADDRESS_REUSE_S)
    learner = fleet.rng.choice([other for other in fleet.core if other != address and other not in voters(fleet)])
    fleet.kill(learner)
    fleet.core.remove(learner)
    fleet.disks[address] = fleet.disks[learner]
    fleet.start(address)


def voters(fleet):
    return sorted(fleet.leader().core.raft.log.configuration.voters.values())


def has_quorum(fleet):
    """Whether a majority has confirmed a leader within the last second."""
    leader = fleet.leader()
    return leader is not None and fleet.world.now - leader.core.raft.last_quorum_contact() <= 1.0


def settled_fleet(seed, cores):
    fleet = SimulatedFleet(seed, cores=cores, proxies=2, directory_server=1)
    assert fleet.run_until(lambda: has_quorum(fleet), 20.0)
    fleet.run(8.0)
    return fleet


def lose_in_turn(fleet, lose, times):
    for turn in range(times):
        assert fleet.run_until(lambda: has_quorum(fleet), RECOVERY_TIMEOUT_S), f"no majority after {turn} losses"
        leader = fleet.leader().addr
        use_leader = fleet.rng.random() < 0.3
        lost = leader if use_leader else fleet.rng.choice([a for a in voters(fleet) if fleet.world.up(a)])
        lose(fleet, lost)
        fleet.run(CATCH_UP_S)
    assert fleet.run_until(lambda: has_quorum(fleet), RECOVERY_TIMEOUT_S), f"no majority after {times} losses"


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("lose", [wiped, reused, replaced])
@pytest.mark.parametrize("cores", CORE_SIZES)
def test_a_loss_right_after_a_repair_leaves_a_majority(cores, lose, seed):
    lose_in_turn(settled_fleet(seed, cores), lose, 4)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("cores", "times"), [(6, 1), (9, 3)])
def test_an_address_that_another_core_machine_takes_over_leaves_a_majority(cores, times, seed):
    lose_in_turn(settled_fleet(seed, cores), moved, times)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("cores", "times"), [(3, 1), (5, 2), (6, 3), (9, 5)])
def test_machines_lost_for_good_one_after_the_other_leave_a_majority(cores, times, seed):
    lose_in_turn(settled_fleet(seed, cores), killed, times)


@pytest.mark.parametrize("seed", range(3))
def test_every_core_machine_is_replaced_in_turn_while_the_log_goes_back_to_the_first_voters(seed, monkeypatch):
    """A learner that starts from the founding's snapshot knows no present member, not even its leader."""
    monkeypatch.setattr(ControlNode, "segment_bytes", 1 << 30)
    fleet = settled_fleet(seed, 6)
    for address in list(fleet.core):
        fleet.replace(address)
        repaired = fleet.run_until(
            lambda address=address: has_quorum(fleet) and len(voters(fleet)) == 5 and address not in voters(fleet),
            RECOVERY_TIMEOUT_S,
        )
        assert repaired, f"{len(fleet.core)} machines, {voters(fleet)} vote after {address} was replaced"


@pytest.mark.parametrize("seed", range(6))
def test_two_of_three_voters_agree_though_one_came_back_with_its_disk_at_another_address(seed):
    """The configuration has an address without a process, and without a leader no new configuration can be written."""
    fleet = settled_fleet(seed, 3)
    leader = fleet.leader().addr
    moved_voter, unmoved_voter = (address for address in fleet.core if address != leader)
    fleet.kill(leader)
    fleet.kill(moved_voter)
    fleet.core.remove(leader)
    fleet.core.remove(moved_voter)
    new_address = Address("10.0.1.77", 7000)
    fleet.place[new_address], fleet.disks[new_address] = fleet.place[moved_voter], fleet.disks.pop(moved_voter)
    fleet.core.append(new_address)
    fleet.start(new_address)
    assert fleet.run_until(lambda: has_quorum(fleet), RECOVERY_TIMEOUT_S), "no leader"
    assert fleet.run_until(lambda: new_address in voters(fleet) and unmoved_voter in voters(fleet), RECOVERY_TIMEOUT_S)


A, B, C, D, E, F, H = (Address("10.0.0.1", p) for p in range(1, 8))
ADDRESSES = dict(zip("abcdefh", (A, B, C, D, E, F, H)))
EU_ZONE = Locality("eu", "eu-a")
NOW = 100.0


def addresses(ids):
    return {id: ADDRESSES[id] for id in ids}


class LeaderRaft:
    """The part of a leader's Raft state that `next_voters` reads; `heard_ago_s` is per member."""

    def __init__(self, voters, heard_ago_s):
        self.me = "a"
        self.log = Log(RaftSnapshot(GroupId(1, "g"), 500, 1, voters, []))
        self.commit_index = 500
        self.heard_ago_s = heard_ago_s

    def progress(self):
        progress = {}
        for id in self.log.configuration.members():
            progress[id] = Progress(501, NOW - self.heard_ago_s.get(id, 0.0))
            progress[id].match_index = 500
        return progress


def observations(*leaving, boots=None):
    members = MemberObservations()
    for id, address in ADDRESSES.items():
        members.announcements[id] = MemberAnnouncement(address, EU_ZONE, NOW, (boots or {}).get(id, 7), id in leaving)
    return members


def next_voters(members, voters, learners="", **heard_ago_s):
    members.announcements = {id: known for id, known in members.announcements.items() if id in voters + learners}
    configuration = ClusterConfiguration(addresses(voters), addresses(learners))
    return members.next_voters(LeaderRaft(configuration, heard_ago_s), NOW)


def test_a_verdict_counts_only_once_raft_does_not_hear_the_member_either():
    members = observations()
    members.departed = {B: 7}
    assert next_voters(members, "abc", "d", b=0.9) is None
    assert next_voters(members, "abc", "d", b=1.1) == ClusterConfiguration(addresses("acd"))


def test_a_verdict_on_an_earlier_process_does_not_apply_to_the_next_one():
    members = observations(boots={"b": 8})
    members.departed = {B: 7}
    assert next_voters(members, "abc", "d", b=2.0) is None
    assert next_voters(members, "abc", "d", b=3.1) == ClusterConfiguration(addresses("acd"))


def test_silence_without_a_verdict_counts_after_a_longer_time():
    assert next_voters(observations(), "abc", "d", b=2.9) is None
    assert next_voters(observations(), "abc", "d", b=3.1) == ClusterConfiguration(addresses("acd"))


def test_a_leaving_member_and_a_reused_address_count_at_once():
    assert next_voters(observations("b"), "abc", "d") == ClusterConfiguration(addresses("acd"))
    members = observations()
    members.announcements["d"] = MemberAnnouncement(B, EU_ZONE, NOW + 0.1, 9)
    raft = LeaderRaft(ClusterConfiguration(addresses("abc"), {"d": B}), {})
    members.announcements = {id: known for id, known in members.announcements.items() if id in "acd"}
    assert members.next_voters(raft, NOW + 0.1) == ClusterConfiguration({"a": A, "c": C, "d": B})


def test_an_address_of_a_process_with_another_role_counts_once_raft_does_not_hear_the_member():
    members = observations()
    members.update_detector_verdicts({}, {B})
    assert next_voters(members, "abc", "d", b=0.9) is None
    assert next_voters(members, "abc", "d", b=1.1) == ClusterConfiguration(addresses("acd"))


def test_a_leader_that_leaves_gives_up_its_own_seat():
    members = observations()
    members.leaving = True
    assert next_voters(members, "abc", "d") == ClusterConfiguration(addresses("bcd"))


def test_the_dead_are_replaced_before_the_leaving():
    assert next_voters(observations("b"), "abc", "d", c=6.0) == ClusterConfiguration(addresses("abd"))


def test_no_voter_is_replaced_where_no_majority_would_be_alive():
    assert next_voters(observations(), "abcde", "f", b=6.0, c=6.0) is not None
    assert next_voters(observations(), "abcde", "f", b=6.0, c=6.0, d=6.0) == ClusterConfiguration(addresses("acdef"))
    assert next_voters(observations(), "abcde", "f", b=6.0, c=6.0, d=6.0, e=6.0) is None
    assert next_voters(observations(), "abcde", b=6.0) is None


def test_a_learner_without_the_entries_committed_half_a_second_ago_takes_no_seat():
    members = observations()
    members.announcements = {id: known for id, known in members.announcements.items() if id in "abcd"}
    raft = LeaderRaft(ClusterConfiguration(addresses("abc"), addresses("d")), {"b": 6.0})
    raft.commit_index = 510
    assert members.next_voters(raft, NOW) is None
    raft.commit_index = 500
    assert members.next_voters(raft, NOW + 0.1) == ClusterConfiguration(addresses("acd"))
    members = observations()
    members.announcements = {id: known for id, known in members.announcements.items() if id in "abcd"}
    for step in range(6):
        raft.commit_index = 500 + step
        configuration = members.next_voters(raft, NOW + step / 10)
    assert configuration == ClusterConfiguration(addresses("acd")), "it has the entries that were committed 0.5 s ago"


def test_a_departed_member_does_not_come_back_as_a_learner():
    for verdicts in (({}, {D}), ({D: 7}, set())):
        members = observations()
        members.update_detector_verdicts(*verdicts)
        members.announcements = {id: known for id, known in members.announcements.items() if id in "abcd"}
        assert members.next_voters(LeaderRaft(ClusterConfiguration(addresses("abc")), {}), NOW) is None
    members.update_detector_verdicts({D: 6}, set())
    assert members.next_voters(LeaderRaft(ClusterConfiguration(addresses("abc")), {}), NOW) == ClusterConfiguration(
        addresses("abc"), addresses("d")
    )


def test_a_dead_voter_is_replaced_before_a_learner_is_dropped():
    members = observations()
    members.update_detector_verdicts({B: 7}, {E})
    announcements = members.announcements
    members.announcements = {id: known for id, known in announcements.items() if id in "abcde"}
    raft = LeaderRaft(ClusterConfiguration(addresses("abc"), addresses("de")), {"b": 6.0, "e": 6.0})
    assert members.next_voters(raft, NOW) == ClusterConfiguration(addresses("acd"), addresses("e"))


def test_learners_that_leave_are_silent_or_lag_take_no_seat():
    assert next_voters(observations("d"), "abc", "d", b=6.0) is None
    assert next_voters(observations(), "abc", "d", b=6.0, d=1.5) is None


def test_a_core_grows_to_an_odd_number_in_one_change():
    assert next_voters(observations(), "a", "bc") == ClusterConfiguration(addresses("abc"))
    assert next_voters(observations(), "abc", "d") is None
    assert next_voters(observations(), "abc", "defh") == ClusterConfiguration(addresses("abcde"), addresses("fh"))


def test_during_a_change_only_an_address_changes():
    joint = ClusterConfiguration(addresses("acd"), addresses("e"), addresses("abc"))
    members = observations()
    assert members.next_voters(LeaderRaft(joint, {"b": 9.0, "c": 9.0}), NOW) is None
    members.announcements["c"] = MemberAnnouncement(H, EU_ZONE, NOW, 7)
    del members.announcements["h"]
    configuration = members.next_voters(LeaderRaft(joint, {}), NOW)
    assert configuration == ClusterConfiguration(
        {**addresses("ad"), "c": H}, addresses("e"), {**addresses("ab"), "c": H}
    )


def test_a_leaving_member_does_not_come_back_as_a_learner():
    members = observations("d")
    raft = LeaderRaft(ClusterConfiguration(addresses("abc")), {})
    members.announcements = {id: known for id, known in members.announcements.items() if id in "abcd"}
    assert members.next_voters(raft, NOW) is None
    members.announcements["d"] = MemberAnnouncement(D, EU_ZONE, NOW, 8)
    assert members.next_voters(raft, NOW) == ClusterConfiguration(addresses("abc"), addresses("d"))


NINE_ZONES = [Locality(region, f"{region}-{zone}") for zone in "abc" for region in ("eu", "us", "ap")]
GROWN_CATCH_UP_S = 6.0


def voters_by_region(fleet):
    return Counter(fleet.place[address].region for address in voters(fleet))


def lose_region(fleet, region, seconds):
    """Kills all core machines of a region, and starts them again after some time."""
    lost = [address for address in fleet.core if fleet.place[address].region == region]
    for address in lost:
        fleet.kill(address)
    fleet.run(seconds)
    assert fleet.run_until(lambda: has_quorum(fleet), RECOVERY_TIMEOUT_S), f"no majority without {region}"
    for address in lost:
        fleet.start(address)


def is_even(fleet):
    return has_quorum(fleet) and sorted(voters_by_region(fleet).values()) == [1, 2, 2]


@pytest.mark.parametrize("seed", range(4))
def test_each_region_of_nine_may_be_lost_in_turn(seed, monkeypatch):
    """Guards against a core that stops at the loss of a second region, after the first one is back (review/6)."""
    monkeypatch.setattr(fleet_module, "ZONES", NINE_ZONES)
    fleet = settled_fleet(seed, 9)
    assert is_even(fleet)
    for turn in range(6):
        counts = voters_by_region(fleet)
        lose_region(fleet, max(counts, key=lambda region: (counts[region], region)), fleet.rng.uniform(1.0, 8.0))
        fleet.run(GROWN_CATCH_UP_S)
        assert is_even(fleet), f"{voters_by_region(fleet)} after {turn + 1} losses"


@pytest.mark.parametrize("seed", range(4))
def test_the_voters_of_a_core_whose_seeds_lie_in_one_region_are_spread(seed, monkeypatch):
    """Guards against a founding whose spread is never looked at again: three voters stay where the seeds are."""
    monkeypatch.setattr(fleet_module, "ZONES", sorted(NINE_ZONES))
    fleet = settled_fleet(seed, 9)
    assert len({fleet.place[address].region for address in fleet.seeds}) == 1
    assert is_even(fleet), voters_by_region(fleet)
