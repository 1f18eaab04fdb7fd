"""Model test of a proxy's connections to upstreams, over sequences of upstream behaviours.

Each response goes once to the request whose id it carries; a request that may not be repeated is sent once, unless an
upstream proved that it did not run; and nothing of one exchange is visible in the next.
"""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.host_bench import make_request
from tests.upstream_wire import BEHAVIOURS, Wire

PAUSES_S = [0.0, 0.6, 2.5]
"""Pauses before a request: none, below and above the idle limit of connections for unrepeatable requests."""
LIMIT_S = 1.0
"""The time limit of the routes."""
SLACK_S = 0.01
"""The last reads and writes may exceed the routes' limit by this."""
EXCHANGES = [(behaviour, kind, pause) for behaviour in BEHAVIOURS for kind in ("read", "try") for pause in PAUSES_S]


def check_exchange(wire: Wire, request_id: str, kind: str, response) -> None:
    sent = [send for send in wire.sent if send.request_id == request_id and send.accepted_bytes]
    may_have_run = [send for send in sent if not send.refused]
    if kind == "try":
        assert len(may_have_run) <= 1 and (not may_have_run or sent[-1] is may_have_run[0])
    else:
        assert len(sent) <= 2
    if response.answer is not None:
        assert response.answer.body == request_id.encode() and response.answer.header_map["mallow-ask"] == request_id
    elif response.outcome == "not-run":
        assert not may_have_run
    else:
        assert may_have_run and response.status in (502, 504) and response.retry_after is None


def play(monkeypatch, exchanges, retries=()) -> Wire:
    wire = Wire(monkeypatch)
    for index, (behaviour, kind, pause) in enumerate(exchanges):
        wire.now += pause
        wire.script = [behaviour, *retries]
        request_id = f"{chr(97 + index)}0"
        began = wire.now
        if kind == "read":
            response = wire.forward(make_request(f"/r/{index}", request_id=request_id))
        else:
            response = wire.forward(make_request(f"/o/{index}", "POST", request_id=request_id, length=20))
        assert wire.now - began <= LIMIT_S + SLACK_S
        check_exchange(wire, request_id, kind, response)
    return wire


def test_every_sequence_of_two_exchanges(monkeypatch):
    for exchanges in itertools.product([e for e in EXCHANGES if e[2] == 0], [e for e in EXCHANGES if e[2] < 1]):
        play(monkeypatch, exchanges)


@pytest.mark.parametrize("kind", ["read", "try"])
def test_every_pair_of_behaviours_for_one_request(monkeypatch, kind):
    for first, second in itertools.product(BEHAVIOURS, BEHAVIOURS):
        play(monkeypatch, [(first, kind, 0.0), (BEHAVIOURS[0], "try", 0.0)], [second])


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.sampled_from(EXCHANGES), max_size=12))
def test_longer_sequences(exchanges):
    with pytest.MonkeyPatch.context() as monkeypatch:
        play(monkeypatch, exchanges)
