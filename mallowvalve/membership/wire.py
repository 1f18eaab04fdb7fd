"""Membership datagrams: each is a MessagePack array that begins with the tag of its message type."""

from __future__ import annotations

from enum import IntEnum

import msgspec

from mallowvalve.types import Address, Locality

PROTOCOL_VERSION = 3


class MemberState(IntEnum):
    """The state of a member; among records of the same incarnation the higher state takes precedence."""

    ALIVE = 0
    LEAVING = 1
    FAILED = 2
    LEFT = 3


class RequestedRecords(IntEnum):
    """The records that a `Tell` requests in reply: none, the receiver's own, or all that the receiver has."""

    NOTHING = 0
    SELF = 1
    ALL = 2


ALIVE = MemberState.ALIVE
LEAVING = MemberState.LEAVING
FAILED = MemberState.FAILED
LEFT = MemberState.LEFT


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is known about a member.

    `addr` is the transport address and identifies the member. `boot` is a random number drawn at each start of the
    process. `incarnation` counts the member's own updates and refutations. `web` is the HTTP address. `ready` is true
    while the member takes work.
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
        """The order of precedence among the records of one member; the highest rank is the current record."""
        return self.incarnation, self.state, self.boot


class DatagramHeader(msgspec.Struct, frozen=True, array_like=True):
    """The header of each datagram: protocol version, fleet, and the sender's address, boot number and incarnation."""

    version: int
    fleet: str
    sender: Address
    boot: int
    incarnation: int


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1, omit_defaults=True):
    """Requests an ack from `target` to `origin`, for the protocol period `period_number` of the origin.

    `view_digest` is the digest of the sender's view; the target compares it with the digest of its own view.
    """

    header: DatagramHeader
    origin: Address
    target: Address
    period_number: int
    view_digest: int | None = None


class PingReq(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Requests a helper to ping `target` on behalf of `origin` (SWIM's ping-req)."""

    header: DatagramHeader
    origin: Address
    target: Address
    period_number: int


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=3, omit_defaults=True):
    """Confirms that `target` is alive; sent to `origin`, or to `relay`, which forwards it to the origin."""

    header: DatagramHeader
    origin: Address
    target: Address
    period_number: int
    relay: Address | None = None


class RelayPing(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The ping of a helper on behalf of `origin`; the ack returns through `relay`."""

    header: DatagramHeader
    origin: Address
    target: Address
    relay: Address
    period_number: int


class Tell(msgspec.Struct, frozen=True, array_like=True, tag=5, omit_defaults=True):
    """Carries member records, and states which records the sender requests in reply.

    With `relay_group` (i, m) the receiver forwards the records to the members of relay group i of m.
    """

    header: DatagramHeader
    records: list[MemberRecord]
    request: RequestedRecords = RequestedRecords.NOTHING
    relay_group: tuple[int, int] | None = None


class Sum(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The digest of the sender's whole view.

    A receiver whose digest differs replies with `Sums`; one whose digest is equal replies with `Sum` if `confirm`.
    """

    header: DatagramHeader
    view_digest: int
    confirm: bool


class Sums(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The digest of each bucket of the sender's view, 8 bytes each."""

    header: DatagramHeader
    bucket_digests: bytes


class Marks(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The digests of the sender's records in the buckets whose bits are set in `bucket_mask`."""

    header: DatagramHeader
    bucket_mask: int
    record_digests: bytes


class Want(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Requests records by their digests."""

    header: DatagramHeader
    record_digests: bytes


Message = Ping | PingReq | Ack | RelayPing | Tell | Sum | Sums | Marks | Want
encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
decode = _decoder.decode
