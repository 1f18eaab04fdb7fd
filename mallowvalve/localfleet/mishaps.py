"""Acts that need the fleet's faults, other configurations, or machines that come and go."""

from __future__ import annotations

import copy
import time
import uuid
from functools import partial

from mallowvalve.localfleet.call import call, is_ok
from mallowvalve.localfleet.fleet import FleetProcess, LocalFleet, wait_until
from mallowvalve.localfleet.judge import after_evacuation, after_leaving
from mallowvalve.localfleet.ports import HOST, free_ports


def _nodes(f: LocalFleet) -> list[FleetProcess]:
    return [p for r in ("control", "directory", "proxy") for p in f.with_role(r)]


def _leader(f: LocalFleet) -> FleetProcess | None:
    def lead() -> FleetProcess | None:
        return next((p for p in f.with_role("control") if p.is_running and _role(p) == "leader"), None)

    return wait_until(lead, 15)


def _role(p: FleetProcess) -> str:
    status, data, _ = call(p.web_port, "GET", "/leader", timeout_s=2)
    return data.get("role", "") if status == 200 else ""


def _served(f: LocalFleet) -> int:
    return sum(r["ok"] for r in f.read_journal("asked.jsonl"))


def _goes_on(f: LocalFleet, seconds: float, what: str) -> list[str]:
    before = _served(f)
    time.sleep(seconds)
    return [] if _served(f) > before else [f"service stopped while {what}"]


