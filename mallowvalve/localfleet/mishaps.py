"""Acts that inject faults, change the configuration, or replace processes."""

from __future__ import annotations

import copy
import time
import uuid
from functools import partial

from mallowvalve.localfleet.call import call, is_ok
from mallowvalve.localfleet.fleet import FleetProcess, LocalFleet, wait_until
from mallowvalve.localfleet.judge import runs_after_evacuation, runs_after_leaving
from mallowvalve.localfleet.ports import HOST, free_ports


def _nodes(fleet: LocalFleet) -> list[FleetProcess]:
    return [process for role in ("control", "directory", "proxy") for process in fleet.with_role(role)]


def _require_leader(fleet: LocalFleet) -> FleetProcess:
    """Returns the control process that leads; raises RuntimeError without one."""
    leader = _find_leader(fleet)
    if leader is None:
        raise RuntimeError("no control process leads")
    return leader


def _find_leader(fleet: LocalFleet) -> FleetProcess | None:
    def running_leader() -> FleetProcess | None:
        return next(
            (process for process in fleet.with_role("control") if process.is_running and _role(process) == "leader"),
            None,
        )

    return wait_until(running_leader, 15)


def _role(process: FleetProcess) -> str:
    status, data, _ = call(process.web_port, "GET", "/leader", timeout_s=2)
    return data.get("role", "") if status == 200 else ""


def _count_answered(fleet: LocalFleet) -> int:
    return sum(row["ok"] for row in fleet.read_journal("asked.jsonl"))


def _check_service(fleet: LocalFleet, seconds: float, situation: str) -> list[str]:
    """Returns a finding if no request succeeds within `seconds`."""
    before = _count_answered(fleet)
    time.sleep(seconds)
    return [] if _count_answered(fleet) > before else [f"service stopped while {situation}"]


