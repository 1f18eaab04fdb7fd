"""The age of the view by which a proxy acts: what confirms it, and what a request does when it is too old."""

import random

import pytest

from mallowvalve.control.confirmation import TIMEOUT_S, Confirmation
from mallowvalve.control.replica import Replica
from mallowvalve.control.wire import ReplicationResponse
from mallowvalve.metrics import Counts
from mallowvalve.proxy.host_request import HostRequest
from mallowvalve.proxy.view_guard import ASK_AGAIN_S, MAX_WAIT_S, ViewGuard
from mallowvalve.raft.messages import GroupId
from mallowvalve.types import Address, Locality
from tests.host_bench import HostScenario, make_request

EU, GROUP = Locality("eu", "a"), GroupId(3, "g")
ME, LEADER, OTHER, NEW_LEADER = (Address("10.0.0.1", port) for port in (1, 2, 3, 4))
OLD_S = 3.0
"""Older than the bound of 2 s that follows from a drain time of 2.5 s."""


def stale_case(**overrides) -> HostScenario:
    """Returns two upstreams and a view that is too old; somebody can be asked."""
    case = HostScenario(**overrides)
    case.bench.forwarder.view.ask = lambda: True
    case.now = OLD_S
    return case


def learn_that_u0_leaves(case) -> None:
    case.bench.upstream("u0", port=100, state="leaving")
    case.bench.replica._confirmed_at = case.now


def test_guards_against_requests_to_a_leaving_upstream_after_the_proxy_stood_still():
    """hostsoak --departures, seed 3: a request reached an upstream 3.05 s after its acknowledged notice."""
    for seed in range(8):
        case = stale_case()
        case.bench.hosts.rng = random.Random(seed)
        case.actions["waitforcapacity"] = learn_that_u0_leaves
        assert case.run(make_request()).status == 200
        assert case.targets() == ["u1"]


def test_a_standstill_while_a_connection_opens_is_noticed_before_the_send():
    for seed in range(8):
        case = HostScenario()
        case.bench.hosts.rng = random.Random(seed)
        case.bench.forwarder.view.ask = lambda: True

        def stand_still(case):
            case.now += OLD_S
            case.actions["waitforcapacity"] = learn_that_u0_leaves

        case.actions["openconnection"] = stand_still
        request = make_request(mallow_limit="9000")
        case.bench.route("r", "/r/", "read", service="s", tries=2, limit_ms=9000.0)
        assert case.run(request).status == 200
        assert case.targets() == ["u1"]


def test_a_proxy_that_nobody_answers_serves_by_the_view_it_has_and_waits_once():
    case = stale_case()
    assert case.run(make_request()).status == 200
    assert OLD_S < case.now <= OLD_S + MAX_WAIT_S + 0.1
    case.now = OLD_S + MAX_WAIT_S
    before = case.count(type(case.steps[0]))
    assert case.run(make_request()).status == 200
    assert case.count(type(case.steps[0])) == before
    assert case.bench.forwarder.counts.get("sends_by_old_view") == 2


def test_a_request_with_little_time_is_not_held_by_an_unanswered_question():
    case = stale_case()
    assert case.run(make_request(mallow_limit="100")).status == 200
    assert case.now < OLD_S + 0.1


def test_a_current_view_asks_nobody():
    case = stale_case()
    case.bench.replica._confirmed_at = case.now - 1.9
    case.run(make_request())
    assert case.bench.forwarder.counts.get("view_asked") == 0


def new_call(now: float) -> HostRequest:
    return HostRequest(make_request(), "h.example", "/r/1", None, "s", now, now + 100.0)


def new_guard(confirmed_at: float, now) -> ViewGuard:
    replica = Replica(ME, 7, "proxy", EU, lambda built: None)
    replica._confirmed_at = confirmed_at
    guard = ViewGuard(replica, 2.5, Counts(), now)
    guard.ask = lambda: True
    return guard


def test_the_pause_between_unanswered_questions_grows_and_a_confirmation_ends_it():
    clock = [10.0]
    guard = new_guard(0.0, lambda: clock[0])
    asked = []
    while clock[0] < 30.0:
        clock[0] += 0.01
        for wait in guard.wait(new_call(clock[0])):
            clock[0] = wait.end
        if guard._asked_at not in asked:
            asked.append(guard._asked_at)
    gaps = [round(later - earlier, 1) for earlier, later in zip(asked, asked[1:], strict=False)]
    assert gaps[:3] == pytest.approx([ASK_AGAIN_S, 2 * ASK_AGAIN_S, 4 * ASK_AGAIN_S], abs=0.5)
    guard.replica._confirmed_at = clock[0]
    assert list(guard.wait(new_call(clock[0]))) == []
    clock[0] += OLD_S
    assert guard.must_wait(new_call(clock[0]), clock[0])


@pytest.mark.parametrize("leader_answers", [True, False])
def test_a_confirmation_is_asked_of_several_and_of_the_leader_that_they_name(leader_answers):
    replica = Replica(ME, 7, "proxy", EU, lambda built: None)
    replica.group, replica.leader, replica.state = GROUP, LEADER, object()
    asked = []

    def ask(address, max_wait_s, limit_s):
        asked.append(address)
        assert max_wait_s == 0.0 and limit_s <= TIMEOUT_S
        if address == LEADER:
            return None
        if address == OTHER:
            return ReplicationResponse(NEW_LEADER)
        return ReplicationResponse(NEW_LEADER, GROUP) if leader_answers else None

    def handle(address, response):
        replica._confirmed_at = 1e9

    confirmation = Confirmation(replica, ask, handle)
    assert confirmation.ask([OTHER])
    confirmation._job.join()
    assert set(asked) == {LEADER, OTHER, NEW_LEADER}
    assert (replica.confirmed_at > 0) is leader_answers


def test_without_a_state_there_is_nothing_to_confirm():
    replica = Replica(ME, 7, "proxy", EU, lambda built: None)
    assert not Confirmation(replica, lambda *_: None, lambda *_: None).ask([OTHER])
