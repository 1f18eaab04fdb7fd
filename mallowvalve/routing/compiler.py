"""Texts of the route language compiled, each distinct text once.

The module with the grammars is loaded with the first of them: a daemon whose configuration has none does without."""

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
"""Where in the text something is wrong ("@LINE:COLUMN", or nothing), and what."""


def match(text: str, place: str) -> Result[Match, Findings]:
    """The test that `text` describes; findings name `place`."""
    return _with_place(_match(text), place)


def policy(text: str, place: str) -> Result[Policy, Findings]:
    """The policy that `text` describes; findings name `place`."""
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
    return result.map_err(lambda wrong: [Finding(place + wrong[0], wrong[1])])
