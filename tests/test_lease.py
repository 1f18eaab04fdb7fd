"""Leases: answers rest on a majority's confirmation, timed from when the question was sent (Ongaro's dissertation, 6.4)."""

import random

import pytest

from mallowvalve.control import lease
from mallowvalve.control.core import Core
from mallowvalve.control.lease import LEASE_BOUNDS, AnswerKind
from mallowvalve.control.snapshot import initial_snapshot
from mallowvalve.control.state import encode
from mallowvalve.coordination.plain import Count
from mallowvalve.raft.contact import MAX_PENDING_STAMPS, NO_STAMP, ContactStamps, QuorumContact
from mallowvalve.raft.log import Log
from mallowvalve.raft.messages import (
    NOOP,
    AppendEntries,
    AppendEntriesResponse,
    ClusterConfiguration,
    Entry,
    Envelope,
    GroupId,
    RaftSnapshot,
    RequestVote,
    VoteResponse,
)
from mallowvalve.raft.raft import Raft
from mallowvalve.types import Address, Locality

G = GroupId(1, "g")
ADDRESSES = {i: Address("10.0.0.1", n) for n, i in enumerate("abc", 1)}
WATCH_S = LEASE_BOUNDS[AnswerKind.WATCH].seconds
BETWEEN_REGIONS_S = 0.035
STEP_S = 0.005


class Trio:
    """Three Raft machines with differing steady clocks, and the messages in flight between them.

    Messages between a pair in `held` are delayed, those in `lost` are dropped; machines in `asleep` do not run.
    """

    def __init__(self, seed=1, delay=BETWEEN_REGIONS_S):
        snapshot = RaftSnapshot(G, 0, 0, ClusterConfiguration(ADDRESSES), [])
        self.now, self.delay, self.rng = 0.0, delay, random.Random(seed)
        self.clock_offsets = {"a": 0.0, "b": 5000.0, "c": 300.0}
        self.rafts = {
            name: Raft(name, Log(snapshot, []), 0, "", random.Random(f"{seed}{name}"), self.clock_offsets[name])
            for name in ADDRESSES
        }
        self.in_flight = []
        self.held, self.lost, self.asleep = set(), set(), set()
        self.run(6.0)

    def clock(self, name):
        return self.now + self.clock_offsets[name]

    def run(self, span):
        end = self.now + span
        while self.now < end:
            self.now += STEP_S
            for name, raft in self.rafts.items():
                if name not in self.asleep:
                    self.step(name, raft)

    def step(self, name, raft):
        due = [
            message
            for message in self.in_flight
            if message[2] == name and message[0] <= self.now and (message[1], name) not in self.held
        ]
        self.in_flight = [message for message in self.in_flight if message not in due]
        for _, sender, _, body in due:
            raft.receive(sender, body, self.clock(name))
        raft.tick(self.clock(name))
        ready = raft.ready(self.clock(name))
        raft.saved(ready)
        for receiver, body in [*ready.before_save, *ready.after_save]:
            if (name, receiver) not in self.lost:
                self.in_flight.append((self.now + self.delay, name, receiver, body))

    def leader(self):
        return next(name for name, raft in self.rafts.items() if raft.committed_in_term)

    def followers(self):
        return sorted(set(self.rafts) - {self.leader()})

    def age(self, name):
        """Returns the age of the machine's contact with a majority, on its own clock (s)."""
        return self.clock(name) - self.rafts[name].last_quorum_contact()


@pytest.fixture(params=range(3))
def trio(request):
    return Trio(request.param)


def test_without_faults_the_contact_of_every_machine_is_well_within_the_watch_bound(trio):
    worst = 0.0
    for _ in range(200):
        trio.run(0.03)
        worst = max(worst, *(trio.age(name) for name in trio.rafts))
    assert worst < 0.4 < WATCH_S


def test_appends_delayed_by_a_partition_do_not_renew_a_followers_contact(trio):
    leader, (one, other) = trio.leader(), trio.followers()
    trio.held = {(x, y) for x in (one,) for y in (leader, other)} | {(y, x) for x in (one,) for y in (leader, other)}
    trio.asleep = {one}
    trio.run(20.0)
    trio.held, trio.asleep = set(), set()
    trio.lost = {(one, leader), (one, other)}
    trio.run(STEP_S)
    assert trio.rafts[one].leader == leader
    assert trio.age(one) > 15.0
    trio.run(0.3)
    assert trio.age(one) > 15.0


