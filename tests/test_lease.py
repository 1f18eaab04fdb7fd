"""What a control process says rests on a majority's confirmation, counted from when it asked (Ongaro's dissertation, 6.4)."""

import random

import pytest

from mallowvalve.control import lease
from mallowvalve.control.core import Core
from mallowvalve.control.lease import LEASE_BOUNDS, AnswerKind
from mallowvalve.control.snapshot import founding
from mallowvalve.control.state import encode
from mallowvalve.coordination.plain import Count
from mallowvalve.raft.contact import MOST_QUESTIONS, NO_STAMP, Contact, Questions
from mallowvalve.raft.log import Log
from mallowvalve.raft.messages import NOOP, Append, Appended, Ask, Entry, Envelope, Group, Snapshot, Voice, Voters
from mallowvalve.raft.raft import Raft
from mallowvalve.types import Address, Locality

G = Group(1, "g")
ADDRESSES = {i: Address("10.0.0.1", n) for n, i in enumerate("abc", 1)}
WATCH = LEASE_BOUNDS[AnswerKind.WATCH].seconds
BETWEEN_REGIONS = 0.035
STEP = 0.005


class Trio:
    """Three Raft machines, whose steady clocks differ, and the messages on their way; a held pair keeps its own."""

    def __init__(self, seed=1, delay=BETWEEN_REGIONS):
        snapshot = Snapshot(G, 0, 0, Voters(ADDRESSES), [])
        self.now, self.delay, self.rng = 0.0, delay, random.Random(seed)
        self.ahead = {"a": 0.0, "b": 5000.0, "c": 300.0}
        self.rafts = {
            i: Raft(i, Log(snapshot, []), 0, "", random.Random(f"{seed}{i}"), self.ahead[i]) for i in ADDRESSES
        }
        self.way = []
        self.held, self.lost, self.asleep = set(), set(), set()
        self.run(6.0)

    def clock(self, i):
        return self.now + self.ahead[i]

    def run(self, span):
        end = self.now + span
        while self.now < end:
            self.now += STEP
            for i, r in self.rafts.items():
                if i not in self.asleep:
                    self.step(i, r)

    def step(self, i, r):
        due = [x for x in self.way if x[2] == i and x[0] <= self.now and (x[1], i) not in self.held]
        self.way = [x for x in self.way if x not in due]
        for _, src, _, m in due:
            r.receive(src, m, self.clock(i))
        r.tick(self.clock(i))
        ready = r.ready(self.clock(i))
        r.saved(ready)
        for to, m in [*ready.early, *ready.late]:
            if (i, to) not in self.lost:
                self.way.append((self.now + self.delay, i, to, m))

    def leader(self):
        return next(i for i, r in self.rafts.items() if r.settled)

    def followers(self):
        return sorted(set(self.rafts) - {self.leader()})

    def age(self, i):
        """How long ago, by this machine's own clock, it asked what a majority has confirmed since."""
        return self.clock(i) - self.rafts[i].contact()


@pytest.fixture(params=range(3))
def trio(request):
    return Trio(request.param)


def test_in_calm_times_every_machine_s_contact_is_well_inside_the_bound_of_a_watch(trio):
    worst = 0.0
    for _ in range(200):
        trio.run(0.03)
        worst = max(worst, *(trio.age(i) for i in trio.rafts))
    assert worst < 0.4 < WATCH


def test_appends_held_back_by_a_cut_don_t_make_a_follower_look_in_touch(trio):
    lead, (one, other) = trio.leader(), trio.followers()
    trio.held = {(x, y) for x in (one,) for y in (lead, other)} | {(y, x) for x in (one,) for y in (lead, other)}
    trio.asleep = {one}
    trio.run(20.0)
    trio.held, trio.asleep = set(), set()
    trio.lost = {(one, lead), (one, other)}
    trio.run(STEP)
    assert trio.rafts[one].leader == lead
    assert trio.age(one) > 15.0
    trio.run(0.3)
    assert trio.age(one) > 15.0


def test_a_follower_that_hears_but_is_not_heard_has_no_contact(trio):
    lead, (one, other) = trio.leader(), trio.followers()
    trio.lost = {(one, lead)}
    trio.run(0.9)
    assert trio.age(one) > WATCH and trio.age(other) < WATCH and trio.age(lead) < WATCH


def test_followers_of_a_leader_that_nobody_answers_have_no_contact(trio):
    lead, both = trio.leader(), trio.followers()
    trio.lost = {(i, lead) for i in both}
    trio.run(0.9)
    assert all(trio.age(i) > WATCH for i in trio.rafts)
    assert all(trio.rafts[i].leader == lead for i in both)


def test_a_leader_cut_off_has_no_contact_though_it_still_leads(trio):
    lead, both = trio.leader(), trio.followers()
    trio.lost = {(lead, i) for i in both} | {(i, lead) for i in both}
    trio.run(0.9)
    assert trio.rafts[lead].leads and trio.age(lead) > WATCH
    trio.run(6.0)
    assert trio.leader() != lead and trio.age(lead) > 6.0


def test_a_reset_connection_ends_no_contact_and_starts_no_election(trio):
    lead, (one, _) = trio.leader(), trio.followers()
    term = trio.rafts[lead].term
    for _ in range(30):
        trio.rafts[one].doubt(trio.clock(one))
        assert trio.age(one) < WATCH
        trio.run(0.1)
    assert trio.leader() == lead and trio.rafts[lead].term == term


