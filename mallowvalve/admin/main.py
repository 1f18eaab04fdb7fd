"""The command `mallowvalve admin`."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any
from urllib.parse import quote, urlencode

import click
from result import Err

from mallowvalve.admin.call import http_call
from mallowvalve.types import Address

STATUS_OK = 200
STATUS_UNAVAILABLE = 503
CONTROL_TIMEOUT_S = 12.0
"""Longer than a control process takes for any answer."""

HISTORY_TIMEOUT_S = 3.0
"""The timeout of queries for the recent changes and rejections of a node."""


def read_addresses(_ctx: click.Context, _param: click.Parameter, values: tuple[str, ...]) -> list[Address]:
    """Parses options HOST:PORT for click."""
    results = [(value, Address.read(value)) for value in values]
    errors = [f"{value}: {result.err_value}" for value, result in results if isinstance(result, Err)]
    if errors:
        raise click.BadParameter("; ".join(errors))
    return [result.unwrap() for _, result in results]


def call_control(ctx: click.Context, method: str, path: str, body: Any = None) -> Any:
    """Calls the addresses in turn until one answers other than with 503, and returns the body of its answer.

    An answer other than 200 ends the program with code 1.
    """
    status = 0
    data: Any = "no address given"
    for address in ctx.obj["at"]:
        status, data = _call_or_leader(address, method, path, body)
        if status not in (0, STATUS_UNAVAILABLE):
            break
    if status != STATUS_OK:
        findings = data.get("findings", []) if isinstance(data, dict) else [{"place": "call", "text": str(data)}]
        for finding in findings:
            click.echo(f"{finding['place']}: {finding['text']}", err=True)
        sys.exit(1)
    return data


def _call_or_leader(address: Address, method: str, path: str, body: Any) -> tuple[int, Any]:
    """Calls one process, and the leader that it names if it answers 503."""
    status, data, headers = http_call(*address.pair, method, path, body, timeout_s=CONTROL_TIMEOUT_S)
    leader = Address.read(headers.get("mallow-leader", "")) if status == STATUS_UNAVAILABLE else None
    if leader is not None and leader.is_ok():
        status, data, _ = http_call(*leader.unwrap().pair, method, path, body, timeout_s=CONTROL_TIMEOUT_S)
    return status, data


def read_json(file: str) -> Any:
    """Reads a JSON file; ends the program with code 2 if that fails."""
    try:
        return json.loads(Path(file).read_text())
    except (OSError, ValueError) as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(2)


def print_json(data: Any) -> None:
    """Prints an answer as JSON."""
    click.echo(json.dumps(data, indent=2, sort_keys=True))


at_option = click.option(
    "--at",
    multiple=True,
    required=True,
    callback=read_addresses,
    envvar="MALLOWVALVE_AT",
    help="HOST:PORT of the web address of a control process; repeatable",
)


@click.group()
@at_option
@click.pass_context
def admin(ctx: click.Context, at: list[Address]) -> None:
    """Operate a fleet: read and change its configuration, evacuate zones, inspect its state."""
    ctx.obj = {"at": at}


@admin.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--base", type=int, help="the revision that this change is based on")
@click.pass_context
def apply(ctx: click.Context, file: str, base: int | None) -> None:
    """Replace the configuration by FILE (JSON)."""
    print_json(call_control(ctx, "PUT", "/config", {"doc": read_json(file), "base": base}))


@admin.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--base", type=int, required=True, help="the revision that the patch is based on")
@click.pass_context
def patch(ctx: click.Context, file: str, base: int) -> None:
    """Apply FILE (JSON Patch) to the configuration of revision BASE."""
    print_json(call_control(ctx, "PATCH", "/config", {"patch": read_json(file), "base": base}))


@admin.command()
@click.pass_context
def read(ctx: click.Context) -> None:
    """Show the configuration and its revision."""
    print_json(call_control(ctx, "GET", "/config"))


@admin.command()
@click.argument("zone")
@click.pass_context
def evacuate(ctx: click.Context, zone: str) -> None:
    """Move all work out of a zone or region."""
    print_json(call_control(ctx, "POST", "/evacuations", {"zone": zone, "evacuated": True}))


@admin.command("give-back")
@click.argument("zone")
@click.pass_context
def give_back(ctx: click.Context, zone: str) -> None:
    """Let work return to an evacuated zone or region."""
    print_json(call_control(ctx, "POST", "/evacuations", {"zone": zone, "evacuated": False}))


@admin.command()
@click.argument("proxy")
@click.pass_context
def strike(ctx: click.Context, proxy: str) -> None:
    """Remove PROXY (its transport address, as `leader` lists it) from the roster.

    A failed proxy is removed automatically after 15 s while most others confirm the failure. Remove proxies by hand
    only if more than half have failed permanently: a proxy that still runs unseen may serve with old settings.
    """
    print_json(call_control(ctx, "POST", "/strikes", {"proxy": proxy}))


@admin.command("found-anew")
@click.option("--accept", required=True, help="the sentence that states the risk")
@click.pass_context
def found_anew(ctx: click.Context, accept: str) -> None:
    """Found a new generation at a blank control process after most voters have failed permanently.

    The failure cannot be proved, and changes acknowledged by unreachable voters may be lost: the new state is the
    most recent one that any reachable control process, proxy or directory has. Voters of the old generation that
    return rejoin without their state.
    """
    print_json(call_control(ctx, "POST", "/found-anew", {"accept": accept}))


@admin.command()
@click.argument("region")
@click.option("--zone", default="", help="a zone of the region")
@click.option("--host", default="", help="a host, whose home regions apply")
@click.pass_context
def named(ctx: click.Context, region: str, zone: str, host: str) -> None:
    """Show which proxies the called process would name to a client of REGION now, and why."""
    print_json(call_control(ctx, "GET", "/-/named?" + urlencode({"region": region, "zone": zone, "name": host})))


@admin.command()
@click.argument("thing")
@click.option("--most", default=40, help="the maximum number of lines")
@click.pass_context
def explain(ctx: click.Context, thing: str, most: int) -> None:
    """Show what all nodes decided about THING, when and why, the latest last.

    THING is a node's name or transport address, an upstream's instance, service or address, a revision, a change's key,
    a zone, a tenant, a route or a request's target. All nodes that the called process knows are queried.
    """
    nodes = {
        node["web"] for node in call_control(ctx, "GET", "/-/nodes")["nodes"] if node["status"] in ("alive", "leaving")
    }
    rows = [row for address in sorted(nodes) for row in node_history(Address.read(address).unwrap(), thing)]
    for ago, line in sorted(rows, reverse=True)[-most:]:
        click.echo(f"{ago / 1000:9.1f} s ago  {line}")
    if not rows:
        click.echo(f"nothing is remembered about {thing!r}")


def node_history(address: Address, thing: str) -> list[tuple[int, str]]:
    """Returns the recent changes and rejections of a node that concern a thing: age (ms) and a line of text."""
    about = quote(thing, safe="")
    history = []
    status, data, _ = http_call(*address.pair, "GET", f"/-/changes?about={about}", timeout_s=HISTORY_TIMEOUT_S)
    name = data["name"] if status == STATUS_OK else str(address)
    for change in data["changes"] if status == STATUS_OK else []:
        fields = [
            f"{key} {value}"
            for key, value in change.items()
            if key not in ("ago_ms", "what") and value not in ("", None)
        ]
        history.append((change["ago_ms"], f"{name:10} {change['what']}: {', '.join(fields)}"))
    status, data, _ = http_call(*address.pair, "GET", f"/-/rejections?about={about}", timeout_s=HISTORY_TIMEOUT_S)
    for rejection in data["rejections"] if status == STATUS_OK and isinstance(data, dict) else []:
        verdict = f"{rejection['status']} {rejection['outcome']}, {rejection['why']}"
        history.append(
            (rejection["ago_ms"], f"{name:10} rejected {rejection['target']} of {rejection['tenant']}: {verdict}")
        )
    return history


for name, path, help_text in (
    ("leader", "/leader", "Show the leader, the voters and the proxies of the roster."),
    ("nodes", "/-/nodes", "Show the status of the nodes, as the called node sees them."),
    ("upstreams", "/-/upstreams", "Show the status of the upstreams."),
    ("rejections", "/-/rejections", "On a proxy: show the last requests that it rejected, and why."),
    ("counts", "/-/counts", "Show the counters; on a proxy also why requests were rejected."),
):

    def _command(ctx: click.Context, _path: str = path) -> None:
        print_json(call_control(ctx, "GET", _path))

    admin.command(name, help=help_text)(click.pass_context(_command))
