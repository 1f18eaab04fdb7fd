"""The command `mallowvalve soak`."""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

import click
import msgspec
from result import Err, Ok

from mallowvalve.localfleet.fleet import FleetShape, LocalFleet
from mallowvalve.localfleet.main import load_shape, wait_until_settled
from mallowvalve.localfleet.schedule import Schedule, draw, load, save
from mallowvalve.localfleet.soak import Soak, fits, timeline


def scheduled(shape: FleetShape, seed: int, seconds: float, trouble: bool, saved: str | None) -> Schedule:
    """What is to be played; findings end the program with code 2 before anything starts."""
    found = fits(shape)
    read = Ok(draw(shape, seed, seconds, trouble)) if saved is None else load(Path(saved), shape)
    found += read.err_value if isinstance(read, Err) else []
    for one in found:
        click.echo(f"mallowvalve: {one}", err=True)
    if found:
        sys.exit(2)
    return read.unwrap()


@click.command()
@click.argument("shape")
@click.option("--seed", default=1, help="draws the schedule; the same one each time")
@click.option("--for", "seconds", default=60.0, help="seconds")
@click.option("--trouble/--planned", default=False, help="processes are killed and frozen too")
@click.option("--acts", "saved", type=click.Path(dir_okay=False), help="a saved schedule to play instead")
@click.option("--rate", type=float, help="requests a second; the shape's own if not given")
@click.option("--folder", help="where logs, journals and the schedule go; a new one if not given")
def soak(
    shape: str, seed: int, seconds: float, trouble: bool, saved: str | None, rate: float | None, folder: str | None
) -> None:
    """Soak a fleet of real processes: stops, restarts and changes that overlap, under clients that cling.

    Code 1 with findings, 2 where the shape or the saved schedule cannot be played.
    """
    where = Path(folder or tempfile.mkdtemp(prefix="soak-"))
    loaded = load_shape(shape)
    schedule = scheduled(loaded, seed, seconds, trouble, saved)
    with LocalFleet(loaded, where) as fleet:
        click.echo(f"folder {where}, seed {schedule.seed}, {len(schedule.acts)} acts in {schedule.seconds:.0f} s")
        if not wait_until_settled(fleet):
            click.echo("finding: not settled")
            sys.exit(1)
        save(schedule, where / "schedule.json")
        begun = time.time()
        run = Soak(fleet, schedule)
        found, numbers = run.run(rate)
        timeline(run.events, begun, where)
    for one in found:
        click.echo(f"finding: seed {schedule.seed}: {one}")
    if found:
        click.echo(f"again: mallowvalve soak {shape} --acts {where / 'schedule.json'}")
    click.echo(msgspec.json.encode(numbers).decode())
    sys.exit(1 if found else 0)
