"""Limits on rates: retry budgets, and slow start of cold upstreams."""

import random

import pytest
from result import Err

from mallowvalve.proxy.retry_budget import SlidingRetryBudget
from tests.host_bench import NOT_RUN, HostBench, HostScenario, make_request, make_response

READ, TRY = make_request("/r/1"), make_request("/o/1", "POST", length=0)


def test_retries_stay_within_the_budget_in_any_window():
    rng, now, budget = random.Random(3), 0.0, SlidingRetryBudget(0.7 * 0.2, 10.0, 2.0)
    first_attempts, retries = [], []
    for _ in range(20000):
        now += rng.expovariate(3.0 if 200 < now < 400 or now > 900 else 60.0)
        first_attempts.append(now)
        budget.record_first(now)
        if budget.take_retry(now):
            retries.append(now)
    for i in range(0, len(retries), 7):
        start = retries[i]
        sent = sum(start <= x < start + 10 for x in retries)
        most = max(sum(start - shift <= x < start + 10 - shift for x in first_attempts) for shift in (0, 5, 10))
        assert sent <= 0.2 * most + 4.0


def test_a_spent_retry_budget_ends_a_request_at_once():
    case = HostScenario([make_response(503, **NOT_RUN)] * 99, upstreams=20, budget={"ratio": 0.0, "slack": 4.0})
    responses = [case.run(TRY) for _ in range(6)]
    assert len(case.exchanges()) == 6 + 2 and all(response.status == 503 for response in responses)
    case = HostScenario([Err("broken: x")] * 99, upstreams=9, budget={"ratio": 0.0, "slack": 0.0})
    assert case.run(READ).status == 502 and len(case.exchanges()) == 1


@pytest.mark.parametrize("proxies,rate", [(1, 11.0), (9, 11.0), (40, 11.0), (9, 2.5), (3, 1.0)])
def test_a_cold_upstream_gets_at_most_its_rate_in_any_second(proxies, rate):
    now = 0.0
    benches = [HostBench(lambda: now, proxies) for _ in range(proxies)]
    for i, bench in enumerate(benches):
        bench.replica.addr = type(bench.replica.addr)("10.0.0.1", 1 + i)
        bench.hosts.rng.seed(i)
        bench.service("s", cold_s=6.0, cold_per_s=rate)
        bench.upstream("u0", cold=6000, slots=1000)
    rng, sent = random.Random(5), []
    while now < 6.0:
        now += rng.expovariate(400.0)
        bench = rng.choice(benches)
        state, _ = bench.hosts.pick("s", [], set(), now)
        if state is not None:
            bench.hosts.on_send(state, now)
            sent.append(now)
    sent = [x for x in sent if x < 6.0]
    worst = max(sum(start <= x < start + 1.0 for x in sent) for start in sent)
    assert worst <= rate * 1.5 + 5.0 and len(sent) <= 0.9 * rate * 6 + proxies
    assert len(sent) >= 0.5 * rate * 6


def test_a_cold_upstream_warms_up_and_may_become_cold_again():
    case = HostScenario(upstreams=0)
    case.bench.service("s", cold_s=3.0, cold_per_s=1.0)
    case.bench.upstream("u0", cold=2000, slots=100)
    answered = [case.run(READ).status for _ in range(10)].count(200)
    assert answered <= 1
    case.now = 2.1
    assert [case.run(READ).status for _ in range(10)].count(200) == 10
    case.bench.state.clock = 5000
    case.bench.upstream("u0", cold=9000, slots=100)
    assert [case.run(READ).status for _ in range(10)].count(200) <= 1


def test_upstreams_of_a_zone_count_as_cold_after_its_evacuation_ends():
    case = HostScenario(upstreams=1)
    case.bench.service("s", cold_s=3.0, cold_per_s=1.0)
    case.bench.hosts.refresh(0.0)
    case.bench.evacuate("eu-a")
    case.bench.hosts.refresh(0.0)
    case.bench.evacuate()
    assert [case.run(READ).status for _ in range(10)].count(200) <= 1
