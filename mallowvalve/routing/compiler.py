"""Texts of the route language compiled, each distinct text once.

The module with the grammars is loaded with the first of them: a daemon whose configuration has none does without."""

from __future__ import annotations

from functools import lru_cache
from typing import TypeVar

from result import Result

from mallowvalve.finding import Finding, Findings
from mallowvalve.routing.model import BOUNDS, DEFAULT, METHODS, Match, Policy, Request

__all__ = ["BOUNDS", "DEFAULT", "METHODS", "Match", "Policy", "Request", "match", "policy"]

REMEMBERED = 65536
Compiled = TypeVar("Compiled")
Unplaced = tuple[str, str]
"""Where in the text something is wrong ("@LINE:COLUMN", or nothing), and what."""


def match(text: str, place: str) -> Result[Match, Findings]:
    """The test that `text` describes; findings name `place`."""
    return _placed(_match(text), place)


def policy(text: str, place: str) -> Result[Policy, Findings]:
    """The policy that `text` describes; findings name `place`."""
    return _placed(_policy(text), place)


@lru_cache(maxsize=REMEMBERED)
def _match(text: str) -> Result[Match, Unplaced]:
    from mallowvalve.routing import maker

    return maker.match(text)


@lru_cache(maxsize=REMEMBERED)
def _policy(text: str) -> Result[Policy, Unplaced]:
    from mallowvalve.routing import maker

    return maker.policy(text)


def _placed(result: Result[Compiled, Unplaced], place: str) -> Result[Compiled, Findings]:
    return result.map_err(lambda wrong: [Finding(place + wrong[0], wrong[1])])
