"""The templates' language: gaps, lists, tables and what stands where there is no value."""

from __future__ import annotations

import json
import re

GAP = re.compile(r"\{\{([#^/]?)([^{}|]+)(\|json)?\}\}")


class Entry:
    __slots__ = ("value", "key", "last")

    def __init__(self, value, key=None, last=True):
        self.value, self.key, self.last = value, key, last


def find(at: list[Entry], name: str):
    if name == ".":
        return at[-1].value
    for e in reversed(at):
        got = _walk(e.value, name.split("."))
        if got is not None:
            return got
    return None


def _walk(v, parts: list[str]):
    for p in parts:
        if isinstance(v, dict):
            v = v.get(p)
        elif isinstance(v, list) and p.isdigit() and int(p) < len(v):
            v = v[int(p)]
        else:
            return None
    return v


def _text(v) -> str:
    if v is None or isinstance(v, str):
        return v or ""
    if isinstance(v, list):
        return ",".join(map(_text, v))
    return json.dumps(v)


def _entries(v) -> list[Entry]:
    if not isinstance(v, (list, dict)):
        return [Entry(v)] if v not in (None, False) else []
    rows = list(v.items()) if isinstance(v, dict) else list(enumerate(v))
    return [Entry(x, k, i == len(rows) - 1) for i, (k, x) in enumerate(rows)]


def fill(text: str, settings: dict) -> str:
    return _fill(text, [Entry(settings)])


def _fill(text: str, at: list[Entry]) -> str:
    out, pos = [], 0
    while (m := GAP.search(text, pos)) is not None:
        out.append(text[pos : m.start()])
        kind, name, as_json = m.groups()
        pos = m.end()
        if not kind:
            out.append(_gap(at, name, as_json is not None))
            continue
        close = "{{/%s}}" % name
        end = text.index(close, pos)
        inner, pos = text[pos:end], end + len(close)
        entries = _entries(find(at, name))
        if kind == "#":
            out += [_fill(inner, [*at, e]) for e in entries]
        elif not entries:
            out.append(_fill(inner, at))
    return "".join([*out, text[pos:]])


def _gap(at: list[Entry], name: str, as_json: bool) -> str:
    if name == "@":
        return str(at[-1].key)
    if name == ",":
        return "" if at[-1].last else ","
    v = find(at, name)
    return json.dumps(v) if as_json else _text(v)
