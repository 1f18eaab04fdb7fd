"""Trace files: the bounds of a search and the steps to a violation, as one JSON document."""

from __future__ import annotations

from pathlib import Path

import msgspec

from verification.bounds import Bounds
from verification.steps import Step


class RecordedTrace(msgspec.Struct, frozen=True):
    """A trace with everything that a replay needs.

    `seed` is the seed of the members' random numbers, or None. `control` selects control-plane members instead of Raft
    alone, `regions` those in regions of which one is lost at times.
    """

    bounds: Bounds
    seed: int | None
    steps: list[Step]
    broken: str = ""
    control: bool = False
    regions: bool = False


def write_trace(path: Path, recorded: RecordedTrace) -> None:
    """Writes a trace to a file in a form that `read_trace` and people can read."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(recorded), indent=1) + b"\n")


def read_trace(path: Path) -> RecordedTrace:
    """Reads a trace; raises msgspec.DecodeError or OSError if the file doesn't contain one."""
    return msgspec.json.decode(path.read_bytes(), type=RecordedTrace)
