"""Measures what each part of the rule for acknowledgements costs, and what breaks without it."""

from __future__ import annotations

import statistics
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

import click

from mallowvalve.control.acknowledgement import REACHABLE_S, REQUIRED_COPIES, Replicas
from sim.storms import play

STORMS = ("calm", "core_cut_off", "wiped_all_but_one_proxy")


def replicated_if_committed(_replicas: Replicas, _index: int, _now: float, _changes_settings: bool) -> bool:
    """Stands for `Replicas.is_replicated`: a commit by the quorum is enough."""
    return True


def replicated_by_copies(replicas: Replicas, index: int, now: float, _changes_settings: bool) -> bool:
    """Stands for `Replicas.is_replicated`: enough reachable replicas of other localities hold the entry."""
    elsewhere = [
        status
        for status in replicas.status_by_address.values()
        if now - status.requested_at < REACHABLE_S and status.request.locality != replicas.locality
    ]
    copies = sum(status.holds(replicas._group, index) for status in elsewhere)
    return copies >= min(REQUIRED_COPIES, len(elsewhere))


def in_force_at_once(replicas: Replicas, revision: int, _now: float) -> bool:
    """Stands for `Replicas.in_force`: the leader's own settings are enough."""
    return revision <= replicas._settings.revision


RULES = {
    "committed by a quorum": {"is_replicated": replicated_if_committed, "in_force": in_force_at_once},
    "and in force": {"is_replicated": replicated_if_committed},
    "and two copies elsewhere": {"is_replicated": replicated_by_copies},
    "and every prompt replica (the rule)": {},
}
PRODUCT_METHODS = {name: getattr(Replicas, name) for name in ("is_replicated", "in_force")}


class Job(NamedTuple):
    """One play of a storm under a rule."""

    rule: str
    storm: str
    seed: int


def play_job(job: Job) -> tuple[list[str], dict[str, list[float]]]:
    """Returns the findings of a play, and the waits for acknowledgements by kind (s)."""
    for name, method in (PRODUCT_METHODS | RULES[job.rule]).items():
        setattr(Replicas, name, method)
    waits: dict[str, list[float]] = {}
    findings, _ = play(job.storm, job.seed, keep=waits)
    return findings, waits


def describe(storm: str, plays: list[tuple[list[str], dict[str, list[float]]]]) -> str:
    """Returns the median waits of a storm's plays, and in how many of them something was found."""
    with_findings = sum(bool(findings) for findings, _ in plays)
    kinds = plays[0][1]
    medians_ms = {kind: 1000 * statistics.median([s for _, waits in plays for s in waits[kind]]) for kind in kinds}
    waits = ", ".join(f"{kind} {median_ms:.0f} ms" for kind, median_ms in medians_ms.items())
    return f"{storm}: {waits}, findings in {with_findings} of {len(plays)}"


@click.command()
@click.option("--seeds", default=8, help="plays of each storm under each rule")
@click.option("--jobs", default=6, help="processes")
def main(seeds: int, jobs: int) -> None:
    """What each part of the rule for acknowledgements costs, and what breaks without it; paired by seed."""
    with ProcessPoolExecutor(jobs) as pool:
        for rule in RULES:
            storms = []
            for storm in STORMS:
                storm_jobs = [Job(rule, storm, seed) for seed in range(1, seeds + 1)]
                storms.append(describe(storm, list(pool.map(play_job, storm_jobs))))
            click.echo(f"{rule}: " + "; ".join(storms))


if __name__ == "__main__":
    main()
