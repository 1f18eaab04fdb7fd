"""Command line: explores states, replays a trace, injects faults, checks a recorded history."""

from __future__ import annotations

import sys
import time
from importlib import import_module
from pathlib import Path

import click
import msgspec

from verification import trace as traces
from verification.bounds import UNBOUNDED, Bounds
from verification.cluster import Cluster, ImpossibleError
from verification.control_cluster import ControlCluster
from verification.control_faults import CONTROL_FAULTS, REGION_FAULTS
from verification.explorer import SearchResult, breadth_first, numbered_lines, random_walks, replay
from verification.faults import FAULTS
from verification.region_cluster import REGION_WEIGHTS, RegionCluster
from verification.scheduler import STEP_WEIGHTS

BREADTH = "breadth"
RANDOM = "random"
CONTROL = "control"
REGIONS = "regions"
CLUSTERS: dict[str | None, type[Cluster]] = {None: Cluster, CONTROL: ControlCluster, REGIONS: RegionCluster}
DEFAULT_BOUNDS = Bounds()
OPTIONS_WITHOUT_COUNT = ("members", "spares", "led", "contested", "shared_clock")
COUNT_OPTIONS = [name for name in Bounds.__struct_fields__ if name not in OPTIONS_WITHOUT_COUNT]


@click.group()
def main() -> None:
    """Explore the states of the product's own machines under every order of events that the bounds allow."""


def bounds_options(command: click.Command) -> click.Command:
    """Adds an option for each count that bounds a path."""
    for name in reversed(COUNT_OPTIONS):
        text = f"most {name} of a path; breadth first {getattr(DEFAULT_BOUNDS, name)} if not given, random unbounded"
        command = click.option(f"--{name}", type=click.IntRange(0), help=text)(command)
    return command


@main.command()
@click.option("--mode", type=click.Choice([BREADTH, RANDOM]), default=BREADTH, show_default=True)
@click.option("--members", type=click.IntRange(1), default=3, show_default=True)
@click.option("--spares", type=click.IntRange(0), default=0, show_default=True, help="machines outside the voters")
@click.option("--led", is_flag=True, help="start with an elected leader")
@click.option("--contested", is_flag=True, help="start with two candidates of the first term")
@click.option("--shared-clock", is_flag=True, help="one clock for all, so that leases hold; else each has its own")
@click.option("--control", "level", flag_value=CONTROL, help="random: whole control machines, callers and leases")
@click.option("--regions", "level", flag_value=REGIONS, help="random: these in regions, of which one is lost at times")
@bounds_options
@click.option("--states", type=click.IntRange(1), default=50_000, show_default=True, help="breadth first: most states")
@click.option("--depth", type=click.IntRange(1), default=1000, show_default=True, help="most steps of a path")
@click.option("--first", type=int, default=0, show_default=True, help="random: first seed")
@click.option("--seeds", type=click.IntRange(1), default=100, show_default=True, help="random: how many seeds")
@click.option(
    "--seconds", type=float, help="random: begin no seed after so long; the verdict then depends on the machine"
)
@click.option("--out", type=click.Path(path_type=Path), help="file for the trace of a failure")
def explore(mode, level, states, depth, first, seeds, seconds, out, **limits) -> None:
    """Search states, breadth first or along random paths; exits with 1 where a check fails."""
    unbounded = mode == RANDOM
    if level is not None and not unbounded:
        raise click.UsageError("--control and --regions need --mode random: their states have no identity")
    limits["shared_clock"] = limits["shared_clock"] or level is not None
    counts = {name: limits.pop(name) for name in COUNT_OPTIONS}
    counts = {name: _count(name, value, unbounded) for name, value in counts.items()}
    bounds = Bounds(**limits, **counts)
    started_at = time.monotonic()
    if mode == BREADTH:
        result = breadth_first(bounds, states, depth)
    else:
        deadline = started_at + seconds if seconds else float("inf")
        numbers = (seed for seed in range(first, first + seeds) if time.monotonic() < deadline)
        weights = REGION_WEIGHTS if level == REGIONS else STEP_WEIGHTS
        result = random_walks(bounds, numbers, depth, CLUSTERS[level], weights)
    report(result, time.monotonic() - started_at)
    if result.broken:
        if out is not None:
            kinds = level == CONTROL, level == REGIONS
            recorded = traces.RecordedTrace(bounds, result.seed, result.trace, result.broken, *kinds)
            traces.write_trace(out, recorded)
        sys.exit(1)


