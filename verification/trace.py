"""Traces as files: the bounds under which they were found, and their steps, one JSON document."""

from __future__ import annotations

from pathlib import Path

import msgspec

from verification.bounds import Bounds
from verification.steps import Step


class RecordedTrace(msgspec.Struct, frozen=True):
    """A trace with all that a replay needs; `seed` is that of the members' own random numbers, None for none.

    `control` tells whole control machines from Raft alone.
    """

    bounds: Bounds
    seed: int | None
    steps: list[Step]
    broken: str = ""
    control: bool = False


def write_trace(path: Path, recorded: RecordedTrace) -> None:
    """Writes a trace to a file, to be read by `read` or by a person."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(recorded), indent=1) + b"\n")


def read_trace(path: Path) -> RecordedTrace:
    """Reads a trace; raises msgspec.DecodeError or OSError where the file is none."""
    return msgspec.json.decode(path.read_bytes(), type=RecordedTrace)