def test_votes_held_on_their_way_are_no_contact():
    r = Raft("a", Log(Snapshot(G, 0, 0, Voters(ADDRESSES), []), []), 0, "", random.Random(1), 0.0)
    r.tick(5.0)
    r.receive("b", Voice(1, True, True), 5.0)
    r.receive("b", Voice(1, False, True), 5.9)
    r.ready(5.9)
    assert r.leads and r.contact() == NO_STAMP
    r.receive("b", Appended(1, True, 0, r.rounds.seq, 5.95), 7.0)
    assert r.contact() == 5.9


def test_a_stamp_is_sure_once_a_round_sent_after_it_is_confirmed():
    q = Questions()
    assert q.sure(9) == NO_STAMP
    q.ask(1.0, 4)
    q.ask(2.0, 6)
    assert [q.sure(n) for n in (3, 4, 5, 6, 7)] == [NO_STAMP, 1.0, 1.0, 2.0, 2.0]
    for n in range(2 * MOST_QUESTIONS):
        q.ask(3.0 + n, 7)
    assert q.sure(7) == 3.0 + MOST_QUESTIONS - 1


def test_stamps_of_another_life_or_of_the_future_are_no_proof():
    c = Contact(10.0)
    for sure, now, at in ((9.0, 11.0, NO_STAMP), (12.0, 11.0, NO_STAMP), (10.5, 11.0, 10.5), (10.2, 11.0, 10.5)):
        c.hear(sure, now)
        assert c.at == at


def core(entries=()):
    c = Core("a", ADDRESSES["a"], Locality("eu", "eu-a"), random.Random(1))
    c.start(founding(G, Voters(ADDRESSES), None), None, list(entries), 0.0)
    return c


def test_one_table_names_a_bound_and_a_reason_for_each_kind_of_answer():
    assert set(LEASE_BOUNDS) == set(AnswerKind) and all(b.reason for b in LEASE_BOUNDS.values())
    assert LEASE_BOUNDS[AnswerKind.READ].seconds == LEASE_BOUNDS[AnswerKind.ORDER].seconds == 0
    for kind, bound in LEASE_BOUNDS.items():
        assert lease.is_valid(kind, 5.0, 4.999 + bound.seconds) is (bound.seconds > 0)
        assert not lease.is_valid(kind, 5.0, 5.0 + bound.seconds)
        assert not lease.is_valid(kind, 5.0, 4.9) and not lease.is_valid(kind, NO_STAMP, 5.0)
    assert lease.retry_after(False) > lease.retry_after(True) > 0


def test_a_core_that_only_hears_its_leader_answers_no_watch_and_no_heartbeat():
    c = core()

    def heard(at, sure):
        c.receive(Envelope(G, "b", "a", ADDRESSES["b"], Append(1, 0, 0, [], 0, 1, sure)), at)
        c.saved(c.ready(at), at)
        return [kind for kind in AnswerKind if c.may_answer(kind, at)]

    assert heard(1.0, NO_STAMP) == [] and heard(1.1, 0.9) == [
        AnswerKind.CALL,
        AnswerKind.WATCH,
        AnswerKind.HEARTBEAT,
        AnswerKind.NOTICE,
        AnswerKind.DIRECTORY,
    ]
    assert heard(2.0, 0.9) == [AnswerKind.CALL, AnswerKind.HEARTBEAT, AnswerKind.DIRECTORY]
    assert heard(9.0, 0.9) == [AnswerKind.DIRECTORY]


def test_an_acknowledgement_names_the_term_that_it_rests_on():
    c = core()
    c.tick(5.0)
    for pre in (True, False):
        c.saved(c.ready(5.0), 5.0)
        c.receive(Envelope(G, "b", "a", ADDRESSES["b"], Voice(c.raft.term + pre, pre, True)), 5.0)
    c.saved(c.ready(5.0), 5.0)
    c.receive(Envelope(G, "b", "a", ADDRESSES["b"], Appended(c.raft.term, True, 1, c.raft.rounds.seq, 5.0)), 5.0)
    c.saved(c.ready(5.0), 5.0)
    assert c.leads
    c.propose(encode(Count("n")), "order", 9.0, 5.1)
    c.read("read", 9.0, 5.1)
    c.saved(c.ready(5.1), 5.1)
    c.receive(Envelope(G, "b", "a", ADDRESSES["b"], Appended(c.raft.term, True, 2, c.raft.rounds.seq, 5.1)), 5.2)
    c.saved(c.ready(5.2), 5.2)
    assert {t: (took.code, took.term) for t, took in c.replies} == {"order": ("ok", 1), "read": ("ok", 1)}


def test_a_vote_is_asked_for_anew_by_one_that_doubts_and_given_by_one_that_doubts_too():
    r = Raft("a", Log(Snapshot(G, 0, 0, Voters(ADDRESSES), []), []), 1, "", random.Random(1), 0.0)
    r.receive("b", Append(1, 0, 0, [], 0, 1), 1.0)

    def vote(at):
        r.ready(at)
        r.receive("c", Ask(2, True, 0, 0), at)
        return [m.granted for _, m in r.ready(at).late if isinstance(m, Voice)]

    assert vote(1.1) == [False]
    r.doubt(1.1)
    assert vote(1.2) == [True]


def test_a_follower_that_lacks_what_its_leader_has_decided_serves_no_watch():
    core = Core("a", ADDRESSES["a"], Locality("r", "z"), random.Random(1))
    core.start(founding(G, Voters(ADDRESSES), None), None, [], 0.0)

    def hear(message, now):
        core.receive(Envelope(G, "b", "a", ADDRESSES["b"], message), now)
        core.tick(now)
        core.saved(core.ready(now), now)

    hear(Append(1, 0, 0, [Entry(1, 1, NOOP, 0, b"")], 1, 1, 0.0), 0.1)
    assert core.current(0.2)
    hear(Append(1, 500, 1, [], 500, 9, 5.0), 5.1)
    assert core.state.index == 1 and not core.current(5.2)
