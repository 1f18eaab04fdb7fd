"""The command `mallowvalve planner`, which shows the plan of a change."""

from __future__ import annotations

import json

import click

from mallowvalve.admin.main import at_option, call_control, print_json, read_json
from mallowvalve.types import Address


@click.command()
@at_option
@click.option("--base", type=int, help="revision that the change is based on; by default the newest one for a patch")
@click.option("--json", "as_json", is_flag=True, help="the whole plan as JSON")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.pass_context
def planner(ctx: click.Context, at: list[Address], base: int | None, as_json: bool, file: str) -> None:
    """Show the effects of FILE, a settings tree or a JSON Patch, without applying it."""
    ctx.obj = {"at": at}
    data = read_json(file)
    is_patch = isinstance(data, list)
    if is_patch and base is None:
        base = call_control(ctx, "GET", "/config")["revision"]
    response = call_control(ctx, "POST", "/plan", {"patch" if is_patch else "doc": data, "base": base})
    if as_json:
        print_json(response)
        return
    click.echo(f"base {response['base']}, {len(response['moves'])} moves")
    for move in response["moves"]:
        click.echo(f"{move['place']}: {move['what']}: {json.dumps(move['before'])} -> {json.dumps(move['after'])}")
