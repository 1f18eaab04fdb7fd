"""The command `mallowvalve localfleet`."""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

import click
import msgspec

from mallowvalve import finding
from mallowvalve.localfleet import trial
from mallowvalve.localfleet.call import call
from mallowvalve.localfleet.fleet import FleetShape, LocalFleet, wait_until


def load_shape(path: str) -> FleetShape:
    """A fleet's file, TOML or JSON; findings end the program with code 2."""
    try:
        data = (
            msgspec.toml.decode(Path(path).read_bytes())
            if path.endswith(".toml")
            else msgspec.json.decode(Path(path).read_bytes())
        )
    except (OSError, msgspec.DecodeError) as e:
        click.echo(f"mallowvalve: {path}: {e}", err=True)
        sys.exit(2)
    r = finding.read(FleetShape, data)
    if r.is_err():
        for f in r.err_value:
            click.echo(f"mallowvalve: {path}: {f}", err=True)
        sys.exit(2)
    return r.ok_value


def wait_until_settled(fleet: LocalFleet, timeout_s: float = 40.0) -> bool:
    """Whether the configuration is in force, all processes ready, all upstreams known, within `limit` seconds each."""

    def applied() -> bool:
        return any(
            call(p.web_port, "PUT", "/config", {"doc": fleet.shape.config})[0] == 200
            for p in fleet.with_role("control")
            if p.is_running
        )

    def all_ready() -> bool:
        ps = [p for r in ("control", "proxy", "directory") for p in fleet.with_role(r) if p.is_running]
        return all(call(p.web_port, "GET", "/-/ready", timeout_s=2)[0] == 200 for p in ps)

    def all_upstreams() -> bool:
        want = len(fleet.with_role("upstream"))
        return all(
            sum(u["status"] == "ready" for u in call(p.web_port, "GET", "/-/upstreams", timeout_s=2)[1]["upstreams"])
            >= want
            for p in fleet.with_role("proxy")
            if p.is_running
        )

    return bool(
        wait_until(applied, timeout_s) and wait_until(all_ready, timeout_s) and wait_until(all_upstreams, timeout_s)
    )


@click.command()
@click.argument("shape")
@click.option("--folder", help="where logs and data go; a new one if not given")
@click.option("--seconds", default=0.0, help="stop after this long; 0 runs until interrupted")
@click.option(
    "--trial", "acts", multiple=True, type=click.Choice(sorted(trial.ACTS)), help="provoke this under load, then judge"
)
@click.option("--seed", default=1)
@click.option("--rate", type=float, help="requests a second in a trial; the shape's own if not given")
@click.option("--coordination", default=40.0, help="coordination calls a second in a trial")
@click.option("--load/--no-load", default=True, help="stand-in clients")
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
    where = Path(folder or tempfile.mkdtemp(prefix="whole-"))
    with LocalFleet(load_shape(shape), where) as f:
        click.echo(f"folder {where}")
        ok = wait_until_settled(f)
        click.echo("settled" if ok else "not settled")
        for p in f.processes.values():
            click.echo(f"{p.name:24} {p.locality:12} web 127.0.0.1:{p.web_port} pid {p.job.pid}")
        if acts and ok:
            found, fig = trial.run(f, list(acts), seed, rate, coordination)
            for x in found:
                click.echo(f"finding: {x}")
            click.echo(msgspec.json.encode(fig).decode())
            sys.exit(1 if found else 0)
        if load and f.shape.shares:
            f.start_clients()
        end = time.monotonic() + (seconds or 1e9)
        try:
            while time.monotonic() < end:
                time.sleep(0.5)
        except KeyboardInterrupt:
            pass
        rows = f.read_journal("asked.jsonl")
        click.echo(
            f"asked {len(rows)}, answered whole {sum(r['whole'] for r in rows)}, ran {len(f.read_journal('ran.jsonl'))}"
        )
    sys.exit(0 if ok else 1)
