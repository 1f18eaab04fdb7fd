"""The common part of all daemons: membership, transport, upstreams' heartbeats and HTTP resources."""

from __future__ import annotations

import contextlib
import os
import random
import signal
from collections.abc import Callable, Sequence
from typing import Any

import gevent
from gevent.event import Event

from mallowvalve import clock, web
from mallowvalve.body_budget import BodyBudget
from mallowvalve.fault import InjectedFaults
from mallowvalve.log_queue import lost_lines
from mallowvalve.membership import formula
from mallowvalve.membership.detector import Membership, initial_record
from mallowvalve.membership.drain import DrainSequence
from mallowvalve.membership.members import drain_conditions
from mallowvalve.membership.task import MembershipTask
from mallowvalve.metrics import Counts, log_event
from mallowvalve.node_pages import add_pages
from mallowvalve.reload import SettingsReloader
from mallowvalve.settings import Settings
from mallowvalve.start_wait import StartWait
from mallowvalve.transport.task import Transport
from mallowvalve.types import Address
from mallowvalve.upstreams.task import HeartbeatTask

MAX_PAGES_CONNECTIONS = 64

UNUSED_GRACE_RATIO = 0.15
"""Part of a stop's grace period that is left unused."""

DRAIN_GRACE_RATIOS = {"proxy": (0.5, 0.4)}
"""Parts of the grace period in which a stopping process still accepts connections, and then finishes answers."""

DEFAULT_DRAIN_GRACE_RATIOS = (0.1, 0.2)

BOOT_BITS = 62
HTTP_OK = 200
HTTP_UNAVAILABLE = 503


