"""Values that every part speaks of: revisions, addresses, localities."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
from result import Err, Ok, Result

INDEX_BITS = 36
PORT_LIMIT = 1 << 16
IPV4_PARTS = 4
BYTE_LIMIT = 256

SAME_ZONE, SAME_REGION, ELSEWHERE = range(3)


class Revision(int):
    """A place in the replicated log, rising for ever: the generation of the core in the high bits, the index below."""

    __slots__ = ()

    @classmethod
    def make(cls, generation: int, index: int) -> Revision:
        """The revision of entry `index` of that generation; `index` is below 2 to the power of INDEX_BITS."""
        return cls(generation << INDEX_BITS | index)

    @property
    def generation(self) -> int:
        """How often a core was founded before this entry."""
        return self >> INDEX_BITS

    @property
    def index(self) -> int:
        """The entry's number in the log of its generation."""
        return self & ((1 << INDEX_BITS) - 1)


class Address(msgspec.Struct, frozen=True, order=True, array_like=True):
    """An IPv4 address and a port."""

    host: str
    port: int

    @classmethod
    def read(cls, text: str) -> Result[Address, str]:
        """Parse HOST:PORT, HOST a dotted IPv4 number; the error says what was wanted."""
        host, separator, port = text.rpartition(":")
        if not separator or not host:
            return Err("want HOST:PORT")
        if not port.isdigit() or not 0 < int(port) < PORT_LIMIT:
            return Err("port must be 1 to 65535")
        parts = host.split(".")
        if len(parts) != IPV4_PARTS or not all(part.isdigit() and int(part) < BYTE_LIMIT for part in parts):
            return Err("host must be an IPv4 number")
        return Ok(cls(host, int(port)))

    def __str__(self) -> str:
        """HOST:PORT."""
        return f"{self.host}:{self.port}"

    @property
    def pair(self) -> tuple[str, int]:
        """What sockets take."""
        return self.host, self.port


class Locality(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Where a process runs."""

    region: str
    zone: str

    @classmethod
    def read(cls, text: str) -> Result[Locality, str]:
        """Parse REGION/ZONE; the error says what was wanted."""
        region, separator, zone = text.partition("/")
        if not separator or not region or not zone or "/" in zone:
            return Err("want REGION/ZONE")
        return Ok(cls(region, zone))

    def __str__(self) -> str:
        """REGION/ZONE."""
        return f"{self.region}/{self.zone}"

    def distance(self, other: Locality) -> int:
        """SAME_ZONE, SAME_REGION or ELSEWHERE."""
        if self == other:
            return SAME_ZONE
        return SAME_REGION if self.region == other.region else ELSEWHERE


def is_evacuated(at: Locality, evacuated: Mapping[str, int]) -> bool:
    """Whether an evacuation covers `at`; `evacuated` is keyed by region, by zone or by REGION/ZONE."""
    return any(name in evacuated for name in (at.region, at.zone, str(at)))


def is_reachable(at: Locality, homes: frozenset[str] | None, evacuated: Mapping[str, int]) -> bool:
    """Whether work of a tenant may go to `at`: in one of its home regions (None: any) and not evacuated."""
    return (homes is None or at.region in homes) and not is_evacuated(at, evacuated)
