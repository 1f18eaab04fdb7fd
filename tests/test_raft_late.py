"""Late and duplicate messages do not count as recent contact with their sender."""

from mallowvalve.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    RequestVote,
    VoteResponse,
)
from tests.test_raft import FIVE, configuration_of, make_leader, make_member


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
