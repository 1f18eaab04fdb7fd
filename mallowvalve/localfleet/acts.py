"""Acts of a trial: failures and operations that a fleet undergoes under load. Each act returns its findings."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from functools import partial

from mallowvalve.localfleet.call import call, is_ok
from mallowvalve.localfleet.cost import RequestCost
from mallowvalve.localfleet.fleet import LocalFleet, wait_until
from mallowvalve.localfleet.judge import repeat_share, runs_after_evacuation, runs_after_leaving


def rolling(fleet: LocalFleet) -> list[str]:
    """Stops every process gracefully and starts it again, one after the other."""
    findings = []
    for process in fleet.with_role("control") + fleet.with_role("directory") + fleet.with_role("proxy"):
        if fleet.stop(process.name, fleet.stop_grace_s + 3) != 0:
            findings.append(f"{process.name} did not stop politely")
        fleet.start(process.name)
        if not wait_until(partial(is_ok, process.web_port, "/-/ready"), 20):
            findings.append(f"{process.name} not ready again")
    return findings


def upstream_crashes(fleet: LocalFleet) -> list[str]:
    """Kills some upstreams, stops some others, and restarts all of them."""
    rng = random.Random(5)
    for process in rng.sample(fleet.with_role("upstream"), min(6, len(fleet.with_role("upstream")) // 2)):
        fleet.kill(process.name)
        time.sleep(0.5)
        fleet.start(process.name)
    for process in rng.sample(fleet.with_role("upstream"), min(3, len(fleet.with_role("upstream")) // 2)):
        fleet.stop(process.name, 10)
        fleet.start(process.name)
    return []


def leaving(fleet: LocalFleet) -> list[str]:
    """Stops an upstream, which announces that it leaves; no request may reach it afterwards."""
    process = random.Random(6).choice(fleet.with_role("upstream"))
    left_at = time.time()
    fleet.stop(process.name, 12)
    time.sleep(4)
    return runs_after_leaving(process.name, left_at, fleet.read_journal("ran.jsonl"))


def kills(fleet: LocalFleet) -> list[str]:
    """Kills processes of each role and restarts them after some seconds."""
    rng = random.Random(7)
    for role in ("proxy", "control", "directory", "proxy", "control"):
        process = rng.choice(fleet.with_role(role))
        fleet.kill(process.name)
        time.sleep(3)
        fleet.start(process.name)
        time.sleep(2)
    return []


def evacuation(fleet: LocalFleet) -> list[str]:
    """Evacuates a zone and gives it back."""
    zone, control = "eu-a", fleet.with_role("control")[0]
    status, data, _ = call(control.web_port, "POST", "/evacuations", {"zone": zone, "evacuated": True})
    started_at = time.time()
    if status != 200:
        return [f"evacuation not acknowledged: {data}"]
    time.sleep(9)
    ended_at = time.time()
    status, data, _ = call(control.web_port, "POST", "/evacuations", {"zone": zone, "evacuated": False})
    time.sleep(4)
    rows = fleet.read_journal("ran.jsonl")
    findings = runs_after_evacuation(zone, started_at, ended_at, rows)
    if not any(row["at"] > ended_at and row["locality"].endswith(zone) for row in rows):
        findings.append("no request came back to the zone")
    return findings


def zone_lost(fleet: LocalFleet) -> list[str]:
    """Kills every process of a zone and restarts them."""
    return _kill_matching(fleet, lambda process: process.locality == "us/us-a")


def region_lost(fleet: LocalFleet) -> list[str]:
    """Kills every process of a region and restarts them."""
    return _kill_matching(fleet, lambda process: process.locality.startswith("ap/"))


def _kill_matching(fleet: LocalFleet, matches: Callable) -> list[str]:
    """Kills the matching processes, checks that the rest of the fleet answers requests, and restarts them."""
    down = [process.name for process in fleet.processes.values() if process.locality and matches(process)]
    for name in down:
        fleet.kill(name)
    time.sleep(6)
    before = sum(row["ok"] for row in fleet.read_journal("asked.jsonl"))
    time.sleep(4)
    findings = [] if sum(row["ok"] for row in fleet.read_journal("asked.jsonl")) > before else ["service stopped"]
    for name in down:
        fleet.start(name)
    time.sleep(6)
    return findings


def wiped_core(fleet: LocalFleet) -> list[str]:
    """Kills all control processes at once, deletes their data folders and restarts them."""
    for process in fleet.with_role("control"):
        fleet.kill(process.name)
        fleet.delete_data(process.name)
    for process in fleet.with_role("control"):
        fleet.start(process.name)
    started_at = time.time()
    recovered = wait_until(
        lambda: any(
            call(process.web_port, "GET", "/config", timeout_s=3)[0] == 200 for process in fleet.with_role("control")
        ),
        30,
    )
    outage_s = time.time() - started_at
    return [] if recovered and outage_s < 15 else [f"control not back within 15 s: {outage_s:.1f}"]


def frozen(fleet: LocalFleet) -> list[str]:
    """Suspends processes for some seconds and resumes them."""
    for process in (fleet.with_role("proxy")[0], fleet.with_role("control")[0], fleet.with_role("proxy")[1]):
        fleet.freeze(process.name)
        time.sleep(4)
        fleet.resume(process.name)
        time.sleep(2)
    return []


def relentless(fleet: LocalFleet) -> list[str]:
    """Lets upstreams answer most requests with garbage while extra clients retry without delay and without end."""
    upstreams = [process for process in fleet.with_role("upstream")]
    for process in upstreams:
        call(process.web_port, "POST", "/-/faults", {"fault": "garbage", "share": 0.6})
    fleet.start_clients("hasty", seed=99, rate=fleet.shape.rate / 2, relentless=True)
    time.sleep(20)
    for process in upstreams:
        call(process.web_port, "POST", "/-/faults", {"fault": "", "share": 0})
    fleet.stop("hasty", 30)
    share, findings = repeat_share(fleet.read_journal("ran.jsonl"))
    print(f"repeats at most {share:.3f} of first tries over 10 s", flush=True)
    return findings


def faulty(fleet: LocalFleet) -> list[str]:
    """Injects lost, late, truncated and garbled answers in turn; the trial checks the clients' journal at its end."""
    for fault in ("lost", "half", "garbage", "late"):
        for process in fleet.with_role("upstream"):
            call(process.web_port, "POST", "/-/faults", {"fault": fault, "share": 0.2})
        time.sleep(5)
    for process in fleet.with_role("upstream"):
        call(process.web_port, "POST", "/-/faults", {"fault": "", "share": 0})
    return []


