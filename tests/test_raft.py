import random

import pytest

from mallowvalve.raft.log import Log
from mallowvalve.raft.messages import (
    COMMAND,
    CONFIGURATION,
    AppendEntries,
    AppendEntriesResponse,
    ClusterConfiguration,
    Entry,
    GroupId,
    RaftSnapshot,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
    encode,
)
from mallowvalve.raft.raft import LEADER, Raft, RaftTimings
from mallowvalve.types import Address
from sim.world import Node, World

G = GroupId(1, "g")
ADDRS = {f"n{i}": Address("10.0.0.1", 1 + i) for i in range(5)}
FIVE = ClusterConfiguration(ADDRS)


def raft(me="n0", voters=FIVE, entries=(), term=0, vote="", seed=1, now=0.0):
    return Raft(me, Log(RaftSnapshot(G, 0, 0, voters, b""), list(entries)), term, vote, random.Random(seed), now)


def entry(i, term):
    return Entry(i, term, COMMAND, 0, b"x")


class RaftNode(Node):
    def __init__(self, world, me):
        super().__init__(world, ADDRS[me])
        self.raft = raft(me, seed=world.rng.random())
        self.appends = 0
        self.every(0.02, lambda: self.step(lambda: None))

    def handle(self, kind, src, body, answer):
        self.step(lambda: self.raft.receive(*body, self.now))

    def step(self, act):
        act()
        self.raft.tick(self.now)
        r = self.raft.ready(self.now)
        self.raft.saved(r)
        for to, m in r.before_save + r.after_save:
            self.appends += isinstance(m, AppendEntries)
            self.cast(ADDRS[to], "raft", (self.raft.me, m))


def group(seed):
    w = World(seed, slow=0.05)
    ns = [RaftNode(w, i) for i in ADDRS]
    while not any(n.raft.committed_in_term for n in ns):
        w.run(w.now + 0.1)
    return w, ns, next(n for n in ns if n.raft.committed_in_term)


@pytest.mark.parametrize("seed", range(5))
def test_several_laggards_catch_up_without_a_storm_of_messages(seed):
    w, ns, lead = group(seed)
    late = [n for n in ns if n is not lead][:2]
    for n in late:
        for o in ns:
            w.cut(n.addr, o.addr)
    for _ in range(200):
        lead.step(lambda: lead.raft.propose(COMMAND, b"x" * 20_000, 0))
        w.run(w.now + 0.005)
    w.heal()
    before = lead.appends
    for _ in range(300):
        lead.step(lambda: lead.raft.propose(COMMAND, b"x", 0))
        w.run(w.now + 0.002)
        assert lead.appends - before < 6000
    w.run(w.now + 1.0)
    assert {n.raft.commit_index for n in ns} == {lead.raft.log.last_index}


def test_votes_go_to_one_candidate_a_term_and_only_to_logs_as_new():
    r = raft(entries=[entry(1, 1), entry(2, 2)], term=2)
    for src, m, ok in (
        ("n1", RequestVote(3, False, 1, 2), False),
        ("n2", RequestVote(3, False, 9, 1), False),
        ("n3", RequestVote(3, False, 2, 2), True),
        ("n4", RequestVote(3, False, 5, 2), False),
        ("n3", RequestVote(3, False, 2, 2), True),
    ):
        r.receive(src, m, 5.0)
        ((to, v),) = r.ready(5.0).after_save
        assert (to, v.granted) == (src, ok)


def test_a_follower_that_hears_its_leader_refuses_others_and_keeps_its_term():
    r = raft()
    r.receive("n1", AppendEntries(1, 0, 0, [], 0, 1), 1.0)
    r.ready(1.0)
    r.receive("n2", RequestVote(7, True, 9, 9), 1.5)
    assert [v.granted for _, v in r.ready(1.5).after_save] == [False]
    r.receive("n2", RequestVote(7, False, 9, 9), 1.5)
    assert r.term == 1 and r.ready(1.5).after_save == []
    r.receive("n2", RequestVote(7, False, 9, 9, True), 1.6)
    assert r.term == 7 and [v.granted for _, v in r.ready(1.6).after_save] == [True]


def test_nothing_is_answered_before_it_can_be_saved():
    r = raft()
    r.receive("n1", AppendEntries(1, 0, 0, [entry(1, 1)], 0, 1), 1.0)
    out = r.ready(1.0)
    assert (
        out.before_save == [] and out.hard_state.term == 1 and out.entries == [entry(1, 1)] and len(out.after_save) == 1
    )


