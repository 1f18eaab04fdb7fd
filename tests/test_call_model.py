"""Model-based test of `PendingCalls`: its guarantees hold for any order of calls, responses and lost connections."""

import ast
from pathlib import Path

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from mallowvalve.transport.calls import CallFailure, PendingCalls
from mallowvalve.transport.frame import TransportFrame

CAPACITY = 4
STATE_MACHINES = [
    "transport/calls.py",
    "proxy/response_parser.py",
    "proxy/host_forwarder.py",
    "proxy/tenant_forwarder.py",
    "proxy/idle_connections.py",
]


class CallMachine(RuleBasedStateMachine):
    """Uses the body of each call as its waiter, so that a response to the wrong call is detected."""

    def __init__(self):
        super().__init__()
        self.calls = PendingCalls(CAPACITY)
        self.is_open = False
        self.ids: dict[str, int] = {}
        self.sent_on: dict[int, int] = {}
        self.outcomes: dict[str, object] = {}
        self.cancelled: set[str] = set()

    def pending(self) -> list[str]:
        return [waiter for waiter in self.ids if waiter not in self.outcomes and waiter not in self.cancelled]

    def resolve(self, waiter: str, outcome: object) -> None:
        assert waiter not in self.outcomes and waiter not in self.cancelled
        self.outcomes[waiter] = outcome

    def fail(self, failed) -> None:
        for waiter, failure in failed:
            self.resolve(waiter, failure)
            assert failure.may_have_run == (self.ids[waiter] in self.sent_on)

    @rule()
    def call(self):
        waiter = f"w{len(self.ids)}"
        call_id = self.calls.enqueue("offer", waiter.encode(), waiter)
        if call_id is not None:
            assert call_id not in self.ids.values()
            self.ids[waiter] = call_id

    @rule()
    def cast(self):
        self.calls.enqueue("note", b"")

    @precondition(lambda self: self.ids)
    @rule(data=st.data())
    def cancel(self, data):
        waiter = data.draw(st.sampled_from(sorted(self.ids)))
        self.calls.cancel(self.ids[waiter])
        if waiter not in self.outcomes:
            self.cancelled.add(waiter)

    @initialize()
    def start(self):
        self.call()
        self.open_connection()

    @precondition(lambda self: not self.is_open)
    @rule()
    def open_connection(self):
        self.calls.connection_opened()
        self.is_open = True

    @precondition(lambda self: self.is_open)
    @rule(limit=st.sampled_from([1, 3]))
    def dequeue(self, limit):
        by_id = {call_id: waiter for waiter, call_id in self.ids.items()}
        for frame in self.calls.dequeue(limit):
            assert frame.id not in self.sent_on and not frame.is_response
            waiter = by_id.get(frame.id)
            assert waiter not in self.cancelled and waiter not in self.outcomes
            self.sent_on[frame.id] = self.calls.connection

    @precondition(lambda self: self.sent_on)
    @rule(data=st.data(), back=st.sampled_from([0, 0, 1, 2]), is_response=st.sampled_from([True, True, False]))
    def receive(self, data, back, is_response):
        call_id = data.draw(st.sampled_from([0, *self.ids.values()]))
        connection = self.calls.connection - back
        waiter = self.calls.match_response(connection, TransportFrame("offer", call_id, is_response, b""))
        if waiter is None:
            waiting = [pending for pending in self.pending() if self.ids[pending] == call_id]
            assert not (waiting and is_response and self.sent_on.get(call_id) == connection)
            return
        assert self.ids[waiter] == call_id and self.sent_on[call_id] == connection and is_response
        self.resolve(waiter, "response")

    @precondition(lambda self: self.is_open)
    @rule(back=st.sampled_from([0, 0, 1, 2]))
    def lose_connection(self, back):
        connection = self.calls.connection - back
        failed = self.calls.connection_lost(connection)
        self.fail(failed)
        if back:
            assert failed == []
        else:
            self.is_open = False
            assert not self.pending()

    @precondition(lambda self: not self.is_open)
    @rule()
    def fail_to_connect(self):
        self.fail(self.calls.peer_unreachable())
        assert not self.pending() and not self.calls

    @invariant()
    def only_pending_calls_are_kept(self):
        waiting = set(self.calls._queued_calls.values()) | set(self.calls._sent_calls.values())
        assert waiting == set(self.pending())


CallMachine.TestCase.settings = settings(derandomize=True, max_examples=200, stateful_step_count=40, deadline=None)
TestCalls = CallMachine.TestCase


def test_only_failures_before_any_byte_was_sent_exclude_that_the_call_ran():
    assert {failure for failure in CallFailure if not failure.may_have_run} == {
        CallFailure.OVERFLOW,
        CallFailure.UNREACHABLE,
        CallFailure.UNSENT,
    }


@pytest.mark.parametrize("path", STATE_MACHINES)
def test_the_state_machines_import_no_socket_and_no_clock(path):
    tree = ast.parse((Path(__file__).parent.parent / "mallowvalve" / path).read_text())
    imported = {alias.name for node in ast.walk(tree) if isinstance(node, ast.Import) for alias in node.names}
    imported |= {node.module for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)}
    assert not [
        name for name in imported if name.partition(".")[0] in ("gevent", "socket", "time") or name.endswith(".clock")
    ]