def core_split(fleet: LocalFleet) -> list[str]:
    """Partitions the fleet: the leader with a minority on one side, all other processes on the other side."""
    leader = _require_leader(fleet)
    controls = [leader, *(process for process in fleet.with_role("control") if process is not leader)]
    minority = controls[: max(1, (min(5, len(controls)) - 1) // 2)]
    fleet.partition(minority, [process for process in _nodes(fleet) if process not in minority])
    time.sleep(4)
    successor = _find_leader(fleet) if _role(leader) != "leader" else None
    findings = [] if successor is not None else ["no other leader within 4 s, or the cut-off one still leads"]
    findings += _check_service(fleet, 3, "the core was split")
    fleet.clear_faults()
    time.sleep(3)
    return findings


def core_cut_off(fleet: LocalFleet) -> list[str]:
    """Cuts all control processes off; proxies and directories, which reach each other, must continue to serve reads."""
    fleet.partition(fleet.with_role("control"), fleet.with_role("directory") + fleet.with_role("proxy"))
    time.sleep(3)
    findings = _check_service(fleet, 4, "the core was cut off")
    fleet.clear_faults()
    time.sleep(3)
    return findings


def isolated(fleet: LocalFleet) -> list[str]:
    """Isolates a proxy, which must stop admitting requests and answer that they were not run."""
    process, share = fleet.with_role("proxy")[0], next(share for share in fleet.shape.shares if not share[3])
    fleet.partition([process], [node for node in _nodes(fleet) if node is not process])
    time.sleep(2.6)
    status, _, response_headers = call(
        process.web_port, share[1], share[2].replace("{n}", "1"), None, {"Mallow-Tenant": share[0]}
    )
    findings = (
        []
        if (status, response_headers.get("mallow-outcome")) == (503, "not-run")
        else [f"an isolated proxy answered {status}"]
    )
    time.sleep(2)
    fleet.clear_faults()
    recovered = wait_until(lambda: call(process.web_port, "GET", "/-/ready", timeout_s=1)[0] == 200, 6)
    return findings if recovered else [*findings, "the proxy did not come back"]


def one_way(fleet: LocalFleet) -> list[str]:
    """Drops what a process of each role sends, one role after the other, while it still receives from the others."""
    for process in (_require_leader(fleet), fleet.with_role("proxy")[1], fleet.with_role("directory")[0]):
        fleet.partition([process], [node for node in _nodes(fleet) if node is not process], one_way=True)
        time.sleep(4)
        fleet.clear_faults()
        time.sleep(3)
    return _check_service(fleet, 2, "one-way cuts were healed")


def full_disk(fleet: LocalFleet) -> list[str]:
    """Fills the leader's disk; the leader must report it, and service must continue."""
    leader = _require_leader(fleet)
    fleet.set_disk_faults(full=[leader.name])
    is_reported = wait_until(
        lambda: call(leader.web_port, "GET", "/leader", timeout_s=2)[1].get("disk") == "refuses", 6
    )
    findings = [] if is_reported else ["the full disk was not said"]
    findings += _check_service(fleet, 4, "the leader's disk was full")
    fleet.set_disk_faults()
    is_writable = wait_until(lambda: call(leader.web_port, "GET", "/leader", timeout_s=2)[1].get("disk") == "well", 6)
    return findings if is_writable else [*findings, "the disk was not taken up again"]


def stalled_disk(fleet: LocalFleet) -> list[str]:
    """Delays each write of the leader by 2.5 s; service must continue."""
    leader = _require_leader(fleet)
    fleet.set_disk_faults(stalls={leader.name: 2.5})
    findings = _check_service(fleet, 6, "the leader's disk stalled")
    fleet.set_disk_faults()
    time.sleep(3)
    return findings


def pool_replaced(fleet: LocalFleet) -> list[str]:
    """Replaces the upstreams of a service by others at new addresses, one by one."""
    service = fleet.shape.upstreams[0].service
    findings = []
    for number, process in enumerate(
        [process for process in fleet.with_role("upstream") if process.args[3] == service][:6]
    ):
        replacement = fleet.add_upstream(
            service, f"{service}-new{number}", process.locality, free_ports(1)[0], process.heartbeat_targets
        )
        fleet.start(replacement.name)
        left_at = time.time()
        fleet.stop(process.name, 12)
        time.sleep(1)
        findings += runs_after_leaving(process.name, left_at, fleet.read_journal("ran.jsonl"))
        del fleet.processes[process.name]
    instances = {row["instance"] for row in fleet.read_journal("ran.jsonl")}
    return (
        findings
        if any(name.startswith(f"{service}-new") for name in instances)
        else [*findings, "the new upstreams were not used"]
    )


def service_removed(fleet: LocalFleet) -> list[str]:
    """Removes a service under load, kills its upstreams and gives their addresses to another service."""
    original = fleet.shape.config
    service = fleet.shape.upstreams[-1].service
    other = fleet.shape.upstreams[0].service
    changed = copy.deepcopy(original)
    del changed["services"][service]
    changed["routes"] = {name: route for name, route in changed["routes"].items() if route["service"] != service}
    if not fleet.operators.apply_base(changed, "removed"):
        return ["the change was not acknowledged"]
    acknowledged_at = time.time()
    removed = [process for process in fleet.with_role("upstream") if process.args[3] == service]
    replacements = []
    for number, process in enumerate(removed):
        fleet.kill(process.name)
        replacement = fleet.add_upstream(
            other, f"{other}-moved{number}", process.locality, process.web_port, process.heartbeat_targets
        )
        fleet.start(replacement.name)
        replacements.append(replacement)
    time.sleep(5)
    findings = [
        f"{service} still ran at {row['at'] - acknowledged_at:.1f} s"
        for row in fleet.read_journal("ran.jsonl")
        if row["service"] == service and row["at"] > acknowledged_at + 3.5
    ][:2]
    if not any(row["instance"].startswith(f"{other}-moved") for row in fleet.read_journal("ran.jsonl")):
        findings.append("the addresses were not used for the other service")
    for process, replacement in zip(removed, replacements, strict=True):
        fleet.kill(replacement.name)
        del fleet.processes[replacement.name]
        fleet.start(process.name)
    if not fleet.operators.apply_base(original, "back"):
        findings.append("the service was not taken back")
    recovered = wait_until(
        lambda: any(
            row["service"] == service and row["at"] > time.time() - 2 for row in fleet.read_journal("ran.jsonl")
        ),
        15,
    )
    return findings if recovered else [*findings, f"{service} was not used again"]


def homes_moved(fleet: LocalFleet) -> list[str]:
    """Moves a tenant's homes to another region and back under load.

    The trial checks each run against the configurations that were in force at its time.
    """
    original = fleet.shape.config
    cell, tenant = next(
        (cell_name, tenant_name)
        for cell_name, cell_doc in original["cells"].items()
        for tenant_name, tenant_doc in cell_doc["tenants"].items()
        if tenant_doc.get("homes")
    )
    old_homes, findings = original["cells"][cell]["tenants"][tenant]["homes"], []
    new_homes = [
        region for region in (original["cells"][cell].get("regions") or original["regions"]) if region not in old_homes
    ][:1]
    for homes in (new_homes, old_homes):
        changed = copy.deepcopy(fleet.shape.config)
        changed["cells"][cell]["tenants"][tenant]["homes"] = homes
        if not fleet.operators.apply_base(changed, "homes"):
            return ["the homes were not acknowledged"]
        moved_at = time.time()
        time.sleep(7)
        rows = [
            row for row in fleet.read_journal("ran.jsonl") if row["tenant"] == tenant and row["at"] > moved_at + 3.5
        ]
        findings += [
            f"{tenant} ran in {row['locality']}, its homes are {homes}"
            for row in rows
            if row["locality"].partition("/")[0] not in homes
        ][:1]
        findings += [] if rows else [f"{tenant} was not served in {homes}"]
    return findings


def bad_changes(fleet: LocalFleet) -> list[str]:
    """Submits invalid, ill-typed, stale and large configurations beside the two operators that race."""
    findings: list[str] = []
    control_port = fleet.operators.pick_control_port
    original = fleet.shape.config
    invalid = {
        **original,
        "routes": {**original["routes"], "x": {"cell": "no", "match": "??", "kind": "read", "service": "no"}},
    }
    for body, expected in (
        ({"doc": invalid}, 422),
        ({"doc": 3}, 400),
        ({"doc": original, "base": 1}, 409),
        (b"{", 400),
        (b"null", 400),
        ({"doc": {**original, "cells": {}}}, 422),
    ):
        status, data, _ = call(control_port(), "PUT", "/config", body)
        if status != expected or not data["findings"]:
            findings.append(f"a bad change got {status}, want {expected}")
    status, data, _ = call(control_port(), "POST", "/evacuations", {"zone": 4, "evacuated": "yes"})
    if status != 400 or len(data["findings"]) != 2:
        findings.append(f"an ill-typed evacuation got {status}")
    large = copy.deepcopy(original)
    name, route = next(iter(original["routes"].items()))
    large["routes"] |= {
        f"{name}-{number}": {**route, "match": f'method GET and path "/many/{number}/*"'} for number in range(3000)
    }
    if not fleet.operators.apply_base(large, "large"):
        findings.append("a large configuration was not acknowledged")
    time.sleep(3)
    if not fleet.operators.apply_base(original, "small"):
        findings.append("the configuration was not taken back")
    return findings


def evacuate(fleet: LocalFleet, zone: str, on: bool) -> float | None:
    """Evacuates a zone or gives it back; repeats the call under one idempotency key until it is acknowledged.

    Returns the wall clock time of the acknowledgement (s), or None after 25 s without one.
    """
    key = {"Mallow-Key": uuid.uuid4().hex}
    body = {"zone": zone, "evacuated": on}
    is_acknowledged = wait_until(
        lambda: call(fleet.operators.pick_control_port(), "POST", "/evacuations", body, key, 10)[0] == 200, 25
    )
    return time.time() if is_acknowledged else None


def evacuation_raced(fleet: LocalFleet) -> list[str]:
    """Evacuates a zone while a region is down, and again while proxies restart; gives it back each time."""
    findings: list[str] = []
    zone = "eu-b"
    for act in ("region", "rolling"):
        down = (
            [process for process in fleet.processes.values() if process.locality.startswith("ap/")]
            if act == "region"
            else []
        )
        for process in down:
            fleet.kill(process.name)
        evacuated_at = evacuate(fleet, zone, True)
        if evacuated_at is None:
            return [*findings, "the evacuation was not acknowledged"]
        if act == "rolling":
            for process in fleet.with_role("proxy")[:3]:
                fleet.stop(process.name, fleet.stop_grace_s + 3)
                fleet.start(process.name)
                time.sleep(1)
        time.sleep(8)
        end = time.time()
        for process in down:
            fleet.start(process.name)
        if evacuate(fleet, zone, False) is None:
            findings.append("the zone was not given back")
        findings += runs_after_evacuation(zone, evacuated_at, end, fleet.read_journal("ran.jsonl"))
        time.sleep(5)
    if not any(row["at"] > end and row["locality"].endswith(zone) for row in fleet.read_journal("ran.jsonl")):
        findings.append("no request came back to the zone")
    return findings


def core_replaced(fleet: LocalFleet) -> list[str]:
    """Replaces every control process by an empty one at a new address, one after the other, while clients run."""
    findings: list[str] = []
    voter_count = len(_voters(_require_leader(fleet)))
    for number, process in enumerate(list(fleet.with_role("control"))):
        fleet.kill(process.name)
        del fleet.processes[process.name]
        fleet.seeds = [
            f"{HOST}:{seed.transport_port}"
            for seed in (*fleet.with_role("control")[-1:], *fleet.with_role("proxy")[:2])
        ]
        replacement = fleet.add_node("control", process.locality, f"core{number}-{uuid.uuid4().hex[:4]}")
        is_member = wait_until(partial(_is_member, fleet, f"{HOST}:{replacement.transport_port}"), 20)
        is_complete = wait_until(partial(_has_voters, fleet, voter_count, f"{HOST}:{process.transport_port}"), 25)
        if not is_member or not is_complete:
            findings.append(
                f"{replacement.name} in place of {process.name}: taken {bool(is_member)}, "
                f"{voter_count} voters again {bool(is_complete)}"
            )
        wait_until(partial(is_ok, replacement.web_port, "/-/ready"), 10)
    return findings


def _is_member(fleet: LocalFleet, address: str) -> bool:
    return any(address in _members(process) for process in fleet.with_role("control"))


def _has_voters(fleet: LocalFleet, voter_count: int, lost: str) -> bool:
    """Whether a leader reports `voter_count` voters without the lost one."""
    return any(len(voters) == voter_count and lost not in voters for voters in map(_voters, fleet.with_role("control")))


def _voters(process: FleetProcess) -> list[str]:
    """Returns the voters' transport addresses if the process leads, else an empty list."""
    status, data, _ = call(process.web_port, "GET", "/leader", timeout_s=2)
    return data.get("voters", []) if status == 200 and data.get("role") == "leader" else []


def _members(process: FleetProcess) -> list[str]:
    status, data, _ = call(process.web_port, "GET", "/leader", timeout_s=2)
    return data.get("voters", []) + data.get("learners", []) if status == 200 else []


def seeds_gone(fleet: LocalFleet) -> list[str]:
    """Restarts nodes with seeds that no process listens at, and a proxy as the only working seed."""
    findings, dead_seeds = [], [f"{HOST}:{port}" for port in free_ports(2)]
    for process in (fleet.with_role("proxy")[0], fleet.with_role("directory")[0], fleet.with_role("control")[0]):
        original_args = list(process.args)
        fleet.stop(process.name, fleet.stop_grace_s + 3)
        first_seed = process.args.index("--seeds")
        kept = [
            word
            for index, word in enumerate(process.args)
            if word != "--seeds" and process.args[index - 1] != "--seeds"
        ]
        process.args = [
            *kept[:first_seed],
            *(
                word
                for seed in (*dead_seeds, f"{HOST}:{fleet.with_role('proxy')[-1].transport_port}")
                for word in ("--seeds", seed)
            ),
            *kept[first_seed:],
        ]
        fleet.start(process.name)
        if not wait_until(partial(is_ok, process.web_port, "/-/ready"), 20):
            findings.append(f"{process.name} is not ready with other seeds")
        process.args = original_args
    return findings
