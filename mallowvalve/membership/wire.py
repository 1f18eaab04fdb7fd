from __future__ import annotations

import msgspec

from mallowvalve.types import Address, Locality

VERSION = 3
ALIVE, LEAVING, FAILED, LEFT = range(4)
NOTHING, SELF, ALL = range(3)


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


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1, omit_defaults=True):
    """`total` is the digest of the sender's view; the target of a ping compares it with its own."""

    head: Head
    origin: Address
    target: Address
    pr: int
    total: int | None = None


class PingReq(msgspec.Struct, frozen=True, array_like=True, tag=2):
    head: Head
    origin: Address
    target: Address
    pr: int


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=3, omit_defaults=True):
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


class Tell(msgspec.Struct, frozen=True, array_like=True, tag=5, omit_defaults=True):
    """Records. `ask` is what is wanted back: nothing, the receiver's own record, or all it has.

    With `share` (i, m) the receiver passes the records on to the members of share i of m.
    """

    head: Head
    records: list[Record]
    ask: int = NOTHING
    share: tuple[int, int] | None = None


class Sum(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The digest of the whole view; one that differs is answered with `Sums`, an equal one with its like if `ask`."""

    head: Head
    total: int
    ask: bool


class Sums(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The digest of each bucket of the sender's view."""

    head: Head
    sums: bytes


class Marks(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The digest of each record that the sender has in the buckets whose bits are set."""

    head: Head
    buckets: int
    marks: bytes


class Want(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Records wanted, by their digests."""

    head: Head
    marks: bytes


Message = Ping | PingReq | Ack | RelayPing | Tell | Sum | Sums | Marks | Want
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Message).decode
