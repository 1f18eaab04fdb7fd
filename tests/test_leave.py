"""Polite stops of core members in the seeded simulator: no seat is given up before another member holds all."""

import random

import msgspec
import pytest

from mallowvalve.control.leave import Leave, Why
from mallowvalve.control.wire import ProcessStatus
from mallowvalve.raft.log import Log
from mallowvalve.raft.messages import CONFIGURATION, ClusterConfiguration, Entry, GroupId, RaftSnapshot, encode
from mallowvalve.raft.raft import Raft
from mallowvalve.types import Address, Locality
from sim.disk import SimDisk
from sim.fleet import SimulatedFleet
from sim.storms import check

CATCH_UP = 4.0
GRACE = 3.4
A, B, C, D = (Address("10.0.0.1", p) for p in (1, 2, 3, 4))
G = GroupId(1, "g")


def member(voters, learners=(), old=()):
    def ids(text):
        return {i: a for i, a in zip("abcd", (A, B, C, D)) if i in text}

    return ClusterConfiguration(ids(voters), ids(learners), ids(old))


def raft(v):
    return Raft("a", Log(RaftSnapshot(G, 0, 0, v, [])), 0, "", random.Random(1), 0.0)


def answer(v, group=G):
    return ProcessStatus("control", "b", B, Locality("eu", "x"), [], False, group, 5, v, B)


def test_a_configuration_is_committed_before_one_of_its_members_goes():
    log = Log(
        RaftSnapshot(G, 6, 1, member("abc", "", "abd"), []), [Entry(7, 2, CONFIGURATION, 0, encode(member("abc")))]
    )
    machine = Raft("a", log, 2, "", random.Random(1), 0.0)
    leave = Leave("a")
    assert not leave.over(machine, [], [B, C]) and leave.why is Why.WAITS
    machine = Raft("a", log, 2, "", random.Random(1), 0.0, commit_index=7)
    assert leave.over(machine, [], [B, C]) and leave.why is Why.NOBODY


def test_a_change_that_only_another_member_knows_of_is_waited_for():
    machine = Raft("a", Log(RaftSnapshot(G, 6, 1, member("abc"), [])), 1, "", random.Random(1), 0.0)
    joint = msgspec.structs.replace(answer(member("abd", "", "abc")), index=8)
    leave = Leave("a")
    assert not leave.over(machine, [joint], [B, C]) and leave.why is Why.WAITS


def test_what_a_member_that_lags_says_of_seats_does_not_count():
    log = Log(RaftSnapshot(G, 6, 1, member("abc"), []))
    machine = Raft("a", log, 1, "", random.Random(1), 0.0)
    leave = Leave("a")
    assert not leave.over(machine, [answer(member("bcd"))], [B, C, D]) and leave.why is Why.WAITS
    assert leave.over(machine, [msgspec.structs.replace(answer(member("bcd")), index=6)], [B, C, D])


def came_back(id, at, leaving=False):
    """A core process that holds no state, at an address whose former id may have a seat."""
    who = ProcessStatus("control", id, at, Locality("eu", "x"), [], True, None, 0, None, None)
    return msgspec.structs.replace(who, leaving=leaving)


@pytest.mark.parametrize(
    ("mine", "answers", "control", "why"),
    [
        (member("abc"), [], [B, C], Why.NOBODY),
        (member("abc"), [], [B, C, D], Why.WAITS),
        (member("abc", "d"), [answer(member("bcd", "", "abc"))], [B, C, D], Why.WAITS),
        (member("abc", "d"), [answer(member("bcd"))], [B, C, D], Why.REPLACED),
        (member("abc", "d"), [answer(member("bcd"), GroupId(1, "other"))], [B, C, D], Why.WAITS),
        (member("bcd", "", "abc"), [], [B, C, D], Why.WAITS),
        (member("bcd"), [], [B, C, D], Why.REPLACED),
        (member("bcd", "a"), [], [B, C, D], Why.NO_SEAT),
        (ClusterConfiguration(member("abc").voters, {"x": B}), [], [B, C], Why.WAITS),
        (ClusterConfiguration(member("abc").voters, {"x": D}), [], [B, C], Why.NOBODY),
        (member("abc"), [came_back("x", B)], [B, C], Why.WAITS),
        (member("abc"), [came_back("b", B)], [B, C], Why.NOBODY),
        (member("abc"), [came_back("x", B, leaving=True)], [B, C], Why.NOBODY),
    ],
)
def test_a_member_goes_once_its_seat_is_taken_or_nobody_could_take_it(mine, answers, control, why):
    leave = Leave("a")
    assert leave.over(raft(mine), answers, control) == (why is not Why.WAITS) and leave.why is why


