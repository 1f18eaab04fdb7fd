"""Parses the body of a call that sets and drops items, and reports all findings with their places."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from mallowvalve import finding
from mallowvalve.configuration.items import (
    DOCUMENT_DECODERS,
    DOCUMENT_TYPES,
    LIMITS_KIND,
    NAMED_KINDS,
    Amend,
    HostRoute,
    Item,
    ItemDocument,
    Limits,
    ServiceItem,
    WeightedService,
    contradictory_items,
    decode,
    normalize_host,
)
from mallowvalve.finding import Finding, Findings

MAX_AIM_OVER_LIMIT_MS = 60_000.0
MAX_NAME_CHARS = 1024
MIN_VERSION = -(1 << 63)
MAX_VERSION = (1 << 63) - 1


class DroppedItem(msgspec.Struct, frozen=True, kw_only=True):
    """An item to drop, of a kind whose items have names."""

    name: str
    version: int


class DroppedLimits(msgspec.Struct, frozen=True, kw_only=True):
    """The limits, to drop."""

    version: int


class UninterpretedItem(msgspec.Struct, frozen=True, kw_only=True):
    """The required fields of an item whose kind is not interpreted."""

    version: int
    name: str = ""


class AmendBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a call: the items to set and to drop, by kind."""

    set: dict[str, msgspec.Raw] = {}
    drop: dict[str, msgspec.Raw] = {}


_decode_body = msgspec.json.Decoder(AmendBody).decode
_decode_list = msgspec.json.Decoder(list[msgspec.Raw]).decode
_decode_uninterpreted = msgspec.json.Decoder(UninterpretedItem).decode


