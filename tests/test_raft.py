"""The Raft state machine: elections, replication, commits, leader transfer and membership changes."""

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
    TimeoutNow,
    VoteResponse,
    encode,
)
from mallowvalve.raft.raft import LEADER, Raft, RaftTimings
from mallowvalve.types import Address
from sim.world import SimulatedNode, World

GROUP = GroupId(1, "g")
ADDRESSES = {f"n{i}": Address("10.0.0.1", 1 + i) for i in range(5)}
FIVE = ClusterConfiguration(ADDRESSES)


def make_member(me="n0", voters=FIVE, entries=(), term=0, vote="", seed=1, now=0.0):
    return Raft(me, Log(RaftSnapshot(GROUP, 0, 0, voters, b""), list(entries)), term, vote, random.Random(seed), now)


def entry(member_id, term):
    return Entry(member_id, term, COMMAND, 0, b"x")


class RaftNode(SimulatedNode):
    """A member on the simulated network that processes messages at once and ticks every 20 ms."""

    def __init__(self, world, me):
        super().__init__(world, ADDRESSES[me])
        self.raft = make_member(me, seed=world.rng.random())
        self.appends = 0
        self.every(0.02, lambda: self.step(lambda: None))

    def handle(self, kind, sender, body, answer):
        self.step(lambda: self.raft.receive(*body, self.now))

    def step(self, act):
        act()
        self.raft.tick(self.now)
        ready = self.raft.ready(self.now)
        self.raft.saved(ready)
        for to, message in ready.before_save + ready.after_save:
            self.appends += isinstance(message, AppendEntries)
            self.cast(ADDRESSES[to], "raft", (self.raft.me, message))


def start_group(seed):
    """A group with a leader that has committed in its term: the world, all nodes, and the leader."""
    world = World(seed, slow=0.05)
    nodes = [RaftNode(world, member_id) for member_id in ADDRESSES]
    while not any(node.raft.committed_in_term for node in nodes):
        world.run(world.now + 0.1)
    return world, nodes, next(node for node in nodes if node.raft.committed_in_term)


@pytest.mark.parametrize("seed", range(5))
def test_lagging_followers_catch_up_with_a_bounded_number_of_messages(seed):
    world, nodes, lead = start_group(seed)
    lagging = [node for node in nodes if node is not lead][:2]
    for node in lagging:
        for other in nodes:
            world.cut(node.addr, other.addr)
    for _ in range(200):
        lead.step(lambda: lead.raft.propose(COMMAND, b"x" * 20_000, 0))
        world.run(world.now + 0.005)
    world.heal()
    before = lead.appends
    for _ in range(300):
        lead.step(lambda: lead.raft.propose(COMMAND, b"x", 0))
        world.run(world.now + 0.002)
        assert lead.appends - before < 6000
    world.run(world.now + 1.0)
    assert {node.raft.commit_index for node in nodes} == {lead.raft.log.last_index}


def test_a_vote_goes_to_one_candidate_per_term_with_an_up_to_date_log():
    member = make_member(entries=[entry(1, 1), entry(2, 2)], term=2)
    for sender, message, granted in (
        ("n1", RequestVote(3, False, 1, 2), False),
        ("n2", RequestVote(3, False, 9, 1), False),
        ("n3", RequestVote(3, False, 2, 2), True),
        ("n4", RequestVote(3, False, 5, 2), False),
        ("n3", RequestVote(3, False, 2, 2), True),
    ):
        member.receive(sender, message, 5.0)
        ((to, response),) = member.ready(5.0).after_save
        assert (to, response.granted) == (sender, granted)


def test_a_follower_with_a_live_leader_rejects_candidates_and_keeps_its_term():
    member = make_member()
    member.receive("n1", AppendEntries(1, 0, 0, [], 0, 1), 1.0)
    member.ready(1.0)
    member.receive("n2", RequestVote(7, True, 9, 9), 1.5)
    assert [response.granted for _, response in member.ready(1.5).after_save] == [False]
    member.receive("n2", RequestVote(7, False, 9, 9), 1.5)
    assert member.term == 1 and member.ready(1.5).after_save == []
    member.receive("n2", RequestVote(7, False, 9, 9, True), 1.6)
    assert member.term == 7 and [response.granted for _, response in member.ready(1.6).after_save] == [True]


def test_no_response_is_sent_before_the_save():
    member = make_member()
    member.receive("n1", AppendEntries(1, 0, 0, [entry(1, 1)], 0, 1), 1.0)
    ready = member.ready(1.0)
    assert ready.before_save == [] and ready.hard_state.term == 1
    assert ready.entries == [entry(1, 1)] and len(ready.after_save) == 1


