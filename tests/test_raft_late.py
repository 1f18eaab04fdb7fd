"""Messages that come late or again: what an old one says of its sender's life."""

from mallowvalve.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    ClusterConfiguration,
    RequestVote,
    RequestVoteResponse,
)
from tests.test_raft import ADDRS, FIVE, led, raft


def test_an_answer_that_comes_again_late_is_no_sign_of_life():
    r = led(ClusterConfiguration({i: ADDRS[i] for i in ("n0", "n1", "n2")}))
    r.receive("n1", AppendEntriesResponse(1, True, 1, 1), 9.01)
    r.receive("n1", AppendEntriesResponse(1, True, 1, 1), 15.0)
    assert r.progress()["n1"].heard_at == 9.01
    r.broadcast_requested = True
    r.ready(15.0)
    r.receive("n1", AppendEntriesResponse(1, True, 1, 2), 15.1)
    assert r.progress()["n1"].heard_at == 15.1


def test_an_append_that_comes_late_is_no_sign_of_its_leaders_life():
    r = raft(voters=FIVE, now=0.0)
    newest = AppendEntries(1, 0, 0, [], 0, 9)
    r.receive("n1", newest, 5.0)
    for old in (newest, AppendEntries(1, 0, 0, [], 0, 3)):
        r.receive("n1", old, 5.9)
    r.ready(5.9)
    r.receive("n2", RequestVote(2, True, 0, 0), 6.1)
    assert r.ready(6.1).after_save == [("n2", RequestVoteResponse(2, True, True))]
    r.tick(7.1)
    assert r.role == "pre"
    r.receive("n1", AppendEntries(1, 0, 0, [], 0, 4), 7.1)
    assert r.role == "pre"
    r.receive("n1", AppendEntries(1, 0, 0, [], 0, 10), 7.1)
    assert (r.role, r.leader) == ("follower", "n1")
