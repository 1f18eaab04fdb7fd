"""The schedule of acts on a deployed fleet: series that overlap, drawn from a seed or read from a file."""

from __future__ import annotations

import random
from pathlib import Path

from result import Err, Ok, Result

from mallowvalve import finding
from mallowvalve.finding import Finding, Findings, parse_json
from mallowvalve.localfleet.deployed.shape import Shape
from mallowvalve.localfleet.schedule import SCHEDULE_VERSION, ActKind, Schedule, ScheduledAct

QUIET_START_S = 2.0
QUIET_END_S = 10.0
EVACUATION_S = 6.0
KILL_PAUSE_S = 0.5
CORE_GAP_S = 9.0
"""The interval between stops of core machines: each is ready again before the next stops, so a majority runs."""

HELD_S = 1.5
"""How long the process before, or a port, is held while the next process starts."""

RELOADS_S = 1.0
EVERYTHING = "all"
START_FAULTS = (ActKind.RELOADS_AT_START, ActKind.LATE_END, ActKind.PORTS_HELD)
ACT_SECONDS = {
    ActKind.EVACUATE: EVACUATION_S,
    ActKind.KILL: KILL_PAUSE_S,
    ActKind.RELOADS_AT_START: RELOADS_S,
    ActKind.LATE_END: HELD_S,
    ActKind.PORTS_HELD: HELD_S,
}
PLAYED_KINDS = (
    ActKind.STOP,
    ActKind.KILL,
    ActKind.RELOAD,
    ActKind.EVACUATE,
    ActKind.RELEASE,
    ActKind.KILL_ALL,
    ActKind.GARBAGE,
    ActKind.LOSE_REGION,
    ActKind.ROLL_REGION,
    ActKind.END_FOR_LONG,
    ActKind.LEAVE_BESIDE_STANDSTILL,
    *START_FAULTS,
)
REGION_LOSS_S = (5.0, 9.0)
REGION_GAP_S = 13.0
"""From the return of a region to the next act on one: a start and the time to catch up."""

ROLL_S = 8.0
"""How long a roll of a region's core machines takes, about."""

ROLL_RATIO = 0.25

END_S = 13.0
"""How long ended machines stay off: longer than a directory may name them."""

ENDED_SHARE = 0.4
DEPARTURE_GAP_S = 5.0
"""From the start of ended machines to the next departure."""

STANDSTILL_ACT_S = 12.0
"""How long an upstream that leaves beside a standstill takes, about."""


def machine_names(shape: Shape) -> tuple[list[str], list[str]]:
    """Returns the names of the core and of the edge machines."""
    return [f"core-{index}" for index in range(shape.core)], [f"edge-{index}" for index in range(shape.edge)]


def draw_schedule(shape: Shape, seed: int, seconds: float, trouble: bool) -> Schedule:
    """Draws overlapping series of planned work; with `trouble` also kills, hindered starts and made-up input."""
    rng = random.Random(f"deployed/{seed}")
    last = seconds - QUIET_END_S
    core, edge = machine_names(shape)
    acts = [
        *_in_turn(rng, ActKind.STOP, edge, rng.uniform(QUIET_START_S, 6.0), rng.uniform(0.5, 5.0), last),
        *_in_turn(rng, ActKind.STOP, edge, rng.uniform(QUIET_START_S, 10.0), rng.uniform(4.0, 8.0), last),
        *_in_turn(rng, ActKind.STOP, core, rng.uniform(QUIET_START_S, 8.0), CORE_GAP_S + rng.uniform(0.0, 4.0), last),
        *_in_turn(rng, ActKind.RELOAD, [*core, *edge], rng.uniform(4.0, 15.0), rng.uniform(0.1, 2.0), last),
        *_in_turn(rng, ActKind.RELEASE, sorted(shape.services), rng.uniform(3.0, 12.0), rng.uniform(3.0, 9.0), last),
        *_in_turn(rng, ActKind.EVACUATE, sorted(shape.zones), rng.uniform(5.0, 20.0), 2.5 * EVACUATION_S, last),
    ]
    if trouble:
        machines = [*core, *edge]
        acts += _in_turn(rng, ActKind.KILL, machines, rng.uniform(4.0, 15.0), rng.uniform(6.0, 12.0), last)
        for kind in START_FAULTS:
            acts += _in_turn(rng, kind, machines, rng.uniform(4.0, 15.0), rng.uniform(9.0, 18.0), last)
        acts += _in_turn(rng, ActKind.GARBAGE, machines, rng.uniform(3.0, 6.0), rng.uniform(1.0, 3.0), last)
        acts += _in_turn(rng, ActKind.KILL_ALL, [EVERYTHING], rng.uniform(10.0, 25.0), rng.uniform(20.0, 40.0), last)
    return Schedule(SCHEDULE_VERSION, seed, seconds, sorted(acts, key=lambda act: (act.at, act.target)))


