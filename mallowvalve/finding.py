"""Validation findings with their places, and conversion of JSON-like data into structs that reports all of them."""

from __future__ import annotations

import types
import typing
from collections.abc import Mapping
from functools import cache
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

Value = TypeVar("Value")


class Finding(msgspec.Struct, frozen=True, order=True):
    """A validation error: its place (`routes.a.policy`, `seeds[0]`) and its text."""

    place: str
    text: str

    def __str__(self) -> str:
        """PLACE: TEXT."""
        return f"{self.place}: {self.text}"


Findings = list[Finding]
MAX_REPORTED = 100
"""How many findings an answer or a stored outcome holds; the number of the others follows as one more."""


def shorten(findings: Findings) -> Findings:
    """Returns the first findings and, if they are more than `MAX_REPORTED`, the number of the others."""
    others = len(findings) - MAX_REPORTED
    if others <= 1:
        return findings
    return [*findings[:MAX_REPORTED], Finding("findings", f"{others} more are left out")]


def join(place: str, key: str) -> str:
    """Returns the place of the field `key` within `place`."""
    return f"{place}.{key}" if place else key


def read(kind: type[Value], data: object, place: str = "") -> Result[Value, Findings]:
    """Converts JSON-like data strictly into `kind`; the error holds every finding, not only the first."""
    found: Findings = []
    value = read_into(found, kind, data, place)
    return Err(found) if found else Ok(typing.cast(Value, value))


def read_into(found: Findings, kind: type[Value], data: object, place: str = "") -> Value | None:
    """Does the same as `read`, but appends the findings to `found` and returns None for unreadable data."""
    value: Value | None = _convert(kind, data, place, found)
    return value


def parse_json(body: bytes | memoryview, place: str = "body") -> Result[Any, Findings]:
    """Decodes JSON; the error holds one finding."""
    try:
        return Ok(msgspec.json.decode(body))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Err([Finding(place, f"not JSON: {error}")])


def _convert(kind: Any, data: Any, place: str, found: Findings) -> Any:
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return _convert_struct(kind, data, place, found)
    origin = typing.get_origin(kind)
    parameters = typing.get_args(kind)
    if origin is dict and parameters[0] is str:
        return _convert_dict(parameters[1], data, place, found)
    if origin is list:
        return _convert_list(parameters[0], data, place, found)
    if origin in (typing.Union, types.UnionType) and data is not None:
        others = [parameter for parameter in parameters if parameter is not type(None)]
        if len(others) == 1:
            return _convert(others[0], data, place, found)
    try:
        return msgspec.convert(data, kind, strict=True)
    except msgspec.ValidationError as error:
        found.append(Finding(place, str(error)))
        return None


@cache
def _fields(kind: type[msgspec.Struct]) -> Mapping[str, msgspec.structs.FieldInfo]:
    return {field.encode_name: field for field in msgspec.structs.fields(kind)}


def _convert_struct(kind: type[msgspec.Struct], data: Any, place: str, found: Findings) -> msgspec.Struct | None:
    if not isinstance(data, dict):
        found.append(Finding(place, f"expected an object, got {type(data).__name__}"))
        return None
    fields = _fields(kind)
    before = len(found)
    found += [Finding(join(place, str(key)), "unknown field") for key in data if key not in fields]
    values = {}
    for name, field in fields.items():
        if name in data:
            values[field.name] = _convert(field.type, data[name], join(place, name), found)
        elif field.required:
            found.append(Finding(join(place, name), "missing"))
    if len(found) > before:
        return None
    try:
        return kind(**values)
    except ValueError as error:
        found.append(Finding(place, str(error)))
        return None


def _convert_dict(kind: Any, data: Any, place: str, found: Findings) -> dict[str, Any]:
    if not isinstance(data, dict):
        found.append(Finding(place, f"expected an object, got {type(data).__name__}"))
        return {}
    return {key: _convert(kind, value, join(place, str(key)), found) for key, value in data.items()}


def _convert_list(kind: Any, data: Any, place: str, found: Findings) -> list[Any]:
    if not isinstance(data, list):
        found.append(Finding(place, f"expected an array, got {type(data).__name__}"))
        return []
    return [_convert(kind, value, f"{place}[{i}]", found) for i, value in enumerate(data)]
