"""A call that sets and drops items, read whole, with every finding's place."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from mallowvalve import finding
from mallowvalve.configuration.items import (
    DOCS,
    KINDS,
    LIMITS,
    PARTS,
    Amend,
    Doc,
    HostRoute,
    Item,
    Limits,
    Part,
    ServiceItem,
    decode,
    plain_host,
    twice,
)
from mallowvalve.finding import Finding, Findings

AIM_OVER_MS = 60_000.0
NAME_BYTES = 1024
VERSION_LEAST, VERSION_MOST = -(1 << 63), (1 << 63) - 1


class Gone(msgspec.Struct, frozen=True, kw_only=True):
    """A dropped item of a named kind."""

    name: str
    version: int


class GoneLimits(msgspec.Struct, frozen=True, kw_only=True):
    """The limits, dropped."""

    version: int


class OtherItem(msgspec.Struct, frozen=True, kw_only=True):
    """What an item of a kind that the product does not use must say."""

    version: int
    name: str = ""


class CallDoc(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a call, by kind: items to set and to drop."""

    set: dict[str, msgspec.Raw] = {}
    drop: dict[str, msgspec.Raw] = {}


_call = msgspec.json.Decoder(CallDoc).decode
_raws = msgspec.json.Decoder(list[msgspec.Raw]).decode
_other_item = msgspec.json.Decoder(OtherItem).decode


def read(body: bytes) -> Result[Amend, Findings]:
    """A whole call, every finding with its place; what it must stand with is left to `Items.check`."""
    try:
        body.decode()
        call = _call(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as e:
        text, _, place = str(e).partition(" - at `$.")
        return Err([Finding(place.removesuffix("`") or "body", text)])
    found: Findings = []
    items: list[Item] = []
    for kind, raw in call.set.items():
        for place, one in _each(kind, raw, f"set.{kind}", found):
            doc = _read(kind, one, place, found)
            if doc is not None:
                items.append(Item(kind, getattr(doc, "name", ""), doc.version, one))
    for kind, raw in call.drop.items():
        for place, one in _each(kind, raw, f"drop.{kind}", found):
            gone = _gone(kind, one, place, found)
            if gone is not None:
                items.append(Item(kind, getattr(gone, "name", ""), gone.version, None))
    found += twice(items) + _places_twice(items)
    return Err(found) if found else Ok(Amend(items))


def _each(kind: str, raw: msgspec.Raw, place: str, found: Findings) -> list[tuple[str, bytes]]:
    """The items of one kind: a list of them, or the only one it has."""
    text = bytes(raw)
    if text == b"null":
        return []
    many = kind in PARTS or kind != LIMITS and text[:1] == b"["
    if not many:
        return [(place, text)]
    try:
        return [(f"{place}[{n}]", bytes(r)) for n, r in enumerate(_raws(text))]
    except (msgspec.DecodeError, RecursionError) as e:
        found.append(Finding(place, str(e)))
        return []


def _gone(kind: str, raw: bytes, place: str, found: Findings) -> Gone | GoneLimits | OtherItem | None:
    shape: type[Gone | GoneLimits | OtherItem] = OtherItem
    if kind in PARTS:
        shape = Gone
    elif kind == LIMITS:
        shape = GoneLimits
    data = finding.parse_json(raw, place)
    if isinstance(data, Err):
        return None
    doc: Gone | GoneLimits | OtherItem | None = finding.read_into(found, shape, _known(shape, data.ok_value), place)
    if isinstance(doc, Gone):
        _name(doc.name, f"{place}.name", found)
    return doc if doc is not None and _version(doc.version, place, found) else None


def _places_twice(items: list[Item]) -> Findings:
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
        had = owner.setdefault((plain_host(r.host), r.prefix), r.name)
        if had != r.name:
            found.append(Finding(f"set.routes.{r.name}.prefix", f"{had!r} has this host and prefix already"))
    return found


def _read(kind: str, raw: bytes, place: str, found: Findings) -> Doc | OtherItem | None:
    before = len(found)
    try:
        doc: Doc | OtherItem = DOCS[kind](raw) if kind in DOCS else _other_item(raw)
    except (msgspec.DecodeError, RecursionError) as e:
        data = finding.parse_json(raw, place)
        if isinstance(data, Ok):
            shape: type[Doc | OtherItem] = KINDS.get(kind, OtherItem)
            finding.read_into(found, shape, _known(shape, data.ok_value), place)
        if len(found) == before:
            found.append(Finding(place, f"not understood: {e}"))
        return None
    if not _version(doc.version, place, found):
        return None
    match doc:
        case HostRoute():
            _name(doc.name, f"{place}.name", found)
            _route_found(doc, place, found)
        case ServiceItem():
            _name(doc.name, f"{place}.name", found)
            _service_found(doc, place, found)
        case Limits():
            _limits_found(doc, place, found)
    return doc if len(found) == before else None


def _known(kind: type[msgspec.Struct], data: object) -> object:
    """Without the fields that the product does not know: those are passed over."""
    if not isinstance(data, dict):
        return data
    data = {f: data[f] for f in kind.__struct_fields__ if f in data}
    if kind is HostRoute and isinstance(data.get("split"), list):
        data["split"] = [_known(Part, p) for p in data["split"]]
    return data


def _version(version: int, place: str, found: Findings) -> bool:
    fits = VERSION_LEAST <= version <= VERSION_MOST
    if not fits:
        found.append(Finding(f"{place}.version", "want a whole number of 64 bits"))
    return fits


def _name(name: str, place: str, found: Findings) -> None:
    if not 0 < len(name) <= NAME_BYTES:
        found.append(Finding(place, f"want 1 to {NAME_BYTES} characters"))


def _route_found(r: HostRoute, place: str, found: Findings) -> None:
    if not r.host:
        found.append(Finding(f"{place}.host", "must not be empty"))
    if not r.prefix.startswith("/") or not r.prefix.endswith("/"):
        found.append(Finding(f"{place}.prefix", "must begin and end with /"))
    if r.limit_ms <= 0:
        found.append(Finding(f"{place}.limit_ms", "must be above 0"))
    if r.aim_ms < 0:
        found.append(Finding(f"{place}.aim_ms", "must not be negative"))
    if r.aim_ms >= r.limit_ms + AIM_OVER_MS:
        found.append(Finding(f"{place}.aim_ms", "a minute or more above limit_ms"))
    if (r.service is None) != bool(r.split):
        found.append(Finding(f"{place}.service", "want either service or split"))
    for n, p in enumerate(r.split):
        if p.weight < 0:
            found.append(Finding(f"{place}.split[{n}].weight", "must not be negative"))
    if r.split and sum(p.weight for p in r.split) <= 0:
        found.append(Finding(f"{place}.split", "the weights add up to 0"))


def _service_found(s: ServiceItem, place: str, found: Findings) -> None:
    if not s.status.startswith("/"):
        found.append(Finding(f"{place}.status", "must begin with /"))
    _not_negative(s, ("connections", "cold_s", "cold_per_s"), place, found)


def _limits_found(limits: Limits, place: str, found: Findings) -> None:
    _not_negative(limits, ("header_bytes", "body_bytes", "header_ms", "idle_ms"), place, found)


def _not_negative(doc: Doc, names: tuple[str, ...], place: str, found: Findings) -> None:
    found += [Finding(f"{place}.{n}", "must not be negative") for n in names if getattr(doc, n) < 0]
