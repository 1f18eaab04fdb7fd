"""A call that sets and drops items, read whole, with every finding's place."""

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
MIN_VERSION, MAX_VERSION = -(1 << 63), (1 << 63) - 1


class DroppedItem(msgspec.Struct, frozen=True, kw_only=True):
    """A dropped item of a named kind."""

    name: str
    version: int


class DroppedLimits(msgspec.Struct, frozen=True, kw_only=True):
    """The limits, dropped."""

    version: int


class UninterpretedItem(msgspec.Struct, frozen=True, kw_only=True):
    """What an item of a kind that the product does not use must say."""

    version: int
    name: str = ""


class AmendBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a call, by kind: items to set and to drop."""

    set: dict[str, msgspec.Raw] = {}
    drop: dict[str, msgspec.Raw] = {}


_decode_body = msgspec.json.Decoder(AmendBody).decode
_decode_list = msgspec.json.Decoder(list[msgspec.Raw]).decode
_decode_uninterpreted = msgspec.json.Decoder(UninterpretedItem).decode


def parse_amend(body: bytes) -> Result[Amend, Findings]:
    """A whole call, every finding with its place; what it must stand with is left to `Items.check`."""
    try:
        body.decode()
        call = _decode_body(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as e:
        text, _, place = str(e).partition(" - at `$.")
        return Err([Finding(place.removesuffix("`") or "body", text)])
    found: Findings = []
    items: list[Item] = []
    for kind, raw in call.set.items():
        for place, one in _items_of_kind(kind, raw, f"set.{kind}", found):
            doc = _parse_item(kind, one, place, found)
            if doc is not None:
                items.append(Item(kind, getattr(doc, "name", ""), doc.version, one))
    for kind, raw in call.drop.items():
        for place, one in _items_of_kind(kind, raw, f"drop.{kind}", found):
            gone = _parse_dropped(kind, one, place, found)
            if gone is not None:
                items.append(Item(kind, getattr(gone, "name", ""), gone.version, None))
    found += contradictory_items(items) + _route_clashes(items)
    return Err(found) if found else Ok(Amend(items))


def _items_of_kind(kind: str, raw: msgspec.Raw, place: str, found: Findings) -> list[tuple[str, bytes]]:
    """The items of one kind: a list of them, or the only one it has."""
    text = bytes(raw)
    if text == b"null":
        return []
    many = kind in NAMED_KINDS or kind != LIMITS_KIND and text[:1] == b"["
    if not many:
        return [(place, text)]
    try:
        return [(f"{place}[{n}]", bytes(r)) for n, r in enumerate(_decode_list(text))]
    except (msgspec.DecodeError, RecursionError) as e:
        found.append(Finding(place, str(e)))
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
    doc: DroppedItem | DroppedLimits | UninterpretedItem | None = finding.read_into(
        found, shape, _known_fields(shape, data.ok_value), place
    )
    if isinstance(doc, DroppedItem):
        _check_name(doc.name, f"{place}.name", found)
    return doc if doc is not None and _check_version(doc.version, place, found) else None


def _route_clashes(items: list[Item]) -> Findings:
    """Routes of one call that could not stand beside each other, whatever else stands."""
    found: Findings = []
    newest: dict[str, HostRoute] = {}
    for i in items:
        if i.kind == "routes" and i.doc is not None:
            route = decode(i).ok()
            if not isinstance(route, HostRoute):
                continue
            if route.name not in newest or route.version > newest[route.name].version:
                newest[route.name] = route
    owner: dict[tuple[str, str], str] = {}
    for r in newest.values():
        had = owner.setdefault((normalize_host(r.host), r.prefix), r.name)
        if had != r.name:
            found.append(Finding(f"set.routes.{r.name}.prefix", f"{had!r} has this host and prefix already"))
    return found


def _parse_item(kind: str, raw: bytes, place: str, found: Findings) -> ItemDocument | UninterpretedItem | None:
    before = len(found)
    try:
        doc: ItemDocument | UninterpretedItem = (
            DOCUMENT_DECODERS[kind](raw) if kind in DOCUMENT_DECODERS else _decode_uninterpreted(raw)
        )
    except (msgspec.DecodeError, RecursionError) as e:
        data = finding.parse_json(raw, place)
        if isinstance(data, Ok):
            shape: type[ItemDocument | UninterpretedItem] = DOCUMENT_TYPES.get(kind, UninterpretedItem)
            finding.read_into(found, shape, _known_fields(shape, data.ok_value), place)
        if len(found) == before:
            found.append(Finding(place, f"not understood: {e}"))
        return None
    if not _check_version(doc.version, place, found):
        return None
    match doc:
        case HostRoute():
            _check_name(doc.name, f"{place}.name", found)
            _check_route(doc, place, found)
        case ServiceItem():
            _check_name(doc.name, f"{place}.name", found)
            _check_service(doc, place, found)
        case Limits():
            _check_limits(doc, place, found)
    return doc if len(found) == before else None


def _known_fields(kind: type[msgspec.Struct], data: object) -> object:
    """Without the fields that the product does not know: those are passed over."""
    if not isinstance(data, dict):
        return data
    data = {f: data[f] for f in kind.__struct_fields__ if f in data}
    if kind is HostRoute and isinstance(data.get("split"), list):
        data["split"] = [_known_fields(WeightedService, p) for p in data["split"]]
    return data


def _check_version(version: int, place: str, found: Findings) -> bool:
    fits = MIN_VERSION <= version <= MAX_VERSION
    if not fits:
        found.append(Finding(f"{place}.version", "want a whole number of 64 bits"))
    return fits


def _check_name(name: str, place: str, found: Findings) -> None:
    if not 0 < len(name) <= MAX_NAME_CHARS:
        found.append(Finding(place, f"want 1 to {MAX_NAME_CHARS} characters"))


def _check_route(r: HostRoute, place: str, found: Findings) -> None:
    if not r.host:
        found.append(Finding(f"{place}.host", "must not be empty"))
    if not r.prefix.startswith("/") or not r.prefix.endswith("/"):
        found.append(Finding(f"{place}.prefix", "must begin and end with /"))
    if r.limit_ms <= 0:
        found.append(Finding(f"{place}.limit_ms", "must be above 0"))
    if r.aim_ms < 0:
        found.append(Finding(f"{place}.aim_ms", "must not be negative"))
    if r.aim_ms >= r.limit_ms + MAX_AIM_OVER_LIMIT_MS:
        found.append(Finding(f"{place}.aim_ms", "a minute or more above limit_ms"))
    if (r.service is None) != bool(r.split):
        found.append(Finding(f"{place}.service", "want either service or split"))
    for n, p in enumerate(r.split):
        if p.weight < 0:
            found.append(Finding(f"{place}.split[{n}].weight", "must not be negative"))
    if r.split and sum(p.weight for p in r.split) <= 0:
        found.append(Finding(f"{place}.split", "the weights add up to 0"))


def _check_service(s: ServiceItem, place: str, found: Findings) -> None:
    if not s.status.startswith("/"):
        found.append(Finding(f"{place}.status", "must begin with /"))
    _check_not_negative(s, ("connections", "cold_s", "cold_per_s"), place, found)


def _check_limits(limits: Limits, place: str, found: Findings) -> None:
    _check_not_negative(limits, ("header_bytes", "body_bytes", "header_ms", "idle_ms"), place, found)


def _check_not_negative(doc: ItemDocument, names: tuple[str, ...], place: str, found: Findings) -> None:
    found += [Finding(f"{place}.{n}", "must not be negative") for n in names if getattr(doc, n) < 0]
