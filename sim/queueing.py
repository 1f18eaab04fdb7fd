"""What waiting costs in a node whose requests come at random, by the work a request takes."""

from __future__ import annotations

import random

import click

from sim.target import NODES

FLEET_REQUESTS_PER_S = 1_300_000
REQUEST_WORK_MS = (3.3, 1.6, 0.8, 0.5, 0.3)
PROCESS_COUNTS = (1, 2, 4)
WORK_SHAPE = 4
"""The shape of the gamma distribution of the work: its squared coefficient of variation is 1/4."""

P99 = 0.99


def queue(_: float) -> None:
    """Prints the time in a node at its share of the fleet's requests, Poisson, by work a request and processes."""
    requests_per_s = FLEET_REQUESTS_PER_S / NODES
    for work_ms in REQUEST_WORK_MS:
        columns = []
        for processes in PROCESS_COUNTS:
            mean_s, p99_s = sojourn(requests_per_s, work_ms / 1e3, processes)
            columns.append(f"{processes}: {mean_s * 1e3:.2f}/{p99_s * 1e3:.2f}")
        core_percent = requests_per_s * work_ms / 10
        click.echo(
            f"queue   {work_ms} ms a request, {core_percent:.0f}% of a core; "
            f"mean/p99 ms by processes  {'  '.join(columns)}"
        )


def sojourn(requests_per_s: float, work_s: float, processes: int, requests: int = 200_000) -> tuple[float, float]:
    """Returns the mean and the 99th percentile of wait and work (s); arrivals go to a process at random."""
    rng = random.Random(1)
    free_at = [0.0] * processes
    now = 0.0
    times = []
    for _ in range(requests):
        now += rng.expovariate(requests_per_s)
        process = rng.randrange(processes)
        free_at[process] = max(free_at[process], now) + rng.gammavariate(WORK_SHAPE, work_s / WORK_SHAPE)
        times.append(free_at[process] - now)
    times.sort()
    return sum(times) / requests, times[int(requests * P99)]
