"""What waiting costs in a node whose requests come at random, by the work a request takes."""

from __future__ import annotations

import random

import click

from sim.target import NODES


def queue(_: float) -> None:
    """Time in a node at 236 requests a second (1.3 million over 5,500), Poisson, by work a request and processes."""
    for work_ms in (3.3, 1.6, 0.8, 0.5, 0.3):
        row = []
        for procs in (1, 2, 4):
            mean, p99 = sojourn(1_300_000 / NODES, work_ms / 1e3, procs)
            row.append(f"{procs}: {mean * 1e3:.2f}/{p99 * 1e3:.2f}")
        click.echo(
            f"queue   {work_ms} ms a request, {236.4 * work_ms / 10:.0f}% of a core; mean/p99 ms by processes  {'  '.join(row)}"
        )


def sojourn(rate: float, work: float, procs: int, n: int = 200_000) -> tuple[float, float]:
    """Mean and 99th of 100 of wait and work; each process has its own share of the arrivals, work has a c2 of 1/4."""
    rng = random.Random(1)
    free, now, out = [0.0] * procs, 0.0, []
    for _ in range(n):
        now += rng.expovariate(rate)
        k = rng.randrange(procs)
        free[k] = max(free[k], now) + rng.gammavariate(4, work / 4)
        out.append(free[k] - now)
    out.sort()
    return sum(out) / n, out[int(n * 0.99)]
