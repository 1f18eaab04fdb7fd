"""How old a control process's contact with a majority may be for each kind of answer it gives.

The contact is counted from when the question was asked that a majority has confirmed since (`raft/contact.py`,
`raft/rounds.py`), by this process's own steady clock: no wall clock, no clock of another. One table holds all bounds.
"""

from __future__ import annotations

import enum

import msgspec

from mallowvalve.raft.contact import NO_STAMP

RETRY_S = 1
RETRY_ELECTION_S = 2
LAG = 16
"""Entries that a state which tells watches what it knows may be behind what its leader told it is committed."""
NEVER = NO_STAMP


class Answer(enum.Enum):
    """The kinds of answers that a control process gives."""

    READ = "read"
    ORDER = "order"
    CALL = "call"
    WATCH = "watch"
    HEARTBEAT = "heartbeat"
    NOTICE = "notice"
    DIRECTORY = "directory"


class Bound(msgspec.Struct, frozen=True):
    """`seconds` from the question to the answer; zero: the round must have been sent after this very question came."""

    seconds: float
    reason: str


BOUNDS: dict[Answer, Bound] = {
    Answer.READ: Bound(0.0, "linearizable: a majority confirms the leader after the read was asked"),
    Answer.ORDER: Bound(0.0, "acknowledged by what a majority has stored after it was offered"),
    Answer.CALL: Bound(
        2.5,
        "begins to wait for a majority: bridges an election; past it the caller had better ask another process at once",
    ),
    Answer.WATCH: Bound(0.5, "five heartbeats: two of them and a round trip between regions are the ordinary age"),
    Answer.NOTICE: Bound(0.5, "says what is known here of an end that was acknowledged; past it a majority is asked"),
    Answer.HEARTBEAT: Bound(
        2.5, "bridges an election: who was heard in it is reported to the next leader, inside three silent heartbeats"
    ),
    Answer.DIRECTORY: Bound(
        60.0,
        "names what the failure detector, which needs no majority, still finds alive: longer than a lost core takes",
    ),
}


def holds(kind: Answer, asked: float, now: float) -> bool:
    """Whether an answer of the kind may rest on a question of `asked`, which a majority confirmed (s, one clock)."""
    return asked <= now < asked + BOUNDS[kind].seconds


def retry_after(leader_known: bool) -> int:
    """When to come back (s): a round with a known leader takes moments, an election up to two seconds."""
    return RETRY_S if leader_known else RETRY_ELECTION_S
