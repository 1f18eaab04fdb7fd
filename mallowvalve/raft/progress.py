"""The timings of the Raft state machine, a leader's view of each member, and the work to save and send."""

from __future__ import annotations

import msgspec

from mallowvalve.raft.contact import ContactStamps
from mallowvalve.raft.messages import Entry, HardState, Message, RaftSnapshot

FOLLOWER = "follower"
PRE_CANDIDATE = "pre"
CANDIDATE = "candidate"
LEADER = "leader"


class RaftTimings(msgspec.Struct, frozen=True):
    """Intervals and timeouts in seconds.

    A leader waits at least `min_broadcast_interval` between two rounds and batches new entries into the next one.
    A newly committed index waits up to `commit_notice_delay` to travel with a round that is sent for another reason.
    """

    heartbeat_interval: float = 0.1
    min_broadcast_interval: float = 0.0
    commit_notice_delay: float = 0.0
    election_timeout: float = 1.0
    snapshot_retry_interval: float = 0.5


class Progress:
    """A leader's view of one member.

    `next_index` is the next entry to send, `match_index` the highest entry known to be stored. `round_number` is the
    newest round that the member has answered, and `heard_at` the time of that answer (s). Answers to rounds before
    `min_round_number` trigger no further message.
    """

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
        """Creates the view of a member that was heard at `now` (s); `next_index` is the first index to try."""
        self.next_index = next_index
        self.match_index = 0
        self.round_number = 0
        self.min_round_number = 0
        self.heard_at = now
        self.snapshot_sent_at = -1e9
        self.contact_stamps = ContactStamps()


class Ready(msgspec.Struct):
    """The pending work of a member, in order.

    The caller sends `before_save`, saves `hard_state`, `entries` and `snapshot`, then sends `after_save`.
    """

    hard_state: HardState | None
    entries: list[Entry]
    snapshot: RaftSnapshot | None
    before_save: list[tuple[str, Message]]
    after_save: list[tuple[str, Message]]
    last_index: int
