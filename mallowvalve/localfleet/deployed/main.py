"""The command `mallowvalve hostsoak`."""

from __future__ import annotations

import signal
import sys
import tempfile
from pathlib import Path
from typing import Any, NoReturn

import click
import gevent
import msgspec
from result import Err

from mallowvalve.finding import Finding, Findings
from mallowvalve.localfleet.deployed.judge import check_faults, check_records, statistics
from mallowvalve.localfleet.deployed.machines import Fleet
from mallowvalve.localfleet.deployed.plan import (
    draw_departure_schedule,
    draw_region_schedule,
    draw_schedule,
    load_schedule,
)
from mallowvalve.localfleet.deployed.shape import Shape, load_deploy_file, load_shape
from mallowvalve.localfleet.deployed.soak import DeployedSoak
from mallowvalve.localfleet.schedule import Schedule, save_schedule

MIN_SECONDS = 15.0
FINDINGS_EXIT_CODE = 1
INVALID_EXIT_CODE = 2
INTERRUPTED_EXIT_CODE = 143


class Options(msgspec.Struct, frozen=True):
    """The options of the command, by the names of its parameters."""

    seed: int
    seconds: float
    trouble: bool
    regions: bool
    departures: bool
    share: float
    closing: bool
    lookups: bool | None
    saved: str | None
    root: str
    folder: str | None


def fail(findings: Findings) -> NoReturn:
    """Prints findings and ends the program before anything was started."""
    for problem in findings:
        click.echo(f"mallowvalve: {problem}", err=True)
    sys.exit(INVALID_EXIT_CODE)


@click.command()
@click.argument("shape")
@click.option("--seed", default=1, help="seed of the schedule and of all stand-ins")
@click.option("--for", "seconds", default=60.0, help="duration in seconds")
@click.option("--trouble/--planned", default=False, help="also kill processes")
@click.option("--regions", is_flag=True, help="instead lose and roll whole regions, one at a time, and nothing else")
@click.option(
    "--departures", is_flag=True, help="instead end edge machines for long, and let upstreams leave beside a standstill"
)
@click.option("--share", default=1.0, help="share of processor time that each process gets, above 0 and up to 1")
@click.option("--closing", is_flag=True, help="kill all processes at the end, before everything is read back")
@click.option("--lookups/--no-lookups", default=None, help="clients ask directories; by default as the shape says")
@click.option("--acts", "saved", type=click.Path(dir_okay=False), help="play a saved schedule instead")
@click.option("--root", default=".", type=click.Path(file_okay=False), help="checkout whose programs are started")
@click.option("--folder", help="folder for logs, records and the schedule; a new temporary folder by default")
def hostsoak(shape: str, **given: Any) -> None:
    """Soak the processes that the deploy file starts: stops, restarts and changes that overlap, on host routes.

    Ends with code 1 on findings, and with code 2 if the shape, the deploy file or the schedule cannot be played.
    """
    options = Options(**given)
    root = Path(options.root).resolve()
    loaded, deploy = load_shape(Path(shape)), load_deploy_file(root)
    found = check_options(options)
    for result in (loaded, deploy):
        found += result.err_value if isinstance(result, Err) else []
    if found or isinstance(loaded, Err) or isinstance(deploy, Err):
        fail(found)
    fleet_shape = loaded.ok_value
    if options.lookups is not None:
        fleet_shape = msgspec.structs.replace(fleet_shape, lookups=options.lookups)
    schedule = schedule_of(options, fleet_shape)
    folder = Path(options.folder or tempfile.mkdtemp(prefix="hostsoak-"))
    try:
        fleet = Fleet(fleet_shape, root, deploy.ok_value, folder)
    except (OSError, KeyError) as error:
        fail([Finding("fleet", f"cannot be planned: {error!r}")])
    path = folder / "schedule.json"
    save_schedule(schedule, path)
    click.echo(f"folder {folder}, seed {schedule.seed}, share {options.share}, {len(schedule.acts)} acts")
    again = f"mallowvalve hostsoak {shape} --seed {schedule.seed} --share {options.share} --acts {path}"
    sys.exit(play(DeployedSoak(fleet, schedule, options.share, options.closing), again))


def check_options(options: Options) -> Findings:
    """Returns why the options cannot be played, or an empty list."""
    found: Findings = []
    if not 0.0 < options.share <= 1.0:
        found.append(Finding("--share", "must be above 0 and up to 1"))
    if options.seconds < MIN_SECONDS:
        found.append(Finding("--for", f"must be {MIN_SECONDS:.0f} s at least"))
    if options.regions and options.trouble:
        found.append(Finding("--regions", "not with --trouble: both together lose more than one region at a time"))
    if options.departures and (options.trouble or options.regions):
        found.append(Finding("--departures", "neither with --trouble nor with --regions"))
    if options.folder is not None and Path(options.folder).exists() and any(Path(options.folder).iterdir()):
        found.append(Finding("--folder", "must be empty or not exist: the state of another run would be taken up"))
    return found


def schedule_of(options: Options, shape: Shape) -> Schedule:
    """Returns the drawn or the saved schedule; ends the program with code 2 on findings."""
    if options.saved is None and options.regions:
        return draw_region_schedule(shape, options.seed, options.seconds)
    if options.saved is None and options.departures:
        return draw_departure_schedule(shape, options.seed, options.seconds)
    if options.saved is None:
        return draw_schedule(shape, options.seed, options.seconds, options.trouble)
    loaded = load_schedule(Path(options.saved), shape)
    if isinstance(loaded, Err):
        fail(loaded.err_value)
    return loaded.ok_value


def play(soak: DeployedSoak, again: str) -> int:
    """Plays a schedule, prints findings and figures; returns the exit code.

    An interrupt or SIGTERM ends all processes that were started.
    """
    main_greenlet = gevent.getcurrent()
    gevent.signal_handler(signal.SIGTERM, main_greenlet.throw, SystemExit(INTERRUPTED_EXIT_CODE))
    fleet = soak.fleet
    with fleet, soak.watch:
        try:
            if not soak.settle():
                for line in ("not settled", *check_faults(soak.records)):
                    click.echo(f"finding: {line}")
                return FINDINGS_EXIT_CODE
            records = soak.run()
        finally:
            soak.close()
    (fleet.folder / "records.json").write_bytes(msgspec.json.encode(records))
    found = check_records(records, fleet.shape.grace_s)
    for line in found:
        click.echo(f"finding: seed {soak.schedule.seed}: {line}")
    if found:
        click.echo(f"again: {again}")
    click.echo(msgspec.json.encode(statistics(records)).decode())
    return FINDINGS_EXIT_CODE if found else 0
