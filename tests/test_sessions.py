"""Commands with an origin: applied once, never late, by every holder of the state alike."""

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
from mallowvalve.control.sessions import AHEAD_MOST_MS, GRACE_MS, HEADER_BYTES, Call, Origin, Session, seal, unseal
from mallowvalve.control.snapshot import cut_settings, dump, load
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
from tests.test_registry import up

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
    Registered([up()]),
    Claim("key", "digest", "p", "nonce"),
]


def at(state: ReplicatedState, time: int, data: bytes):
    return state.apply(state.index + 1, time, data)


def sealed(c, number: int = 1, not_after: int = 1000, session: int = 9) -> bytes:
    return seal(Origin(session, number, not_after), encode(c))


def content(s: ReplicatedState):
    """All of a state that commands make, without what is remembered of them."""
    return (
        msgspec.structs.replace(s.settings, revision=0),
        s.items.rows,
        s.registry.rows,
        s.plain.snapshot(),
        s.coordination.numbers,
        s.coordination.locks,
        s.coordination.keys,
        s.ledger.rows,
    )


def test_a_header_names_the_origin_and_leaves_the_command_readable():
    o = Origin((1 << 64) - 1, sessions.NUMBER_MOST, (1 << 48) - 1)
    for c in EVERY_KIND:
        data = seal(o, encode(c))
        assert (
            unseal(data) == (o, encode(c)) and decode_command(data) == c and command_tag(data) == command_tag(encode(c))
        )
        assert changes_settings(data) == changes_settings(encode(c))
        assert acknowledgement_mode(data, Acks()) == acknowledgement_mode(encode(c), Acks())
    assert unseal(encode(Count("n"))) == (None, encode(Count("n"))) and HEADER_BYTES <= 24


@pytest.mark.parametrize("c", EVERY_KIND, ids=lambda c: type(c).__name__)
def test_every_kind_of_command_is_applied_once_however_often_it_is_offered(c):
    s = ReplicatedState(3)
    first = at(s, 100, sealed(c))
    assert first.code not in ("late", "forgotten")
    held = content(s)
    for time in (100, 600, 1000, 1000 + GRACE_MS - 1):
        assert at(s, time, sealed(c)) == first and content(s) == held
    assert at(s, 1000 + GRACE_MS, sealed(c)).code == "forgotten" and content(s) == held


@pytest.mark.parametrize("c", EVERY_KIND, ids=lambda c: type(c).__name__)
def test_a_late_command_of_any_kind_takes_no_effect_then_or_ever(c):
    s = ReplicatedState(3)
    held = content(s)
    late = at(s, 1001, sealed(c))
    assert late.code == "late" and msgspec.msgpack.decode(late.body) == 1001 and content(s) == held
    assert at(s, 900, sealed(c)).code == "late", "a new leader's clock may run behind its predecessor's"
    assert at(s, 2000 + GRACE_MS, sealed(c, 2)).code == "forgotten" and content(s) == held


def test_a_not_after_absurdly_far_ahead_is_refused():
    s = ReplicatedState(3)
    held = content(s)
    said = at(s, 500, sealed(Count("n"), 1, 501 + AHEAD_MOST_MS))
    assert said.code == "ahead" and msgspec.msgpack.decode(said.body) == 500 and content(s) == held
    assert at(s, 500, sealed(Count("n"), 1, 500 + AHEAD_MOST_MS)).code == "ok"


def test_an_evacuation_that_was_held_back_does_not_undo_a_later_give_back():
    s = ReplicatedState(3)
    held_back = sealed(Evacuate("z", True), 1, 8000)
    assert at(s, 100, sealed(Evacuate("z", True), 1, 8000, session=2)).code == "ok"
    assert at(s, 9000, sealed(Evacuate("z", False), 2, 17000, session=2)).code == "ok"
    assert at(s, 20000, held_back).code in ("late", "forgotten") and s.settings.evacuated == {}


def test_a_take_that_comes_late_holds_no_lock():
    s = ReplicatedState(3)
    assert at(s, 5000, sealed(Take("l", "gone", 10_000.0), 1, 850)).code == "late"
    assert at(s, 5000, sealed(Take("l", "h", 100.0), 2, 5850)).code == "ok" and s.plain.locks["l"].holder == "h"


def test_what_was_said_is_in_the_snapshot_whole_and_of_the_settings_alone():
    s = ReplicatedState(3)
    said = {i: at(s, 100, sealed(c, i)) for i, c in enumerate(EVERY_KIND)}
    whole, part = load(dump(s)), load(list(cut_settings(s)))
    for i, c in enumerate(EVERY_KIND):
        assert at(whole, 900, sealed(c, i)) == said[i]
        if changes_settings(encode(c)):
            assert at(part, 900, sealed(c, i)) == said[i]
    assert at(whole, 2000, sealed(Count("x"), 99)).code == at(load(dump(whole)), 1500, sealed(Count("x"), 99)).code
    assert content(load(dump(whole))) == content(whole)


