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
from mallowvalve.localfleet.schedule import Schedule, draw_schedule, load_schedule, save_schedule
from mallowvalve.localfleet.soak import Soak, check_fits, write_timeline


def read_or_draw_schedule(shape: FleetShape, seed: int, seconds: float, trouble: bool, saved: str | None) -> Schedule:
    """Returns the saved or a drawn schedule; ends the program with code 2 on findings, before anything starts."""
    findings = check_fits(shape)
    loaded = Ok(draw_schedule(shape, seed, seconds, trouble)) if saved is None else load_schedule(Path(saved), shape)
    findings += loaded.err_value if isinstance(loaded, Err) else []
    for problem in findings:
        click.echo(f"mallowvalve: {problem}", err=True)
    if findings:
        sys.exit(2)
    return loaded.unwrap()


@click.command()
@click.argument("shape")
@click.option("--seed", default=1, help="seed of the schedule")
@click.option("--for", "seconds", default=60.0, help="duration in seconds")
@click.option("--trouble/--planned", default=False, help="also kill and suspend processes")
@click.option("--acts", "saved", type=click.Path(dir_okay=False), help="play a saved schedule instead")
@click.option("--rate", type=float, help="requests per second; by default the rate of the shape")
@click.option("--folder", help="folder for logs, journals and the schedule; a new temporary folder by default")
def soak(
    shape: str, seed: int, seconds: float, trouble: bool, saved: str | None, rate: float | None, folder: str | None
) -> None:
    """Soak a fleet of real processes: overlapping stops, restarts and changes, under clients that reuse connections.

    Ends with code 1 on findings, and with code 2 if the shape or the saved schedule cannot be played.
    """
    fleet_folder = Path(folder or tempfile.mkdtemp(prefix="soak-"))
    loaded_shape = load_shape(shape)
    schedule = read_or_draw_schedule(loaded_shape, seed, seconds, trouble, saved)
    with LocalFleet(loaded_shape, fleet_folder) as fleet:
        click.echo(
            f"folder {fleet_folder}, seed {schedule.seed}, {len(schedule.acts)} acts in {schedule.seconds:.0f} s"
        )
        if not wait_until_settled(fleet):
            click.echo("finding: not settled")
            sys.exit(1)
        save_schedule(schedule, fleet_folder / "schedule.json")
        started_at = time.time()
        soak_run = Soak(fleet, schedule)
        findings, statistics = soak_run.run(rate)
        write_timeline(soak_run.events, started_at, fleet_folder)
    for line in findings:
        click.echo(f"finding: seed {schedule.seed}: {line}")
    if findings:
        click.echo(f"again: mallowvalve soak {shape} --acts {fleet_folder / 'schedule.json'}")
    click.echo(msgspec.json.encode(statistics).decode())
    sys.exit(1 if findings else 0)
