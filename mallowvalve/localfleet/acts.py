"""Acts of a trial: what may happen to a fleet under load; each returns what it found wrong."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from functools import partial

from mallowvalve.localfleet.call import call, is_ok
from mallowvalve.localfleet.cost import Cost
from mallowvalve.localfleet.fleet import LocalFleet, wait_until
from mallowvalve.localfleet.judge import after_evacuation, after_leaving, repeat_share


def rolling(f: LocalFleet) -> list[str]:
    """Every process is stopped politely and started again, one after the other."""
    out = []
    for p in f.with_role("control") + f.with_role("directory") + f.with_role("proxy"):
        if f.stop(p.name, f.polite + 3) != 0:
            out.append(f"{p.name} did not stop politely")
        f.start(p.name)
        if not wait_until(partial(is_ok, p.web_port, "/-/ready"), 20):
            out.append(f"{p.name} not ready again")
    return out


def upstream_crashes(f: LocalFleet) -> list[str]:
    """Some upstreams are killed, some stopped, and all come back."""
    rng = random.Random(5)
    for p in rng.sample(f.with_role("upstream"), min(6, len(f.with_role("upstream")) // 2)):
        f.kill(p.name)
        time.sleep(0.5)
        f.start(p.name)
    for p in rng.sample(f.with_role("upstream"), min(3, len(f.with_role("upstream")) // 2)):
        f.stop(p.name, 10)
        f.start(p.name)
    return []


def leaving(f: LocalFleet) -> list[str]:
    """An upstream says that it leaves and stops; nothing reaches it afterwards."""
    p = random.Random(6).choice(f.with_role("upstream"))
    left = time.time()
    f.stop(p.name, 12)
    time.sleep(4)
    return after_leaving(p.name, left, f.read_journal("ran.jsonl"))


def kills(f: LocalFleet) -> list[str]:
    """Processes of each role are killed and come back after some seconds."""
    rng = random.Random(7)
    for role in ("proxy", "control", "directory", "proxy", "control"):
        p = rng.choice(f.with_role(role))
        f.kill(p.name)
        time.sleep(3)
        f.start(p.name)
        time.sleep(2)
    return []


def evacuation(f: LocalFleet) -> list[str]:
    """A zone is evacuated and given back."""
    zone, control = "eu-a", f.with_role("control")[0]
    status, data, _ = call(control.web_port, "POST", "/evacuations", {"zone": zone, "evacuated": True})
    start = time.time()
    if status != 200:
        return [f"evacuation not acknowledged: {data}"]
    time.sleep(9)
    end = time.time()
    status, data, _ = call(control.web_port, "POST", "/evacuations", {"zone": zone, "evacuated": False})
    time.sleep(4)
    rows = f.read_journal("ran.jsonl")
    out = after_evacuation(zone, start, end, rows)
    if not any(r["at"] > end and r["locality"].endswith(zone) for r in rows):
        out.append("no request came back to the zone")
    return out


def zone_lost(f: LocalFleet) -> list[str]:
    """Every process of a zone is killed and comes back."""
    return _lose(f, lambda p: p.locality == "us/us-a")


def region_lost(f: LocalFleet) -> list[str]:
    """Every process of a region is killed and comes back."""
    return _lose(f, lambda p: p.locality.startswith("ap/"))


def _lose(f: LocalFleet, test: Callable) -> list[str]:
    down = [p.name for p in f.processes.values() if p.locality and test(p)]
    for n in down:
        f.kill(n)
    time.sleep(6)
    before = sum(r["ok"] for r in f.read_journal("asked.jsonl"))
    time.sleep(4)
    out = [] if sum(r["ok"] for r in f.read_journal("asked.jsonl")) > before else ["service stopped"]
    for n in down:
        f.start(n)
    time.sleep(6)
    return out


def wiped_core(f: LocalFleet) -> list[str]:
    """Every control process loses its folder at once."""
    for p in f.with_role("control"):
        f.kill(p.name)
        f.delete_data(p.name)
    for p in f.with_role("control"):
        f.start(p.name)
    start = time.time()
    back = wait_until(
        lambda: any(call(p.web_port, "GET", "/config", timeout_s=3)[0] == 200 for p in f.with_role("control")), 30
    )
    gap = time.time() - start
    return [] if back and gap < 15 else [f"control not back within 15 s: {gap:.1f}"]


def frozen(f: LocalFleet) -> list[str]:
    """Processes stand still for some seconds and go on."""
    for p in (f.with_role("proxy")[0], f.with_role("control")[0], f.with_role("proxy")[1]):
        f.freeze(p.name)
        time.sleep(4)
        f.thaw(p.name)
        time.sleep(2)
    return []


def relentless(f: LocalFleet) -> list[str]:
    """Most upstreams answer garbage while extra clients retry at once and without end."""
    ups = [p for p in f.with_role("upstream")]
    for p in ups:
        call(p.web_port, "POST", "/-/faults", {"fault": "garbage", "share": 0.6})
    f.start_clients("hasty", seed=99, rate=f.shape.rate / 2, relentless=True)
    time.sleep(20)
    for p in ups:
        call(p.web_port, "POST", "/-/faults", {"fault": "", "share": 0})
    f.stop("hasty", 30)
    share, out = repeat_share(f.read_journal("ran.jsonl"))
    print(f"repeats at most {share:.3f} of first tries over 10 s", flush=True)
    return out


def faulty(f: LocalFleet) -> list[str]:
    """Lost, late, half and garbled answers in turn; what the clients were told is judged at the end."""
    for fault in ("lost", "half", "garbage", "late"):
        for p in f.with_role("upstream"):
            call(p.web_port, "POST", "/-/faults", {"fault": fault, "share": 0.2})
        time.sleep(5)
    for p in f.with_role("upstream"):
        call(p.web_port, "POST", "/-/faults", {"fault": "", "share": 0})
    return []


def handed_over(f: LocalFleet) -> list[str]:
    """An upstream vanishes and its address is at once another service's; then back again."""
    ups = f.with_role("upstream")
    p = ups[0]
    other = next(u for u in ups if u.args[3] != p.args[3])
    q = f.upstream(other.args[3], "stranger", p.locality, p.web_port, p.tell)
    f.kill(p.name)
    f.start(q.name)
    wait_until(lambda: call(q.web_port, "GET", "/health", timeout_s=1)[0] == 200, 5)
    time.sleep(12)
    f.stop(q.name, 12)
    f.start(p.name)
    time.sleep(3)
    ran = [r for r in f.read_journal("ran.jsonl") if r["instance"] == "stranger"]
    return [] if ran else ["the stranger was never used for its own service"]


