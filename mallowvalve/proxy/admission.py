"""Which requests on host routes a proxy takes: by its settings, its routes, and the time that it has left itself."""

from __future__ import annotations

import random
from collections.abc import Callable, Generator

from result import Err, Ok, Result

from mallowvalve.configuration.items import HostRoute
from mallowvalve.control.replica import Replica
from mallowvalve.proxy.steps import NOT_RUN, Ask, Reply, Room, Step
from mallowvalve.proxy.trip import Trip, bare, own
from mallowvalve.settings import HeaderNames, Settings

LIMIT_DIGITS = 12
EARLY_S, PATIENT_SHARE = 2.0, 0.45
"""A request before the first settings waits for them: this share of its limit, which counts at most so much (s)."""
LOOK_S = 0.03
ANSWER_S = 0.1
"""What a stopping process keeps back of its time, so that the last answer leaves before its connection is cut."""
SETTINGS_RETRY_S, STOP_RETRY_S, JITTER_S = 0.3, 0.1, 0.2


class Admission:
    """Decides, without sockets, whether a request is taken, on which route, and until when it may be held.

    `serves_until` tells until when a process that was told to stop answers requests (s, its own clock), else None.
    """

    __slots__ = ("replica", "settings", "now", "rng", "serves_until", "_id_header", "_limit_header")

    def __init__(self, replica: Replica, settings: Settings, now: Callable[[], float], rng: random.Random):
        self.replica, self.settings, self.now, self.rng = replica, settings, now, rng
        self.serves_until: Callable[[], float | None] = lambda: None
        terms: HeaderNames = settings.terms
        self._id_header, self._limit_header = terms.ask.lower(), terms.limit.lower()

    def admit(self, a: Ask, now: float) -> Result[Trip, Reply]:
        """The request with its route and its end, or the refusal that is its final answer."""
        state = self.replica.state
        if state is None or not state.items.revision or not (self.settings.serve_on or self.replica.admits(now)):
            return Err(self._refusal("proxy", "has no settings yet, or they may be out of date"))
        if not a.target.startswith("/") or "#" in a.target:
            return Err(own(400, NOT_RUN, "path", "must begin with /"))
        host, path = bare(a.headers.get("host", "")), a.target.partition("?")[0]
        route = state.items.find(host, path)
        if route is None:
            return Err(self.no_route(now))
        limit_ms = route.limit_ms
        text = a.headers.get(self._limit_header) if self._limit_header else None
        if text is not None:
            if not _is_limit(text):
                return Err(own(400, NOT_RUN, self.settings.terms.limit, "want whole milliseconds"))
            limit_ms = min(limit_ms, float(text))
        end = now + limit_ms / 1000
        if not outlasts(self.serves_until(), end):
            return Err(own(503, NOT_RUN, "proxy", "it is about to stop", STOP_RETRY_S, close=True))
        request_id = a.headers.get(self._id_header, "") if self._id_header else ""
        return Ok(Trip(a, host, path, route, self.service_of(route), now, end, request_id))

    def wait_for_settings(self, a: Ask, at: float) -> Generator[Step, object, None]:
        """A proxy that has just started has its settings in a moment; who came too early waits for a part of it."""
        text = a.headers.get(self._limit_header, "")
        left = int(text) / 1000 if _is_limit(text) else EARLY_S
        end = at + PATIENT_SHARE * min(left, EARLY_S)
        while not self.has_settings() and (now := self.now()) < end:
            yield Room("", min(end, now + LOOK_S))

    def has_settings(self) -> bool:
        """Whether this process holds any settings."""
        return self.replica.state is not None and self.replica.state.items.revision > 0

    def no_route(self, now: float) -> Reply:
        """The answer to a request that no route takes, as far as this process can know."""
        if not self.replica.fresh(now):
            return self._refusal("path", "no route known here takes this, but newer settings may")
        return own(404, NOT_RUN, "path", "no route takes this request")

    def service_of(self, route: HostRoute) -> str:
        """The service of a route; where it is split, one drawn by the weights."""
        if route.service is not None or not route.split:
            return route.service or ""
        return self.rng.choices([p.service for p in route.split], [p.weight for p in route.split])[0]

    def jitter(self) -> float:
        """A random part of a time to come back after (s)."""
        return JITTER_S * self.rng.random()

    def _refusal(self, place: str, text: str) -> Reply:
        return own(503, NOT_RUN, place, text, SETTINGS_RETRY_S + self.jitter())


def outlasts(serves_until: float | None, end: float) -> bool:
    """Whether a process still answers at `end`, so that it never cuts what it takes; None: it was not told to stop."""
    return serves_until is None or end + ANSWER_S <= serves_until


def _is_limit(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= LIMIT_DIGITS
