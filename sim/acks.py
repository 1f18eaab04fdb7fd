from __future__ import annotations

import statistics
from concurrent.futures import ProcessPoolExecutor

import click

from mallowvalve.control.acknowledgement import REACHABLE_S, REQUIRED_COPIES, Replicas
from sim.storms import play


def committed(self, index, now):
    return True


def copies(self, index, now):
    near = [
        h
        for h in self.status_by_address.values()
        if now - h.requested_at < REACHABLE_S and h.request.locality != self.locality
    ]
    return sum(h.holds(self._group, index) for h in near) >= min(REQUIRED_COPIES, len(near))


def at_once(self, revision, now):
    return revision <= self._settings.revision


RULES = {
    "committed by a quorum": {"is_replicated": committed, "in_force": at_once},
    "and in force": {"is_replicated": committed},
    "and two copies elsewhere": {"is_replicated": copies},
    "and every prompt replica (the rule)": {},
}
KEEP = {n: getattr(Replicas, n) for n in ("is_replicated", "in_force")}


def one(job: tuple[str, str, int]) -> tuple[list[str], dict[str, list[float]]]:
    rule, storm, seed = job
    for n, f in (KEEP | RULES[rule]).items():
        setattr(Replicas, n, f)
    waits: dict[str, list[float]] = {}
    found, _ = play(storm, seed, keep=waits)
    return found, waits


@click.command()
@click.option("--seeds", default=8)
@click.option("--jobs", default=6)
def main(seeds: int, jobs: int) -> None:
    """What each part of the rule for acknowledgements costs, and what breaks without it; paired by seed."""
    with ProcessPoolExecutor(jobs) as pool:
        for rule in RULES:
            parts = []
            for storm in ("calm", "core_cut_off", "wiped_all_but_one_proxy"):
                rows = list(pool.map(one, [(rule, storm, s) for s in range(1, seeds + 1)]))
                bad = sum(bool(f) for f, _ in rows)
                mid = {k: statistics.median([x for _, w in rows for x in w[k]]) * 1000 for k in rows[0][1]}
                parts.append(
                    f"{storm}: "
                    + ", ".join(f"{k} {v:.0f} ms" for k, v in mid.items())
                    + f", findings in {bad} of {seeds}"
                )
            click.echo(f"{rule}: " + "; ".join(parts))


if __name__ == "__main__":
    main()