def draw_region_schedule(shape: Shape, seed: int, seconds: float) -> Schedule:
    """Draws losses and rolls of whole regions, each region in turn, and no other act: one loss at a time is allowed."""
    rng = random.Random(f"regions/{seed}")
    regions = sorted(set(shape.zones.values()))
    order = rng.sample(regions, len(regions))
    acts: list[ScheduledAct] = []
    at = rng.uniform(QUIET_START_S, 6.0)
    while at <= seconds - QUIET_END_S:
        region = order[len(acts) % len(order)]
        if rng.random() < ROLL_RATIO:
            acts.append(ScheduledAct(round(at, 3), ActKind.ROLL_REGION, region))
            at += ROLL_S + REGION_GAP_S
        else:
            lasts = round(rng.uniform(*REGION_LOSS_S), 3)
            acts.append(ScheduledAct(round(at, 3), ActKind.LOSE_REGION, region, lasts))
            at += lasts + REGION_GAP_S
    return Schedule(SCHEDULE_VERSION, seed, seconds, acts)


def draw_departure_schedule(shape: Shape, seed: int, seconds: float) -> Schedule:
    """Draws ends of several edge machines at one moment, for long, and upstreams that leave beside a standstill."""
    rng = random.Random(f"departures/{seed}")
    _, edge = machine_names(shape)
    services = sorted(shape.services)
    acts: list[ScheduledAct] = []
    at, turn = rng.uniform(QUIET_START_S, 4.0), rng.randrange(2)
    while at <= seconds - QUIET_END_S:
        if turn % 2:
            acts.append(ScheduledAct(round(at, 3), ActKind.LEAVE_BESIDE_STANDSTILL, rng.choice(services)))
            at += STANDSTILL_ACT_S
        else:
            ended = sorted(rng.sample(edge, max(1, int(ENDED_SHARE * len(edge)))))
            acts += [ScheduledAct(round(at, 3), ActKind.END_FOR_LONG, name, END_S) for name in ended]
            at += END_S + DEPARTURE_GAP_S
        turn += 1
    return Schedule(SCHEDULE_VERSION, seed, seconds, acts)


def _in_turn(
    rng: random.Random, kind: ActKind, targets: list[str], at: float, gap_s: float, last: float
) -> list[ScheduledAct]:
    """Returns an act on each target in turn, in a drawn order, over and over until `last`."""
    order = rng.sample(targets, len(targets))
    lasts = ACT_SECONDS.get(kind, 0.0)
    acts: list[ScheduledAct] = []
    while at <= last:
        acts.append(ScheduledAct(round(at, 3), kind, order[len(acts) % len(order)], lasts))
        at += gap_s
    return acts


def load_schedule(path: Path, shape: Shape) -> Result[Schedule, Findings]:
    """Reads a saved schedule; returns findings if it is malformed or does not fit the shape."""
    try:
        document = parse_json(path.read_bytes(), str(path))
    except OSError as error:
        return Err([Finding(str(path), str(error))])
    return document.and_then(lambda data: finding.read(Schedule, data)).and_then(lambda read: _check(read, shape))


def _check(schedule: Schedule, shape: Shape) -> Result[Schedule, Findings]:
    if schedule.version != SCHEDULE_VERSION:
        return Err([Finding("version", f"{schedule.version}, this program plays {SCHEDULE_VERSION}")])
    core, edge = machine_names(shape)
    known = {*core, *edge, *shape.services, *shape.zones, *shape.zones.values(), EVERYTHING}
    found: Findings = []
    for index, act in enumerate(schedule.acts):
        if act.target not in known:
            found.append(Finding(f"acts[{index}].target", f"the shape has no {act.target!r}"))
        if act.at < 0 or act.lasts < 0:
            found.append(Finding(f"acts[{index}]", "times must not be negative"))
        if act.kind not in PLAYED_KINDS:
            found.append(Finding(f"acts[{index}].kind", f"{act.kind} cannot be played on a deployed fleet"))
    return Err(found) if found else Ok(schedule)