def test_memory_is_bounded_by_time_and_by_count_and_what_it_lost_is_never_called_late(monkeypatch):
    monkeypatch.setattr(sessions, "KEPT_MOST", 50)
    s = ReplicatedState(3)
    for i in range(200):
        assert at(s, 100, sealed(Count("n"), i, 1000 + i)).code == "ok"
    assert len(s.sessions.rows) == 50
    assert at(s, 100, sealed(Count("n"), 149, 1149)).code == "forgotten"
    assert at(s, 100, sealed(Count("n"), 150, 1150)).code == "ok" and s.plain.numbers["n"] == 200
    at(s, 5000 + GRACE_MS, sealed(Count("n"), 999, 6000 + GRACE_MS))
    assert [k.origin.number for k in s.sessions.rows.values()] == [999]


def test_memory_is_bounded_by_bytes(monkeypatch):
    monkeypatch.setattr(sessions, "KEPT_BYTES", 1000)
    s = ReplicatedState(3)
    for i in range(200):
        at(s, 100, sealed(Count("n"), i, 1000 + i))
    assert sum(len(k.outcome.body) for k in s.sessions.rows.values()) <= 1000


def test_codes_cross_the_wire_and_snapshots_as_their_words():
    assert wire.decode_command_response(wire.encode(CommandResponse(Code.LATE, 7, b"x"))) == CommandResponse(
        "late", 7, b"x"
    )
    s = ReplicatedState(3)
    at(s, 100, sealed(Amend([SERVICE]), 1))
    other = sealed(Amend([Item("services", "s", 1, b'{"name":"s","version":1,"connections":2}')]), 2)
    assert at(s, 100, other).code == "conflict" and at(load(dump(s)), 100, other) == at(s, 100, other)


def test_a_session_counts_its_calls_and_takes_a_new_identity_when_the_numbers_are_used_up():
    drawn = iter((5, 6))
    p = Session(lambda: next(drawn))
    assert [p.origin(100, 0.0, 0.5) for _ in range(2)] == [Origin(5, 1, 600), Origin(5, 2, 600)]
    p._number = sessions.NUMBER_MOST
    assert p.origin(100, 0.0, 0.5) == Origin(6, 1, 600)


def test_a_call_keeps_its_origin_until_it_is_known_to_have_had_no_effect():
    p = Session(lambda: 5)
    c = Call(p, b"x", 2.0)
    first = c.data(0, 1.0)
    assert c.heard(CommandResponse("leader"), 1.1).code == "leader" and c.data(0, 1.2) == first
    late = CommandResponse("late", 0, sessions.encode_clock(70_000))
    assert c.heard(late, 1.5).code == "leader"
    assert unseal(c.data(0, 1.75))[0] == Origin(5, 2, 70_500), "by the clock that the answer told"
    assert c.heard(CommandResponse("undecided"), 1.8).code == "undecided" and c.heard(late, 1.9).code == "forgotten"
    assert c.ended(CommandResponse("forgotten"), ("leader",)).code == "undecided"
    assert c.ended(CommandResponse("leader"), ("leader",)).code == "undecided"


class Lossy(ControlTask):
    """A control process whose first offers reach the leader, but whose answers are lost."""

    __slots__ = ("leading", "lose", "now", "sealed", "late")

    def __init__(self, lose: int):
        self.leading, self.lose, self.now = single_voter_leader(), lose, 8.0
        self.sealed, self.late = [], False
        step_until(self.leading, 5.2, self.now)
        estimate = FleetClock()
        estimate.restart(self.leading.clock.read(self.now), clock.now())
        self.core, self._session, self._stopping = SimpleNamespace(clock=estimate), Session(lambda: 5), False

    def _offer_once(self, command: bytes, limit: float) -> CommandResponse:
        w = AsyncResult()
        self.sealed.append(command)
        if self.late:
            step_until(self.leading, self.now, self.now + 5.0)
            self.now += 5.0
        self.leading.propose(command, w, self.now + 9.0, self.now)
        told = {}
        while w not in told:
            told |= dict(step(self.leading, self.now))
            self.now += 0.1
        self.lose -= 1
        return CommandResponse("undecided") if self.lose >= 0 else told[w]


@pytest.mark.parametrize("c", [Count("n"), Take("l", "h", 60_000.0)], ids=["Count", "Take"])
def test_one_call_that_is_offered_thrice_is_applied_once(c):
    t = Lossy(2)
    took = t.offer(encode(c), 2.0)
    assert took.code == "ok" and msgspec.msgpack.decode(took.body, type=PlainResult) == PlainResult("ok", 1)
    took = t.offer(encode(c), 2.0)
    assert took.code == "ok" and msgspec.msgpack.decode(took.body, type=PlainResult) == PlainResult("ok", 2)


