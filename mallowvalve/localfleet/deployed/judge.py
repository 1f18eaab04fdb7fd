"""Judges the records of a soak: requests that were lost, run twice or refused falsely, stops, and the final state."""

from __future__ import annotations

from collections import Counter, defaultdict
from itertools import pairwise

from mallowvalve.localfleet.deployed.judge_coordination import check_coordination
from mallowvalve.localfleet.deployed.judge_departures import check_departures, departure_statistics
from mallowvalve.localfleet.deployed.judge_regions import check_regions
from mallowvalve.localfleet.deployed.records import MemoryPeak, Records, RequestEnd, RequestRecord, Stop

LOSS_SLACK_S = 0.2
"""A connection that ends without an answer later than this after the request's last byte was read by its process."""

STOP_TAIL_S = 1.0
"""How long after its grace period a stop still counts as the cause."""

STOP_SLACK_S = 0.5
"""How much later than its grace period a stop may be seen to end, since the platform's signals are late too."""

PROMISES = (408, 421, 429, 503)
"""Statuses that promise that the request did not run."""

SUCCESS = range(200, 300)
CUT_ENDS = (RequestEnd.NOT_SENT, RequestEnd.TIMED_OUT)


def check_records(records: Records, grace_s: float) -> list[str]:
    """Returns all findings; `grace_s` is the grace period of a stop."""
    return [
        *check_faults(records),
        *check_lost(records, grace_s),
        *check_cut(records, grace_s),
        *check_memory(records.memory),
        *check_runs(records),
        *check_answers(records),
        *check_stops(records.stops, grace_s),
        *check_coordination(records),
        *check_regions(records),
        *check_departures(records),
    ]


def check_faults(records: Records) -> list[str]:
    """Processes that ended by themselves, hang, do not become ready or have a failing handler, by their logs."""
    found = [
        f"FAULT: {end.machine} ended by itself with code {end.code}, {end.lasted_s} s after its start: {end.log}"
        for end in records.own_ends
    ]
    found += [f"FAULT: {error.machine} answered 500: {error.log}" for error in records.handler_errors]
    found += [f"FAULT: {hang.machine} gave no answer for {hang.silent_s} s: {hang.log}" for hang in records.hangs]
    found += [f"FAULT: {slow.machine} not ready after {slow.waited_s} s: {slow.log}" for slow in records.slow_starts]
    return found


def check_lost(records: Records, grace_s: float) -> list[str]:
    """Requests whose connection ended without an answer.

    A request that was passed on, or that was read, must be answered; so must the first request of a connection, which
    the kernel had completed: its client could not know that the process stops. A request on a kept connection that
    crosses its close and is not passed on is the client's to repeat.
    """
    ran = {run.id for run in records.runs}
    found = []
    for request in records.requests:
        if request.end is not RequestEnd.NO_ANSWER or _was_killed(records, request):
            continue
        reason = _loss(request, ran)
        if reason is not None:
            found.append(f"LOST: {describe(request, records, grace_s)}: {reason}")
    return found


def check_cut(records: Records, grace_s: float) -> list[str]:
    """Requests that ended before they were sent whole, or got no answer in their client's time, at a calm machine.

    A machine that is held to a share of its processor time may be late. A client that still sends after its deadline
    may be cut.
    """
    ran = {run.id for run in records.runs}
    found = []
    for request in records.requests:
        if request.is_call or request.end not in CUT_ENDS or _was_disturbed(records, request):
            continue
        if request.end is RequestEnd.TIMED_OUT and records.share < 1.0:
            continue
        if request.end is RequestEnd.NOT_SENT and request.ended_at - request.began_at > request.deadline_s:
            continue
        if request.id not in ran and _crossed_close(request):
            continue
        found.append(f"CUT: {describe(request, records, grace_s)}: {request.end}, and its machine was calm")
    return found


def _crossed_close(request: RequestRecord) -> bool:
    """Returns whether the connection may have been closed as idle, or as announced, before the request arrived."""
    ended_at_once = request.ended_at - request.began_at <= LOSS_SLACK_S
    return request.after_close or not request.first and ended_at_once


def _was_disturbed(records: Records, request: RequestRecord) -> bool:
    """Returns whether the machine was stopped, started, killed or suspended while the request lasted."""
    spans = [(stop.machine, stop.signalled_at, stop.ready_at) for stop in records.stops]
    spans += [(kill.machine, kill.at, kill.ready_at) for kill in records.kills]
    spans += [(still.machine, still.at, still.ended_at) for still in records.standstills]
    return any(
        machine == request.machine and begun <= request.ended_at and (not ready or request.began_at <= ready)
        for machine, begun, ready in spans
    )


def check_memory(peaks: list[MemoryPeak]) -> list[str]:
    """Machines whose process took more memory than it may use: the platform kills it."""
    return [
        f"MEMORY: {peak.machine} had {peak.most_mb:.0f} MB resident, {peak.allowed_mb:.0f} at most"
        for peak in peaks
        if peak.most_mb > peak.allowed_mb
    ]


def _loss(request: RequestRecord, ran: set[str]) -> str | None:
    if request.id in ran:
        return "passed on to an upstream"
    if request.after_close:
        return None
    if request.first:
        return "first request of its connection"
    if request.ended_at - request.sent_at > LOSS_SLACK_S:
        return "ended late"
    return None


