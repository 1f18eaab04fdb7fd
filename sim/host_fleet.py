"""Proxies of host routes in virtual time: the product's own request machines, simulated upstreams, links and clients."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec
from result import Err, Ok

from mallowvalve.configuration.items import Amend, Item, Items
from mallowvalve.control.replica import Replica
from mallowvalve.control.state import ReplicatedState, Seat
from mallowvalve.metrics import Counts
from mallowvalve.node import DRAIN_GRACE_RATIOS
from mallowvalve.proxy.host_forwarder import HostForwarder
from mallowvalve.proxy.host_upstreams import HostUpstreams
from mallowvalve.proxy.steps import (
    CLIENT_LEFT,
    AwaitResponse,
    ClientCheck,
    ClientRequest,
    Exchange,
    OpenConnection,
    ProxyResponse,
    UpstreamResponse,
    WaitForCapacity,
)
from mallowvalve.raft.messages import GroupId
from mallowvalve.settings import check
from mallowvalve.types import Address, Locality
from mallowvalve.upstreams.registry import Upstream
from sim.world import World

LAG = 0.002
GRACE = 6.0
RESTART = 0.5
SETTINGS_AFTER = 0.3
HOST = "h.example"
NOT_RUN_HEADER = "mallow-not-run"


class Run(msgspec.Struct):
    """A request at an upstream: `how` it ended there is `done`, `cut` (its connection was closed) or `broke`."""

    upstream: str
    began: float
    ended: float | None = None
    how: str = ""


class Call(msgspec.Struct):
    """One try of a client, with its fate. Times in virtual seconds."""

    id: str
    kind: str
    limit: float
    sent: float
    proxy: str = ""
    told_at: float | None = None
    read: float | None = None
    left: float | None = None
    left_seen: bool = False
    on_left: Callable[[], None] | None = None
    reply: ProxyResponse | None = None
    answered: float | None = None
    closed: str = ""
    runs: list[Run] = msgspec.field(default_factory=list)


class SimUpstream:
    """Works on so many requests at once, and queues as many; the rest it turns away. `hangs` and `breaks` are shares."""

    def __init__(self, world: World, up: Upstream, work: float):
        self.world, self.up, self.work = world, up, work
        self.slow, self.hangs, self.breaks, self.dark = 1.0, 0.0, 0.0, False
        self.running = 0

    def begin(self, call: Call, link: SimLink) -> None:
        if self.dark:
            return
        if self.running >= 2 * self.up.slots:
            self.world.after(LAG, lambda: link.arrived(Ok(_answer(503, b"", **{NOT_RUN_HEADER: "1"}))))
            return
        self.running += 1
        run = Run(self.up.instance, self.world.now)
        call.runs.append(run)
        link.run = run
        if link.closed:
            self.world.after(LAG, lambda: self.cut(run))
        rng = self.world.rng
        wait = self.work * self.slow * rng.uniform(0.5, 1.5) * max(1.0, self.running / self.up.slots)
        if rng.random() < self.hangs:
            wait = 60.0
        broken = rng.random() < self.breaks
        self.world.after(wait, lambda: self._finish(call, link, run, broken))

    def _finish(self, call: Call, link: SimLink, run: Run, broken: bool) -> None:
        if run.ended is not None:
            return
        self._end(run, "broke" if broken else "done")
        r = Err("broken: reset") if broken else Ok(_answer(200, call.id.encode(), **{"x-seal": "1"}))
        self.world.after(LAG, lambda: link.arrived(r))

    def cut(self, run: Run) -> None:
        """Its connection was closed: the work ends."""
        if run.ended is None:
            self._end(run, "cut")

    def _end(self, run: Run, how: str) -> None:
        run.ended, run.how = self.world.now, how
        self.running -= 1


class SimLink:
    """A connection to an upstream, as `proxy.host_connection.HostConnection` is for the daemon."""

    def __init__(self, node: HostProxy, upstream: SimUpstream):
        self.node, self.upstream, self.heartbeat = node, upstream, upstream.up
        self.since, self.life, self.closed = node.now, 60.0, False
        self.run: Run | None = None
        self.came = self.then = None

    def exchange(self, call: Call, end: float, then: Callable) -> None:
        self.run = self.came = None
        self.node.world.after(LAG, lambda: self.upstream.begin(call, self))
        self.receive(end, then)

    def receive(self, end: float, then: Callable) -> None:
        if self.came is not None:
            came, self.came = self.came, None
            return then(came)
        self.then = then
        return self.node.world.after(max(0.0, end - self.node.now), lambda: self._over(then))

    def _over(self, then: Callable) -> None:
        if self.then is then:
            self.then = None
            then(Err("limit"))

    def arrived(self, r) -> None:
        if self.closed:
            return
        then, self.then = self.then, None
        if then is None:
            self.came = r
        else:
            then(r)

    def close(self) -> None:
        self.closed = True
        if self.run is not None:
            self.node.world.after(LAG, lambda run=self.run: self.upstream.cut(run))

    def stale(self) -> bool:
        return self.came is not None


class HostProxy:
    """One machine's proxy through its lives; a stop follows the daemon's own times."""

    def __init__(self, world: World, index: int, locality: Locality, upstreams: list[SimUpstream], items: Items):
        self.world, self.name, self.locality, self.items = world, f"proxy-{index}", locality, items
        self.upstreams = {u.up.instance: u for u in upstreams}
        self.addr = Address(f"10.0.{index // 250}.{index % 250 + 1}", 1)
        self.told_at: float | None = None
        self.signalled_at: float | None = None
        self.sluggish = 0.0
        self.listens, self.life, self.open = False, 0, {}
        self.busy_at_end: list[str] = []
        self.start()

    @property
    def now(self) -> float:
        return self.world.now

    def start(self) -> None:
        self.life += 1
        self.open, self.told_at, self.signalled_at = {}, None, None
        raw = {
            "name": self.name,
            "locality": str(self.locality),
            "transport": str(self.addr),
            "web": f"{self.addr.host}:2",
            "serve_on": True,
            "terms": {"seal": "X-Seal"},
            "budget": {"ratio": 0.2, "span": 10.0, "slack": 60.0},
        }
        settings = check("proxy", raw).ok_value
        rng = random.Random(self.world.rng.random())
        replica = Replica(self.addr, self.life, "proxy", self.locality, lambda r: None)
        self.hosts = HostUpstreams(replica, settings, rng, lambda: self.now)
        self.tries = HostForwarder(replica, self.hosts, settings, Counts(), lambda: self.now, rng)
        self.tries.admission.serves_until = self.serves_until
        self.world.after(SETTINGS_AFTER, lambda: self._settle(replica))

    def _settle(self, replica: Replica) -> None:
        state = ReplicatedState(1)
        state.items = self.items
        state.settings.roster = {str(self.addr): Seat(self.life, self.locality)}
        for u in self.upstreams.values():
            state.registry.rows[u.up.instance] = u.up
        state.registry.revision = 1
        replica.group, replica.state = GroupId(1, "g"), state
        self.listens = self.told_at is None

    def serves_until(self) -> float | None:
        linger, limit = DRAIN_GRACE_RATIOS["proxy"]
        return None if self.told_at is None else self.told_at + GRACE * (linger + limit)

    def stop(self) -> None:
        """SIGTERM; a machine without time to spare notices it late."""
        if self.signalled_at is not None or not self.listens:
            return
        self.signalled_at = self.now
        self.world.after(self.sluggish * self.world.rng.random(), lambda life=self.life: self._notice(life))

    def _notice(self, life: int) -> None:
        if life != self.life:
            return
        self.told_at = self.now
        self.world.after(GRACE * DRAIN_GRACE_RATIOS["proxy"][0], lambda: self._close(life))

    def _close(self, life: int) -> None:
        if life == self.life:
            self.listens = False
            self._drain(life)

    def _drain(self, life: int) -> None:
        if self.open and self.now < self.serves_until():
            self.world.after(0.02, lambda: self._drain(life))
            return
        for call, steps in list(self.open.values()):
            steps.close()
            call.closed, call.answered, call.told_at = "cut by the stop", self.now, self.signalled_at
        self.open.clear()
        self.busy_at_end += [s.upstream.instance for s in self.hosts.upstreams.values() if s.in_flight]
        self.life += 1
        self.world.after(RESTART, self.start)

    def take(self, call: Call, answer: Callable[[Call], None]) -> None:
        """A whole request has been read off a client's connection."""
        call.proxy, call.read, call.told_at = self.name, self.now, self.signalled_at
        method = "GET" if call.kind == "read" else "POST"
        headers = {"host": HOST, "mallow-ask": call.id, "mallow-limit": str(int(call.limit * 1000))}
        length = 0 if call.kind == "try" else None
        steps = self.tries.handle(ClientRequest(method, f"/{call.kind}/1", headers, "c", length, list(headers.items())))
        self.open[call.id] = call, steps
        self._drive(call, steps, None, answer, self.life)

    def client_left(self, call: Call) -> None:
        """The end of the client's connection has arrived."""
        call.left_seen = True
        if call.on_left is not None:
            call.on_left()

    def _drive(self, call: Call, steps, got, answer, life: int) -> None:
        if life != self.life or call.id not in self.open:
            return
        try:
            s = steps.send(got)
        except StopIteration as e:
            del self.open[call.id]
            call.reply, call.answered, call.told_at = e.value, self.now, self.signalled_at
            answer(call)
            return
        waiting = [True]

        def go(result) -> None:
            if waiting:
                waiting.clear()
                call.on_left = None
                self._drive(call, steps, result, answer, life)

        match s:
            case ClientCheck():
                go(CLIENT_LEFT if self.sees_left(call) else None)
            case Exchange() | AwaitResponse():
                if s.stop_if_client_leaves:
                    call.on_left = lambda: go(CLIENT_LEFT)
                    if self.sees_left(call):
                        self.world.after(0.0, call.on_left)
                if isinstance(s, Exchange):
                    s.connection.exchange(call, s.end, go)
                else:
                    s.connection.receive(s.end, go)
            case OpenConnection():
                up = self.upstreams[s.heartbeat.instance]
                wait = max(0.0, s.end - self.now) if up.dark else LAG
                opened = Err("unreachable") if up.dark else Ok(SimLink(self, up))
                self.world.after(wait, lambda: go(opened))
            case WaitForCapacity():
                self.world.after(max(0.0, s.end - self.now), lambda: go(False))

    def sees_left(self, call: Call) -> bool:
        return call.left_seen


def _answer(status: int, body: bytes, **said: str) -> UpstreamResponse:
    return UpstreamResponse(status, list(said.items()), body, len(body), None, True, dict(said))


def items(kinds: dict[str, float], tries: int) -> Items:
    """Routes `/read/` and `/try/` with their limits (s) before one service."""
    found = Items()
    service = {"name": "s", "version": 1}
    rows = [Item("services", "s", 1, msgspec.json.encode(service))]
    for kind, limit in kinds.items():
        route = {
            "name": kind,
            "version": 1,
            "host": HOST,
            "prefix": f"/{kind}/",
            "kind": kind,
            "limit_ms": limit * 1000,
            "aim_ms": limit * 400,
            "service": "s",
            "tries": tries,
        }
        rows.append(Item("routes", kind, 1, msgspec.json.encode(route)))
    problems = found.apply(Amend(rows), 1)
    if problems:
        raise ValueError(problems[0])
    return found