def core_split(f: LocalFleet) -> list[str]:
    """The leader and as many as stay a minority on one side, everybody else on the other."""
    lead = _leader(f)
    controls = [lead, *(p for p in f.with_role("control") if p is not lead)]
    left = controls[: max(1, (min(5, len(controls)) - 1) // 2)]
    f.split(left, [p for p in _nodes(f) if p not in left])
    time.sleep(4)
    new = _leader(f) if _role(lead) != "leader" else None
    out = [] if new is not None else ["no other leader within 4 s, or the cut-off one still leads"]
    out += _goes_on(f, 3, "the core was split")
    f.heal()
    time.sleep(3)
    return out


def core_cut_off(f: LocalFleet) -> list[str]:
    """Proxies and directories that see each other serve reads on without any core machine."""
    f.split(f.with_role("control"), f.with_role("directory") + f.with_role("proxy"))
    time.sleep(3)
    out = _goes_on(f, 4, "the core was cut off")
    f.heal()
    time.sleep(3)
    return out


def isolated(f: LocalFleet) -> list[str]:
    """A proxy alone stops admitting; its clients are told to come back."""
    p, share = f.with_role("proxy")[0], next(s for s in f.shape.shares if not s[3])
    f.split([p], [x for x in _nodes(f) if x is not p])
    time.sleep(2.6)
    status, _, h = call(p.web_port, share[1], share[2].replace("{n}", "1"), None, {"Mallow-Tenant": share[0]})
    out = [] if (status, h.get("mallow-outcome")) == (503, "not-run") else [f"an isolated proxy answered {status}"]
    time.sleep(2)
    f.heal()
    back = wait_until(lambda: call(p.web_port, "GET", "/-/ready", timeout_s=1)[0] == 200, 6)
    return out if back else [*out, "the proxy did not come back"]


def one_way(f: LocalFleet) -> list[str]:
    """Processes of each role are not heard by the others, but hear them."""
    for p in (_leader(f), f.with_role("proxy")[1], f.with_role("directory")[0]):
        f.split([p], [x for x in _nodes(f) if x is not p], one_way=True)
        time.sleep(4)
        f.heal()
        time.sleep(3)
    return _goes_on(f, 2, "one-way cuts were healed")


def full_disk(f: LocalFleet) -> list[str]:
    """The leader's disk is full: it says so, and service goes on."""
    lead = _leader(f)
    f.disk(full=[lead.name])
    said = wait_until(lambda: call(lead.web_port, "GET", "/leader", timeout_s=2)[1].get("disk") == "refuses", 6)
    out = [] if said else ["the full disk was not said"]
    out += _goes_on(f, 4, "the leader's disk was full")
    f.disk()
    well = wait_until(lambda: call(lead.web_port, "GET", "/leader", timeout_s=2)[1].get("disk") == "well", 6)
    return out if well else [*out, "the disk was not taken up again"]


def stalled_disk(f: LocalFleet) -> list[str]:
    """Each write of the leader takes 2.5 s longer; service goes on."""
    lead = _leader(f)
    f.disk(stalls={lead.name: 2.5})
    out = _goes_on(f, 6, "the leader's disk stalled")
    f.disk()
    time.sleep(3)
    return out


def pool_replaced(f: LocalFleet) -> list[str]:
    """Each upstream of a service leaves, and another at a new address takes its place, one by one."""
    service = f.shape.upstreams[0].service
    out = []
    for i, p in enumerate([p for p in f.with_role("upstream") if p.args[3] == service][:6]):
        new = f.upstream(service, f"{service}-new{i}", p.locality, free_ports(1)[0], p.tell)
        f.start(new.name)
        left = time.time()
        f.stop(p.name, 12)
        time.sleep(1)
        out += after_leaving(p.name, left, f.read_journal("ran.jsonl"))
        del f.processes[p.name]
    used = {r["instance"] for r in f.read_journal("ran.jsonl")}
    return out if any(n.startswith(f"{service}-new") for n in used) else [*out, "the new upstreams were not used"]


def service_removed(f: LocalFleet) -> list[str]:
    """A service is taken out under load, its upstreams vanish, and another service gets their addresses."""
    was = f.shape.config
    service = f.shape.upstreams[-1].service
    other = f.shape.upstreams[0].service
    now = copy.deepcopy(was)
    del now["services"][service]
    now["routes"] = {n: r for n, r in now["routes"].items() if r["service"] != service}
    if not f.operators.settle(now, "removed"):
        return ["the change was not acknowledged"]
    gone = time.time()
    old = [p for p in f.with_role("upstream") if p.args[3] == service]
    strangers = []
    for i, p in enumerate(old):
        f.kill(p.name)
        q = f.upstream(other, f"{other}-moved{i}", p.locality, p.web_port, p.tell)
        f.start(q.name)
        strangers.append(q)
    time.sleep(5)
    out = [
        f"{service} still ran at {r['at'] - gone:.1f} s"
        for r in f.read_journal("ran.jsonl")
        if r["service"] == service and r["at"] > gone + 3.5
    ][:2]
    if not any(r["instance"].startswith(f"{other}-moved") for r in f.read_journal("ran.jsonl")):
        out.append("the addresses were not used for the other service")
    for p, q in zip(old, strangers, strict=True):
        f.kill(q.name)
        del f.processes[q.name]
        f.start(p.name)
    if not f.operators.settle(was, "back"):
        out.append("the service was not taken back")
    back = wait_until(
        lambda: any(r["service"] == service and r["at"] > time.time() - 2 for r in f.read_journal("ran.jsonl")), 15
    )
    return out if back else [*out, f"{service} was not used again"]


def homes_moved(f: LocalFleet) -> list[str]:
    """A tenant's homes move to another region and back while it works; the judge knows what was in force when."""
    was = f.shape.config
    cell, tenant = next((c, t) for c, d in was["cells"].items() for t, v in d["tenants"].items() if v.get("homes"))
    old, out = was["cells"][cell]["tenants"][tenant]["homes"], []
    new = [r for r in (was["cells"][cell].get("regions") or was["regions"]) if r not in old][:1]
    for homes in (new, old):
        now = copy.deepcopy(f.shape.config)
        now["cells"][cell]["tenants"][tenant]["homes"] = homes
        if not f.operators.settle(now, "homes"):
            return ["the homes were not acknowledged"]
        at = time.time()
        time.sleep(7)
        rows = [r for r in f.read_journal("ran.jsonl") if r["tenant"] == tenant and r["at"] > at + 3.5]
        out += [
            f"{tenant} ran in {r['locality']}, its homes are {homes}"
            for r in rows
            if r["locality"].partition("/")[0] not in homes
        ][:1]
        out += [] if rows else [f"{tenant} was not served in {homes}"]
    return out


def bad_changes(f: LocalFleet) -> list[str]:
    """Invalid, ill-typed, stale and large configurations beside the two operators that race."""
    out, control = [], f.operators.control
    was = f.shape.config
    bad = {**was, "routes": {**was["routes"], "x": {"cell": "no", "match": "??", "kind": "read", "service": "no"}}}
    for body, want in (
        ({"doc": bad}, 422),
        ({"doc": 3}, 400),
        ({"doc": was, "base": 1}, 409),
        (b"{", 400),
        (b"null", 400),
        ({"doc": {**was, "cells": {}}}, 422),
    ):
        status, data, _ = call(control(), "PUT", "/config", body)
        if status != want or not data["findings"]:
            out.append(f"a bad change got {status}, want {want}")
    status, data, _ = call(control(), "POST", "/evacuations", {"zone": 4, "evacuated": "yes"})
    if status != 400 or len(data["findings"]) != 2:
        out.append(f"an ill-typed evacuation got {status}")
    large = copy.deepcopy(was)
    name, route = next(iter(was["routes"].items()))
    large["routes"] |= {f"{name}-{i}": {**route, "match": f'method GET and path "/many/{i}/*"'} for i in range(3000)}
    if not f.operators.settle(large, "large"):
        out.append("a large configuration was not acknowledged")
    time.sleep(3)
    if not f.operators.settle(was, "small"):
        out.append("the configuration was not taken back")
    return out


def evacuate(f: LocalFleet, zone: str, on: bool) -> float | None:
    """Repeated under one key until it is acknowledged; the time of that."""
    key = {"Mallow-Key": uuid.uuid4().hex}
    body = {"zone": zone, "evacuated": on}
    ok = wait_until(lambda: call(f.operators.control(), "POST", "/evacuations", body, key, 10)[0] == 200, 25)
    return time.time() if ok else None


def evacuation_raced(f: LocalFleet) -> list[str]:
    """A zone is emptied while a region is lost, then while proxies restart; a second operator gives it back."""
    out, zone = [], "eu-b"
    for act in ("region", "rolling"):
        down = [p for p in f.processes.values() if p.locality.startswith("ap/")] if act == "region" else []
        for p in down:
            f.kill(p.name)
        at = evacuate(f, zone, True)
        if at is None:
            return [*out, "the evacuation was not acknowledged"]
        if act == "rolling":
            for p in f.with_role("proxy")[:3]:
                f.stop(p.name, f.polite + 3)
                f.start(p.name)
                time.sleep(1)
        time.sleep(8)
        end = time.time()
        for p in down:
            f.start(p.name)
        if evacuate(f, zone, False) is None:
            out.append("the zone was not given back")
        out += after_evacuation(zone, at, end, f.read_journal("ran.jsonl"))
        time.sleep(5)
    if not any(r["at"] > end and r["locality"].endswith(zone) for r in f.read_journal("ran.jsonl")):
        out.append("no request came back to the zone")
    return out


def core_replaced(f: LocalFleet) -> list[str]:
    """Every core machine is replaced by an empty one at a new address, one after the other, while clients run."""
    out, many = [], len(_voters(_leader(f)))
    for i, p in enumerate(list(f.with_role("control"))):
        f.kill(p.name)
        del f.processes[p.name]
        f.seeds = [f"{HOST}:{x.transport_port}" for x in (*f.with_role("control")[-1:], *f.with_role("proxy")[:2])]
        new = f.add_node("control", p.locality, f"core{i}-{uuid.uuid4().hex[:4]}")
        taken = wait_until(partial(_is_member, f, f"{HOST}:{new.transport_port}"), 20)
        whole = wait_until(partial(_is_whole, f, many, f"{HOST}:{p.transport_port}"), 25)
        if not taken or not whole:
            out.append(f"{new.name} in place of {p.name}: taken {bool(taken)}, {many} voters again {bool(whole)}")
        wait_until(partial(is_ok, new.web_port, "/-/ready"), 10)
    return out


def _is_member(f: LocalFleet, transport_port: str) -> bool:
    return any(transport_port in _members(p) for p in f.with_role("control"))


def _is_whole(f: LocalFleet, many: int, without: str) -> bool:
    """Whether there are so many voters again, the lost one not among them."""
    return any(len(voters) == many and without not in voters for voters in map(_voters, f.with_role("control")))


def _voters(p: FleetProcess) -> list[str]:
    status, data, _ = call(p.web_port, "GET", "/leader", timeout_s=2)
    return data.get("voters", []) if status == 200 and data.get("role") == "leader" else []


def _members(p: FleetProcess) -> list[str]:
    status, data, _ = call(p.web_port, "GET", "/leader", timeout_s=2)
    return data.get("voters", []) + data.get("learners", []) if status == 200 else []


def seeds_gone(f: LocalFleet) -> list[str]:
    """After the first start, nodes come back with seeds that are down, wrong, or only a proxy."""
    out, dead = [], [f"{HOST}:{x}" for x in free_ports(2)]
    for p in (f.with_role("proxy")[0], f.with_role("directory")[0], f.with_role("control")[0]):
        was = list(p.args)
        f.stop(p.name, f.polite + 3)
        i = p.args.index("--seeds")
        kept = [x for j, x in enumerate(p.args) if x != "--seeds" and p.args[j - 1] != "--seeds"]
        p.args = [
            *kept[:i],
            *(y for s in (*dead, f"{HOST}:{f.with_role('proxy')[-1].transport_port}") for y in ("--seeds", s)),
            *kept[i:],
        ]
        f.start(p.name)
        if not wait_until(partial(is_ok, p.web_port, "/-/ready"), 20):
            out.append(f"{p.name} is not ready with other seeds")
        p.args = was
    return out
