"""Checks a configuration document and compiles it to the tree that requests are routed by."""

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
    """The tree of a decoded document, or all that is wrong with it, each with its place."""
    r = finding.read(Document, data, "")
    if isinstance(r, Err):
        return r
    doc: Document = r.ok_value
    found = _check_names(doc) + _check_regions(doc) + _check_cells(doc)
    cell_of = _cells_by_tenant(doc, found)
    plans = _compile_plans(doc, found)
    return Err(sorted(set(found))) if found else Ok(Tree(doc, cell_of, plans))


def _check_names(doc: Document) -> Findings:
    out = []
    for part in ("services", "regions", "cells", "routes"):
        for n in getattr(doc, part):
            if not n or len(n) > MAX_NAME_CHARS or not n.isprintable() or "/" in n:
                out.append(Finding(f"{part}.{n}", "a name is 1 to 128 printable characters without /"))
    for n, s in doc.services.items():
        if not s.status.startswith("/"):
            out.append(Finding(f"services.{n}.status", "must begin with /"))
    return out


def _check_regions(doc: Document) -> Findings:
    out: Findings = []
    owner: dict[str, str] = {}
    for n, r in doc.regions.items():
        if not r.zones:
            out.append(Finding(f"regions.{n}.zones", "at least one"))
        for i, z in enumerate(r.zones):
            if z in owner:
                out.append(Finding(f"regions.{n}.zones[{i}]", f"{z!r} is in {owner[z]!r} already"))
            owner[z] = n
    return out


def _check_cells(doc: Document) -> Findings:
    out = []
    for n, c in doc.cells.items():
        out += _check_references(f"cells.{n}.region", [c.region], doc.regions, "region", one=True)
        out += _check_references(f"cells.{n}.regions", c.regions, doc.regions, "region")
        for t, v in c.tenants.items():
            place = f"cells.{n}.tenants.{t}.homes"
            out += _check_references(place, v.homes, doc.regions, "region")
            out += [
                Finding(f"{place}[{i}]", f"{h!r} is outside the cell's regions")
                for i, h in enumerate(v.homes)
                if c.regions and h not in c.regions
            ]
    return out


def _check_references(place: str, names: list[str], among: dict, what: str, one: bool = False) -> Findings:
    return [
        Finding(place if one else f"{place}[{i}]", f"no {what} {n!r}") for i, n in enumerate(names) if n not in among
    ]


def _cells_by_tenant(doc: Document, found: Findings) -> dict[str, str]:
    out: dict[str, str] = {}
    for n, c in doc.cells.items():
        for t in c.tenants:
            if t in out:
                found.append(Finding(f"cells.{n}.tenants.{t}", f"owned by cell {out[t]!r} already"))
            out[t] = n
    return out


def _compile_policy(text: str, place: str, found: Findings) -> Policy:
    r = compiler.policy(text, place)
    if isinstance(r, Err):
        found += r.err_value
        return Policy()
    return r.ok_value


def _compile_plans(doc: Document, found: Findings) -> dict[str, list[Plan]]:
    regions = {n: _compile_policy(r.policy, f"regions.{n}.policy", found) for n, r in doc.regions.items()}
    cells = {n: _compile_policy(c.policy, f"cells.{n}.policy", found) for n, c in doc.cells.items()}
    out: dict[str, list[Plan]] = {n: [] for n in doc.cells}
    for n, r in doc.routes.items():
        own = _compile_policy(r.policy, f"routes.{n}.policy", found)
        m = compiler.match(r.match, f"routes.{n}.match")
        if isinstance(m, Err):
            found += m.err_value
        found += _check_references(f"routes.{n}.service", [r.service], doc.services, "service", one=True)
        missing = _check_references(f"routes.{n}.cell", [r.cell], doc.cells, "cell", one=True)
        found += missing
        if missing or isinstance(m, Err):
            continue
        cell: Cell = doc.cells[r.cell]
        policy = (
            DEFAULT_POLICY.overridden_by(regions.get(cell.region, Policy()))
            .overridden_by(cells[r.cell])
            .overridden_by(own)
        )
        out[r.cell].append(Plan(n, r.cell, r.service, r.kind, policy, m.ok_value, r.order))
    for ps in out.values():
        ps.sort(key=lambda p: (p.order, p.route))
    return out