def emptied(f: LocalFleet) -> list[str]:
    """All upstreams of a service vanish: answers must be final at once. Then all come back cold together."""
    service = f.with_role("upstream")[0].args[3]
    ups = [p for p in f.with_role("upstream") if p.args[3] == service]
    tenant, method, path = next(s[:3] for s in f.shape.shares if not s[3])
    for p in ups:
        f.kill(p.name)
    time.sleep(1)
    took, out = [], []
    for i in range(40):
        t = time.time()
        headers = {"Mallow-Tenant": tenant, "Mallow-Limit": "4000"}
        status, _, h = call(f.with_role("proxy")[i % 3].web_port, method, path.replace("{n}", "1"), None, headers)
        took.append(time.time() - t)
        if status not in (502, 503) or "mallow-outcome" not in h or "retry-after" not in h:
            out.append(f"got {status} {h.get('mallow-outcome')} from an emptied pool")
        time.sleep(0.25)
    print(
        f"final answers from an emptied pool: median {sorted(took)[20] * 1000:.0f} ms, worst {max(took) * 1000:.0f} ms "
        "of a limit of 4000 ms",
        flush=True,
    )
    if max(took) > 2.0:
        out.append(f"a final answer took {max(took):.1f} s")
    for p in ups:
        f.start(p.name)
    start = time.time()
    back = wait_until(
        lambda: (
            call(f.with_role("proxy")[0].web_port, method, path.replace("{n}", "1"), None, {"Mallow-Tenant": tenant})[0]
            == 200
        ),
        20,
    )
    print(f"served again {time.time() - start:.1f} s after the pool's restart", flush=True)
    time.sleep(5)
    return out if back else [*out, "the pool never came back"]


def cold(f: LocalFleet) -> list[str]:
    """One upstream returns cold; what it gets at first is set against its peers of the same zone."""
    p = f.with_role("upstream")[0]
    f.kill(p.name)
    time.sleep(1)
    f.start(p.name)
    wait_until(lambda: call(p.web_port, "GET", "/health", timeout_s=1)[0] == 200, 5)
    start = time.time()
    time.sleep(14)
    rows = [r for r in f.read_journal("ran.jsonl") if r["at"] > start and r["service"] == p.args[3]]
    peers = {u.name for u in f.with_role("upstream") if u.args[3] == p.args[3]}
    shares = []
    for lo, hi in ((0, 2), (2, 5), (5, 9), (9, 14)):
        part = [r["instance"] for r in rows if lo <= r["at"] - start < hi]
        mean = len(part) / max(1, len(peers))
        shares.append(round(part.count(p.name) / mean, 2) if mean else 0.0)
    print(f"cold upstream's work over the mean of its pool, 0-2, 2-5, 5-9, 9-14 s: {shares}", flush=True)
    return [] if shares[0] <= 0.5 else [f"a cold upstream got {shares[0]} of the mean in its first 2 s"]


def steady(f: LocalFleet) -> list[str]:
    """Nothing happens; what a request costs each role is counted."""
    c = Cost(f)
    time.sleep(20)
    print("\n".join(c.lines()), flush=True)
    return []


def ledger_paired(f: LocalFleet) -> list[str]:
    """The same orders with the ledger and without, by turns; without it only because nothing fails meanwhile."""
    was, parts = f.shape.config, {"with": [], "without": []}
    bare = {**was, "routes": {n: {**r, "kind": "read"} for n, r in was["routes"].items()}}
    orders = {s[2] for s in f.shape.shares if s[3]}
    for i in range(6):
        name = "without" if i % 2 else "with"
        if not f.operators.settle(bare if i % 2 else was, name):
            return ["a configuration was not acknowledged"]
        time.sleep(1)
        c = Cost(f)
        time.sleep(8)
        rows = [r["took"] for r in f.read_journal("asked.jsonl") if r["at"] > c.at and r["path"] in orders and r["ok"]]
        parts[name].append(sorted(rows))
        print(f"{name} the ledger:", *c.lines(), sep="\n", flush=True)
    f.operators.settle(was, "with")
    for name, runs in parts.items():
        mid = [f"{r[len(r) // 2] * 1000:.0f}/{r[int(len(r) * 0.95)] * 1000:.0f}" for r in runs if r]
        print(f"orders {name} the ledger, median/p95 ms: {', '.join(mid)}", flush=True)
    return []
