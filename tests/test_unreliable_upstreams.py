"""Unreliable upstreams: partial failures, and idle connections that an upstream drops or that outlive their use."""

from __future__ import annotations

from collections import Counter

from result import Err

from mallowvalve.proxy.steps import Exchange, OpenConnection
from tests.host_bench import FakeHostConnection, HostScenario, make_request, make_response

READ, TRY = make_request("/r/1"), make_request("/o/1", "POST", length=0)


def test_an_upstream_that_fails_every_second_request_gets_little_load():
    case = HostScenario(upstreams=6)
    sent = Counter()
    for _ in range(600):
        case.now += 0.05
        case.steps.clear()
        case.results = [make_response(), make_response()]
        steps, result = case.bench.forwarder.handle(READ), None
        try:
            while True:
                step = steps.send(result)
                case.steps.append(step)
                result = case.perform(step)
                if isinstance(step, Exchange):
                    instance = step.connection.heartbeat.instance
                    sent[instance] += 1
                    if instance == "u0" and sent[instance] % 2:
                        result = type(result)(make_response(500))
        except StopIteration:
            pass
    assert sent["u0"] < 0.4 * min(sent[f"u{i}"] for i in range(1, 6))
    assert sent["u0"] > 3


def test_upstreams_that_all_fail_alike_all_stay_in_use():
    case = HostScenario(upstreams=3, budget={"ratio": 1.0, "span": 10.0, "slack": 1000.0})
    for _ in range(60):
        case.now += 0.1
        case.results = [make_response(500), make_response(500)]
        assert case.run(READ).status == 500
    assert min(Counter(case.targets()).values()) > 10


def test_a_request_that_cannot_be_sent_again_only_reuses_a_recently_used_connection():
    case = HostScenario(upstreams=1)
    case.run(TRY)
    case.now += 0.5
    case.run(TRY)
    assert case.count(OpenConnection) == 1
    case.now += 1.5
    case.run(READ)
    assert case.count(OpenConnection) == 1
    case.now += 1.5
    case.run(TRY)
    assert case.count(OpenConnection) == 2


def test_idle_connections_are_reused_last_first_and_not_after_their_lifetime():
    case = HostScenario(upstreams=1)
    case.run(READ)
    case.run(READ)
    assert case.count(OpenConnection) == 1
    case.now += 4.5
    case.run(READ)
    assert case.count(OpenConnection) == 2
    old, new = (
        FakeHostConnection(case.bench.hosts.upstreams["u0"].upstream),
        FakeHostConnection(case.bench.hosts.upstreams["u0"].upstream),
    )
    case.bench.hosts.idle_connections.give(old, case.now)
    case.bench.hosts.idle_connections.give(new, case.now)
    assert case.bench.hosts.idle_connections.take(new.heartbeat, case.now) is new
    case.bench.hosts.idle_connections.prune(set(), case.now)
    assert old.closed


def test_a_connection_released_unused_keeps_its_last_use():
    case = HostScenario([make_response(500)], budget={"ratio": 0.0, "span": 10.0, "slack": 0.0})
    case.now = 3.0
    idle = [FakeHostConnection(case.bench.state.registry.rows[f"u{i}"]) for i in range(2)]
    for connection in idle:
        case.bench.hosts.idle_connections.give(connection, 0.1)
    assert case.run(READ).status == 502 and len(case.exchanges()) == 1
    unused = next(c for c in idle if c is not case.exchanges()[0].connection)
    assert unused.since == 0.1 and case.exchanges()[0].connection.since > 3.0
    case.run(TRY)
    assert case.exchanges()[1].connection is not unused


def test_a_dropped_idle_connection_shortens_the_idle_time_of_all():
    case = HostScenario(upstreams=3)
    for _ in range(30):
        case.run(READ)
    case.now += 2.0
    case.results = [Err("broken: reset")]
    assert case.run(READ).status == 200
    upstreams = case.bench.hosts.upstreams.values()
    assert all(s.is_healthy(case.now) and not s.failure_score(case.now) for s in upstreams)
    case.now += 1.2
    before = case.count(OpenConnection)
    case.run(READ)
    assert case.count(OpenConnection) == before + 1
    case.now += 40.0
    case.run(READ), case.run(READ)
    case.now += 1.2
    before = case.count(OpenConnection)
    case.run(READ)
    assert case.count(OpenConnection) <= before + 1


def test_a_break_of_a_recently_used_connection_is_a_failure_of_the_upstream():
    case = HostScenario([make_response(), Err("broken: reset")], upstreams=1)
    case.run(READ)
    case.run(READ)
    assert not next(iter(case.bench.hosts.upstreams.values())).is_healthy(case.now)
