"""Commands with an origin are applied once, never late, and with the same result on every replica."""

from types import SimpleNamespace

import msgspec
import pytest
from gevent.event import AsyncResult
from result import Err, Ok

from mallowvalve import clock
from mallowvalve.configuration.items import Amend, Item
from mallowvalve.control import sessions, wire
from mallowvalve.control.fleet_clock import FleetClock
from mallowvalve.control.outcome import Code
from mallowvalve.control.replica_task import ReplicaTask
from mallowvalve.control.sessions import (
    HEADER_BYTES,
    MAX_AHEAD_MS,
    OUTCOME_RETENTION_MS,
    Origin,
    Session,
    SessionCall,
    encode_with_origin,
    split_origin,
)
from mallowvalve.control.snapshot import decode_snapshot, encode_settings_pieces, encode_snapshot
from mallowvalve.control.state import Evacuate, ReplicatedState, command_tag, decode_command, encode
from mallowvalve.control.task import ControlTask
from mallowvalve.control.waiting import acknowledgement_mode, changes_settings
from mallowvalve.control.wire import CommandResponse
from mallowvalve.coordination.plain import Count, PlainResult, Take, Write
from mallowvalve.coordination.state import Lock, Next, Put
from mallowvalve.ledger.ledger import Claim
from mallowvalve.settings import Acks
from mallowvalve.upstreams.registry import Registered
from tests.test_core import single_voter_leader, step, step_until
from tests.test_registry import make_upstream

SERVICE = Item("services", "s", 1, b'{"name":"s","version":1}')
EVERY_KIND = [
    Count("n"),
    Take("l", "h", 500.0),
    Write("c", "v"),
    Next("n", "k"),
    Lock("l", "h", 500, "k"),
    Put("k", "v", None, "k"),
    Evacuate("z", True),
    Amend([SERVICE]),
    Registered([make_upstream()]),
    Claim("key", "digest", "p", "nonce"),
]


def apply_at(state: ReplicatedState, time: int, data: bytes):
    return state.apply(state.index + 1, time, data)


def with_origin(command, number: int = 1, not_after: int = 1000, session: int = 9) -> bytes:
    return encode_with_origin(Origin(session, number, not_after), encode(command))


def content(state: ReplicatedState):
    """Returns the parts of a state that commands change, without the stored outcomes."""
    return (
        msgspec.structs.replace(state.settings, revision=0),
        state.items.rows,
        state.registry.rows,
        state.plain.snapshot(),
        state.coordination.numbers,
        state.coordination.locks,
        state.coordination.keys,
        state.ledger.rows,
    )


def test_a_header_contains_the_origin_and_leaves_the_command_decodable():
    origin = Origin((1 << 64) - 1, sessions.MAX_CALL_NUMBER, (1 << 48) - 1)
    for command in EVERY_KIND:
        data = encode_with_origin(origin, encode(command))
        assert (
            split_origin(data) == (origin, encode(command))
            and decode_command(data) == command
            and command_tag(data) == command_tag(encode(command))
        )
        assert changes_settings(data) == changes_settings(encode(command))
        assert acknowledgement_mode(data, Acks()) == acknowledgement_mode(encode(command), Acks())
    assert split_origin(encode(Count("n"))) == (None, encode(Count("n"))) and HEADER_BYTES <= 24


@pytest.mark.parametrize("command", EVERY_KIND, ids=lambda command: type(command).__name__)
def test_every_kind_of_command_is_applied_once_however_often_it_is_submitted(command):
    state = ReplicatedState(3)
    first = apply_at(state, 100, with_origin(command))
    assert first.code not in ("late", "forgotten")
    before = content(state)
    for time in (100, 600, 1000, 1000 + OUTCOME_RETENTION_MS - 1):
        assert apply_at(state, time, with_origin(command)) == first and content(state) == before
    assert (
        apply_at(state, 1000 + OUTCOME_RETENTION_MS, with_origin(command)).code == "forgotten"
        and content(state) == before
    )