def parse_amend(body: bytes | memoryview) -> Result[Amend, Findings]:
    """Returns the parsed call, or all findings with their places; `Items.check` checks it against the current items."""
    try:
        str(body, "utf-8")
        call = _decode_body(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        message, _, place = str(error).partition(" - at `$.")
        return Err([Finding(place.removesuffix("`") or "body", message)])
    found: Findings = []
    items: list[Item] = []
    for kind, raw in call.set.items():
        for place, text in _items_of_kind(kind, raw, f"set.{kind}", found):
            document = _parse_item(kind, text, place, found)
            if document is not None:
                items.append(Item(kind, getattr(document, "name", ""), document.version, text))
    for kind, raw in call.drop.items():
        for place, text in _items_of_kind(kind, raw, f"drop.{kind}", found):
            dropped = _parse_dropped(kind, text, place, found)
            if dropped is not None:
                items.append(Item(kind, getattr(dropped, "name", ""), dropped.version, None))
    found += contradictory_items(items) + _route_clashes(items)
    return Err(found) if found else Ok(Amend(items))


def _items_of_kind(kind: str, raw: msgspec.Raw, place: str, found: Findings) -> list[tuple[str, bytes]]:
    """Returns the items of one kind with their places: those of a list, or the only one."""
    text = bytes(raw)
    if text == b"null":
        return []
    many = kind in NAMED_KINDS or kind != LIMITS_KIND and text[:1] == b"["
    if not many:
        return [(place, text)]
    try:
        return [(f"{place}[{i}]", bytes(item)) for i, item in enumerate(_decode_list(text))]
    except (msgspec.DecodeError, RecursionError) as error:
        found.append(Finding(place, str(error)))
        return []


def _parse_dropped(
    kind: str, raw: bytes, place: str, found: Findings
) -> DroppedItem | DroppedLimits | UninterpretedItem | None:
    shape: type[DroppedItem | DroppedLimits | UninterpretedItem] = UninterpretedItem
    if kind in NAMED_KINDS:
        shape = DroppedItem
    elif kind == LIMITS_KIND:
        shape = DroppedLimits
    data = finding.parse_json(raw, place)
    if isinstance(data, Err):
        return None
    dropped: DroppedItem | DroppedLimits | UninterpretedItem | None = finding.read_into(
        found, shape, _known_fields(shape, data.ok_value), place
    )
    if isinstance(dropped, DroppedItem):
        _check_name(dropped.name, f"{place}.name", found)
    return dropped if dropped is not None and _check_version(dropped.version, place, found) else None


def _route_clashes(items: list[Item]) -> Findings:
    """Finds routes of the call with the same host and prefix: they are invalid whatever items are in force."""
    found: Findings = []
    newest: dict[str, HostRoute] = {}
    for item in items:
        if item.kind == "routes" and item.doc is not None:
            route = decode(item).ok()
            if not isinstance(route, HostRoute):
                continue
            if route.name not in newest or route.version > newest[route.name].version:
                newest[route.name] = route
    owners: dict[tuple[str, str], str] = {}
    for route in newest.values():
        owner = owners.setdefault((normalize_host(route.host), route.prefix), route.name)
        if owner != route.name:
            found.append(Finding(f"set.routes.{route.name}.prefix", f"{owner!r} has this host and prefix already"))
    return found


def _parse_item(kind: str, raw: bytes, place: str, found: Findings) -> ItemDocument | UninterpretedItem | None:
    found_before = len(found)
    try:
        document: ItemDocument | UninterpretedItem = (
            DOCUMENT_DECODERS[kind](raw) if kind in DOCUMENT_DECODERS else _decode_uninterpreted(raw)
        )
    except (msgspec.DecodeError, RecursionError) as error:
        data = finding.parse_json(raw, place)
        if isinstance(data, Ok):
            shape: type[ItemDocument | UninterpretedItem] = DOCUMENT_TYPES.get(kind, UninterpretedItem)
            finding.read_into(found, shape, _known_fields(shape, data.ok_value), place)
        if len(found) == found_before:
            found.append(Finding(place, f"not understood: {error}"))
        return None
    if not _check_version(document.version, place, found):
        return None
    match document:
        case HostRoute():
            _check_name(document.name, f"{place}.name", found)
            _check_route(document, place, found)
        case ServiceItem():
            _check_name(document.name, f"{place}.name", found)
            _check_service(document, place, found)
        case Limits():
            _check_limits(document, place, found)
    return document if len(found) == found_before else None


def _known_fields(shape: type[msgspec.Struct], data: object) -> object:
    """Returns the data without its unknown fields, which are ignored."""
    if not isinstance(data, dict):
        return data
    data = {f: data[f] for f in shape.__struct_fields__ if f in data}
    if shape is HostRoute and isinstance(data.get("split"), list):
        data["split"] = [_known_fields(WeightedService, part) for part in data["split"]]
    return data


def _check_version(version: int, place: str, found: Findings) -> bool:
    fits = MIN_VERSION <= version <= MAX_VERSION
    if not fits:
        found.append(Finding(f"{place}.version", "want a whole number of 64 bits"))
    return fits


def _check_name(name: str, place: str, found: Findings) -> None:
    if not 0 < len(name) <= MAX_NAME_CHARS:
        found.append(Finding(place, f"want 1 to {MAX_NAME_CHARS} characters"))


def _check_route(route: HostRoute, place: str, found: Findings) -> None:
    if not route.host:
        found.append(Finding(f"{place}.host", "must not be empty"))
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        found.append(Finding(f"{place}.prefix", "must begin and end with /"))
    if route.limit_ms <= 0:
        found.append(Finding(f"{place}.limit_ms", "must be above 0"))
    if route.aim_ms < 0:
        found.append(Finding(f"{place}.aim_ms", "must not be negative"))
    if route.aim_ms >= route.limit_ms + MAX_AIM_OVER_LIMIT_MS:
        found.append(Finding(f"{place}.aim_ms", "a minute or more above limit_ms"))
    if (route.service is None) != bool(route.split):
        found.append(Finding(f"{place}.service", "want either service or split"))
    for index, part in enumerate(route.split):
        if part.weight < 0:
            found.append(Finding(f"{place}.split[{index}].weight", "must not be negative"))
    if route.split and sum(part.weight for part in route.split) <= 0:
        found.append(Finding(f"{place}.split", "the weights add up to 0"))


def _check_service(service: ServiceItem, place: str, found: Findings) -> None:
    if not service.status.startswith("/"):
        found.append(Finding(f"{place}.status", "must begin with /"))
    _check_not_negative(service, ("connections", "cold_s", "cold_per_s"), place, found)


def _check_limits(limits: Limits, place: str, found: Findings) -> None:
    _check_not_negative(limits, ("header_bytes", "body_bytes", "header_ms", "idle_ms"), place, found)


def _check_not_negative(document: ItemDocument, fields: tuple[str, ...], place: str, found: Findings) -> None:
    found += [Finding(f"{place}.{field}", "must not be negative") for field in fields if getattr(document, field) < 0]