def test_a_leader_counts_its_own_entry_only_after_the_save():
    member = make_member(voters=ClusterConfiguration({"n0": ADDRESSES["n0"]}))
    member.tick(9.0)
    assert member.role == LEADER
    ready = member.ready(9.0)
    assert member.commit_index == 0
    member.saved(ready)
    assert member.commit_index == 1


def test_an_entry_of_an_earlier_term_commits_only_with_an_entry_of_the_current_term():
    member = make_member(entries=[entry(1, 1)], term=1)
    member.tick(9.0)
    member.receive("n1", VoteResponse(2, True, True), 9.0)
    member.receive("n2", VoteResponse(2, True, True), 9.0)
    member.receive("n1", VoteResponse(2, False, True), 9.0)
    member.receive("n2", VoteResponse(2, False, True), 9.0)
    assert member.role == LEADER and member.term == 2
    member.saved(member.ready(9.0))
    for member_id in ("n1", "n2"):
        member.receive(member_id, AppendEntriesResponse(2, True, 1, 0), 9.1)
    assert member.commit_index == 0
    for member_id in ("n1", "n2"):
        member.receive(member_id, AppendEntriesResponse(2, True, 2, 0), 9.2)
    assert member.commit_index == 2


def test_a_leader_without_a_quorum_steps_down():
    world, nodes, lead = start_group(8)
    for other in nodes:
        if other is not lead:
            world.cut(lead.addr, other.addr)
    world.run(world.now + 3.0)
    assert lead.raft.role != LEADER and sum(node.raft.committed_in_term for node in nodes) == 1


def test_a_leader_transfers_to_the_most_up_to_date_voter():
    world, nodes, lead = start_group(9)
    lead.step(lead.raft.transfer_leadership)
    world.run(world.now + 0.5)
    assert lead.raft.role != LEADER and any(node.raft.committed_in_term for node in nodes)


def test_a_leader_transfers_once_its_successor_has_caught_up_and_rejects_commands_meanwhile():
    member = make_member(voters=configuration_of("n0 n1 n2"))
    member.tick(9.0)
    for pre_vote in (True, False):
        member.receive("n1", VoteResponse(1, pre_vote, True), 9.0)
    member.saved(member.ready(9.0))
    member.receive("n1", AppendEntriesResponse(1, True, 1, 1), 9.01)
    assert member.propose(COMMAND, b"x", 0) == 2
    member.transfer_leadership()
    assert not [message for _, message in member.ready(9.02).after_save if isinstance(message, TimeoutNow)]
    assert member.propose(COMMAND, b"y", 0) is None and member.log.last_index == 2
    member.receive("n1", AppendEntriesResponse(1, True, 2, 2), 9.05)
    assert [(to, message) for to, message in member.ready(9.06).after_save if isinstance(message, TimeoutNow)] == [
        ("n1", TimeoutNow(1))
    ]
    assert member.propose(COMMAND, b"y", 0) is None, "the leader waits for the successor's campaign"
    member.tick(9.06 + member.times.election_timeout)
    assert member.leads and member.propose(COMMAND, b"y", 0) == 3, "the transfer timed out"


def test_one_change_of_voters_at_a_time():
    world, nodes, lead = start_group(10)
    smaller = ClusterConfiguration({i: a for i, a in ADDRESSES.items() if i != "n4" or lead.raft.me == "n4"})
    assert lead.raft.change_configuration(smaller, 0) is not None
    assert lead.raft.change_configuration(FIVE, 0) is None
    world.run(world.now + 1.0)
    assert lead.raft.change_configuration(FIVE, 0) is not None


def test_a_commit_notice_waits_for_another_round_up_to_its_maximum_delay():
    configuration = ClusterConfiguration({"n0": ADDRESSES["n0"], "n1": ADDRESSES["n1"]}, {"n2": ADDRESSES["n2"]})
    member = Raft(
        "n0",
        Log(RaftSnapshot(GROUP, 0, 0, configuration, b""), []),
        0,
        "",
        random.Random(1),
        0.0,
        RaftTimings(min_broadcast_interval=0.01, commit_notice_delay=0.03),
    )

    def send(now):
        ready = member.ready(now)
        member.saved(ready)
        return [(to, message.commit_index) for to, message in ready.before_save]

    member.tick(9.0)
    for pre_vote in (True, False):
        member.receive("n1", VoteResponse(1, pre_vote, True), 9.0)
    assert send(9.0) == [("n2", 0), ("n1", 0)]
    member.propose(COMMAND, b"x", 0)
    assert send(9.02) == [("n1", 0)]
    member.receive("n1", AppendEntriesResponse(1, True, 2, 2), 9.03)
    assert send(9.03) == [] and member.commit_index == 2 and member.timer() == pytest.approx(9.06)
    member.request_confirmation_round()
    assert send(9.05) == [("n1", 2)]
    assert send(9.06) == [("n2", 2)]
    for hundredths in range(7, 16):
        member.request_confirmation_round()
        assert send(9.0 + hundredths / 100) == [("n1", 2)]
    member.request_confirmation_round()
    assert send(9.17) == [("n2", 2), ("n1", 2)]


