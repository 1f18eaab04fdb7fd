"""How old a control process's contact with a majority may be for each kind of answer it gives.

The contact is counted from when the question was asked that a majority has confirmed since (`raft/contact.py`,
`raft/rounds.py`), by this process's own steady clock: no wall clock, no clock of another. One table holds all bounds.
"""

from __future__ import annotations

import enum

import msgspec

from mallowvalve.raft.contact import NO_STAMP

RETRY_AFTER_S = 1
RETRY_AFTER_ELECTION_S = 2
MAX_WATCH_LAG_ENTRIES = 16
"""Entries that a state which tells watches what it knows may be behind what its leader told it is committed."""
NO_CONTACT = NO_STAMP


class AnswerKind(enum.Enum):
    """The kinds of answers that a control process gives."""

    READ = "read"
    ORDER = "order"
    CALL = "call"
    WATCH = "watch"
    HEARTBEAT = "heartbeat"
    NOTICE = "notice"
    DIRECTORY = "directory"


class LeaseBound(msgspec.Struct, frozen=True):
    """`seconds` from the question to the answer; zero: the round must have been sent after this very question came."""

    seconds: float
    reason: str


LEASE_BOUNDS: dict[AnswerKind, LeaseBound] = {
    AnswerKind.READ: LeaseBound(0.0, "linearizable: a majority confirms the leader after the read was asked"),
    AnswerKind.ORDER: LeaseBound(0.0, "acknowledged by what a majority has stored after it was offered"),
    AnswerKind.CALL: LeaseBound(
        2.5,
        "begins to wait for a majority: bridges an election; past it the caller had better ask another process at once",
    ),
    AnswerKind.WATCH: LeaseBound(
        0.5, "five heartbeats: two of them and a round trip between regions are the ordinary age"
    ),
    AnswerKind.NOTICE: LeaseBound(
        0.5, "says what is known here of an end that was acknowledged; past it a majority is asked"
    ),
    AnswerKind.HEARTBEAT: LeaseBound(
        2.5, "bridges an election: who was heard in it is reported to the next leader, inside three silent heartbeats"
    ),
    AnswerKind.DIRECTORY: LeaseBound(
        60.0,
        "names what the failure detector, which needs no majority, still finds alive: longer than a lost core takes",
    ),
}


def is_valid(kind: AnswerKind, asked: float, now: float) -> bool:
    """Whether an answer of the kind may rest on a question of `asked`, which a majority confirmed (s, one clock)."""
    return asked <= now < asked + LEASE_BOUNDS[kind].seconds


def retry_after(leader_known: bool) -> int:
    """When to come back (s): a round with a known leader takes moments, an election up to two seconds."""
    return RETRY_AFTER_S if leader_known else RETRY_AFTER_ELECTION_S
