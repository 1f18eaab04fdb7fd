"""What must hold of a soak, judged by what clients and upstreams wrote and what became of each act."""

from __future__ import annotations

import enum
from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path

import msgspec

from mallowvalve.localfleet.fleet import FleetProcess, LocalFleet

SETTLED_S = 4.0
"""A proxy counts as steady after so long without any act on it: every directory knows it, clients hold it (s)."""

HELD_S = 9.0
"""For how long a client may go by an answer: three times its life (s)."""

AFTER_TROUBLE_S = 15.0
"""For how long after trouble in the fleet planned work is not judged for where it led clients (s)."""

LEAKED = 40
"""Descriptors by which a process may end above the highest of its role at the beginning: its peers reconnect."""

NO_ANSWER = 0
NOT_TAKEN = ("ConnectionRefusedError", "no proxy")


class What(enum.StrEnum):
    """What became of an act."""

    TOLD = "told"
    ENDED = "ended"
    FAILED = "failed"
    OVERDUE = "overdue"
    TROUBLE = "trouble"
    STALL = "stall"
    UNREADY = "unready"
    READY = "ready"
    NOT_READY = "not ready"
    EVACUATED = "evacuated"
    GIVEN_BACK = "given back"


class Event(msgspec.Struct, frozen=True):
    """Something that became of an act, at a moment of the wall clock (s); `value` is seconds or an exit code."""

    at: float
    what: What
    who: str
    value: float = 0.0


class Levels(msgspec.Struct, frozen=True):
    """Open descriptors by process, before the load and after it."""

    before: dict[str, int]
    after: dict[str, int]


class Spans:
    """When each process was disturbed: told, killed, frozen or unready, until it was ready again; zones alike.

    A stall of the whole machine is trouble, as a kill is: it stops every process, and the judge's own thread.
    """

    def __init__(self, events: Iterable[Event]):
        """Read the events; a process that never became ready is disturbed to the end."""
        self.by: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.trouble: list[float] = []
        open_at: dict[str, float] = {}
        for event in sorted(events, key=lambda e: e.at):
            if event.what in (What.TOLD, What.TROUBLE, What.EVACUATED, What.UNREADY):
                open_at.setdefault(event.who, event.at)
            if event.what in (What.TROUBLE, What.STALL):
                self.trouble.append(event.at)
            if event.what in (What.READY, What.GIVEN_BACK) and event.who in open_at:
                self.by[event.who].append((open_at.pop(event.who), event.at))
        for who, at in open_at.items():
            self.by[who].append((at, float("inf")))

    def steady(self, process: FleetProcess, begin: float, end: float) -> bool:
        """Whether nothing was done to a process or its zone between two moments, nor shortly before."""
        disturbed = [*self.by.get(process.name, []), *self.by.get(process.locality.partition("/")[2], [])]
        return not any(a <= end and b >= begin - SETTLED_S for a, b in disturbed)

    def stopping(self, name: str, at: float) -> bool:
        """Whether a process was being stopped or started at a moment."""
        return any(a <= at <= b for a, b in self.by.get(name, []))

    def calm(self, at: float) -> bool:
        """Whether there was no trouble anywhere lately."""
        i = bisect_right(self.trouble, at)
        return i == 0 or self.trouble[i - 1] < at - AFTER_TROUBLE_S


def judge_soak(fleet: LocalFleet, events: list[Event], asked: list[dict], ran: list[dict], levels: Levels) -> list[str]:
    """All that must hold of a soak beside what holds of any trial."""
    spans = Spans([*events, *unready(Path(fleet.folder), [p.name for p in fleet.with_role("proxy")])])
    proxies = {f"127.0.0.1:{p.web_port}": p for p in fleet.with_role("proxy")}
    return [
        *ends(events),
        *cut_while_run(spans, proxies, asked, ran),
        *led_elsewhere(spans, proxies, homes(fleet), asked),
        *cried(Path(fleet.folder)),
        *leaks(levels, {p.name: p.role for p in fleet.processes.values()}),
    ]