@pytest.mark.parametrize("wrong", [-2500, -3_600_000, AHEAD_MOST_MS + 60_000], ids=["behind", "hour behind", "ahead"])
def test_a_process_whose_estimate_is_wrong_learns_the_time_and_its_call_is_applied_once(wrong):
    t = Lossy(0)
    t.core.clock.restart(t.leading.clock.read(t.now) + wrong, clock.now())
    took = t.offer(encode(Count("n")), 2.0)
    assert took.code == "ok" and msgspec.msgpack.decode(took.body, type=PlainResult) == PlainResult("ok", 1)
    assert unseal(t.sealed[-1])[0].number == 2 and len(t.sealed) == 2
    took = t.offer(encode(Count("n")), 2.0)
    assert took.code == "ok" and len(t.sealed) == 3, "the next call goes by what was learnt"


def test_a_call_that_stays_late_ends_as_never_applied_and_one_that_may_have_run_as_undecided():
    t = Lossy(0)
    t.late = True
    assert t.offer(encode(Count("n")), 0.2).code == "leader" and t.leading.state.plain.numbers == {}
    t = Lossy(1)
    t.late = True
    assert t.offer(encode(Count("n")), 0.2).code == "undecided" and t.leading.state.plain.numbers == {}


def test_a_process_that_has_heard_nothing_takes_its_own_clock_for_no_one_elses():
    fresh = FleetClock()
    assert fresh.estimate(18.5) == 0
    order = Call(Session(lambda: 5), encode(Evacuate("z", True)), 19.5).data(fresh.estimate(18.5), 18.5)
    assert unseal(order)[0].not_after <= 1000, "late at first, which tells it the time"
    fresh.restart(15_100, 18.5)
    assert fresh.estimate(18.6) == 15_200


class Leaderless(ControlTask):
    """A control process that hears of no leader; each look for one takes `PAUSE` s."""

    __slots__ = ("sealed",)

    def __init__(self):
        self.sealed, estimate = [], FleetClock()
        estimate.restart(0, clock.now())
        self.core, self._session, self._stopping = SimpleNamespace(clock=estimate), Session(lambda: 5), False

    def _offer_once(self, command: bytes, limit: float) -> CommandResponse:
        self.sealed.append(unseal(command)[0])
        return CommandResponse("leader")


def test_an_order_without_a_version_is_not_offered_once_its_caller_may_have_called_another_process():
    t = Leaderless()
    began = clock.now()
    assert t.offer(encode(Evacuate("z", False)), 30.0, 3.0, 0.1).code == "leader"
    assert clock.now() - began < 15.0, "not until the acknowledgement's limit"
    assert {o.not_after for o in t.sealed} <= set(range(80, 200)) and len({o.number for o in t.sealed}) == 1


class Offering(ReplicaTask):
    """A replica that knows one control process."""

    __slots__ = ()

    def __init__(self):
        """Leaves out the node's parts."""

    def control(self):
        return "leader"

    def _avoid(self, a):
        """Goes on with the only one."""


def test_a_replica_offers_one_call_with_one_origin_until_it_is_known_to_have_had_no_effect():
    lost = [Err("gone"), CommandResponse("leader"), CommandResponse("ok", 5)]
    late = [CommandResponse(Code.LATE, 0, sessions.encode_clock(70_000)), CommandResponse("ok", 5)]
    for answers, numbers in ((lost, [1, 1, 1]), (late, [1, 2])):
        offered = []

        def call(to, kind, body, limit, answers=answers, offered=offered):
            offered.append(unseal(wire.decode_command_request(body).command))
            a = answers[len(offered) - 1]
            return a if isinstance(a, Err) else Ok(wire.encode(a))

        t = Offering()
        t.node = SimpleNamespace(transport=SimpleNamespace(call=call))
        t.replica = SimpleNamespace(clock=lambda now: 500, leader="leader")
        t._session = Session(lambda: 5)
        assert t.offer(b"\x91", 2.0).code == "ok"
        assert [o.number for o, _ in offered] == numbers and {body for _, body in offered} == {b"\x91"}


@pytest.mark.parametrize("data", [b"\xc1", b"\xc1" + bytes(19), b"\xc1" + bytes(20), b"x", sealed(Count("n"))[:-1]])
def test_what_is_no_command_is_refused_before_it_is_in_the_log(data):
    c = single_voter_leader()
    step_until(c, 5.2, 8.0)
    c.propose(data, "t", 20.0, 8.0)
    took = dict(step(c, 8.0))["t"]
    assert took.code == "invalid" and msgspec.msgpack.decode(took.body)[0]["place"] == "command"
