"""What every daemon has: one process of the fleet with its membership, transport, upstreams and pages."""

from __future__ import annotations

import contextlib
import os
import random
import signal
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any, cast

import gevent
import msgspec
from gevent.event import Event
from result import Err, Ok, Result

from mallowvalve import clock, web
from mallowvalve.fault import Faults
from mallowvalve.finding import Finding, Findings
from mallowvalve.membership import formula
from mallowvalve.membership.detector import Membership, initial_record
from mallowvalve.membership.drain import DrainSequence
from mallowvalve.membership.members import drain_conditions
from mallowvalve.membership.task import STATE_NAMES, MembershipTask
from mallowvalve.membership.wire import MemberRecord
from mallowvalve.metrics import Counts, change, recent
from mallowvalve.reload import Reload
from mallowvalve.settings import Settings
from mallowvalve.transport.task import Transport
from mallowvalve.types import Address, Locality
from mallowvalve.upstreams.board import Heartbeat, HeartbeatState
from mallowvalve.upstreams.task import HeartbeatTask

if TYPE_CHECKING:
    import falcon


PAGES = 64
"""Connections that the server of the pages holds."""

MARGIN = 0.15
"""The part of the grace of a stop that is left unused."""

STOP_SHARES, OTHERS_STOP_SHARES = {"proxy": (0.5, 0.4)}, (0.1, 0.2)
"""The parts of the grace in which a stopping process still takes connections, and after it lets answers finish."""

COUNT_LIMIT = 1 << 62
BOOT_BITS = 62
OK = 200
UNAVAILABLE = 503


class HeartbeatDoc(msgspec.Struct):
    """A heartbeat as an upstream posts it; see `upstreams.board.Heartbeat`."""

    service: str
    instance: str
    incarnation: int
    sequence: int
    state: str
    locality: str
    address: str
    usage: float = 0.0


def read_heartbeat(doc: HeartbeatDoc) -> Result[Heartbeat, Findings]:
    """The heartbeat, or every finding."""
    found: Findings = []
    locality = Locality.read(doc.locality)
    address = Address.read(doc.address)
    if isinstance(locality, Err):
        found.append(Finding("locality", locality.err_value))
    if isinstance(address, Err):
        found.append(Finding("address", address.err_value))
    if doc.state not in ("ready", "leaving", "gone"):
        found.append(Finding("state", "want ready, leaving or gone"))
    for place in ("incarnation", "sequence"):
        if not 0 <= getattr(doc, place) < COUNT_LIMIT:
            found.append(Finding(place, "out of range"))
    if found:
        return Err(found)
    return Ok(
        Heartbeat(
            doc.service,
            doc.instance,
            doc.incarnation,
            doc.sequence,
            doc.usage,
            cast(HeartbeatState, doc.state),
            locality.unwrap(),
            address.unwrap(),
        )
    )


