"""The command `mallowvalve localfleet`."""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

import click
import msgspec
from result import Err

from mallowvalve import finding
from mallowvalve.localfleet import trial
from mallowvalve.localfleet.call import call
from mallowvalve.localfleet.fleet import FleetShape, LocalFleet, wait_until


def load_shape(path: str) -> FleetShape:
    """Reads the description of a fleet from a TOML or JSON file; ends the program with code 2 on findings."""
    try:
        data = (
            msgspec.toml.decode(Path(path).read_bytes())
            if path.endswith(".toml")
            else msgspec.json.decode(Path(path).read_bytes())
        )
    except (OSError, msgspec.DecodeError) as error:
        click.echo(f"mallowvalve: {path}: {error}", err=True)
        sys.exit(2)
    result = finding.read(FleetShape, data)
    if isinstance(result, Err):
        for problem in result.err_value:
            click.echo(f"mallowvalve: {path}: {problem}", err=True)
        sys.exit(2)
    return result.ok_value


def wait_until_settled(fleet: LocalFleet, timeout_s: float = 40.0) -> bool:
    """Applies the configuration and waits until all processes are ready and all upstreams known to each proxy.

    Each of the three steps may take `timeout_s`. Returns whether all of them succeeded.
    """

    def is_applied() -> bool:
        return any(
            call(process.web_port, "PUT", "/config", {"doc": fleet.shape.config})[0] == 200
            for process in fleet.with_role("control")
            if process.is_running
        )

    def are_nodes_ready() -> bool:
        nodes = [
            process
            for role in ("control", "proxy", "directory")
            for process in fleet.with_role(role)
            if process.is_running
        ]
        return all(call(node.web_port, "GET", "/-/ready", timeout_s=2)[0] == 200 for node in nodes)

    def are_upstreams_known() -> bool:
        expected = len(fleet.with_role("upstream"))
        return all(
            sum(
                upstream["status"] == "ready"
                for upstream in call(proxy.web_port, "GET", "/-/upstreams", timeout_s=2)[1]["upstreams"]
            )
            >= expected
            for proxy in fleet.with_role("proxy")
            if proxy.is_running
        )

    return bool(
        wait_until(is_applied, timeout_s)
        and wait_until(are_nodes_ready, timeout_s)
        and wait_until(are_upstreams_known, timeout_s)
    )


@click.command()
@click.argument("shape")
@click.option("--folder", help="folder for logs and data; a new temporary folder by default")
@click.option("--seconds", default=0.0, help="stop after this long; 0 runs until interrupted")
@click.option(
    "--trial",
    "acts",
    multiple=True,
    type=click.Choice(sorted(trial.ACTS)),
    help="play this act under load, then check the journals",
)
@click.option("--seed", default=1)
@click.option("--rate", type=float, help="requests per second in a trial; by default the rate of the shape")
@click.option("--coordination", default=40.0, help="coordination calls per second in a trial")
@click.option("--load/--no-load", default=True, help="run stand-in clients")
def localfleet(
    shape: str,
    folder: str | None,
    seconds: float,
    acts: tuple[str, ...],
    seed: int,
    rate: float | None,
    coordination: float,
    load: bool,
) -> None:
    """Run a fleet on this machine from one settings file: a development tool."""
    fleet_folder = Path(folder or tempfile.mkdtemp(prefix="whole-"))
    with LocalFleet(load_shape(shape), fleet_folder) as fleet:
        click.echo(f"folder {fleet_folder}")
        is_settled = wait_until_settled(fleet)
        click.echo("settled" if is_settled else "not settled")
        for process in fleet.processes.values():
            click.echo(f"{process.name:24} {process.locality:12} web 127.0.0.1:{process.web_port} pid {process.pid}")
        if acts and is_settled:
            findings, statistics = trial.run_trial(fleet, list(acts), seed, rate, coordination)
            for line in findings:
                click.echo(f"finding: {line}")
            click.echo(msgspec.json.encode(statistics).decode())
            sys.exit(1 if findings else 0)
        if load and fleet.shape.shares:
            fleet.start_clients()
        end = time.monotonic() + (seconds or 1e9)
        try:
            while time.monotonic() < end:
                time.sleep(0.5)
        except KeyboardInterrupt:
            pass
        rows = fleet.read_journal("asked.jsonl")
        click.echo(
            f"asked {len(rows)}, answered whole {sum(row['whole'] for row in rows)}, "
            f"ran {len(fleet.read_journal('ran.jsonl'))}"
        )
    sys.exit(0 if is_settled else 1)
