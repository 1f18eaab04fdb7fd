"""What the route language speaks about: a request as matches see it, and the policy of a route with its bounds."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

METHODS = frozenset(("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"))


class RouteRequest(msgspec.Struct):
    """The part of a request that a match may look at; `headers` have names in lower case, `path` has no query."""

    method: str
    path: str
    headers: Mapping[str, str]


Match = Callable[[RouteRequest], bool]


class Policy(msgspec.Struct, frozen=True, omit_defaults=True):
    """How requests of a route are carried; a field that is None is left to the level above.

    `limit_ms` is the time a request may take, `ramp_ms` how long a cold upstream is spared, `retry` the further tries,
    `queue` the requests that may wait, `width` those an upstream takes at once, `keep` the bytes of an answer that the
    ledger stores, `chooser` whether upstreams of one zone come first ("near") or all are alike ("any").
    """

    limit_ms: int | None = None
    ramp_ms: int | None = None
    retry: int | None = None
    queue: int | None = None
    width: int | None = None
    keep: int | None = None
    chooser: str | None = None

    def overridden_by(self, lower: Policy) -> Policy:
        """This policy with every field that `lower` sets replaced by its value."""
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
