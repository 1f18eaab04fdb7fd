"""The configuration document as its operators write it, and the tree that it is compiled to."""

from __future__ import annotations

from typing import Literal

import msgspec

from mallowvalve.routing.compiler import Match, Policy, RouteRequest


class Service(msgspec.Struct, frozen=True):
    """A service; `status` is the path of its upstreams' status page."""

    status: str = "/health"


class Region(msgspec.Struct, frozen=True):
    """A region with its zones and the policy of its cells."""

    zones: list[str]
    policy: str = ""


class Tenant(msgspec.Struct, frozen=True):
    """A tenant; `homes` are the regions that may serve it, none for all of its cell's."""

    homes: list[str] = []


class Cell(msgspec.Struct, frozen=True):
    """A cell and its tenants; `regions` are those that may serve it, none for all."""

    region: str
    regions: list[str] = []
    tenants: dict[str, Tenant] = {}
    policy: str = ""


class Route(msgspec.Struct, frozen=True):
    """A route of a cell; a request of kind `once` runs at most once. Lower `order` is tried first."""

    cell: str
    match: str
    kind: Literal["read", "once"]
    service: str
    order: int = 0
    policy: str = ""


class Document(msgspec.Struct, frozen=True):
    """The whole document."""

    services: dict[str, Service] = {}
    regions: dict[str, Region] = {}
    cells: dict[str, Cell] = {}
    routes: dict[str, Route] = {}


class Plan(msgspec.Struct, frozen=True):
    """A route, compiled, with the policy in force on it."""

    route: str
    cell: str
    service: str
    kind: str
    policy: Policy
    match: Match
    order: int


class Tree(msgspec.Struct, frozen=True):
    """A checked document: `cell_of` by tenant, `plans` by cell in the order in which they are tried."""

    doc: Document
    cell_of: dict[str, str]
    plans: dict[str, list[Plan]]

    def choose(self, tenant: str, req: RouteRequest) -> Plan | None:
        """The first route of the tenant's cell that matches the request; KeyError for an unknown tenant."""
        for p in self.plans.get(self.cell_of[tenant], []):
            if p.match(req):
                return p
        return None

    def homes(self, tenant: str) -> frozenset[str] | None:
        """The regions that may serve the tenant; None for any. KeyError for an unknown tenant."""
        cell = self.doc.cells[self.cell_of[tenant]]
        return frozenset(cell.tenants[tenant].homes or cell.regions) or None
