from __future__ import annotations

import contextlib
import os
import random
import signal
from typing import TYPE_CHECKING

import gevent
import msgspec
from gevent.event import Event
from result import Err, Ok, Result

from mallowvalve import clock, web
from mallowvalve.fault import Faults
from mallowvalve.finding import Finding, Findings
from mallowvalve.membership import formula
from mallowvalve.membership.detector import Membership, fresh_record
from mallowvalve.membership.task import NAMES, MembershipTask
from mallowvalve.metrics import Counts, change, recent
from mallowvalve.reload import Reload
from mallowvalve.settings import Settings
from mallowvalve.transport.task import Transport
from mallowvalve.types import Address, Locality
from mallowvalve.upstreams.board import Heartbeat
from mallowvalve.upstreams.task import HeartbeatTask

if TYPE_CHECKING:
    import falcon


PAGES = 64
MARGIN = 0.15


class HeartbeatDoc(msgspec.Struct):
    service: str
    instance: str
    incarnation: int
    sequence: int
    state: str
    locality: str
    address: str
    usage: float = 0.0


def read_heartbeat(d: HeartbeatDoc) -> Result[Heartbeat, Findings]:
    found = []
    loc, addr = Locality.read(d.locality), Address.read(d.address)
    if loc.is_err():
        found.append(Finding("locality", loc.err_value))
    if addr.is_err():
        found.append(Finding("address", addr.err_value))
    if d.state not in ("ready", "leaving", "gone"):
        found.append(Finding("state", "want ready, leaving or gone"))
    for f in ("incarnation", "sequence"):
        if not 0 <= getattr(d, f) < 1 << 62:
            found.append(Finding(f, "out of range"))
    if found:
        return Err(found)
    return Ok(
        Heartbeat(d.service, d.instance, d.incarnation, d.sequence, d.usage, d.state, loc.ok_value, addr.ok_value)
    )


class Node:
    """What every daemon has: membership, transport, upstreams' heartbeats, and its pages; `front` answers beside the pages."""

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
    )

    def __init__(
        self,
        settings: Settings,
        remembered: list[Address] = (),
        faults: Faults | None = None,
    ):
        self.settings = settings
        self.boot = random.SystemRandom().getrandbits(62)
        self.counts = Counts()
        self.faults = faults or Faults(settings.faults, settings.name)
        d = settings.detector
        me = fresh_record(settings.transport, self.boot, settings.role, settings.name, settings.locality, settings.web)
        self.membership = MembershipTask(
            Membership(
                me,
                settings.fleet,
                [*settings.seeds, *remembered],
                random.Random(self.boot),
                d.period or formula.period(d.detect, d.fail),
                d.helpers or formula.helpers(d.mistake, d.fail, d.loss),
                d.round_trip,
            ),
            self.faults,
        )
        self.transport = Transport(settings.transport, settings.fleet, self.counts, self.faults)
        self.heartbeats = HeartbeatTask(self.membership, self.transport)
        self.app = web.Later()
        self.server = web.Server(settings.web, self.app, self.counts, settings.connections)
        self.pages = (
            web.Server(settings.pages, self.app, self.counts, PAGES) if settings.pages else contextlib.nullcontext()
        )
        self.stopping = Event()
        self._gauges: dict[str, object] = {}
        self._allowed = lambda service: True
        self.late = False

    def __enter__(self) -> Node:
        self._stack = contextlib.ExitStack()
        self.app.plain["/-/ready"] = self._said_ready
        self.app.add_route("/-/counts", CountsView(self))
        self.app.add_route("/-/nodes", Nodes(self))
        self.app.add_route("/-/upstreams", Upstreams(self))
        self.app.add_route("/-/heartbeats", Heartbeats(self))
        self.app.add_route("/-/changes", Changes(self))
        with self._stack as s:
            reload = Reload(self.settings, self.renew, self.counts)
            told = [self.heartbeats] if self.settings.heartbeats == "told" else []
            for part in (
                self.faults,
                self.transport,
                self.membership,
                *told,
                self.pages,
                *([] if self.late else [self.server]),
                reload,
            ):
                s.enter_context(part)
            for sig in (signal.SIGTERM, signal.SIGINT):
                gevent.signal_handler(sig, self.stopping.set)
            self._stack = s.pop_all()
        change("started", role=self.settings.role, name=self.settings.name, pid=os.getpid())
        return self

    def __exit__(self, *a) -> None:
        change("stopped", role=self.settings.role, name=self.settings.name)
        self._stack.__exit__(*a)

    def renew(self, settings: Settings) -> None:
        """Takes in new seeds; remembered peers stay asked."""
        old, self.settings = self.settings, settings
        kept = [s for s in self.membership.membership.seeds if s not in old.seeds]
        self.membership.membership.seeds = [s for s in [*settings.seeds, *kept] if s != settings.transport]

    @property
    def front(self):
        return self.server.application

    @front.setter
    def front(self, answer) -> None:
        """A WSGI callable that answers at the web address in place of the pages, which then have one of their own."""
        self.server.application = answer

    def gauge(self, name: str, read) -> None:
        self._gauges[name] = read

    def gauges(self) -> dict[str, object]:
        return {k: read() for k, read in self._gauges.items()}

    def allow(self, test) -> None:
        self._allowed = test

    def allowed(self, service: str) -> bool:
        return self._allowed(service)

    def run(self, ready, leaving=lambda: None, finish=lambda limit: None) -> None:
        """Runs until the process is told to stop; then drains, and lets `finish` take what is left of the grace (s)."""
        before = None
        while not self.stopping.wait(timeout=0.2 if before else 0.05):
            now = bool(ready())
            if now != before:
                change("ready" if now else "unready", name=self.settings.name)
                before = now
            self.membership.ready(now)
        end = clock.now() + self.settings.polite * (1 - MARGIN)
        self.membership.leave(final=False)
        leaving()
        linger, last = (0.5, 0.4) if self.settings.role == "proxy" else (0.1, 0.2)
        self.server.drain(self.settings.polite * linger, self.settings.polite * last)
        finish(max(0.0, end - clock.now()))
        self.membership.leave(final=True)

    def is_ready(self) -> bool:
        return self.membership.membership.me.ready and not self.stopping.is_set()

    def _said_ready(self) -> tuple[int, object]:
        ok = self.is_ready()
        return 200 if ok else 503, {"ready": ok, "role": self.settings.role, "name": self.settings.name}


