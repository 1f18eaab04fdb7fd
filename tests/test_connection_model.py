"""A proxy's connections to upstreams against their promises, over orders of what upstreams can do to them.

Each answer goes once to the request whose id it bears; what may not be repeated is on the wire once, unless an upstream proved
that it did not run; nothing of one exchange shows in the next.
"""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.host_bench import make_request
from tests.upstream_wire import BEHAVIOURS, Wire

GAPS = [0.0, 0.6, 2.5]
"""Pauses (s) before a request: none, short of and beyond what the connections for unrepeatable requests may rest."""
LIMIT, SLACK = 1.0, 0.01
"""The routes' time, and what its last reads and writes may take beyond it (s)."""
TURNS = [(b, kind, gap) for b in BEHAVIOURS for kind in ("read", "try") for gap in GAPS]


def check_exchange(wire: Wire, name: str, kind: str, reply) -> None:
    sent = [s for s in wire.sent if s.ask == name and s.bytes_left]
    maybe = [s for s in sent if not s.refused]
    if kind == "try":
        assert len(maybe) <= 1 and (not maybe or sent[-1] is maybe[0])
    else:
        assert len(sent) <= 2
    if reply.answer is not None:
        assert reply.answer.body == name.encode() and reply.answer.header_map["mallow-ask"] == name
    elif reply.outcome == "not-run":
        assert not maybe
    else:
        assert maybe and reply.status in (502, 504) and reply.retry_after is None


def play(monkeypatch, turns, again=()) -> Wire:
    wire = Wire(monkeypatch)
    for i, (behaviour, kind, gap) in enumerate(turns):
        wire.now += gap
        wire.script = [behaviour, *again]
        name = f"{chr(97 + i)}0"
        began = wire.now
        if kind == "read":
            reply = wire.carry(make_request(f"/r/{i}", request_id=name))
        else:
            reply = wire.carry(make_request(f"/o/{i}", "POST", request_id=name, length=20))
        assert wire.now - began <= LIMIT + SLACK
        check_exchange(wire, name, kind, reply)
    return wire


def test_every_order_of_two_exchanges(monkeypatch):
    for turns in itertools.product([t for t in TURNS if t[2] == 0], [t for t in TURNS if t[2] < 1]):
        play(monkeypatch, turns)


@pytest.mark.parametrize("kind", ["read", "try"])
def test_every_pair_on_one_request(monkeypatch, kind):
    for first, second in itertools.product(BEHAVIOURS, BEHAVIOURS):
        play(monkeypatch, [(first, kind, 0.0), (BEHAVIOURS[0], "try", 0.0)], [second])


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.sampled_from(TURNS), max_size=12))
def test_longer_orders(turns):
    with pytest.MonkeyPatch.context() as monkeypatch:
        play(monkeypatch, turns)
