"""Fleets of many proxies: what the leader does for all of them at once."""

from __future__ import annotations

import random
from types import SimpleNamespace

import pytest

from mallowvalve.control.bootstrap_task import BootstrapTask
from mallowvalve.control.core import Core
from mallowvalve.control.snapshot import founding
from mallowvalve.control.state import Enrol, Evacuate, ReplicatedState, Seats, Strike, Tick, encode
from mallowvalve.control.wire import ReplicationRequest
from mallowvalve.membership.detector import initial_record
from mallowvalve.raft.messages import ClusterConfiguration, GroupId
from mallowvalve.settings import Acks
from mallowvalve.types import Address, Locality

A, G, LOC = Address("10.0.0.1", 1), GroupId(1, "g"), Locality("eu", "x")
MANY = [Address("10.1.0.1", n + 1) for n in range(82)]


def leader(settings):
    c = Core("a", A, LOC, random.Random(1), Acks(settings=settings))
    c.start(founding(G, ClusterConfiguration({"a": A}), None), None, [], 0.0)
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
        c.replicate(ReplicationRequest(a, 7, "proxy", LOC, G, held, 0, now, "settings", 1.0), a, now)


@pytest.mark.parametrize(("settings", "seats"), [("held", 82), ("force", 1)])
def test_proxies_that_come_at_once_get_seats_at_once_except_where_majorities_count(settings, seats):
    c = leader(settings)
    wants(c, 8.0)
    step(c, 8.0)
    step(c, 8.2)
    assert len(c.state.settings.roster) == seats


def test_seats_that_nobody_holds_any_more_go_together():
    c = leader("held")
    wants(c, 8.0)
    step(c, 8.0)
    step(c, 8.2)
    for t in range(9, 40):
        wants(c, float(t), MANY[:50])
        go_on(c, float(t), t + 0.95)
    assert set(c.state.settings.roster) == {str(a) for a in MANY[:50]}


def test_seats_are_one_change_of_the_settings():
    s = ReplicatedState(1)
    s.apply(1, 0, encode(Seats([Enrol(a, 7, LOC) for a in MANY])))
    assert len(s.settings.roster) == 82 and s.settings_index == 1
    s.apply(2, 0, encode(Seats([Strike(MANY[0], 6), Strike(MANY[1], 7), Enrol(MANY[2], 8, LOC)])))
    assert len(s.settings.roster) == 81 and s.settings.roster[str(MANY[2])].boot == 8 and s.settings_index == 2


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
    assert c.timer(8.63) <= 8.73
    assert set(MANY) <= fed(c, 8.75)


def test_a_leader_looks_through_its_replicas_only_when_something_is_due():
    c = leader("commit")
    wants(c, 8.0)
    go_on(c, 8.0, 8.3)
    wants(c, 8.4)
    step(c, 8.4)
    looks = c.parked_requests.next_check_at
    for n in range(50):
        c.propose(encode(Tick()), n, 20.0, 8.45 + n / 1000)
        step(c, 8.45 + n / 1000)
    assert c.parked_requests.next_check_at == looks and len(c.parked_requests) == 82
    assert set(MANY) <= fed(c, 9.41)


class Peers:
    def __init__(self, controls, proxies):
        seen = [initial_record(a, 1, "control", "l", LOC, a) for a in controls] + [
            initial_record(a, 1, "proxy", "f", LOC, a) for a in proxies
        ]
        self.node = SimpleNamespace(
            settings=SimpleNamespace(transport=A, seeds=[]), membership=SimpleNamespace(alive=lambda: seen)
        )
        self.core = SimpleNamespace(raft=None)


def test_in_calm_times_a_control_process_asks_all_control_processes_and_few_others(monkeypatch):
    controls = [Address("10.2.0.1", n + 1) for n in range(8)]
    f, asked = BootstrapTask(Peers(controls, MANY)), set()
    monkeypatch.setattr(BootstrapTask, "_query", lambda self, to: asked.update(to) or [])
    f._query_all(True)
    assert set(controls) <= asked and len(asked) <= 8 + 4
    f._query_all()
    assert set(controls) | set(MANY) <= asked
