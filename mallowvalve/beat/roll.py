"""The upstreams as the core agreed on them: what changes is replicated, plain beats are not."""

from __future__ import annotations

from typing import Literal

import msgspec

from mallowvalve.kind import Address, Locality


class Upstream(msgspec.Struct, frozen=True, array_like=True):
    """One life of an upstream; `since` and `cold_until` count on the fleet's clock (ms)."""

    instance: str
    service: str
    address: Address
    locality: Locality
    slots: int
    state: Literal["ready", "silent", "leaving", "gone"]
    sequence: int = 0
    since: int = 0
    cold_until: int = 0


class Rolled(msgspec.Struct, frozen=True, array_like=True, tag="rolled"):
    changes: list[Upstream]
    ask: str = ""


class Roll:
    __slots__ = ("rows", "revision")

    def __init__(self):
        self.rows: dict[str, Upstream] = {}
        self.revision = 0

    def apply(self, c: Rolled, clock: int) -> None:
        raise NotImplementedError