def test_a_leader_counts_itself_only_once_saved():
    r = raft(voters=ClusterConfiguration({"n0": ADDRS["n0"]}))
    r.tick(9.0)
    assert r.role == LEADER
    out = r.ready(9.0)
    assert r.commit_index == 0
    r.saved(out)
    assert r.commit_index == 1


def test_an_entry_of_an_older_term_commits_only_under_a_newer_one():
    r = raft(entries=[entry(1, 1)], term=1)
    r.tick(9.0)
    r.receive("n1", RequestVoteResponse(2, True, True), 9.0)
    r.receive("n2", RequestVoteResponse(2, True, True), 9.0)
    r.receive("n1", RequestVoteResponse(2, False, True), 9.0)
    r.receive("n2", RequestVoteResponse(2, False, True), 9.0)
    assert r.role == LEADER and r.term == 2
    r.saved(r.ready(9.0))
    for n in ("n1", "n2"):
        r.receive(n, AppendEntriesResponse(2, True, 1, 0), 9.1)
    assert r.commit_index == 0
    for n in ("n1", "n2"):
        r.receive(n, AppendEntriesResponse(2, True, 2, 0), 9.2)
    assert r.commit_index == 2


def test_a_leader_without_its_quorum_steps_down():
    w, ns, lead = group(8)
    for o in ns:
        if o is not lead:
            w.cut(lead.addr, o.addr)
    w.run(w.now + 3.0)
    assert lead.raft.role != LEADER and sum(n.raft.committed_in_term for n in ns) == 1


def test_a_leader_hands_over_to_the_most_caught_up():
    w, ns, lead = group(9)
    lead.step(lead.raft.transfer_leadership)
    w.run(w.now + 0.5)
    assert lead.raft.role != LEADER and any(n.raft.committed_in_term for n in ns)


def test_a_leader_hands_over_once_its_successor_holds_all_and_takes_no_command_meanwhile():
    r = raft(voters=ClusterConfiguration({i: ADDRS[i] for i in ("n0", "n1", "n2")}))
    r.tick(9.0)
    for pre in (True, False):
        r.receive("n1", RequestVoteResponse(1, pre, True), 9.0)
    r.saved(r.ready(9.0))
    r.receive("n1", AppendEntriesResponse(1, True, 1, 1), 9.01)
    assert r.propose(COMMAND, b"x", 0) == 2
    r.transfer_leadership()
    assert not [m for _, m in r.ready(9.02).after_save if isinstance(m, TimeoutNow)]
    assert r.propose(COMMAND, b"y", 0) is None and r.log.last_index == 2
    r.receive("n1", AppendEntriesResponse(1, True, 2, 2), 9.05)
    assert [(to, m) for to, m in r.ready(9.06).after_save if isinstance(m, TimeoutNow)] == [("n1", TimeoutNow(1))]
    assert r.propose(COMMAND, b"y", 0) is None, "its campaign is awaited"
    r.tick(9.06 + r.times.election_timeout)
    assert r.leads and r.propose(COMMAND, b"y", 0) == 3, "nothing came of it"


def test_one_change_of_voters_at_a_time():
    w, ns, lead = group(10)
    less = ClusterConfiguration({i: a for i, a in ADDRS.items() if i != "n4" or lead.raft.me == "n4"})
    assert lead.raft.change_configuration(less, 0) is not None
    assert lead.raft.change_configuration(FIVE, 0) is None
    w.run(w.now + 1.0)
    assert lead.raft.change_configuration(FIVE, 0) is not None


def test_what_is_decided_waits_for_a_round_that_goes_anyway_but_not_long():
    v = ClusterConfiguration({"n0": ADDRS["n0"], "n1": ADDRS["n1"]}, {"n2": ADDRS["n2"]})
    r = Raft(
        "n0",
        Log(RaftSnapshot(G, 0, 0, v, b""), []),
        0,
        "",
        random.Random(1),
        0.0,
        RaftTimings(min_broadcast_interval=0.01, commit_notice_delay=0.03),
    )

    def turn(now):
        out = r.ready(now)
        r.saved(out)
        return [(to, m.commit_index) for to, m in out.before_save]

    r.tick(9.0)
    for pre in (True, False):
        r.receive("n1", RequestVoteResponse(1, pre, True), 9.0)
    assert turn(9.0) == [("n2", 0), ("n1", 0)]
    r.propose(COMMAND, b"x", 0)
    assert turn(9.02) == [("n1", 0)]
    r.receive("n1", AppendEntriesResponse(1, True, 2, 2), 9.03)
    assert turn(9.03) == [] and r.commit_index == 2 and r.timer() == pytest.approx(9.06)
    r.request_confirmation_round()
    assert turn(9.05) == [("n1", 2)]
    assert turn(9.06) == [("n2", 2)]
    for i in range(7, 16):
        r.request_confirmation_round()
        assert turn(9.0 + i / 100) == [("n1", 2)]
    r.request_confirmation_round()
    assert turn(9.17) == [("n2", 2), ("n1", 2)]