class Node:
    """What every daemon has: membership, transport, upstreams' heartbeats, and its pages.

    `front` answers beside the pages. `late` keeps the server of the web address for the daemon to start.
    """

    __slots__ = (
        "settings",
        "boot",
        "counts",
        "faults",
        "membership",
        "transport",
        "heartbeats",
        "app",
        "server",
        "pages",
        "stopping",
        "_stack",
        "_gauges",
        "_allowed",
        "late",
        "_told_at",
    )

    def __init__(
        self,
        settings: Settings,
        remembered: Sequence[Address] = (),
        faults: Faults | None = None,
    ) -> None:
        """A process by its settings; `remembered` peers are asked as seeds are."""
        self.settings = settings
        self.boot = random.SystemRandom().getrandbits(BOOT_BITS)
        self.counts = Counts()
        self.faults = faults or Faults(settings.faults, settings.name)
        self.membership = MembershipTask(self._membership(remembered), self.faults)
        self.transport = Transport(settings.transport, settings.fleet, self.counts, self.faults)
        self.heartbeats = HeartbeatTask(self.membership, self.transport)
        self.app = web.LazyApp()
        self.server = web.Server(settings.web, self.app, self.counts, settings.connections)
        self.pages = (
            web.Server(settings.pages, self.app, self.counts, PAGES) if settings.pages else contextlib.nullcontext()
        )
        self.stopping = Event()
        self._gauges: dict[str, Callable[[], Any]] = {}
        self._allowed: Callable[[str], bool] = lambda service: True
        self.late = False
        self._told_at = clock.now()

    def _membership(self, remembered: Sequence[Address]) -> Membership:
        its = self.settings
        detector = its.detector
        return Membership(
            initial_record(its.transport, self.boot, its.role, its.name, its.locality, its.web),
            its.fleet,
            [*its.seeds, *remembered],
            random.Random(self.boot),
            detector.period or formula.period(detector.detect, detector.fail),
            detector.helpers or formula.helpers(detector.mistake, detector.fail, detector.loss),
            detector.round_trip,
        )

    def __enter__(self) -> Node:
        """Start every part; where one fails, those before it are stopped again."""
        self._stack = contextlib.ExitStack()
        self.app.plain_routes["/-/ready"] = self._said_ready
        self.app.add_route("/-/counts", CountsView(self))
        self.app.add_route("/-/metrics", Metrics(self))
        self.app.add_route("/-/nodes", Nodes(self))
        self.app.add_route("/-/upstreams", Upstreams(self))
        self.app.add_route("/-/heartbeats", Heartbeats(self))
        self.app.add_route("/-/changes", Changes(self))
        parts = [
            self.faults,
            self.transport,
            self.membership,
            *([self.heartbeats] if self.settings.heartbeats == "told" else []),
            self.pages,
            *([] if self.late else [self.server]),
            Reload(self.settings, self.renew, self.counts),
        ]
        with self._stack as stack:
            for part in parts:
                stack.enter_context(part)
            for signum in (signal.SIGTERM, signal.SIGINT):
                gevent.signal_handler(signum, self._told_to_stop)
            self._stack = stack.pop_all()
        change("started", role=self.settings.role, name=self.settings.name, pid=os.getpid())
        return self

    def __exit__(self, *raised: Any) -> None:
        """Stop every part, the last started first."""
        change("stopped", role=self.settings.role, name=self.settings.name)
        self._stack.__exit__(*raised)

    def renew(self, settings: Settings) -> None:
        """Takes in new seeds; remembered peers stay asked."""
        old = self.settings
        self.settings = settings
        kept = [s for s in self.membership.membership.seeds if s not in old.seeds]
        self.membership.membership.seeds = [s for s in [*settings.seeds, *kept] if s != settings.transport]

    @property
    def front(self) -> Any:
        """The WSGI callable that answers at the web address."""
        return self.server.application

    @front.setter
    def front(self, answer: Any) -> None:
        """A callable in place of the pages, which then have an address of their own."""
        self.server.application = answer

    def gauge(self, name: str, read: Callable[[], Any]) -> None:
        """`read` is asked each time somebody looks at the counters: a number, a text, or a table of numbers."""
        self._gauges[name] = read

    def gauges(self) -> dict[str, Any]:
        """What the gauges show now."""
        return {name: read() for name, read in self._gauges.items()}

    def counted(self) -> dict[str, int]:
        """All counters of this process, by name."""
        machine = self.membership.membership.counts.snapshot()
        return self.counts.snapshot() | machine | self.heartbeats.board.counts.snapshot()

    def allow(self, test: Callable[[str], bool]) -> None:
        """Heartbeats of a service are taken only where `test` says so."""
        self._allowed = test

    def allowed(self, service: str) -> bool:
        """Whether the configuration allows heartbeats of a service."""
        return self._allowed(service)

    def run(
        self,
        ready: Callable[[], object],
        leaving: Callable[[], object] = lambda: None,
        finish: Callable[[float], object] = lambda limit: None,
    ) -> None:
        """Runs until the process is told to stop; then drains, and lets `finish` take what is left of the grace (s)."""
        before = None
        while not self.stopping.wait(timeout=0.2 if before else 0.05):
            now = bool(ready())
            if now != before:
                change("ready" if now else "unready", name=self.settings.name)
                before = now
            self.membership.ready(now)
        end = self._told_at + self.settings.polite * (1 - MARGIN)
        self.membership.leave(final=False)
        leaving()
        linger, last = STOP_SHARES.get(self.settings.role, OTHERS_STOP_SHARES)
        polite = self.settings.polite
        wait = self._accept_while_needed if self.settings.role in STOP_SHARES else None
        self.server.drain(polite * linger, polite * last, self._told_at, wait)
        finish(max(0.0, end - clock.now()))
        self.membership.leave(final=True)

    def _accept_while_needed(self, earliest: float, latest: float) -> None:
        """Returns when the door may close; the others hear of it before."""
        closing = DrainSequence(earliest, latest, random.Random())
        me = self.membership.membership.me
        while True:
            step = closing.step(clock.now(), drain_conditions(me, self.membership))
            self.membership.accept(step.accepts and me.ready)
            if step.closed:
                return
            gevent.sleep(step.wait)

    def _told_to_stop(self) -> None:
        if not self.stopping.is_set():
            self._told_at = clock.now()
            self.stopping.set()

    def is_ready(self) -> bool:
        """Whether this process takes work."""
        return self.membership.membership.me.ready and not self.stopping.is_set()

    def _said_ready(self) -> tuple[int, object]:
        ready = self.is_ready()
        return OK if ready else UNAVAILABLE, {"ready": ready, "role": self.settings.role, "name": self.settings.name}


