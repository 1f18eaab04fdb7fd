"""What a leader's answer confirms to a replica, and as of when."""

import pytest

from mallowvalve.control import replication
from mallowvalve.control.acknowledgement import UNCONFIRMED, Replicas
from mallowvalve.control.replica import Replica
from mallowvalve.control.wire import ReplicationRequest, ReplicationResponse
from mallowvalve.raft.messages import GroupId
from mallowvalve.raft.rounds import HeartbeatRounds
from mallowvalve.types import Address, Locality
from tests.test_core import single_voter_leader, step

EU, GROUP = Locality("eu", "a"), GroupId(3, "g")
ME, LEADER, OTHER = (Address("10.0.0.1", port) for port in (1, 2, 3))


def request(sent_at: float, index: int = 0) -> ReplicationRequest:
    return ReplicationRequest(OTHER, 1, "proxy", EU, GROUP, index, 0, sent_at, "settings", 1.0)


def test_a_confirmation_counts_the_time_for_which_the_request_had_waited():
    replicas, rounds = Replicas(EU), HeartbeatRounds()
    rounds.begin(50.0)
    replicas.record_request(request(7.0), GROUP, rounds.round_number + 1, 50.5)
    assert replicas.confirmed_at(OTHER, rounds) == UNCONFIRMED
    rounds.send(50.6)
    rounds.send(51.2)
    rounds.confirm(rounds.round_number - 1)
    assert replicas.confirmed_at(OTHER, rounds) == pytest.approx(7.1)
    rounds.confirm(rounds.round_number)
    assert replicas.confirmed_at(OTHER, rounds) == pytest.approx(7.7)
    assert replicas.confirmed_at(ME, rounds) == UNCONFIRMED


def answer(core, now: float) -> ReplicationResponse:
    """Returns the leader's answer to a question that arrives now, and before which another one was confirmed."""
    core.replicate(request(now - 0.1, core.state.index), "token", now)
    for tick in range(30):
        for token, reply in step(core, now + 0.1 * tick):
            if token == "token":
                assert reply.group == GROUP, "the leader has stepped down"
                return reply
    raise AssertionError("no answer")


def test_guards_against_an_answer_that_is_not_complete_but_confirms_the_view(monkeypatch):
    """A replica that lacked a snapshot, a chunk or the leader's own term took its old registry for confirmed."""
    core = single_voter_leader()
    assert answer(core, 5.2).confirmed_at > UNCONFIRMED
    for name, returned in (("_needs_snapshot", True), ("_holds_own_term", False), ("_newest", 1 << 30)):
        with monkeypatch.context() as patch:
            patch.setattr(replication, name, lambda *_, returned=returned: returned)
            assert answer(core, 8.0 if name == "_needs_snapshot" else 8.1).confirmed_at == UNCONFIRMED, name
    assert answer(core, 8.2).confirmed_at > UNCONFIRMED


def test_a_confirmation_from_the_future_counts_as_now():
    replica = Replica(ME, 7, "proxy", EU, lambda built: None)
    replica.group = GROUP
    replica.receive_response(ReplicationResponse(LEADER, GROUP, confirmed_at=9.0), 5.0)
    assert replica.confirmed_at == 5.0 and replica.age(6.0) == 1.0