def unready(folder: Path, names: Iterable[str]) -> list[Event]:
    """When processes said that they take no work, and when they did again, by their own logs."""
    kinds = {"unready": What.UNREADY, "ready": What.READY}
    out = []
    for name in names:
        path = folder / name / "log"
        for line in path.read_bytes().splitlines() if path.exists() else []:
            with suppress(msgspec.DecodeError):
                row = msgspec.json.decode(line)
                if row.get("message_type") in kinds:
                    out.append(Event(row["timestamp"], kinds[row["message_type"]], name))
    return out


def homes(fleet: LocalFleet) -> dict[str, set[str]]:
    """The homes of each tenant that has any, by the shape's configuration."""
    tenants = [one for cell in fleet.shape.config["cells"].values() for one in cell["tenants"].items()]
    return {name: set(tenant["homes"]) for name, tenant in tenants if tenant.get("homes")}


def ends(events: Iterable[Event]) -> list[str]:
    """Each process that was told to stop ends by itself, in its grace, with code 0, and its next life becomes ready."""
    said = {
        What.FAILED: "ended with code {:.0f}",
        What.OVERDUE: "had not ended {:.1f} s after it was told to",
        What.NOT_READY: "was not ready again",
    }
    return [f"{e.who} {said[e.what].format(e.value)}" for e in events if e.what in said]


def cut_while_run(spans: Spans, proxies: dict[str, FleetProcess], asked: list[dict], ran: list[dict]) -> list[str]:
    """No connection ends without an answer after an upstream began to work on its request, but in trouble."""
    runs: dict[str, list[float]] = defaultdict(list)
    for row in ran:
        runs[row["request"]].append(row["at"])
    out = []
    for row in asked:
        times = sorted(runs.get(row["id"], []))
        for status, error, began, ended, by in row["tries"]:
            if status != NO_ANSWER or error in NOT_TAKEN or not spans.calm(ended):
                continue
            i = bisect_left(times, began)
            if i < len(times) and times[i] <= ended:
                who = proxies[by].name if by in proxies else by
                stop = "while it stopped" if spans.stopping(who, ended) else "while nothing was done to it"
                out.append(f"request {row['id']} ran and was cut by {who} {stop}: {error} after {ended - began:.2f} s")
    return _few(out, "requests were cut while an upstream ran them")


def led_elsewhere(
    spans: Spans, proxies: dict[str, FleetProcess], homes_of: dict[str, set[str]], asked: list[dict]
) -> list[str]:
    """Planned work leads nobody to another region while one that may serve was steady as long as answers are held."""
    out = []
    for row in asked:
        for _, _, began, _, by in row["tries"]:
            if by not in proxies or not spans.calm(began):
                continue
            allowed = {row["from"].partition("/")[0], *homes_of.get(row["tenant"], ())}
            if _region(proxies[by]) in allowed:
                continue
            there = [p for p in proxies.values() if _region(p) in allowed]
            steady = [p.name for p in there if spans.steady(p, began - HELD_S, began)]
            if steady:
                out.append(f"{row['id']} from {row['from']} went to {proxies[by].name}, {steady[0]} was steady")
    return _few(out, "requests were led to another region")


def _region(process: FleetProcess) -> str:
    return process.locality.partition("/")[0]


def cried(folder: Path) -> list[str]:
    """Nothing wrote a traceback, and no vital task died."""
    out = []
    for path in sorted(folder.rglob("*.err")):
        if "Traceback" in path.read_text(errors="replace"):
            out.append(f"a traceback in {path.name}")
    for path in sorted(folder.glob("*/log")):
        if '"task_died"' in path.read_text(errors="replace"):
            out.append(f"a task died: {path}")
    return out


def leaks(levels: Levels, roles: dict[str, str]) -> list[str]:
    """Descriptors are level at the end."""
    most: dict[str, int] = {}
    for name, count in levels.before.items():
        most[roles[name]] = max(count, most.get(roles[name], 0))
    return [
        f"{name} holds {count} descriptors, its role {most[roles[name]]} at the beginning"
        for name, count in levels.after.items()
        if roles[name] in most and count > most[roles[name]] + LEAKED
    ]


def _few(found: list[str], what: str) -> list[str]:
    """A count and the first of many alike."""
    return [f"{len(found)} {what}, first: {found[0]}"] if found else []
