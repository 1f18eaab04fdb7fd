"""What clients and upstreams wrote, judged by the rules; each finding is a line. Times are s of the wall clock."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable

import msgspec

from mallowvalve.configuration.build import build
from mallowvalve.configuration.model import Tree
from mallowvalve.routing.model import RouteRequest

IN_FORCE = 3.5
LEFT = 3.5
EVACUATED = 5.0
SHARE = 0.2


class OfferedConfiguration(msgspec.Struct):
    """A configuration that an operator offered; without a revision nobody knows whether it was taken."""

    begun: float
    ended: float
    revision: int | None
    doc: object


def in_force_at(offers: list[OfferedConfiguration], at: float, grace: float = IN_FORCE) -> list[OfferedConfiguration]:
    """Those that may have been in force at that moment."""
    sure = [o for o in offers if o.revision is not None and o.ended <= at - grace]
    newest = max(sure, key=lambda o: o.revision, default=None)
    out = []
    for o in offers:
        if o.begun > at:
            continue
        if o.revision is not None and (newest is None or o.revision >= newest.revision):
            out.append(o)
        if o.revision is None and not any(s.begun > o.ended for s in sure):
            out.append(o)
    return out


def judge(offers: list[OfferedConfiguration], asked: list[dict], ran: list[dict]) -> list[str]:
    """All that must hold of any trial."""
    return [*runs_once(ran), *whole_answers(asked), *not_run_is_true(asked, ran), *allowed(offers, ran)]


def runs_once(ran: list[dict]) -> list[str]:
    """No key ran twice."""
    c = Counter((r["tenant"], r["key"]) for r in ran if r["key"])
    return [f"key {k} ran {n} times" for k, n in c.items() if n > 1]


def whole_answers(asked: list[dict]) -> list[str]:
    """A success is the request's own whole answer."""
    return [
        f"request {r['id']} got a success that is not its own whole answer" for r in asked if r["ok"] and not r["whole"]
    ]


def not_run_is_true(asked: list[dict], ran: list[dict]) -> list[str]:
    """What was told done ran once, and what was told not-run did not run."""
    runs = defaultdict(int)
    for r in ran:
        runs[r["key"] or r["request"]] += 1
    out = []
    for r in asked:
        n = runs.get(r["key"] or r["id"], 0)
        if r["key"] and r["ok"] and n != 1:
            out.append(f"key {r['key']} told done, ran {n} times")
        if len(r["tries"]) == 1 and r["tries"][0][1] == "not-run" and n:
            out.append(f"request {r['id']} told not-run, ran {n} times")
        if r["key"] and r["tries"][-1][1] == "not-run" and n:
            out.append(f"key {r['key']} told not-run at last, ran {n} times")
    return out


def allowed(offers: list[OfferedConfiguration], ran: list[dict]) -> list[str]:
    """Everything ran by a configuration that may have been in force."""
    out, trees = [], {}
    for o in offers:
        key = repr(o.doc)
        trees[key] = trees.get(key) or build(o.doc).unwrap()
        o.doc = key
    points = sorted({t for o in offers for t in (o.begun, o.ended + IN_FORCE)})
    known: dict[int, set[str]] = {}
    for r in ran:
        i = bisect_right(points, r["at"])
        docs = known.get(i)
        if docs is None:
            docs = known[i] = {o.doc for o in in_force_at(offers, r["at"])}
        whys = [_refused(trees[d], r) for d in docs]
        if all(whys):
            what = f"{r['method']} {r['path']} for {r['tenant']}"
            out.append(f"{r['service']} in {r['locality']} ran {what}: {sorted(set(whys))}")
    return out


def _refused(t: Tree, r: dict) -> str | None:
    plan = t.choose(r["tenant"], RouteRequest(r["method"], r["path"], {})) if r["tenant"] in t.cell_of else None
    if plan is None or plan.service != r["service"]:
        return "no configuration allows it"
    homes = t.homes(r["tenant"])
    if homes is not None and r["locality"].partition("/")[0] not in homes:
        return f"its homes are {sorted(homes)}"
    return None


def after_evacuation(zone: str, start: float, end: float, ran: list[dict]) -> list[str]:
    """Nothing ran in an evacuated zone, from a few seconds after it was acknowledged."""
    n = sum(start + EVACUATED < r["at"] < end and r["locality"].partition("/")[2] == zone for r in ran)
    return [f"{n} requests ran in evacuated {zone}"] if n else []


def after_leaving(instance: str, left: float, ran: list[dict]) -> list[str]:
    """Nothing reached an upstream a few seconds after it said that it leaves."""
    n = sum(r["instance"] == instance and r["at"] > left + LEFT for r in ran)
    return [f"{n} requests reached {instance} after it left"] if n else []


def dropped(start: float, end: float, asked: list[dict]) -> list[str]:
    """Connections broken without an answer while only planned stops went on; a refused connection is none."""
    out = [
        f"request {r['id']} lost its connection: {t[1]}"
        for r in asked
        if start < r["at"] < end
        for t in r["tries"]
        if t[0] == 0 and t[1] not in ("ConnectionRefusedError", "no proxy")
    ]
    return [f"{len(out)} connections dropped, first: {out[0]}"] if out else []


def repeat_share(ran: list[dict], span: float = 10.0) -> tuple[float, list[str]]:
    """The largest share of repeated work over first work that a service saw in any span of 10 s."""
    return worst_repeat_share(((r["at"], r["service"], r["request"]) for r in ran), span)


def worst_repeat_share(
    runs: Iterable[tuple[float, str, str]], span: float = 10.0, least: int = 150
) -> tuple[float, list[str]]:
    """The largest share of repeats of first runs in any `span` seconds with `least` first ones.

    A run is (at, service, request).
    """
    by: dict[str, list[tuple[float, bool]]] = defaultdict(list)
    seen: set[str] = set()
    for at, service, id in sorted(runs):
        by[service].append((at, id in seen))
        seen.add(id)
    worst = 0.0
    for marks in by.values():
        lo = again = 0
        for hi, (at, repeated) in enumerate(marks):
            again += repeated
            while marks[lo][0] < at - span:
                again -= marks[lo][1]
                lo += 1
            first = hi - lo + 1 - again
            if first >= least and at - marks[0][0] >= span:
                worst = max(worst, again / first)
    return worst, [f"repeats reached {worst:.3f} of first tries over {span:.0f} s"] if worst > SHARE else []


def figures(asked: list[dict], ran: list[dict]) -> dict:
    """Counts and times of what was asked."""
    took = sorted(r["took"] for r in asked if r["ok"])
    outcomes = Counter(str(t[1]) for r in asked for t in r["tries"] if t[0] != 200)
    return {
        "asked": len(asked),
        "ok": sum(r["ok"] for r in asked),
        "ran": len(ran),
        "tries": sum(len(r["tries"]) for r in asked),
        "median_ms": round(took[len(took) // 2] * 1000, 1) if took else None,
        "p99_ms": round(took[int(len(took) * 0.99)] * 1000, 1) if took else None,
        "not_200": dict(outcomes),
    }
