"""A request on a host route, and the answers that a proxy gives of its own."""

from __future__ import annotations

import msgspec

from mallowvalve.configuration.items import HostRoute
from mallowvalve.finding import Finding
from mallowvalve.proxy.host import UpstreamLease
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
    """A request on a host route; what was decided for it is decided again before anything is sent.

    `repeat_taken`: the budget has given its next repeat already. `left`: its client has closed its connection.
    `unanswered`: places at upstreams that were silent so far and may still answer, while it is sent to another one.
    """

    ask: ClientRequest
    host: str
    path: str
    route: HostRoute
    service: str
    at: float
    end: float
    mark: str = ""
    body: bytes = b""
    head: str = ""
    tried: set = msgspec.field(default_factory=set)
    sent: int = 0
    opens: int = 0
    may_have_run: bool = False
    repeat_taken: bool = False
    left: bool = False
    unanswered: list[UpstreamLease] = msgspec.field(default_factory=list)

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.kind == "read"


def own(
    status: int, outcome: str, place: str, text: str, after: float | None = None, close: bool = False
) -> ProxyResponse:
    """An answer of the proxy's own; `after`: when to come back (s)."""
    return ProxyResponse(status, outcome, [Finding(place, text)], after, close)


def bare(host: str) -> str:
    """A host without its port, in lower case."""
    return host.rpartition(":")[0].lower() if ":" in host else host.lower()
