"""The plan of a change: what differs for services, tenants and routes, and whom tenants' work may reach."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from mallowvalve.configuration.model import Plan, Tree
from mallowvalve.types import Locality, is_reachable


class Move(msgspec.Struct, frozen=True, order=True):
    """One difference: where, what, and the values on both sides."""

    place: str
    what: str
    before: object = None
    after: object = None


class ReadyUpstream(msgspec.Struct, frozen=True):
    """An upstream that is ready just now."""

    service: str
    instance: str
    locality: Locality


def plan(old: Tree, new: Tree, upstreams: list[ReadyUpstream], evacuated: Mapping[str, int]) -> list[Move]:
    """All differences between two trees, given the upstreams and evacuations of now."""
    return [
        *_services(old, new, upstreams),
        *_tenants(old, new),
        *_routes(old, new),
        *_reach(old, new, upstreams, evacuated),
    ]


def _services(old: Tree, new: Tree, upstreams: list[ReadyUpstream]) -> list[Move]:
    out = []
    for name in sorted(old.doc.services.keys() | new.doc.services.keys()):
        before = old.doc.services.get(name)
        after = new.doc.services.get(name)
        if before == after:
            continue
        if before is None:
            what = "added"
        elif after is None:
            live = sum(upstream.service == name for upstream in upstreams)
            what = f"removed, {live} upstreams live"
        else:
            what = "changed"
        out.append(Move(f"services.{name}", what, before, after))
    return out


def _tenants(old: Tree, new: Tree) -> list[Move]:
    out = []
    for tenant in sorted(old.cell_of.keys() | new.cell_of.keys()):
        place = f"tenants.{tenant}"
        before = old.cell_of.get(tenant)
        after = new.cell_of.get(tenant)
        if before != after:
            what = "added" if before is None else "removed" if after is None else "moves to another cell"
            out.append(Move(place, what, before, after))
        if before is None or after is None:
            continue
        homes_before = old.homes(tenant)
        homes_after = new.homes(tenant)
        if homes_before != homes_after:
            out.append(Move(place, "homes change", _names(homes_before), _names(homes_after)))
    return out


def _names(homes: frozenset[str] | None) -> list[str] | str:
    return "anywhere" if homes is None else sorted(homes)


def _flat(tree: Tree) -> dict[str, Plan]:
    return {plan.route: plan for plans in tree.plans.values() for plan in plans}


def _routes(old: Tree, new: Tree) -> list[Move]:
    out = []
    before = _flat(old)
    after = _flat(new)
    for name in sorted(before.keys() | after.keys()):
        place = f"routes.{name}"
        if name not in after:
            out.append(Move(place, "removed", before[name].service, None))
        elif name not in before:
            out.append(Move(place, "added", None, after[name].service))
        else:
            out += _plan_moves(place, before[name], after[name])
            match_before = old.doc.routes[name].match
            match_after = new.doc.routes[name].match
            if match_before != match_after:
                out.append(Move(place, "match changes", match_before, match_after))
            out += _policy_moves(place, before[name], after[name])
    return out


def _plan_moves(place: str, before: Plan, after: Plan) -> list[Move]:
    fields = ("cell", "service", "kind", "order")
    values = [(field, getattr(before, field), getattr(after, field)) for field in fields]
    return [Move(place, f"{field} changes", x, y) for field, x, y in values if x != y]


def _policy_moves(place: str, before: Plan, after: Plan) -> list[Move]:
    fields = before.policy.__struct_fields__
    values = [(field, getattr(before.policy, field), getattr(after.policy, field)) for field in fields]
    return [Move(place, f"policy {field} changes", x, y) for field, x, y in values if x != y]


def _reach(old: Tree, new: Tree, upstreams: list[ReadyUpstream], evacuated: Mapping[str, int]) -> list[Move]:
    out = []
    for tenant in sorted(old.cell_of.keys() | new.cell_of.keys()):
        place = f"tenants.{tenant}"
        before = _of(old, tenant, upstreams, evacuated)
        after = _of(new, tenant, upstreams, evacuated)
        for service in sorted(before.keys() | after.keys()):
            reach_before = before.get(service, frozenset())
            reach_after = after.get(service, frozenset())
            if reach_before != reach_after:
                what = f"upstreams of {service} change"
                out.append(Move(place, what, sorted(reach_before - reach_after), sorted(reach_after - reach_before)))
            if reach_before and not reach_after and service in after:
                out.append(Move(place, f"{service} has no upstream left", len(reach_before), 0))
    return out


def _of(
    tree: Tree, tenant: str, upstreams: list[ReadyUpstream], evacuated: Mapping[str, int]
) -> dict[str, frozenset[str]]:
    """The instances that a tenant's work may reach, by service."""
    if tenant not in tree.cell_of:
        return {}
    services = {plan.service for plan in tree.plans[tree.cell_of[tenant]]}
    homes = tree.homes(tenant)
    return {
        service: frozenset(
            upstream.instance
            for upstream in upstreams
            if upstream.service == service and is_reachable(upstream.locality, homes, evacuated)
        )
        for service in services
    }
