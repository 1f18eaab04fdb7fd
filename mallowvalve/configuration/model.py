from __future__ import annotations

from typing import Literal

import msgspec

from mallowvalve.routing.compiler import Match, Policy, Request


class Service(msgspec.Struct, frozen=True):
    status: str = "/health"


class Region(msgspec.Struct, frozen=True):
    zones: list[str]
    policy: str = ""


class Tenant(msgspec.Struct, frozen=True):
    homes: list[str] = []


class Cell(msgspec.Struct, frozen=True):
    region: str
    regions: list[str] = []
    tenants: dict[str, Tenant] = {}
    policy: str = ""


class Route(msgspec.Struct, frozen=True):
    cell: str
    match: str
    kind: Literal["read", "once"]
    service: str
    order: int = 0
    policy: str = ""


class Doc(msgspec.Struct, frozen=True):
    services: dict[str, Service] = {}
    regions: dict[str, Region] = {}
    cells: dict[str, Cell] = {}
    routes: dict[str, Route] = {}


class Plan(msgspec.Struct, frozen=True):
    route: str
    cell: str
    service: str
    kind: str
    policy: Policy
    match: Match
    order: int


class Tree(msgspec.Struct, frozen=True):
    doc: Doc
    cell_of: dict[str, str]
    plans: dict[str, list[Plan]]

    def choose(self, tenant: str, req: Request) -> Plan | None:
        for p in self.plans.get(self.cell_of[tenant], []):
            if p.match(req):
                return p
        return None

    def homes(self, tenant: str) -> frozenset[str] | None:
        cell = self.doc.cells[self.cell_of[tenant]]
        return frozenset(cell.tenants[tenant].homes or cell.regions) or None
