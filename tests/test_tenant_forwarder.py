"""Tenants' requests: revalidation, the ledger, retries, and clients that leave."""

import copy

import pytest
from result import Err, Ok

from mallowvalve.ledger.ledger import LedgerResult
from mallowvalve.proxy.steps import (
    CLIENT_LEFT,
    ClientCheck,
    ClientRequest,
    Exchange,
    OpenConnection,
    ProposeCommand,
    ProposeInBackground,
    ReadBody,
    Sleep,
    UpstreamResponse,
    WaitForCapacity,
)
from mallowvalve.types import Locality
from tests.tenant_bench import CONFIG, TenantBench

OK = UpstreamResponse(200, [("content-type", "a/b")], b"ok", 2, None, True)
ONCE = ClientRequest("POST", "/o", {"mallow-tenant": "t", "mallow-key": "k"}, "c", 0)
READ = ClientRequest("GET", "/r/1", {"mallow-tenant": "t"}, "c", None)
HOME = ClientRequest("GET", "/r/1", {"mallow-tenant": "home"}, "c", None)


class FakeTenantConnection:
    def __init__(self, heartbeat):
        self.heartbeat, self.since, self.closed = heartbeat, 0.0, False

    def close(self):
        self.closed = True

    def stale(self):
        return False


class TenantScenario:
    """Performs the steps of a request; `results` has fixed results by the lower-case class name of a step.

    `actions` has functions by that name; each runs once, before the result of such a step, to change the state while
    the step is in progress.
    """

    def __init__(self, **actions):
        self.now = 0.0
        self.bench = TenantBench(lambda: self.now)
        self.bench.upstream(0)
        self.actions, self.steps, self.results = actions, [], {}

    def run(self, request):
        steps, result = self.bench.forwarder.handle(request), None
        try:
            while True:
                step = steps.send(result)
                self.steps.append(step)
                name = type(step).__name__.lower()
                action = self.actions.pop(name, None)
                if action is not None:
                    action(self)
                result = self.perform(step, name)
        except StopIteration as end:
            assert self.bench.pool.chooser.in_flight == {} and self.bench.pool.waiting == {}
            return end.value

    def perform(self, step, name):
        if name in self.results:
            return self.results[name]
        match step:
            case ReadBody():
                return Ok(b"")
            case ProposeCommand():
                return LedgerResult(
                    {"Claim": "granted", "Release": "released", "Done": "done"}[type(step.command).__name__]
                )
            case OpenConnection():
                return Ok(FakeTenantConnection(step.heartbeat))
            case Exchange():
                return Ok(OK)
            case WaitForCapacity():
                return True

    def count(self, kind):
        return sum(isinstance(step, kind) for step in self.steps)


def edit(change):
    """Returns an action that applies a changed configuration."""

    def action(case):
        config = copy.deepcopy(CONFIG)
        change(config)
        case.bench.apply(config)

    return action


def pass_time(seconds):
    def action(case):
        case.now += seconds

    return action


def evacuate(case):
    case.bench.replica.state.settings.evacuated = {"eu-a": 1}


CHANGES = {
    "settings out of date": pass_time(2.1),
    "proxy restarted": lambda case: case.bench.replica.state.settings.roster.clear(),
    "tenant removed": edit(lambda config: config["cells"]["c"].update(tenants={"x": {}})),
    "route removed": edit(lambda config: config["routes"].clear()),
    "route to another service": edit(
        lambda config: [route.update(service="other") for route in config["routes"].values()]
    ),
    "another kind": edit(
        lambda config: [
            route.update(kind={"read": "once", "once": "read"}[route["kind"]]) for route in config["routes"].values()
        ]
    ),
    "homes elsewhere": edit(
        lambda config: config["cells"]["c"].update(tenants={"t": {"homes": ["us"]}, "home": {"homes": ["us"]}})
    ),
    "zone evacuated": evacuate,
    "upstream leaving": lambda case: case.bench.upstream(0, state="leaving", sequence=2),
    "upstream restarted": lambda case: case.bench.upstream(0, incarnation=2, port=101, state="leaving"),
    "configuration that does not compile": edit(lambda config: config["routes"]["r"].update(match="??")),
    "limit over": pass_time(6.0),
}


@pytest.mark.parametrize("sent", [READ, ONCE, HOME], ids=["read", "once", "home"])
@pytest.mark.parametrize("step", ["readbody", "openconnection", "proposecommand"])
@pytest.mark.parametrize("change", CHANGES)
def test_a_request_is_revalidated_before_it_is_sent(change, step, sent):
    if step == "proposecommand" and sent is not ONCE:
        step = "openconnection"
    case = TenantScenario(**{step: CHANGES[change]})
    response = case.run(sent)
    assert case.count(Exchange) == 0 and response.status in (404, 503, 504)
    assert response.outcome == "not-run" if sent is READ else response.outcome in ("not-run", "undecided")


def test_a_queued_request_is_revalidated_when_capacity_is_free():
    case = TenantScenario(waitforcapacity=CHANGES["zone evacuated"])
    heartbeat = case.bench.board.rows["s/u0"].heartbeat
    for _ in range(16):
        case.bench.pool.chooser.enter(heartbeat.address)
    steps = case.bench.forwarder.handle(READ)
    steps.send(None)
    assert isinstance(steps.send(Ok(b"")), WaitForCapacity) and case.bench.pool.waiting == {"s": 1}
    for _ in range(16):
        case.bench.pool.chooser.leave(heartbeat.address)
    evacuate(case)
    with pytest.raises(StopIteration) as end:
        steps.send(True)
    assert end.value.value.status == 503 and case.bench.pool.waiting == {}


