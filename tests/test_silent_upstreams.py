"""Upstreams, zones and connections that are silent, and proxies and upstreams that have just started."""

from result import Err

from mallowvalve.proxy.steps import AwaitResponse, Exchange, OpenConnection, WaitForCapacity
from tests.host_bench import FAR, HERE, NEXT, HostScenario, make_request, make_response

READ, TRY = make_request("/r/1"), make_request("/o/1", "POST", length=0)


def start(case, request):
    steps = case.bench.forwarder.handle(request)
    return steps, steps.send(None)


def run_until(case, steps, step, kind):
    while not isinstance(step, kind):
        step = steps.send(case.perform(step))
    case.steps.append(step)
    return step


def run_recording_exchange(case, request):
    steps, step = start(case, request)
    step = run_until(case, steps, step, Exchange)
    try:
        while True:
            step = steps.send(case.perform(step))
    except StopIteration:
        return


def test_a_connection_that_opens_slowly_diverts_other_requests():
    case = HostScenario()
    steps, step = start(case, READ)
    step = run_until(case, steps, step, OpenConnection)
    slow_instance = step.heartbeat.instance
    case.now += 0.2
    for _ in range(10):
        run_recording_exchange(case, READ)
    assert len(case.targets()) == 10 and slow_instance not in case.targets()
    steps.close()
    for _ in range(10):
        case.run(READ)
    assert slow_instance in case.targets()


def test_a_half_open_breaker_admits_one_request_at_a_time():
    case = HostScenario([Err("broken: reset")])
    case.run(TRY)
    failed = case.targets()[0]
    case.now += 1.0
    case.bench.hosts.refresh(case.now)
    running = []
    for _ in range(8):
        steps, step = start(case, READ)
        step = run_until(case, steps, step, Exchange)
        running.append((steps, step.connection.heartbeat.instance))
    assert sum(name == failed for _, name in running) <= 1
    for steps, _ in running:
        steps.close()
    case.now += 1.0
    case.bench.hosts.on_response(case.bench.hosts.upstreams[failed], make_response(), 0.1, case.now)
    assert not case.bench.hosts.upstreams[failed].half_open


def test_after_a_timeout_a_new_connection_must_open_before_a_send():
    case = HostScenario(upstreams=1)
    case.run(READ)
    case.results = [Err("limit")]
    case.actions["exchange"] = lambda case: setattr(case, "now", case.now + 1.0)
    case.run(TRY)
    assert case.bench.hosts.idle_connections.take(case.bench.hosts.upstreams["u0"].upstream, case.now) is None
    case.now, case.open_results, sent = case.now + 1.0, [Err("unreachable")] * 9, case.count(Exchange)
    assert case.run(TRY).status == 503 and case.count(Exchange) == sent


def test_silence_is_detected_early_at_low_latency():
    case = HostScenario()
    steps, step = start(case, TRY)
    silent = run_until(case, steps, step, Exchange).connection.heartbeat.instance
    case.now += 0.3
    for _ in range(10):
        run_recording_exchange(case, READ)
    assert len(case.targets()) == 11 and silent not in case.targets()[1:]
    steps.close()


def time_out(case):
    """Passes the time until the exchange's deadline, without a response to any request."""
    case.now = case.steps[-1].end


def test_a_read_is_not_hedged_without_retry_budget():
    case = HostScenario([Err("limit")])
    case.actions["exchange"] = time_out
    budget = case.bench.hosts.budget("s")
    while budget.take_retry(case.now):
        pass
    assert case.run(READ).status == 200 and len(case.exchanges()) == 1 and case.count(AwaitResponse) == 1


def test_a_hedge_takes_one_retry_from_the_budget():
    case = HostScenario([Err("limit")])
    case.actions["exchange"] = time_out
    budget = case.bench.hosts.budget("s")
    assert case.run(READ).status == 200 and len(case.exchanges()) == 2 and case.count(AwaitResponse) == 0
    assert len(budget._retries) == 1


def test_a_request_before_the_first_settings_waits_for_them():
    case = HostScenario()
    case.bench.state.items.revision = 0
    steps, step = start(case, READ)
    assert isinstance(step, WaitForCapacity)
    case.now = step.end
    case.bench.state.items.revision = 1
    assert isinstance(run_until(case, steps, steps.send(False), Exchange), Exchange)
    steps.close()


def test_the_wait_for_settings_takes_less_than_half_of_the_limit():
    case = HostScenario()
    case.bench.replica.state = None
    response = case.run(make_request("/r/1", mallow_limit="1000"))
    assert (response.status, response.outcome) == (503, "not-run") and 0.4 < case.now < 0.5


def test_a_request_waits_briefly_for_an_eligible_upstream():
    case = HostScenario(upstreams=0)
    steps, step = start(case, READ)
    assert isinstance(step, WaitForCapacity)
    case.bench.upstream("far", at=FAR)
    assert run_until(case, steps, steps.send(False), Exchange).connection.heartbeat.instance == "far"
    steps.close()
    case = HostScenario(upstreams=0)
    assert case.run(READ).status == 503 and case.now <= 0.1


def test_a_silent_zone_is_avoided_for_a_while():
    case = HostScenario(upstreams=6)
    for i in range(2):
        case.bench.upstream(f"next{i}", at=NEXT, port=300 + i)
    running = []
    for _ in range(3):
        steps, step = start(case, TRY)
        assert run_until(case, steps, step, Exchange).connection.heartbeat.locality == HERE
        running.append(steps)
    case.now += 0.2
    for _ in range(4):
        run_recording_exchange(case, READ)
    assert {step.connection.heartbeat.locality for step in case.exchanges()[-4:]} == {NEXT}
    case.now += 2.0
    run_recording_exchange(case, READ)
    assert case.exchanges()[-1].connection.heartbeat.locality == HERE
    for steps in running:
        steps.close()


def test_a_zone_that_answers_a_request_is_not_avoided():
    case = HostScenario(upstreams=6)
    case.bench.upstream("next", at=NEXT, port=300)
    running = []
    for _ in range(3):
        steps, step = start(case, TRY)
        run_until(case, steps, step, Exchange)
        running.append(steps)
    case.now += 0.1
    run_recording_exchange(case, READ)
    case.now += 0.1
    run_recording_exchange(case, READ)
    assert {step.connection.heartbeat.locality for step in case.exchanges()} == {HERE}
    for steps in running:
        steps.close()
