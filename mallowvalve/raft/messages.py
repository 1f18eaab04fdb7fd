"""The messages of the Raft protocol and the records that a member stores. Entries carry fleet clock times (ms)."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from mallowvalve.raft.contact import NO_STAMP
from mallowvalve.types import Address

NOOP = 0
COMMAND = 1
CONFIGURATION = 2


class GroupId(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Identifies one bootstrap of the cluster.

    Each bootstrap increments `generation`; `nonce` distinguishes two bootstraps of the same generation.
    """

    generation: int
    nonce: str


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """A log entry. `kind` is NOOP, COMMAND or CONFIGURATION; `at` is the leader's fleet clock (ms)."""

    index: int
    term: int
    kind: int
    at: int
    data: bytes


class ClusterConfiguration(msgspec.Struct, array_like=True, frozen=True):
    """A membership configuration; a joint configuration while `old_voters` is not empty (Raft paper, section 6).

    A joint configuration requires a majority of `voters` and, separately, a majority of `old_voters`.
    """

    voters: dict[str, Address]
    learners: dict[str, Address] = {}
    old_voters: dict[str, Address] = {}

    def address(self, id: str) -> Address | None:
        """Returns the address of a member, or None if the configuration does not contain it."""
        return self.voters.get(id) or self.old_voters.get(id) or self.learners.get(id)

    def members(self) -> dict[str, Address]:
        """Returns the addresses of all members by id, including learners."""
        return {**self.learners, **self.old_voters, **self.voters}

    def all_voters(self) -> dict[str, Address]:
        """Returns the addresses of the voters of both sets by id."""
        return {**self.old_voters, **self.voters} if self.old_voters else self.voters

    def majority_value(self, number: Callable[[str], int]) -> int:
        """Returns the highest value that a majority of each voter set has reached; `number` maps a member to its value.

        This is the commit index if `number` returns the match index.
        """
        return min(_majority_value(ids, number) for ids in (self.voters, self.old_voters) if ids)

    def has_majority(self, granted: set[str]) -> bool:
        """Returns whether these members form a majority of each voter set."""
        return self.majority_value(lambda i: i in granted) == 1

    def next_toward(self, wanted: ClusterConfiguration) -> ClusterConfiguration | None:
        """Returns the next configuration on the way to `wanted`, or None if a change in progress prevents it.

        A change of voters takes a joint configuration; a change of learners or addresses takes a single step.
        """
        if (
            not wanted.voters
            or self.old_voters
            and (wanted.voters.keys(), wanted.old_voters.keys())
            != (
                self.voters.keys(),
                self.old_voters.keys(),
            )
        ):
            return None
        if self.old_voters or wanted.voters.keys() == self.voters.keys():
            return wanted
        return ClusterConfiguration(wanted.voters, wanted.learners, self.voters)

    def final_configuration(self) -> ClusterConfiguration:
        """Returns the configuration that completes a joint configuration."""
        return ClusterConfiguration(self.voters, self.learners)


def _majority_value(ids: dict[str, Address], number: Callable[[str], int]) -> int:
    return sorted(map(number, ids), reverse=True)[len(ids) // 2]


class RaftSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state up to and including `index`, in pieces that are loaded in order."""

    group: GroupId
    index: int
    term: int
    configuration: ClusterConfiguration
    state: list[bytes]


class HardState(msgspec.Struct, array_like=True, frozen=True):
    """The persistent term and vote.

    `commit_index` is the known commit index at the time of the write. It covers only entries that are saved with it
    or before, and no other member relies on it.
    """

    group: GroupId
    term: int
    vote: str
    commit_index: int = 0


class RequestVote(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Requests a vote, or a pre-vote if `pre_vote` is set; `leader_transfer` marks a campaign started by the leader."""

    term: int
    pre_vote: bool
    last_index: int
    last_term: int
    leader_transfer: bool = False


class VoteResponse(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The response to `RequestVote`."""

    term: int
    pre_vote: bool
    granted: bool


class AppendEntries(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Replicates entries, and serves as the heartbeat.

    `confirmed_stamp` echoes a stamp of the receiver; a majority has confirmed the leader since (see `contact`).
    """

    term: int
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit_index: int
    round_number: int
    confirmed_stamp: float = NO_STAMP


NO_ROUND = -1
"""The round number in the response to a message of an older term: it confirms no round."""


class AppendEntriesResponse(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """The response to `AppendEntries` and `InstallSnapshot`; `stamp` is the sender's monotonic time of sending (s).

    `round_number` is that of the message, which was sent in this response's `term`. Rounds are numbered anew in each
    life of a process, so the response to a message of an older term has `NO_ROUND`: it only tells the newer term.
    """

    term: int
    ok: bool
    match_index: int
    round_number: int
    stamp: float = NO_STAMP


class InstallSnapshot(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Announces a snapshot. On the wire it only identifies the snapshot; the receiver fetches the pieces separately."""

    term: int
    snapshot: RaftSnapshot
    round_number: int


class TimeoutNow(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Instructs the receiver to start an election immediately."""

    term: int


Message = RequestVote | VoteResponse | AppendEntries | AppendEntriesResponse | InstallSnapshot | TimeoutNow


def without_snapshot_pieces(message: Message) -> Message:
    """Returns the message with only the label of its snapshot, if any: the receiver fetches the pieces."""
    if not isinstance(message, InstallSnapshot):
        return message
    return msgspec.structs.replace(message, snapshot=msgspec.structs.replace(message.snapshot, state=[]))


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """A message between two members; `address` is the address at which the sender is reachable."""

    group: GroupId
    sender: str
    to: str
    address: Address
    body: Message


encode = msgspec.msgpack.Encoder().encode
decode_envelope = msgspec.msgpack.Decoder(Envelope).decode
decode_configuration = msgspec.msgpack.Decoder(ClusterConfiguration).decode
decode_snapshot = msgspec.msgpack.Decoder(RaftSnapshot).decode
