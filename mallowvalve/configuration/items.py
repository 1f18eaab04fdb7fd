"""Settings as versioned items: the highest version of an item is in force, whether it sets or drops the item.

A version has one content: the same content again is acknowledged, other content under the version is a conflict.
"""

from __future__ import annotations

from functools import lru_cache
from typing import Literal

import msgspec
from result import Err, Ok, Result

from mallowvalve.configuration.same import same_json
from mallowvalve.finding import Finding, Findings


class WeightedService(msgspec.Struct, frozen=True):
    """One service of a split route, and its weight."""

    service: str
    weight: float


class HostRoute(msgspec.Struct, frozen=True, kw_only=True):
    """The route of a host's requests below a prefix; times in ms.

    A request of kind `read` may run again, one of kind `try` runs at most once in each try.
    """

    name: str
    version: int
    host: str
    prefix: str
    kind: Literal["read", "try"]
    limit_ms: float
    aim_ms: float = 0.0
    priority: int = 0
    service: str | None = None
    split: list[WeightedService] = []
    tries: int = 1
    homes: list[str] = []


class ServiceItem(msgspec.Struct, frozen=True, kw_only=True):
    """A service: `status` is the path of its health check, `connections` the limit of an upstream for all callers.

    For `cold_s` seconds from its start an upstream is cold and takes `cold_per_s` requests a second.
    """

    name: str
    version: int
    status: str = "/health"
    connections: int = 0
    cold_s: float = 0.0
    cold_per_s: float = 0.0


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """The limits of a client's requests: sizes (bytes), the time for the headers and the idle time (ms)."""

    version: int
    header_bytes: int = 16384
    body_bytes: int = 1 << 20
    header_ms: float = 5000.0
    idle_ms: float = 15000.0


class Item(msgspec.Struct, array_like=True, frozen=True):
    """An item: `doc` is its JSON as received, None once it is dropped; the only item of a kind has an empty name.

    Items of kinds other than routes, services and limits are only stored and returned, not interpreted.
    """

    kind: str
    name: str
    version: int
    doc: bytes | None


class Amend(msgspec.Struct, frozen=True, array_like=True, tag="amend"):
    """Sets and drops the items of one call: all of them, or none."""

    items: list[Item]
    ask: str = ""


NAMED_KINDS = ("routes", "services")
LIMITS_KIND = "limits"
MAX_CACHED_HOSTS = 10000
"""The bound of hosts whose homes are cached, as clients may ask for any name."""

CONFLICT_EXCERPT_BYTES = 2000
"""How much of the stored item a conflict shows."""


