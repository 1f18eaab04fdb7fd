"""Checks on what the users of a core were told. Each is shown to fail on a planted breach in tests/test_order_checks.py."""

from __future__ import annotations

from collections import defaultdict

from sim import order_history, pages
from sim.orders import ClientRecords, ItemsRead, ItemUpdate, LockRequest, NumberRequest, WatchedEvent, ZoneUpdate

# How long (s) after a cut began a machine without a majority may still confirm each kind of answer: what was under way,
# and for a plain beat the span since the leader's last word.
SAID_BOUND = {"order": 0.3, "read": 0.3, "beat": 3.0}
# How far (s) a watch's answer may lag behind what was confirmed.
WATCH_BOUND = 1.0
# How long (s) a machine that came back has to hold what was committed as it came.
CATCH_UP = 12.0
# How long (s) after a loss within the budget until an order is confirmed.
RECOVERED = 8.0
# How long (s) after its caller's last call ended a take may still be applied, and a little for the fleet clock.
LATE, SLACK = 1.0, 0.1
READ_LATE = " (a call read after its caller gave it up)"


def check(o: ClientRecords) -> list[str]:
    """Every finding in a run."""
    return [
        *never_two_under_one_version(o),
        *confirmed_is_read_back(o),
        *taken_is_never_refused(o),
        *evacuations_stay(o),
        *notices_stay(o),
        *one_holder(o),
        *no_late_hold(o),
        *numbers_count_calls(o),
        *cells_in_order(o),
        *watchers_miss_nothing(o),
        *watches_are_young(o),
        *cut_side_confirms_nothing(o),
        *caught_up(o),
        *majority_left(o),
        *order_history.findings(o),
    ]


def never_two_under_one_version(o: ClientRecords) -> list[str]:
    """Two contents under one version are both confirmed only where a higher version overtook them before the later end."""
    out = []
    highest: dict[str, list[ItemUpdate]] = defaultdict(list)
    by: dict[tuple[str, int], list[ItemUpdate]] = defaultdict(list)
    for x in o.orders:
        highest[x.name].append(x)
        if x.status == pages.OK:
            by[x.name, x.version].append(x)
    for (name, version), some in by.items():
        if len({x.content for x in some}) < 2:
            continue
        last = max(x.ended for x in some)
        if any(y.version > version and y.begun < last for y in highest[name]):
            continue
        out.append(f"{name} version {version}: {len({x.content for x in some})} contents were confirmed")
    return out


def confirmed_is_read_back(o: ClientRecords) -> list[str]:
    """A read begun after a confirmation shows that version with that content, or what a higher one made of it."""
    out: dict[tuple, str] = {}
    acked = sorted((x for x in o.orders if x.status == pages.OK), key=lambda x: x.ended)
    newest: dict[str, ItemUpdate] = {}
    done = 0
    for r in sorted(o.reads, key=lambda r: r.begun):
        while done < len(acked) and acked[done].ended < r.begun:
            x = acked[done]
            done += 1
            if x.name not in newest or x.version > newest[x.name].version:
                newest[x.name] = x
        for name, x in newest.items():
            wrong = _not_read_back(o, x, r)
            if wrong:
                out.setdefault((name, x.version), f"read at {r.begun:.2f} by {r.by} {wrong}")
    return list(out.values())


def _not_read_back(o: ClientRecords, x: ItemUpdate, r: ItemsRead) -> str:
    """What a read shows of a confirmed order's item that it must not; empty if all is well."""
    shown = r.rows.get(x.name)
    if shown is None:
        dropped = x.content is None or any(
            y.content is None and y.version >= x.version and y.begun < r.ended for y in o.by_name(x.name)
        )
        return "" if dropped else f"lacks {x.name}, confirmed at {x.version}"
    if shown[0] < x.version:
        return f"shows {x.name} {shown[0]}, {x.version} was confirmed before"
    if shown == (x.version, x.content) or shown[0] > x.version or _overtaken(o, x):
        return ""
    return f"shows {x.name} {x.version} as {shown[1]}, not {x.content}"


def _overtaken(o: ClientRecords, x: ItemUpdate) -> bool:
    """Whether a higher version was under way before this order's end: it may have been confirmed as overtaken."""
    return any(y.version > x.version and y.begun < x.ended for y in o.by_name(x.name))


