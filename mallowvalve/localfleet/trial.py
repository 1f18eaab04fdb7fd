"""A trial: plays acts under load and checks the journals of clients and upstreams."""

from __future__ import annotations

import time

from mallowvalve.localfleet import acknowledged, acts, history, mishaps
from mallowvalve.localfleet.fleet import LocalFleet
from mallowvalve.localfleet.judge import check_journals, dropped_connections, journal_statistics
from mallowvalve.localfleet.operators import ConfigurationOperators
from mallowvalve.localfleet.users import CoordinationClients
from verification import histories

HISTORY_FILE = "history.jsonl"

ACTS = {
    act.__name__: act
    for act in (
        acts.rolling,
        acts.upstream_crashes,
        acts.leaving,
        acts.kills,
        acts.evacuation,
        acts.zone_lost,
        acts.region_lost,
        acts.wiped_core,
        acts.frozen,
        acts.relentless,
        acts.faulty,
        acts.handed_over,
        acts.cold,
        acts.emptied,
        acts.steady,
        acts.ledger_paired,
        mishaps.core_split,
        mishaps.core_cut_off,
        mishaps.isolated,
        mishaps.one_way,
        mishaps.full_disk,
        mishaps.stalled_disk,
        mishaps.pool_replaced,
        mishaps.service_removed,
        mishaps.homes_moved,
        mishaps.bad_changes,
        mishaps.evacuation_raced,
        mishaps.core_replaced,
        mishaps.seeds_gone,
        acknowledged.after_acks,
    )
}
PLANNED_ACTS = ("rolling", "evacuation", "leaving", "pool_replaced", "homes_moved", "bad_changes", "service_removed")


def run_trial(
    fleet: LocalFleet, names: list[str], seed: int = 1, rate: float | None = None, coordination: float = 40.0
) -> tuple[list[str], dict]:
    """Plays the named acts one after the other; returns the findings and the statistics."""
    findings: list[str] = []
    fleet.start_clients(seed=seed, rate=rate)
    time.sleep(3)
    started_at = time.time()
    with (
        ConfigurationOperators(fleet, seed) as operators,
        CoordinationClients(fleet, seed, coordination) as coordination_clients,
    ):
        fleet.running_operators = operators
        for name in names:
            act_started_at = time.time()
            act_findings = ACTS[name](fleet)
            if name in PLANNED_ACTS:
                act_findings += dropped_connections(act_started_at, time.time(), fleet.read_journal("asked.jsonl"))
            findings += [f"{name}: {finding}" for finding in act_findings]
            print(f"{name}: {time.time() - act_started_at:.1f} s, {len(act_findings)} findings", flush=True)
        time.sleep(2)
    seconds = time.time() - started_at
    fleet.stop("clients", 30)
    asked_rows, ran_rows = fleet.read_journal("asked.jsonl"), fleet.read_journal("ran.jsonl")
    histories.write(fleet.folder / HISTORY_FILE, history.to_operations(coordination_clients.history))
    findings += (
        operators.findings()
        + check_journals(operators.offers, asked_rows, ran_rows)
        + history.check_history(coordination_clients.history)
    )
    ack_times_s = sorted(operators.ack_times_s)
    statistics = {
        "seconds": round(seconds),
        "changes": len(operators.acknowledged),
        "changes_failed": operators.failed,
        "conflicts": operators.conflicts,
        "coordination_calls": coordination_clients.call_count,
        "undecided": coordination_clients.undecided,
        "operations": len(coordination_clients.history.ops),
        "holds": len(coordination_clients.history.holds),
        "events": len(coordination_clients.history.events),
        "ack_median_ms": round(ack_times_s[len(ack_times_s) // 2] * 1000) if ack_times_s else None,
        "ack_max_ms": round(ack_times_s[-1] * 1000) if ack_times_s else None,
    }
    return findings, journal_statistics(asked_rows, ran_rows) | statistics
