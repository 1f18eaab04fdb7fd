"""What members of a Raft group send each other, and what they store. Times in entries are the fleet's clock (ms)."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from mallowvalve.raft.contact import NO_STAMP
from mallowvalve.types import Address

NOOP, COMMAND, VOTERS = range(3)


class Group(msgspec.Struct, array_like=True, frozen=True, order=True):
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


class Voters(msgspec.Struct, array_like=True, frozen=True):
    """A configuration of the cluster. While `old` is not empty it is a joint one (Raft, section 6).

    A joint configuration decides nothing without a majority of `voters` and a majority of `old`, each by itself.
    """

    voters: dict[str, Address]
    learners: dict[str, Address] = {}
    old: dict[str, Address] = {}

    def address(self, id: str) -> Address | None:
        """The address of a member by this configuration; None if it is not part of it."""
        return self.voters.get(id) or self.old.get(id) or self.learners.get(id)

    def everyone(self) -> dict[str, Address]:
        """All members by their addresses, learners among them."""
        return {**self.learners, **self.old, **self.voters}

    def electors(self) -> dict[str, Address]:
        """All whose votes count, in either set."""
        return {**self.old, **self.voters} if self.old else self.voters

    def agreed(self, number: Callable[[str], int]) -> int:
        """The highest number that a majority of each set has reached, by what `number` says of each member."""
        return min(_reached(ids, number) for ids in (self.voters, self.old) if ids)

    def elects(self, granted: set[str]) -> bool:
        """Whether these members are a majority of each set."""
        return self.agreed(lambda i: i in granted) == 1

    def toward(self, wanted: Voters) -> Voters | None:
        """The next configuration on the way to the wanted one; None where a change under way forbids it.

        Any other set of voters is reached through a joint configuration, other learners or addresses in one step.
        """
        if (
            not wanted.voters
            or self.old
            and (wanted.voters.keys(), wanted.old.keys())
            != (
                self.voters.keys(),
                self.old.keys(),
            )
        ):
            return None
        if self.old or wanted.voters.keys() == self.voters.keys():
            return wanted
        return Voters(wanted.voters, wanted.learners, self.voters)

    def final(self) -> Voters:
        """What a joint configuration leads to."""
        return Voters(self.voters, self.learners)


def _reached(ids: dict[str, Address], number: Callable[[str], int]) -> int:
    return sorted(map(number, ids), reverse=True)[len(ids) // 2]


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state up to an index, in pieces that are loaded in their order."""

    group: Group
    index: int
    term: int
    voters: Voters
    state: list[bytes]


class Hard(msgspec.Struct, array_like=True, frozen=True):
    """`commit` is what was known to be committed of what is saved with it or before; never a promise to others."""

    group: Group
    term: int
    vote: str
    commit: int = 0


class Ask(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """RequestVote; `pre` for a pre-vote, `forced` where the leader itself handed over."""

    term: int
    pre: bool
    last_index: int
    last_term: int
    forced: bool = False


class Voice(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The answer to `Ask`."""

    term: int
    pre: bool
    granted: bool


class Append(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """`sure` echoes a stamp of the receiver's that a majority has confirmed this leader after (see `contact`)."""

    term: int
    prev_index: int
    prev_term: int
    entries: list[Entry]
    commit: int
    seq: int
    sure: float = NO_STAMP


class Appended(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """`stamp` is when it was said, in seconds of the sender's own steady clock."""

    term: int
    ok: bool
    match: int
    seq: int
    stamp: float = NO_STAMP


class Install(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """InstallSnapshot: on the wire it only names the snapshot, whose pieces are fetched."""

    term: int
    snapshot: Snapshot
    seq: int


class Elect(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """TimeoutNow: the receiver is to campaign at once."""

    term: int


Message = Ask | Voice | Append | Appended | Install | Elect


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """A message between two members; `address` is where its sender is reached."""

    group: Group
    sender: str
    to: str
    address: Address
    body: Message


encode = msgspec.msgpack.Encoder().encode
envelope = msgspec.msgpack.Decoder(Envelope).decode
voters_of = msgspec.msgpack.Decoder(Voters).decode
snapshot_of = msgspec.msgpack.Decoder(Snapshot).decode
