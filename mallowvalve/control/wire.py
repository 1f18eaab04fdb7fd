"""What control processes and replicas tell each other beside Raft's messages. Stamps: s of their sender's clock."""

from __future__ import annotations

import msgspec

from mallowvalve.control.outcome import Code
from mallowvalve.raft.messages import ClusterConfiguration, Entry, GroupId
from mallowvalve.types import Address, Locality


class Who(msgspec.Struct, array_like=True, frozen=True):
    """`index` counts for what is held: all, or without `whole` the settings part only.

    `boot` tells this process from the next at its address; `leaving` is a control process's goodbye.
    """

    role: str
    id: str
    addr: Address
    locality: Locality
    seeds: list[Address]
    blank: bool
    group: GroupId | None
    index: int
    voters: ClusterConfiguration | None
    leader: Address | None
    whole: bool = True
    boot: int = 0
    leaving: bool = False


class Want(msgspec.Struct, array_like=True, frozen=True):
    """`parts` is all or settings; with nothing new, the leader may keep it for `hold` seconds."""

    addr: Address
    boot: int
    role: str
    locality: Locality
    group: GroupId | None
    index: int
    revision: int
    stamp: float
    parts: str = "all"
    hold: float = 0.5


class Fed(msgspec.Struct, array_like=True, frozen=True):
    """Entries after the want's index; with them a holder of the settings part is whole up to `index`.

    `clock` is the state's (ms) at `index`, `time` what the leader's clock shows as it answers.
    """

    leader: Address | None
    group: GroupId | None = None
    lacking: bool = False
    entries: list[Entry] = []
    index: int = 0
    revision: int = 0
    sure: float = -1.0
    voters: ClusterConfiguration | None = None
    clock: int = 0
    time: int = 0


class Round(msgspec.Struct, array_like=True, frozen=True):
    """Asks a replica what it holds."""

    sender: Address
    stamp: float


class Told(msgspec.Struct, array_like=True, frozen=True):
    """What a replica holds, in answer to the stamp of a round."""

    sender: Address
    boot: int
    stamp: float
    group: GroupId | None
    revision: int
    index: int


class Offer(msgspec.Struct, array_like=True, frozen=True):
    """Offers a command; the answer is wanted within `limit` (s)."""

    command: bytes
    limit: float


class Took(msgspec.Struct, array_like=True, frozen=True):
    """`term` is the leader's term that the acknowledgement rests on; 0 where nothing was acknowledged."""

    code: Code
    revision: int = 0
    body: bytes = b""
    leader: Address | None = None
    term: int = 0


encode = msgspec.msgpack.Encoder().encode


who = msgspec.msgpack.Decoder(Who).decode
want = msgspec.msgpack.Decoder(Want).decode
fed = msgspec.msgpack.Decoder(Fed).decode
round_ = msgspec.msgpack.Decoder(Round).decode
told = msgspec.msgpack.Decoder(Told).decode
offer = msgspec.msgpack.Decoder(Offer).decode
took = msgspec.msgpack.Decoder(Took).decode
