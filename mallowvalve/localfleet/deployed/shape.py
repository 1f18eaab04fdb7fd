"""The shape of a deployed fleet: its machines, services and callers, and how much processor time a process gets."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

from mallowvalve import finding
from mallowvalve.finding import Finding, Findings, parse_json

DEPLOY_FILE = "deploy/system.toml"
MACHINE_FILE = "platform/machine.json"
MAX_MACHINES = 200
MAX_MEMORY_SHARE = 0.5
MEMORY_PER_MACHINE_BYTES = 80 << 20
"""The expected memory of a process, with a margin."""


class Shape(msgspec.Struct, frozen=True):
    """What a soak plays.

    `zones` maps zones to regions; `core` and `edge` are numbers of machines, spread over the zones; `services` are the
    upstreams of each service. `connections` is the number of clients, `callers` the number of applications that use
    locks, numbers and keys, `rate` the requests a second of all clients, `grace_s` the grace period of a stop. With
    `lookups` clients ask a directory for addresses; else they choose among all edge machines. `uploads` is the number
    of clients that send large bodies, up to the limit, and `edge_memory_mb` the memory of an edge machine (megabytes).
    """

    zones: dict[str, str]
    core: int
    edge: int
    services: dict[str, int]
    connections: int = 60
    callers: int = 12
    rate: float = 80.0
    grace_s: float = 6.0
    lookups: bool = False
    uploads: int = 2
    edge_memory_mb: int = 300


class Role(msgspec.Struct, frozen=True):
    """A role of the deploy file, as far as it is needed here."""

    run: str
    template: str
    on: str
    serves: list[str]


class DeployFile(msgspec.Struct, frozen=True):
    """The roles by name."""

    roles: dict[str, Role]


def load_shape(path: Path) -> Result[Shape, Findings]:
    """Reads and checks a shape file (JSON)."""
    try:
        document = parse_json(path.read_bytes(), str(path))
    except OSError as error:
        return Err([Finding(str(path), str(error))])
    return document.and_then(lambda data: finding.read(Shape, data)).and_then(check_shape)


def check_shape(shape: Shape) -> Result[Shape, Findings]:
    """Returns the shape, or why it cannot be played on this machine."""
    found: Findings = []
    for place in ("core", "edge", "connections"):
        if getattr(shape, place) < 1:
            found.append(Finding(place, "must be at least 1"))
    for place in ("rate", "grace_s", "edge_memory_mb"):
        if getattr(shape, place) <= 0:
            found.append(Finding(place, "must be positive"))
    for place in ("callers", "uploads"):
        if getattr(shape, place) < 0:
            found.append(Finding(place, "must not be negative"))
    if not shape.zones:
        found.append(Finding("zones", "must not be empty"))
    if not shape.services or min(shape.services.values()) < 1:
        found.append(Finding("services", "want one upstream or more of each"))
    machines = shape.core + shape.edge
    if machines > MAX_MACHINES:
        found.append(Finding("edge", f"{machines} machines, {MAX_MACHINES} at most"))
    elif machines * MEMORY_PER_MACHINE_BYTES > MAX_MEMORY_SHARE * total_memory_bytes():
        found.append(Finding("edge", f"{machines} machines want more than half of this machine's memory"))
    return Err(found) if found else Ok(shape)


def total_memory_bytes() -> int:
    """Returns the memory of this machine."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def load_deploy_file(root: Path) -> Result[DeployFile, Findings]:
    """Reads the deploy file of a checkout; fields that are not needed here are ignored."""
    path = root / DEPLOY_FILE
    try:
        document: dict[str, Any] = tomllib.loads(path.read_text())
        return Ok(msgspec.convert(document, DeployFile))
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        return Err([Finding(str(path), str(error))])