def test_a_follower_whose_answers_are_lost_has_no_contact(trio):
    leader, (one, other) = trio.leader(), trio.followers()
    trio.lost = {(one, leader)}
    trio.run(0.9)
    assert trio.age(one) > WATCH_S and trio.age(other) < WATCH_S and trio.age(leader) < WATCH_S


def test_followers_of_a_leader_without_answers_have_no_contact(trio):
    leader, followers = trio.leader(), trio.followers()
    trio.lost = {(follower, leader) for follower in followers}
    trio.run(0.9)
    assert all(trio.age(follower) > WATCH_S for follower in trio.rafts)
    assert all(trio.rafts[follower].leader == leader for follower in followers)


def test_a_partitioned_leader_has_no_contact(trio):
    leader, followers = trio.leader(), trio.followers()
    trio.lost = {(leader, follower) for follower in followers} | {(follower, leader) for follower in followers}
    trio.run(0.9)
    assert trio.rafts[leader].leads and trio.age(leader) > WATCH_S
    trio.run(6.0)
    assert trio.leader() != leader and trio.age(leader) > 6.0


def test_a_connection_reset_neither_ends_the_contact_nor_starts_an_election(trio):
    leader, (one, _) = trio.leader(), trio.followers()
    term = trio.rafts[leader].term
    for _ in range(30):
        trio.rafts[one].suspect_leader(trio.clock(one))
        assert trio.age(one) < WATCH_S
        trio.run(0.1)
    assert trio.leader() == leader and trio.rafts[leader].term == term


def test_delayed_votes_do_not_establish_contact():
    raft = Raft("a", Log(RaftSnapshot(G, 0, 0, ClusterConfiguration(ADDRESSES), []), []), 0, "", random.Random(1), 0.0)
    raft.tick(5.0)
    raft.receive("b", VoteResponse(1, True, True), 5.0)
    raft.receive("b", VoteResponse(1, False, True), 5.9)
    raft.ready(5.9)
    assert raft.leads and raft.last_quorum_contact() == NO_STAMP
    raft.receive("b", AppendEntriesResponse(1, True, 0, raft.rounds.round_number, 5.95), 7.0)
    assert raft.last_quorum_contact() == 5.9


def test_a_question_is_confirmed_by_a_round_sent_after_it():
    questions = ContactStamps()
    assert questions.confirmed_stamp(9) == NO_STAMP
    questions.add(1.0, 4)
    questions.add(2.0, 6)
    assert [questions.confirmed_stamp(number) for number in (3, 4, 5, 6, 7)] == [NO_STAMP, 1.0, 1.0, 2.0, 2.0]
    for number in range(2 * MAX_PENDING_STAMPS):
        questions.add(3.0 + number, 7)
    assert questions.confirmed_stamp(7) == 3.0 + MAX_PENDING_STAMPS - 1


def test_times_before_the_start_or_in_the_future_do_not_renew_the_contact():
    contact = QuorumContact(10.0)
    for confirmed_at, now, expected in (
        (9.0, 11.0, NO_STAMP),
        (12.0, 11.0, NO_STAMP),
        (10.5, 11.0, 10.5),
        (10.2, 11.0, 10.5),
    ):
        contact.record_echo(confirmed_at, now)
        assert contact.confirmed_at == expected


def started_core(entries=()):
    core = Core("a", ADDRESSES["a"], Locality("eu", "eu-a"), random.Random(1))
    core.start(initial_snapshot(G, ClusterConfiguration(ADDRESSES), None), None, list(entries), 0.0)
    return core


def test_each_kind_of_answer_has_a_bound_and_a_reason():
    assert set(LEASE_BOUNDS) == set(AnswerKind) and all(b.reason for b in LEASE_BOUNDS.values())
    assert LEASE_BOUNDS[AnswerKind.READ].seconds == LEASE_BOUNDS[AnswerKind.ORDER].seconds == 0
    for kind, bound in LEASE_BOUNDS.items():
        assert lease.is_valid(kind, 5.0, 4.999 + bound.seconds) is (bound.seconds > 0)
        assert not lease.is_valid(kind, 5.0, 5.0 + bound.seconds)
        assert not lease.is_valid(kind, 5.0, 4.9) and not lease.is_valid(kind, NO_STAMP, 5.0)
    assert lease.retry_after(False) > lease.retry_after(True) > 0