def _was_killed(records: Records, request: RequestRecord) -> bool:
    overdue = (stop for stop in records.stops if stop.overdue)
    killed_at = [kill.at for kill in records.kills if kill.machine == request.machine]
    killed_at += [stop.ended_at for stop in overdue if stop.machine == request.machine]
    return any(request.began_at <= at <= request.ended_at + LOSS_SLACK_S for at in killed_at)


def describe(request: RequestRecord, records: Records, grace_s: float) -> str:
    """Returns a request with its times, and its place in a stop of its machine."""
    text = (
        f"{request.id} at {request.machine}, {'first' if request.first else 'kept'}, "
        f"{request.ended_at - request.sent_at:.3f} s after its last byte, {request.detail}"
    )
    for stop in records.stops:
        if stop.machine == request.machine and 0 <= request.ended_at - stop.signalled_at <= grace_s + STOP_TAIL_S:
            since, before = request.ended_at - stop.signalled_at, stop.ended_at - request.ended_at
            return f"{text}, {since:.2f} s after SIGTERM, {before:.2f} s before the process's end"
    return text


def check_runs(records: Records) -> list[str]:
    """Requests that ran twice though they may not, and those that ran although a promise says that they did not."""
    requests = {request.id: request for request in records.requests}
    found = []
    for request_id, count in Counter(run.id for run in records.runs).items():
        request = requests.get(request_id)
        if request is None:
            continue
        if count > 1 and not request.repeatable:
            found.append(f"TWICE: {request_id} ran {count} times")
        if not request.repeatable and request.end is RequestEnd.ANSWERED and request.status in PROMISES:
            found.append(f"REFUSED: {request_id} ran, and {request.machine} answered {request.status}")
    return found


def check_answers(records: Records) -> list[str]:
    """Successes that belong to another request."""
    return [
        f"MIXED: {request.id} at {request.machine} got the answer of {request.answered_id or 'none'}"
        for request in records.requests
        if not request.is_call and request.status in SUCCESS and request.answered_id != request.id
    ]


def check_stops(stops: list[Stop], grace_s: float) -> list[str]:
    """Stops that took longer than their grace period or failed, and machines that did not become ready again."""
    found = []
    for stop in stops:
        lasted = stop.ended_at - stop.signalled_at
        if stop.overdue or lasted > grace_s + STOP_SLACK_S:
            found.append(f"STOP: {stop.machine} ran for {lasted:.2f} s after SIGTERM")
        elif stop.code != 0:
            found.append(f"STOP: {stop.machine} ended with code {stop.code}")
        if not stop.ready_at:
            found.append(f"STOP: {stop.machine} did not become ready again")
    return found


def statistics(records: Records) -> dict[str, object]:
    """Returns the figures of a soak."""
    sent = [request for request in records.requests if request.sent_at]
    ran = {run.id for run in records.runs}
    unanswered = [request for request in sent if request.end is RequestEnd.NO_ANSWER and not request.after_close]
    ends = Counter(
        ("call " if request.is_call else "") + (str(request.status) if request.status else request.end.value)
        for request in records.requests
    )
    lasted = sorted(stop.ended_at - stop.signalled_at for stop in records.stops)
    named_s = named_after_stop(records)
    return {
        "requests": sum(not request.is_call for request in sent),
        "calls": sum(request.is_call for request in sent),
        "unanswered": len(unanswered),
        "unanswered_per_10000": round(10_000 * len(unanswered) / max(1, len(sent)), 2),
        "unanswered_first": sum(request.first for request in unanswered),
        "unanswered_passed_on": sum(request.id in ran for request in unanswered),
        "unanswered_late": sum(request.ended_at - request.sent_at > LOSS_SLACK_S for request in unanswered),
        "ends": dict(sorted(ends.items())),
        "memory_mb_most": round(max((peak.most_mb for peak in records.memory), default=0.0), 1),
        "stops": len(records.stops),
        "kills": len(records.kills),
        "own_ends": dict(sorted(Counter(f"{end.machine} code {end.code}" for end in records.own_ends).items())),
        "handler_errors": len(records.handler_errors),
        "hangs": len(records.hangs),
        "slow_starts": len(records.slow_starts),
        "stalls_s": [stall.seconds for stall in records.stalls],
        "stop_s_p50": round(lasted[len(lasted) // 2], 2) if lasted else None,
        "stop_s_most": round(lasted[-1], 2) if lasted else None,
        "named_after_sigterm_s_most": round(max(named_s), 2) if named_s else None,
        "numbers": len(records.numbers),
        "writes": sum(bool(write.revision) for write in records.writes),
        "holds": len(records.holds),
        "watch_events": sum(len(answer.events) for answer in records.watches),
        "changes": sum(bool(change.acknowledged_at) for change in records.changes),
        "changes_without_answer": sum(not change.acknowledged_at for change in records.changes),
        "regions_lost": len(records.region_losses),
        "longest_pause_of_runs_s": _longest_pause(records),
        **departure_statistics(records),
    }


def named_after_stop(records: Records) -> list[float]:
    """Returns, for each stop, how long after its signal a directory still named the machine (s); 0.0 if never."""
    by_machine: dict[str, list[float]] = defaultdict(list)
    for look_up in records.look_ups:
        for name in look_up.machines:
            by_machine[name].append(look_up.at)
    return [
        max(
            (at - stop.signalled_at for at in by_machine[stop.machine] if stop.signalled_at <= at < stop.ended_at),
            default=0.0,
        )
        for stop in records.stops
        if stop.machine in by_machine
    ]


def _longest_pause(records: Records) -> float:
    times = sorted(run.at for run in records.runs)
    return round(max((later - earlier for earlier, later in pairwise(times)), default=0.0), 2)
