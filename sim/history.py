"""The records of a simulated run, and the checks on the control state and on keyed requests. Times are in seconds."""

from __future__ import annotations

from collections import defaultdict

import msgspec

from mallowvalve.localfleet import history
from mallowvalve.localfleet.judge import OfferedConfiguration
from verification import linearizability
from verification.histories import HistoryRecorder

CHANGE_PROPAGATION_S = 3.0
"""Within this time after its acknowledgement a change must be in force at every admitting proxy."""


class ExecutedRequest(msgspec.Struct):
    """One request that an upstream executed; `n` is the number of the attempt."""

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
    """An upstream whose leaving was acknowledged."""

    at: float
    instance: str
    incarnation: int


class ColdRequest(msgspec.Struct):
    """A request that reached an upstream soon after its start; `busy` counts the requests in progress."""

    at: float
    instance: str
    incarnation: int
    age: float
    busy: int


class ZoneEvacuation(msgspec.Struct):
    """The start (`on`) or end of a zone's evacuation; `revision` is None where its outcome is unknown."""

    begun: float
    ended: float
    revision: int | None
    zone: str
    on: bool


class RunHistory:
    """All that users and upstreams observed in one run; the checks read nothing else."""

    def __init__(self):
        self.ran: list[tuple[float, str, int]] = []
        self.told: list[tuple[float, str, int, str]] = []
        self.served: list[ExecutedRequest] = []
        self.left: list[UpstreamDeparture] = []
        self.cold: list[ColdRequest] = []
        self.offers: list[OfferedConfiguration] = []
        self.zones: list[ZoneEvacuation] = []
        self.coord = history.CoordinationHistory([], [], [], [])
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
        self.recorder = HistoryRecorder()

    def figures(self) -> dict[str, int]:
        """Counts of the records, and of outcomes of requests."""
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


def check(run: RunHistory) -> list[str]:
    """Returns the findings of all checks in this module."""
    return [
        *executed_at_most_once(run),
        *not_run_requests_never_execute(run),
        *admission_uses_current_revision(run),
        *revisions_never_decrease(run),
        *reads_show_acknowledged_changes(run),
        *one_lock_holder(run),
        *numbers_increase(run),
        *watchers_see_every_event(run),
        *linearizability.check(run.recorder.operations).findings(),
    ]


def executed_at_most_once(run: RunHistory) -> list[str]:
    """No keyed request runs more than once."""
    count: dict[str, int] = defaultdict(int)
    for _, key, _ in run.ran:
        count[key] += 1
    return [f"key {k} ran {n} times" for k, n in count.items() if n > 1]


def not_run_requests_never_execute(run: RunHistory) -> list[str]:
    """No request answered as not run has run by then or by that attempt; each request answered as done has run."""
    runs = {key: (time, attempt) for time, key, attempt in run.ran}
    findings = []
    for time, key, attempt, outcome in run.told:
        if outcome != "not-run" or key not in runs:
            continue
        ran_at, ran_by = runs[key]
        if ran_at <= time or ran_by <= attempt:
            findings.append(f"key {key} try {attempt} told not-run at {time:.2f}, ran at {ran_at:.2f} by try {ran_by}")
    done = {key for _, key, _, outcome in run.told if outcome == "done"}
    return findings + [f"key {k} told done and never ran" for k in done if k not in runs]


def admission_uses_current_revision(run: RunHistory) -> list[str]:
    """No proxy admits requests by a revision older than one acknowledged `CHANGE_PROPAGATION_S` before."""
    acked = sorted([(t, r) for _, t, r, _ in run.changes] + [(t, r) for _, t, r in run.evacuations])
    findings, newest, passed = [], 0, 0
    for time, addr, revision, _ in sorted(run.admitted, key=lambda row: row[0]):
        while passed < len(acked) and acked[passed][0] <= time - CHANGE_PROPAGATION_S:
            newest = max(newest, acked[passed][1])
            passed += 1
        if revision < newest:
            findings.append(
                f"{addr} admits at {time:.2f} by {revision}, "
                f"{newest} was acknowledged over {CHANGE_PROPAGATION_S} s ago"
            )
    return findings


def revisions_never_decrease(run: RunHistory) -> list[str]:
    """The revision by which a proxy admits requests never decreases."""
    last: dict = {}
    findings = []
    for time, addr, revision, _ in run.admitted:
        if revision < last.get(addr, 0):
            findings.append(f"{addr} slips from {last[addr]} to {revision} at {time:.2f}")
        last[addr] = max(revision, last.get(addr, 0))
    return findings


def reads_show_acknowledged_changes(run: RunHistory) -> list[str]:
    """A read shows all changes acknowledged before it began, with their content; no revision is assigned twice."""
    findings = []
    docs = {r: d for _, _, r, d in run.changes}
    for begun, time, revision, doc in run.reads:
        newest = max((r for _, acked, r, _ in run.changes if acked <= begun), default=0)
        if revision < newest:
            findings.append(f"read at {time:.2f} shows {revision}, {newest} was acknowledged before")
        if revision in docs and docs[revision] != doc:
            findings.append(f"revision {revision} holds another configuration than acknowledged")
    revisions = [r for _, _, r, _ in run.changes]
    return findings + [f"revision {r} was given twice" for r in set(revisions) if revisions.count(r) > 1]


def one_lock_holder(run: RunHistory) -> list[str]:
    """No two holders hold the lock at once, and fencing tokens increase."""
    findings, last = [], None
    for hold in sorted(run.holds):
        if last is not None and hold[0] < last[1] and hold[3] != last[3]:
            findings.append(f"{hold[3]} holds from {hold[0]:.2f} while {last[3]} holds until {last[1]:.2f}")
        if last is not None and hold[2] <= last[2]:
            findings.append(f"token {hold[2]} after {last[2]}")
        last = hold
    return findings


def numbers_increase(run: RunHistory) -> list[str]:
    """No number is given twice, and numbers increase in real-time order."""
    findings, seen = [], set()
    for _, _, number in run.numbers:
        if number in seen:
            findings.append(f"number {number} was given twice")
        seen.add(number)
    by_end = sorted(run.numbers, key=lambda row: row[1])
    for begun, _, number in run.numbers:
        before = [x[2] for x in by_end if x[1] < begun]
        if before and max(before) >= number:
            findings.append(f"number {number} asked at {begun:.2f} after {max(before)} was given")
    return findings


def watchers_see_every_event(run: RunHistory) -> list[str]:
    """A watcher sees events once and in order, and misses none unless the log was compacted before it."""
    findings = []
    by_watcher: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for time, who, revision, _ in run.watched:
        by_watcher[who].append((time, revision))
    for who, rows in by_watcher.items():
        revisions = [r for _, r in rows]
        if revisions != sorted(set(revisions)):
            findings.append(f"{who} saw events twice or out of order")
        if any(w == who for _, w, _ in run.compacted):
            continue
        last, seen = revisions[-1], set(revisions)
        missing = [r for _, _, r, _ in run.puts if r < last and r not in seen]
        findings += [f"{who} missed {r}" for r in missing]
    return findings
