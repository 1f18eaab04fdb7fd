"""Checks on the requests that reached upstreams, from the upstreams' own records. Times are in seconds."""

from __future__ import annotations

import msgspec

from mallowvalve.localfleet.history import check_history as check_coordination
from mallowvalve.localfleet.judge import in_force_at, worst_repeat_share
from sim.config import allows
from sim.history import CHANGE_PROPAGATION_S, RunHistory, ZoneEvacuation

EVACUATION_LIMIT_S = 5.0
DEPARTURE_LIMIT_S = 3.0
PENDING_CHANGE_LIMIT_S = 20.0


def check(run: RunHistory) -> list[str]:
    """Returns the findings of all checks in this module."""
    return [
        *requests_follow_configuration(run),
        *evacuated_zones_receive_nothing(run),
        *departed_upstreams_receive_nothing(run),
        *repeats(run)[1],
        *answers_match_requests(run),
        *reads_not_run_never_execute(run),
        *check_coordination(run.coord),
    ]


def requests_follow_configuration(run: RunHistory) -> list[str]:
    """Each request that ran is allowed by some configuration that may have been in force at the time."""
    findings = []
    for request in run.served:
        docs = in_force_at(run.offers, request.at, CHANGE_PROPAGATION_S)
        if not any(
            allows(offer.doc, request.tenant, request.target, request.service, request.region) for offer in docs
        ):
            findings.append(
                f"{request.instance} in {request.region} ran {request.target} for {request.tenant} "
                f"at {request.at:.2f}: allowed by none in force"
            )
    return findings


def evacuated_zones_receive_nothing(run: RunHistory) -> list[str]:
    """No request runs in a zone from `EVACUATION_LIMIT_S` after its evacuation until that may have ended."""
    findings = []
    for evacuation in run.zones:
        if not evacuation.on or evacuation.revision is None:
            continue
        start, end = (
            evacuation.ended + EVACUATION_LIMIT_S,
            min((other.begun for other in run.zones if _ends_evacuation(other, evacuation)), default=1e9),
        )
        bad = [request for request in run.served if request.zone == evacuation.zone and start < request.at < end]
        if bad:
            findings.append(
                f"{len(bad)} requests ran in {evacuation.zone}, first at {bad[0].at:.2f}; "
                f"evacuated at {evacuation.ended:.2f}"
            )
    return findings


def _ends_evacuation(other: ZoneEvacuation, evacuation: ZoneEvacuation) -> bool:
    """Whether `other` ends the evacuation, or may do so where its revision is unknown."""
    if other.on or other.zone != evacuation.zone:
        return False
    return (
        other.revision > evacuation.revision
        if other.revision is not None
        else other.begun > evacuation.begun - PENDING_CHANGE_LIMIT_S
    )


def departed_upstreams_receive_nothing(run: RunHistory) -> list[str]:
    """No request reaches an upstream `DEPARTURE_LIMIT_S` after its leaving was acknowledged."""
    gone = {(departure.instance, departure.incarnation): departure.at for departure in run.left}
    bad = [
        request
        for request in run.served
        if request.at > gone.get((request.instance, request.incarnation), 1e9) + DEPARTURE_LIMIT_S
    ]
    return [
        f"{request.instance} got {request.id} at {request.at:.2f}, "
        f"it left at {gone[request.instance, request.incarnation]:.2f}"
        for request in bad[:3]
    ]


def repeats(run: RunHistory) -> tuple[float, list[str]]:
    """The largest share of retries per first attempt of unkeyed requests, and the findings on it; see `worst_share`."""
    return worst_repeat_share((request.at, request.service, request.id) for request in run.served if not request.key)


def answers_match_requests(run: RunHistory) -> list[str]:
    """Each whole answer belongs to the request it was returned for."""
    findings = []
    for time, id, target, body in run.answers:
        try:
            own = msgspec.msgpack.decode(body)[:2] == [id, target]
        except (msgspec.DecodeError, TypeError):
            own = False
        if not own:
            findings.append(f"{id} was told {body!r} as its own whole answer at {time:.2f}")
    return findings


def reads_not_run_never_execute(run: RunHistory) -> list[str]:
    """No read attempt answered as not run has run."""
    ran = {(request.id, request.n): request.at for request in run.served if not request.key}
    bad = [(time, id, n) for time, id, n, outcome in run.reads_told if outcome == "not-run" and (id, n) in ran]
    return [f"read {id} try {n} told not-run at {time:.2f}, ran at {ran[id, n]:.2f}" for time, id, n in bad]


def cold_share(run: RunHistory, instance: str, incarnation: int, born: float, pool: list[str]) -> float | None:
    """A cold upstream's requests in its first 2 s over the mean of its peers; None below 30 requests in the pool."""
    rows = [request for request in run.served if request.instance in pool and born <= request.at < born + 2.0]
    if len(rows) < 30:
        return None
    mine = sum((request.instance, request.incarnation) == (instance, incarnation) for request in rows)
    others = (len(rows) - mine) / max(1, len(pool) - 1)
    return mine / others if others else None
