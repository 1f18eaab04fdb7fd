"""Checks on the records of a core's API clients; tests/test_order_checks.py shows that each finds a planted fault."""

from __future__ import annotations

from collections import defaultdict

from sim import order_history, pages
from sim.orders import ClientRecords, ItemsRead, ItemUpdate, LockRequest, NumberRequest, WatchedEvent, ZoneUpdate

# How long after a cut began a node without a majority may still confirm each kind of answer: requests in flight, and
# for a heartbeat the time since the leader's last message.
CONFIRMATION_BOUND_S = {"order": 0.3, "read": 0.3, "beat": 3.0}
# How far a watch's answer may lag behind confirmed puts.
WATCH_LAG_LIMIT_S = 1.0
# How long a returned node may take to apply all that was committed at its return.
CATCH_UP_LIMIT_S = 12.0
# How long after a loss within the fault budget an update must be confirmed.
RECOVERY_LIMIT_S = 8.0
# How long after its caller's last attempt ended an acquisition may still be applied.
LATE_APPLY_LIMIT_S = 1.0
# Allowance for the error of the fleet clock.
CLOCK_SLACK_S = 0.1
LATE_READ_MARK = " (a call read after its caller gave it up)"


def check(records: ClientRecords) -> list[str]:
    """Returns the findings of all checks on a run."""
    return [
        *version_has_one_content(records),
        *reads_show_confirmed_updates(records),
        *confirmed_updates_are_not_refused(records),
        *reads_show_evacuations(records),
        *reads_show_notices(records),
        *one_lock_holder(records),
        *refusals_have_a_holder(records),
        *numbers_are_drawn_once(records),
        *key_operations_are_ordered(records),
        *watchers_see_every_event(records),
        *watch_answers_are_fresh(records),
        *isolated_nodes_confirm_nothing(records),
        *returned_nodes_catch_up(records),
        *updates_resume_after_losses(records),
        *order_history.findings(records),
    ]


def version_has_one_content(records: ClientRecords) -> list[str]:
    """One version has one confirmed content, unless a higher version began before the last of them ended."""
    findings = []
    highest: dict[str, list[ItemUpdate]] = defaultdict(list)
    by: dict[tuple[str, int], list[ItemUpdate]] = defaultdict(list)
    for update in records.orders:
        highest[update.name].append(update)
        if update.status == pages.OK:
            by[update.name, update.version].append(update)
    for (name, version), some in by.items():
        if len({update.content for update in some}) < 2:
            continue
        last = max(update.ended for update in some)
        if any(other_update.version > version and other_update.begun < last for other_update in highest[name]):
            continue
        findings.append(f"{name} version {version}: {len({x.content for x in some})} contents were confirmed")
    return findings


def reads_show_confirmed_updates(records: ClientRecords) -> list[str]:
    """A read begun after a confirmation shows that version and content, or the result of a higher version."""
    findings: dict[tuple, str] = {}
    acked = sorted((update for update in records.orders if update.status == pages.OK), key=lambda update: update.ended)
    newest: dict[str, ItemUpdate] = {}
    done = 0
    for read in sorted(records.reads, key=lambda read: read.begun):
        while done < len(acked) and acked[done].ended < read.begun:
            update = acked[done]
            done += 1
            if update.name not in newest or update.version > newest[update.name].version:
                newest[update.name] = update
        for name, update in newest.items():
            wrong = _read_error(records, update, read)
            if wrong:
                findings.setdefault((name, update.version), f"read at {read.begun:.2f} by {read.by} {wrong}")
    return list(findings.values())


def _read_error(records: ClientRecords, update: ItemUpdate, read: ItemsRead) -> str:
    """How a read contradicts a confirmed update; empty if it does not."""
    shown = read.rows.get(update.name)
    if shown is None:
        dropped = update.content is None or any(
            other_update.content is None and other_update.version >= update.version and other_update.begun < read.ended
            for other_update in records.by_name(update.name)
        )
        return "" if dropped else f"lacks {update.name}, confirmed at {update.version}"
    if shown[0] < update.version:
        return f"shows {update.name} {shown[0]}, {update.version} was confirmed before"
    if shown == (update.version, update.content) or shown[0] > update.version or _overtaken(records, update):
        return ""
    return f"shows {update.name} {update.version} as {shown[1]}, not {update.content}"