def taken_is_never_refused(o: ClientRecords) -> list[str]:
    """An order that was confirmed or read back is not refused when it is sent again."""
    out = []
    confirmed: dict[tuple, float] = {}
    for x in o.orders:
        key = x.name, x.version, x.content
        if x.status == pages.OK and not _overtaken(o, x):
            confirmed[key] = min(confirmed.get(key, x.ended), x.ended)
    shown: set[tuple] = {(n, v, c) for r in o.reads for n, (v, c) in r.rows.items()}
    for x in o.orders:
        if x.status not in (pages.CONFLICT, pages.INVALID):
            continue
        key = x.name, x.version, x.content
        if key in shown:
            out.append(f"{x.who}: {x.name} {x.version} was refused ({x.status}) at {x.ended:.2f} and is read back")
        elif key in confirmed:
            out.append(f"{x.who}: {x.name} {x.version} was refused ({x.status}) at {x.ended:.2f} and confirmed besides")
    return out


def evacuations_stay(o: ClientRecords) -> list[str]:
    """What one operator had acknowledged last is what a read shows until it orders again."""
    out = []
    by: dict[str, list[ZoneUpdate]] = defaultdict(list)
    for z in o.zones:
        by[z.zone].append(z)
    for zone, rows in by.items():
        rows.sort(key=lambda z: z.begun)
        for z, after in zip(rows, [*rows[1:], None], strict=True):
            end = after.begun if after is not None else float("inf")
            wrong = [
                r for r in o.reads if z.acked and z.ended < r.begun and r.ended < end and (zone in r.evacuated) != z.on
            ]
            if wrong:
                what = "evacuated" if z.on else "given back"
                out.append(
                    f"{zone} {what}, acknowledged at {z.ended:.2f}; {wrong[0].by} shows otherwise at {wrong[0].begun:.2f}"
                    + _read_late(o, zone, z.begun, wrong[0].begun)
                )
    return out


def _read_late(o: ClientRecords, name: str, begin: float, end: float) -> str:
    """Marks a finding that a call brought about which a machine read after its caller had given it up."""
    return READ_LATE if any(x.name == name and begin <= x.at <= end for x in o.late_reads) else ""


def notices_stay(o: ClientRecords) -> list[str]:
    """An upstream whose leaving was acknowledged is shown as ready by no read begun afterwards."""
    out = []
    for n in o.notices:
        bad = ("ready", "silent") if n.state == "leaving" else ("ready", "silent", "leaving")
        wrong = next((r for r in o.reads if r.begun > n.acked and r.upstreams.get(n.instance) in bad), None)
        if wrong is not None:
            out.append(
                f"{n.instance} {n.state}, acknowledged at {n.acked:.2f}; {wrong.by} shows {wrong.upstreams[n.instance]}"
            )
    return out


def one_holder(o: ClientRecords) -> list[str]:
    """Nobody believes to hold a lock while another does, and tokens rise."""
    out, last = [], {}
    for h in sorted(o.held, key=lambda h: h.start):
        y = last.get(h.name)
        if y is not None and h.start < y.end:
            out.append(f"{h.holder} holds {h.name} from {h.start:.2f} while {y.holder} holds it until {y.end:.2f}")
        if y is not None and h.token <= y.token:
            out.append(f"token {h.token} of {h.name} after {y.token}")
        if y is None or h.end > y.end:
            last[h.name] = h
    return out


def no_late_hold(o: ClientRecords) -> list[str]:
    """A refusal is for a hold that somebody was granted, or whose taking was still under way when it could begin.

    A call that its holder gave up can hold from its end, the time that it may still run in the core (`LATE`), and the
    length of the hold; a refusal after that is for a take that came late.
    """
    out = []
    for t in (t for t in o.takes if t.status == pages.CONFLICT):
        others = (x for x in o.takes if x.name == t.name and x is not t and x.begun < t.ended)
        if not any(_may_hold(x, t.begun) for x in others):
            out.append(
                f"{t.holder} is refused {t.name} at {t.begun:.2f}, which nobody holds: a late take"
                + _read_late(o, t.name, t.begun - t.hold_s - 1.0, t.begun)
            )
    return out


def _may_hold(x: LockRequest, at: float) -> bool:
    if x.ended == float("inf"):
        return True
    end = 0.0
    if x.status == pages.OK:
        end = x.freed if x.freed is not None else x.ended + x.hold_s
    if x.unsure is not None:
        begins = x.unsure + LATE
        end = max(end, begins + x.hold_s if x.freed is None or x.freed < begins else x.freed)
    return at < end + SLACK


def numbers_count_calls(o: ClientRecords) -> list[str]:
    """Numbers rise, none is given twice, and each call counts once at most."""
    out = []
    by: dict[str, list[NumberRequest]] = defaultdict(list)
    for n in o.numbers:
        by[n.name].append(n)
    for name, rows in by.items():
        told = sorted((n for n in rows if n.value), key=lambda n: n.value)
        for a, b in zip(told, told[1:], strict=False):
            if a.value == b.value:
                out.append(f"number {name} {a.value} was given twice")
            if b.ended < a.begun:
                out.append(f"number {name} {a.value} was asked at {a.begun:.2f} after {b.value} was given")
        for n in told:
            asked = sum(x.begun < n.ended and not x.refused for x in rows)
            if n.value > asked:
                out.append(f"number {name} {n.value} at {n.ended:.2f} after {asked} calls: a call was counted twice")
                break
    return out


