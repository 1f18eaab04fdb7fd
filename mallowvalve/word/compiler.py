from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import lru_cache
from pathlib import Path

import msgspec
from lark import Lark, Transformer, UnexpectedInput
from lark.exceptions import VisitError
from result import Err, Ok, Result

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
    draw: str | None = None

    def under(self, lower: Policy) -> Policy:
        return Policy(**{f: b if (b := getattr(lower, f)) is not None else getattr(self, f) for f in self.__struct_fields__})


DEFAULT = Policy(limit_ms=5000, ramp_ms=10000, retry=1, queue=64, width=16, keep=16384, draw="near")
BOUNDS = {
    "limit_ms": (10, 60000), "ramp_ms": (0, 600000), "retry": (0, 3), "queue": (0, 4096), "width": (1, 1024),
    "keep": (0, 65536),
}


def _grammar(name: str) -> Lark:
    return Lark((Path(__file__).parent / name).read_text(), parser="lalr", maybe_placeholders=False)


_MATCH, _POLICY = _grammar("match.lark"), _grammar("policy.lark")


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


class _MatchMaker(Transformer):
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


class _PolicyMaker(Transformer):
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
        return "draw", str(p[0])

    def start(self, parts) -> dict:
        out: dict = {}
        for k, v in parts:
            if k in out:
                raise ValueError(f"{k.removesuffix('_ms')} is set twice")
            lo, hi = BOUNDS.get(k, (None, None))
            if lo is not None and not lo <= v <= hi:
                raise ValueError(f"{k.removesuffix('_ms')} must be {lo} to {hi}, got {v}")
            out[k] = v
        return out


def _run(grammar: Lark, maker: Transformer, text: str) -> Result[object, tuple[str, str]]:
    try:
        return Ok(maker.transform(grammar.parse(text)))
    except UnexpectedInput as e:
        line, col = getattr(e, "line", 1), getattr(e, "column", 1)
        return Err((f"@{line}:{col}", "not understood here"))
    except VisitError as e:
        return Err(("", str(e.orig_exc)))


@lru_cache(maxsize=REMEMBERED)
def _match(text: str) -> Result[Match, tuple[str, str]]:
    return _run(_MATCH, _MatchMaker(), text)


@lru_cache(maxsize=REMEMBERED)
def _policy(text: str) -> Result[Policy, tuple[str, str]]:
    return _run(_POLICY, _PolicyMaker(), text).map(lambda d: Policy(**d))


def _placed(r: Result, place: str) -> Result[object, Findings]:
    return r.map_err(lambda e: [Finding(place + e[0], e[1])])


def match(text: str, place: str) -> Result[Match, Findings]:
    return _placed(_match(text), place)


def policy(text: str, place: str) -> Result[Policy, Findings]:
    return _placed(_policy(text), place)
