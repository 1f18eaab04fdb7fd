"""Runs the state machine of requests on host routes against scripted step results."""

from __future__ import annotations

import random

from result import Err, Ok

from mallowvalve import settings
from mallowvalve.configuration.items import HostRoute, Limits, ServiceItem, WeightedService
from mallowvalve.control.replica import Replica
from mallowvalve.control.state import ReplicatedState, Seat
from mallowvalve.metrics import Counts
from mallowvalve.proxy.host_forwarder import HostForwarder
from mallowvalve.proxy.host_upstreams import HostUpstreams
from mallowvalve.proxy.response_parser import ResponseParser
from mallowvalve.proxy.steps import (
    AwaitResponse,
    ClientCheck,
    ClientLeft,
    ClientRequest,
    Exchange,
    OpenConnection,
    ReadBody,
    UpstreamResponse,
    WaitForCapacity,
)
from mallowvalve.raft.messages import GroupId
from mallowvalve.types import Address, Locality
from mallowvalve.upstreams.registry import Upstream

HERE, NEXT, FAR = Locality("eu", "eu-a"), Locality("eu", "eu-b"), Locality("us", "us-a")
ME = Address("10.0.0.1", 1)
SETTINGS = {
    "name": "f",
    "locality": "eu/eu-a",
    "transport": str(ME),
    "web": "10.0.0.1:2",
    "serve_on": True,
    "terms": {"seal": "X-Seal"},
    "budget": {"ratio": 0.2, "span": 10.0, "slack": 20.0},
    "cold": {"over": 1.5, "slack": 5.0},
}


class FakeItems:
    def __init__(self):
        self.revision, self.hosts, self.services, self.limits = 1, {}, {}, Limits(version=1)

    def find(self, host: str, path: str) -> HostRoute | None:
        matching = [r for r in self.hosts.get(host, []) if path.startswith(r.prefix)]
        return max(matching, key=lambda r: len(r.prefix), default=None)


class FakeRegistry:
    def __init__(self):
        self.rows, self.revision = {}, 0


class HostBench:
    """A HostForwarder with fake items and a fake registry, and a clock that the test sets."""

    def __init__(self, now=lambda: 0.0, proxies: int = 1, **overrides):
        checked = settings.check("proxy", SETTINGS | overrides).ok_value
        self.now = now
        self.replica = Replica(ME, 7, "proxy", HERE, lambda r: None)
        self.replica.group, self.replica.state = GroupId(1, "g"), ReplicatedState(1)
        state = self.state = self.replica.state
        state.items, state.registry = FakeItems(), FakeRegistry()
        state.settings.roster = {str(Address("10.0.0.1", 1 + i)): Seat(7, HERE) for i in range(proxies)}
        self.replica._confirmed_at = now()
        self.hosts = HostUpstreams(self.replica, checked, random.Random(1), now)
        self.forwarder = HostForwarder(self.replica, self.hosts, checked, Counts(), now, random.Random(2))
        self.route("r", "/r/", "read", service="s", tries=2)
        self.route("o", "/o/", "try", service="s", tries=2)
        self.route("h", "/h/", "try", service="s", tries=2, homes=["us"])
        self.service("s")

    def route(self, name: str, prefix: str, kind: str, **fields) -> None:
        hosts = self.state.items.hosts
        added = HostRoute(
            **{"limit_ms": 1000.0, "aim_ms": 400.0, **fields},
            name=name,
            version=1,
            host="h.example",
            prefix=prefix,
            kind=kind,
        )
        hosts["h.example"] = [route for route in hosts.get("h.example", []) if route.name != name] + [added]

    def drop(self, name: str) -> None:
        hosts = self.state.items.hosts
        hosts["h.example"] = [route for route in hosts["h.example"] if route.name != name]

    def service(self, name: str, **fields) -> None:
        self.state.items.services[name] = ServiceItem(name=name, version=1, **fields)

    def upstream(
        self,
        name: str = "u0",
        service: str = "s",
        at: Locality = HERE,
        port: int = 100,
        slots: int = 6,
        state: str = "ready",
        cold: int = 0,
    ):
        upstream = Upstream(name, service, Address("127.0.0.1", port), at, slots, state, 0, 0, cold)
        self.state.registry.rows[name] = upstream
        self.state.registry.revision += 1
        return upstream

    def evacuate(self, *zones: str) -> None:
        current = self.state.settings
        current.evacuated = dict.fromkeys(zones, 1)
        current.revision += 1


