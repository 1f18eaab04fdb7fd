"""What members of a Raft group send each other, and what they store. Times in entries are the fleet's clock (ms)."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from mallowvalve.raft.contact import NO_STAMP
from mallowvalve.types import Address

NOOP, COMMAND, CONFIGURATION = range(3)


class GroupId(msgspec.Struct, array_like=True, frozen=True, order=True):
    """A founding of the cluster: `generation` rises with each, `nonce` tells two of one generation apart."""

    generation: int
    nonce: str


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the log; `kind` is NOOP, COMMAND or VOTERS, `at` the leader's fleet clock (ms)."""

    index: int
    term: int
    kind: int
    at: int
    data: bytes


class ClusterConfiguration(msgspec.Struct, array_like=True, frozen=True):
    """A configuration of the cluster. While `old` is not empty it is a joint one (Raft, section 6).

    A joint configuration decides nothing without a majority of `voters` and a majority of `old`, each by itself.
    """

    voters: dict[str, Address]
    learners: dict[str, Address] = {}
    old_voters: dict[str, Address] = {}

    def address(self, id: str) -> Address | None:
        """The address of a member by this configuration; None if it is not part of it."""
        return self.voters.get(id) or self.old_voters.get(id) or self.learners.get(id)

    def members(self) -> dict[str, Address]:
        """All members by their addresses, learners among them."""
        return {**self.learners, **self.old_voters, **self.voters}

    def all_voters(self) -> dict[str, Address]:
        """All whose votes count, in either set."""
        return {**self.old_voters, **self.voters} if self.old_voters else self.voters

    def majority_value(self, number: Callable[[str], int]) -> int:
        """The highest number that a majority of each set has reached, by what `number` says of each member."""
        return min(_reached(ids, number) for ids in (self.voters, self.old_voters) if ids)

    def has_majority(self, granted: set[str]) -> bool:
        """Whether these members are a majority of each set."""
        return self.majority_value(lambda i: i in granted) == 1

    def next_toward(self, wanted: ClusterConfiguration) -> ClusterConfiguration | None:
        """The next configuration on the way to the wanted one; None where a change under way forbids it.

        Any other set of voters is reached through a joint configuration, other learners or addresses in one step.
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
        """What a joint configuration leads to."""
        return ClusterConfiguration(self.voters, self.learners)


def _reached(ids: dict[str, Address], number: Callable[[str], int]) -> int:
    return sorted(map(number, ids), reverse=True)[len(ids) // 2]


class RaftSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state up to an index, in pieces that are loaded in their order."""

    group: GroupId
    index: int
    term: int
    configuration: ClusterConfiguration
    state: list[bytes]


class HardState(msgspec.Struct, array_like=True, frozen=True):
    """`commit` is what was known to be committed of what is saved with it or before; never a promise to others."""

    group: GroupId
    term: int
    vote: str
    commit_index: int = 0


class RequestVote(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """RequestVote; `pre` for a pre-vote, `forced` where the leader itself handed over."""

    term: int
    pre_vote: bool
    last_index: int
    last_term: int
    leader_transfer: bool = False


class RequestVoteResponse(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The answer to `Ask`."""

    term: int
    pre_vote: bool
    granted: bool


class AppendEntries(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """`sure` echoes a stamp of the receiver's that a majority has confirmed this leader after (see `contact`)."""

    term: int
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit_index: int
    round_number: int
    confirmed_stamp: float = NO_STAMP


class AppendEntriesResponse(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """`stamp` is when it was said, in seconds of the sender's own steady clock."""

    term: int
    ok: bool
    match_index: int
    round_number: int
    stamp: float = NO_STAMP


class InstallSnapshot(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """InstallSnapshot: on the wire it only names the snapshot, whose pieces are fetched."""

    term: int
    snapshot: RaftSnapshot
    round_number: int


class TimeoutNow(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """TimeoutNow: the receiver is to campaign at once."""

    term: int


Message = RequestVote | RequestVoteResponse | AppendEntries | AppendEntriesResponse | InstallSnapshot | TimeoutNow


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """A message between two members; `address` is where its sender is reached."""

    group: GroupId
    sender: str
    to: str
    address: Address
    body: Message


encode = msgspec.msgpack.Encoder().encode
decode_envelope = msgspec.msgpack.Decoder(Envelope).decode
decode_configuration = msgspec.msgpack.Decoder(ClusterConfiguration).decode
decode_snapshot = msgspec.msgpack.Decoder(RaftSnapshot).decode