def members(text):
    return {i: ADDRESSES[i] for i in text.split()}


def configuration_of(text):
    return ClusterConfiguration(members(text))


def joint(new, old):
    return ClusterConfiguration(members(new), {}, members(old))


def make_leader(voters, entries=(), term=0):
    """`n0` as the leader of the next term, elected by all voters, with nothing committed yet."""
    member = make_member(voters=voters, entries=entries, term=term)
    member.tick(9.0)
    for pre_vote in (True, False):
        for member_id in voters.all_voters():
            if member_id != "n0":
                member.receive(member_id, VoteResponse(term + 1, pre_vote, True), 9.0)
    assert member.role == LEADER
    member.saved(member.ready(9.0))
    return member


def confirm_entries(member, ids, index, now=9.1):
    """The members `ids` report that they store the log up to `index`."""
    for member_id in ids.split():
        member.receive(member_id, AppendEntriesResponse(member.term, True, index, 0), now)


def test_a_changing_commits_only_with_both_majorities():
    member = make_leader(configuration_of("n0 n1 n2"))
    confirm_entries(member, "n1", 1)
    assert member.change_configuration(configuration_of("n0 n3 n4"), 0) == 2
    assert member.log.configuration == joint("n0 n3 n4", "n0 n1 n2")
    member.saved(member.ready(9.2))
    confirm_entries(member, "n1 n2", 2)
    assert member.commit_index == 1
    confirm_entries(member, "n3", 2)
    assert member.commit_index == 2 and member.log.configuration == configuration_of("n0 n3 n4")
    member.saved(member.ready(9.3))
    confirm_entries(member, "n1 n2", 3)
    assert member.commit_index == 2
    confirm_entries(member, "n4", 3)
    assert member.commit_index == 3


def test_a_changing_elects_only_with_both_majorities():
    member = make_member(voters=joint("n0 n3 n4", "n0 n1 n2"))
    member.tick(9.0)
    assert {to for to, _ in member.ready(9.0).after_save} == {"n1", "n2", "n3", "n4"}
    for member_id in ("n1", "n2"):
        member.receive(member_id, VoteResponse(1, True, True), 9.0)
    assert member.term == 0
    member.receive("n3", VoteResponse(1, True, True), 9.0)
    assert member.term == 1
    for member_id in ("n3", "n4"):
        member.receive(member_id, VoteResponse(1, False, True), 9.0)
    assert member.role != LEADER
    member.receive("n1", VoteResponse(1, False, True), 9.0)
    assert member.role == LEADER


def test_a_round_is_confirmed_only_by_both_majorities():
    member = make_leader(joint("n0 n3 n4", "n0 n1 n2"))
    before = member.rounds.confirmed
    member.broadcast_requested = True
    member.ready(9.3)
    for member_id in ("n1", "n2"):
        member.receive(member_id, AppendEntriesResponse(1, True, 0, member.rounds.round_number), 9.3)
    assert member.rounds.confirmed == before
    member.receive("n4", AppendEntriesResponse(1, True, 0, member.rounds.round_number), 9.3)
    assert member.rounds.confirmed == member.rounds.round_number


def test_a_new_leader_completes_the_change_in_its_log():
    entry_of_change = Entry(1, 1, CONFIGURATION, 0, encode(joint("n0 n1 n3", "n0 n1 n2")))
    member = make_leader(configuration_of("n0 n1 n2"), [entry_of_change], term=1)
    assert member.log.configuration.old_voters and member.change_configuration(configuration_of("n0 n1 n2"), 0) is None
    confirm_entries(member, "n1", 2)
    assert (
        member.commit_index == 2
        and member.log.configuration == configuration_of("n0 n1 n3")
        and member.log.last_index == 3
    )


