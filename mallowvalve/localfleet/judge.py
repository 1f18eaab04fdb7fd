"""Checks the journals of clients and upstreams; each violation is a line of text. Times are wall clock seconds."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable

import msgspec

from mallowvalve.configuration.build import build
from mallowvalve.configuration.model import Tree
from mallowvalve.routing.model import RouteRequest

IN_FORCE_GRACE_S = 3.5
"""How long an older configuration may still be in force after a newer one is acknowledged."""

LEAVING_GRACE_S = 3.5
"""How long requests may still reach an upstream after its leaving notice."""

EVACUATION_GRACE_S = 5.0
"""How long requests may still run in a zone after its evacuation is acknowledged."""

MAX_REPEAT_SHARE = 0.2
"""The maximum ratio of repeated runs to first runs."""


class OfferedConfiguration(msgspec.Struct):
    """A configuration that an operator submitted; without a revision it is unknown whether it was accepted."""

    begun: float
    ended: float
    revision: int | None
    doc: object


def in_force_at(
    offers: list[OfferedConfiguration], at: float, grace_s: float = IN_FORCE_GRACE_S
) -> list[OfferedConfiguration]:
    """Returns the configurations that may have been in force at a moment."""
    certain = [offer for offer in offers if offer.revision is not None and offer.ended <= at - grace_s]
    newest = max((offer.revision for offer in certain if offer.revision is not None), default=None)
    possible = []
    for offer in offers:
        if offer.begun > at:
            continue
        if offer.revision is not None and (newest is None or offer.revision >= newest):
            possible.append(offer)
        if offer.revision is None and not any(later.begun > offer.ended for later in certain):
            possible.append(offer)
    return possible


def check_journals(offers: list[OfferedConfiguration], asked_rows: list[dict], ran_rows: list[dict]) -> list[str]:
    """Runs the checks that apply to every trial."""
    return [
        *check_single_runs(ran_rows),
        *check_complete_answers(asked_rows),
        *check_reported_outcomes(asked_rows, ran_rows),
        *check_routing(offers, ran_rows),
    ]


def check_single_runs(ran_rows: list[dict]) -> list[str]:
    """Checks that no idempotency key ran twice."""
    runs = Counter((row["tenant"], row["key"]) for row in ran_rows if row["key"])
    return [f"key {key} ran {count} times" for key, count in runs.items() if count > 1]


def check_complete_answers(asked_rows: list[dict]) -> list[str]:
    """Checks that each success carries the complete answer of its own request."""
    return [
        f"request {row['id']} got a success that is not its own whole answer"
        for row in asked_rows
        if row["ok"] and not row["whole"]
    ]


def check_reported_outcomes(asked_rows: list[dict], ran_rows: list[dict]) -> list[str]:
    """Checks that requests reported as done ran once, and that requests reported as not run did not run."""
    runs: defaultdict[str, int] = defaultdict(int)
    for row in ran_rows:
        runs[row["key"] or row["request"]] += 1
    findings = []
    for row in asked_rows:
        count = runs.get(row["key"] or row["id"], 0)
        if row["key"] and row["ok"] and count != 1:
            findings.append(f"key {row['key']} told done, ran {count} times")
        if len(row["tries"]) == 1 and row["tries"][0][1] == "not-run" and count:
            findings.append(f"request {row['id']} told not-run, ran {count} times")
        if row["key"] and row["tries"][-1][1] == "not-run" and count:
            findings.append(f"key {row['key']} told not-run at last, ran {count} times")
    return findings


def check_routing(offers: list[OfferedConfiguration], ran_rows: list[dict]) -> list[str]:
    """Checks that each run was allowed by a configuration that may have been in force at its time."""
    findings: list[str] = []
    trees: dict[str, Tree] = {}
    for offer in offers:
        key = repr(offer.doc)
        trees[key] = trees.get(key) or build(offer.doc).unwrap()
        offer.doc = key
    boundaries = sorted({at for offer in offers for at in (offer.begun, offer.ended + IN_FORCE_GRACE_S)})
    docs_by_interval: dict[int, set[str]] = {}
    for row in ran_rows:
        interval = bisect_right(boundaries, row["at"])
        docs = docs_by_interval.get(interval)
        if docs is None:
            docs = docs_by_interval[interval] = {str(offer.doc) for offer in in_force_at(offers, row["at"])}
        violations = [_violation(trees[doc], row) for doc in docs]
        if all(violations):
            request = f"{row['method']} {row['path']} for {row['tenant']}"
            findings.append(
                f"{row['service']} in {row['locality']} ran {request}: {sorted({str(text) for text in violations})}"
            )
    return findings


def _violation(tree: Tree, row: dict) -> str | None:
    """Returns why a configuration does not allow a run, or None if it does."""
    plan = (
        tree.choose(row["tenant"], RouteRequest(row["method"], row["path"], {}))
        if row["tenant"] in tree.cell_of
        else None
    )
    if plan is None or plan.service != row["service"]:
        return "no configuration allows it"
    homes = tree.homes(row["tenant"])
    if homes is not None and row["locality"].partition("/")[0] not in homes:
        return f"its homes are {sorted(homes)}"
    return None


def runs_after_evacuation(zone: str, start: float, end: float, ran_rows: list[dict]) -> list[str]:
    """Checks that no request runs in an evacuated zone after the grace period."""
    count = sum(
        start + EVACUATION_GRACE_S < row["at"] < end and row["locality"].partition("/")[2] == zone for row in ran_rows
    )
    return [f"{count} requests ran in evacuated {zone}"] if count else []


def runs_after_leaving(instance: str, left_at: float, ran_rows: list[dict]) -> list[str]:
    """Checks that no request reaches an upstream once the grace period after its leaving notice is over."""
    count = sum(row["instance"] == instance and row["at"] > left_at + LEAVING_GRACE_S for row in ran_rows)
    return [f"{count} requests reached {instance} after it left"] if count else []


def dropped_connections(start: float, end: float, asked_rows: list[dict]) -> list[str]:
    """Returns connections that broke without an answer during planned stops; a refused connection is allowed."""
    findings = [
        f"request {row['id']} lost its connection: {attempt[1]}"
        for row in asked_rows
        if start < row["at"] < end
        for attempt in row["tries"]
        if attempt[0] == 0 and attempt[1] not in ("ConnectionRefusedError", "no proxy")
    ]
    return [f"{len(findings)} connections dropped, first: {findings[0]}"] if findings else []


def repeat_share(ran_rows: list[dict], span_s: float = 10.0) -> tuple[float, list[str]]:
    """Returns the largest ratio of repeats to first runs at a service in any span, and a finding if it is excessive."""
    return worst_repeat_share(((row["at"], row["service"], row["request"]) for row in ran_rows), span_s)


def worst_repeat_share(
    runs: Iterable[tuple[float, str, str]], span_s: float = 10.0, min_first_runs: int = 150
) -> tuple[float, list[str]]:
    """Returns the largest ratio of repeats to first runs in any span, and a finding if it is excessive.

    A run is (at, service, request). Only spans of `span_s` with at least `min_first_runs` first runs count.
    """
    runs_by_service: dict[str, list[tuple[float, bool]]] = defaultdict(list)
    seen: set[str] = set()
    for at, service, request in sorted(runs):
        runs_by_service[service].append((at, request in seen))
        seen.add(request)
    worst = 0.0
    for marked_runs in runs_by_service.values():
        start = repeats = 0
        for end, (at, repeated) in enumerate(marked_runs):
            repeats += repeated
            while marked_runs[start][0] < at - span_s:
                repeats -= marked_runs[start][1]
                start += 1
            first_runs = end - start + 1 - repeats
            if first_runs >= min_first_runs and at - marked_runs[0][0] >= span_s:
                worst = max(worst, repeats / first_runs)
    return worst, [
        f"repeats reached {worst:.3f} of first tries over {span_s:.0f} s"
    ] if worst > MAX_REPEAT_SHARE else []


def journal_statistics(asked_rows: list[dict], ran_rows: list[dict]) -> dict:
    """Returns counts and durations of the requests, as printed at the end of a trial."""
    durations_s = sorted(row["took"] for row in asked_rows if row["ok"])
    outcomes = Counter(str(attempt[1]) for row in asked_rows for attempt in row["tries"] if attempt[0] != 200)
    return {
        "asked": len(asked_rows),
        "ok": sum(row["ok"] for row in asked_rows),
        "ran": len(ran_rows),
        "tries": sum(len(row["tries"]) for row in asked_rows),
        "median_ms": round(durations_s[len(durations_s) // 2] * 1000, 1) if durations_s else None,
        "p99_ms": round(durations_s[int(len(durations_s) * 0.99)] * 1000, 1) if durations_s else None,
        "not_200": dict(outcomes),
    }
