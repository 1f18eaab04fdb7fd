"""The operator of a soak: the first configuration, changes of a route, evacuations, and the final read."""

from __future__ import annotations

import random
from typing import Any

import gevent

from mallowvalve import clock
from mallowvalve.localfleet.deployed.applications import KEYS, LOCKS, NUMBERS, STATUS_MISSING
from mallowvalve.localfleet.deployed.clients import CHANGING_PREFIX, HOST_NAME, ORDER_PREFIX, READ_PREFIX
from mallowvalve.localfleet.deployed.control_calls import STATUS_OK, ControlCaller, decode
from mallowvalve.localfleet.deployed.machines import Fleet
from mallowvalve.localfleet.deployed.records import Change, FinalState, Records
from mallowvalve.localfleet.deployed.upstream import HEALTH_PATH

CHANGING_ROUTE = "changing"
CHANGE_PAUSE_S = 0.7
FIRST_TIMEOUT_S = 20.0
FINAL_TIMEOUT_S = 8.0
CHANGE_TIMEOUT_S = 4.0
LIMITS = {"header_bytes": 16384, "body_bytes": 64 << 20, "header_ms": 3000, "idle_ms": 15000, "version": 1}


def route(name: str, prefix: str, kind: str, service: str, limit_ms: int, version: int = 1) -> dict[str, Any]:
    """Returns a route as the operator sends it."""
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": prefix,
        "kind": kind,
        "limit_ms": limit_ms,
        "aim_ms": limit_ms / 2,
        "priority": 1,
        "service": service,
        "tries": 2,
        "homes": [],
        "version": version,
    }


def service(name: str) -> dict[str, Any]:
    """Returns a service as the operator sends it."""
    return {
        "name": name,
        "status": HEALTH_PATH,
        "connections": 400,
        "protocol": "h1",
        "tls": False,
        "cold_s": 0.1,
        "cold_per_s": 1000.0,
        "version": 1,
    }


class Operator:
    """Sends the configuration and its changes."""

    def __init__(self, fleet: Fleet, records: Records, rng: random.Random):
        """The changing route goes to each service in turn."""
        self.fleet, self.records, self.rng = fleet, records, rng
        self.services = sorted(fleet.shape.services)
        self.caller = ControlCaller(fleet, records, rng)
        self.version = 1

    def apply_first(self) -> bool:
        """Sends all items until they are taken; returns whether they were."""
        reads, orders = self.services[0], self.services[-1]
        routes = [
            route("read", READ_PREFIX, "read", reads, 2500),
            route("order", ORDER_PREFIX, "try", orders, 4000),
            route(CHANGING_ROUTE, CHANGING_PREFIX, "read", reads, 2500),
        ]
        items = {"routes": routes, "services": [service(name) for name in self.services], "limits": LIMITS}
        body = {"set": items, "drop": {"routes": []}}
        answer = self.caller.until_clear("PATCH", "/items", body, FIRST_TIMEOUT_S)
        return answer is not None and answer.status == STATUS_OK

    def run(self, end: float) -> None:
        """Changes a route again and again until `end` (s, this process's clock)."""
        while clock.now() < end:
            gevent.sleep(self.rng.expovariate(1.0 / CHANGE_PAUSE_S))
            self.change()

    def change(self, limit_s: float = CHANGE_TIMEOUT_S) -> float:
        """Sends the next version of the changing route until it is acknowledged, for `limit_s` at most.

        Returns when it was acknowledged (s, this process's clock), 0.0 if it was not.
        """
        self.version += 1
        target = self.services[self.version % len(self.services)]
        changed = route(CHANGING_ROUTE, CHANGING_PREFIX, "read", target, 2500, self.version)
        sent_at = clock.now()
        body = {"set": {"routes": [changed]}, "drop": {"routes": []}}
        answer = self.caller.until_clear("PATCH", "/items", body, limit_s)
        acknowledged = answer is not None and answer.status == STATUS_OK
        acknowledged_at = clock.now() if acknowledged else 0.0
        self.records.changes.append(Change(changed["version"], sent_at, acknowledged_at))
        return acknowledged_at

    def evacuate(self, zone: str, seconds: float) -> None:
        """Evacuates a zone and takes that back."""
        self.caller.until_clear("POST", f"/evacuations/{zone}")
        gevent.sleep(seconds)
        self.caller.until_clear("DELETE", f"/evacuations/{zone}")

    def read_back(self) -> FinalState:
        """Reads back everything that was acknowledged."""
        state = FinalState(watches=self._resume_watches())
        answer = self.caller.until_clear("GET", "/items", None, FINAL_TIMEOUT_S)
        if answer is not None and answer.status == STATUS_OK:
            versions = {item["name"]: item["version"] for item in decode(answer)["routes"]}
            state.item_version = versions.get(CHANGING_ROUTE)
        for key in KEYS:
            answer = self.caller.until_clear("GET", f"/api/cells/{key}", None, FINAL_TIMEOUT_S)
            is_read = answer is not None and answer.status in (STATUS_OK, STATUS_MISSING)
            state.keys[key] = decode(answer)["revision"] if is_read else None
        for name in NUMBERS:
            state.numbers[name] = decode(
                self.caller.until_clear("POST", f"/api/numbers/{name}", None, FINAL_TIMEOUT_S)
            ).get("value")
        for name in LOCKS:
            state.tokens[name] = self._take(name)
        return state

    def _resume_watches(self) -> dict[str, int | None]:
        """Resumes the watch of each watcher from its last revision; returns the statuses."""
        last = {answer.watcher: answer for answer in self.records.watches if answer.status == STATUS_OK}
        statuses: dict[str, int | None] = {}
        for watcher, answer in last.items():
            path = f"/api/watch/{answer.group}?after={answer.revision}&wait_ms=0"
            resumed = self.caller.until_clear("GET", path, None, FINAL_TIMEOUT_S)
            statuses[watcher] = resumed.status if resumed is not None else None
        return statuses

    def _take(self, lock: str) -> int | None:
        end = clock.now() + FINAL_TIMEOUT_S
        while clock.now() < end:
            body = {"holder": "operator", "hold_ms": 1000.0}
            answer = self.caller.until_clear("POST", f"/api/locks/{lock}", body, FINAL_TIMEOUT_S)
            if answer is not None and answer.status == STATUS_OK:
                token: int = decode(answer)["token"]
                return token
            gevent.sleep(0.2)
        return None
