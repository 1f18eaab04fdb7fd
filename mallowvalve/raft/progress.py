"""What the Raft machine is set to, what its leader knows of each member, and what it hands out to be saved and sent."""

from __future__ import annotations

import msgspec

from mallowvalve.raft.contact import Questions
from mallowvalve.raft.messages import Entry, Hard, Message, Snapshot

FOLLOWER, PRE, CANDIDATE, LEADER = "follower", "pre", "candidate", "leader"


class Times(msgspec.Struct, frozen=True):
    """Seconds. `pace` is the least between two rounds of a leader: what comes meanwhile goes along in the next.

    `told` is how long the word that something is decided may wait for a round that goes anyway.
    """

    heartbeat: float = 0.1
    pace: float = 0.0
    told: float = 0.0
    election: float = 1.0
    snapshot_again: float = 0.5


class Progress:
    """What a leader knows of one member: `match` is what it has stored, `next` what to send it next."""

    __slots__ = ("next", "match", "seq", "floor", "heard", "snapshot_at", "questions")

    def __init__(self, next: int, now: float):
        """A member that was heard `now` (s); `next` is the index to try first."""
        self.next, self.match, self.seq, self.floor, self.heard, self.snapshot_at = next, 0, 0, 0, now, -1e9
        self.questions = Questions()


class Ready(msgspec.Struct):
    """What to do next, in this order: send `early`, store `hard`, `entries` and `install`, then send `late`."""

    hard: Hard | None
    entries: list[Entry]
    install: Snapshot | None
    early: list[tuple[str, Message]]
    late: list[tuple[str, Message]]
    last: int
