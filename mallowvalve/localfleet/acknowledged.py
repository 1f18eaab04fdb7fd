"""An act of a trial: kills a process right after its acknowledgement, whose effect must survive."""

from __future__ import annotations

import random
import time
import uuid
from collections.abc import Callable

from mallowvalve.localfleet.call import call
from mallowvalve.localfleet.fleet import FleetProcess, LocalFleet, wait_until
from mallowvalve.localfleet.judge import runs_after_leaving
from mallowvalve.localfleet.mishaps import evacuate


def after_acks(fleet: LocalFleet) -> list[str]:
    """Kills the acknowledging process right after each acknowledgement and checks that the effect survives."""
    rng, findings = random.Random(11), []

    def restart(process: FleetProcess) -> None:
        fleet.kill(process.name)
        time.sleep(2)
        fleet.start(process.name)
        wait_until(lambda: call(process.web_port, "GET", "/-/ready", timeout_s=2)[0] == 200, 15)

    def send_to_control(method: str, path: str, body: object) -> tuple[FleetProcess, dict] | None:
        process = rng.choice(fleet.with_role("control"))
        status, data, _ = call(process.web_port, method, path, body, {"Mallow-Key": uuid.uuid4().hex}, 10)
        return (process, data) if status == 200 else None

    def read(path: str) -> dict:
        return (
            wait_until(
                lambda: next(
                    (
                        data
                        for status, data, _ in [call(fleet.operators.pick_control_port(), "GET", path)]
                        if status == 200
                    ),
                    None,
                ),
                15,
            )
            or {}
        )

    for number in range(2):
        acknowledged = send_to_control("PUT", "/keys/acked", {"value": f"v{number}"})
        if acknowledged:
            restart(acknowledged[0])
            findings += [] if read("/keys/acked").get("value") == f"v{number}" else ["an acknowledged key is missing"]
        acknowledged = send_to_control("POST", "/numbers/acked", {})
        if acknowledged:
            restart(acknowledged[0])
            again = wait_until(lambda: send_to_control("POST", "/numbers/acked", {}), 15)
            findings += (
                [] if again and again[1]["number"] > acknowledged[1]["number"] else ["a number fell or came again"]
            )
    acknowledged = send_to_control("POST", "/locks/acked/take", {"holder": "x", "ttl_ms": 60000})
    if acknowledged:
        restart(acknowledged[0])
        status_again = wait_until(
            lambda: next(
                (
                    status
                    for status, _, _ in [
                        call(fleet.operators.pick_control_port(), "POST", "/locks/acked/take", {"holder": "y"})
                    ]
                    if status < 500
                ),
                None,
            ),
            15,
        )
        findings += [] if status_again == 409 else [f"a held lock answered {status_again}"]
    acknowledged = send_to_control("POST", "/evacuations", {"zone": "ap-b", "evacuated": True})
    if acknowledged:
        restart(acknowledged[0])
        findings += [] if "ap-b" in read("/config").get("evacuated", []) else ["an acknowledged evacuation is missing"]
    evacuate(fleet, "ap-b", False)
    findings += _after_order(fleet, rng, restart) + _after_notice(fleet, restart)
    return findings


def _after_order(fleet: LocalFleet, rng: random.Random, restart: Callable[[FleetProcess], None]) -> list[str]:
    """Kills a proxy right after it answered an order; a repeat must not run the order again."""
    share = next(share for share in fleet.shape.shares if share[3])
    key = uuid.uuid4().hex
    headers = {"Mallow-Tenant": share[0], "Mallow-Key": key}
    process = rng.choice(fleet.with_role("proxy"))
    first = call(process.web_port, share[1], share[2], {"a": 1}, headers)
    if first[0] != 200:
        return []
    restart(process)
    again = call(fleet.with_role("proxy")[-1].web_port, share[1], share[2], {"a": 1}, headers)
    runs = sum(row["key"] == key for row in fleet.read_journal("ran.jsonl"))
    return (
        []
        if runs == 1 and (again[0] != 200 or again[1] == first[1])
        else [f"an answered order ran {runs} times, again {again[0]}"]
    )


def _after_notice(fleet: LocalFleet, restart: Callable[[FleetProcess], None]) -> list[str]:
    """Kills a proxy right after it acknowledged a leaving notice; no later request may reach the upstream."""
    upstream = next(process for process in fleet.with_role("upstream") if process.is_running)
    process = fleet.with_role("proxy")[0]
    status, data, _ = call(process.web_port, "GET", "/-/upstreams")
    row = next((row for row in data["upstreams"] if row["instance"] == upstream.name), None) if status == 200 else None
    if row is None:
        return []
    heartbeat = {field: row[field] for field in ("service", "instance", "incarnation", "locality", "address")}
    status, _, _ = call(
        process.web_port, "POST", "/-/heartbeats", heartbeat | {"sequence": 1 << 40, "state": "leaving"}
    )
    left_at = time.time()
    if status != 200:
        return []
    restart(process)
    time.sleep(4)
    findings = runs_after_leaving(upstream.name, left_at, fleet.read_journal("ran.jsonl"))
    fleet.kill(upstream.name)
    fleet.start(upstream.name)
    time.sleep(2)
    return findings
