"""Checks a soak by the journals of clients and upstreams and by the events that the acts caused."""

from __future__ import annotations

import enum
from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path

import msgspec

from mallowvalve.localfleet.fleet import FleetProcess, LocalFleet

STEADY_S = 4.0
"""The time without acts after which a proxy counts as steady: every directory knows it, clients use it."""

ANSWER_USED_S = 9.0
"""How long a client may use an answer of a directory: three times the answer's lifetime."""

AFTER_TROUBLE_S = 15.0
"""The time after a fault in which cut requests and requests to other regions are not findings."""

DESCRIPTOR_SLACK = 40
"""How many more descriptors a process may have at the end than the maximum of its role at the start.

The allowance is for peers that reconnect.
"""

STATUS_NO_ANSWER = 0
NOT_SENT_ERRORS = ("ConnectionRefusedError", "no proxy")


class SoakEventKind(enum.StrEnum):
    """An effect of an act, or a stall of the machine."""

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


class SoakEvent(msgspec.Struct, frozen=True):
    """An effect of an act on the process or zone `who` at a wall clock time (s); `value` is seconds or an exit code."""

    at: float
    what: SoakEventKind
    who: str
    value: float = 0.0


class DescriptorCounts(msgspec.Struct, frozen=True):
    """Open descriptors of each process before the load and after it."""

    before: dict[str, int]
    after: dict[str, int]


class Disturbances:
    """The time spans in which a process was stopped, killed, suspended or unready, or a zone evacuated.

    A stall of the whole machine counts as a fault like a kill, since it suspends every process, and this one too.
    """

    def __init__(self, events: Iterable[SoakEvent]):
        """Reads the events; a process that never becomes ready again is disturbed until the end."""
        self.spans_by_name: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.fault_times: list[float] = []
        open_at: dict[str, float] = {}
        for event in sorted(events, key=lambda event: event.at):
            if event.what in (
                SoakEventKind.TOLD,
                SoakEventKind.TROUBLE,
                SoakEventKind.EVACUATED,
                SoakEventKind.UNREADY,
            ):
                open_at.setdefault(event.who, event.at)
            if event.what in (SoakEventKind.TROUBLE, SoakEventKind.STALL):
                self.fault_times.append(event.at)
            if event.what in (SoakEventKind.READY, SoakEventKind.GIVEN_BACK) and event.who in open_at:
                self.spans_by_name[event.who].append((open_at.pop(event.who), event.at))
        for name, at in open_at.items():
            self.spans_by_name[name].append((at, float("inf")))

    def was_steady(self, process: FleetProcess, begin: float, end: float) -> bool:
        """Whether a process and its zone were undisturbed from STEADY_S before `begin` until `end`."""
        disturbed = [
            *self.spans_by_name.get(process.name, []),
            *self.spans_by_name.get(process.locality.partition("/")[2], []),
        ]
        return not any(start <= end and stop >= begin - STEADY_S for start, stop in disturbed)

    def was_disturbed(self, name: str, at: float) -> bool:
        """Whether a process was disturbed at a moment."""
        return any(start <= at <= stop for start, stop in self.spans_by_name.get(name, []))

    def is_calm(self, at: float) -> bool:
        """Whether no fault was injected anywhere in the last AFTER_TROUBLE_S."""
        earlier = bisect_right(self.fault_times, at)
        return earlier == 0 or self.fault_times[earlier - 1] < at - AFTER_TROUBLE_S


def check_soak(
    fleet: LocalFleet,
    events: list[SoakEvent],
    asked_rows: list[dict],
    ran_rows: list[dict],
    descriptors: DescriptorCounts,
) -> list[str]:
    """Runs the checks that apply to soaks in addition to those of every trial."""
    proxy_names = [process.name for process in fleet.with_role("proxy")]
    disturbances = Disturbances([*events, *readiness_events(Path(fleet.folder), proxy_names)])
    proxies = {f"127.0.0.1:{process.web_port}": process for process in fleet.with_role("proxy")}
    return [
        *check_stops(events),
        *check_cut_requests(disturbances, proxies, asked_rows, ran_rows),
        *check_regions(disturbances, proxies, tenant_homes(fleet), asked_rows),
        *check_logs(Path(fleet.folder)),
        *check_descriptors(descriptors, {process.name: process.role for process in fleet.processes.values()}),
    ]