def _overtaken(records: ClientRecords, update: ItemUpdate) -> bool:
    """Whether a higher version began before this update ended; the update may then be confirmed as superseded."""
    return any(
        other_update.version > update.version and other_update.begun < update.ended
        for other_update in records.by_name(update.name)
    )


def confirmed_updates_are_not_refused(records: ClientRecords) -> list[str]:
    """An update that was confirmed or read back is not refused when it is sent again."""
    findings = []
    confirmed: dict[tuple, float] = {}
    for update in records.orders:
        key = update.name, update.version, update.content
        if update.status == pages.OK and not _overtaken(records, update):
            confirmed[key] = min(confirmed.get(key, update.ended), update.ended)
    shown: set[tuple] = {
        (name, version, content) for read in records.reads for name, (version, content) in read.rows.items()
    }
    for update in records.orders:
        if update.status not in (pages.CONFLICT, pages.INVALID):
            continue
        key = update.name, update.version, update.content
        if key in shown:
            findings.append(
                f"{update.who}: {update.name} {update.version} was refused ({update.status}) "
                f"at {update.ended:.2f} and is read back"
            )
        elif key in confirmed:
            findings.append(
                f"{update.who}: {update.name} {update.version} was refused ({update.status}) "
                f"at {update.ended:.2f} and confirmed besides"
            )
    return findings


def reads_show_evacuations(records: ClientRecords) -> list[str]:
    """A read shows the zone's last acknowledged evacuation or end, until its operator's next update."""
    findings = []
    by: dict[str, list[ZoneUpdate]] = defaultdict(list)
    for zone_update in records.zones:
        by[zone_update.zone].append(zone_update)
    for zone, rows in by.items():
        rows.sort(key=lambda zone_update: zone_update.begun)
        for zone_update, after in zip(rows, [*rows[1:], None], strict=True):
            end = after.begun if after is not None else float("inf")
            wrong = [
                read
                for read in records.reads
                if zone_update.acked
                and zone_update.ended < read.begun
                and read.ended < end
                and (zone in read.evacuated) != zone_update.on
            ]
            if wrong:
                what = "evacuated" if zone_update.on else "given back"
                findings.append(
                    f"{zone} {what}, acknowledged at {zone_update.ended:.2f}; "
                    f"{wrong[0].by} shows otherwise at {wrong[0].begun:.2f}"
                    + _late_read_mark(records, zone, zone_update.begun, wrong[0].begun)
                )
    return findings


def _late_read_mark(records: ClientRecords, name: str, begin: float, end: float) -> str:
    """A mark for findings that a node may have caused by reading a call after its caller gave up."""
    return (
        LATE_READ_MARK
        if any(request.name == name and begin <= request.at <= end for request in records.late_reads)
        else ""
    )


def reads_show_notices(records: ClientRecords) -> list[str]:
    """No read begun after an upstream's acknowledged notice shows an earlier state of it."""
    findings = []
    for notice in records.notices:
        bad = ("ready", "silent") if notice.state == "leaving" else ("ready", "silent", "leaving")
        wrong = next(
            (
                read
                for read in records.reads
                if read.begun > notice.acked and read.upstreams.get(notice.instance) in bad
            ),
            None,
        )
        if wrong is not None:
            findings.append(
                f"{notice.instance} {notice.state}, acknowledged at {notice.acked:.2f}; "
                f"{wrong.by} shows {wrong.upstreams[notice.instance]}"
            )
    return findings


