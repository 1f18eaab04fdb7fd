from __future__ import annotations

from collections import defaultdict

import msgspec

from mallowvalve.localfleet import history
from mallowvalve.localfleet.judge import Offered
from verification import linearizability
from verification.histories import Recorder

CHANGE_PROPAGATION_S = 3.0


class ExecutedRequest(msgspec.Struct):
    at: float
    id: str
    key: str
    n: int
    tenant: str
    target: str
    service: str
    instance: str
    incarnation: int
    region: str
    zone: str


class UpstreamDeparture(msgspec.Struct):
    at: float
    instance: str
    incarnation: int


class ColdRequest(msgspec.Struct):
    at: float
    instance: str
    incarnation: int
    age: float
    busy: int


class ZoneEvacuation(msgspec.Struct):
    begun: float
    ended: float
    revision: int | None
    zone: str
    on: bool


class RunHistory:
    """What the stand-ins themselves saw; the checkers read nothing else."""

    def __init__(self):
        self.ran: list[tuple[float, str, int]] = []
        self.told: list[tuple[float, str, int, str]] = []
        self.served: list[ExecutedRequest] = []
        self.left: list[UpstreamDeparture] = []
        self.cold: list[ColdRequest] = []
        self.offers: list[Offered] = []
        self.zones: list[ZoneEvacuation] = []
        self.coord = history.History([], [], [], [])
        self.answers: list[tuple[float, str, str, bytes]] = []
        self.reads_told: list[tuple[float, str, int, str]] = []
        self.admitted: list[tuple] = []
        self.changes: list[tuple[float, float, int, bytes]] = []
        self.evacuations: list[tuple[float, float, int]] = []
        self.reads: list[tuple[float, float, int, bytes]] = []
        self.holds: list[list] = []
        self.numbers: list[tuple[float, float, int]] = []
        self.puts: list[tuple[float, float, int, str]] = []
        self.watched: list[tuple[float, str, int, str]] = []
        self.compacted: list[tuple[float, str, int]] = []
        self.recorder = Recorder()

    def figures(self) -> dict[str, int]:
        reads = ("answer", "not-run", "undecided", "unknown", "silence")
        return (
            {k: len(v) for k, v in vars(self).items() if isinstance(v, list)}
            | {f"reads_{o}": sum(t[3] == o for t in self.reads_told) for o in reads}
            | {"kept": len(self.coord.ops), "recorded": len(self.recorder.operations)}
            | {
                f"told_{o}": sum(t[3] == o for t in self.told)
                for o in ("done", "not-run", "undecided", "unknown", "silence")
            }
        )


def check(h: RunHistory) -> list[str]:
    return [
        *runs_once(h),
        *not_run_is_true(h),
        *in_force(h),
        *never_slips_back(h),
        *read_back(h),
        *one_holder(h),
        *numbers_rise(h),
        *watchers_miss_nothing(h),
        *linearizability.check(h.recorder.operations).findings(),
    ]


def runs_once(h: RunHistory) -> list[str]:
    count: dict[str, int] = defaultdict(int)
    for _, key, _ in h.ran:
        count[key] += 1
    return [f"key {k} ran {n} times" for k, n in count.items() if n > 1]


def not_run_is_true(h: RunHistory) -> list[str]:
    runs = {key: (t, n) for t, key, n in h.ran}
    out = []
    for t, key, n, said in h.told:
        if said != "not-run" or key not in runs:
            continue
        at, by = runs[key]
        if at <= t or by <= n:
            out.append(f"key {key} try {n} told not-run at {t:.2f}, ran at {at:.2f} by try {by}")
    done = {key for _, key, _, said in h.told if said == "done"}
    return out + [f"key {k} told done and never ran" for k in done if k not in runs]


def in_force(h: RunHistory) -> list[str]:
    acked = sorted([(t, r) for _, t, r, _ in h.changes] + [(t, r) for _, t, r in h.evacuations])
    out, newest, i = [], 0, 0
    for t, addr, revision, _ in sorted(h.admitted, key=lambda a: a[0]):
        while i < len(acked) and acked[i][0] <= t - CHANGE_PROPAGATION_S:
            newest = max(newest, acked[i][1])
            i += 1
        if revision < newest:
            out.append(
                f"{addr} admits at {t:.2f} by {revision}, {newest} was acknowledged over {CHANGE_PROPAGATION_S} s ago"
            )
    return out


def never_slips_back(h: RunHistory) -> list[str]:
    last: dict = {}
    out = []
    for t, addr, revision, _ in h.admitted:
        if revision < last.get(addr, 0):
            out.append(f"{addr} slips from {last[addr]} to {revision} at {t:.2f}")
        last[addr] = max(revision, last.get(addr, 0))
    return out


def read_back(h: RunHistory) -> list[str]:
    out = []
    docs = {r: d for _, _, r, d in h.changes}
    for begun, t, revision, doc in h.reads:
        newest = max((r for _, acked, r, _ in h.changes if acked <= begun), default=0)
        if revision < newest:
            out.append(f"read at {t:.2f} shows {revision}, {newest} was acknowledged before")
        if revision in docs and docs[revision] != doc:
            out.append(f"revision {revision} holds another configuration than acknowledged")
    revisions = [r for _, _, r, _ in h.changes]
    return out + [f"revision {r} was given twice" for r in set(revisions) if revisions.count(r) > 1]


def one_holder(h: RunHistory) -> list[str]:
    out, last = [], None
    for hold in sorted(h.holds):
        if last is not None and hold[0] < last[1] and hold[3] != last[3]:
            out.append(f"{hold[3]} holds from {hold[0]:.2f} while {last[3]} holds until {last[1]:.2f}")
        if last is not None and hold[2] <= last[2]:
            out.append(f"token {hold[2]} after {last[2]}")
        last = hold
    return out


def numbers_rise(h: RunHistory) -> list[str]:
    out, seen = [], set()
    for _, _, n in h.numbers:
        if n in seen:
            out.append(f"number {n} was given twice")
        seen.add(n)
    by_end = sorted(h.numbers, key=lambda x: x[1])
    for begun, _, n in h.numbers:
        before = [x[2] for x in by_end if x[1] < begun]
        if before and max(before) >= n:
            out.append(f"number {n} asked at {begun:.2f} after {max(before)} was given")
    return out


def watchers_miss_nothing(h: RunHistory) -> list[str]:
    out = []
    by: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for t, who, revision, _ in h.watched:
        by[who].append((t, revision))
    for who, rows in by.items():
        revisions = [r for _, r in rows]
        if revisions != sorted(set(revisions)):
            out.append(f"{who} saw events twice or out of order")
        if any(w == who for _, w, _ in h.compacted):
            continue
        last, seen = revisions[-1], set(revisions)
        missing = [r for _, _, r, _ in h.puts if r < last and r not in seen]
        out += [f"{who} missed {r}" for r in missing]
    return out
