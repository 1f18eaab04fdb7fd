"""Judges departures: directories that name what has long been off, and requests that reach what is leaving."""

from __future__ import annotations

from collections import Counter

from mallowvalve.localfleet.deployed.records import DirectoryAnswer, LongEnd, Records, Run

DRAIN_S = 2.5
"""How long after its acknowledged notice an upstream may still get requests."""

CONTACT_S = 4.0
NAMED_SLACK_S = 3.0
NAMED_AFTER_END_S = CONTACT_S + NAMED_SLACK_S
"""How long after its end a machine may still be named."""

LATE_ANSWERS_ALLOWED = 3


def check_departures(records: Records) -> list[str]:
    """Answers that name ended machines beside running ones, and requests that reach leaving upstreams, too late."""
    found = [
        f"DRAIN: {run.id} reached {run.instance} {late_s:.2f} s after the acknowledgement that it leaves"
        for run, late_s in late_runs(records)
    ]
    late = late_answers(records)
    if len(late) > LATE_ANSWERS_ALLOWED:
        most = max(since for _, _, since in late)
        named = dict(sorted(Counter(end.machine for _, end, _ in late).items()))
        found.append(f"DRAIN: {len(late)} answers named machines up to {most:.1f} s after their end: {named}")
    return found


def late_runs(records: Records) -> list[tuple[Run, float]]:
    """Returns the requests that reached an upstream over `DRAIN_S` after its notice, with that time (s)."""
    acknowledged_at = {leaving.instance: leaving.acknowledged_at for leaving in records.leavings}
    late = [(run, run.at - acknowledged_at[run.instance]) for run in records.runs if run.instance in acknowledged_at]
    return [(run, since) for run, since in late if since > DRAIN_S]


def late_answers(records: Records) -> list[tuple[DirectoryAnswer, LongEnd, float]]:
    """Returns the answers that named an ended machine too late beside a running one, with the time since its end (s).

    An answer that names several counts once, for the machine that ended last.
    """
    late = []
    for answer in records.directory_answers:
        off = [end for end in records.long_ends if end.machine in answer.machines and _is_off(end, answer.at)]
        if not off or {end.machine for end in off} >= set(answer.machines):
            continue
        long_off = [end for end in off if answer.at > end.at + NAMED_AFTER_END_S]
        if long_off:
            last = max(long_off, key=lambda end: end.at)
            late.append((answer, last, answer.at - last.at))
    return late


def departure_statistics(records: Records) -> dict[str, object]:
    """Returns how long after their ends machines were named, and how many requests were late."""
    named = sorted(_named_for(records, end) for end in records.long_ends)
    return {
        "long_ends": len(named),
        "named_after_end_s_p50": round(named[len(named) // 2], 1) if named else None,
        "named_after_end_s_most": round(named[-1], 1) if named else None,
        "late_answers": len(late_answers(records)),
        "leavings": len(records.leavings),
        "late_runs": len(late_runs(records)),
        "view_ages": records.view_ages,
    }


def _is_off(end: LongEnd, at: float) -> bool:
    return end.at < at and (not end.started_at or at < end.started_at)


def _named_for(records: Records, end: LongEnd) -> float:
    """Returns how long after its end a machine was last named (s), 0.0 if never."""
    named = [a.at - end.at for a in records.directory_answers if end.machine in a.machines and _is_off(end, a.at)]
    return max(named, default=0.0)
