"""Settings as items, each with a version of its own: the highest holds, whether it sets or drops."""

from __future__ import annotations

from typing import Literal

import msgspec
from result import Result

from mallowvalve.finding import Findings


class Part(msgspec.Struct, frozen=True):
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
    split: list[Part] = []
    tries: int = 1
    homes: list[str] = []


class ServiceItem(msgspec.Struct, frozen=True, kw_only=True):
    """`status` is the path of its health answer, `sessions` what an upstream takes of all callers together.

    For `cold_s` seconds from its start an upstream is cold, and takes `cold_per_s` requests a second.
    """

    name: str
    version: int
    status: str = "/health"
    sessions: int = 0
    cold_s: float = 0.0
    cold_per_s: float = 0.0


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    version: int
    header_bytes: int = 16384
    body_bytes: int = 1 << 20
    header_ms: float = 5000.0
    idle_ms: float = 15000.0


class Item(msgspec.Struct, array_like=True, frozen=True):
    """`kind` is routes, services or limits; `doc` the item as it was sent (JSON), or None once dropped."""

    kind: str
    name: str
    version: int
    doc: bytes | None


class Amend(msgspec.Struct, frozen=True, array_like=True, tag="amend"):
    items: list[Item]
    ask: str = ""


class Items:
    """What is in force, and the versions of what was dropped. Replicated: only `apply` changes it."""

    __slots__ = ("rows", "revision", "hosts", "services", "limits")

    def __init__(self):
        self.rows: dict[tuple[str, str], Item] = {}
        self.revision = 0
        self.hosts: dict[str, list[HostRoute]] = {}
        self.services: dict[str, ServiceItem] = {}
        self.limits = Limits(version=0)

    def apply(self, c: Amend) -> Findings:
        raise NotImplementedError

    def find(self, host: str, path: str) -> HostRoute | None:
        """The route of the host whose prefix begins the path and is the longest."""
        raise NotImplementedError


def read(body: bytes) -> Result[Amend, Findings]:
    """A whole call, every finding with its place."""
    raise NotImplementedError
