"""Admission control for host routes, by the settings, the routes and the time until the process stops."""

from __future__ import annotations

import random
from collections.abc import Callable, Generator

from result import Err, Ok, Result

from mallowvalve.configuration.items import HostRoute
from mallowvalve.control.replica import Replica
from mallowvalve.proxy.host_request import HostRequest, host_without_port, local_response
from mallowvalve.proxy.steps import NOT_RUN, ClientRequest, ProxyResponse, Step, WaitForCapacity
from mallowvalve.settings import HeaderNames, Settings

MAX_LIMIT_DIGITS = 12
MAX_COUNTED_LIMIT_S = 2.0
SETTINGS_WAIT_SHARE = 0.45
"""Share of its limit, capped at `MAX_COUNTED_LIMIT_S`, that a request waits for the first settings."""
SETTINGS_POLL_S = 0.03
RESPONSE_RESERVE_S = 0.1
"""Time that a stopping process reserves, so that the last response leaves before its connection is closed."""
SETTINGS_RETRY_S = 0.3
STOP_RETRY_S = 0.1
JITTER_S = 0.2


class Admission:
    """Decides, without sockets, whether a request is admitted, on which route, and until when it may run.

    `serves_until` returns until when a stopping process answers requests (s, its own clock), None if it is not
    stopping.
    """

    __slots__ = ("replica", "settings", "now", "rng", "serves_until", "_id_header", "_limit_header")

    def __init__(self, replica: Replica, settings: Settings, now: Callable[[], float], rng: random.Random):
        self.replica, self.settings, self.now, self.rng = replica, settings, now, rng
        self.serves_until: Callable[[], float | None] = lambda: None
        terms: HeaderNames = settings.terms
        self._id_header, self._limit_header = terms.ask.lower(), terms.limit.lower()

    def admit(self, request: ClientRequest, now: float) -> Result[HostRequest, ProxyResponse]:
        """Returns the request with its route and deadline, or the rejection."""
        state = self.replica.state
        if state is None or not state.items.revision or not (self.settings.serve_on or self.replica.admits(now)):
            return Err(self._unavailable("proxy", "has no settings yet, or they may be out of date"))
        if not request.target.startswith("/") or "#" in request.target:
            return Err(local_response(400, NOT_RUN, "path", "must begin with /"))
        host, path = host_without_port(request.headers.get("host", "")), request.target.partition("?")[0]
        route = state.items.find(host, path)
        if route is None:
            return Err(self.no_route(now))
        limit_ms = route.limit_ms
        text = request.headers.get(self._limit_header) if self._limit_header else None
        if text is not None:
            if not _is_limit(text):
                return Err(local_response(400, NOT_RUN, self.settings.terms.limit, "want whole milliseconds"))
            limit_ms = min(limit_ms, float(text))
        end = now + limit_ms / 1000
        if not outlasts(self.serves_until(), end):
            return Err(local_response(503, NOT_RUN, "proxy", "it is about to stop", STOP_RETRY_S, close=True))
        request_id = request.headers.get(self._id_header, "") if self._id_header else ""
        return Ok(HostRequest(request, host, path, route, self.service_of(route), now, end, request_id))

    def wait_for_settings(self, request: ClientRequest, arrived_at: float) -> Generator[Step, object, None]:
        """Waits a part of the request's limit for the first settings, which follow shortly after the start."""
        text = request.headers.get(self._limit_header, "")
        left = int(text) / 1000 if _is_limit(text) else MAX_COUNTED_LIMIT_S
        end = arrived_at + SETTINGS_WAIT_SHARE * min(left, MAX_COUNTED_LIMIT_S)
        while not self.has_settings() and (now := self.now()) < end:
            yield WaitForCapacity("", min(end, now + SETTINGS_POLL_S))

    def has_settings(self) -> bool:
        """Returns whether this process has received settings."""
        return self.replica.state is not None and self.replica.state.items.revision > 0

    def no_route(self, now: float) -> ProxyResponse:
        """Returns the rejection of a request without a route: 404 only if the settings are current."""
        if not self.replica.fresh(now):
            return self._unavailable("path", "no route known here takes this, but newer settings may")
        return local_response(404, NOT_RUN, "path", "no route takes this request")

    def service_of(self, route: HostRoute) -> str:
        """Returns the service of a route; for a split route a random one by weight."""
        if route.service is not None or not route.split:
            return route.service or ""
        return self.rng.choices([p.service for p in route.split], [p.weight for p in route.split])[0]

    def jitter(self) -> float:
        """Returns a random addition to a Retry-After delay (s)."""
        return JITTER_S * self.rng.random()

    def _unavailable(self, place: str, text: str) -> ProxyResponse:
        return local_response(503, NOT_RUN, place, text, SETTINGS_RETRY_S + self.jitter())


def outlasts(serves_until: float | None, end: float) -> bool:
    """Returns whether the process still answers at `end`, so that it never cuts off an admitted request."""
    return serves_until is None or end + RESPONSE_RESERVE_S <= serves_until


def _is_limit(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_LIMIT_DIGITS
