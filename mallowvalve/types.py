from __future__ import annotations

import msgspec
from result import Err, Ok, Result

INDEX_BITS = 36


class Revision(int):
    __slots__ = ()

    @classmethod
    def make(cls, generation: int, index: int) -> Revision:
        return cls(generation << INDEX_BITS | index)

    @property
    def generation(self) -> int:
        return self >> INDEX_BITS

    @property
    def index(self) -> int:
        return self & ((1 << INDEX_BITS) - 1)


class Address(msgspec.Struct, frozen=True, order=True, array_like=True):
    host: str
    port: int

    @classmethod
    def read(cls, text: str) -> Result[Address, str]:
        host, sep, port = text.rpartition(":")
        if not sep or not host:
            return Err("want HOST:PORT")
        if not port.isdigit() or not 0 < int(port) < 65536:
            return Err("port must be 1 to 65535")
        parts = host.split(".")
        if len(parts) != 4 or not all(p.isdigit() and int(p) < 256 for p in parts):
            return Err("host must be an IPv4 number")
        return Ok(cls(host, int(port)))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @property
    def pair(self) -> tuple[str, int]:
        return self.host, self.port


class Locality(msgspec.Struct, frozen=True, order=True, array_like=True):
    region: str
    zone: str

    @classmethod
    def read(cls, text: str) -> Result[Locality, str]:
        region, sep, zone = text.partition("/")
        if not sep or not region or not zone or "/" in zone:
            return Err("want REGION/ZONE")
        return Ok(cls(region, zone))

    def __str__(self) -> str:
        return f"{self.region}/{self.zone}"

    def distance(self, other: Locality) -> int:
        if self == other:
            return 0
        return 1 if self.region == other.region else 2