def test_a_changing_truncated_from_the_log_is_no_longer_in_force():
    member = make_member(voters=configuration_of("n0 n1 n2"))
    entry_of_change = Entry(1, 1, CONFIGURATION, 0, encode(joint("n0 n3 n4", "n0 n1 n2")))
    member.receive("n1", AppendEntries(1, 0, 0, [entry_of_change], 0, 1), 1.0)
    assert member.log.configuration.old_voters
    member.receive("n2", AppendEntries(2, 0, 0, [entry(1, 2)], 0, 1), 1.1)
    assert member.log.configuration == configuration_of("n0 n1 n2")


def test_an_excluded_leader_steps_down_after_the_final_configuration_and_names_a_successor():
    member = make_leader(configuration_of("n0 n1 n2"))
    confirm_entries(member, "n1", 1)
    member.change_configuration(configuration_of("n1 n2 n3"), 0)
    member.saved(member.ready(9.2))
    confirm_entries(member, "n1 n3", 2)
    assert member.leads and not member.log.configuration.old_voters
    member.saved(member.ready(9.3))
    confirm_entries(member, "n1", 3)
    assert member.leads
    confirm_entries(member, "n3", 3)
    assert not member.leads and member.commit_index == 3
    assert [to for to, message in member.ready(9.4).after_save if isinstance(message, TimeoutNow)] in (["n1"], ["n3"])


def test_learners_change_in_one_step_and_a_changing_allows_only_address_changes():
    member = make_leader(configuration_of("n0 n1 n2"))
    confirm_entries(member, "n1", 1)
    assert member.change_configuration(ClusterConfiguration(members("n0 n1 n2"), members("n3")), 0) == 2
    assert member.log.configuration == ClusterConfiguration(members("n0 n1 n2"), members("n3"))
    assert member.change_configuration(configuration_of("n0 n1 n3"), 0) is None
    member.saved(member.ready(9.2))
    confirm_entries(member, "n1", 2)
    member.change_configuration(configuration_of("n0 n1 n3"), 0)
    member.saved(member.ready(9.3))
    changing = member.log.configuration
    moved = {**changing.voters, "n3": Address("10.0.0.9", 9)}
    assert changing.next_toward(ClusterConfiguration(moved, {}, changing.old_voters)) == ClusterConfiguration(
        moved, {}, changing.old_voters
    )
    assert changing.next_toward(ClusterConfiguration(moved)) is None
    assert changing.next_toward(ClusterConfiguration(members("n0 n1"), {}, changing.old_voters)) is None
    assert configuration_of("n0").next_toward(ClusterConfiguration({})) is None


@pytest.mark.parametrize("seed", range(20))
def test_election_safety_and_log_matching_through_membership_changes_and_partitions(seed):
    world, nodes, _ = start_group(100 + seed)
    leaders, rng = {}, random.Random(seed)
    for _ in range(60):
        for node in nodes:
            if node.raft.role == LEADER:
                wanted = configuration_of(" ".join(rng.sample(sorted(ADDRESSES), rng.choice([2, 3, 5]))))
                node.step(lambda node=node, wanted=wanted: node.raft.change_configuration(wanted, 0))
                node.step(lambda node=node: node.raft.propose(COMMAND, b"x", 0))
        world.heal()
        if rng.random() < 0.5:
            side = rng.sample(nodes, 2)
            world.split([node.addr for node in side], [node.addr for node in nodes if node not in side])
        for _ in range(10):
            world.run(world.now + 0.06)
            for node in nodes:
                if node.raft.role == LEADER:
                    assert leaders.setdefault(node.raft.term, node.raft.me) == node.raft.me
    world.heal()
    world.run(world.now + 10.0)
    committed = min(node.raft.commit_index for node in nodes)
    assert len({tuple((e.term, e.data) for e in node.raft.log.entries[:committed]) for node in nodes}) == 1
    assert any(node.raft.committed_in_term for node in nodes) and max(node.raft.commit_index for node in nodes) > 30


def test_messages_from_members_outside_the_configuration_have_no_effect():
    member = make_member(voters=configuration_of("n0 n1 n2"))
    member.tick(9.0)
    for member_id in ("n3", "n4", "nobody"):
        member.receive(member_id, VoteResponse(1, True, True), 9.0)
    assert member.term == 0 and member.role != LEADER
    member = make_leader(configuration_of("n0 n1 n2"))
    for member_id in ("n3", "n4", "nobody"):
        member.receive(member_id, AppendEntriesResponse(1, True, 1, 9), 9.1)
    assert member.commit_index == 0 and member.progress().keys() <= {"n1", "n2"}