class View:
    def __init__(self, node: Node):
        self.node = node


class CountsView(View):
    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        n = self.node
        counts = n.counts.snapshot() | n.membership.membership.counts.snapshot() | n.heartbeats.board.counts.snapshot()
        web.say(resp, {"counts": counts, "gauges": n.gauges()})


class Nodes(View):
    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        web.say(
            resp,
            {
                "nodes": [
                    {
                        "name": r.name,
                        "role": r.role,
                        "transport": str(r.addr),
                        "web": str(r.web),
                        "locality": str(r.locality),
                        "status": NAMES[r.state],
                        "ready": r.ready,
                        "incarnation": r.incarnation,
                    }
                    for r in sorted(self.node.membership.view(), key=lambda r: r.addr)
                ]
            },
        )


class Changes(View):
    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        web.say(resp, {"name": self.node.settings.name, "changes": recent.about(req.get_param("about") or "")})


class Upstreams(View):
    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        web.say(
            resp,
            {
                "upstreams": [
                    {
                        "service": b.service,
                        "instance": b.instance,
                        "incarnation": b.incarnation,
                        "status": h,
                        "usage": b.usage,
                        "locality": str(b.locality),
                        "address": str(b.address),
                        "silent_ms": int(age * 1000),
                    }
                    for b, h, age in self.node.heartbeats.board.all(clock.now())
                ]
            },
        )


class Heartbeats(View):
    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        d = web.read_as(HeartbeatDoc, req, resp)
        if d is None:
            return
        r = read_heartbeat(d)
        if r.is_err():
            self.node.counts.add("heartbeat_refused")
            return web.turn_away(req, resp, 400, r.err_value)
        if not self.node.allowed(r.ok_value.service):
            self.node.counts.add("heartbeat_unallowed")
            return web.turn_away(req, resp, 403, [Finding("service", "no configuration allows it")], 5)
        fresh = self.node.heartbeats.hear(r.ok_value)
        web.say(resp, {"news": fresh})
