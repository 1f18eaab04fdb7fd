"""The machine of a line between nodes against its promises, over any order of what can happen to it."""

import ast
from pathlib import Path

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from mallowvalve.transport.calls import Calls, Failure
from mallowvalve.transport.frame import Frame

CAPACITY = 4
MACHINES = [
    "transport/calls.py",
    "proxy/reader.py",
    "proxy/host_forwarder.py",
    "proxy/tenant_forwarder.py",
    "proxy/idle_connections.py",
]


class CallMachine(RuleBasedStateMachine):
    """Waiters are the calls' own bodies, so that an answer to the wrong one shows."""

    def __init__(self):
        super().__init__()
        self.calls = Calls(CAPACITY)
        self.is_open = False
        self.ids: dict[str, int] = {}
        self.handed_out: dict[int, int] = {}
        self.told: dict[str, object] = {}
        self.given_up: set[str] = set()

    def pending(self) -> list[str]:
        return [w for w in self.ids if w not in self.told and w not in self.given_up]

    def tell(self, waiter: str, what: object) -> None:
        assert waiter not in self.told and waiter not in self.given_up
        self.told[waiter] = what

    def fail(self, told) -> None:
        for waiter, why in told:
            self.tell(waiter, why)
            assert why.may_have_run == (self.ids[waiter] in self.handed_out)

    @rule()
    def call(self):
        waiter = f"w{len(self.ids)}"
        number = self.calls.put("offer", waiter.encode(), waiter)
        if number is not None:
            assert number not in self.ids.values()
            self.ids[waiter] = number

    @rule()
    def cast(self):
        self.calls.put("note", b"")

    @precondition(lambda self: self.ids)
    @rule(data=st.data())
    def give_up(self, data):
        waiter = data.draw(st.sampled_from(sorted(self.ids)))
        self.calls.give_up(self.ids[waiter])
        if waiter not in self.told:
            self.given_up.add(waiter)

    @initialize()
    def begin(self):
        self.call()
        self.open()

    @precondition(lambda self: not self.is_open)
    @rule()
    def open(self):
        self.calls.opened()
        self.is_open = True

    @precondition(lambda self: self.is_open)
    @rule(most=st.sampled_from([1, 3]))
    def take(self, most):
        by_id = {number: waiter for waiter, number in self.ids.items()}
        for frame in self.calls.take(most):
            assert frame.id not in self.handed_out and not frame.answer
            waiter = by_id.get(frame.id)
            assert waiter not in self.given_up and waiter not in self.told
            self.handed_out[frame.id] = self.calls.connection

    @precondition(lambda self: self.handed_out)
    @rule(data=st.data(), back=st.sampled_from([0, 0, 1, 2]), answer=st.sampled_from([True, True, False]))
    def answer(self, data, back, answer):
        number = data.draw(st.sampled_from([0, *self.ids.values()]))
        connection = self.calls.connection - back
        waiter = self.calls.answered(connection, Frame("offer", number, answer, b""))
        if waiter is None:
            owed = [w for w in self.pending() if self.ids[w] == number]
            assert not (owed and answer and self.handed_out.get(number) == connection)
            return
        assert self.ids[waiter] == number and self.handed_out[number] == connection and answer
        self.tell(waiter, "answer")

    @precondition(lambda self: self.is_open)
    @rule(back=st.sampled_from([0, 0, 1, 2]))
    def lose(self, back):
        connection = self.calls.connection - back
        told = self.calls.lost(connection)
        self.fail(told)
        if back:
            assert told == []
        else:
            self.is_open = False
            assert not self.pending()

    @precondition(lambda self: not self.is_open)
    @rule()
    def find_the_peer_unreachable(self):
        self.fail(self.calls.unreachable())
        assert not self.pending() and not self.calls

    @invariant()
    def nothing_is_kept_for_who_does_not_wait(self):
        waiting = set(self.calls._unsent.values()) | set(self.calls._sent.values())
        assert waiting == set(self.pending())


CallMachine.TestCase.settings = settings(derandomize=True, max_examples=200, stateful_step_count=40, deadline=None)
TestCalls = CallMachine.TestCase


def test_only_proof_says_that_a_call_did_not_run():
    assert {f for f in Failure if not f.may_have_run} == {Failure.OVERFLOW, Failure.UNREACHABLE, Failure.UNSENT}


@pytest.mark.parametrize("machine", MACHINES)
def test_the_machines_of_calls_touch_no_socket_and_no_clock(machine):
    tree = ast.parse((Path(__file__).parent.parent / "mallowvalve" / machine).read_text())
    imported = {a.name for n in ast.walk(tree) if isinstance(n, ast.Import) for a in n.names}
    imported |= {n.module for n in ast.walk(tree) if isinstance(n, ast.ImportFrom)}
    assert not [m for m in imported if m.partition(".")[0] in ("gevent", "socket", "time") or m.endswith(".clock")]
