"""Bounds of an exploration: the highest number of events of each kind in one path."""

from __future__ import annotations

import msgspec

UNBOUNDED = 1 << 30


class Bounds(msgspec.Struct, frozen=True):
    """The highest number of events of each kind in one path.

    `members` and `spares` count machines, and `terms` is the highest term. A path with `led` starts with an elected
    leader, one with `contested` with two candidates of the first term.
    """

    members: int = 3
    spares: int = 0
    terms: int = 2
    beats: int = 1
    commands: int = 1
    crashes: int = 0
    wipes: int = 0
    changes: int = 0
    greetings: int = 0
    repeats: int = 0
    reads: int = 0
    silences: int = 0
    compactions: int = 0
    handovers: int = 0
    passes: int = 0
    outages: int = 0
    shared_clock: bool = False
    led: bool = False
    contested: bool = False


RANDOM_WALK = Bounds(
    members=3,
    spares=0,
    terms=UNBOUNDED,
    beats=UNBOUNDED,
    commands=UNBOUNDED,
    crashes=UNBOUNDED,
    repeats=UNBOUNDED,
    reads=UNBOUNDED,
    silences=UNBOUNDED,
    compactions=UNBOUNDED,
    handovers=UNBOUNDED,
)
