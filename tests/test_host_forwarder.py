"""Requests on host routes: retries, revalidation, capacity, hedging and the choice of upstreams."""

from collections import Counter

import pytest
from result import Err

from mallowvalve.proxy.steps import AwaitResponse, ClientCheck, Exchange, OpenConnection, WaitForCapacity
from tests.host_bench import FAR, NEXT, NOT_RUN, HostScenario, make_request, make_response, split_part

READ, TRY = make_request("/r/1"), make_request("/o/1", "POST", length=0)


def test_a_request_is_forwarded_unchanged_with_the_remaining_limit_and_the_expected_instance():
    case = HostScenario()
    response = case.run(
        make_request(
            "/r/a%2f..//b?x=%20", "GET", mallow_limit="800", accept="*/*", connection="close, x-own", x_own="1"
        )
    )
    text = case.exchanges()[0].request.decode()
    head = text.split("\r\n")
    assert response.status == 200 and head[0] == "GET /r/a%2f..//b?x=%20 HTTP/1.1"
    assert "host: h.example:80" in head and "mallow-ask: a1" in head and "accept: */*" in head
    assert f"Mallow-Expect: {case.targets()[0]}" in head and "Mallow-Limit: 800" in head
    assert "x-own" not in text and "connection" not in text.lower() and case.exchanges()[0].request_id == "a1"


@pytest.mark.parametrize(
    "rejected,status",
    [
        (make_request("/none/1"), 404),
        (make_request("/r"), 404),
        (make_request("*"), 400),
        (make_request(mallow_limit="x"), 400),
        (make_request(mallow_limit="-1"), 400),
    ],
)
def test_requests_without_a_route_are_rejected(rejected, status):
    case = HostScenario()
    assert case.run(rejected).status == status and not case.steps


def test_without_settings_the_rejection_promises_that_nothing_ran():
    case = HostScenario()
    case.bench.state.items.revision = 0
    response = case.run(READ)
    assert (response.status, response.outcome) == (503, "not-run") and response.retry_after
    case.bench.replica.state = None
    assert case.run(TRY).status == 503


def test_a_missing_route_is_a_503_while_newer_settings_may_exist():
    case = HostScenario()
    case.now = 60.0
    assert case.run(make_request("/none/1")).status == 503 and case.run(READ).status == 200


@pytest.mark.parametrize("why", ["broken: reset", "limit", "garbage: x", "broken: ended early"])
def test_a_try_is_never_sent_again_without_proof_that_it_did_not_run(why):
    case = HostScenario([Err(why)])
    response = case.run(TRY)
    assert (
        len(case.exchanges()) == 1
        and response.status in (502, 504)
        and response.outcome == "unknown"
        and response.retry_after is None
    )


@pytest.mark.parametrize(
    "first", [make_response(503, **NOT_RUN), make_response(421), make_response(429, **NOT_RUN), Err("unsent: gone")]
)
def test_a_try_is_sent_to_another_upstream_on_proof_that_it_did_not_run(first):
    case = HostScenario([first])
    response = case.run(TRY)
    assert response.status == 200 and len(set(case.targets())) == 2


@pytest.mark.parametrize("first", [make_response(503, **NOT_RUN), make_response(421), Err("unsent: gone")])
def test_proof_from_every_upstream_gives_not_run_without_delay(first):
    case = HostScenario([first, first, first])
    response = case.run(TRY)
    assert (
        (response.status, response.outcome, len(case.exchanges())) == (503, "not-run", 2)
        and 0 < response.retry_after <= 0.3
        and case.now < 0.1
    )


@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_status_without_the_not_run_header_is_no_proof(status):
    response = HostScenario([make_response(status)]).run(TRY)
    assert (response.status, response.outcome) == (502, "unknown")
    case = HostScenario([make_response(503, **NOT_RUN), Err("broken: x")])
    assert case.run(TRY).status == 502


def test_a_try_that_may_have_run_and_timed_out_is_a_504():
    case = HostScenario([Err("limit")])
    case.actions["exchange"] = lambda case: setattr(case, "now", 1.0)
    assert case.run(TRY).status == 504


def test_an_upstreams_server_error_is_returned_unchanged():
    response = HostScenario([make_response(500, body=b"no", x_own="1")]).run(TRY)
    assert (response.status, response.answer.body) == (500, b"no")


@pytest.mark.parametrize(
    "first",
    [
        Err("broken: reset"),
        Err("garbage: x"),
        make_response(500),
        make_response(503),
        Err("limit"),
        make_response(200, x_seal=""),
    ],
)
def test_a_read_is_sent_to_another_upstream(first):
    if not isinstance(first, Err) and first.status == 200:
        del first.header_map["x-seal"]
    case = HostScenario([first])
    response = case.run(READ)
    assert response.status == 200 and len(set(case.targets())) == 2 and response.answer.header_map["x-seal"]
    case = HostScenario([first, first, first])
    case.late_results = [first]
    response = case.run(READ)
    assert len(case.exchanges()) == 2 and response.status in (500, 502)


