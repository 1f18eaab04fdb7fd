"""The command `mallowvalve`: a daemon for each role, and tools that are loaded only when they are named."""

from __future__ import annotations

import gc
import sys
from importlib import import_module
from typing import Any, NoReturn

import click
import msgspec

from mallowvalve import __version__, metrics, settings
from mallowvalve.finding import Finding, Findings

TOOLS = {
    "planner": "mallowvalve.planner.main",
    "standins": "mallowvalve.standins.main",
    "localfleet": "mallowvalve.localfleet.main",
    "soak": "mallowvalve.localfleet.soak_main",
    "admin": "mallowvalve.admin.main",
}
"""The module of each tool's command."""

BAD_SETTINGS = 2
"""The exit code where settings have findings or the process cannot start."""


def fail(found: Findings) -> NoReturn:
    """Print findings and end the process."""
    for one in found:
        click.echo(f"mallowvalve: {one}", err=True)
    sys.exit(BAD_SETTINGS)


class LazyGroup(click.Group):
    """Loads a tool only when it is named, so that a daemon pays for none of them."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Daemons and tools, by name."""
        return sorted({*super().list_commands(ctx), *TOOLS})

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """The daemon or tool of that name, loaded if it was not yet."""
        if name in TOOLS and name not in self.commands:
            self.add_command(getattr(import_module(TOOLS[name]), name))
        return super().get_command(ctx, name)


@click.group(cls=LazyGroup)
@click.version_option(__version__)
def main() -> None:
    """A global load balancer: directories, proxies and a replicated control plane."""


def daemon(role: str, about: str) -> None:
    """Add the command of a role, which runs `mallowvalve.ROLE.main.run(Settings)`."""

    @click.option("--settings", "path", help="settings file (TOML)")
    @click.option("--name", help="this process's name")
    @click.option("--fleet", help="the fleet it belongs to")
    @click.option("--locality", help="REGION/ZONE")
    @click.option("--transport", help="HOST:PORT towards its peers, TCP and UDP")
    @click.option("--web", help="HOST:PORT towards callers and operators, HTTP")
    @click.option("--seeds", multiple=True, help="HOST:PORT of another process's transport; three at most")
    @click.option("--data", help="folder for files that must last")
    @click.option("--log", help="log file; standard error if not given")
    @click.option("--polite", type=float, help="seconds a polite stop may take")
    @click.option("--faults", help="file of faults to put in; refused outside trials")
    @click.option("--check", is_flag=True, help="check the settings and stop")
    def command(path: str | None, check: bool, **flags: Any) -> None:
        flags["seeds"] = list(flags["seeds"])
        given = {key: value for key, value in flags.items() if value not in (None, [])}
        loaded = settings.load(role, path, given)
        if loaded.is_err():
            fail(loaded.unwrap_err())
        if check:
            click.echo("settings are well")
            return
        _start(role, msgspec.structs.replace(loaded.unwrap(), path=path, flags=given))

    main.command(role, help=about)(command)


def _start(role: str, its: settings.Settings) -> None:
    """Run a daemon until it stops; a failure to start is a finding."""
    try:
        metrics.log_to(its.log)
        run = import_module(f"mallowvalve.{role}.main").run
        gc.freeze()
        out = run(its)
    except OSError as e:
        fail([Finding("start", str(e))])
    if out is not None and out.is_err():
        fail(out.err_value)


daemon("directory", "Directory: tells clients which proxies to use.")
daemon("proxy", "Proxy: carries connections to upstreams.")
daemon("control", "Control plane: replicated settings, ledger and coordination.")

if __name__ == "__main__":
    main()