@pytest.mark.parametrize("command", EVERY_KIND, ids=lambda command: type(command).__name__)
def test_a_late_command_of_any_kind_never_takes_effect(command):
    state = ReplicatedState(3)
    before = content(state)
    late = apply_at(state, 1001, with_origin(command))
    assert late.code == "late" and msgspec.msgpack.decode(late.body) == 1001 and content(state) == before
    assert apply_at(state, 900, with_origin(command)).code == "late", (
        "a new leader's clock may run behind that of the previous leader"
    )
    assert (
        apply_at(state, 2000 + OUTCOME_RETENTION_MS, with_origin(command, 2)).code == "forgotten"
        and content(state) == before
    )


def test_a_not_after_too_far_ahead_is_rejected():
    state = ReplicatedState(3)
    before = content(state)
    outcome = apply_at(state, 500, with_origin(Count("n"), 1, 501 + MAX_AHEAD_MS))
    assert outcome.code == "ahead" and msgspec.msgpack.decode(outcome.body) == 500 and content(state) == before
    assert apply_at(state, 500, with_origin(Count("n"), 1, 500 + MAX_AHEAD_MS)).code == "ok"


def test_a_delayed_evacuation_does_not_undo_its_later_end():
    state = ReplicatedState(3)
    delayed = with_origin(Evacuate("z", True), 1, 8000)
    assert apply_at(state, 100, with_origin(Evacuate("z", True), 1, 8000, session=2)).code == "ok"
    assert apply_at(state, 9000, with_origin(Evacuate("z", False), 2, 17000, session=2)).code == "ok"
    assert apply_at(state, 20000, delayed).code in ("late", "forgotten") and state.settings.evacuated == {}


def test_a_late_take_does_not_acquire_the_lock():
    state = ReplicatedState(3)
    assert apply_at(state, 5000, with_origin(Take("l", "gone", 10_000.0), 1, 850)).code == "late"
    assert (
        apply_at(state, 5000, with_origin(Take("l", "h", 100.0), 2, 5850)).code == "ok"
        and state.plain.locks["l"].holder == "h"
    )


def test_whole_and_settings_snapshots_contain_the_stored_outcomes():
    state = ReplicatedState(3)
    outcomes = {number: apply_at(state, 100, with_origin(command, number)) for number, command in enumerate(EVERY_KIND)}
    whole, part = decode_snapshot(encode_snapshot(state)), decode_snapshot(list(encode_settings_pieces(state)))
    for number, command in enumerate(EVERY_KIND):
        assert apply_at(whole, 900, with_origin(command, number)) == outcomes[number]
        if changes_settings(encode(command)):
            assert apply_at(part, 900, with_origin(command, number)) == outcomes[number]
    assert (
        apply_at(whole, 2000, with_origin(Count("x"), 99)).code
        == apply_at(decode_snapshot(encode_snapshot(whole)), 1500, with_origin(Count("x"), 99)).code
    )
    assert content(decode_snapshot(encode_snapshot(whole))) == content(whole)


def test_stored_outcomes_are_bounded_by_time_and_count_and_evicted_ones_are_never_late(monkeypatch):
    monkeypatch.setattr(sessions, "MAX_STORED_OUTCOMES", 50)
    state = ReplicatedState(3)
    for number in range(200):
        assert apply_at(state, 100, with_origin(Count("n"), number, 1000 + number)).code == "ok"
    assert len(state.sessions.rows) == 50
    assert apply_at(state, 100, with_origin(Count("n"), 149, 1149)).code == "forgotten"
    assert apply_at(state, 100, with_origin(Count("n"), 150, 1150)).code == "ok" and state.plain.numbers["n"] == 200
    apply_at(state, 5000 + OUTCOME_RETENTION_MS, with_origin(Count("n"), 999, 6000 + OUTCOME_RETENTION_MS))
    assert [stored.origin.number for stored in state.sessions.rows.values()] == [999]


def test_stored_outcomes_are_bounded_by_bytes(monkeypatch):
    monkeypatch.setattr(sessions, "MAX_STORED_BODY_BYTES", 1000)
    state = ReplicatedState(3)
    for number in range(200):
        apply_at(state, 100, with_origin(Count("n"), number, 1000 + number))
    assert sum(len(stored.outcome.body) for stored in state.sessions.rows.values()) <= 1000


