from __future__ import annotations

import json
import sys
from pathlib import Path
from urllib.parse import quote

import click

from mallowvalve.admin.call import call_at
from mallowvalve.types import Address


def addresses(_ctx, _param, values) -> list[Address]:
    read = [Address.read(v) for v in values]
    bad = [f"{v}: {r.err_value}" for v, r in zip(values, read) if r.is_err()]
    if bad:
        raise click.BadParameter("; ".join(bad))
    return [r.ok_value for r in read]


def ask(ctx, method: str, path: str, body=None) -> dict:
    last = (0, "no address given", {})
    for at in ctx.obj["at"]:
        last = call_at(*at.pair, method, path, body, limit=12.0)
        status, data, headers = last
        leader = Address.read(headers.get("mallow-leader", "")) if status == 503 else None
        if leader is not None and leader.is_ok():
            last = call_at(*leader.ok_value.pair, method, path, body, limit=12.0)
            status, data, headers = last
        if status and status != 503:
            break
    status, data, _ = last
    if status != 200:
        findings = data.get("findings", []) if isinstance(data, dict) else [{"place": "call", "text": str(data)}]
        for f in findings:
            click.echo(f"{f['place']}: {f['text']}", err=True)
        sys.exit(1)
    return data


def read_json(file: str):
    try:
        return json.loads(Path(file).read_text())
    except (OSError, ValueError) as e:
        click.echo(f"{file}: {e}", err=True)
        sys.exit(2)


def show(data) -> None:
    click.echo(json.dumps(data, indent=2, sort_keys=True))


@click.group()
@click.option(
    "--at",
    multiple=True,
    required=True,
    callback=addresses,
    envvar="MALLOWVALVE_AT",
    help="HOST:PORT of a control process's web, may be given again",
)
@click.pass_context
def admin(ctx, at) -> None:
    """What operators do: apply, read, evacuate, give back, look."""
    ctx.obj = {"at": at}


@admin.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--base", type=int, help="the revision this change was made from")
@click.pass_context
def apply(ctx, file, base) -> None:
    """Replace the settings tree by FILE (JSON)."""
    show(ask(ctx, "PUT", "/config", {"doc": read_json(file), "base": base}))


@admin.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--base", type=int, required=True, help="the revision the patch was planned on")
@click.pass_context
def patch(ctx, file, base) -> None:
    """Apply FILE (JSON Patch) to the settings tree of revision BASE."""
    show(ask(ctx, "PATCH", "/config", {"patch": read_json(file), "base": base}))


@admin.command()
@click.pass_context
def read(ctx) -> None:
    """Show the settings tree and its revision."""
    show(ask(ctx, "GET", "/config"))


@admin.command()
@click.argument("zone")
@click.pass_context
def evacuate(ctx, zone) -> None:
    """Take all work out of a zone or region."""
    show(ask(ctx, "POST", "/evacuations", {"zone": zone, "evacuated": True}))


@admin.command("give-back")
@click.argument("zone")
@click.pass_context
def give_back(ctx, zone) -> None:
    """Let work return to an evacuated zone or region."""
    show(ask(ctx, "POST", "/evacuations", {"zone": zone, "evacuated": False}))


@admin.command()
@click.argument("proxy")
@click.pass_context
def strike(ctx, proxy) -> None:
    """Take PROXY (its transport address, as `leader` lists it) off the roster.

    Dead proxies go by themselves after 15 s while most others confirm. Strike by hand only when more than half are
    gone for good: one that lives on unseen may serve by old settings.
    """
    show(ask(ctx, "POST", "/strikes", {"proxy": proxy}))


@admin.command("found-anew")
@click.option("--accept", required=True, help="the sentence that names the risk")
@click.pass_context
def found_anew(ctx, accept) -> None:
    """Found a new generation at a blank control process when most voters are gone for good and no proof of it can be had.

    Changes acknowledged by voters that cannot be reached may be lost: the state is the highest that any reachable
    core, proxy or directory holds. Voters of the old generation that come back rejoin empty.
    """
    show(ask(ctx, "POST", "/found-anew", {"accept": accept}))


@admin.command()
@click.argument("thing")
@click.option("--most", default=40, help="lines to show")
@click.pass_context
def explain(ctx, thing, most) -> None:
    """What the whole fleet decided about THING, when and why, the latest last.

    THING is a node's name or transport address, an upstream's instance, service or address, a revision, a change's key, a
    zone, a tenant, a route or a request's target. Every node that the asked ones know is asked.
    """
    nodes = {n["web"] for n in ask(ctx, "GET", "/-/nodes")["nodes"] if n["status"] in ("alive", "leaving")}
    rows = [r for at in sorted(nodes) for r in told_by(Address.read(at).ok_value, thing)]
    for ago, line in sorted(rows, reverse=True)[-most:]:
        click.echo(f"{ago / 1000:9.1f} s ago  {line}")
    if not rows:
        click.echo(f"nothing is remembered about {thing!r}")


def told_by(at: Address, thing: str) -> list[tuple[int, str]]:
    about, out = quote(thing, safe=""), []
    status, data, _ = call_at(*at.pair, "GET", f"/-/changes?about={about}", limit=3.0)
    name = data["name"] if status == 200 else str(at)
    for c in data["changes"] if status == 200 else []:
        more = ", ".join(f"{k} {v}" for k, v in c.items() if k not in ("ago_ms", "what") and v not in ("", None))
        out.append((c["ago_ms"], f"{name:10} {c['what']}: {more}"))
    status, data, _ = call_at(*at.pair, "GET", f"/-/rejections?about={about}", limit=3.0)
    for b in data["rejections"] if status == 200 and isinstance(data, dict) else []:
        out.append(
            (
                b["ago_ms"],
                f"{name:10} rejected {b['target']} of {b['tenant']}: {b['status']} {b['outcome']}, {b['why']}",
            )
        )
    return out


for name, path, text in (
    ("leader", "/leader", "Who leads, who votes, which proxies are rostered."),
    ("nodes", "/-/nodes", "Status of the project's own nodes, as the asked node sees them."),
    ("upstreams", "/-/upstreams", "Status of the upstreams."),
    ("rejections", "/-/rejections", "On a proxy: the last requests it rejected, and why."),
    ("counts", "/-/counts", "Counters; on a proxy, why requests were rejected."),
):

    def _command(ctx, _path=path):
        show(ask(ctx, "GET", _path))

    admin.command(name, help=text)(click.pass_context(_command))