def test_a_read_is_revalidated_before_its_retry_on_another_upstream():
    case = TenantScenario()
    case.bench.upstream(1, port=101)
    case.bench.pool.budget("s")._available = 1.0
    case.results["exchange"] = Err("garbage: x")
    response = case.run(READ)
    assert (case.count(Exchange), response.status, response.outcome) == (2, 502, "unknown")
    case = TenantScenario(exchange=evacuate)
    case.bench.upstream(1, port=101)
    case.bench.pool.budget("s")._available = 1.0
    case.results["exchange"] = Err("garbage: x")
    response = case.run(READ)
    assert (case.count(Exchange), response.status, response.outcome) == (1, 503, "unknown")


def test_a_keyed_request_gets_not_run_only_after_its_release_is_committed():
    case = TenantScenario(openconnection=pass_time(6.0))
    assert case.run(ONCE).outcome == "not-run" and case.count(ProposeInBackground) == 0
    case = TenantScenario(openconnection=pass_time(6.0))
    case.results["proposecommand"] = LedgerResult("granted")
    response = case.run(ONCE)
    assert response.outcome == "undecided" and case.count(ProposeInBackground) == 1
    assert case.bench.forwarder.rejections[-1].outcome == "undecided"


def test_an_unconfirmed_claim_sends_nothing_and_is_released():
    case = TenantScenario()
    case.results["proposecommand"] = LedgerResult("undecided")
    response = case.run(ONCE)
    assert (response.outcome, response.status, case.count(Exchange), case.count(ProposeInBackground)) == (
        "undecided",
        503,
        0,
        1,
    )


def test_a_lost_response_is_unknown_and_forfeits_the_key():
    case = TenantScenario()
    case.results["exchange"] = Err("limit")
    response = case.run(ONCE)
    assert (response.outcome, response.retry_after, case.count(Exchange), case.count(ProposeInBackground)) == (
        "unknown",
        None,
        1,
        1,
    )


@pytest.mark.parametrize(
    "headers,target,length,body,status",
    [
        ({"mallow-tenant": "t", "mallow-key": "k"}, "/nowhere", 0, Ok(b""), 404),
        ({"mallow-tenant": "none", "mallow-key": "k"}, "/o", 0, Ok(b""), 404),
        ({"mallow-tenant": "t", "mallow-key": "k"}, "/o", 0, Err((408, "body", "late")), 408),
        ({"mallow-tenant": "t", "mallow-key": "k"}, "/o", 5, Ok(b"four"), 400),
        ({"mallow-tenant": "t", "mallow-key": "k" * 201}, "/o", 0, Ok(b""), 400),
        ({"mallow-tenant": "t", "mallow-key": "k", "mallow-limit": "9" * 5000}, "/o", 0, Ok(b""), 400),
        ({"mallow-tenant": "t", "mallow-key": "k", "content-type": "application/json"}, "/o", 1, Ok(b"{"), 400),
    ],
)
def test_a_keyed_request_rejected_before_its_claim_is_undecided(headers, target, length, body, status):
    case = TenantScenario()
    case.results["readbody"] = body
    response = case.run(ClientRequest("POST", target, headers, "c", length))
    assert (response.status, response.outcome) == (status, "undecided") and case.count(ProposeCommand) == 0


def test_a_waiting_retry_gets_the_response_of_the_first_attempt():
    from mallowvalve.ledger.ledger import Claim, Done
    from mallowvalve.proxy.tenant_request import request_digest

    case = TenantScenario()
    ledger = case.bench.replica.state.ledger
    ledger.apply(Claim("t\0k", request_digest("POST", "/o", b""), "other#1", "n0"), 0)
    case.results["proposecommand"] = LedgerResult("open")
    case.actions["sleep"] = lambda case: ledger.apply(Done("t\0k", "n0", 201, "a/b", b"first"), 0)
    response = case.run(ONCE)
    assert (response.status, response.answer.body, response.replayed, case.count(Exchange), case.count(Sleep)) == (
        201,
        b"first",
        True,
        0,
        1,
    )


def test_homes_limit_the_choice_of_upstreams():
    case = TenantScenario()
    case.bench.board.rows.clear()
    case.bench.upstream(0, at=Locality("us", "us-a"))
    assert case.run(HOME).status == 503 and case.count(OpenConnection) == 0
    assert case.run(READ).status == 200


def test_nothing_is_sent_for_a_client_that_left_before_the_send():
    case = TenantScenario()
    case.results = {"clientcheck": CLIENT_LEFT}
    response = case.run(READ)
    assert case.count(Exchange) == 0 and (response.status, response.outcome, response.close) == (503, "not-run", True)


def test_a_read_stops_when_its_client_leaves_and_a_keyed_request_continues():
    case = TenantScenario()
    case.results = {"exchange": CLIENT_LEFT}
    response = case.run(READ)
    assert (response.status, response.outcome, response.close) == (502, "unknown", True) and case.count(Exchange) == 1
    case = TenantScenario()
    assert case.run(ONCE).status == 200 and case.count(ClientCheck) == 0
    assert not any(step.stop_if_client_leaves for step in case.steps if isinstance(step, Exchange))
