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

OK = 200
UNAVAILABLE = 503
WAIT = 12.0
"""Seconds for an answer of a control process, longer than it takes for any."""

LOOK_WAIT = 3.0
"""Seconds for an answer of any node to what it remembers."""


def addresses(_ctx: click.Context, _param: click.Parameter, values: tuple[str, ...]) -> list[Address]:
    """Options HOST:PORT read, for click."""
    read = [(value, Address.read(value)) for value in values]
    bad = [f"{value}: {result.err_value}" for value, result in read if isinstance(result, Err)]
    if bad:
        raise click.BadParameter("; ".join(bad))
    return [result.unwrap() for _, result in read]


def call_control(ctx: click.Context, method: str, path: str, body: Any = None) -> Any:
    """The body of the first answer that is no 503; one that is not 200 ends the program with code 1."""
    status = 0
    data: Any = "no address given"
    for at in ctx.obj["at"]:
        status, data = _ask_at(at, method, path, body)
        if status not in (0, UNAVAILABLE):
            break
    if status != OK:
        findings = data.get("findings", []) if isinstance(data, dict) else [{"place": "call", "text": str(data)}]
        for one in findings:
            click.echo(f"{one['place']}: {one['text']}", err=True)
        sys.exit(1)
    return data


def _ask_at(at: Address, method: str, path: str, body: Any) -> tuple[int, Any]:
    """One process, and the leader that it names if it cannot answer itself."""
    status, data, headers = http_call(*at.pair, method, path, body, timeout_s=WAIT)
    leader = Address.read(headers.get("mallow-leader", "")) if status == UNAVAILABLE else None
    if leader is not None and leader.is_ok():
        status, data, _ = http_call(*leader.unwrap().pair, method, path, body, timeout_s=WAIT)
    return status, data


def read_json(file: str) -> Any:
    """A file's JSON; a file that cannot be read ends the program with code 2."""
    try:
        return json.loads(Path(file).read_text())
    except (OSError, ValueError) as e:
        click.echo(f"{file}: {e}", err=True)
        sys.exit(2)


def print_json(data: Any) -> None:
    """Print an answer."""
    click.echo(json.dumps(data, indent=2, sort_keys=True))


at_option = click.option(
    "--at",
    multiple=True,
    required=True,
    callback=addresses,
    envvar="MALLOWVALVE_AT",
    help="HOST:PORT of a control process's web, may be given again",
)


@click.group()
@at_option
@click.pass_context
def admin(ctx: click.Context, at: list[Address]) -> None:
    """What operators do: apply, read, evacuate, give back, look."""
    ctx.obj = {"at": at}


@admin.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--base", type=int, help="the revision this change was made from")
@click.pass_context
def apply(ctx: click.Context, file: str, base: int | None) -> None:
    """Replace the settings tree by FILE (JSON)."""
    print_json(call_control(ctx, "PUT", "/config", {"doc": read_json(file), "base": base}))


@admin.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--base", type=int, required=True, help="the revision the patch was planned on")
@click.pass_context
def patch(ctx: click.Context, file: str, base: int) -> None:
    """Apply FILE (JSON Patch) to the settings tree of revision BASE."""
    print_json(call_control(ctx, "PATCH", "/config", {"patch": read_json(file), "base": base}))


@admin.command()
@click.pass_context
def read(ctx: click.Context) -> None:
    """Show the settings tree and its revision."""
    print_json(call_control(ctx, "GET", "/config"))


@admin.command()
@click.argument("zone")
@click.pass_context
def evacuate(ctx: click.Context, zone: str) -> None:
    """Take all work out of a zone or region."""
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
    """Take PROXY (its transport address, as `leader` lists it) off the roster.

    Dead proxies go by themselves after 15 s while most others confirm. Strike by hand only when more than half are
    gone for good: one that lives on unseen may serve by old settings.
    """
    print_json(call_control(ctx, "POST", "/strikes", {"proxy": proxy}))


@admin.command("found-anew")
@click.option("--accept", required=True, help="the sentence that names the risk")
@click.pass_context
def found_anew(ctx: click.Context, accept: str) -> None:
    """Found a new generation at a blank control process: most voters are gone for good, and no proof of it can be had.

    Changes acknowledged by voters that cannot be reached may be lost: the state is the highest that any reachable
    core, proxy or directory holds. Voters of the old generation that come back rejoin empty.
    """
    print_json(call_control(ctx, "POST", "/found-anew", {"accept": accept}))


@admin.command()
@click.argument("region")
@click.option("--zone", default="", help="a zone of the region")
@click.option("--host", default="", help="a host, whose homes count")
@click.pass_context
def named(ctx: click.Context, region: str, zone: str, host: str) -> None:
    """Which proxies the asked process would name to a client of REGION now, and why these."""
    print_json(call_control(ctx, "GET", "/-/named?" + urlencode({"region": region, "zone": zone, "name": host})))


@admin.command()
@click.argument("thing")
@click.option("--most", default=40, help="lines to show")
@click.pass_context
def explain(ctx: click.Context, thing: str, most: int) -> None:
    """What the whole fleet decided about THING, when and why, the latest last.

    THING is a node's name or transport address, an upstream's instance, service or address, a revision, a change's key,
    a zone, a tenant, a route or a request's target. Every node that the asked ones know is asked.
    """
    nodes = {
        node["web"] for node in call_control(ctx, "GET", "/-/nodes")["nodes"] if node["status"] in ("alive", "leaving")
    }
    rows = [row for at in sorted(nodes) for row in told_by(Address.read(at).unwrap(), thing)]
    for ago, line in sorted(rows, reverse=True)[-most:]:
        click.echo(f"{ago / 1000:9.1f} s ago  {line}")
    if not rows:
        click.echo(f"nothing is remembered about {thing!r}")


def told_by(at: Address, thing: str) -> list[tuple[int, str]]:
    """What one node remembers about a thing: how long ago (ms), and a line that says it."""
    about = quote(thing, safe="")
    out = []
    status, data, _ = http_call(*at.pair, "GET", f"/-/changes?about={about}", timeout_s=LOOK_WAIT)
    name = data["name"] if status == OK else str(at)
    for change in data["changes"] if status == OK else []:
        fields = [f"{k} {v}" for k, v in change.items() if k not in ("ago_ms", "what") and v not in ("", None)]
        out.append((change["ago_ms"], f"{name:10} {change['what']}: {', '.join(fields)}"))
    status, data, _ = http_call(*at.pair, "GET", f"/-/rejections?about={about}", timeout_s=LOOK_WAIT)
    for one in data["rejections"] if status == OK and isinstance(data, dict) else []:
        verdict = f"{one['status']} {one['outcome']}, {one['why']}"
        out.append((one["ago_ms"], f"{name:10} rejected {one['target']} of {one['tenant']}: {verdict}"))
    return out


for name, path, text in (
    ("leader", "/leader", "Who leads, who votes, which proxies are rostered."),
    ("nodes", "/-/nodes", "Status of the project's own nodes, as the asked node sees them."),
    ("upstreams", "/-/upstreams", "Status of the upstreams."),
    ("rejections", "/-/rejections", "On a proxy: the last requests it rejected, and why."),
    ("counts", "/-/counts", "Counters; on a proxy, why requests were rejected."),
):

    def _command(ctx: click.Context, _path: str = path) -> None:
        print_json(call_control(ctx, "GET", _path))

    admin.command(name, help=text)(click.pass_context(_command))