def test_a_blank_member_goes_at_once():
    assert Leave("a").over(None, [], [B])


def loaded(seed, cores):
    f = SimulatedFleet(seed, cores=cores, proxies=3, directory_server=1)
    f.load()
    assert f.run_until(lambda: commits(f) and f.history.numbers, 30.0)
    f.run(6.0)
    return f


def commits(f):
    lead = f.leader()
    return lead is not None and f.world.now - lead.core.raft.last_quorum_contact() <= 1.0


def joins(f):
    a = f._address("1", len(f.disks))
    f.disks[a] = SimDisk(random.Random(f.rng.random()))
    f.core.append(a)
    f.start(a)
    return a


def leaves(f, a):
    """The member's polite stop, to its end; returns why it ended and how long that took."""
    node, begun = f.world.nodes[a], f.world.now
    node.leave(GRACE)
    assert f.run_until(lambda: not f.world.up(a), GRACE + 0.2)
    f.core.remove(a)
    return node.left, f.world.now - begun


def voters(f):
    return set(f.leader().core.raft.log.configuration.all_voters().values())


def goes_on(f):
    """Numbers are given on; what is still under way is answered or given up before the history is judged."""
    before = len(f.history.numbers)
    assert f.run_until(lambda: commits(f) and len(f.history.numbers) > before + 3, 15.0)
    f.run(8.0)
    assert check(f.history) == []


@pytest.mark.parametrize("seed", range(5))
def test_the_only_copy_is_handed_on_before_its_holder_ends(seed):
    f = loaded(seed, 1)
    (only,) = f.core
    new = joins(f)
    f.run(f.rng.random())
    assert leaves(f, only)[0] is Why.REPLACED
    f.run(1.0)
    assert voters(f) == {new}
    goes_on(f)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("leads", [True, False])
def test_on_a_core_of_three_a_successor_takes_the_seat_and_the_next_loss_leaves_a_majority(seed, leads):
    f = loaded(seed, 3)
    lead = f.leader().addr
    goes = lead if leads else f.rng.choice([a for a in f.core if a != lead])
    new = joins(f)
    f.run(0.5 * f.rng.random())
    assert leaves(f, goes)[0] is Why.REPLACED
    f.run(CATCH_UP)
    assert voters(f) == set(f.core)
    f.kill(f.rng.choice([a for a in f.core if a != new]))
    goes_on(f)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("cores", [6, 9])
def test_members_that_leave_in_turn_give_their_seats_to_learners(cores, seed):
    f = loaded(seed, cores)
    for _ in range(cores - 5):
        goes = f.leader().addr if f.rng.random() < 0.5 else f.rng.choice(sorted(voters(f)))
        why, took = leaves(f, goes)
        assert why is Why.REPLACED and took < 2.0
        assert f.run_until(lambda: commits(f), 5.0) and goes not in voters(f)
    f.kill(f.rng.choice(f.core))
    f.kill(f.rng.choice([a for a in f.core if f.world.up(a)]))
    goes_on(f)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("cores", [3, 5])
def test_where_nobody_can_take_the_seat_a_plain_restart_is_not_delayed(cores, seed):
    f = loaded(seed, cores)
    f.run(10.0)
    for a in list(f.core):
        f.run_until(lambda: commits(f), 10.0)
        why, took = leaves(f, a)
        assert why is Why.NOBODY and took < 0.3
        f.core.append(a)
        f.start(a)
        f.run(CATCH_UP)
    goes_on(f)
    assert len(voters(f)) == cores


@pytest.mark.parametrize("seed", range(3))
def test_a_successor_that_never_holds_all_is_waited_for_within_the_grace_only(seed):
    f = loaded(seed, 3)
    goes, new = f.core[0], joins(f)
    f.world.split([new], [a for a in f.core if a != new])
    why, took = leaves(f, goes)
    assert why is Why.WAITS and GRACE <= took < GRACE + 0.3
    f.world.heal()
    goes_on(f)
