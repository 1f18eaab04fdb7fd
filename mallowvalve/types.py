"""Value types shared by all packages: revisions, addresses and localities."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated

import msgspec
from result import Err, Ok, Result

INDEX_BITS = 36
PORT_LIMIT = 1 << 16
IPV4_NUMBERS = 4
BYTE_LIMIT = 256

SAME_ZONE = 0
SAME_REGION = 1
ELSEWHERE = 2


MAX_MAGNITUDE = 1 << 60
"""A bound for numbers from other processes: sums of a few of them can still be encoded."""

BoundedInt = Annotated[int, msgspec.Meta(ge=-MAX_MAGNITUDE, le=MAX_MAGNITUDE)]
"""An integer that a decoder refuses beyond `MAX_MAGNITUDE`."""

Milliseconds = Annotated[float, msgspec.Meta(ge=0.0, le=float(MAX_MAGNITUDE))]
"""A duration (ms) that a decoder refuses if it is negative or no finite number."""


class Revision(int):
    """A position in the replicated log: the core's generation in the high bits, the index below. It only increases."""

    __slots__ = ()

    @classmethod
    def make(cls, generation: int, index: int) -> Revision:
        """Returns the revision of entry `index` of a generation; `index` must be below 2 to the power of INDEX_BITS."""
        return cls(generation << INDEX_BITS | index)

    @property
    def generation(self) -> int:
        """The number of times a core had been founded when the entry was written."""
        return self >> INDEX_BITS

    @property
    def index(self) -> int:
        """The entry's index in the log of its generation."""
        return self & ((1 << INDEX_BITS) - 1)


class Address(msgspec.Struct, frozen=True, order=True, array_like=True):
    """An IPv4 address and a port; a decoder refuses a port that no address has."""

    host: str
    port: Annotated[int, msgspec.Meta(ge=0, lt=PORT_LIMIT)]

    @classmethod
    def read(cls, text: str) -> Result[Address, str]:
        """Parses HOST:PORT with a dotted IPv4 address as HOST; the error names the expected form."""
        host, separator, port = text.rpartition(":")
        if not separator or not host:
            return Err("want HOST:PORT")
        if not port.isdigit() or not 0 < int(port) < PORT_LIMIT:
            return Err("port must be 1 to 65535")
        numbers = host.split(".")
        if len(numbers) != IPV4_NUMBERS or not all(number.isdigit() and int(number) < BYTE_LIMIT for number in numbers):
            return Err("host must be an IPv4 number")
        return Ok(cls(host, int(port)))

    @property
    def is_valid(self) -> bool:
        """Whether `read` would return this address, which a decoder does not check."""
        return Address.read(str(self)).is_ok()

    def __str__(self) -> str:
        """HOST:PORT."""
        return f"{self.host}:{self.port}"

    @property
    def pair(self) -> tuple[str, int]:
        """The address in the form of the `socket` module."""
        return self.host, self.port


class Locality(msgspec.Struct, frozen=True, order=True, array_like=True):
    """The region and zone in which a process runs."""

    region: str
    zone: str

    @classmethod
    def read(cls, text: str) -> Result[Locality, str]:
        """Parses REGION/ZONE; the error names the expected form."""
        region, separator, zone = text.partition("/")
        if not separator or not region or not zone or "/" in zone:
            return Err("want REGION/ZONE")
        return Ok(cls(region, zone))

    def __str__(self) -> str:
        """REGION/ZONE."""
        return f"{self.region}/{self.zone}"

    def distance(self, other: Locality) -> int:
        """Returns SAME_ZONE, SAME_REGION or ELSEWHERE."""
        if self == other:
            return SAME_ZONE
        return SAME_REGION if self.region == other.region else ELSEWHERE


def is_evacuated(at: Locality, evacuated: Mapping[str, int]) -> bool:
    """Returns whether `at` is evacuated; the keys of `evacuated` are regions, zones or REGION/ZONE."""
    return any(name in evacuated for name in (at.region, at.zone, str(at)))


def is_reachable(at: Locality, homes: frozenset[str] | None, evacuated: Mapping[str, int]) -> bool:
    """Returns whether a tenant's requests may go to `at`: in a home region (None: any) and not evacuated."""
    return (homes is None or at.region in homes) and not is_evacuated(at, evacuated)
