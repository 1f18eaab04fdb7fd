"""Checks a configuration document and compiles it to the tree by which requests are routed."""

from __future__ import annotations

from result import Err, Ok, Result

from mallowvalve import finding
from mallowvalve.configuration.model import Cell, Document, Plan, Tree
from mallowvalve.finding import Finding, Findings
from mallowvalve.routing import compiler
from mallowvalve.routing.compiler import DEFAULT_POLICY, Policy

EMPTY_TREE = Tree(Document(), {}, {})
MAX_NAME_CHARS = 128


def build(data: object) -> Result[Tree, Findings]:
    """Returns the tree of a decoded document, or all findings with their places."""
    result = finding.read(Document, data, "")
    if isinstance(result, Err):
        return result
    doc: Document = result.ok_value
    found = _check_names(doc) + _check_regions(doc) + _check_cells(doc)
    cell_of = _cells_by_tenant(doc, found)
    plans = _compile_plans(doc, found)
    return Err(sorted(set(found))) if found else Ok(Tree(doc, cell_of, plans))


def build_document(document: bytes) -> Result[Tree, Findings]:
    """Returns the tree of an encoded document (JSON), or all findings."""
    return finding.parse_json(document, "document").and_then(build)


def _check_names(doc: Document) -> Findings:
    found = []
    for section in ("services", "regions", "cells", "routes"):
        for name in getattr(doc, section):
            if not name or len(name) > MAX_NAME_CHARS or not name.isprintable() or "/" in name:
                found.append(Finding(f"{section}.{name}", "a name is 1 to 128 printable characters without /"))
    for name, service in doc.services.items():
        if not service.status.startswith("/"):
            found.append(Finding(f"services.{name}.status", "must begin with /"))
    return found


def _check_regions(doc: Document) -> Findings:
    found: Findings = []
    region_of: dict[str, str] = {}
    for name, region in doc.regions.items():
        if not region.zones:
            found.append(Finding(f"regions.{name}.zones", "at least one"))
        for index, zone in enumerate(region.zones):
            if zone in region_of:
                found.append(Finding(f"regions.{name}.zones[{index}]", f"{zone!r} is in {region_of[zone]!r} already"))
            region_of[zone] = name
    return found


def _check_cells(doc: Document) -> Findings:
    found = []
    for name, cell in doc.cells.items():
        found += _check_references(f"cells.{name}.region", [cell.region], doc.regions, "region", single=True)
        found += _check_references(f"cells.{name}.regions", cell.regions, doc.regions, "region")
        for tenant_name, tenant in cell.tenants.items():
            place = f"cells.{name}.tenants.{tenant_name}.homes"
            found += _check_references(place, tenant.homes, doc.regions, "region")
            found += [
                Finding(f"{place}[{i}]", f"{home!r} is outside the cell's regions")
                for i, home in enumerate(tenant.homes)
                if cell.regions and home not in cell.regions
            ]
    return found


def _check_references(place: str, names: list[str], known: dict, kind: str, single: bool = False) -> Findings:
    return [
        Finding(place if single else f"{place}[{i}]", f"no {kind} {n!r}") for i, n in enumerate(names) if n not in known
    ]


def _cells_by_tenant(doc: Document, found: Findings) -> dict[str, str]:
    cell_of: dict[str, str] = {}
    for name, cell in doc.cells.items():
        for tenant in cell.tenants:
            if tenant in cell_of:
                found.append(Finding(f"cells.{name}.tenants.{tenant}", f"owned by cell {cell_of[tenant]!r} already"))
            cell_of[tenant] = name
    return cell_of


def _compile_policy(text: str, place: str, found: Findings) -> Policy:
    result = compiler.policy(text, place)
    if isinstance(result, Err):
        found += result.err_value
        return Policy()
    return result.ok_value


def _compile_plans(doc: Document, found: Findings) -> dict[str, list[Plan]]:
    regions = {n: _compile_policy(r.policy, f"regions.{n}.policy", found) for n, r in doc.regions.items()}
    cells = {n: _compile_policy(c.policy, f"cells.{n}.policy", found) for n, c in doc.cells.items()}
    plans: dict[str, list[Plan]] = {name: [] for name in doc.cells}
    for name, route in doc.routes.items():
        own_policy = _compile_policy(route.policy, f"routes.{name}.policy", found)
        match = compiler.match(route.match, f"routes.{name}.match")
        if isinstance(match, Err):
            found += match.err_value
        found += _check_references(f"routes.{name}.service", [route.service], doc.services, "service", single=True)
        missing = _check_references(f"routes.{name}.cell", [route.cell], doc.cells, "cell", single=True)
        found += missing
        if missing or isinstance(match, Err):
            continue
        cell: Cell = doc.cells[route.cell]
        policy = (
            DEFAULT_POLICY.overridden_by(regions.get(cell.region, Policy()))
            .overridden_by(cells[route.cell])
            .overridden_by(own_policy)
        )
        plans[route.cell].append(Plan(name, route.cell, route.service, route.kind, policy, match.ok_value, route.order))
    for cell_plans in plans.values():
        cell_plans.sort(key=lambda plan: (plan.order, plan.route))
    return plans
