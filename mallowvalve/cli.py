"""The command `mallowvalve`: a daemon for each role, and tools that are imported on demand."""

from __future__ import annotations

import gc
import os
import sys
from importlib import import_module
from typing import Any, NoReturn

import click
import msgspec

from mallowvalve import __version__, settings
from mallowvalve.finding import Finding, Findings
from mallowvalve.log_queue import END_FLUSH_S, drain_log, log_to
from mallowvalve.start_wait import StartCancelledError

TOOLS = {
    "planner": "mallowvalve.planner.main",
    "standins": "mallowvalve.standins.main",
    "localfleet": "mallowvalve.localfleet.main",
    "soak": "mallowvalve.localfleet.soak_main",
    "hostsoak": "mallowvalve.localfleet.deployed.main",
    "admin": "mallowvalve.admin.main",
}
"""The module that defines each tool's command."""

START_FAILURE_EXIT_CODE = 2
"""Exit code for invalid settings and for a process that cannot start."""


def fail(found: Findings) -> NoReturn:
    """Prints findings and exits."""
    for one in found:
        click.echo(f"mallowvalve: {one}", file=sys.stderr)
    sys.exit(START_FAILURE_EXIT_CODE)


class LazyGroup(click.Group):
    """Imports a tool only when its command is used, so that daemons do not pay for it."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the sorted names of daemons and tools."""
        return sorted({*super().list_commands(ctx), *TOOLS})

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Returns the command of a daemon or tool; imports a tool on first use."""
        if name in TOOLS and name not in self.commands:
            self.add_command(getattr(import_module(TOOLS[name]), name))
        return super().get_command(ctx, name)


@click.group(cls=LazyGroup)
@click.version_option(__version__)
def main() -> None:
    """A global load balancer: directories, proxies and a replicated control plane."""


def add_daemon(role: str, help_text: str) -> None:
    """Adds the command of a role, which runs `mallowvalve.ROLE.main.run(Settings)`."""

    @click.option("--settings", "path", help="settings file (TOML)")
    @click.option("--name", help="name of this process")
    @click.option("--fleet", help="name of the fleet")
    @click.option("--locality", help="REGION/ZONE")
    @click.option("--transport", help="HOST:PORT for the fleet's other processes, TCP and UDP")
    @click.option("--web", help="HOST:PORT for callers and operators, HTTP")
    @click.option("--seeds", multiple=True, help="HOST:PORT of another process's transport, three at most")
    @click.option("--data", help="folder of persistent files")
    @click.option("--log", help="log file; standard error if not given")
    @click.option("--polite", type=float, help="grace period of a stop in seconds")
    @click.option("--start-wait-s", type=float, help="time that a start waits for its lock and ports in seconds")
    @click.option("--faults", help="file of faults to inject; only for trials")
    @click.option("--check", is_flag=True, help="validate the settings and exit")
    def command(path: str | None, check: bool, **flags: Any) -> None:
        flags["seeds"] = list(flags["seeds"])
        given = {key: value for key, value in flags.items() if value not in (None, [])}
        loaded = settings.load(role, path, given)
        if loaded.is_err():
            fail(loaded.unwrap_err())
        if check:
            click.echo("settings are valid")
            return
        _start(role, msgspec.structs.replace(loaded.unwrap(), path=path, flags=given))

    main.command(role, help=help_text)(command)


def _start(role: str, daemon_settings: settings.Settings) -> None:
    """Runs a daemon until it stops; prints a failure to start as a finding and exits."""
    try:
        log_to(daemon_settings.log)
        run = import_module(f"mallowvalve.{role}.main").run
        gc.freeze()
        result = run(daemon_settings)
    except StartCancelledError:
        _end()
    except OSError as error:
        fail([Finding("start", str(error))])
    if result is not None and result.is_err():
        fail(result.err_value)
    _end()


def _end() -> NoReturn:
    """Ends a daemon that has stopped: at once, since a signal during the interpreter's own end would end it instead."""
    drain_log(END_FLUSH_S)
    os._exit(0)


add_daemon("directory", "Directory: tells clients which proxies to use.")
add_daemon("proxy", "Proxy: forwards requests to upstreams.")
add_daemon("control", "Control plane: replicated settings, ledger and coordination.")

if __name__ == "__main__":
    main()