class Items:
    """The items in force, and the versions of dropped items. Replicated: only `apply` changes it.

    `hosts` has the routes by host and prefix. Tombstones are kept for good, as an old change may arrive at any time.
    """

    __slots__ = ("rows", "revision", "hosts", "routes", "services", "limits", "_longest_prefix", "_homes_by_host")

    def __init__(self) -> None:
        """Creates a state without items."""
        self.rows: dict[tuple[str, str], Item] = {}
        self.revision = 0
        self.hosts: dict[str, dict[str, HostRoute]] = {}
        self.routes: dict[str, HostRoute] = {}
        self.services: dict[str, ServiceItem] = {}
        self.limits = Limits(version=0)
        self._longest_prefix: dict[str, int] = {}
        self._homes_by_host: dict[str, frozenset[str] | None] = {}

    def apply(self, command: Amend, revision: int) -> Findings:
        """Applies the items that are newer than the stored ones; changes nothing if there is a finding.

        `revision` becomes the revision of the items if any of them changes.
        """
        evaluation = self.evaluate(command)
        if not evaluation.found and not evaluation.conflicts:
            self.apply_evaluation(evaluation, revision)
        return evaluation.found or evaluation.conflicts

    def apply_evaluation(self, evaluation: Evaluation, revision: int) -> None:
        """Applies a call that was evaluated against this state without findings."""
        for item in evaluation.items:
            self._put(item, evaluation.documents.get((item.kind, item.name)))
            self.revision = revision

    def check(self, command: Amend) -> Findings:
        """Returns what would prevent the call from being applied; changes nothing."""
        evaluation = self.evaluate(command)
        return evaluation.found or evaluation.conflicts

    def has_newer(self, command: Amend) -> bool:
        """Returns whether the call has any item of a newer version than the stored one."""
        return any(
            (stored := self.rows.get((item.kind, item.name))) is None or item.version > stored.version
            for item in command.items
        )

    def find(self, host: str, path: str) -> HostRoute | None:
        """Returns the route of the host with the longest prefix of the path."""
        by_prefix = self.hosts.get(host)
        if by_prefix is None:
            host = normalize_host(host)
            by_prefix = self.hosts.get(host)
            if by_prefix is None:
                return None
        end = path.rfind("/", 0, self._longest_prefix[host])
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def homes(self, host: str) -> frozenset[str] | None:
        """Returns the regions that are homes of all the host's routes with homes; None if no route has any."""
        host = normalize_host(host)
        if host not in self._homes_by_host:
            bound = [frozenset(route.homes) for route in self.hosts.get(host, {}).values() if route.homes]
            if len(self._homes_by_host) >= MAX_CACHED_HOSTS:
                self._homes_by_host.clear()
            self._homes_by_host[host] = frozenset.intersection(*bound) if bound else None
        return self._homes_by_host[host]

    def current_documents(self, kind: str) -> list[msgspec.Raw]:
        """Returns the items of a kind as received, by name."""
        return [msgspec.Raw(i.doc) for k, i in sorted(self.rows.items()) if k[0] == kind and i.doc is not None]

    def kinds(self) -> list[str]:
        """Returns the interpreted kinds, then the other kinds that have items."""
        present = {kind for (kind, _), item in self.rows.items() if item.doc is not None}
        return [*DOCUMENT_TYPES, *sorted(present - DOCUMENT_TYPES.keys())]

    def load_rows(self, rows: list[Item]) -> None:
        """Loads rows of a snapshot."""
        for item in rows:
            self._put(item, decode(item).ok() if item.doc is not None and item.kind in DOCUMENT_TYPES else None)

    def _put(self, item: Item, document: ItemDocument | None) -> None:
        self.rows[item.kind, item.name] = item
        if item.kind == LIMITS_KIND:
            self.limits = document if isinstance(document, Limits) else Limits(version=item.version)
        elif item.kind == "routes":
            self._put_route(item.name, document if isinstance(document, HostRoute) else None)
        elif isinstance(document, ServiceItem):
            self.services[item.name] = document
        elif item.kind == "services":
            self.services.pop(item.name, None)

    def _put_route(self, name: str, route: HostRoute | None) -> None:
        replaced = self.routes.pop(name, None)
        if replaced is not None:
            host = normalize_host(replaced.host)
            self._homes_by_host.pop(host, None)
            by_prefix = self.hosts[host]
            if by_prefix.get(replaced.prefix) is replaced:
                del by_prefix[replaced.prefix]
            if not by_prefix:
                del self.hosts[host], self._longest_prefix[host]
        if route is None:
            return
        host = normalize_host(route.host)
        self._homes_by_host.pop(host, None)
        self.routes[name] = route
        self.hosts.setdefault(host, {})[route.prefix] = route
        self._longest_prefix[host] = max(self._longest_prefix.get(host, 0), len(route.prefix))

    def evaluate(self, command: Amend) -> Evaluation:
        """Evaluates a call against the current items; changes nothing."""
        found = contradictory_items(command.items)
        conflicts: Findings = []
        documents: dict[tuple[str, str], ItemDocument] = {}
        newest: dict[tuple[str, str], Item] = {}
        given_services = {item.name for item in command.items if item.kind == "services"}
        for item in command.items:
            key = item.kind, item.name
            stored = self.rows.get(key)
            if stored is not None and stored.version == item.version and not same_content(item, stored):
                conflicts.append(version_conflict(stored))
                continue
            previous = newest.get(key) or stored
            if previous is None or item.version > previous.version:
                newest[key] = item
                documents.pop(key, None)
            elif item.kind != "routes" or item.doc is None:
                continue
            if item.doc is None or item.kind not in DOCUMENT_TYPES:
                continue
            document = decode(item)
            if isinstance(document, Err):
                found += document.err_value
            elif newest.get(key) is item:
                documents[key] = document.ok_value
            elif isinstance(document.ok_value, HostRoute):
                found += self._unknown_services(document.ok_value, given_services)
        if not found:
            found = self._check_outcome(newest, documents)
        return Evaluation(list(newest.values()), documents, found, sorted(set(conflicts)))

    def _unknown_services(self, route: HostRoute, given_services: set[str]) -> Findings:
        """Finds services that never existed in a route of an older version.

        Such a route changes nothing, but it could not have been in force at any time.
        """
        return [
            Finding(f"routes.{route.name}.service", f"no service {service!r}")
            for service in services_of(route)
            if service not in given_services and ("services", service) not in self.rows
        ]

    def _check_outcome(
        self, newest: dict[tuple[str, str], Item], documents: dict[tuple[str, str], ItemDocument]
    ) -> Findings:
        """Checks the items that would be in force after the call."""
        found: Findings = []
        dropped_services = {
            name
            for (kind, name), item in newest.items()
            if kind == "services" and item.doc is None and name in self.services
        }
        set_services = {name for kind, name in documents if kind == "services"}
        changed_routes = {name for kind, name in newest if kind == "routes"}
        owners: dict[tuple[str, str], str] = {}
        for (_, name), route in documents.items():
            if not isinstance(route, HostRoute):
                continue
            for service in services_of(route):
                if service in dropped_services or service not in set_services and service not in self.services:
                    found.append(Finding(f"routes.{name}.service", f"no service {service!r}"))
            location = normalize_host(route.host), route.prefix
            other = self.hosts.get(location[0], {}).get(route.prefix)
            unchanged = repr(other.name) if other is not None and other.name not in changed_routes else None
            owner = owners.get(location) or unchanged
            if owner is not None:
                found.append(Finding(f"routes.{name}.prefix", f"{owner} has this host and prefix already"))
            owners[location] = repr(name)
        for name, current in self.routes.items() if dropped_services else ():
            if name not in changed_routes:
                found += [
                    Finding(f"services.{service}", f"{name!r} still names it")
                    for service in services_of(current)
                    if service in dropped_services
                ]
        return sorted(set(found))


