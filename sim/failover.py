from __future__ import annotations

import itertools
import statistics
from concurrent.futures import ProcessPoolExecutor

import click

from sim.fleet import SimulatedFleet

SPAN = 15.0
LOSSES = ("nothing", "leader", "proxy", "zone", "region")


def lost(f: SimulatedFleet, what: str) -> list:
    lead = f.leader().addr
    match what:
        case "leader":
            return [lead]
        case "proxy":
            return [f.proxies[0]]
        case "zone":
            return [a for a in f.nodes if f.place[a] == f.place[lead]]
        case "region":
            return [a for a in f.nodes if f.place[a].region == f.place[lead].region]
    return []


def widest(times: list[float], start: float, end: float) -> float:
    marks = [start, *(t for t in sorted(times) if start < t < end), end]
    return max(b - a for a, b in itertools.pairwise(marks))


def gaps(job: tuple[str, int, int]) -> dict[str, float]:
    what, seed, proxies = job
    f = SimulatedFleet(seed, proxies=proxies)
    f.load()
    f.run_until(lambda: f.served() > 3 and all(f.world.nodes[a].admits() for a in f.proxies), 30)
    f.run(8)
    start = f.world.now
    for a in lost(f, what):
        f.kill(a)
    f.run(SPAN)
    h, end = f.history, f.world.now
    return {
        "numbers": widest([t for _, t, _ in h.numbers], start, end),
        "once requests": widest([t for t, _, _, said in h.told if said == "done"], start, end),
        "changes": widest([t for _, t, _, _ in h.changes] + [t for _, t, _ in h.evacuations], start, end),
    }


@click.command()
@click.option("--seeds", default=20)
@click.option("--first", default=1)
@click.option("--proxies", default=9)
@click.option("--jobs", default=6)
def main(seeds: int, first: int, proxies: int, jobs: int) -> None:
    """The longest time without a success in the 15 s after a loss, paired by seed with the same run without one."""
    with ProcessPoolExecutor(jobs) as pool:
        for what in LOSSES:
            rows = list(pool.map(gaps, [(what, s, proxies) for s in range(first, first + seeds)]))
            parts = []
            for k in rows[0]:
                xs = sorted(r[k] for r in rows)
                parts.append(f"{k} median {statistics.median(xs):.2f} s, worst {xs[-1]:.2f} s")
            click.echo(f"{what} lost: " + "; ".join(parts))


if __name__ == "__main__":
    main()
