import pytest
from result import Ok

from mallowvalve.control import wire
from mallowvalve.control.fleet_clock import FleetClock
from mallowvalve.control.sessions import Session
from mallowvalve.control.snapshot import decode_snapshot, encode_snapshot
from mallowvalve.control.state import Change, Evacuate, ReplicatedState, encode
from mallowvalve.control.task import ControlTask
from mallowvalve.control.wire import CommandResponse
from mallowvalve.coordination.state import Lock, Next, Put

MINUTE_MS = 60_000


class AppliedState:
    """A state that applies each command as its next log entry."""

    def __init__(self):
        self.state = ReplicatedState(3)

    def apply(self, command, now_ms=0):
        return self.state.apply(self.state.index + 1, now_ms, encode(command))


@pytest.mark.parametrize(
    "one,other",
    [
        (Change(None, b"{}", "k"), Change(None, b'{"services":{}}', "k")),
        (Evacuate("eu-a", True, "k"), Evacuate("eu-b", True, "k")),
        (Put("n", "1", None, "k"), Put("n", "2", None, "k")),
        (Lock("n", "x", 1000, "k"), Lock("n", "y", 1000, "k")),
    ],
)
def test_a_key_used_again_for_another_command_is_a_conflict_and_changes_nothing(one, other):
    applied = AppliedState()
    first = applied.apply(one)
    state = applied.state
    before = state.settings.revision, dict(state.coordination.keys), dict(state.coordination.locks)
    assert first.code == "ok" and applied.apply(other).code == "reused"
    assert (state.settings.revision, state.coordination.keys, state.coordination.locks) == before
    assert applied.apply(one) == first


def test_a_repeated_evacuation_does_not_undo_the_end_of_the_evacuation():
    applied = AppliedState()
    evacuate = Evacuate("eu-a", True, "a")
    assert applied.apply(evacuate).code == "ok" and applied.apply(Evacuate("eu-a", False, "b")).code == "ok"
    applied.apply(evacuate)
    assert applied.state.settings.evacuated == {}


def test_a_repeated_command_gets_its_first_conflict_again():
    applied = AppliedState()
    applied.apply(Put("n", "1"))
    conflicting = Put("n", "2", 0, "k")
    assert applied.apply(conflicting).code == "conflict"
    applied.apply(Put("n", None))
    assert applied.apply(conflicting).code == "conflict" and applied.state.coordination.keys == {}


def test_keys_are_retained_for_the_stated_time_whatever_their_number():
    applied = AppliedState()
    first = applied.apply(Change(None, b"{}", "mine"))
    drawn = applied.apply(Next("n", "mine"))
    for number in range(2000):
        applied.apply(Change(None, b"{}", f"c{number}"), 14 * MINUTE_MS)
    assert (
        applied.apply(Change(None, b"{}", "mine"), 14 * MINUTE_MS) == first
        and applied.apply(Next("n", "mine"), 14 * MINUTE_MS) == drawn
    )
    assert applied.apply(Change(None, b"{}", "mine"), 30 * MINUTE_MS).revision != first.revision


def test_a_snapshot_contains_the_outcomes_by_key():
    applied = AppliedState()
    first = applied.apply(Change(None, b"{}", "mine"))
    applied.state = decode_snapshot(encode_snapshot(applied.state))
    assert applied.apply(Change(None, b"{}", "mine")) == first


def test_a_control_process_with_a_failed_disk_forwards_offers_to_another_one():
    calls = []

    class Node:
        class settings:
            transport = "me"

        class membership:
            alive = staticmethod(lambda role: [type("R", (), {"addr": "other"})])

        class transport:
            call = staticmethod(
                lambda address, kind, body, limit: (
                    calls.append((address, kind)) or Ok(wire.encode(CommandResponse("ok", 5)))
                )
            )

    task = ControlTask.__new__(ControlTask)
    task._stopping = False
    task.node, task.stalled, task._leader_hint = Node, True, None
    task.core, task._session = type("C", (), {"raft": object(), "clock": FleetClock()}), Session(lambda: 7)
    assert task.offer(b"x", 1.0).revision == 5 and calls == [("other", "offer")]
    assert task.read(1.0).code == "leader" and len(calls) == 1


def test_an_offer_that_may_have_been_applied_never_ends_as_no_leader(monkeypatch):
    results = [CommandResponse("undecided")]
    monkeypatch.setattr(
        ControlTask, "_offer_once", lambda self, command, left: results.pop() if results else CommandResponse("leader")
    )
    task = ControlTask.__new__(ControlTask)
    task._stopping = False
    task.core, task._session = type("C", (), {"clock": FleetClock()}), Session(lambda: 7)
    assert task.offer(b"", 0.12, 0.05).code == "undecided"
    assert task.offer(b"", 0.06, 0.05).code == "leader"
