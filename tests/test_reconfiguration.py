"""Repairs of the core's voters in the seeded simulator: losses `CATCH_UP` seconds apart leave a majority each time."""

import random

import pytest

from mallowvalve.control.reconfiguration import Members, Seen
from mallowvalve.raft.log import Log
from mallowvalve.raft.messages import ClusterConfiguration, GroupId, RaftSnapshot
from mallowvalve.raft.progress import Progress
from mallowvalve.types import Address, Locality
from sim.control import ControlNode
from sim.disk import SimDisk
from sim.fleet import SimulatedFleet

CATCH_UP = 4.0
REUSE = 2.0
BACK = 10.0
CORES = (3, 5, 6, 9)


def wiped(f, a):
    """The machine is back at its address a second later, its disk empty."""
    f.kill(a)
    f.run(1.0)
    f.disks[a] = SimDisk(random.Random(f.rng.random()))
    f.start(a)


def reused(f, a):
    """The machine is gone for good; `REUSE` seconds later a new core machine has its address."""
    f.kill(a)
    f.run(REUSE)
    f.disks[a] = SimDisk(random.Random(f.rng.random()))
    f.start(a)


def replaced(f, a):
    """The machine is gone for good, an empty one stands in for it at a new address."""
    f.replace(a)


def killed(f, a):
    """The machine is gone for good, nothing comes in its place."""
    f.kill(a)
    f.core.remove(a)


def moved(f, a):
    """The machine is gone for good; `REUSE` seconds later a learner with its disk has its address."""
    f.kill(a)
    f.run(REUSE)
    learner = f.rng.choice([x for x in f.core if x != a and x not in voters(f)])
    f.kill(learner)
    f.core.remove(learner)
    f.disks[a] = f.disks[learner]
    f.start(a)


def voters(f):
    return sorted(f.leader().core.raft.log.configuration.voters.values())


def commits(f):
    """A leader that a majority confirmed within the last second."""
    lead = f.leader()
    return lead is not None and f.world.now - lead.core.raft.last_quorum_contact() <= 1.0


def settled_fleet(seed, cores):
    f = SimulatedFleet(seed, cores=cores, proxies=2, directory_server=1)
    assert f.run_until(lambda: commits(f), 20.0)
    f.run(8.0)
    return f


def lose_in_turn(f, how, times):
    for turn in range(times):
        assert f.run_until(lambda: commits(f), BACK), f"no majority after {turn} losses"
        lead = f.leader().addr
        at = lead if f.rng.random() < 0.3 else f.rng.choice([a for a in voters(f) if f.world.up(a)])
        how(f, at)
        f.run(CATCH_UP)
    assert f.run_until(lambda: commits(f), BACK), f"no majority after {times} losses"


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("how", [wiped, reused, replaced])
@pytest.mark.parametrize("cores", CORES)
def test_a_loss_right_after_a_repair_leaves_a_majority(cores, how, seed):
    lose_in_turn(settled_fleet(seed, cores), how, 4)


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
    """A learner that begins at the founding's snapshot knows none of today's members, its leader among them."""
    monkeypatch.setattr(ControlNode, "segment_bytes", 1 << 30)
    f = settled_fleet(seed, 6)
    for a in list(f.core):
        f.replace(a)
        whole = f.run_until(lambda a=a: commits(f) and len(voters(f)) == 5 and a not in voters(f), BACK)
        assert whole, f"{len(f.core)} machines, {voters(f)} vote after {a} was replaced"


@pytest.mark.parametrize("seed", range(6))
def test_two_of_three_voters_agree_though_one_came_back_with_its_disk_at_another_address(seed):
    """The configuration names an address that nobody has, and without a leader nothing can write the new one."""
    f = settled_fleet(seed, 3)
    leader = f.leader().addr
    moved_voter, stays = (a for a in f.core if a != leader)
    f.kill(leader)
    f.kill(moved_voter)
    f.core.remove(leader)
    f.core.remove(moved_voter)
    there = Address("10.0.1.77", 7000)
    f.place[there], f.disks[there] = f.place[moved_voter], f.disks.pop(moved_voter)
    f.core.append(there)
    f.start(there)
    assert f.run_until(lambda: commits(f), BACK), "no leader"
    assert f.run_until(lambda: there in voters(f) and stays in voters(f), BACK)


A, B, C, D, E, F, H = (Address("10.0.0.1", p) for p in range(1, 8))
ALL = dict(zip("abcdefh", (A, B, C, D, E, F, H)))
EU = Locality("eu", "eu-a")
NOW = 100.0


def ids(text):
    return {i: ALL[i] for i in text}


class Told:
    """What next_voters reads of a leader's Raft machine."""

    def __init__(self, voters, heard):
        self.me = "a"
        self.log = Log(RaftSnapshot(GroupId(1, "g"), 500, 1, voters, []))
        self.commit_index = 500
        self.heard = heard

    def progress(self):
        out = {}
        for i in self.log.configuration.members():
            out[i] = Progress(501, NOW - self.heard.get(i, 0.0))
            out[i].match_index = 500
        return out


def known(*leaving, boots=None):
    members = Members()
    for i, a in ALL.items():
        members.seen[i] = Seen(a, EU, NOW, (boots or {}).get(i, 7), i in leaving)
    return members


def wanted(members, voters, learners="", **heard):
    members.seen = {i: s for i, s in members.seen.items() if i in voters + learners}
    return members.next_voters(Told(ClusterConfiguration(ids(voters), ids(learners)), heard), NOW)


def test_a_verdict_counts_once_raft_does_not_hear_the_member_either():
    members = known()
    members.departed = {B: 7}
    assert wanted(members, "abc", "d", b=0.9) is None
    assert wanted(members, "abc", "d", b=1.1) == ClusterConfiguration(ids("acd"))


