"""The maximum age of a control process's contact with a majority, for each kind of answer that it gives.

The age counts from when this process sent the question that a majority has confirmed since (`raft/contact.py`,
`raft/rounds.py`), on its own steady clock: neither a wall clock nor the clock of another process is used.
All bounds are in `LEASE_BOUNDS`.
"""

from __future__ import annotations

import enum

import msgspec

from mallowvalve.raft.contact import NO_STAMP

RETRY_AFTER_S = 1
"""A round with a known leader takes far less."""
RETRY_AFTER_ELECTION_S = 2
"""An election takes up to this long."""
MAX_WATCH_LAG_ENTRIES = 16
"""How many entries a state that serves watches may lag behind the commit index last received from its leader."""
NO_CONTACT = NO_STAMP


class AnswerKind(enum.Enum):
    """The kinds of answers of a control process, by what they rest on."""

    READ = "read"
    ORDER = "order"
    CALL = "call"
    WATCH = "watch"
    HEARTBEAT = "heartbeat"
    NOTICE = "notice"
    DIRECTORY = "directory"


class LeaseBound(msgspec.Struct, frozen=True):
    """`seconds` is the maximum age of the contact when the answer is given.

    Zero means that the confirming round must have been sent after the request arrived.
    """

    seconds: float
    reason: str


LEASE_BOUNDS: dict[AnswerKind, LeaseBound] = {
    AnswerKind.READ: LeaseBound(0.0, "linearizable: a majority confirms the leader after the read arrived"),
    AnswerKind.ORDER: LeaseBound(0.0, "acknowledged once a majority has stored the command after it was proposed"),
    AnswerKind.CALL: LeaseBound(
        2.5,
        "starts to wait for a majority: spans an election; beyond it the caller should ask another process at once",
    ),
    AnswerKind.WATCH: LeaseBound(
        0.5, "five heartbeats: the usual age is two heartbeats and a round trip between regions"
    ),
    AnswerKind.NOTICE: LeaseBound(
        0.5, "serves local knowledge of an acknowledged removal; beyond it a majority must confirm"
    ),
    AnswerKind.HEARTBEAT: LeaseBound(
        2.5, "spans an election: heartbeats received meanwhile reach the next leader before three of them are missed"
    ),
    AnswerKind.DIRECTORY: LeaseBound(
        60.0,
        "names what the failure detector, which needs no majority, still reports alive: outlasts the loss of the core",
    ),
}


def is_valid(kind: AnswerKind, contact_at: float, now: float) -> bool:
    """Whether a contact from a question sent at `contact_at` supports an answer of this kind (s, one clock)."""
    return contact_at <= now < contact_at + LEASE_BOUNDS[kind].seconds


def retry_after(leader_known: bool) -> int:
    """Returns the value of Retry-After (s): longer where an election has to end first."""
    return RETRY_AFTER_S if leader_known else RETRY_AFTER_ELECTION_S
