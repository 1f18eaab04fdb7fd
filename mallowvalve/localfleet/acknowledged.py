"""An act of a trial: whoever acknowledged something is killed at once, and what it said must still hold."""

from __future__ import annotations

import random
import time
import uuid

from mallowvalve.localfleet.call import call
from mallowvalve.localfleet.fleet import FleetProcess, LocalFleet, wait_until
from mallowvalve.localfleet.judge import after_leaving
from mallowvalve.localfleet.mishaps import evacuate


def after_acks(f: LocalFleet) -> list[str]:
    """The process that acknowledged is killed at once; what it said must still hold."""
    rng, out = random.Random(11), []

    def hit(p: FleetProcess) -> None:
        f.kill(p.name)
        time.sleep(2)
        f.start(p.name)
        wait_until(lambda: call(p.web_port, "GET", "/-/ready", timeout_s=2)[0] == 200, 15)

    def at_control(method: str, path: str, body) -> tuple[FleetProcess, dict] | None:
        p = rng.choice(f.with_role("control"))
        status, data, _ = call(p.web_port, method, path, body, {"Mallow-Key": uuid.uuid4().hex}, 10)
        return (p, data) if status == 200 else None

    def read(path: str) -> dict:
        return (
            wait_until(
                lambda: next((d for s, d, _ in [call(f.operators.control(), "GET", path)] if s == 200), None), 15
            )
            or {}
        )

    for i in range(2):
        got = at_control("PUT", "/keys/acked", {"value": f"v{i}"})
        if got:
            hit(got[0])
            out += [] if read("/keys/acked").get("value") == f"v{i}" else ["an acknowledged key is missing"]
        got = at_control("POST", "/numbers/acked", {})
        if got:
            hit(got[0])
            again = wait_until(lambda: at_control("POST", "/numbers/acked", {}), 15)
            out += [] if again and again[1]["number"] > got[1]["number"] else ["a number fell or came again"]
    got = at_control("POST", "/locks/acked/take", {"holder": "x", "ttl_ms": 60000})
    if got:
        hit(got[0])
        again = wait_until(
            lambda: next(
                (
                    s
                    for s, _, _ in [call(f.operators.control(), "POST", "/locks/acked/take", {"holder": "y"})]
                    if s < 500
                ),
                None,
            ),
            15,
        )
        out += [] if again == 409 else [f"a held lock answered {again}"]
    got = at_control("POST", "/evacuations", {"zone": "ap-b", "evacuated": True})
    if got:
        hit(got[0])
        out += [] if "ap-b" in read("/config").get("evacuated", []) else ["an acknowledged evacuation is missing"]
    evacuate(f, "ap-b", False)
    out += _after_order(f, rng, hit) + _after_notice(f, hit)
    return out


def _after_order(f: LocalFleet, rng: random.Random, hit) -> list[str]:
    share = next(s for s in f.shape.shares if s[3])
    key = uuid.uuid4().hex
    h = {"Mallow-Tenant": share[0], "Mallow-Key": key}
    p = rng.choice(f.with_role("proxy"))
    first = call(p.web_port, share[1], share[2], {"a": 1}, h)
    if first[0] != 200:
        return []
    hit(p)
    again = call(f.with_role("proxy")[-1].web_port, share[1], share[2], {"a": 1}, h)
    n = sum(r["key"] == key for r in f.read_journal("ran.jsonl"))
    return (
        []
        if n == 1 and (again[0] != 200 or again[1] == first[1])
        else [f"an answered order ran {n} times, again {again[0]}"]
    )


def _after_notice(f: LocalFleet, hit) -> list[str]:
    """An upstream says it is leaving; the node that took the notice dies with it on its lips."""
    u = next(p for p in f.with_role("upstream") if p.is_running)
    p = f.with_role("proxy")[0]
    status, data, _ = call(p.web_port, "GET", "/-/upstreams")
    row = next((r for r in data["upstreams"] if r["instance"] == u.name), None) if status == 200 else None
    if row is None:
        return []
    heartbeat = {k: row[k] for k in ("service", "instance", "incarnation", "locality", "address")}
    status, _, _ = call(p.web_port, "POST", "/-/heartbeats", heartbeat | {"sequence": 1 << 40, "state": "leaving"})
    left = time.time()
    if status != 200:
        return []
    hit(p)
    time.sleep(4)
    out = after_leaving(u.name, left, f.read_journal("ran.jsonl"))
    f.kill(u.name)
    f.start(u.name)
    time.sleep(2)
    return out