class FakeHostConnection:
    def __init__(self, upstream):
        self.heartbeat, self.since, self.life, self.closed = upstream, 0.0, 4.0, False

    def close(self):
        self.closed = True

    def stale(self):
        return False


def make_request(
    target: str = "/r/1", method: str = "GET", request_id: str = "a1", length: int | None = None, **extra: str
) -> ClientRequest:
    headers = {"host": "h.example:80", "mallow-ask": request_id, **{k.replace("_", "-"): v for k, v in extra.items()}}
    return ClientRequest(method, target, headers, "c", length, list(headers.items()))


def make_response(status: int = 200, reusable: bool = True, body: bytes = b"ok", **headers: str) -> UpstreamResponse:
    header_map = {k.replace("_", "-"): v for k, v in headers.items()}
    if status == 200:
        header_map.setdefault("x-seal", "1")
    return UpstreamResponse(status, list(header_map.items()), body, len(body), None, reusable, header_map)


NOT_RUN = {"mallow_not_run": "1"}


class HostScenario:
    """Performs the steps of requests: `results` are the results of successive exchanges.

    `actions` has functions by the lower-case class name of a step; each runs once, after such a step.
    """

    def __init__(self, results=(), upstreams=2, **overrides):
        self.now = 0.0
        self.bench = HostBench(lambda: self.now, **overrides)
        for i in range(upstreams):
            self.bench.upstream(f"u{i}", port=100 + i)
        self.results, self.actions, self.steps, self.open_results = list(results), {}, [], []
        self.late_results, self.client_checks = [], []

    def run(self, request):
        steps, result = self.bench.forwarder.handle(request), None
        try:
            while True:
                step = steps.send(result)
                self.steps.append(step)
                result = self.perform(step)
                action = self.actions.pop(type(step).__name__.lower(), None)
                if action is not None:
                    action(self)
        except StopIteration as end:
            states = self.bench.hosts.upstreams.values()
            assert all(state.in_flight == 0 for state in states) and self.bench.hosts.waiting == {}
            return end.value

    def perform(self, step):
        match step:
            case ReadBody():
                return Ok(b"")
            case OpenConnection():
                return self.open_results.pop(0) if self.open_results else Ok(FakeHostConnection(step.heartbeat))
            case Exchange():
                self.now += 0.001
                result = self.results.pop(0) if self.results else make_response()
                return result if isinstance(result, Err | ClientLeft) else Ok(result)
            case AwaitResponse():
                return self.late_results.pop(0) if self.late_results else Ok(make_response())
            case ClientCheck():
                return self.client_checks.pop(0) if self.client_checks else None
            case WaitForCapacity():
                self.now = step.end
                return False

    def exchanges(self) -> list[Exchange]:
        return [step for step in self.steps if isinstance(step, Exchange)]

    def count(self, kind) -> int:
        return sum(isinstance(step, kind) for step in self.steps)

    def targets(self) -> list[str]:
        """Returns the instance that each exchange was sent to."""
        return [exchange.connection.heartbeat.instance for exchange in self.exchanges()]


def feed_parser(*parts: bytes, request_id: str = "a1", method: str = "GET") -> ResponseParser:
    reader = ResponseParser(method, "mallow-ask", request_id)
    for part in parts:
        reader.receive(part)
    return reader


def split_part(name: str, weight: float) -> WeightedService:
    return WeightedService(name, weight)