def members(text):
    return {i: ADDRS[i] for i in text.split()}


def joint(new, old):
    return ClusterConfiguration(members(new), {}, members(old))


def led(voters, entries=(), term=0):
    """`n0` as the leader of the next term by its voters' votes, nothing committed yet."""
    r = raft(voters=voters, entries=entries, term=term)
    r.tick(9.0)
    for pre in (True, False):
        for i in voters.all_voters():
            if i != "n0":
                r.receive(i, RequestVoteResponse(term + 1, pre, True), 9.0)
    assert r.role == LEADER
    r.saved(r.ready(9.0))
    return r


def hold(r, ids, index, now=9.1):
    for i in ids.split():
        r.receive(i, AppendEntriesResponse(r.term, True, index, 0), now)


def test_a_joint_configuration_commits_by_both_majorities_only():
    r = led(ClusterConfiguration(members("n0 n1 n2")))
    hold(r, "n1", 1)
    assert r.change_configuration(ClusterConfiguration(members("n0 n3 n4")), 0) == 2
    assert r.log.configuration == joint("n0 n3 n4", "n0 n1 n2")
    r.saved(r.ready(9.2))
    hold(r, "n1 n2", 2)
    assert r.commit_index == 1
    hold(r, "n3", 2)
    assert r.commit_index == 2 and r.log.configuration == ClusterConfiguration(members("n0 n3 n4"))
    r.saved(r.ready(9.3))
    hold(r, "n1 n2", 3)
    assert r.commit_index == 2
    hold(r, "n4", 3)
    assert r.commit_index == 3


def test_a_joint_configuration_elects_by_both_majorities_only():
    r = raft(voters=joint("n0 n3 n4", "n0 n1 n2"))
    r.tick(9.0)
    assert {to for to, _ in r.ready(9.0).after_save} == {"n1", "n2", "n3", "n4"}
    for i in ("n1", "n2"):
        r.receive(i, RequestVoteResponse(1, True, True), 9.0)
    assert r.term == 0
    r.receive("n3", RequestVoteResponse(1, True, True), 9.0)
    assert r.term == 1
    for i in ("n3", "n4"):
        r.receive(i, RequestVoteResponse(1, False, True), 9.0)
    assert r.role != LEADER
    r.receive("n1", RequestVoteResponse(1, False, True), 9.0)
    assert r.role == LEADER


def test_a_round_is_confirmed_by_both_majorities_only():
    r = led(joint("n0 n3 n4", "n0 n1 n2"))
    before = r.rounds.confirmed
    r.broadcast_requested = True
    r.ready(9.3)
    for i in ("n1", "n2"):
        r.receive(i, AppendEntriesResponse(1, True, 0, r.rounds.round_number), 9.3)
    assert r.rounds.confirmed == before
    r.receive("n4", AppendEntriesResponse(1, True, 0, r.rounds.round_number), 9.3)
    assert r.rounds.confirmed == r.rounds.round_number


def test_a_new_leader_ends_the_change_that_it_finds_in_its_log():
    begun = Entry(1, 1, CONFIGURATION, 0, encode(joint("n0 n1 n3", "n0 n1 n2")))
    r = led(ClusterConfiguration(members("n0 n1 n2")), [begun], term=1)
    assert (
        r.log.configuration.old_voters and r.change_configuration(ClusterConfiguration(members("n0 n1 n2")), 0) is None
    )
    hold(r, "n1", 2)
    assert (
        r.commit_index == 2
        and r.log.configuration == ClusterConfiguration(members("n0 n1 n3"))
        and r.log.last_index == 3
    )