def _count(name: str, value: int | None, unbounded: bool) -> int:
    if value is not None:
        return value
    return (
        UNBOUNDED
        if unbounded and name not in ("changes", "wipes", "greetings", "outages")
        else getattr(DEFAULT_BOUNDS, name)
    )


def report(result: SearchResult, seconds: float) -> None:
    """Prints the figures of a search, and the trace of a failure."""
    scope = f", {result.seeds} seeds" if result.seeds else ", all within the bounds" if result.complete else ""
    states_per_s = round(result.states / seconds) if seconds else 0
    click.echo(f"states {result.states}, steps {result.steps}, depth {result.depth}{scope}, {states_per_s} states/s")
    if result.coverage:
        click.echo("seen: " + ", ".join(f"{event} {count}" for event, count in sorted(result.coverage.items())))
    if not result.broken:
        click.echo("every check held")
        return
    click.echo(f"BROKEN: {result.broken}")
    if result.seed is not None:
        click.echo(f"seed {result.seed}, the path shortened to {len(result.trace)} steps:")
    for text in numbered_lines(result.trace):
        click.echo(text)


@main.command("replay")
@click.argument("file", type=click.Path(exists=True, path_type=Path))
def replay_file(file: Path) -> None:
    """Take the steps of a trace that `explore --out` wrote; exits with 1 where it still fails."""
    try:
        recorded = traces.read_trace(file)
        make_cluster = CLUSTERS[REGIONS if recorded.regions else CONTROL if recorded.control else None]
        broken = replay(recorded.steps, recorded.bounds, recorded.seed, make_cluster)
    except (msgspec.DecodeError, ImpossibleError) as error:
        raise click.ClickException(f"{file}: {error}") from None
    for text in numbered_lines(recorded.steps):
        click.echo(text)
    click.echo(f"BROKEN: {broken}" if broken else "every check held")
    sys.exit(1 if broken else 0)


@main.command()
@click.option("--seeds", type=click.IntRange(1), default=1000, show_default=True)
@click.argument("names", nargs=-1)
def teeth(seeds, names) -> None:
    """Take each protection out in turn (or those whose name holds one of NAMES) and count states to a failure."""
    unnoticed_count = 0
    for fault in FAULTS + CONTROL_FAULTS + REGION_FAULTS:
        if names and not any(name in fault.name for name in names):
            continue
        started_at = time.monotonic()
        with fault.injected() as make_cluster:
            result = random_walks(
                fault.bounds,
                range(fault.first_seed, fault.first_seed + seeds),
                fault.length,
                make_cluster,
                fault.weights,
            )
        unnoticed_count += not result.broken
        verdict = f"{result.broken}; trace of {len(result.trace)}" if result.broken else "NOT NOTICED"
        elapsed_s = time.monotonic() - started_at
        click.echo(f"{fault.name}: {result.states} states, {result.seeds} seeds, {elapsed_s:.1f} s: {verdict}")
    sys.exit(1 if unnoticed_count else 0)


@main.command()
@click.argument("file", type=click.Path(exists=True, path_type=Path))
def check(file: Path) -> None:
    """Check a recorded history for linearizability; exits with 0 only if an order explains every part of it."""
    sys.exit(import_module("verification.linearizability").check_file(file))


if __name__ == "__main__":
    main()