def handed_over(fleet: LocalFleet) -> list[str]:
    """Kills an upstream, gives its address to another service at once, and then restores the first upstream."""
    upstreams = fleet.with_role("upstream")
    process = upstreams[0]
    other = next(upstream for upstream in upstreams if upstream.args[3] != process.args[3])
    replacement = fleet.add_upstream(
        other.args[3], "stranger", process.locality, process.web_port, process.heartbeat_targets
    )
    fleet.kill(process.name)
    fleet.start(replacement.name)
    wait_until(lambda: call(replacement.web_port, "GET", "/health", timeout_s=1)[0] == 200, 5)
    time.sleep(12)
    fleet.stop(replacement.name, 12)
    fleet.start(process.name)
    time.sleep(3)
    replacement_rows = [row for row in fleet.read_journal("ran.jsonl") if row["instance"] == "stranger"]
    return [] if replacement_rows else ["the stranger was never used for its own service"]


def emptied(fleet: LocalFleet) -> list[str]:
    """Kills all upstreams of a service: requests must fail without waiting. Then restarts all of them, cold."""
    service = fleet.with_role("upstream")[0].args[3]
    upstreams = [process for process in fleet.with_role("upstream") if process.args[3] == service]
    tenant, method, path = next(share[:3] for share in fleet.shape.shares if not share[3])
    for process in upstreams:
        fleet.kill(process.name)
    time.sleep(1)
    durations_s, findings = [], []
    for number in range(40):
        started = time.time()
        headers = {"Mallow-Tenant": tenant, "Mallow-Limit": "4000"}
        status, _, response_headers = call(
            fleet.with_role("proxy")[number % 3].web_port, method, path.replace("{n}", "1"), None, headers
        )
        durations_s.append(time.time() - started)
        if (
            status not in (502, 503)
            or "mallow-outcome" not in response_headers
            or "retry-after" not in response_headers
        ):
            findings.append(f"got {status} {response_headers.get('mallow-outcome')} from an emptied pool")
        time.sleep(0.25)
    print(
        f"final answers from an emptied pool: median {sorted(durations_s)[20] * 1000:.0f} ms, "
        f"worst {max(durations_s) * 1000:.0f} ms of a limit of 4000 ms",
        flush=True,
    )
    if max(durations_s) > 2.0:
        findings.append(f"a final answer took {max(durations_s):.1f} s")
    for process in upstreams:
        fleet.start(process.name)
    started_at = time.time()
    recovered = wait_until(
        lambda: (
            call(
                fleet.with_role("proxy")[0].web_port, method, path.replace("{n}", "1"), None, {"Mallow-Tenant": tenant}
            )[0]
            == 200
        ),
        20,
    )
    print(f"served again {time.time() - started_at:.1f} s after the pool's restart", flush=True)
    time.sleep(5)
    return findings if recovered else [*findings, "the pool never came back"]


