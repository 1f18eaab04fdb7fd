import pytest
from result import Ok

from mallowvalve.control import wire
from mallowvalve.control.fleet_clock import FleetClock
from mallowvalve.control.sessions import Session
from mallowvalve.control.snapshot import dump, load
from mallowvalve.control.state import Change, Evacuate, ReplicatedState, encode
from mallowvalve.control.task import ControlTask
from mallowvalve.control.wire import CommandResponse
from mallowvalve.coordination.state import Lock, Next, Put

MINUTE = 60_000


class Machine:
    def __init__(self):
        self.s = ReplicatedState(3)

    def do(self, c, at=0):
        return self.s.apply(self.s.index + 1, at, encode(c))


@pytest.mark.parametrize(
    "one,other",
    [
        (Change(None, b"{}", "k"), Change(None, b'{"services":{}}', "k")),
        (Evacuate("eu-a", True, "k"), Evacuate("eu-b", True, "k")),
        (Put("n", "1", None, "k"), Put("n", "2", None, "k")),
        (Lock("n", "x", 1000, "k"), Lock("n", "y", 1000, "k")),
    ],
)
def test_a_key_with_another_body_is_a_conflict_and_changes_nothing(one, other):
    m = Machine()
    first = m.do(one)
    before = m.s.settings.revision, dict(m.s.coordination.keys), dict(m.s.coordination.locks)
    assert first.code == "ok" and m.do(other).code == "reused"
    assert (m.s.settings.revision, m.s.coordination.keys, m.s.coordination.locks) == before
    assert m.do(one) == first


def test_a_repeated_evacuation_does_not_overtake_a_give_back():
    m = Machine()
    e = Evacuate("eu-a", True, "a")
    assert m.do(e).code == "ok" and m.do(Evacuate("eu-a", False, "b")).code == "ok"
    m.do(e)
    assert m.s.settings.evacuated == {}


def test_a_refusal_is_repeated_too_so_that_what_was_told_stays_true():
    m = Machine()
    m.do(Put("n", "1"))
    late = Put("n", "2", 0, "k")
    assert m.do(late).code == "conflict"
    m.do(Put("n", None))
    assert m.do(late).code == "conflict" and m.s.coordination.keys == {}


def test_keys_hold_for_their_stated_time_however_many_come():
    m = Machine()
    first = m.do(Change(None, b"{}", "mine"))
    number = m.do(Next("n", "mine"))
    for i in range(2000):
        m.do(Change(None, b"{}", f"c{i}"), 14 * MINUTE)
    assert m.do(Change(None, b"{}", "mine"), 14 * MINUTE) == first and m.do(Next("n", "mine"), 14 * MINUTE) == number
    assert m.do(Change(None, b"{}", "mine"), 30 * MINUTE).revision != first.revision


def test_a_snapshot_carries_the_keys():
    m = Machine()
    first = m.do(Change(None, b"{}", "mine"))
    m.s = load(dump(m.s))
    assert m.do(Change(None, b"{}", "mine")) == first


def test_a_control_process_whose_disk_refuses_asks_another_one():
    asked = []

    class Node:
        class settings:
            transport = "me"

        class membership:
            alive = staticmethod(lambda role: [type("R", (), {"addr": "other"})])

        class transport:
            call = staticmethod(
                lambda to, kind, body, limit: asked.append((to, kind)) or Ok(wire.encode(CommandResponse("ok", 5)))
            )

    t = ControlTask.__new__(ControlTask)
    t._over = False
    t.node, t.stalled, t._hint = Node, True, None
    t.core, t._session = type("C", (), {"raft": object(), "clock": FleetClock()}), Session(lambda: 7)
    assert t.offer(b"x", 1.0).revision == 5 and asked == [("other", "offer")]
    assert t.read(1.0).code == "leader" and len(asked) == 1


def test_an_offer_that_may_have_run_never_ends_as_no_leader(monkeypatch):
    ends = [CommandResponse("undecided")]
    monkeypatch.setattr(
        ControlTask, "_offer_once", lambda self, c, left: ends.pop() if ends else CommandResponse("leader")
    )
    t = ControlTask.__new__(ControlTask)
    t._over = False
    t.core, t._session = type("C", (), {"clock": FleetClock()}), Session(lambda: 7)
    assert t.offer(b"", 0.12, 0.05).code == "undecided"
    assert t.offer(b"", 0.06, 0.05).code == "leader"
