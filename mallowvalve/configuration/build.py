"""Checks a configuration document and compiles it to the tree that requests are routed by."""

from __future__ import annotations

from result import Err, Ok, Result

from mallowvalve import finding
from mallowvalve.configuration.model import Cell, Doc, Plan, Tree
from mallowvalve.finding import Finding, Findings
from mallowvalve.routing import compiler
from mallowvalve.routing.compiler import DEFAULT, Policy

EMPTY = Tree(Doc(), {}, {})
NAME_BYTES = 128


def build(data: object) -> Result[Tree, Findings]:
    """The tree of a decoded document, or all that is wrong with it, each with its place."""
    r = finding.read(Doc, data, "")
    if isinstance(r, Err):
        return r
    doc: Doc = r.ok_value
    found = _names(doc) + _regions(doc) + _cells(doc)
    cell_of = _tenants(doc, found)
    plans = _plans(doc, found)
    return Err(sorted(set(found))) if found else Ok(Tree(doc, cell_of, plans))


def _names(doc: Doc) -> Findings:
    out = []
    for part in ("services", "regions", "cells", "routes"):
        for n in getattr(doc, part):
            if not n or len(n) > NAME_BYTES or not n.isprintable() or "/" in n:
                out.append(Finding(f"{part}.{n}", "a name is 1 to 128 printable characters without /"))
    for n, s in doc.services.items():
        if not s.status.startswith("/"):
            out.append(Finding(f"services.{n}.status", "must begin with /"))
    return out


def _regions(doc: Doc) -> Findings:
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


def _cells(doc: Doc) -> Findings:
    out = []
    for n, c in doc.cells.items():
        out += _known(f"cells.{n}.region", [c.region], doc.regions, "region", one=True)
        out += _known(f"cells.{n}.regions", c.regions, doc.regions, "region")
        for t, v in c.tenants.items():
            place = f"cells.{n}.tenants.{t}.homes"
            out += _known(place, v.homes, doc.regions, "region")
            out += [
                Finding(f"{place}[{i}]", f"{h!r} is outside the cell's regions")
                for i, h in enumerate(v.homes)
                if c.regions and h not in c.regions
            ]
    return out


def _known(place: str, names: list[str], among: dict, what: str, one: bool = False) -> Findings:
    return [
        Finding(place if one else f"{place}[{i}]", f"no {what} {n!r}") for i, n in enumerate(names) if n not in among
    ]


def _tenants(doc: Doc, found: Findings) -> dict[str, str]:
    out: dict[str, str] = {}
    for n, c in doc.cells.items():
        for t in c.tenants:
            if t in out:
                found.append(Finding(f"cells.{n}.tenants.{t}", f"owned by cell {out[t]!r} already"))
            out[t] = n
    return out


def _policy(text: str, place: str, found: Findings) -> Policy:
    r = compiler.policy(text, place)
    if isinstance(r, Err):
        found += r.err_value
        return Policy()
    return r.ok_value


def _plans(doc: Doc, found: Findings) -> dict[str, list[Plan]]:
    regions = {n: _policy(r.policy, f"regions.{n}.policy", found) for n, r in doc.regions.items()}
    cells = {n: _policy(c.policy, f"cells.{n}.policy", found) for n, c in doc.cells.items()}
    out: dict[str, list[Plan]] = {n: [] for n in doc.cells}
    for n, r in doc.routes.items():
        own = _policy(r.policy, f"routes.{n}.policy", found)
        m = compiler.match(r.match, f"routes.{n}.match")
        if isinstance(m, Err):
            found += m.err_value
        found += _known(f"routes.{n}.service", [r.service], doc.services, "service", one=True)
        missing = _known(f"routes.{n}.cell", [r.cell], doc.cells, "cell", one=True)
        found += missing
        if missing or isinstance(m, Err):
            continue
        cell: Cell = doc.cells[r.cell]
        policy = DEFAULT.under(regions.get(cell.region, Policy())).under(cells[r.cell]).under(own)
        out[r.cell].append(Plan(n, r.cell, r.service, r.kind, policy, m.ok_value, r.order))
    for ps in out.values():
        ps.sort(key=lambda p: (p.order, p.route))
    return out
