"""Compiles texts of the route language, each distinct text once.

The grammars are imported with the first text: a process whose configuration has none does not load their parser.
"""

from __future__ import annotations

from functools import lru_cache
from typing import TypeVar

from result import Result

from mallowvalve.finding import Finding, Findings
from mallowvalve.routing.model import DEFAULT_POLICY, METHODS, POLICY_BOUNDS, Match, Policy, RouteRequest

__all__ = ["DEFAULT_POLICY", "METHODS", "POLICY_BOUNDS", "Match", "Policy", "RouteRequest", "match", "policy"]

MAX_CACHED_TEXTS = 65536
Compiled = TypeVar("Compiled")
LocatedError = tuple[str, str]
"""The position of an error in the text ("@LINE:COLUMN", or empty), and its message."""


def match(text: str, place: str) -> Result[Match, Findings]:
    """Returns the predicate that `text` describes, or findings at `place`."""
    return _with_place(_match(text), place)


def policy(text: str, place: str) -> Result[Policy, Findings]:
    """Returns the policy that `text` describes, or findings at `place`."""
    return _with_place(_policy(text), place)


@lru_cache(maxsize=MAX_CACHED_TEXTS)
def _match(text: str) -> Result[Match, LocatedError]:
    from mallowvalve.routing import maker

    return maker.match(text)


@lru_cache(maxsize=MAX_CACHED_TEXTS)
def _policy(text: str) -> Result[Policy, LocatedError]:
    from mallowvalve.routing import maker

    return maker.policy(text)


def _with_place(result: Result[Compiled, LocatedError], place: str) -> Result[Compiled, Findings]:
    return result.map_err(lambda error: [Finding(place + error[0], error[1])])
