"""Parses the route language and compiles its syntax trees."""

from __future__ import annotations

from collections.abc import Callable
from functools import cache
from pathlib import Path
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput
from lark.exceptions import VisitError
from result import Err, Ok, Result

from mallowvalve.routing.model import METHODS, POLICY_BOUNDS, Match, Policy

ANY_SEGMENT = "*"
ANY_SUFFIX = "**"
MS_PER_SECOND = 1000
BYTES_PER_KB = 1024
KEYWORDS = {"limit_ms": "limit", "ramp_ms": "ramp", "chooser": "draw"}
"""The keywords of the language for those fields of `Policy` whose names differ."""

Setting = tuple[str, int | str]
"""A field of `Policy` and its value."""


def match(text: str) -> Result[Match, tuple[str, str]]:
    """Returns the predicate that `text` describes, or an error: its position ("@LINE:COLUMN", or empty) and message."""
    return _parse("match.lark", _MatchTransformer(), text)


def policy(text: str) -> Result[Policy, tuple[str, str]]:
    """Returns the policy that `text` describes, or an error as `match` does."""
    return _parse("policy.lark", _PolicyTransformer(), text)


@cache
def _grammar(name: str) -> Lark:
    return Lark((Path(__file__).parent / name).read_text(), parser="lalr", maybe_placeholders=False)


def _parse(grammar: str, transformer: Transformer, text: str) -> Result[Any, tuple[str, str]]:
    try:
        return Ok(transformer.transform(_grammar(grammar).parse(text)))
    except UnexpectedInput as error:
        line = getattr(error, "line", 1)
        column = getattr(error, "column", 1)
        return Err((f"@{line}:{column}", "not understood here"))
    except VisitError as error:
        return Err(("", str(error.orig_exc)))


def path_matcher(pattern: str) -> Callable[[str], bool]:
    """Returns a predicate on whole paths: `*` matches one segment, a final `**` any further segments."""
    pattern_segments = pattern.strip("/").split("/")
    open_ended = pattern_segments[-1] == ANY_SUFFIX
    if open_ended:
        pattern_segments = pattern_segments[:-1]

    def matches(path: str) -> bool:
        segments = path.strip("/").split("/")
        if len(segments) < len(pattern_segments) or not open_ended and len(segments) != len(pattern_segments):
            return False
        return all(
            expected in (ANY_SEGMENT, segment) for expected, segment in zip(pattern_segments, segments, strict=False)
        )

    return matches


class _MatchTransformer(Transformer):
    """Compiles a match expression to a predicate; methods are named after the rules of match.lark."""

    def any_of(self, matches: list[Match]) -> Match:
        return lambda request: any(match(request) for match in matches)

    def all_of(self, matches: list[Match]) -> Match:
        return lambda request: all(match(request) for match in matches)

    def negate(self, matches: list[Match]) -> Match:
        return lambda request: not matches[0](request)

    def method(self, tokens: list[Token]) -> Match:
        names = frozenset(str(token) for token in tokens)
        if not names <= METHODS:
            raise ValueError(f"unknown method {sorted(names - METHODS)[0]}")
        return lambda request: request.method in names

    def path(self, tokens: list[Token]) -> Match:
        pattern = _unquoted(tokens[0])
        if not pattern.startswith("/"):
            raise ValueError(f"path {pattern!r} must begin with /")
        if ANY_SUFFIX in pattern and not pattern.endswith("/" + ANY_SUFFIX):
            raise ValueError(f"path {pattern!r} may hold ** only as its last part")
        matches = path_matcher(pattern)
        return lambda request: matches(request.path)

    def header(self, tokens: list[Token]) -> Match:
        name = _unquoted(tokens[0]).lower()
        value = _unquoted(tokens[1])
        return lambda request: request.headers.get(name) == value


def _unquoted(token: Token) -> str:
    return str(token)[1:-1]


class _PolicyTransformer(Transformer):
    """Compiles policy statements to a `Policy`; methods are named after the rules of policy.lark."""

    def span(self, tokens: list[Token]) -> int:
        return int(tokens[0]) * (MS_PER_SECOND if tokens[1] == "s" else 1)

    def size(self, tokens: list[Token]) -> int:
        return int(tokens[0]) * (BYTES_PER_KB if tokens[1] == "kb" else 1)

    def limit(self, spans: list[int]) -> Setting:
        return "limit_ms", spans[0]

    def ramp(self, spans: list[int]) -> Setting:
        return "ramp_ms", spans[0]

    def retry(self, tokens: list[Token]) -> Setting:
        return "retry", int(tokens[0])

    def queue(self, tokens: list[Token]) -> Setting:
        return "queue", int(tokens[0])

    def width(self, tokens: list[Token]) -> Setting:
        return "width", int(tokens[0])

    def keep(self, sizes: list[int]) -> Setting:
        return "keep", sizes[0]

    def draw(self, tokens: list[Token]) -> Setting:
        return "chooser", str(tokens[0])

    def start(self, settings: list[Setting]) -> Policy:
        values: dict[str, Any] = {}
        for field, value in settings:
            keyword = KEYWORDS.get(field, field)
            if field in values:
                raise ValueError(f"{keyword} is set twice")
            if isinstance(value, int):
                lowest, highest = POLICY_BOUNDS[field]
                if not lowest <= value <= highest:
                    raise ValueError(f"{keyword} must be {lowest} to {highest}, got {value}")
            values[field] = value
        return Policy(**values)
