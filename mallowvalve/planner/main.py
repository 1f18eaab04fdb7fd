from __future__ import annotations

import json

import click

from mallowvalve.admin.main import addresses, ask, read_json, show


@click.command()
@click.option(
    "--at",
    multiple=True,
    required=True,
    callback=addresses,
    envvar="MALLOWVALVE_AT",
    help="HOST:PORT of a control process's web",
)
@click.option("--base", type=int, help="the revision the change was made from; needed for a patch")
@click.option("--json", "as_json", is_flag=True, help="the whole plan as JSON")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.pass_context
def planner(ctx, at, base, as_json, file) -> None:
    """Show what FILE, a settings tree or a JSON Patch, would move. Nothing is applied."""
    ctx.obj = {"at": at}
    data = read_json(file)
    if isinstance(data, list) and base is None:
        base = ask(ctx, "GET", "/config")["revision"]
    got = ask(ctx, "POST", "/plan", {"patch" if isinstance(data, list) else "doc": data, "base": base})
    if as_json:
        return show(got)
    click.echo(f"base {got['base']}, {len(got['moves'])} moves")
    for m in got["moves"]:
        click.echo(f"{m['place']}: {m['what']}: {json.dumps(m['before'])} -> {json.dumps(m['after'])}")