def test_a_core_without_confirmed_contact_serves_no_watch_and_no_heartbeat():
    core = started_core()

    def answers_after(now, confirmed_at):
        core.receive(Envelope(G, "b", "a", ADDRESSES["b"], AppendEntries(1, 0, 0, [], 0, 1, confirmed_at)), now)
        core.saved(core.ready(now), now)
        return [kind for kind in AnswerKind if core.may_answer(kind, now)]

    assert answers_after(1.0, NO_STAMP) == [] and answers_after(1.1, 0.9) == [
        AnswerKind.CALL,
        AnswerKind.WATCH,
        AnswerKind.HEARTBEAT,
        AnswerKind.NOTICE,
        AnswerKind.DIRECTORY,
    ]
    assert answers_after(2.0, 0.9) == [AnswerKind.CALL, AnswerKind.HEARTBEAT, AnswerKind.DIRECTORY]
    assert answers_after(9.0, 0.9) == [AnswerKind.DIRECTORY]


def test_a_response_names_the_term_of_the_leader_that_acknowledged_it():
    core = started_core()
    core.tick(5.0)
    for pre in (True, False):
        core.saved(core.ready(5.0), 5.0)
        core.receive(Envelope(G, "b", "a", ADDRESSES["b"], VoteResponse(core.raft.term + pre, pre, True)), 5.0)
    core.saved(core.ready(5.0), 5.0)
    core.receive(
        Envelope(
            G,
            "b",
            "a",
            ADDRESSES["b"],
            AppendEntriesResponse(core.raft.term, True, 1, core.raft.rounds.round_number, 5.0),
        ),
        5.0,
    )
    core.saved(core.ready(5.0), 5.0)
    assert core.leads
    core.propose(encode(Count("n")), "order", 9.0, 5.1)
    core.read("read", 9.0, 5.1)
    core.saved(core.ready(5.1), 5.1)
    core.receive(
        Envelope(
            G,
            "b",
            "a",
            ADDRESSES["b"],
            AppendEntriesResponse(core.raft.term, True, 2, core.raft.rounds.round_number, 5.1),
        ),
        5.2,
    )
    core.saved(core.ready(5.2), 5.2)
    assert {token: (response.code, response.term) for token, response in core.replies} == {
        "order": ("ok", 1),
        "read": ("ok", 1),
    }


def test_a_follower_that_doubts_its_leader_grants_a_pre_vote():
    raft = Raft("a", Log(RaftSnapshot(G, 0, 0, ClusterConfiguration(ADDRESSES), []), []), 1, "", random.Random(1), 0.0)
    raft.receive("b", AppendEntries(1, 0, 0, [], 0, 1), 1.0)

    def votes_granted(now):
        raft.ready(now)
        raft.receive("c", RequestVote(2, True, 0, 0), now)
        return [message.granted for _, message in raft.ready(now).after_save if isinstance(message, VoteResponse)]

    assert votes_granted(1.1) == [False]
    raft.suspect_leader(1.1)
    assert votes_granted(1.2) == [True]


def test_a_follower_far_behind_the_commit_index_serves_no_watch():
    core = Core("a", ADDRESSES["a"], Locality("r", "z"), random.Random(1))
    core.start(initial_snapshot(G, ClusterConfiguration(ADDRESSES), None), None, [], 0.0)

    def hear(message, now):
        core.receive(Envelope(G, "b", "a", ADDRESSES["b"], message), now)
        core.tick(now)
        core.saved(core.ready(now), now)

    hear(AppendEntries(1, 0, 0, [Entry(1, 1, NOOP, 0, b"")], 1, 1, 0.0), 0.1)
    assert core.current(0.2)
    hear(AppendEntries(1, 500, 1, [], 500, 9, 5.0), 5.1)
    assert core.state.index == 1 and not core.current(5.2)
