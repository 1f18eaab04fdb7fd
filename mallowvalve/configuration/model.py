"""The configuration document as operators write it, and the tree that it is compiled to."""

from __future__ import annotations

from typing import Literal

import msgspec

from mallowvalve.routing.compiler import Match, Policy, RouteRequest


class Service(msgspec.Struct, frozen=True):
    """A service; `status` is the path of the health check of its upstreams."""

    status: str = "/health"


class Region(msgspec.Struct, frozen=True):
    """A region with its zones, and the policy of its cells."""

    zones: list[str]
    policy: str = ""


class Tenant(msgspec.Struct, frozen=True):
    """A tenant; `homes` are the regions that may serve it, empty for all regions of its cell."""

    homes: list[str] = []


class Cell(msgspec.Struct, frozen=True):
    """A cell and its tenants; `regions` are those that may serve it, empty for all."""

    region: str
    regions: list[str] = []
    tenants: dict[str, Tenant] = {}
    policy: str = ""


class Route(msgspec.Struct, frozen=True):
    """A route of a cell; a request of kind `once` runs at most once. Routes of lower `order` are matched first."""

    cell: str
    match: str
    kind: Literal["read", "once"]
    service: str
    order: int = 0
    policy: str = ""


class Document(msgspec.Struct, frozen=True):
    """The whole configuration document."""

    services: dict[str, Service] = {}
    regions: dict[str, Region] = {}
    cells: dict[str, Cell] = {}
    routes: dict[str, Route] = {}


class Plan(msgspec.Struct, frozen=True):
    """A compiled route with its effective policy."""

    route: str
    cell: str
    service: str
    kind: str
    policy: Policy
    match: Match
    order: int


class Tree(msgspec.Struct, frozen=True):
    """A checked document: `cell_of` gives the cell by tenant, `plans` the routes by cell in matching order."""

    doc: Document
    cell_of: dict[str, str]
    plans: dict[str, list[Plan]]

    def choose(self, tenant: str, request: RouteRequest) -> Plan | None:
        """Returns the first route of the tenant's cell that matches the request; KeyError for an unknown tenant."""
        for plan in self.plans.get(self.cell_of[tenant], []):
            if plan.match(request):
                return plan
        return None

    def homes(self, tenant: str) -> frozenset[str] | None:
        """Returns the regions that may serve the tenant, None for any; KeyError for an unknown tenant."""
        cell = self.doc.cells[self.cell_of[tenant]]
        return frozenset(cell.tenants[tenant].homes or cell.regions) or None