def test_a_success_without_a_seal_is_no_success_for_a_try():
    unsealed = make_response(200)
    unsealed.header_map.clear()
    response = HostScenario([unsealed]).run(TRY)
    assert (response.status, response.outcome) == (502, "unknown")


def test_a_failed_connect_is_not_a_send():
    case = HostScenario()
    case.open_results = [Err("unreachable")]
    assert case.run(TRY).status == 200 and len(case.exchanges()) == 1
    case = HostScenario()
    case.open_results = [Err("unreachable")] * 9
    response = case.run(TRY)
    assert (response.status, response.outcome, len(case.exchanges())) == (503, "not-run", 0)
    assert case.count(OpenConnection) == 3


def test_a_broken_connection_opens_the_circuit_breaker():
    case = HostScenario([Err("broken: reset")])
    case.run(TRY)
    first = case.targets()[0]
    for _ in range(20):
        case.run(TRY)
    assert first not in case.targets()[1:]
    case.now += 1.0
    for _ in range(20):
        case.run(TRY)
    assert first in case.targets()[1:]


CHANGES = {
    "route dropped": (lambda case: (case.bench.drop("o"), case.bench.drop("r")), 404),
    "route to another service": (
        lambda case: (
            case.bench.service("other"),
            case.bench.route("o", "/o/", "try", service="other"),
            case.bench.route("r", "/r/", "read", service="other"),
        ),
        503,
    ),
    "homes elsewhere": (
        lambda case: (
            case.bench.route("o", "/o/", "try", service="s", homes=["us"]),
            case.bench.route("r", "/r/", "read", service="s", homes=["us"]),
        ),
        503,
    ),
    "zone evacuated": (lambda case: case.bench.evacuate("eu-a"), 503),
    "upstreams leaving": (
        lambda case: [case.bench.upstream(f"u{i}", port=100 + i, state="leaving") for i in range(2)],
        503,
    ),
    "upstreams gone": (
        lambda case: (case.bench.state.registry.rows.clear(), setattr(case.bench.state.registry, "revision", 99)),
        503,
    ),
    "address taken by another service": (
        lambda case: [case.bench.upstream(f"u{i}", "other", port=100 + i) for i in range(2)],
        503,
    ),
    "limit over": (lambda case: setattr(case, "now", 1.0), 503),
    "limit shortened": (
        lambda case: (
            setattr(case, "now", 0.3),
            case.bench.route("o", "/o/", "try", service="s", limit_ms=200.0),
            case.bench.route("r", "/r/", "read", service="s", limit_ms=200.0),
        ),
        503,
    ),
}


@pytest.mark.parametrize("sent", [READ, TRY], ids=["read", "try"])
@pytest.mark.parametrize("change", CHANGES)
def test_a_request_is_revalidated_after_its_connection_opens(change, sent):
    action, status = CHANGES[change]
    case = HostScenario()
    case.actions["openconnection"] = action
    response = case.run(sent)
    assert not case.exchanges() and (response.status, response.outcome) == (status, "not-run")


@pytest.mark.parametrize("change", [c for c in CHANGES if c != "limit over"])
def test_a_request_is_revalidated_before_its_second_send(change):
    case = HostScenario([make_response(503, **NOT_RUN)])
    case.actions["exchange"] = CHANGES[change][0]
    response = case.run(TRY)
    assert len(case.exchanges()) == 1 and response.outcome == "not-run"


def test_a_read_that_may_have_run_is_a_502_when_its_route_is_dropped():
    case = HostScenario([Err("broken: x")])
    case.actions["exchange"] = CHANGES["route dropped"][0]
    assert case.run(READ).status == 502


def test_homes_and_evacuated_zones_limit_the_choice():
    case = HostScenario()
    assert case.run(make_request("/h/1", "POST")).status == 503 and not case.exchanges()
    case.bench.upstream("far", at=FAR)
    assert case.run(make_request("/h/1", "POST")).status == 200 and case.targets() == ["far"]
    case.bench.evacuate("eu-a")
    assert case.run(READ).status == 200 and case.targets()[-1] == "far"


def test_a_service_at_capacity_rejects_within_a_quarter_of_the_aim():
    case = HostScenario(upstreams=1)
    case.bench.hosts.refresh(0.0)
    case.bench.hosts.upstreams["u0"].in_flight = 8
    steps = case.bench.forwarder.handle(READ)
    try:
        while True:
            step = steps.send(None)
            assert isinstance(step, WaitForCapacity | ClientCheck)
            if isinstance(step, WaitForCapacity):
                case.now = step.end
    except StopIteration as end:
        response = end.value
    assert (
        (response.status, response.outcome) == (503, "not-run")
        and 0.02 < case.now <= 0.1
        and 0.1 <= response.retry_after <= 0.3
    )
    assert case.bench.hosts.waiting == {}


