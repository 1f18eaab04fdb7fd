from __future__ import annotations

import msgspec

from mallowvalve.configuration.model import Plan, Tree
from mallowvalve.types import Locality, reachable


class Move(msgspec.Struct, frozen=True, order=True):
    place: str
    what: str
    before: object = None
    after: object = None


class Seen(msgspec.Struct, frozen=True):
    service: str
    instance: str
    locality: Locality


def plan(old: Tree, new: Tree, upstreams: list[Seen], evacuated: dict[str, int]) -> list[Move]:
    return [
        *_services(old, new, upstreams),
        *_tenants(old, new),
        *_routes(old, new),
        *_reach(old, new, upstreams, evacuated),
    ]


def _services(old: Tree, new: Tree, upstreams: list[Seen]) -> list[Move]:
    out = []
    for n in sorted(old.doc.services.keys() | new.doc.services.keys()):
        a, b = old.doc.services.get(n), new.doc.services.get(n)
        if a != b:
            live = sum(u.service == n for u in upstreams)
            what = "added" if a is None else f"removed, {live} upstreams live" if b is None else "changed"
            out.append(Move(f"services.{n}", what, a, b))
    return out


def _tenants(old: Tree, new: Tree) -> list[Move]:
    out = []
    for t in sorted(old.cell_of.keys() | new.cell_of.keys()):
        a, b = old.cell_of.get(t), new.cell_of.get(t)
        if a != b:
            out.append(
                Move(
                    f"tenants.{t}", "added" if a is None else "removed" if b is None else "moves to another cell", a, b
                )
            )
        if a is None or b is None:
            continue
        ha, hb = old.homes(t), new.homes(t)
        if ha != hb:
            out.append(Move(f"tenants.{t}", "homes change", _names(ha), _names(hb)))
    return out


def _names(homes: frozenset[str] | None) -> list[str] | str:
    return "anywhere" if homes is None else sorted(homes)


def _flat(t: Tree) -> dict[str, Plan]:
    return {p.route: p for ps in t.plans.values() for p in ps}


def _routes(old: Tree, new: Tree) -> list[Move]:
    out, a, b = [], _flat(old), _flat(new)
    for n in sorted(a.keys() | b.keys()):
        place = f"routes.{n}"
        if n not in a or n not in b:
            out.append(
                Move(
                    place,
                    "removed" if n in a else "added",
                    n in a and a[n].service or None,
                    n in b and b[n].service or None,
                )
            )
            continue
        for f in ("cell", "service", "kind", "order"):
            if getattr(a[n], f) != getattr(b[n], f):
                out.append(Move(place, f"{f} changes", getattr(a[n], f), getattr(b[n], f)))
        if old.doc.routes[n].match != new.doc.routes[n].match:
            out.append(Move(place, "match changes", old.doc.routes[n].match, new.doc.routes[n].match))
        for f in a[n].policy.__struct_fields__:
            x, y = getattr(a[n].policy, f), getattr(b[n].policy, f)
            if x != y:
                out.append(Move(place, f"policy {f} changes", x, y))
    return out


def _reach(old: Tree, new: Tree, upstreams: list[Seen], evacuated: dict[str, int]) -> list[Move]:
    out = []
    for t in sorted(old.cell_of.keys() | new.cell_of.keys()):
        a, b = _of(old, t, upstreams, evacuated), _of(new, t, upstreams, evacuated)
        for service in sorted(a.keys() | b.keys()):
            x, y = a.get(service, frozenset()), b.get(service, frozenset())
            if x != y:
                out.append(Move(f"tenants.{t}", f"upstreams of {service} change", sorted(x - y), sorted(y - x)))
            if x and not y and service in b:
                out.append(Move(f"tenants.{t}", f"{service} has no upstream left", len(x), 0))
    return out


def _of(t: Tree, tenant: str, upstreams: list[Seen], evacuated: dict[str, int]) -> dict[str, frozenset[str]]:
    if tenant not in t.cell_of:
        return {}
    services = {p.service for p in t.plans[t.cell_of[tenant]]}
    homes = t.homes(tenant)
    return {
        s: frozenset(u.instance for u in upstreams if u.service == s and reachable(u.locality, homes, evacuated))
        for s in services
    }
