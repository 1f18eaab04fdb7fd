"""The schedule of a soak: overlapping series of stops, restarts and changes, drawn from a seed or read from a file."""

from __future__ import annotations

import enum
import random
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from mallowvalve.finding import Finding, Findings
from mallowvalve.localfleet.fleet import FleetShape

SCHEDULE_VERSION = 1
QUIET_START_S = 3.0
QUIET_END_S = 12.0
"""The time without acts at the end, in which the effects of the last acts settle."""

CONTROL_GAP_S = 9.0
"""The interval between stops of control processes: each is ready again before the next stops, so a majority runs."""

EVACUATION_S = 8.0
FREEZE_S = 2.0


class ActKind(enum.StrEnum):
    """An operation on a process or on the configuration."""

    STOP = "stop"
    KILL = "kill"
    FREEZE = "freeze"
    RELOAD = "reload"
    EVACUATE = "evacuate"
    HOMES = "homes"
    RELEASE = "release"
    KILL_ALL = "kill-all"
    RELOADS_AT_START = "reloads-at-start"
    LATE_END = "late-end"
    PORTS_HELD = "ports-held"
    GARBAGE = "garbage"
    LOSE_REGION = "lose-region"
    ROLL_REGION = "roll-region"
    END_FOR_LONG = "end-for-long"
    LEAVE_BESIDE_STANDSTILL = "leave-beside-standstill"


PLANNED_KINDS = frozenset({ActKind.STOP, ActKind.RELOAD, ActKind.EVACUATE, ActKind.HOMES, ActKind.RELEASE})
"""The operations of planned maintenance; all others are faults."""


class ScheduledAct(msgspec.Struct, frozen=True, omit_defaults=True):
    """An operation on a process, a zone or a tenant: `at` seconds after the start, for `lasts` seconds."""

    at: float
    kind: ActKind
    target: str
    lasts: float = 0.0


class Schedule(msgspec.Struct, frozen=True):
    """All acts of a run in the order of their times."""

    version: int
    seed: int
    seconds: float
    acts: list[ScheduledAct]


class ScheduleTargets(msgspec.Struct, frozen=True):
    """The possible targets: processes of each role and upstreams, with their localities; zones; tenants with homes."""

    proxies: dict[str, str]
    directories: dict[str, str]
    controls: dict[str, str]
    upstreams: dict[str, str]
    zones: list[str]
    tenants: list[str]

    def names(self) -> set[str]:
        """Returns the names of all targets."""
        processes = {*self.proxies, *self.directories, *self.controls, *self.upstreams}
        return processes | set(self.zones) | set(self.tenants)


def schedule_targets(shape: FleetShape) -> ScheduleTargets:
    """Returns the targets of a shape, with the process names that `localfleet.fleet` assigns."""
    by_role: dict[str, dict[str, str]] = {"proxy": {}, "directory": {}, "control": {}}
    for index, node in enumerate(shape.nodes):
        by_role[node.role][f"{node.role}{index}"] = node.locality
    upstreams = {
        f"{pool.service}-{index}": locality
        for pool in shape.upstreams
        for index, locality in enumerate(pool.localities)
    }
    cells = shape.config.get("cells", {}).values()
    tenants = [name for cell in cells for name, tenant in cell["tenants"].items() if tenant.get("homes")]
    zones = sorted({locality.partition("/")[2] for locality in upstreams.values()})
    return ScheduleTargets(
        by_role["proxy"], by_role["directory"], by_role["control"], upstreams, zones, sorted(tenants)
    )


def draw_schedule(shape: FleetShape, seed: int, seconds: float, trouble: bool) -> Schedule:
    """Draws overlapping series of planned acts; with `trouble` also kills and freezes."""
    rng = random.Random(f"soak/{seed}")
    targets = schedule_targets(shape)
    generators = [
        _stop_proxies,
        _stop_proxies,
        _stop_region,
        _stop_directories,
        _stop_controls,
        _reload_all,
        _stop_upstreams,
        _evacuate_zone,
        _move_homes,
    ]
    if trouble:
        generators += [_kill_processes, _freeze_proxy]
    acts: list[ScheduledAct] = []
    first, last = QUIET_START_S, seconds - QUIET_END_S
    for generator in generators:
        acts += generator(rng, targets, rng.uniform(first, max(first, 0.6 * last)))
    kept = sorted((act for act in acts if act.at <= last), key=lambda act: (act.at, act.target))
    return Schedule(SCHEDULE_VERSION, seed, seconds, kept)


