"""A request on a host route, and the responses that the proxy creates itself."""

from __future__ import annotations

import msgspec

from mallowvalve.configuration.items import HostRoute
from mallowvalve.finding import Finding
from mallowvalve.proxy.host_upstreams import UpstreamLease
from mallowvalve.proxy.request_body_stream import RequestBodyStream
from mallowvalve.proxy.steps import ClientRequest, ProxyResponse

HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "content-length",
        "expect",
        "proxy-authenticate",
        "proxy-authorization",
    )
)

QUEUE_SHARE = 0.2
"""Share of a route's aim that a request may wait for capacity."""

MAX_HEDGE_DELAY_SHARE = 0.6
MIN_HEDGE_DELAY_SHARE = 0.3
HEDGE_LATENCY_FACTOR = 3.5


class HostRequest(msgspec.Struct):
    """The state of a request on a host route; its route, service and deadline are checked again before each send.

    `retry_reserved`: the retry budget has already granted the next retry. `client_left`: the client has closed its
    connection. `silent_leases`: leases of upstreams that have not responded yet and still may, while the request is
    hedged to another upstream. `body` is the body, or the held part of it if `body_stream` brings the rest.
    `unconfirmed_question` is the question about the age of the view for which the request has waited in vain.
    """

    client_request: ClientRequest
    host: str
    path: str
    route: HostRoute
    service: str
    arrived_at: float
    end: float
    request_id: str = ""
    body: bytes | memoryview = b""
    body_stream: RequestBodyStream | None = None
    head: str = ""
    tried: set = msgspec.field(default_factory=set)
    sends: int = 0
    failed_opens: int = 0
    may_have_run: bool = False
    retry_reserved: bool = False
    client_left: bool = False
    silent_leases: list[UpstreamLease] = msgspec.field(default_factory=list)
    unconfirmed_question: float | None = None

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.kind == "read"

    @property
    def replayable(self) -> bool:
        """Whether all of the body that was taken from the client is still held, so that it can be sent again."""
        return self.body_stream is None or not self.body_stream.started

    @property
    def queue_end(self) -> float:
        """Until when the request may wait for capacity (s)."""
        aim_ms = self.route.aim_ms or self.route.limit_ms
        return self.arrived_at + QUEUE_SHARE * min(aim_ms, self.route.limit_ms) / 1000

    def hedge_at(self, latency_s: float, now: float) -> float:
        """Returns when to consider a hedge for a read (s); the request's deadline if it cannot be sent again.

        `latency_s` is the usual time to a response of the upstream.
        """
        if not self.idempotent or self.sends >= self.route.tries or self.body_stream is not None:
            return self.end
        left = self.end - now
        delay = max(MIN_HEDGE_DELAY_SHARE * left, HEDGE_LATENCY_FACTOR * latency_s)
        return now + min(MAX_HEDGE_DELAY_SHARE * left, delay)


def local_response(
    status: int, outcome: str, place: str, text: str, after: float | None = None, close: bool = False
) -> ProxyResponse:
    """Returns a response of the proxy itself; `after` is the Retry-After delay (s)."""
    return ProxyResponse(status, outcome, [Finding(place, text)], after, close)


def host_without_port(host: str) -> str:
    """Returns the host without its port, in lower case."""
    return host.rpartition(":")[0].lower() if ":" in host else host.lower()