def cold(fleet: LocalFleet) -> list[str]:
    """Restarts one upstream and compares its first requests with the mean of its pool."""
    process = fleet.with_role("upstream")[0]
    fleet.kill(process.name)
    time.sleep(1)
    fleet.start(process.name)
    wait_until(lambda: call(process.web_port, "GET", "/health", timeout_s=1)[0] == 200, 5)
    started_at = time.time()
    time.sleep(14)
    rows = [
        row for row in fleet.read_journal("ran.jsonl") if row["at"] > started_at and row["service"] == process.args[3]
    ]
    peers = {upstream.name for upstream in fleet.with_role("upstream") if upstream.args[3] == process.args[3]}
    shares = []
    for begin_s, end_s in ((0, 2), (2, 5), (5, 9), (9, 14)):
        instances = [row["instance"] for row in rows if begin_s <= row["at"] - started_at < end_s]
        mean = len(instances) / max(1, len(peers))
        shares.append(round(instances.count(process.name) / mean, 2) if mean else 0.0)
    print(f"cold upstream's work over the mean of its pool, 0-2, 2-5, 5-9, 9-14 s: {shares}", flush=True)
    return [] if shares[0] <= 0.5 else [f"a cold upstream got {shares[0]} of the mean in its first 2 s"]


def steady(fleet: LocalFleet) -> list[str]:
    """Disturbs nothing and measures what a request costs each role."""
    cost = RequestCost(fleet)
    time.sleep(20)
    print("\n".join(cost.lines()), flush=True)
    return []


def ledger_paired(fleet: LocalFleet) -> list[str]:
    """Measures the same orders with and without the ledger in turns.

    They may run without it here because nothing fails during this act.
    """
    original = fleet.shape.config
    durations_s: dict[str, list[list[float]]] = {"with": [], "without": []}
    without_ledger = {
        **original,
        "routes": {name: {**route, "kind": "read"} for name, route in original["routes"].items()},
    }
    order_paths = {share[2] for share in fleet.shape.shares if share[3]}
    for number in range(6):
        name = "without" if number % 2 else "with"
        if not fleet.operators.apply_base(without_ledger if number % 2 else original, name):
            return ["a configuration was not acknowledged"]
        time.sleep(1)
        cost = RequestCost(fleet)
        time.sleep(8)
        took = [
            row["took"]
            for row in fleet.read_journal("asked.jsonl")
            if row["at"] > cost.started_at and row["path"] in order_paths and row["ok"]
        ]
        durations_s[name].append(sorted(took))
        print(f"{name} the ledger:", *cost.lines(), sep="\n", flush=True)
    fleet.operators.apply_base(original, "with")
    for name, runs in durations_s.items():
        percentiles = [f"{run[len(run) // 2] * 1000:.0f}/{run[int(len(run) * 0.95)] * 1000:.0f}" for run in runs if run]
        print(f"orders {name} the ledger, median/p95 ms: {', '.join(percentiles)}", flush=True)
    return []
