"""The grammars and what their words mean; loaded and compiled at the first word that is read."""

from __future__ import annotations

from collections.abc import Callable
from functools import cache
from pathlib import Path

from lark import Lark, Transformer, UnexpectedInput
from lark.exceptions import VisitError
from result import Err, Ok, Result

from mallowvalve.routing.compiler import BOUNDS, METHODS, Match


@cache
def _grammar(name: str) -> Lark:
    return Lark((Path(__file__).parent / name).read_text(), parser="lalr", maybe_placeholders=False)


def path_test(pattern: str) -> Callable[[str], bool]:
    want = pattern.strip("/").split("/")
    rest = want[-1] == "**"
    if rest:
        want = want[:-1]

    def test(path: str) -> bool:
        got = path.strip("/").split("/")
        if len(got) < len(want) or not rest and len(got) != len(want):
            return False
        return all(w in ("*", g) for w, g in zip(want, got))

    return test


class MatchMaker(Transformer):
    def any_of(self, parts) -> Match:
        return lambda r: any(p(r) for p in parts)

    def all_of(self, parts) -> Match:
        return lambda r: all(p(r) for p in parts)

    def negate(self, parts) -> Match:
        return lambda r: not parts[0](r)

    def method(self, names) -> Match:
        names = frozenset(str(n) for n in names)
        if not names <= METHODS:
            raise ValueError(f"unknown method {sorted(names - METHODS)[0]}")
        return lambda r: r.method in names

    def path(self, parts) -> Match:
        pattern = str(parts[0])[1:-1]
        if not pattern.startswith("/"):
            raise ValueError(f"path {pattern!r} must begin with /")
        if "**" in pattern and not pattern.endswith("/**"):
            raise ValueError(f"path {pattern!r} may hold ** only as its last part")
        test = path_test(pattern)
        return lambda r: test(r.path)

    def header(self, parts) -> Match:
        name, value = (str(p)[1:-1] for p in parts)
        name = name.lower()
        return lambda r: r.headers.get(name) == value


class PolicyMaker(Transformer):
    def span(self, p) -> int:
        return int(p[0]) * (1000 if p[1] == "s" else 1)

    def size(self, p) -> int:
        return int(p[0]) * (1024 if p[1] == "kb" else 1)

    def limit(self, p):
        return "limit_ms", p[0]

    def ramp(self, p):
        return "ramp_ms", p[0]

    def retry(self, p):
        return "retry", int(p[0])

    def queue(self, p):
        return "queue", int(p[0])

    def width(self, p):
        return "width", int(p[0])

    def keep(self, p):
        return "keep", p[0]

    def draw(self, p):
        return "chooser", str(p[0])

    def start(self, parts) -> dict:
        out: dict = {}
        for k, v in parts:
            if k in out:
                raise ValueError(f"{_word(k)} is set twice")
            lo, hi = BOUNDS.get(k, (None, None))
            if lo is not None and not lo <= v <= hi:
                raise ValueError(f"{_word(k)} must be {lo} to {hi}, got {v}")
            out[k] = v
        return out


def _word(field: str) -> str:
    """The language's word for a field of `Policy`."""
    return "draw" if field == "chooser" else field.removesuffix("_ms")


def _run(grammar: str, maker: Transformer, text: str) -> Result[object, tuple[str, str]]:
    try:
        return Ok(maker.transform(_grammar(grammar).parse(text)))
    except UnexpectedInput as e:
        line, col = getattr(e, "line", 1), getattr(e, "column", 1)
        return Err((f"@{line}:{col}", "not understood here"))
    except VisitError as e:
        return Err(("", str(e.orig_exc)))


def match(text: str) -> Result[Match, tuple[str, str]]:
    return _run("match.lark", MatchMaker(), text)


def policy(text: str) -> Result[dict, tuple[str, str]]:
    return _run("policy.lark", PolicyMaker(), text)
