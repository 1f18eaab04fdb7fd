from __future__ import annotations

import msgspec

from mallowvalve.kind import Address, Locality

VERSION = 1
ALIVE, LEAVING, FAILED, LEFT = range(4)


class Record(msgspec.Struct, frozen=True, array_like=True):
    addr: Address
    boot: int
    incarnation: int
    state: int
    role: str
    name: str
    locality: Locality
    web: Address
    ready: bool

    @property
    def rank(self) -> tuple[int, int, int]:
        return self.incarnation, self.state, self.boot


class Head(msgspec.Struct, frozen=True, array_like=True):
    version: int
    fleet: str
    sender: Address
    boot: int
    incarnation: int


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    head: Head
    origin: Address
    target: Address
    pr: int


class PingReq(msgspec.Struct, frozen=True, array_like=True, tag=2):
    head: Head
    origin: Address
    target: Address
    pr: int


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=3):
    head: Head
    origin: Address
    target: Address
    pr: int
    relay: Address | None = None


class RelayPing(msgspec.Struct, frozen=True, array_like=True, tag=4):
    head: Head
    origin: Address
    target: Address
    relay: Address
    pr: int


class Tell(msgspec.Struct, frozen=True, array_like=True, tag=5):
    head: Head
    records: list[Record]
    answer: bool = False


Message = Ping | PingReq | Ack | RelayPing | Tell
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