def readiness_events(folder: Path, names: Iterable[str]) -> list[SoakEvent]:
    """Returns from the logs of processes when they became unready and ready."""
    kinds = {"unready": SoakEventKind.UNREADY, "ready": SoakEventKind.READY}
    events = []
    for name in names:
        path = folder / name / "log"
        for line in path.read_bytes().splitlines() if path.exists() else []:
            with suppress(msgspec.DecodeError):
                row = msgspec.json.decode(line)
                if row.get("message_type") in kinds:
                    events.append(SoakEvent(row["timestamp"], kinds[row["message_type"]], name))
    return events


def tenant_homes(fleet: LocalFleet) -> dict[str, set[str]]:
    """Returns the home regions of each tenant that has any in the shape's configuration."""
    tenants = [item for cell in fleet.shape.config["cells"].values() for item in cell["tenants"].items()]
    return {name: set(tenant["homes"]) for name, tenant in tenants if tenant.get("homes")}


def check_stops(events: Iterable[SoakEvent]) -> list[str]:
    """Checks that each stopped process ends within its grace period with code 0 and becomes ready after its restart."""
    messages = {
        SoakEventKind.FAILED: "ended with code {:.0f}",
        SoakEventKind.OVERDUE: "had not ended {:.1f} s after it was told to",
        SoakEventKind.NOT_READY: "was not ready again",
    }
    return [f"{event.who} {messages[event.what].format(event.value)}" for event in events if event.what in messages]


def check_cut_requests(
    disturbances: Disturbances, proxies: dict[str, FleetProcess], asked_rows: list[dict], ran_rows: list[dict]
) -> list[str]:
    """Checks that no connection ends without an answer while an upstream runs its request, except after a fault."""
    runs: dict[str, list[float]] = defaultdict(list)
    for row in ran_rows:
        runs[row["request"]].append(row["at"])
    findings = []
    for row in asked_rows:
        times = sorted(runs.get(row["id"], []))
        for status, error, began, ended, address in row["tries"]:
            if status != STATUS_NO_ANSWER or error in NOT_SENT_ERRORS or not disturbances.is_calm(ended):
                continue
            first_run = bisect_left(times, began)
            if first_run < len(times) and times[first_run] <= ended:
                proxy = proxies[address].name if address in proxies else address
                circumstance = (
                    "while it stopped" if disturbances.was_disturbed(proxy, ended) else "while nothing was done to it"
                )
                findings.append(
                    f"request {row['id']} ran and was cut by {proxy} {circumstance}: "
                    f"{error} after {ended - began:.2f} s"
                )
    return _summarize(findings, "requests were cut while an upstream ran them")


def check_regions(
    disturbances: Disturbances, proxies: dict[str, FleetProcess], homes_of: dict[str, set[str]], asked_rows: list[dict]
) -> list[str]:
    """Checks that planned work leads no request to another region while an allowed region has a steady proxy.

    The proxy must have been steady for as long as clients use an answer.
    """
    findings = []
    for row in asked_rows:
        for _, _, began, _, address in row["tries"]:
            if address not in proxies or not disturbances.is_calm(began):
                continue
            allowed = {row["from"].partition("/")[0], *homes_of.get(row["tenant"], ())}
            if _region(proxies[address]) in allowed:
                continue
            candidates = [process for process in proxies.values() if _region(process) in allowed]
            steady = [
                process.name for process in candidates if disturbances.was_steady(process, began - ANSWER_USED_S, began)
            ]
            if steady:
                findings.append(
                    f"{row['id']} from {row['from']} went to {proxies[address].name}, {steady[0]} was steady"
                )
    return _summarize(findings, "requests were led to another region")


def _region(process: FleetProcess) -> str:
    return process.locality.partition("/")[0]


def check_logs(folder: Path) -> list[str]:
    """Checks that no process wrote a traceback and no vital task died."""
    findings = []
    for path in sorted(folder.rglob("*.err")):
        if "Traceback" in path.read_text(errors="replace"):
            findings.append(f"a traceback in {path.name}")
    for path in sorted(folder.glob("*/log")):
        if '"task_died"' in path.read_text(errors="replace"):
            findings.append(f"a task died: {path}")
    return findings


def check_descriptors(counts: DescriptorCounts, roles: dict[str, str]) -> list[str]:
    """Checks that no process leaks descriptors."""
    highest: dict[str, int] = {}
    for name, count in counts.before.items():
        highest[roles[name]] = max(count, highest.get(roles[name], 0))
    return [
        f"{name} holds {count} descriptors, its role {highest[roles[name]]} at the beginning"
        for name, count in counts.after.items()
        if roles[name] in highest and count > highest[roles[name]] + DESCRIPTOR_SLACK
    ]


def _summarize(findings: list[str], description: str) -> list[str]:
    """Merges findings of a kind into one with their count and the first of them."""
    return [f"{len(findings)} {description}, first: {findings[0]}"] if findings else []
