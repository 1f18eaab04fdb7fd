"""Fleets of many proxies: what the leader does for all of them at once."""

from __future__ import annotations

import random
from types import SimpleNamespace

import pytest

from mallowvalve.bond.detector import fresh_record
from mallowvalve.kind import Address, Locality
from mallowvalve.law.core import Core
from mallowvalve.law.cut import founding
from mallowvalve.law.foundtask import FoundTask
from mallowvalve.law.state import Enrol, Evacuate, Seats, State, Strike, Tick, encode
from mallowvalve.law.wire import Want
from mallowvalve.params import Acks
from mallowvalve.vote.wire import Group, Voters

A, G, LOC = Address("10.0.0.1", 1), Group(1, "g"), Locality("eu", "x")
MANY = [Address("10.1.0.1", n + 1) for n in range(82)]


def leader(settings):
    c = Core("a", A, LOC, random.Random(1), Acks(settings=settings))
    c.start(founding(G, Voters({"a": A}), None), None, [], 0.0)
    go_on(c, 5.0, 8.0)
    assert c.leads
    return c


def go_on(c, now, end):
    while now < end:
        step(c, now)
        now += 0.1


def step(c, now):
    c.tick(now)
    c.saved(c.ready(now), now)
    out, c.replies = c.replies, []
    return out


def wants(c, now, some=MANY):
    for a in some:
        held = c.state.index if now > 8 else 0
        c.want(Want(a, 7, "flow", LOC, G, held, 0, now, "settings", 1.0), a, now)


@pytest.mark.parametrize(("settings", "seats"), [("held", 82), ("force", 1)])
def test_proxies_that_come_at_once_get_seats_at_once_except_where_majorities_count(settings, seats):
    c = leader(settings)
    wants(c, 8.0)
    step(c, 8.0)
    step(c, 8.2)
    assert len(c.state.params.roster) == seats


def test_seats_that_nobody_holds_any_more_go_together():
    c = leader("held")
    wants(c, 8.0)
    step(c, 8.0)
    step(c, 8.2)
    for t in range(9, 40):
        wants(c, float(t), MANY[:50])
        go_on(c, float(t), t + 0.95)
    assert set(c.state.params.roster) == {str(a) for a in MANY[:50]}


def test_seats_are_one_change_of_the_settings():
    s = State(1)
    s.apply(1, 0, encode(Seats([Enrol(a, 7, LOC) for a in MANY])))
    assert len(s.params.roster) == 82 and s.turned == 1
    s.apply(2, 0, encode(Seats([Strike(MANY[0], 6), Strike(MANY[1], 7), Enrol(MANY[2], 8, LOC)])))
    assert len(s.params.roster) == 81 and s.params.roster[str(MANY[2])].boot == 8 and s.turned == 2


def fed(c, now):
    return {t for t, f in step(c, now)}


def test_news_is_fed_at_once_and_a_burst_of_it_in_parts():
    c = leader("commit")
    wants(c, 8.0)
    go_on(c, 8.0, 8.3)
    wants(c, 8.4)
    go_on(c, 8.4, 8.6)
    c.propose(encode(Evacuate("a", True, "1")), "t", 20.0, 8.6)
    assert set(MANY) <= fed(c, 8.6)
    wants(c, 8.61)
    times = []
    for n in range(20):
        c.propose(encode(Evacuate(f"z{n}", True, f"{n}")), "t", 20.0, 8.61 + n / 1000)
        times += [8.61 + n / 1000] * (MANY[0] in fed(c, 8.61 + n / 1000))
    assert times == []
    assert c.wakeup(8.63) <= 8.73
    assert set(MANY) <= fed(c, 8.75)


def test_a_leader_looks_through_its_echoes_only_when_something_is_due():
    c = leader("commit")
    wants(c, 8.0)
    go_on(c, 8.0, 8.3)
    wants(c, 8.4)
    step(c, 8.4)
    looks = c._look_at
    for n in range(50):
        c.propose(encode(Tick()), n, 20.0, 8.45 + n / 1000)
        step(c, 8.45 + n / 1000)
    assert c._look_at == looks and len(c._parked) == 82
    assert set(MANY) <= fed(c, 9.41)


class Neighbours:
    def __init__(self, laws, flows):
        seen = [fresh_record(a, 1, "law", "l", LOC, a) for a in laws] + [
            fresh_record(a, 1, "flow", "f", LOC, a) for a in flows
        ]
        self.node = SimpleNamespace(params=SimpleNamespace(mesh=A, seeds=[]), bond=SimpleNamespace(alive=lambda: seen))
        self.core = SimpleNamespace(raft=None)


def test_in_calm_times_a_law_asks_all_laws_and_few_others(monkeypatch):
    laws = [Address("10.2.0.1", n + 1) for n in range(8)]
    f, asked = FoundTask(Neighbours(laws, MANY)), set()
    monkeypatch.setattr(FoundTask, "_ask", lambda self, to: asked.update(to) or [])
    f._ask_all(True)
    assert set(laws) <= asked and len(asked) <= 8 + 4
    f._ask_all()
    assert set(laws) | set(MANY) <= asked