class View:
    """A page of a node."""

    def __init__(self, node: Node) -> None:
        """Show `node`."""
        self.node = node


class CountsView(View):
    """`/-/counts`: counters and gauges as JSON."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """All of them, by name."""
        web.send_json(resp, {"counts": self.node.counted(), "gauges": self.node.gauges()})


class Metrics(View):
    """`/-/metrics`: the same in the text format of Prometheus; its library is loaded with the first look."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """All of them, by name."""
        from mallowvalve.exposition import CONTENT_TYPE, exposition

        resp.content_type = CONTENT_TYPE
        resp.data = exposition(self.node.counted(), self.node.gauges())


class Nodes(View):
    """`/-/nodes`: the members of the fleet as this node sees them."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Members by transport address."""
        members = sorted(self.node.membership.view(), key=lambda record: record.addr)
        web.send_json(resp, {"nodes": [self._row(record) for record in members]})

    def _row(self, record: MemberRecord) -> dict[str, object]:
        return {
            "name": record.name,
            "role": record.role,
            "transport": str(record.addr),
            "web": str(record.web),
            "locality": str(record.locality),
            "status": STATE_NAMES[record.state],
            "ready": record.ready,
            "incarnation": record.incarnation,
        }


class Changes(View):
    """`/-/changes`: the last changes of state of this process."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Those with the word `about`, or all."""
        web.send_json(resp, {"name": self.node.settings.name, "changes": recent.about(req.get_param("about") or "")})


class Upstreams(View):
    """`/-/upstreams`: the upstreams that this node heard of."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Upstreams by name."""
        web.send_json(resp, {"upstreams": [self._row(*row) for row in self.node.heartbeats.board.all(clock.now())]})

    def _row(self, heartbeat: Heartbeat, status: str, age: float) -> dict[str, object]:
        return {
            "service": heartbeat.service,
            "instance": heartbeat.instance,
            "incarnation": heartbeat.incarnation,
            "status": status,
            "usage": heartbeat.usage,
            "locality": str(heartbeat.locality),
            "address": str(heartbeat.address),
            "silent_ms": int(age * 1000),
        }


class Heartbeats(View):
    """`/-/heartbeats`: where upstreams post their heartbeats."""

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Take one in; 400 with findings, 403 where no configuration allows its service."""
        doc = web.read_json(HeartbeatDoc, req, resp)
        if doc is None:
            return
        read = read_heartbeat(doc)
        if isinstance(read, Err):
            self.node.counts.add("heartbeat_refused")
            web.reject_early(req, resp, 400, read.err_value)
            return
        heartbeat = read.ok_value
        if not self.node.allowed(heartbeat.service):
            self.node.counts.add("heartbeat_unallowed")
            web.reject_early(req, resp, 403, [Finding("service", "no configuration allows it")], 5)
            return
        web.send_json(resp, {"news": self.node.heartbeats.hear(heartbeat)})
