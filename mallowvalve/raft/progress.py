"""What the Raft machine is set to, what its leader knows of each member, and what it hands out to be saved and sent."""

from __future__ import annotations

import msgspec

from mallowvalve.raft.contact import ContactStamps
from mallowvalve.raft.messages import Entry, HardState, Message, RaftSnapshot

FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER = "follower", "pre", "candidate", "leader"


class RaftTimings(msgspec.Struct, frozen=True):
    """Seconds. `pace` is the least between two rounds of a leader: what comes meanwhile goes along in the next.

    `told` is how long the word that something is decided may wait for a round that goes anyway.
    """

    heartbeat_interval: float = 0.1
    min_broadcast_interval: float = 0.0
    commit_notice_delay: float = 0.0
    election_timeout: float = 1.0
    snapshot_retry_interval: float = 0.5


class Progress:
    """What a leader knows of one member: `match` is what it has stored, `next` what to send it next."""

    __slots__ = (
        "next_index",
        "match_index",
        "round_number",
        "min_round_number",
        "heard_at",
        "snapshot_sent_at",
        "contact_stamps",
    )

    def __init__(self, next_index: int, now: float):
        """A member that was heard `now` (s); `next` is the index to try first."""
        (
            self.next_index,
            self.match_index,
            self.round_number,
            self.min_round_number,
            self.heard_at,
            self.snapshot_sent_at,
        ) = next_index, 0, 0, 0, now, -1e9
        self.contact_stamps = ContactStamps()


class Ready(msgspec.Struct):
    """What to do next, in this order: send `early`, store `hard`, `entries` and `install`, then send `late`."""

    hard_state: HardState | None
    entries: list[Entry]
    snapshot: RaftSnapshot | None
    before_save: list[tuple[str, Message]]
    after_save: list[tuple[str, Message]]
    last_index: int
