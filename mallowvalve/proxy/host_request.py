"""A request on a host route, and the responses that the proxy creates itself."""

from __future__ import annotations

import msgspec

from mallowvalve.configuration.items import HostRoute
from mallowvalve.finding import Finding
from mallowvalve.proxy.host_upstreams import UpstreamLease
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


class HostRequest(msgspec.Struct):
    """The state of a request on a host route; its route, service and deadline are checked again before each send.

    `retry_reserved`: the retry budget has already granted the next retry. `client_left`: the client has closed its
    connection. `silent_leases`: leases of upstreams that have not responded yet and still may, while the request is
    hedged to another upstream.
    """

    client_request: ClientRequest
    host: str
    path: str
    route: HostRoute
    service: str
    arrived_at: float
    end: float
    request_id: str = ""
    body: bytes = b""
    head: str = ""
    tried: set = msgspec.field(default_factory=set)
    sends: int = 0
    failed_opens: int = 0
    may_have_run: bool = False
    retry_reserved: bool = False
    client_left: bool = False
    silent_leases: list[UpstreamLease] = msgspec.field(default_factory=list)

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.kind == "read"


def local_response(
    status: int, outcome: str, place: str, text: str, after: float | None = None, close: bool = False
) -> ProxyResponse:
    """Returns a response of the proxy itself; `after` is the Retry-After delay (s)."""
    return ProxyResponse(status, outcome, [Finding(place, text)], after, close)


def host_without_port(host: str) -> str:
    """Returns the host without its port, in lower case."""
    return host.rpartition(":")[0].lower() if ":" in host else host.lower()
