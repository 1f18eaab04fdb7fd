"""How the leader serves a fleet of many proxies."""

from __future__ import annotations

import random
from types import SimpleNamespace

import pytest

from mallowvalve.control.bootstrap_task import BootstrapTask
from mallowvalve.control.core import Core
from mallowvalve.control.snapshot import initial_snapshot
from mallowvalve.control.state import Enrol, Evacuate, ReplicatedState, Seats, Strike, Tick, encode
from mallowvalve.control.wire import ReplicationRequest
from mallowvalve.membership.detector import initial_record
from mallowvalve.raft.messages import ClusterConfiguration, GroupId
from mallowvalve.settings import Acks
from mallowvalve.types import Address, Locality

A = Address("10.0.0.1", 1)
GROUP = GroupId(1, "g")
LOCALITY = Locality("eu", "x")
PROXIES = [Address("10.1.0.1", n + 1) for n in range(82)]


def leader_core(settings):
    core = Core("a", A, LOCALITY, random.Random(1), Acks(settings=settings))
    core.start(initial_snapshot(GROUP, ClusterConfiguration({"a": A}), None), None, [], 0.0)
    step_until(core, 5.0, 8.0)
    assert core.leads
    return core


def step_until(core, now, end):
    while now < end:
        step(core, now)
        now += 0.1


def step(core, now):
    core.tick(now)
    core.saved(core.ready(now), now)
    replies, core.replies = core.replies, []
    return replies


def request_entries(core, now, replicas=PROXIES):
    for address in replicas:
        index = core.state.index if now > 8 else 0
        request = ReplicationRequest(address, 7, "proxy", LOCALITY, GROUP, index, 0, now, "settings", 1.0)
        core.replicate(request, address, now)


@pytest.mark.parametrize(("settings", "seats"), [("held", 82), ("force", 1)])
def test_proxies_that_join_together_get_seats_together_unless_changes_wait_for_a_majority(settings, seats):
    core = leader_core(settings)
    request_entries(core, 8.0)
    step(core, 8.0)
    step(core, 8.2)
    assert len(core.state.settings.roster) == seats


def test_seats_of_departed_proxies_are_removed():
    core = leader_core("held")
    request_entries(core, 8.0)
    step(core, 8.0)
    step(core, 8.2)
    for second in range(9, 40):
        request_entries(core, float(second), PROXIES[:50])
        step_until(core, float(second), second + 0.95)
    assert set(core.state.settings.roster) == {str(a) for a in PROXIES[:50]}


def test_several_seats_change_in_one_settings_change():
    state = ReplicatedState(1)
    state.apply(1, 0, encode(Seats([Enrol(a, 7, LOCALITY) for a in PROXIES])))
    assert len(state.settings.roster) == 82 and state.settings_index == 1
    state.apply(2, 0, encode(Seats([Strike(PROXIES[0], 6), Strike(PROXIES[1], 7), Enrol(PROXIES[2], 8, LOCALITY)])))
    assert (
        len(state.settings.roster) == 81
        and state.settings.roster[str(PROXIES[2])].boot == 8
        and state.settings_index == 2
    )


def answered(core, now):
    """Returns the replicas whose requests are answered now."""
    return {address for address, _ in step(core, now)}


def test_a_change_is_sent_at_once_and_a_burst_of_changes_in_batches():
    core = leader_core("commit")
    request_entries(core, 8.0)
    step_until(core, 8.0, 8.3)
    request_entries(core, 8.4)
    step_until(core, 8.4, 8.6)
    core.propose(encode(Evacuate("a", True, "1")), "t", 20.0, 8.6)
    assert set(PROXIES) <= answered(core, 8.6)
    request_entries(core, 8.61)
    answer_times = []
    for number in range(20):
        core.propose(encode(Evacuate(f"z{number}", True, f"{number}")), "t", 20.0, 8.61 + number / 1000)
        answer_times += [8.61 + number / 1000] * (PROXIES[0] in answered(core, 8.61 + number / 1000))
    assert answer_times == []
    assert core.timer(8.63) <= 8.73
    assert set(PROXIES) <= answered(core, 8.75)


def test_a_leader_checks_parked_requests_only_when_one_is_due():
    core = leader_core("commit")
    request_entries(core, 8.0)
    step_until(core, 8.0, 8.3)
    request_entries(core, 8.4)
    step(core, 8.4)
    next_check_at = core.parked_requests.next_check_at
    for number in range(50):
        core.propose(encode(Tick()), number, 20.0, 8.45 + number / 1000)
        step(core, 8.45 + number / 1000)
    assert core.parked_requests.next_check_at == next_check_at and len(core.parked_requests) == 82
    assert set(PROXIES) <= answered(core, 9.41)


class ControlWithPeers:
    """The part of a control process that a bootstrap task reads."""

    def __init__(self, controls, proxies):
        alive = [initial_record(a, 1, "control", "l", LOCALITY, a) for a in controls] + [
            initial_record(a, 1, "proxy", "f", LOCALITY, a) for a in proxies
        ]
        self.node = SimpleNamespace(
            settings=SimpleNamespace(transport=A, seeds=[]), membership=SimpleNamespace(alive=lambda: alive)
        )
        self.core = SimpleNamespace(raft=None)


def test_with_a_leader_a_control_process_queries_all_control_processes_and_a_few_others(monkeypatch):
    controls = [Address("10.2.0.1", n + 1) for n in range(8)]
    task, asked = BootstrapTask(ControlWithPeers(controls, PROXIES)), set()
    monkeypatch.setattr(BootstrapTask, "_query", lambda self, to: asked.update(to) or [])
    task._query_all(True)
    assert set(controls) <= asked and len(asked) <= 8 + 4
    task._query_all()
    assert set(controls) | set(PROXIES) <= asked