def one_lock_holder(records: ClientRecords) -> list[str]:
    """No two holders consider themselves to hold a lock at once, and fencing tokens increase."""
    findings, last = [], {}
    for hold in sorted(records.held, key=lambda hold: hold.start):
        previous = last.get(hold.name)
        if previous is not None and hold.start < previous.end:
            findings.append(
                f"{hold.holder} holds {hold.name} from {hold.start:.2f} "
                f"while {previous.holder} holds it until {previous.end:.2f}"
            )
        if previous is not None and hold.token <= previous.token:
            findings.append(f"token {hold.token} of {hold.name} after {previous.token}")
        if previous is None or hold.end > previous.end:
            last[hold.name] = hold
    return findings


def refusals_have_a_holder(records: ClientRecords) -> list[str]:
    """An acquisition is refused only while another holder may hold the lock.

    An acquisition given up may hold until its end, plus `LATE_APPLY_LIMIT_S` in which the core may still apply it, plus
    the lease. A refusal after that shows an acquisition that was applied too late.
    """
    findings = []
    for request in (request for request in records.takes if request.status == pages.CONFLICT):
        others = (
            other
            for other in records.takes
            if other.name == request.name and other is not request and other.begun < request.ended
        )
        if not any(_may_hold(other, request.begun) for other in others):
            findings.append(
                f"{request.holder} is refused {request.name} at {request.begun:.2f}, which nobody holds: a late take"
                + _late_read_mark(records, request.name, request.begun - request.hold_s - 1.0, request.begun)
            )
    return findings


def _may_hold(other: LockRequest, at: float) -> bool:
    if other.ended == float("inf"):
        return True
    end = 0.0
    if other.status == pages.OK:
        end = other.freed if other.freed is not None else other.ended + other.hold_s
    if other.unsure is not None:
        begins = other.unsure + LATE_APPLY_LIMIT_S
        end = max(end, begins + other.hold_s if other.freed is None or other.freed < begins else other.freed)
    return at < end + CLOCK_SLACK_S


def numbers_are_drawn_once(records: ClientRecords) -> list[str]:
    """Numbers increase in real-time order, none is given twice, and each call draws at most one."""
    findings = []
    by_name: dict[str, list[NumberRequest]] = defaultdict(list)
    for request in records.numbers:
        by_name[request.name].append(request)
    for name, rows in by_name.items():
        answered = sorted((request for request in rows if request.value), key=lambda request: request.value)
        for lower, higher in zip(answered, answered[1:], strict=False):
            if lower.value == higher.value:
                findings.append(f"number {name} {lower.value} was given twice")
            if higher.ended < lower.begun:
                findings.append(
                    f"number {name} {lower.value} was asked at {lower.begun:.2f} after {higher.value} was given"
                )
        for request in answered:
            asked = sum(other.begun < request.ended and not other.refused for other in rows)
            if request.value > asked:
                findings.append(
                    f"number {name} {request.value} at {request.ended:.2f} after {asked} calls: "
                    "a call was counted twice"
                )
                break
    return findings


def key_operations_are_ordered(records: ClientRecords) -> list[str]:
    """Reads show the last confirmed put, a conditional put directly follows its base, and a revision has one value."""
    findings = []
    puts = [call for call in records.cells if call.kind == "put" and call.status == pages.OK]
    values: dict[tuple[str, int], str] = {}
    for call in puts:
        first = values.setdefault((call.name, call.revision), call.value)
        if first != call.value:
            findings.append(f"{call.name}: revision {call.revision} was given to {first} and {call.value}")
    for call in puts:
        if call.base is not None:
            between = [p for p in puts if p.name == call.name and call.base < p.revision < call.revision]
            findings += [
                f"{call.name} {call.revision} on base {call.base} was taken over {p.revision}" for p in between[:1]
            ]
    for read in (call for call in records.cells if call.kind == "read" and call.status == pages.OK):
        newest = max((p.revision for p in puts if p.name == read.name and p.ended < read.begun), default=0)
        if read.revision < newest:
            findings.append(f"read of {read.name} at {read.begun:.2f} shows {read.revision}, {newest} was put before")
        if values.get((read.name, read.revision), read.value) != read.value:
            findings.append(f"read of {read.name} at {read.begun:.2f} shows {read.value} at {read.revision}")
        if read.revision and not any(
            p.kind == "put" and p.value == read.value and p.begun < read.ended for p in records.cells
        ):
            findings.append(f"read of {read.name} shows {read.value}, which nobody had put")
    refused = {call.value for call in records.cells if call.kind == "put" and call.status == pages.CONFLICT}
    shown = {call.value for call in records.cells if call.kind == "read"} | {event.value for event in records.events}
    return findings + [
        f"value {v} was refused and is there" for v in sorted(value for value in refused & shown if value)
    ]


