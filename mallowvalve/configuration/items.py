"""Settings as items, each with a version of its own: the highest holds, whether it sets or drops.

One version has one content: the same again is acknowledged, another one under it is a conflict.
"""

from __future__ import annotations

from functools import lru_cache
from typing import Literal

import msgspec
from result import Err, Ok, Result

from mallowvalve.configuration.same import same_json
from mallowvalve.finding import Finding, Findings


class WeightedService(msgspec.Struct, frozen=True):
    """One service of a split route, with its share."""

    service: str
    weight: float


class HostRoute(msgspec.Struct, frozen=True, kw_only=True):
    """A host's requests below a prefix; `read` may run again, `try` at most once a try. Times in ms."""

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
    """`status` is the path of its health answer, `connections` what an upstream takes of all callers together.

    For `cold_s` seconds from its start an upstream is cold, and takes `cold_per_s` requests a second.
    """

    name: str
    version: int
    status: str = "/health"
    connections: int = 0
    cold_s: float = 0.0
    cold_per_s: float = 0.0


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """What a client may send, and for how long it may take or rest (bytes, ms)."""

    version: int
    header_bytes: int = 16384
    body_bytes: int = 1 << 20
    header_ms: float = 5000.0
    idle_ms: float = 15000.0


class Item(msgspec.Struct, array_like=True, frozen=True):
    """`doc` is the item as it was sent (JSON), or None once dropped; one that stands alone in its kind has no name.

    Kinds that the product does not use (not routes, services or limits) are kept and read back, no more.
    """

    kind: str
    name: str
    version: int
    doc: bytes | None


class Amend(msgspec.Struct, frozen=True, array_like=True, tag="amend"):
    """One call's items, set or dropped; all of them are taken, or none."""

    items: list[Item]
    ask: str = ""


NAMED_KINDS = ("routes", "services")
LIMITS_KIND = "limits"
MAX_CACHED_HOSTS = 10000
"""Hosts whose homes are remembered; clients may ask for any name."""

CONFLICT_EXCERPT_BYTES = 2000
"""How much of the item that holds a conflict shows."""


