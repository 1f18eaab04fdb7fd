"""Upstreams whose word is not to be relied on: they fail in part, or forget connections."""

from __future__ import annotations

from collections import Counter

from result import Err

from mallowvalve.proxy.steps import OpenConnection
from tests.tryout import HostScenario, make_request, make_response

READ, TRY = make_request("/r/1"), make_request("/o/1", "POST", length=0)


def test_one_that_fails_in_part_gets_little_though_it_answers_well_between():
    p = HostScenario(upstreams=6)
    got = Counter()
    for n in range(600):
        p.t += 0.05
        p.steps.clear()
        p.say = [make_response(), make_response()]
        gen, back = p.b.forwarder.handle(READ), None
        try:
            while True:
                s = gen.send(back)
                p.steps.append(s)
                back = p.reply(s)
                if type(s).__name__ == "Exchange":
                    who = s.connection.heartbeat.instance
                    got[who] += 1
                    if who == "u0" and got[who] % 2:
                        back = type(back)(make_response(500))
        except StopIteration:
            pass
    assert got["u0"] < 0.4 * min(got[f"u{i}"] for i in range(1, 6))
    assert got["u0"] > 3


def test_where_all_fail_alike_all_go_on_being_used():
    p = HostScenario(upstreams=3, budget={"ratio": 1.0, "span": 10.0, "slack": 1000.0})
    for n in range(60):
        p.t += 0.1
        p.say = [make_response(500), make_response(500)]
        assert p.run(READ).status == 500
    assert min(Counter(p.to()).values()) > 10


def test_what_cannot_be_sent_again_takes_only_a_connection_used_just_now():
    p = HostScenario(upstreams=1)
    p.run(TRY)
    p.t += 0.5
    p.run(TRY)
    assert p.count(OpenConnection) == 1
    p.t += 1.5
    p.run(READ)
    assert p.count(OpenConnection) == 1
    p.t += 1.5
    p.run(TRY)
    assert p.count(OpenConnection) == 2


def test_a_connection_that_was_forgotten_makes_all_be_trusted_for_less():
    p = HostScenario(upstreams=3)
    for _ in range(30):
        p.run(READ)
    p.t += 2.0
    p.say = [Err("broken: reset")]
    assert p.run(READ).status == 200
    upstreams = p.b.hosts.upstreams.values()
    assert all(s.is_healthy(p.t) and not s.failure_score(p.t) for s in upstreams)
    p.t += 1.2
    before = p.count(OpenConnection)
    p.run(READ)
    assert p.count(OpenConnection) == before + 1
    p.t += 40.0
    p.run(READ), p.run(READ)
    p.t += 1.2
    before = p.count(OpenConnection)
    p.run(READ)
    assert p.count(OpenConnection) <= before + 1


def test_a_break_of_a_connection_just_used_is_the_upstreams_fault():
    p = HostScenario([make_response(), Err("broken: reset")], upstreams=1)
    p.run(READ)
    p.run(READ)
    assert not next(iter(p.b.hosts.upstreams.values())).is_healthy(p.t)