class Evaluation(msgspec.Struct):
    """An evaluated call.

    `items` and `documents` are the items to store and their decoded documents, `found` tells why the call is invalid,
    `conflicts` names versions that are stored with other content.
    """

    items: list[Item]
    documents: dict[tuple[str, str], HostRoute | ServiceItem | Limits]
    found: Findings
    conflicts: Findings


ItemDocument = HostRoute | ServiceItem | Limits
DOCUMENT_TYPES: dict[str, type[ItemDocument]] = {"routes": HostRoute, "services": ServiceItem, LIMITS_KIND: Limits}
DOCUMENT_DECODERS = {kind: msgspec.json.Decoder(shape).decode for kind, shape in DOCUMENT_TYPES.items()}


def decode(item: Item) -> Result[ItemDocument, Findings]:
    """Returns the item's document as a checked struct, or why it cannot be decoded."""
    try:
        return Ok(DOCUMENT_DECODERS[item.kind](item.doc or b""))
    except (msgspec.DecodeError, RecursionError, KeyError) as error:
        return Err([Finding(f"{item.kind}.{item.name}", f"not understood: {error}")])


def same_content(a: Item, b: Item) -> bool:
    """Returns whether two items of a kind have the same content.

    Interpreted kinds are compared decoded, with their defaults; other kinds by JSON value.
    """
    if a.doc == b.doc or a.doc is None or b.doc is None:
        return a.doc == b.doc
    if a.kind not in DOCUMENT_TYPES:
        return same_json(a.doc, b.doc)
    return decode(a) == decode(b)


def version_place(item: Item) -> str:
    """Returns the place of an item's version, for a finding."""
    return ".".join(part for part in (item.kind, item.name, "version") if part)


def version_conflict(stored: Item) -> Finding:
    """Returns the finding that a version is stored with other content; it shows an excerpt of the stored item."""
    text = "a drop" if stored.doc is None else stored.doc[:CONFLICT_EXCERPT_BYTES].decode(errors="replace")
    return Finding(version_place(stored), f"{stored.version} holds already, with other content: {text}")


def contradictory_items(items: list[Item]) -> Findings:
    """Finds items that one call gives two contents under the same version."""
    first: dict[tuple[str, str, int], Item] = {}
    found = {
        Finding(version_place(item), f"{item.version} is given two contents in this call")
        for item in items
        if not same_content(first.setdefault((item.kind, item.name, item.version), item), item)
    }
    return sorted(found)


@lru_cache(4096)
def normalize_host(host: str) -> str:
    """Returns a host name for comparison: in lower case, without port and trailing dot."""
    name, sep, port = host.rpartition(":")
    return (name if sep and port.isdigit() else host).rstrip(".").lower()


def services_of(route: HostRoute) -> list[str]:
    """Returns the services to which a route sends requests."""
    if route.split:
        return [part.service for part in route.split]
    return [route.service] if route.service is not None else []
