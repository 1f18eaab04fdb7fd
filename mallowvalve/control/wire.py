"""Messages between control processes and replicas, apart from those of Raft.

Times in `sent_at` and `confirmed_at` are seconds of the steady clock of the process that sent the request.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from mallowvalve.control.outcome import Code
from mallowvalve.raft.messages import ClusterConfiguration, Entry, GroupId
from mallowvalve.types import Address, Locality

MAX_LIMIT_S = 600.0
"""The longest time that a caller may give a command or a request."""
LimitSeconds = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_LIMIT_S)]
"""A time that a process waits for a caller (s); a decoder refuses what is no finite number."""
ClockSeconds = Annotated[float, msgspec.Meta(ge=-1e15, le=1e15)]
"""A steady clock's time (s); a decoder refuses what is no finite number."""


class ProcessStatus(msgspec.Struct, array_like=True, frozen=True):
    """The status of a process; `index` applies to the whole state, or to its settings part without `holds_all`.

    `boot` distinguishes successive processes at one address; `leaving` announces that a control process stops.
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
    holds_all: bool = True
    boot: int = 0
    leaving: bool = False

    @property
    def generation(self) -> int:
        """The generation of its group, 0 without one."""
        return self.group.generation if self.group is not None else 0

    @property
    def configuration(self) -> ClusterConfiguration:
        """The newest configuration that it knows, without members if it knows none."""
        return self.voters if self.voters is not None else ClusterConfiguration({})


class ReplicationRequest(msgspec.Struct, array_like=True, frozen=True):
    """A replica's request for the entries after `index`; `scope` is all or settings.

    Without new entries, the leader may delay the response by `max_wait_s`.
    """

    addr: Address
    boot: int
    role: str
    locality: Locality
    group: GroupId | None
    index: int
    revision: int
    sent_at: ClockSeconds
    scope: Literal["all", "settings"] = "all"
    max_wait_s: LimitSeconds = 0.5


class ReplicationResponse(msgspec.Struct, array_like=True, frozen=True):
    """The entries after the index of the request; a replica of the settings part is complete up to `index` with them.

    `confirmed_at` is the newest time, on the replica's clock, for which a majority has confirmed the leader: this
    response has all that was acknowledged by then; -1 if there is none.
    `state_time_ms` is the fleet time of the state at `index`, `leader_time_ms` the leader's as it responds.
    """

    leader: Address | None
    group: GroupId | None = None
    needs_snapshot: bool = False
    entries: list[Entry] = []
    index: int = 0
    revision: int = 0
    confirmed_at: float = -1.0
    voters: ClusterConfiguration | None = None
    state_time_ms: int = 0
    leader_time_ms: int = 0


class RevisionQuery(msgspec.Struct, array_like=True, frozen=True):
    """Asks a replica which revision of the settings it holds."""

    sender: Address
    sent_at: ClockSeconds


class RevisionReply(msgspec.Struct, array_like=True, frozen=True):
    """The revision and index that a replica holds; `sent_at` is that of the query."""

    sender: Address
    boot: int
    sent_at: ClockSeconds
    group: GroupId | None
    revision: int
    index: int


class CommandRequest(msgspec.Struct, array_like=True, frozen=True):
    """Submits a command; the caller waits for the response for `limit` (s)."""

    command: bytes
    limit: LimitSeconds


class CommandResponse(msgspec.Struct, array_like=True, frozen=True):
    """The outcome of a command or read; `term` is the term of the leader that acknowledged it, 0 if none did."""

    code: Code
    revision: int = 0
    body: bytes = b""
    leader: Address | None = None
    term: int = 0


encode = msgspec.msgpack.Encoder().encode


decode_status = msgspec.msgpack.Decoder(ProcessStatus).decode
decode_replication_request = msgspec.msgpack.Decoder(ReplicationRequest).decode
decode_replication_response = msgspec.msgpack.Decoder(ReplicationResponse).decode
decode_revision_query = msgspec.msgpack.Decoder(RevisionQuery).decode
decode_revision_reply = msgspec.msgpack.Decoder(RevisionReply).decode
decode_command_request = msgspec.msgpack.Decoder(CommandRequest).decode
decode_command_response = msgspec.msgpack.Decoder(CommandResponse).decode
