"""The schedule of a soak: series of stops, restarts and changes that overlap, drawn from a seed, saved and read."""

from __future__ import annotations

import enum
import random
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from mallowvalve.finding import Finding, Findings
from mallowvalve.localfleet.fleet import FleetShape

VERSION = 1
QUIET_BEFORE_S, QUIET_AFTER_S = 3.0, 12.0
"""Seconds without acts at the beginning, and at the end for the last ones to come round."""

CONTROL_GAP_S = 9.0
"""Between two control processes of a series: each is ready again before the next one stops, so a majority is."""

EVACUATED_S = 8.0
FROZEN_S = 2.0


class Kind(enum.StrEnum):
    """What is done to a process, or to the settings."""

    STOP = "stop"
    KILL = "kill"
    FREEZE = "freeze"
    RELOAD = "reload"
    EVACUATE = "evacuate"
    HOMES = "homes"


PLANNED = frozenset({Kind.STOP, Kind.RELOAD, Kind.EVACUATE, Kind.HOMES})
"""What operators do by plan; everything else is trouble."""


class Act(msgspec.Struct, frozen=True, omit_defaults=True):
    """Something done at a moment (s from the beginning) to a process, a zone or a tenant, which may last (s)."""

    at: float
    kind: Kind
    target: str
    lasts: float = 0.0


class Schedule(msgspec.Struct, frozen=True):
    """All acts of a run, the first first."""

    version: int
    seed: int
    seconds: float
    acts: list[Act]


class Names(msgspec.Struct, frozen=True):
    """What a schedule may name: processes by role, upstreams, each at its locality; zones, and tenants with homes."""

    proxies: dict[str, str]
    directories: dict[str, str]
    controls: dict[str, str]
    upstreams: dict[str, str]
    zones: list[str]
    tenants: list[str]

    def known(self) -> set[str]:
        """All of them."""
        processes = {*self.proxies, *self.directories, *self.controls, *self.upstreams}
        return processes | set(self.zones) | set(self.tenants)


def names(shape: FleetShape) -> Names:
    """The names of a shape's processes, as `localfleet.fleet` gives them."""
    by_role: dict[str, dict[str, str]] = {"proxy": {}, "directory": {}, "control": {}}
    for i, node in enumerate(shape.nodes):
        by_role[node.role][f"{node.role}{i}"] = node.locality
    upstreams = {f"{pool.service}-{i}": at for pool in shape.upstreams for i, at in enumerate(pool.localities)}
    cells = shape.config.get("cells", {}).values()
    tenants = [name for cell in cells for name, tenant in cell["tenants"].items() if tenant.get("homes")]
    zones = sorted({at.partition("/")[2] for at in upstreams.values()})
    return Names(by_role["proxy"], by_role["directory"], by_role["control"], upstreams, zones, sorted(tenants))


def draw(shape: FleetShape, seed: int, seconds: float, trouble: bool) -> Schedule:
    """A schedule of series that overlap; with `trouble` processes are killed and frozen too."""
    rng = random.Random(f"soak/{seed}")
    named = names(shape)
    series = [_in_turn, _in_turn, _region_at_once, _directories, _controls, _reload, _release, _evacuation, _homes]
    if trouble:
        series += [_kills, _freezes]
    acts: list[Act] = []
    first, last = QUIET_BEFORE_S, seconds - QUIET_AFTER_S
    for one in series:
        acts += one(rng, named, rng.uniform(first, max(first, 0.6 * last)))
    kept = sorted((act for act in acts if act.at <= last), key=lambda act: (act.at, act.target))
    return Schedule(VERSION, seed, seconds, kept)


def _stops(rng: random.Random, targets: list[str], at: float, gap: float) -> list[Act]:
    rng.shuffle(targets)
    return [Act(round(at + i * gap, 3), Kind.STOP, target) for i, target in enumerate(targets)]


def _in_turn(rng: random.Random, named: Names, at: float) -> list[Act]:
    return _stops(rng, list(named.proxies), at, rng.uniform(0.2, 4.0))


def _region_at_once(rng: random.Random, named: Names, at: float) -> list[Act]:
    region = rng.choice(sorted({place.partition("/")[0] for place in named.proxies.values()}))
    here = [name for name, place in named.proxies.items() if place.partition("/")[0] == region]
    return _stops(rng, here, at, 0.0)


def _directories(rng: random.Random, named: Names, at: float) -> list[Act]:
    return _stops(rng, list(named.directories), at, rng.uniform(1.0, 5.0))


def _controls(rng: random.Random, named: Names, at: float) -> list[Act]:
    return _stops(rng, list(named.controls), at, CONTROL_GAP_S)


def _reload(rng: random.Random, named: Names, at: float) -> list[Act]:
    everybody = [*named.proxies, *named.directories, *named.controls]
    gap = rng.uniform(0.0, 0.5)
    return [Act(round(at + i * gap, 3), Kind.RELOAD, name) for i, name in enumerate(everybody)]


def _release(rng: random.Random, named: Names, at: float) -> list[Act]:
    some = rng.sample(sorted(named.upstreams), max(1, len(named.upstreams) // 2))
    return _stops(rng, some, at, rng.uniform(0.5, 2.0))


def _evacuation(rng: random.Random, named: Names, at: float) -> list[Act]:
    return [Act(round(at, 3), Kind.EVACUATE, rng.choice(named.zones), EVACUATED_S)]


def _homes(rng: random.Random, named: Names, at: float) -> list[Act]:
    return [Act(round(at, 3), Kind.HOMES, rng.choice(named.tenants), EVACUATED_S)] if named.tenants else []


def _kills(rng: random.Random, named: Names, at: float) -> list[Act]:
    targets = [rng.choice(sorted(group)) for group in (named.proxies, named.controls, named.upstreams)]
    return [Act(round(at + 4.0 * i, 3), Kind.KILL, target, 1.0) for i, target in enumerate(targets)]


def _freezes(rng: random.Random, named: Names, at: float) -> list[Act]:
    return [Act(round(at, 3), Kind.FREEZE, rng.choice(sorted(named.proxies)), FROZEN_S)]


def save(schedule: Schedule, path: Path) -> None:
    """Write a schedule as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(schedule), indent=1))


def load(path: Path, shape: FleetShape) -> Result[Schedule, Findings]:
    """A saved schedule, or what is wrong with it for this shape."""
    try:
        schedule = msgspec.json.decode(path.read_bytes(), type=Schedule)
    except (OSError, msgspec.DecodeError) as e:
        return Err([Finding(str(path), str(e))])
    if schedule.version != VERSION:
        return Err([Finding("version", f"{schedule.version}, this program plays {VERSION}")])
    known = names(shape).known()
    strange = sorted({act.target for act in schedule.acts} - known)
    if strange:
        return Err([Finding(f"acts.{name}", "the shape has no such process, zone or tenant") for name in strange])
    return Ok(schedule)