class Items:
    """What is in force, and the versions of what was dropped. Replicated: only `apply` changes it.

    `hosts` gives each host's routes by prefix. Tombstones are kept for good: an old change may come at any time.
    """

    __slots__ = ("rows", "revision", "hosts", "routes", "services", "limits", "_deep", "_homes")

    def __init__(self) -> None:
        """Nothing is set."""
        self.rows: dict[tuple[str, str], Item] = {}
        self.revision = 0
        self.hosts: dict[str, dict[str, HostRoute]] = {}
        self.routes: dict[str, HostRoute] = {}
        self.services: dict[str, ServiceItem] = {}
        self.limits = Limits(version=0)
        self._deep: dict[str, int] = {}
        self._homes: dict[str, frozenset[str] | None] = {}

    def apply(self, c: Amend, revision: int) -> Findings:
        """Takes in what is newer than what was known, all of it, or nothing if there is a finding.

        `revision` becomes the items' own where anything changes.
        """
        turn = self.evaluate(c)
        if not turn.found and not turn.conflicts:
            self.apply_evaluation(turn, revision)
        return turn.found or turn.conflicts

    def apply_evaluation(self, turn: Evaluation, revision: int) -> None:
        """Takes in a call that was judged here and had no finding."""
        for i in turn.items:
            self._put(i, turn.docs.get((i.kind, i.name)))
            self.revision = revision

    def check(self, c: Amend) -> Findings:
        """What would keep the call from being taken as things stand; nothing is changed."""
        turn = self.evaluate(c)
        return turn.found or turn.conflicts

    def has_newer(self, c: Amend) -> bool:
        """Whether the call holds anything newer than what is known."""
        return any((had := self.rows.get((i.kind, i.name))) is None or i.version > had.version for i in c.items)

    def find(self, host: str, path: str) -> HostRoute | None:
        """The route of the host whose prefix begins the path and is the longest."""
        by = self.hosts.get(host)
        if by is None:
            host = normalize_host(host)
            by = self.hosts.get(host)
            if by is None:
                return None
        end = path.rfind("/", 0, self._deep[host])
        while end >= 0:
            r = by.get(path[: end + 1])
            if r is not None:
                return r
            end = path.rfind("/", 0, end)
        return None

    def homes(self, host: str) -> frozenset[str] | None:
        """The regions that are homes of all routes of a host that have any; None where none has, or none is known."""
        host = normalize_host(host)
        if host not in self._homes:
            bound = [frozenset(route.homes) for route in self.hosts.get(host, {}).values() if route.homes]
            if len(self._homes) >= MAX_CACHED_HOSTS:
                self._homes.clear()
            self._homes[host] = frozenset.intersection(*bound) if bound else None
        return self._homes[host]

    def current_documents(self, kind: str) -> list[msgspec.Raw]:
        """The items of a kind as they were sent, by name."""
        return [msgspec.Raw(i.doc) for k, i in sorted(self.rows.items()) if k[0] == kind and i.doc is not None]

    def kinds(self) -> list[str]:
        """The kinds that hold something, those the product uses first."""
        held = {k for (k, _), i in self.rows.items() if i.doc is not None}
        return [*DOCUMENT_TYPES, *sorted(held - DOCUMENT_TYPES.keys())]

    def load_rows(self, rows: list[Item]) -> None:
        """Takes in rows of a snapshot as they are."""
        for i in rows:
            self._put(i, decode(i).ok() if i.doc is not None and i.kind in DOCUMENT_TYPES else None)

    def _put(self, i: Item, doc: ItemDocument | None) -> None:
        self.rows[i.kind, i.name] = i
        if i.kind == LIMITS_KIND:
            self.limits = doc if isinstance(doc, Limits) else Limits(version=i.version)
        elif i.kind == "routes":
            self._route(i.name, doc if isinstance(doc, HostRoute) else None)
        elif isinstance(doc, ServiceItem):
            self.services[i.name] = doc
        elif i.kind == "services":
            self.services.pop(i.name, None)

    def _route(self, name: str, r: HostRoute | None) -> None:
        old = self.routes.pop(name, None)
        if old is not None:
            host = normalize_host(old.host)
            self._homes.pop(host, None)
            by = self.hosts[host]
            if by.get(old.prefix) is old:
                del by[old.prefix]
            if not by:
                del self.hosts[host], self._deep[host]
        if r is None:
            return
        host = normalize_host(r.host)
        self._homes.pop(host, None)
        self.routes[name] = r
        self.hosts.setdefault(host, {})[r.prefix] = r
        self._deep[host] = max(self._deep.get(host, 0), len(r.prefix))

    def evaluate(self, c: Amend) -> Evaluation:
        """What would come of the call as things stand; nothing is changed."""
        found = contradictory_items(c.items)
        conflicts: Findings = []
        docs: dict[tuple[str, str], ItemDocument] = {}
        newest: dict[tuple[str, str], Item] = {}
        given = {i.name for i in c.items if i.kind == "services"}
        for i in c.items:
            key = i.kind, i.name
            held = self.rows.get(key)
            if held is not None and held.version == i.version and not same_content(i, held):
                conflicts.append(version_conflict(held))
                continue
            had = newest.get(key) or held
            if had is None or i.version > had.version:
                newest[key] = i
                docs.pop(key, None)
            elif i.kind != "routes" or i.doc is None:
                continue
            if i.doc is None or i.kind not in DOCUMENT_TYPES:
                continue
            doc = decode(i)
            if isinstance(doc, Err):
                found += doc.err_value
            elif newest.get(key) is i:
                docs[key] = doc.ok_value
            elif isinstance(doc.ok_value, HostRoute):
                found += self._strange(doc.ok_value, given)
        if not found:
            found = self._whole(newest, docs)
        return Evaluation(list(newest.values()), docs, found, sorted(set(conflicts)))

    def _strange(self, r: HostRoute, given: set[str]) -> Findings:
        """An overtaken route changes nothing, but one whose service never was could not have stood at any time."""
        return [
            Finding(f"routes.{r.name}.service", f"no service {s!r}")
            for s in services_of(r)
            if s not in given and ("services", s) not in self.rows
        ]

    def _whole(self, newest: dict[tuple[str, str], Item], docs: dict[tuple[str, str], ItemDocument]) -> Findings:
        """Judges what would stand after the call."""
        found: Findings = []
        gone = {n for (k, n), i in newest.items() if k == "services" and i.doc is None and n in self.services}
        given = {n for k, n in docs if k == "services"}
        moved = {n for k, n in newest if k == "routes"}
        places: dict[tuple[str, str], str] = {}
        for (_, n), r in docs.items():
            if not isinstance(r, HostRoute):
                continue
            for s in services_of(r):
                if s in gone or s not in given and s not in self.services:
                    found.append(Finding(f"routes.{n}.service", f"no service {s!r}"))
            at = normalize_host(r.host), r.prefix
            other = self.hosts.get(at[0], {}).get(r.prefix)
            standing = repr(other.name) if other is not None and other.name not in moved else None
            owner = places.get(at) or standing
            if owner is not None:
                found.append(Finding(f"routes.{n}.prefix", f"{owner} has this host and prefix already"))
            places[at] = repr(n)
        for n, route in self.routes.items() if gone else ():
            if n not in moved:
                found += [Finding(f"services.{s}", f"{n!r} still names it") for s in services_of(route) if s in gone]
        return sorted(set(found))


