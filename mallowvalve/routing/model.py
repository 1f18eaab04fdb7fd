"""The types of the route language: the request as matches see it, and the policy of a route with its bounds."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

METHODS = frozenset(("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"))


class RouteRequest(msgspec.Struct):
    """The part of a request that a match may read; `headers` have names in lower case, `path` has no query."""

    method: str
    path: str
    headers: Mapping[str, str]


Match = Callable[[RouteRequest], bool]


class Policy(msgspec.Struct, frozen=True, omit_defaults=True):
    """How requests of a route are forwarded; a field that is None is inherited from the level above.

    `limit_ms` is the time limit of a request, `ramp_ms` the slow-start time of a cold upstream, `retry` the number of
    further tries, `queue` the number of requests that may wait, `width` the number of requests that an upstream takes
    at once, `keep` the bytes of a response that the ledger stores, `chooser` whether upstreams of the same zone are
    preferred ("near") or all are alike ("any").
    """

    limit_ms: int | None = None
    ramp_ms: int | None = None
    retry: int | None = None
    queue: int | None = None
    width: int | None = None
    keep: int | None = None
    chooser: str | None = None

    def overridden_by(self, lower: Policy) -> Policy:
        """Returns this policy with the fields that `lower` sets."""
        values = {}
        for field in self.__struct_fields__:
            value = getattr(lower, field)
            values[field] = getattr(self, field) if value is None else value
        return Policy(**values)


DEFAULT_POLICY = Policy(limit_ms=5000, ramp_ms=10000, retry=1, queue=64, width=16, keep=16384, chooser="near")
POLICY_BOUNDS = {
    "limit_ms": (10, 60000),
    "ramp_ms": (0, 600000),
    "retry": (0, 3),
    "queue": (0, 4096),
    "width": (1, 1024),
    "keep": (0, 65536),
}
