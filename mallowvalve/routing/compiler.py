from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import lru_cache

import msgspec
from result import Result

from mallowvalve.finding import Finding, Findings

REMEMBERED = 65536
METHODS = frozenset(("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"))


class Request(msgspec.Struct):
    method: str
    path: str
    headers: Mapping[str, str]


Match = Callable[[Request], bool]


class Policy(msgspec.Struct, frozen=True, omit_defaults=True):
    limit_ms: int | None = None
    ramp_ms: int | None = None
    retry: int | None = None
    queue: int | None = None
    width: int | None = None
    keep: int | None = None
    chooser: str | None = None

    def under(self, lower: Policy) -> Policy:
        return Policy(
            **{f: b if (b := getattr(lower, f)) is not None else getattr(self, f) for f in self.__struct_fields__}
        )


DEFAULT = Policy(limit_ms=5000, ramp_ms=10000, retry=1, queue=64, width=16, keep=16384, chooser="near")
BOUNDS = {
    "limit_ms": (10, 60000),
    "ramp_ms": (0, 600000),
    "retry": (0, 3),
    "queue": (0, 4096),
    "width": (1, 1024),
    "keep": (0, 65536),
}


@lru_cache(maxsize=REMEMBERED)
def _match(text: str) -> Result[Match, tuple[str, str]]:
    from mallowvalve.routing.maker import match

    return match(text)


@lru_cache(maxsize=REMEMBERED)
def _policy(text: str) -> Result[Policy, tuple[str, str]]:
    from mallowvalve.routing.maker import policy

    return policy(text).map(lambda d: Policy(**d))


def _placed(r: Result, place: str) -> Result[object, Findings]:
    return r.map_err(lambda e: [Finding(place + e[0], e[1])])


def match(text: str, place: str) -> Result[Match, Findings]:
    return _placed(_match(text), place)


def policy(text: str, place: str) -> Result[Policy, Findings]:
    return _placed(_policy(text), place)