class Evaluation(msgspec.Struct):
    """A call judged: `found` is what could never stand, `clashes` names versions that hold something else already."""

    items: list[Item]
    docs: dict[tuple[str, str], HostRoute | ServiceItem | Limits]
    found: Findings
    conflicts: Findings


ItemDocument = HostRoute | ServiceItem | Limits
DOCUMENT_TYPES: dict[str, type[ItemDocument]] = {"routes": HostRoute, "services": ServiceItem, LIMITS_KIND: Limits}
DOCUMENT_DECODERS = {k: msgspec.json.Decoder(t).decode for k, t in DOCUMENT_TYPES.items()}


def decode(i: Item) -> Result[ItemDocument, Findings]:
    """The item's document as a checked struct, or what is wrong with it."""
    try:
        return Ok(DOCUMENT_DECODERS[i.kind](i.doc or b""))
    except (msgspec.DecodeError, RecursionError, KeyError) as e:
        return Err([Finding(f"{i.kind}.{i.name}", f"not understood: {e}")])


def same_content(a: Item, b: Item) -> bool:
    """Whether two items say the same: decoded, with the defaults filled in; a JSON value in a kind that is not used."""
    if a.doc == b.doc or a.doc is None or b.doc is None:
        return a.doc == b.doc
    if a.kind not in DOCUMENT_TYPES:
        return same_json(a.doc, b.doc)
    return decode(a) == decode(b)


def version_place(i: Item) -> str:
    """The place of an item's version, for a finding."""
    return ".".join(part for part in (i.kind, i.name, "version") if part)


def version_conflict(held: Item) -> Finding:
    """What holds under a version that something else was sent for."""
    text = "a drop" if held.doc is None else held.doc[:CONFLICT_EXCERPT_BYTES].decode(errors="replace")
    return Finding(version_place(held), f"{held.version} holds already, with other content: {text}")


def contradictory_items(items: list[Item]) -> Findings:
    """Items that one call gives two contents under one version."""
    first: dict[tuple[str, str, int], Item] = {}
    found = {
        Finding(version_place(i), f"{i.version} is given two contents in this call")
        for i in items
        if not same_content(first.setdefault((i.kind, i.name, i.version), i), i)
    }
    return sorted(found)


@lru_cache(4096)
def normalize_host(host: str) -> str:
    """A host as it is compared: lower case, without a port and a last dot."""
    name, sep, port = host.rpartition(":")
    return (name if sep and port.isdigit() else host).rstrip(".").lower()


def services_of(r: HostRoute) -> list[str]:
    """The services that a route sends to."""
    if r.split:
        return [part.service for part in r.split]
    return [r.service] if r.service is not None else []
