"""A soak test: plays a schedule against real processes under clients that reuse answers and connections for long."""

from __future__ import annotations

import copy
import signal
import subprocess
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from threading import Lock, Thread

import msgspec
import psutil

from mallowvalve.finding import Finding, Findings
from mallowvalve.localfleet import history
from mallowvalve.localfleet.call import call, is_ok
from mallowvalve.localfleet.fleet import FleetProcess, FleetShape, LocalFleet, wait_until
from mallowvalve.localfleet.judge import check_journals, journal_statistics
from mallowvalve.localfleet.operators import ConfigurationOperators
from mallowvalve.localfleet.schedule import ActKind, Schedule, ScheduledAct
from mallowvalve.localfleet.soak_judge import DescriptorCounts, SoakEvent, SoakEventKind, check_soak
from mallowvalve.localfleet.users import CoordinationClients

MAX_PROCESSES = 300
MAX_MEMORY_SHARE = 0.5
MEMORY_PER_PROCESS_BYTES = 80 << 20
"""The expected memory of a process, with a margin."""

ROLES = ("proxy", "directory", "control")
STOP_SLACK_S = 2.0
"""How long a stop may exceed its grace period before it counts as overdue, since the machine is busy."""

READY_S = 20.0
STALL_CHECK_S = 0.1
STALL_S = 0.5
"""The delay of the watching thread from which on the machine counts as stalled."""

IDLE_BEFORE_COUNT_S = 6.0
"""The time without clients before descriptors are counted again."""


def check_fits(shape: FleetShape) -> Findings:
    """Returns why a shape exceeds the limits of a soak on this machine, or an empty list."""
    count = len(shape.nodes) + sum(len(pool.localities) for pool in shape.upstreams) + 1
    if count > MAX_PROCESSES:
        return [Finding("shape", f"{count} processes, {MAX_PROCESSES} at most")]
    total_bytes = psutil.virtual_memory().total
    if count * MEMORY_PER_PROCESS_BYTES > MAX_MEMORY_SHARE * total_bytes:
        return [Finding("shape", f"{count} processes want more than half of this machine's memory")]
    return []


