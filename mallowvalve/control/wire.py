"""What control processes and replicas tell each other beside Raft's messages. Stamps: s of their sender's clock."""

from __future__ import annotations

import msgspec

from mallowvalve.control.outcome import Code
from mallowvalve.raft.messages import Entry, Group, Voters
from mallowvalve.types import Address, Locality


class ProcessStatus(msgspec.Struct, array_like=True, frozen=True):
    """`index` counts for what is held: all, or without `whole` the settings part only.

    `boot` tells this process from the next at its address; `leaving` is a control process's goodbye.
    """

    role: str
    id: str
    addr: Address
    locality: Locality
    seeds: list[Address]
    blank: bool
    group: Group | None
    index: int
    voters: Voters | None
    leader: Address | None
    holds_all: bool = True
    boot: int = 0
    leaving: bool = False


class ReplicationRequest(msgspec.Struct, array_like=True, frozen=True):
    """`parts` is all or settings; with nothing new, the leader may keep it for `hold` seconds."""

    addr: Address
    boot: int
    role: str
    locality: Locality
    group: Group | None
    index: int
    revision: int
    sent_at: float
    scope: str = "all"
    max_wait_s: float = 0.5


class ReplicationResponse(msgspec.Struct, array_like=True, frozen=True):
    """Entries after the want's index; with them a holder of the settings part is whole up to `index`.

    `clock` is the state's (ms) at `index`, `time` what the leader's clock shows as it answers.
    """

    leader: Address | None
    group: Group | None = None
    needs_snapshot: bool = False
    entries: list[Entry] = []
    index: int = 0
    revision: int = 0
    confirmed_at: float = -1.0
    voters: Voters | None = None
    state_time_ms: int = 0
    leader_time_ms: int = 0


class RevisionQuery(msgspec.Struct, array_like=True, frozen=True):
    """Asks a replica what it holds."""

    sender: Address
    sent_at: float


class RevisionReply(msgspec.Struct, array_like=True, frozen=True):
    """What a replica holds, in answer to the stamp of a round."""

    sender: Address
    boot: int
    sent_at: float
    group: Group | None
    revision: int
    index: int


class CommandRequest(msgspec.Struct, array_like=True, frozen=True):
    """Offers a command; the answer is wanted within `limit` (s)."""

    command: bytes
    limit: float


class CommandResponse(msgspec.Struct, array_like=True, frozen=True):
    """`term` is the leader's term that the acknowledgement rests on; 0 where nothing was acknowledged."""

    code: Code
    revision: int = 0
    body: bytes = b""
    leader: Address | None = None
    term: int = 0


encode = msgspec.msgpack.Encoder().encode


decode_process_status = msgspec.msgpack.Decoder(ProcessStatus).decode
decode_replication_request = msgspec.msgpack.Decoder(ReplicationRequest).decode
decode_replication_response = msgspec.msgpack.Decoder(ReplicationResponse).decode
decode_revision_query = msgspec.msgpack.Decoder(RevisionQuery).decode
decode_revision_reply = msgspec.msgpack.Decoder(RevisionReply).decode
decode_command_request = msgspec.msgpack.Decoder(CommandRequest).decode
decode_command_response = msgspec.msgpack.Decoder(CommandResponse).decode
