"""Late and duplicate messages do not count as recent contact with their sender."""

from mallowvalve.raft.messages import (
    NO_ROUND,
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    RaftSnapshot,
    RequestVote,
    VoteResponse,
)
from tests.test_raft import FIVE, GROUP, configuration_of, make_leader, make_member


def test_a_late_duplicate_response_does_not_count_as_contact():
    member = make_leader(configuration_of("n0 n1 n2"))
    member.receive("n1", AppendEntriesResponse(1, True, 1, 1), 9.01)
    member.receive("n1", AppendEntriesResponse(1, True, 1, 1), 15.0)
    assert member.progress()["n1"].heard_at == 9.01
    member.broadcast_requested = True
    member.ready(15.0)
    member.receive("n1", AppendEntriesResponse(1, True, 1, 2), 15.1)
    assert member.progress()["n1"].heard_at == 15.1


def test_a_late_append_does_not_count_as_contact_with_the_leader():
    member = make_member(voters=FIVE, now=0.0)
    newest = AppendEntries(1, 0, 0, [], 0, 9)
    member.receive("n1", newest, 5.0)
    for late in (newest, AppendEntries(1, 0, 0, [], 0, 3)):
        member.receive("n1", late, 5.9)
    member.ready(5.9)
    member.receive("n2", RequestVote(2, True, 0, 0), 6.1)
    assert member.ready(6.1).after_save == [("n2", VoteResponse(2, True, True))]
    member.tick(7.1)
    assert member.role == "pre"
    member.receive("n1", AppendEntries(1, 0, 0, [], 0, 4), 7.1)
    assert member.role == "pre"
    member.receive("n1", AppendEntries(1, 0, 0, [], 0, 10), 7.1)
    assert (member.role, member.leader) == ("follower", "n1")


def test_the_answer_to_a_message_of_an_older_term_confirms_no_round():
    """Guards against a stale read by a leader of a second life (review/1): a late message of its former life, whose
    rounds had higher numbers, was answered under the newer term and taken for the confirmation of all present rounds."""
    follower = make_member(voters=FIVE, now=0.0)
    follower.receive("n1", AppendEntries(7, 0, 0, [], 0, 1), 1.0)
    follower.ready(1.0)
    follower.receive("n1", AppendEntries(6, 0, 0, [], 0, 4000), 1.1)
    (answer,) = follower.ready(1.1).after_save
    assert answer == ("n1", AppendEntriesResponse(7, False, 0, NO_ROUND))
    follower.receive("n1", InstallSnapshot(6, RaftSnapshot(GROUP, 5, 6, FIVE, []), 4000), 1.2)
    assert follower.ready(1.2).after_save == [answer]


def test_a_leader_takes_nothing_from_an_answer_without_a_round():
    leader = make_leader(configuration_of("n0 n1 n2"))
    confirmed, progress = leader.rounds.confirmed, dict(leader.progress())
    for sender in ("n1", "n2"):
        leader.receive(sender, AppendEntriesResponse(leader.term, False, 0, NO_ROUND, 15.0), 15.0)
    assert (leader.rounds.confirmed, leader.progress()) == (confirmed, progress)
    assert leader.last_quorum_contact() == leader.rounds.last_contact()