def watchers_see_every_event(records: ClientRecords) -> list[str]:
    """Each watcher sees every confirmed put between its first and its last event, once and in order."""
    findings = []
    by_watcher: dict[str, list[WatchedEvent]] = defaultdict(list)
    for event in records.events:
        by_watcher[event.watcher].append(event)
    puts = {call.revision: call.value for call in records.cells if call.kind == "put" and call.status == pages.OK}
    for who, events in by_watcher.items():
        revisions = [event.revision for event in events]
        if revisions != sorted(set(revisions)):
            findings.append(f"{who} saw events twice or out of order")
        seen = {event.revision: event.value for event in events}
        findings += [
            f"{who} missed {revision}"
            for revision in puts
            if revisions[0] < revision < revisions[-1] and revision not in seen
        ][:3]
        findings += [
            f"{who} saw {seen[revision]} at {revision}, it was {value}"
            for revision, value in puts.items()
            if seen.get(revision, value) != value
        ][:3]
    return findings


def watch_answers_are_fresh(records: ClientRecords) -> list[str]:
    """A watch's answer includes all puts confirmed more than `WATCH_LAG_LIMIT_S` before it was requested."""
    findings = []
    puts = sorted(
        (call for call in records.cells if call.kind == "put" and call.status == pages.OK), key=lambda call: call.ended
    )
    newest, done = 0, 0
    for watch in sorted(records.watched, key=lambda watch: watch.begun):
        while done < len(puts) and puts[done].ended < watch.begun - WATCH_LAG_LIMIT_S:
            newest, done = max(newest, puts[done].revision), done + 1
        if watch.revision < newest:
            findings.append(
                f"{watch.by} answers a watch at {watch.begun:.2f} up to {watch.revision}, {newest} was put long before"
            )
    return findings[:5]


def isolated_nodes_confirm_nothing(records: ClientRecords) -> list[str]:
    """A node without a path to a majority confirms nothing after the bound of that kind of answer."""
    findings = []
    for confirmation in records.confirmations:
        for cut in records.cuts:
            bound = CONFIRMATION_BOUND_S[confirmation.kind]
            if (
                confirmation.by in cut.nodes
                and cut.began + bound < confirmation.at <= cut.ended
                and confirmation.begun > cut.began
            ):
                findings.append(
                    f"{confirmation.by} confirmed a {confirmation.kind} at {confirmation.at:.2f}, "
                    f"cut off since {cut.began:.2f}"
                )
    return findings[:5]


def returned_nodes_catch_up(records: ClientRecords) -> list[str]:
    """Each returned node applies within `CATCH_UP_LIMIT_S` all that was committed at its return."""
    return [
        f"{catch_up.node} ({catch_up.how}) back at {catch_up.began:.2f} "
        f"has not caught up with {catch_up.index} after {CATCH_UP_LIMIT_S} s"
        for catch_up in records.catch_ups
        if catch_up.seconds() > CATCH_UP_LIMIT_S
    ]


def updates_resume_after_losses(records: ClientRecords) -> list[str]:
    """After each loss within the fault budget, an update is confirmed within `RECOVERY_LIMIT_S`."""
    return [
        f"{loss.what} at {loss.at:.2f}: nothing confirmed for {RECOVERY_LIMIT_S} s"
        for loss in records.losses
        if loss.confirmed is None or loss.confirmed - loss.at > RECOVERY_LIMIT_S
    ]
