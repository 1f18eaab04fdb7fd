"""Renders the deployment templates: placeholders, sections for lists and tables, and inverted sections."""

from __future__ import annotations

import json
import re
from typing import Any

TAG = re.compile(r"\{\{([#^/]?)([^{}|]+)(\|json)?\}\}")


class TemplateEntry:
    """A value in scope: an entry of a list or table with its key, and whether it is the last one."""

    __slots__ = ("value", "key", "last")

    def __init__(self, value: Any, key: str | int | None = None, last: bool = True):
        """Without a key for a value that is no entry."""
        self.value, self.key, self.last = value, key, last


def find(scopes: list[TemplateEntry], name: str) -> Any:
    """Returns the value of a dotted name in the innermost scope that has it; `.` is the innermost value itself."""
    if name == ".":
        return scopes[-1].value
    for entry in reversed(scopes):
        found = _walk(entry.value, name.split("."))
        if found is not None:
            return found
    return None


def _walk(value: Any, parts: list[str]) -> Any:
    for part in parts:
        if isinstance(value, dict):
            value = value.get(part)
        elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
            value = value[int(part)]
        else:
            return None
    return value


def _text(value: Any) -> str:
    if value is None or isinstance(value, str):
        return value or ""
    if isinstance(value, list):
        return ",".join(map(_text, value))
    return json.dumps(value)


def _entries(value: Any) -> list[TemplateEntry]:
    if not isinstance(value, (list, dict)):
        return [TemplateEntry(value)] if value not in (None, False) else []
    rows: list[tuple[Any, Any]] = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
    return [TemplateEntry(entry, key, index == len(rows) - 1) for index, (key, entry) in enumerate(rows)]


def fill(text: str, settings: dict[str, Any]) -> str:
    """Returns the template `text` rendered with `settings`."""
    return _render(text, [TemplateEntry(settings)])


def _render(text: str, scopes: list[TemplateEntry]) -> str:
    rendered: list[str] = []
    position = 0
    while (match := TAG.search(text, position)) is not None:
        rendered.append(text[position : match.start()])
        kind, name, as_json = match.groups()
        position = match.end()
        if not kind:
            rendered.append(_placeholder(scopes, name, as_json is not None))
            continue
        closing_tag = f"{{{{/{name}}}}}"
        end = text.index(closing_tag, position)
        section, position = text[position:end], end + len(closing_tag)
        entries = _entries(find(scopes, name))
        if kind == "#":
            rendered += [_render(section, [*scopes, entry]) for entry in entries]
        elif not entries:
            rendered.append(_render(section, scopes))
    return "".join([*rendered, text[position:]])


def _placeholder(scopes: list[TemplateEntry], name: str, as_json: bool) -> str:
    if name == "@":
        return str(scopes[-1].key)
    if name == ",":
        return "" if scopes[-1].last else ","
    value = find(scopes, name)
    return json.dumps(value) if as_json else _text(value)
