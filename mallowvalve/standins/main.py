"""The command `mallowvalve standins`."""

from __future__ import annotations

import sys
from typing import Any

import click
import msgspec
from result import Err

from mallowvalve.standins import client, upstream
from mallowvalve.types import Address


def address(_ctx: click.Context, _param: click.Parameter, value: str | tuple[str, ...]) -> Any:
    """An option HOST:PORT read, or each of several, for click."""
    texts = value if isinstance(value, tuple) else (value,)
    read = []
    for text in texts:
        result = Address.read(text)
        if isinstance(result, Err):
            raise click.BadParameter(f"{text}: {result.err_value}")
        read.append(result.ok_value)
    return read if isinstance(value, tuple) else read[0]


@click.group()
def standins() -> None:
    """Stand-in clients and upstreams, for trying and testing a fleet."""


@standins.command("upstream")
@click.option("--service", required=True)
@click.option("--instance", required=True)
@click.option("--at", required=True, callback=address)
@click.option("--locality", required=True)
@click.option("--tell", multiple=True, callback=address, help="web addresses of nodes that take heartbeats")
@click.option("--journal", default="/dev/null")
@click.option("--work", default=0.005, help="seconds a request takes on average")
def upstream_command(
    service: str, instance: str, at: Address, locality: str, tell: list[Address], journal: str, work: float
) -> None:
    """An upstream that heartbeats, answers, journals what it ran and signs off."""
    upstream.serve(upstream.Upstream(service, instance, at, locality, tell, journal, work))


@standins.command("clients")
@click.option("--directory", multiple=True, callback=address, required=True)
@click.option("--locality", multiple=True, required=True)
@click.option("--shares", required=True, help="JSON list of [tenant, method, path, once, weight]")
@click.option("--clients", default=20)
@click.option("--rate", default=50.0, help="requests a second, all clients together")
@click.option("--journal", default="/dev/null")
@click.option("--seed", default=1)
@click.option("--seconds", default=1e9)
@click.option("--relentless", is_flag=True, help="retry at once, again and again, without marking it")
@click.option("--clinging", is_flag=True, help="hold answers of directories thrice, and connections while they stand")
def clients_command(
    directory: list[Address],
    locality: tuple[str, ...],
    shares: str,
    clients: int,
    rate: float,
    journal: str,
    seed: int,
    seconds: float,
    relentless: bool,
    clinging: bool,
) -> None:
    """Clients that ask a directory, keep connections open and retry within a limit."""
    try:
        rows = msgspec.json.decode(shares, type=list[client.Share])
    except msgspec.DecodeError as e:
        click.echo(f"shares: {e}", err=True)
        sys.exit(2)
    client.serve(directory, list(locality), rows, clients, rate, journal, seed, seconds, relentless, clinging)
