"""The responses by which a proxy ends requests on host routes itself."""

from __future__ import annotations

from collections.abc import Callable

from mallowvalve.metrics import Counts
from mallowvalve.proxy.host_request import HostRequest, local_response
from mallowvalve.proxy.steps import NOT_RUN, UNKNOWN, ProxyResponse

MIN_TIME_LEFT_S = 0.02
"""With less time than this before its deadline, a request is over."""
BACKOFF_S = 0.1


class Rejections:
    """Makes these responses; no other place promises that a request did not run."""

    __slots__ = ("counts", "now", "jitter")

    def __init__(self, counts: Counts, now: Callable[[], float], jitter: Callable[[], float]):
        """`jitter` returns a random addition to a Retry-After delay (s)."""
        self.counts = counts
        self.now = now
        self.jitter = jitter

    def reject(self, call: HostRequest, why: str) -> ProxyResponse:
        """Returns the rejection of a request: not run, or unknown once it may have run."""
        if not call.may_have_run:
            self.counts.add("rejected_not-run")
            return local_response(503, NOT_RUN, f"routes.{call.route.name}", why, BACKOFF_S + self.jitter())
        self.counts.add("rejected_unknown")
        status = 504 if self.now() >= call.end - MIN_TIME_LEFT_S else 502
        return local_response(status, UNKNOWN, f"routes.{call.route.name}", why)

    def client_left(self, call: HostRequest) -> ProxyResponse:
        """Returns the response for a client that closed its connection, in case it still reads."""
        call.client_left = True
        self.counts.add("client_left")
        rejection = self.reject(call, "its client has closed the connection")
        rejection.close = True
        return rejection
