"""Measures for how long directories still name a proxy that died, and how many messages failure detection costs."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

import click

from sim import members
from sim.members import Group

DIRECTORIES = 3
DATAGRAM_LOSS_RATIO = 0.01
SETTLE_LIMIT_S = 60
DETECTION_LIMIT_S = 60
STEP_S = 0.02
QUIET_S = 300.0
GROUP_SIZES = (15, 18)
DETECTION_TIMES = ((3.0, 0.5), (1.5, 0.25))
"""Pairs of the expected detection time E[T] and of the worst-case round trip (s)."""

QUANTILES = (0.1, 0.5, 0.9, 0.99)


class Job(NamedTuple):
    """One simulated group; times are in seconds."""

    seed: int
    nodes: int
    detection_time: float
    round_trip: float


def _configure(detection_time: float, round_trip: float) -> None:
    members.DETECT, members.ROUND_TRIP = detection_time, round_trip


def measure_offered_times(job: Job) -> list[float]:
    """Returns how long each directory goes on naming a proxy that dies without a word (s)."""
    _configure(job.detection_time, job.round_trip)
    group = Group(job.seed, job.nodes, DATAGRAM_LOSS_RATIO)
    group.run_until(group.whole, SETTLE_LIMIT_S)
    group.run(group.rng.random() * 3)
    dead = group.addrs[-1]
    group.kill(job.nodes - 1)
    died_at = group.world.now
    detected_after: dict[object, float] = {}
    while len(detected_after) < DIRECTORIES and group.world.now < died_at + DETECTION_LIMIT_S:
        group.run(STEP_S)
        informed = {member.addr for member in group.knows_failed(dead)}
        for directory in group.addrs[:DIRECTORIES]:
            if directory in informed:
                detected_after.setdefault(directory, group.world.now - died_at)
    return list(detected_after.values())


def describe(nodes: int, detection_time: float, round_trip: float, times: list[float]) -> str:
    """Returns the distribution of the times of one choice, and the messages that it costs."""
    _configure(detection_time, round_trip)
    p10, median, p90, p99 = (times[int(len(times) * quantile)] for quantile in QUANTILES)
    load = members.quiet_time(1, nodes, DATAGRAM_LOSS_RATIO, QUIET_S)
    return (
        f"{nodes} nodes, E[T] {detection_time} s, round trip {round_trip} s: mean {sum(times) / len(times):.2f}, "
        f"p10 {p10:.2f}, median {median:.2f}, p90 {p90:.2f}, p99 {p99:.2f}, worst {times[-1]:.2f} s of {len(times)}; "
        f"{load['messages a node and second']:.2f} messages a node and second, mistakes {load['mistakes']}"
    )


@click.command()
@click.option("--seeds", default=200, help="simulated groups for each choice")
@click.option("--jobs", default=6, help="processes")
def main(seeds: int, jobs: int) -> None:
    """The time a directory still offers a dead proxy, and the messages each choice of E[T] costs."""
    with ProcessPoolExecutor(jobs) as pool:
        for nodes in GROUP_SIZES:
            for detection_time, round_trip in DETECTION_TIMES:
                group_jobs = [Job(seed, nodes, detection_time, round_trip) for seed in range(1, seeds + 1)]
                times = sorted(time for times in pool.map(measure_offered_times, group_jobs) for time in times)
                click.echo(describe(nodes, detection_time, round_trip, times))


if __name__ == "__main__":
    main()