def _stop_in_turn(rng: random.Random, targets: list[str], at: float, gap_s: float) -> list[ScheduledAct]:
    rng.shuffle(targets)
    return [ScheduledAct(round(at + i * gap_s, 3), ActKind.STOP, target) for i, target in enumerate(targets)]


def _stop_proxies(rng: random.Random, targets: ScheduleTargets, at: float) -> list[ScheduledAct]:
    return _stop_in_turn(rng, list(targets.proxies), at, rng.uniform(0.2, 4.0))


def _stop_region(rng: random.Random, targets: ScheduleTargets, at: float) -> list[ScheduledAct]:
    region = rng.choice(sorted({locality.partition("/")[0] for locality in targets.proxies.values()}))
    in_region = [name for name, locality in targets.proxies.items() if locality.partition("/")[0] == region]
    return _stop_in_turn(rng, in_region, at, 0.0)


def _stop_directories(rng: random.Random, targets: ScheduleTargets, at: float) -> list[ScheduledAct]:
    return _stop_in_turn(rng, list(targets.directories), at, rng.uniform(1.0, 5.0))


def _stop_controls(rng: random.Random, targets: ScheduleTargets, at: float) -> list[ScheduledAct]:
    return _stop_in_turn(rng, list(targets.controls), at, CONTROL_GAP_S)


def _reload_all(rng: random.Random, targets: ScheduleTargets, at: float) -> list[ScheduledAct]:
    everything = [*targets.proxies, *targets.directories, *targets.controls]
    gap_s = rng.uniform(0.0, 0.5)
    return [ScheduledAct(round(at + i * gap_s, 3), ActKind.RELOAD, name) for i, name in enumerate(everything)]


def _stop_upstreams(rng: random.Random, targets: ScheduleTargets, at: float) -> list[ScheduledAct]:
    released = rng.sample(sorted(targets.upstreams), max(1, len(targets.upstreams) // 2))
    return _stop_in_turn(rng, released, at, rng.uniform(0.5, 2.0))


def _evacuate_zone(rng: random.Random, targets: ScheduleTargets, at: float) -> list[ScheduledAct]:
    return [ScheduledAct(round(at, 3), ActKind.EVACUATE, rng.choice(targets.zones), EVACUATION_S)]


def _move_homes(rng: random.Random, targets: ScheduleTargets, at: float) -> list[ScheduledAct]:
    return (
        [ScheduledAct(round(at, 3), ActKind.HOMES, rng.choice(targets.tenants), EVACUATION_S)]
        if targets.tenants
        else []
    )


def _kill_processes(rng: random.Random, targets: ScheduleTargets, at: float) -> list[ScheduledAct]:
    killed = [rng.choice(sorted(group)) for group in (targets.proxies, targets.controls, targets.upstreams)]
    return [ScheduledAct(round(at + 4.0 * i, 3), ActKind.KILL, target, 1.0) for i, target in enumerate(killed)]


def _freeze_proxy(rng: random.Random, targets: ScheduleTargets, at: float) -> list[ScheduledAct]:
    return [ScheduledAct(round(at, 3), ActKind.FREEZE, rng.choice(sorted(targets.proxies)), FREEZE_S)]


def save_schedule(schedule: Schedule, path: Path) -> None:
    """Writes a schedule as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(schedule), indent=1))


def load_schedule(path: Path, shape: FleetShape) -> Result[Schedule, Findings]:
    """Reads a saved schedule, or returns findings if it is malformed or does not fit the shape."""
    try:
        schedule = msgspec.json.decode(path.read_bytes(), type=Schedule)
    except (OSError, msgspec.DecodeError) as error:
        return Err([Finding(str(path), str(error))])
    if schedule.version != SCHEDULE_VERSION:
        return Err([Finding("version", f"{schedule.version}, this program plays {SCHEDULE_VERSION}")])
    known = schedule_targets(shape).names()
    unknown = sorted({act.target for act in schedule.acts} - known)
    if unknown:
        return Err([Finding(f"acts.{name}", "the shape has no such process, zone or tenant") for name in unknown])
    return Ok(schedule)