def test_a_verdict_on_an_earlier_process_is_not_one_on_its_successor():
    members = known(boots={"b": 8})
    members.departed = {B: 7}
    assert wanted(members, "abc", "d", b=2.0) is None
    assert wanted(members, "abc", "d", b=3.1) == ClusterConfiguration(ids("acd"))


def test_silence_alone_counts_after_longer_only():
    assert wanted(known(), "abc", "d", b=2.9) is None
    assert wanted(known(), "abc", "d", b=3.1) == ClusterConfiguration(ids("acd"))


def test_a_goodbye_and_an_address_taken_count_at_once():
    assert wanted(known("b"), "abc", "d") == ClusterConfiguration(ids("acd"))
    members = known()
    members.seen["d"] = Seen(B, EU, NOW + 0.1, 9)
    told = Told(ClusterConfiguration(ids("abc"), {"d": B}), {})
    members.seen = {i: s for i, s in members.seen.items() if i in "acd"}
    assert members.next_voters(told, NOW + 0.1) == ClusterConfiguration({"a": A, "c": C, "d": B})


def test_an_address_that_a_process_of_another_role_has_counts_once_raft_is_silent():
    members = known()
    members.verdicts({}, {B})
    assert wanted(members, "abc", "d", b=0.9) is None
    assert wanted(members, "abc", "d", b=1.1) == ClusterConfiguration(ids("acd"))


def test_a_leader_that_leaves_gives_up_its_own_seat():
    members = known()
    members.leaving = True
    assert wanted(members, "abc", "d") == ClusterConfiguration(ids("bcd"))


def test_the_dead_are_replaced_before_the_leaving():
    assert wanted(known("b"), "abc", "d", c=6.0) == ClusterConfiguration(ids("abd"))


def test_no_voter_goes_where_no_majority_of_the_rest_is_alive():
    assert wanted(known(), "abcde", "f", b=6.0, c=6.0) is not None
    assert wanted(known(), "abcde", "f", b=6.0, c=6.0, d=6.0) == ClusterConfiguration(ids("acdef"))
    assert wanted(known(), "abcde", "f", b=6.0, c=6.0, d=6.0, e=6.0) is None
    assert wanted(known(), "abcde", b=6.0) is None


def test_a_learner_that_lacks_what_was_committed_half_a_second_ago_takes_no_seat():
    members = known()
    members.seen = {i: s for i, s in members.seen.items() if i in "abcd"}
    told = Told(ClusterConfiguration(ids("abc"), ids("d")), {"b": 6.0})
    told.commit_index = 510
    assert members.next_voters(told, NOW) is None
    told.commit_index = 500
    assert members.next_voters(told, NOW + 0.1) == ClusterConfiguration(ids("acd"))
    members = known()
    members.seen = {i: s for i, s in members.seen.items() if i in "abcd"}
    for step in range(6):
        told.commit_index = 500 + step
        wanted_now = members.next_voters(told, NOW + step / 10)
    assert wanted_now == ClusterConfiguration(ids("acd")), "it holds what was committed 0.5 s ago"


def test_one_that_is_known_to_be_gone_does_not_come_back_as_a_learner():
    for verdicts in (({}, {D}), ({D: 7}, set())):
        members = known()
        members.verdicts(*verdicts)
        members.seen = {i: s for i, s in members.seen.items() if i in "abcd"}
        assert members.next_voters(Told(ClusterConfiguration(ids("abc")), {}), NOW) is None
    members.verdicts({D: 6}, set())
    assert members.next_voters(Told(ClusterConfiguration(ids("abc")), {}), NOW) == ClusterConfiguration(
        ids("abc"), ids("d")
    )


def test_a_dead_voter_is_replaced_before_a_learner_is_dropped():
    members = known()
    members.verdicts({B: 7}, {E})
    seen = members.seen
    members.seen = {i: s for i, s in seen.items() if i in "abcde"}
    told = Told(ClusterConfiguration(ids("abc"), ids("de")), {"b": 6.0, "e": 6.0})
    assert members.next_voters(told, NOW) == ClusterConfiguration(ids("acd"), ids("e"))


def test_learners_that_leave_are_silent_or_lag_take_no_seat():
    assert wanted(known("d"), "abc", "d", b=6.0) is None
    assert wanted(known(), "abc", "d", b=6.0, d=1.5) is None


def test_a_core_grows_to_an_odd_number_in_one_change():
    assert wanted(known(), "a", "bc") == ClusterConfiguration(ids("abc"))
    assert wanted(known(), "abc", "d") is None
    assert wanted(known(), "abc", "defh") == ClusterConfiguration(ids("abcde"), ids("fh"))


def test_while_a_change_is_under_way_only_an_address_changes():
    joint = ClusterConfiguration(ids("acd"), ids("e"), ids("abc"))
    members = known()
    assert members.next_voters(Told(joint, {"b": 9.0, "c": 9.0}), NOW) is None
    members.seen["c"] = Seen(H, EU, NOW, 7)
    del members.seen["h"]
    moved = members.next_voters(Told(joint, {}), NOW)
    assert moved == ClusterConfiguration({**ids("ad"), "c": H}, ids("e"), {**ids("ab"), "c": H})


def test_one_that_says_goodbye_does_not_come_back_as_a_learner():
    members = known("d")
    told = Told(ClusterConfiguration(ids("abc")), {})
    members.seen = {i: s for i, s in members.seen.items() if i in "abcd"}
    assert members.next_voters(told, NOW) is None
    members.seen["d"] = Seen(D, EU, NOW, 8)
    assert members.next_voters(told, NOW) == ClusterConfiguration(ids("abc"), ids("d"))
