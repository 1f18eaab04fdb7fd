"""The plan of a change: the differences in services, tenants, routes and the upstreams that tenants may reach."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from mallowvalve.configuration.model import Plan, Tree
from mallowvalve.types import Locality, is_reachable


class Move(msgspec.Struct, frozen=True, order=True):
    """One difference: its place, its description, and the values before and after."""

    place: str
    what: str
    before: object = None
    after: object = None


class ReadyUpstream(msgspec.Struct, frozen=True):
    """An upstream that is ready at present."""

    service: str
    instance: str
    locality: Locality


def plan(old: Tree, new: Tree, upstreams: list[ReadyUpstream], evacuated: Mapping[str, int]) -> list[Move]:
    """Returns all differences between two trees for the current upstreams and evacuations."""
    return [
        *_service_moves(old, new, upstreams),
        *_tenant_moves(old, new),
        *_route_moves(old, new),
        *_reach_moves(old, new, upstreams, evacuated),
    ]


def _service_moves(old: Tree, new: Tree, upstreams: list[ReadyUpstream]) -> list[Move]:
    moves = []
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
        moves.append(Move(f"services.{name}", what, before, after))
    return moves


def _tenant_moves(old: Tree, new: Tree) -> list[Move]:
    moves = []
    for tenant in sorted(old.cell_of.keys() | new.cell_of.keys()):
        place = f"tenants.{tenant}"
        before = old.cell_of.get(tenant)
        after = new.cell_of.get(tenant)
        if before != after:
            what = "added" if before is None else "removed" if after is None else "moves to another cell"
            moves.append(Move(place, what, before, after))
        if before is None or after is None:
            continue
        homes_before = old.homes(tenant)
        homes_after = new.homes(tenant)
        if homes_before != homes_after:
            moves.append(Move(place, "homes change", _sorted_homes(homes_before), _sorted_homes(homes_after)))
    return moves


def _sorted_homes(homes: frozenset[str] | None) -> list[str] | str:
    return "anywhere" if homes is None else sorted(homes)


def _plans_by_route(tree: Tree) -> dict[str, Plan]:
    return {plan.route: plan for plans in tree.plans.values() for plan in plans}


def _route_moves(old: Tree, new: Tree) -> list[Move]:
    moves = []
    before = _plans_by_route(old)
    after = _plans_by_route(new)
    for name in sorted(before.keys() | after.keys()):
        place = f"routes.{name}"
        if name not in after:
            moves.append(Move(place, "removed", before[name].service, None))
        elif name not in before:
            moves.append(Move(place, "added", None, after[name].service))
        else:
            moves += _plan_moves(place, before[name], after[name])
            match_before = old.doc.routes[name].match
            match_after = new.doc.routes[name].match
            if match_before != match_after:
                moves.append(Move(place, "match changes", match_before, match_after))
            moves += _policy_moves(place, before[name], after[name])
    return moves


def _plan_moves(place: str, before: Plan, after: Plan) -> list[Move]:
    fields = ("cell", "service", "kind", "order")
    values = [(field, getattr(before, field), getattr(after, field)) for field in fields]
    return [Move(place, f"{field} changes", old, new) for field, old, new in values if old != new]


def _policy_moves(place: str, before: Plan, after: Plan) -> list[Move]:
    fields = before.policy.__struct_fields__
    values = [(field, getattr(before.policy, field), getattr(after.policy, field)) for field in fields]
    return [Move(place, f"policy {field} changes", old, new) for field, old, new in values if old != new]


def _reach_moves(old: Tree, new: Tree, upstreams: list[ReadyUpstream], evacuated: Mapping[str, int]) -> list[Move]:
    moves = []
    for tenant in sorted(old.cell_of.keys() | new.cell_of.keys()):
        place = f"tenants.{tenant}"
        before = _reachable_instances(old, tenant, upstreams, evacuated)
        after = _reachable_instances(new, tenant, upstreams, evacuated)
        for service in sorted(before.keys() | after.keys()):
            reach_before = before.get(service, frozenset())
            reach_after = after.get(service, frozenset())
            if reach_before != reach_after:
                what = f"upstreams of {service} change"
                moves.append(Move(place, what, sorted(reach_before - reach_after), sorted(reach_after - reach_before)))
            if reach_before and not reach_after and service in after:
                moves.append(Move(place, f"{service} has no upstream left", len(reach_before), 0))
    return moves


def _reachable_instances(
    tree: Tree, tenant: str, upstreams: list[ReadyUpstream], evacuated: Mapping[str, int]
) -> dict[str, frozenset[str]]:
    """Returns the instances that a tenant's requests may reach, by service."""
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
