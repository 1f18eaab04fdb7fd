"""A trial: acts under load, and the judgement of all that was written down."""

from __future__ import annotations

import time

from mallowvalve.localfleet import acknowledged, acts, history, mishaps
from mallowvalve.localfleet.fleet import LocalFleet
from mallowvalve.localfleet.judge import dropped, figures, judge
from mallowvalve.localfleet.operators import Operators
from mallowvalve.localfleet.users import Coordinators
from verification import histories

RECORDED = "history.jsonl"

ACTS = {
    a.__name__: a
    for a in (
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
PLANNED = ("rolling", "evacuation", "leaving", "pool_replaced", "homes_moved", "bad_changes", "service_removed")


def run(
    f: LocalFleet, names: list[str], seed: int = 1, rate: float | None = None, coordination: float = 40.0
) -> tuple[list[str], dict]:
    """Play the acts named, one after the other; findings, and figures."""
    found: list[str] = []
    f.start_clients(seed=seed, rate=rate)
    time.sleep(3)
    begun = time.time()
    with Operators(f, seed) as ops, Coordinators(f, seed, coordination) as users:
        f.operators = ops
        for a in names:
            t = time.time()
            got = ACTS[a](f)
            if a in PLANNED:
                got += dropped(t, time.time(), f.read_journal("asked.jsonl"))
            found += [f"{a}: {g}" for g in got]
            print(f"{a}: {time.time() - t:.1f} s, {len(got)} findings", flush=True)
        time.sleep(2)
    seconds = time.time() - begun
    f.stop("clients", 30)
    asked, ran = f.read_journal("asked.jsonl"), f.read_journal("ran.jsonl")
    histories.write(f.folder / RECORDED, history.operations(users.history))
    found += ops.findings() + judge(ops.offers, asked, ran) + history.check_history(users.history)
    ts = sorted(ops.ack_times)
    more = {
        "seconds": round(seconds),
        "changes": len(ops.acked),
        "changes_failed": ops.failed,
        "conflicts": ops.refused,
        "coordination_calls": users.calls,
        "undecided": users.unsure,
        "operations": len(users.history.ops),
        "holds": len(users.history.holds),
        "events": len(users.history.events),
        "ack_median_ms": round(ts[len(ts) // 2] * 1000) if ts else None,
        "ack_max_ms": round(ts[-1] * 1000) if ts else None,
    }
    return found, figures(asked, ran) | more
