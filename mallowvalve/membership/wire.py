"""The datagrams of membership, MessagePack arrays behind a tag."""

from __future__ import annotations

from enum import IntEnum

import msgspec

from mallowvalve.types import Address, Locality

PROTOCOL_VERSION = 3


class MemberState(IntEnum):
    """How a member is; of two records of one incarnation the one of the higher state holds."""

    ALIVE = 0
    LEAVING = 1
    FAILED = 2
    LEFT = 3


class RequestedRecords(IntEnum):
    """What is wanted back for records: nothing, the receiver's own record, or all it has."""

    NOTHING = 0
    SELF = 1
    ALL = 2


ALIVE = MemberState.ALIVE
LEAVING = MemberState.LEAVING
FAILED = MemberState.FAILED
LEFT = MemberState.LEFT


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is known of a member.

    `addr` is its transport address and its identity, `boot` a random number of this start of its process, `incarnation`
    its own count of changes and refutations, `web` its HTTP address, `ready` whether it takes work.
    """

    addr: Address
    boot: int
    incarnation: int
    state: MemberState
    role: str
    name: str
    locality: Locality
    web: Address
    ready: bool

    @property
    def rank(self) -> tuple[int, int, int]:
        """Of two records of a member the one of the higher rank holds."""
        return self.incarnation, self.state, self.boot


class DatagramHeader(msgspec.Struct, frozen=True, array_like=True):
    """What begins each datagram: the protocol's version, the fleet, and who sends, in which incarnation."""

    version: int
    fleet: str
    sender: Address
    boot: int
    incarnation: int


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1, omit_defaults=True):
    """Asks `target` for an ack to `origin` in the origin's period `pr`.

    `total` is the digest of the sender's view; the target of a ping compares it with its own.
    """

    head: DatagramHeader
    origin: Address
    target: Address
    period_number: int
    total: int | None = None


class PingReq(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Asks a helper to ping `target` for `origin`."""

    head: DatagramHeader
    origin: Address
    target: Address
    period_number: int


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=3, omit_defaults=True):
    """`target` lives; sent to `origin`, or to `relay`, which passes it on."""

    head: DatagramHeader
    origin: Address
    target: Address
    period_number: int
    relay: Address | None = None


class RelayPing(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A helper's ping for `origin`; the ack goes back through `relay`."""

    head: DatagramHeader
    origin: Address
    target: Address
    relay: Address
    period_number: int


class Tell(msgspec.Struct, frozen=True, array_like=True, tag=5, omit_defaults=True):
    """Records, and what is wanted back for them.

    With `share` (i, m) the receiver passes the records on to the members of share i of m.
    """

    head: DatagramHeader
    records: list[MemberRecord]
    ask: RequestedRecords = RequestedRecords.NOTHING
    share: tuple[int, int] | None = None


class Sum(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The digest of the whole view; one that differs is answered with `Sums`, an equal one with its like if `ask`."""

    head: DatagramHeader
    total: int
    ask: bool


class Sums(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The digest of each bucket of the sender's view."""

    head: DatagramHeader
    bucket_digests: bytes


class Marks(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The digest of each record that the sender has in the buckets whose bits are set."""

    head: DatagramHeader
    buckets: int
    marks: bytes


class Want(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Records wanted, by their digests."""

    head: DatagramHeader
    marks: bytes


Message = Ping | PingReq | Ack | RelayPing | Tell | Sum | Sums | Marks | Want
encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
decode = _decoder.decode
