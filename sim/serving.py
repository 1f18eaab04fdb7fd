"""Checkers for what reached upstreams, from the stand-ins' own records."""

from __future__ import annotations

import msgspec

from mallowvalve.localfleet.history import check as coordination
from mallowvalve.localfleet.judge import in_force_at, worst_share
from sim.config import allows
from sim.history import CHANGE_PROPAGATION_S, RunHistory, ZoneEvacuation

EVACUATED = 5.0
LEFT = 3.0
PENDING = 20.0


def check(h: RunHistory) -> list[str]:
    return [
        *allowed_and_at_home(h),
        *evacuated(h),
        *left(h),
        *repeats(h)[1],
        *whole_answers(h),
        *reads_not_run(h),
        *coordination(h.coord),
    ]


def allowed_and_at_home(h: RunHistory) -> list[str]:
    """Some configuration that may have been in force at that moment must allow the run."""
    out = []
    for r in h.served:
        docs = in_force_at(h.offers, r.at, CHANGE_PROPAGATION_S)
        if not any(allows(o.doc, r.tenant, r.target, r.service, r.region) for o in docs):
            out.append(
                f"{r.instance} in {r.region} ran {r.target} for {r.tenant} at {r.at:.2f}: allowed by none in force"
            )
    return out


def evacuated(h: RunHistory) -> list[str]:
    out = []
    for e in h.zones:
        if not e.on or e.revision is None:
            continue
        start, end = e.ended + EVACUATED, min((x.begun for x in h.zones if gives_back(x, e)), default=1e9)
        bad = [r for r in h.served if r.zone == e.zone and start < r.at < end]
        if bad:
            out.append(f"{len(bad)} requests ran in {e.zone}, first at {bad[0].at:.2f}; evacuated at {e.ended:.2f}")
    return out


def gives_back(x: ZoneEvacuation, e: ZoneEvacuation) -> bool:
    if x.on or x.zone != e.zone:
        return False
    return x.revision > e.revision if x.revision is not None else x.begun > e.begun - PENDING


def left(h: RunHistory) -> list[str]:
    gone = {(x.instance, x.incarnation): x.at for x in h.left}
    bad = [r for r in h.served if r.at > gone.get((r.instance, r.incarnation), 1e9) + LEFT]
    return [f"{r.instance} got {r.id} at {r.at:.2f}, it left at {gone[r.instance, r.incarnation]:.2f}" for r in bad[:3]]


def repeats(h: RunHistory) -> tuple[float, list[str]]:
    return worst_share((r.at, r.service, r.id) for r in h.served if not r.key)


def whole_answers(h: RunHistory) -> list[str]:
    out = []
    for t, id, target, body in h.answers:
        try:
            own = msgspec.msgpack.decode(body)[:2] == [id, target]
        except (msgspec.DecodeError, TypeError):
            own = False
        if not own:
            out.append(f"{id} was told {body!r} as its own whole answer at {t:.2f}")
    return out


def reads_not_run(h: RunHistory) -> list[str]:
    ran = {(r.id, r.n): r.at for r in h.served if not r.key}
    bad = [(t, id, n) for t, id, n, out in h.reads_told if out == "not-run" and (id, n) in ran]
    return [f"read {id} try {n} told not-run at {t:.2f}, ran at {ran[id, n]:.2f}" for t, id, n in bad]


def cold_share(h: RunHistory, instance: str, incarnation: int, born: float, pool: list[str]) -> float | None:
    """What a cold upstream got in its first 2 s over the mean of its peers; None where too little ran."""
    rows = [r for r in h.served if r.instance in pool and born <= r.at < born + 2.0]
    if len(rows) < 30:
        return None
    mine = sum((r.instance, r.incarnation) == (instance, incarnation) for r in rows)
    others = (len(rows) - mine) / max(1, len(pool) - 1)
    return mine / others if others else None