def test_a_queued_request_takes_a_freed_slot():
    case = HostScenario(upstreams=1)
    case.bench.hosts.refresh(0.0)
    case.bench.hosts.upstreams["u0"].in_flight = 8
    steps = case.bench.forwarder.handle(READ)
    assert isinstance(steps.send(None), WaitForCapacity)
    case.bench.hosts.upstreams["u0"].in_flight = 2
    assert isinstance(steps.send(True), ClientCheck)
    assert isinstance(steps.send(None), OpenConnection)
    assert isinstance(
        steps.send(case.perform(OpenConnection(case.bench.hosts.upstreams["u0"].upstream, "", 1.0))), ClientCheck
    )
    assert isinstance(steps.send(None), Exchange)
    steps.close()
    assert case.bench.hosts.upstreams["u0"].in_flight == 2


def test_reported_usage_counts_the_requests_of_other_proxies():
    case = HostScenario([make_response(200, mallow_usage="12,9,6")], upstreams=1)
    assert case.run(READ).status == 200
    assert case.run(READ).status == 503 and len(case.exchanges()) == 1
    case.now += 0.4
    assert case.run(READ).status == 200


def test_an_upstream_that_rejects_for_capacity_is_avoided_for_a_while():
    case = HostScenario([make_response(503, **NOT_RUN)])
    case.run(TRY)
    first = case.targets()[0]
    for _ in range(10):
        case.run(TRY)
    assert first not in case.targets()[1:]


def pass_half_a_second(case):
    case.now += 0.5


def test_a_read_is_hedged_when_its_upstream_is_silent_to_all_requests():
    case = HostScenario([Err("limit")])
    case.actions["exchange"] = pass_half_a_second
    assert (
        case.run(READ).status == 200
        and len(set(case.targets())) == 2
        and case.exchanges()[0].end == pytest.approx(0.35)
    )


def test_a_read_is_not_hedged_when_its_upstream_answers_other_requests():
    case = HostScenario([Err("limit")])

    def answer_others(case):
        pass_half_a_second(case)
        case.bench.hosts.upstreams[case.targets()[0]].silent_since = case.now

    case.actions["exchange"] = answer_others
    assert case.run(READ).status == 200 and len(case.exchanges()) == 1 and case.count(AwaitResponse) == 1
    case = HostScenario([Err("limit")], upstreams=1)
    case.actions["exchange"] = pass_half_a_second
    assert case.run(READ).status == 200 and len(case.exchanges()) == 1 and case.count(AwaitResponse) == 1
    case = HostScenario([Err("limit")])
    case.actions["exchange"] = pass_half_a_second
    assert case.run(TRY).status == 502 and case.count(AwaitResponse) == 0


def test_near_upstreams_are_preferred_until_they_are_loaded():
    case = HostScenario(upstreams=1)
    case.bench.upstream("next", at=NEXT, port=200)
    case.bench.upstream("far", at=FAR, port=300)
    for _ in range(20):
        case.run(READ)
    assert set(case.targets()) == {"u0"}
    case.bench.hosts.upstreams["u0"].in_flight = 6
    picked, _ = case.bench.hosts.pick("s", [], set(), case.now)
    assert picked.upstream.instance == "next"
    case.bench.hosts.upstreams["next"].in_flight = 6
    picked, _ = case.bench.hosts.pick("s", [], set(), case.now)
    assert picked.upstream.instance == "far"


def test_a_silent_upstream_is_avoided_while_a_response_is_due():
    case = HostScenario()
    case.bench.hosts.refresh(0.0)
    state = case.bench.hosts.upstreams["u0"]
    state.in_flight, state.silent_since = 1, 0.0
    case.now = 2.0
    assert {case.bench.hosts.pick("s", [], set(), case.now)[0].upstream.instance for _ in range(20)} == {"u1"}


def test_split_routes_follow_their_weights():
    case = HostScenario()
    for service in ("x", "y", "z"):
        case.bench.service(service)
        case.bench.upstream(f"u{service}", service, port=hash(service) % 1000)
    case.bench.route("r", "/r/", "read", split=[split_part("x", 80), split_part("y", 20), split_part("z", 0)])
    for _ in range(1000):
        case.run(READ)
    sent = Counter(case.targets())
    assert 740 < sent["ux"] < 860 and sent["uy"] == 1000 - sent["ux"]
    del case.bench.state.registry.rows["ux"]
    case.bench.state.registry.revision += 1
    assert case.run(READ).status == 200 and case.targets()[-1] == "uy"


def test_an_upstream_that_answers_421_is_avoided_for_a_while():
    case = HostScenario([make_response(421)])
    case.run(READ)
    first = case.targets()[0]
    for _ in range(10):
        case.run(READ)
    assert first not in case.targets()[1:]


def test_a_body_over_the_limit_is_a_413_and_closes_the_connection():
    case = HostScenario()
    steps = case.bench.forwarder.handle(make_request("/o/1", "POST", length=9))
    step = steps.send(None)
    assert step.max_bytes == 1 << 20
    with pytest.raises(StopIteration) as end:
        steps.send(Err((413, "body", "x")))
    assert end.value.value.status == 413 and end.value.value.close


def test_a_queued_request_passes_its_priority():
    case = HostScenario(upstreams=0)
    case.bench.route("u", "/u/", "read", service="s", priority=2)
    assert case.run(make_request("/u/1")).status == 503
    assert {step.priority for step in case.steps if isinstance(step, WaitForCapacity)} == {2}