def test_a_joint_configuration_that_is_cut_from_the_log_is_no_longer_in_force():
    r = raft(voters=ClusterConfiguration(members("n0 n1 n2")))
    begun = Entry(1, 1, CONFIGURATION, 0, encode(joint("n0 n3 n4", "n0 n1 n2")))
    r.receive("n1", AppendEntries(1, 0, 0, [begun], 0, 1), 1.0)
    assert r.log.configuration.old_voters
    r.receive("n2", AppendEntries(2, 0, 0, [entry(1, 2)], 0, 1), 1.1)
    assert r.log.configuration == ClusterConfiguration(members("n0 n1 n2"))


def test_a_leader_left_out_steps_down_after_the_final_configuration_and_names_a_successor():
    r = led(ClusterConfiguration(members("n0 n1 n2")))
    hold(r, "n1", 1)
    r.change_configuration(ClusterConfiguration(members("n1 n2 n3")), 0)
    r.saved(r.ready(9.2))
    hold(r, "n1 n3", 2)
    assert r.leads and not r.log.configuration.old_voters
    r.saved(r.ready(9.3))
    hold(r, "n1", 3)
    assert r.leads
    hold(r, "n3", 3)
    assert not r.leads and r.commit_index == 3
    assert [to for to, m in r.ready(9.4).after_save if isinstance(m, TimeoutNow)] in (["n1"], ["n3"])


def test_learners_come_and_go_in_one_step_and_only_addresses_change_within_a_joint_configuration():
    r = led(ClusterConfiguration(members("n0 n1 n2")))
    hold(r, "n1", 1)
    assert r.change_configuration(ClusterConfiguration(members("n0 n1 n2"), members("n3")), 0) == 2
    assert r.log.configuration == ClusterConfiguration(members("n0 n1 n2"), members("n3"))
    assert r.change_configuration(ClusterConfiguration(members("n0 n1 n3")), 0) is None
    r.saved(r.ready(9.2))
    hold(r, "n1", 2)
    r.change_configuration(ClusterConfiguration(members("n0 n1 n3")), 0)
    r.saved(r.ready(9.3))
    under_way = r.log.configuration
    moved = {**under_way.voters, "n3": Address("10.0.0.9", 9)}
    assert under_way.next_toward(ClusterConfiguration(moved, {}, under_way.old_voters)) == ClusterConfiguration(
        moved, {}, under_way.old_voters
    )
    assert under_way.next_toward(ClusterConfiguration(moved)) is None
    assert under_way.next_toward(ClusterConfiguration(members("n0 n1"), {}, under_way.old_voters)) is None
    assert ClusterConfiguration(members("n0")).next_toward(ClusterConfiguration({})) is None


@pytest.mark.parametrize("seed", range(20))
def test_one_leader_a_term_and_one_log_whatever_changes_meet_cuts(seed):
    w, ns, _ = group(100 + seed)
    leaders, rng = {}, random.Random(seed)
    for _ in range(60):
        for n in ns:
            if n.raft.role == LEADER:
                wanted = rng.sample(sorted(ADDRS), rng.choice([2, 3, 5]))
                n.step(
                    lambda n=n, wanted=wanted: n.raft.change_configuration(
                        ClusterConfiguration(members(" ".join(wanted))), 0
                    )
                )
                n.step(lambda n=n: n.raft.propose(COMMAND, b"x", 0))
        w.heal()
        if rng.random() < 0.5:
            side = rng.sample(ns, 2)
            w.split([n.addr for n in side], [n.addr for n in ns if n not in side])
        for _ in range(10):
            w.run(w.now + 0.06)
            for n in ns:
                if n.raft.role == LEADER:
                    assert leaders.setdefault(n.raft.term, n.raft.me) == n.raft.me
    w.heal()
    w.run(w.now + 10.0)
    least = min(n.raft.commit_index for n in ns)
    assert len({tuple((e.term, e.data) for e in n.raft.log.entries[:least]) for n in ns}) == 1
    assert any(n.raft.committed_in_term for n in ns) and max(n.raft.commit_index for n in ns) > 30


def test_what_members_outside_both_sets_say_changes_nothing():
    r = raft(voters=ClusterConfiguration(members("n0 n1 n2")))
    r.tick(9.0)
    for i in ("n3", "n4", "nobody"):
        r.receive(i, RequestVoteResponse(1, True, True), 9.0)
    assert r.term == 0 and r.role != LEADER
    r = led(ClusterConfiguration(members("n0 n1 n2")))
    for i in ("n3", "n4", "nobody"):
        r.receive(i, AppendEntriesResponse(1, True, 1, 9), 9.1)
    assert r.commit_index == 0 and r.progress().keys() <= {"n1", "n2"}