class Node:
    """A process of the fleet: its membership, transport, upstreams' heartbeats and HTTP servers.

    `boot` is a random identity of the process. `web_application` may replace the resources at the web address. With
    `defers_web_server` the daemon itself starts the server of the web address.
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
        "body_budget",
        "stopping",
        "start_wait",
        "_stack",
        "_gauges",
        "_service_filter",
        "defers_web_server",
        "_stop_requested_at",
    )

    def __init__(
        self,
        settings: Settings,
        remembered: Sequence[Address] = (),
        faults: InjectedFaults | None = None,
    ) -> None:
        """Creates the parts by the settings; `remembered` peers are contacted like seeds."""
        self.settings = settings
        self.boot = random.SystemRandom().getrandbits(BOOT_BITS)
        self.counts = Counts()
        self.faults = faults or InjectedFaults(settings.faults, settings.name)
        self.membership = MembershipTask(self._membership(remembered), self.faults)
        self.transport = Transport(settings.transport, settings.fleet, self.counts, self.faults)
        self.heartbeats = HeartbeatTask(self.membership, self.transport)
        self.app = web.LazyApp()
        self.server = web.Server(settings.web, self.app, self.counts, settings.connections)
        self.pages = (
            web.Server(settings.pages, self.app, self.counts, MAX_PAGES_CONNECTIONS)
            if settings.pages
            else contextlib.nullcontext()
        )
        self.body_budget = BodyBudget.of_memory(settings.memory_mb)
        self.server.body_budget = self.body_budget
        if isinstance(self.pages, web.Server):
            self.pages.body_budget = self.body_budget
        self.stopping = Event()
        self.start_wait = StartWait(self.stopping.is_set, gevent.sleep, settings.start_wait_s)
        self._gauges: dict[str, Callable[[], Any]] = {}
        self.gauge("start_waited_ms", lambda: {name: int(1000 * s) for name, s in self.start_wait.waited_s.items()})
        self.gauge("log_lines_lost", lost_lines)
        self.gauge("standstill_s", self.membership.standstills.snapshot)
        self.gauge("failed_member_silence_s", self.membership.membership.silence_s.snapshot)
        self._service_filter: Callable[[str], bool] = lambda service: True
        self.defers_web_server = False
        self._stop_requested_at = clock.now()

    def _membership(self, remembered: Sequence[Address]) -> Membership:
        settings = self.settings
        detector = settings.detector
        return Membership(
            initial_record(
                settings.transport, self.boot, settings.role, settings.name, settings.locality, settings.web
            ),
            settings.fleet,
            [*settings.seeds, *remembered],
            random.Random(self.boot),
            detector.period or formula.period(detector.detect, detector.fail),
            detector.helpers or formula.helpers(detector.mistake, detector.fail, detector.loss),
            detector.round_trip,
        )

    def __enter__(self) -> Node:
        """Starts all parts in order; if one fails, stops those that were started.

        Signals are handled from before the first listener opens: a stop then ends each connection with an answer.
        """
        self._stack = contextlib.ExitStack()
        self.app.plain_routes["/-/ready"] = self._readiness
        add_pages(self.app, self)
        parts = [
            self.faults,
            self.transport,
            self.membership,
            *([self.heartbeats] if self.settings.heartbeats == "told" else []),
            self.pages,
            *([] if self.defers_web_server else [self.server]),
            SettingsReloader(self.settings, self.apply_settings, self.counts),
        ]
        for signum in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signum, self._request_stop)
        with self._stack as stack:
            for part in parts:
                self.start_wait.enter(stack, part)
            self._stack = stack.pop_all()
        log_event("started", role=self.settings.role, name=self.settings.name, pid=os.getpid())
        return self

    def __exit__(self, *raised: Any) -> None:
        """Stops all parts in reverse order."""
        log_event("stopped", role=self.settings.role, name=self.settings.name)
        self._stack.__exit__(*raised)

    def apply_settings(self, settings: Settings) -> None:
        """Applies changed seeds to the membership; remembered peers stay among its seeds."""
        old = self.settings
        self.settings = settings
        kept = [seed for seed in self.membership.membership.seeds if seed not in old.seeds]
        self.membership.membership.seeds = [seed for seed in [*settings.seeds, *kept] if seed != settings.transport]

    @property
    def web_application(self) -> Any:
        """The WSGI application that answers at the web address."""
        return self.server.application

    @web_application.setter
    def web_application(self, application: Any) -> None:
        """Replaces the resources at the web address; they are then served only at the address `pages`."""
        self.server.application = application

    def gauge(self, name: str, read: Callable[[], Any]) -> None:
        """Registers a gauge; `read` is called for each exposition: a number, a text, or a table of numbers."""
        self._gauges[name] = read

    def gauges(self) -> dict[str, Any]:
        """Returns the current values of all gauges by name."""
        return {name: read() for name, read in self._gauges.items()}

    def counters(self) -> dict[str, int]:
        """Returns all counters of this process by name."""
        membership = self.membership.membership.counts.snapshot()
        return self.counts.snapshot() | membership | self.heartbeats.table.counts.snapshot()

    def set_service_filter(self, accepts: Callable[[str], bool]) -> None:
        """Accepts heartbeats only of services for which `accepts` returns true."""
        self._service_filter = accepts

    def allows_service(self, service: str) -> bool:
        """Returns whether the configuration allows heartbeats of a service."""
        return self._service_filter(service)

    def run(
        self,
        ready: Callable[[], object],
        leaving: Callable[[], object] = lambda: None,
        finish: Callable[[float], object] = lambda limit: None,
    ) -> None:
        """Runs until the process is asked to stop, then drains it.

        `ready` is polled for the readiness that the membership announces, `leaving` is called when the drain begins,
        and `finish` gets what is left of the grace period (s).
        """
        was_ready = None
        while not self.stopping.wait(timeout=0.2 if was_ready else 0.05):
            is_ready = bool(ready())
            if is_ready != was_ready:
                log_event("ready" if is_ready else "unready", name=self.settings.name)
                was_ready = is_ready
            self.membership.ready(is_ready)
        end = self._stop_requested_at + self.settings.polite * (1 - UNUSED_GRACE_RATIO)
        self.membership.leave(final=False)
        leaving()
        accept_ratio, finish_ratio = DRAIN_GRACE_RATIOS.get(self.settings.role, DEFAULT_DRAIN_GRACE_RATIOS)
        grace_s = self.settings.polite
        wait = self._accept_while_needed if self.settings.role in DRAIN_GRACE_RATIOS else None
        self.server.drain(grace_s * accept_ratio, grace_s * finish_ratio, self._stop_requested_at, wait)
        finish(max(0.0, end - clock.now()))
        self.membership.leave(final=True)

    def _accept_while_needed(self, earliest: float, latest: float) -> None:
        """Returns once the listener may close; the membership announces that before."""
        drain = DrainSequence(earliest, latest, random.Random())
        own_record = self.membership.membership.me
        while True:
            step = drain.step(clock.now(), drain_conditions(own_record, self.membership))
            self.membership.accept(step.accepts and own_record.ready)
            if step.closed:
                return
            due = clock.now() + step.wait
            gevent.sleep(step.wait)
            drain.record_delay(clock.now() - due)

    def _request_stop(self) -> None:
        if not self.stopping.is_set():
            self._stop_requested_at = clock.now()
            self.stopping.set()

    def is_ready(self) -> bool:
        """Returns whether this process accepts work."""
        return self.membership.membership.me.ready and not self.stopping.is_set()

    def _readiness(self) -> tuple[int, object]:
        ready = self.is_ready()
        return HTTP_OK if ready else HTTP_UNAVAILABLE, {
            "ready": ready,
            "role": self.settings.role,
            "name": self.settings.name,
        }