def test_codes_are_encoded_as_their_values_in_messages_and_snapshots():
    assert wire.decode_command_response(wire.encode(CommandResponse(Code.LATE, 7, b"x"))) == CommandResponse(
        "late", 7, b"x"
    )
    state = ReplicatedState(3)
    apply_at(state, 100, with_origin(Amend([SERVICE]), 1))
    other = with_origin(Amend([Item("services", "s", 1, b'{"name":"s","version":1,"connections":2}')]), 2)
    assert apply_at(state, 100, other).code == "conflict" and apply_at(
        decode_snapshot(encode_snapshot(state)), 100, other
    ) == apply_at(state, 100, other)


def test_a_session_numbers_its_calls_and_gets_a_new_id_when_the_numbers_are_exhausted():
    drawn = iter((5, 6))
    session = Session(lambda: next(drawn))
    assert [session.origin(100, 0.0, 0.5) for _ in range(2)] == [Origin(5, 1, 600), Origin(5, 2, 600)]
    session._number = sessions.MAX_CALL_NUMBER
    assert session.origin(100, 0.0, 0.5) == Origin(6, 1, 600)


def test_a_call_keeps_its_origin_until_it_is_known_to_have_had_no_effect():
    session = Session(lambda: 5)
    call = SessionCall(session, b"x", 2.0)
    first = call.encoded_command(0, 1.0)
    assert call.on_response(CommandResponse("leader"), 1.1).code == "leader" and call.encoded_command(0, 1.2) == first
    late = CommandResponse("late", 0, sessions.encode_clock(70_000))
    assert call.on_response(late, 1.5).code == "leader"
    assert split_origin(call.encoded_command(0, 1.75))[0] == Origin(5, 2, 70_500), "the clock in the response"
    assert (
        call.on_response(CommandResponse("undecided"), 1.8).code == "undecided"
        and call.on_response(late, 1.9).code == "forgotten"
    )
    assert call.final_response(CommandResponse("forgotten"), ("leader",)).code == "undecided"
    assert call.final_response(CommandResponse("leader"), ("leader",)).code == "undecided"


class LossyControlTask(ControlTask):
    """A control process that loses the responses to its first submissions, which reach the leader."""

    __slots__ = ("leading", "losses", "now", "submitted", "late")

    def __init__(self, losses: int):
        self.leading, self.losses, self.now = single_voter_leader(), losses, 8.0
        self.submitted, self.late = [], False
        step_until(self.leading, 5.2, self.now)
        estimate = FleetClock()
        estimate.restart(self.leading.clock.read(self.now), clock.now())
        self.core, self._session, self._stopping = SimpleNamespace(clock=estimate), Session(lambda: 5), False

    def _offer_once(self, command: bytes, limit: float) -> CommandResponse:
        waiter = AsyncResult()
        self.submitted.append(command)
        if self.late:
            step_until(self.leading, self.now, self.now + 5.0)
            self.now += 5.0
        self.leading.propose(command, waiter, self.now + 9.0, self.now)
        responses = {}
        while waiter not in responses:
            responses |= dict(step(self.leading, self.now))
            self.now += 0.1
        self.losses -= 1
        return CommandResponse("undecided") if self.losses >= 0 else responses[waiter]


@pytest.mark.parametrize("command", [Count("n"), Take("l", "h", 60_000.0)], ids=["Count", "Take"])
def test_a_call_that_is_submitted_three_times_is_applied_once(command):
    task = LossyControlTask(2)
    response = task.offer(encode(command), 2.0)
    assert response.code == "ok" and msgspec.msgpack.decode(response.body, type=PlainResult) == PlainResult("ok", 1)
    response = task.offer(encode(command), 2.0)
    assert response.code == "ok" and msgspec.msgpack.decode(response.body, type=PlainResult) == PlainResult("ok", 2)


@pytest.mark.parametrize("wrong", [-2500, -3_600_000, MAX_AHEAD_MS + 60_000], ids=["behind", "hour behind", "ahead"])
def test_a_process_with_a_wrong_clock_estimate_corrects_it_and_its_call_is_applied_once(wrong):
    task = LossyControlTask(0)
    task.core.clock.restart(task.leading.clock.read(task.now) + wrong, clock.now())
    response = task.offer(encode(Count("n")), 2.0)
    assert response.code == "ok" and msgspec.msgpack.decode(response.body, type=PlainResult) == PlainResult("ok", 1)
    assert split_origin(task.submitted[-1])[0].number == 2 and len(task.submitted) == 2
    response = task.offer(encode(Count("n")), 2.0)
    assert response.code == "ok" and len(task.submitted) == 3, "the next call uses the corrected clock"


