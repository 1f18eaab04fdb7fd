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


def answers(core, index: int, now: float) -> list[ReplicationResponse]:
    core.replicate(request(now - 0.1, index), "token", now)
    replies = step(core, now + 0.05) + step(core, now + 2.0)
    return [reply for token, reply in replies if token == "token"]


def test_an_answer_that_is_not_complete_confirms_nothing(monkeypatch):
    core = single_voter_leader()
    core.replicate(request(5.0, core.state.index), "first", 5.2)
    step(core, 5.3)
    step(core, 7.3)
    (whole,) = answers(core, core.state.index, 8.0)
    assert whole.confirmed_at > UNCONFIRMED
    monkeypatch.setattr(replication, "_needs_snapshot", lambda source, request: True)
    (without_snapshot,) = answers(core, core.state.index, 12.0)
    assert without_snapshot.confirmed_at == UNCONFIRMED
    monkeypatch.undo()
    monkeypatch.setattr(replication, "_holds_own_term", lambda source: False)
    (before_own_term,) = answers(core, core.state.index, 16.0)
    assert before_own_term.confirmed_at == UNCONFIRMED


def test_a_confirmation_from_the_future_counts_as_now():
    replica = Replica(ME, 7, "proxy", EU, lambda built: None)
    replica.group = GROUP
    replica.receive_response(ReplicationResponse(LEADER, GROUP, confirmed_at=9.0), 5.0)
    assert replica.confirmed_at == 5.0 and replica.age(6.0) == 1.0
