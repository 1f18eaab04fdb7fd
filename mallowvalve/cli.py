from __future__ import annotations

import gc
import sys
from importlib import import_module

import click
import msgspec

from mallowvalve import __version__, metrics, settings
from mallowvalve.finding import Findings

TOOLS = ("planner", "standins", "localfleet", "admin")


def fail(found: Findings) -> None:
    for f in found:
        click.echo(f"mallowvalve: {f}", err=True)
    sys.exit(2)


class Lazy(click.Group):
    """Loads a tool only when it is named, so that a daemon pays for none of them."""

    def list_commands(self, ctx) -> list[str]:
        return sorted({*super().list_commands(ctx), *TOOLS})

    def get_command(self, ctx, name: str) -> click.Command | None:
        if name in TOOLS and name not in self.commands:
            self.add_command(getattr(import_module(f"mallowvalve.{name}.main"), name))
        return super().get_command(ctx, name)


@click.group(cls=Lazy)
@click.version_option(__version__)
def main() -> None:
    """A global load balancer: directories, proxies and a replicated control plane."""


def daemon(role: str, about: str) -> None:
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
    def command(path, check, **flags):
        flags["seeds"] = list(flags["seeds"])
        flags = {k: v for k, v in flags.items() if v not in (None, [])}
        r = settings.load(role, path, flags)
        if r.is_err():
            fail(r.err_value)
        if check:
            click.echo("settings are well")
            return
        try:
            metrics.log_to(r.ok_value.log)
            run = import_module(f"mallowvalve.{role}.main").run
            gc.freeze()
            out = run(msgspec.structs.replace(r.ok_value, path=path, flags=flags))
        except OSError as e:
            fail([settings.Finding("start", str(e))])
        if out is not None and out.is_err():
            fail(out.err_value)

    main.command(role, help=about)(command)


daemon("directory", "Directory: tells clients which proxies to use.")
daemon("proxy", "Proxy: carries connections to upstreams.")
daemon("control", "Control plane: replicated settings, ledger and coordination.")

if __name__ == "__main__":
    main()
