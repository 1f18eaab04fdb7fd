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
    """Parses an option HOST:PORT, or each of a repeatable option, for click."""
    texts = value if isinstance(value, tuple) else (value,)
    addresses = []
    for text in texts:
        result = Address.read(text)
        if isinstance(result, Err):
            raise click.BadParameter(f"{text}: {result.err_value}")
        addresses.append(result.ok_value)
    return addresses if isinstance(value, tuple) else addresses[0]


@click.group()
def standins() -> None:
    """Stand-in clients and upstreams for testing a fleet."""


@standins.command("upstream")
@click.option("--service", required=True)
@click.option("--instance", required=True)
@click.option("--at", required=True, callback=address)
@click.option("--locality", required=True)
@click.option("--tell", multiple=True, callback=address, help="web addresses of nodes that receive heartbeats")
@click.option("--journal", default="/dev/null")
@click.option("--work", default=0.005, help="mean duration of a request in seconds")
def upstream_command(
    service: str, instance: str, at: Address, locality: str, tell: list[Address], journal: str, work: float
) -> None:
    """Run an upstream that sends heartbeats, answers requests and writes a journal of what it ran."""
    upstream.serve(upstream.StandinUpstream(service, instance, at, locality, tell, journal, work))


@standins.command("clients")
@click.option("--directory", multiple=True, callback=address, required=True)
@click.option("--locality", multiple=True, required=True)
@click.option("--shares", required=True, help="JSON list of [tenant, method, path, once, weight]")
@click.option("--clients", default=20)
@click.option("--rate", default=50.0, help="requests per second of all clients in total")
@click.option("--journal", default="/dev/null")
@click.option("--seed", default=1)
@click.option("--seconds", default=1e9)
@click.option("--relentless", is_flag=True, help="retry without delay and without marking retries")
@click.option(
    "--clinging",
    is_flag=True,
    help="use answers of directories for three times their lifetime, and connections until they break",
)
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
    """Run clients that ask a directory, keep connections open and retry within a time limit."""
    try:
        rows = msgspec.json.decode(shares, type=list[client.RequestShare])
    except msgspec.DecodeError as error:
        click.echo(f"shares: {error}", err=True)
        sys.exit(2)
    client.serve(directory, list(locality), rows, clients, rate, journal, seed, seconds, relentless, clinging)