def cells_in_order(o: ClientRecords) -> list[str]:
    """Reads show what was put last, puts on a base only follow that base, and one revision has one value."""
    out = []
    puts = [c for c in o.cells if c.kind == "put" and c.status == pages.OK]
    values: dict[tuple[str, int], str] = {}
    for c in puts:
        had = values.setdefault((c.name, c.revision), c.value)
        if had != c.value:
            out.append(f"{c.name}: revision {c.revision} was given to {had} and {c.value}")
    for c in puts:
        if c.base is not None:
            between = [p for p in puts if p.name == c.name and c.base < p.revision < c.revision]
            out += [f"{c.name} {c.revision} on base {c.base} was taken over {p.revision}" for p in between[:1]]
    for r in (c for c in o.cells if c.kind == "read" and c.status == pages.OK):
        newest = max((p.revision for p in puts if p.name == r.name and p.ended < r.begun), default=0)
        if r.revision < newest:
            out.append(f"read of {r.name} at {r.begun:.2f} shows {r.revision}, {newest} was put before")
        if values.get((r.name, r.revision), r.value) != r.value:
            out.append(f"read of {r.name} at {r.begun:.2f} shows {r.value} at {r.revision}")
        if r.revision and not any(p.kind == "put" and p.value == r.value and p.begun < r.ended for p in o.cells):
            out.append(f"read of {r.name} shows {r.value}, which nobody had put")
    refused = {c.value for c in o.cells if c.kind == "put" and c.status == pages.CONFLICT}
    shown = {c.value for c in o.cells if c.kind == "read"} | {e.value for e in o.events}
    return out + [f"value {v} was refused and is there" for v in sorted(x for x in refused & shown if x)]


def watchers_miss_nothing(o: ClientRecords) -> list[str]:
    """Each watcher sees every confirmed put between its first and last event once, in order."""
    out = []
    by: dict[str, list[WatchedEvent]] = defaultdict(list)
    for e in o.events:
        by[e.watcher].append(e)
    puts = {c.revision: c.value for c in o.cells if c.kind == "put" and c.status == pages.OK}
    for who, es in by.items():
        revisions = [e.revision for e in es]
        if revisions != sorted(set(revisions)):
            out.append(f"{who} saw events twice or out of order")
        seen = {e.revision: e.value for e in es}
        out += [f"{who} missed {r}" for r in puts if revisions[0] < r < revisions[-1] and r not in seen][:3]
        out += [f"{who} saw {seen[r]} at {r}, it was {v}" for r, v in puts.items() if seen.get(r, v) != v][:3]
    return out


def watches_are_young(o: ClientRecords) -> list[str]:
    """A watch answered by any machine is whole up to what was put more than `WATCH_BOUND` before it was asked."""
    out = []
    puts = sorted((c for c in o.cells if c.kind == "put" and c.status == pages.OK), key=lambda c: c.ended)
    newest, done = 0, 0
    for w in sorted(o.watched, key=lambda w: w.begun):
        while done < len(puts) and puts[done].ended < w.begun - WATCH_BOUND:
            newest, done = max(newest, puts[done].revision), done + 1
        if w.revision < newest:
            out.append(f"{w.by} answers a watch at {w.begun:.2f} up to {w.revision}, {newest} was put long before")
    return out[:5]


def cut_side_confirms_nothing(o: ClientRecords) -> list[str]:
    """A machine without a path to a majority confirms nothing beyond the bound of that kind of answer."""
    out = []
    for s in o.confirmations:
        for c in o.cuts:
            bound = SAID_BOUND[s.kind]
            if s.by in c.machines and c.began + bound < s.at <= c.ended and s.begun > c.began:
                out.append(f"{s.by} confirmed a {s.kind} at {s.at:.2f}, cut off since {c.began:.2f}")
    return out[:5]


def caught_up(o: ClientRecords) -> list[str]:
    """Each machine that came back holds within `CATCH_UP` what was committed as it came."""
    return [
        f"{c.machine} ({c.how}) back at {c.began:.2f} has not caught up with {c.index} after {CATCH_UP} s"
        for c in o.catch_ups
        if c.seconds() > CATCH_UP
    ]


def majority_left(o: ClientRecords) -> list[str]:
    """After each loss within the budget, an order is confirmed within `RECOVERED`."""
    return [
        f"{x.what} at {x.at:.2f}: nothing confirmed for {RECOVERED} s"
        for x in o.losses
        if x.confirmed is None or x.confirmed - x.at > RECOVERED
    ]