def test_a_call_that_stays_late_is_not_applied_and_one_that_may_have_run_is_undecided():
    task = LossyControlTask(0)
    task.late = True
    assert task.offer(encode(Count("n")), 0.2).code == "leader" and task.leading.state.plain.numbers == {}
    task = LossyControlTask(1)
    task.late = True
    assert task.offer(encode(Count("n")), 0.2).code == "undecided" and task.leading.state.plain.numbers == {}


def test_a_process_without_a_clock_sample_does_not_use_its_own_clock_as_the_fleet_clock():
    fleet_clock = FleetClock()
    assert fleet_clock.estimate(18.5) == 0
    command = SessionCall(Session(lambda: 5), encode(Evacuate("z", True)), 19.5).encoded_command(
        fleet_clock.estimate(18.5), 18.5
    )
    assert split_origin(command)[0].not_after <= 1000, "late at first; the rejection contains the time"
    fleet_clock.restart(15_100, 18.5)
    assert fleet_clock.estimate(18.6) == 15_200


class LeaderlessControlTask(ControlTask):
    """A control process without a leader; it pauses for `PAUSE` s after each attempt."""

    __slots__ = ("submitted",)

    def __init__(self):
        self.submitted, estimate = [], FleetClock()
        estimate.restart(0, clock.now())
        self.core, self._session, self._stopping = SimpleNamespace(clock=estimate), Session(lambda: 5), False

    def _offer_once(self, command: bytes, limit: float) -> CommandResponse:
        self.submitted.append(split_origin(command)[0])
        return CommandResponse("leader")


def test_a_command_with_an_effect_limit_is_not_submitted_after_it():
    """Evacuations have no version, and by then the client may have sent another request to another process."""
    task = LeaderlessControlTask()
    began = clock.now()
    assert task.offer(encode(Evacuate("z", False)), 30.0, 3.0, 0.1).code == "leader"
    assert clock.now() - began < 15.0, "well before the limit of the call"
    assert {origin.not_after for origin in task.submitted} <= set(range(80, 200)) and len(
        {origin.number for origin in task.submitted}
    ) == 1


class SubmittingReplica(ReplicaTask):
    """A replica that knows one control process."""

    __slots__ = ()

    def __init__(self):
        """Skips the setup of the node."""

    def control(self):
        return "leader"

    def _avoid(self, answer):
        """Keeps the only control process."""


def test_a_replica_submits_a_call_with_one_origin_until_it_is_known_to_have_had_no_effect():
    lost = [Err("gone"), CommandResponse("leader"), CommandResponse("ok", 5)]
    late = [CommandResponse(Code.LATE, 0, sessions.encode_clock(70_000)), CommandResponse("ok", 5)]
    for answers, numbers in ((lost, [1, 1, 1]), (late, [1, 2])):
        offered = []

        def request(to, kind, body, limit, decode, answers=answers, offered=offered):
            offered.append(split_origin(wire.decode_command_request(body).command))
            answer = answers[len(offered) - 1]
            return answer if isinstance(answer, Err) else Ok(decode(wire.encode(answer)))

        task = SubmittingReplica()
        task.node = SimpleNamespace(transport=SimpleNamespace(request=request))
        task.replica = SimpleNamespace(clock=lambda now: 500, leader="leader")
        task._session = Session(lambda: 5)
        assert task.offer(b"\x91", 2.0).code == "ok"
        assert [origin.number for origin, _ in offered] == numbers and {body for _, body in offered} == {b"\x91"}


@pytest.mark.parametrize(
    "data", [b"\xc1", b"\xc1" + bytes(19), b"\xc1" + bytes(20), b"x", with_origin(Count("n"))[:-1]]
)
def test_an_invalid_command_is_rejected_before_it_is_appended_to_the_log(data):
    leader = single_voter_leader()
    step_until(leader, 5.2, 8.0)
    leader.propose(data, "t", 20.0, 8.0)
    response = dict(step(leader, 8.0))["t"]
    assert response.code == "invalid" and msgspec.msgpack.decode(response.body)[0]["place"] == "command"