class Soak:
    """Plays a schedule against a fleet that has settled; `events` records the effects of the acts."""

    def __init__(self, fleet: LocalFleet, schedule: Schedule):
        """Prepares a soak; `run` plays it."""
        self.fleet = fleet
        self.schedule = schedule
        self.events: list[SoakEvent] = []
        self.peak_bytes = 0
        self._lock = Lock()
        self._reserved: set[str] = set()

    def run(self, rate: float | None = None) -> tuple[list[str], dict[str, object]]:
        """Plays the whole schedule under load; returns the findings and the statistics."""
        before = self._count_descriptors()
        self.fleet.start_clients(seed=self.schedule.seed, rate=rate, clinging=True)
        started_at = time.time()
        with (
            ConfigurationOperators(self.fleet, self.schedule.seed) as operators,
            CoordinationClients(self.fleet, self.schedule.seed) as coordination_clients,
        ):
            self.fleet.running_operators = operators
            self._play(started_at)
        self.fleet.stop("clients", 30)
        time.sleep(IDLE_BEFORE_COUNT_S)
        asked_rows, ran_rows = self.fleet.read_journal("asked.jsonl"), self.fleet.read_journal("ran.jsonl")
        findings = (
            operators.findings()
            + check_journals(operators.offers, asked_rows, ran_rows)
            + history.check_history(coordination_clients.history)
        )
        findings += check_soak(
            self.fleet, self.events, asked_rows, ran_rows, DescriptorCounts(before, self._count_descriptors())
        )
        findings += self._check_memory()
        statistics = journal_statistics(asked_rows, ran_rows) | {
            "acts": len(self.schedule.acts),
            "stops": sum(event.what is SoakEventKind.ENDED for event in self.events),
            "stalls": sum(event.what is SoakEventKind.STALL for event in self.events),
            "changes": len(operators.acknowledged),
            "coordination_calls": coordination_clients.call_count,
            "peak_mb": self.peak_bytes >> 20,
        }
        return findings, statistics

    def _watch_machine(self, until: float) -> None:
        """Records when this thread is not scheduled for long, which then applies to the fleet's processes too."""
        while (now := time.time()) < until:
            time.sleep(STALL_CHECK_S)
            delay_s = time.time() - now - STALL_CHECK_S
            if delay_s > STALL_S:
                self._record(SoakEventKind.STALL, "machine", delay_s)

    def _play(self, started_at: float) -> None:
        acts = list(self.schedule.acts)
        threads: list[Thread] = []
        end = started_at + self.schedule.seconds
        threads.append(Thread(target=self._watch_machine, args=(end,)))
        threads[0].start()
        while time.time() < end:
            while acts and time.time() >= started_at + acts[0].at:
                threads.append(Thread(target=self._play_act, args=(acts.pop(0),)))
                threads[-1].start()
            self.peak_bytes = max(self.peak_bytes, self._resident_bytes())
            next_at = started_at + acts[0].at if acts else end
            time.sleep(max(0.0, min(next_at - time.time(), 1.0)))
        for thread in threads:
            thread.join()

    def _record(self, kind: SoakEventKind, name: str, value: float = 0.0) -> None:
        with self._lock:
            self.events.append(SoakEvent(time.time(), kind, name, value))

    def _play_act(self, act: ScheduledAct) -> None:
        match act.kind:
            case ActKind.STOP:
                self._stop(act.target)
            case ActKind.RELOAD:
                self._signal(act.target, signal.SIGHUP)
            case ActKind.KILL:
                self._kill(act.target, act.lasts)
            case ActKind.FREEZE:
                self._freeze(act.target, act.lasts)
            case ActKind.EVACUATE:
                self._evacuate(act.target, act.lasts)
            case ActKind.HOMES:
                self._move_homes(act.target, act.lasts)

    def _reserve(self, name: str) -> bool:
        """Reserves a process for one act; returns False if another act has reserved it."""
        with self._lock:
            free = name not in self._reserved
            self._reserved.add(name)
            return free

    def _signal(self, name: str, number: int) -> None:
        process = self.fleet.processes[name]
        with suppress(ProcessLookupError):
            if process.popen is not None and process.is_running:
                process.popen.send_signal(number)

    def _stop(self, name: str) -> None:
        """Sends SIGTERM and restarts the process after its end; if another act has reserved it, only sends SIGTERM."""
        if not self._reserve(name):
            self._signal(name, signal.SIGTERM)
            return
        process = self.fleet.processes[name]
        self._record(SoakEventKind.TOLD, name)
        stopped_at = time.time()
        grace_s = self.fleet.stop_grace_s if process.role in ROLES else 2 * self.fleet.stop_grace_s
        try:
            code = self.fleet.stop(name, grace_s + STOP_SLACK_S)
            self._record(SoakEventKind.ENDED, name, time.time() - stopped_at)
            if code != 0:
                self._record(SoakEventKind.FAILED, name, code)
        except subprocess.TimeoutExpired:
            self._record(SoakEventKind.OVERDUE, name, time.time() - stopped_at)
            self.fleet.kill(name)
        self._start(process)

    def _kill(self, name: str, pause_s: float) -> None:
        if not self._reserve(name):
            return
        self._record(SoakEventKind.TROUBLE, name)
        self.fleet.kill(name)
        time.sleep(pause_s)
        self._start(self.fleet.processes[name])

    def _start(self, process: FleetProcess) -> None:
        path = "/-/ready" if process.role in ROLES else "/health"

        def is_ready() -> bool:
            """Restarts, as a platform does, a process that an early signal ended before it was ready."""
            if not process.is_running:
                self.fleet.start(process.name)
            return is_ok(process.web_port, path, 1.0)

        ready = wait_until(is_ready, READY_S, 0.05)
        self._record(SoakEventKind.READY if ready else SoakEventKind.NOT_READY, process.name)
        with self._lock:
            self._reserved.discard(process.name)

    def _freeze(self, name: str, duration_s: float) -> None:
        if not self._reserve(name):
            return
        self._record(SoakEventKind.TROUBLE, name)
        self.fleet.freeze(name)
        time.sleep(duration_s)
        self.fleet.resume(name)
        self._record(SoakEventKind.READY, name)
        with self._lock:
            self._reserved.discard(name)

    def _evacuate(self, zone: str, duration_s: float) -> None:
        self._record(SoakEventKind.EVACUATED, zone)
        self._set_evacuated(zone, True)
        time.sleep(duration_s)
        self._set_evacuated(zone, False)
        self._record(SoakEventKind.GIVEN_BACK, zone)

    def _set_evacuated(self, zone: str, evacuated: bool) -> bool:
        """Asks the control processes in turn until one acknowledges."""
        body = {"zone": zone, "evacuated": evacuated}

        def is_acknowledged() -> bool:
            return any(
                call(process.web_port, "POST", "/evacuations", body, timeout_s=5)[0] == 200
                for process in self.fleet.with_role("control")
                if process.is_running
            )

        return bool(wait_until(is_acknowledged, READY_S, 0.2))

    def _move_homes(self, tenant: str, duration_s: float) -> None:
        """Makes the first region of its cell a tenant's only home for some time."""
        original = self.fleet.shape.config
        moved = copy.deepcopy(original)
        for cell in moved["cells"].values():
            if tenant in cell["tenants"]:
                cell["tenants"][tenant]["homes"] = [(cell.get("regions") or [cell["region"]])[0]]
        self.fleet.operators.apply_base(moved, f"homes-{tenant}")
        time.sleep(duration_s)
        self.fleet.operators.apply_base(original, f"homes-back-{tenant}")

    def _count_descriptors(self) -> dict[str, int]:
        """Returns the number of open descriptors of each process."""
        return {
            process.name: self._read(process, lambda target: target.num_fds())
            for role in ROLES
            for process in self.fleet.with_role(role)
            if process.is_running
        }

    def _resident_bytes(self) -> int:
        return sum(
            self._read(process, lambda target: target.memory_info().rss)
            for process in list(self.fleet.processes.values())
            if process.is_running
        )

    def _read(self, process: FleetProcess, read: Callable[[psutil.Process], int]) -> int:
        """Reads a value of a process; 0 if it has ended."""
        with suppress(psutil.Error):
            return read(psutil.Process(process.pid))
        return 0

    def _check_memory(self) -> list[str]:
        total_bytes = psutil.virtual_memory().total
        has_expired = self.peak_bytes > MAX_MEMORY_SHARE * total_bytes
        return [f"the fleet took {self.peak_bytes >> 20} MB, over half of the machine's"] if has_expired else []


def write_timeline(events: list[SoakEvent], started_at: float, folder: Path) -> None:
    """Writes the events to timeline.jsonl, to help to analyse findings."""
    rows = [
        {"s": round(event.at - started_at, 3), "what": event.what, "who": event.who, "value": event.value}
        for event in events
    ]
    (folder / "timeline.jsonl").write_bytes(b"".join(msgspec.json.encode(row) + b"\n" for row in rows))
