"""A soak: a schedule played against real processes under clients that cling to what they have, and its judgement."""

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
from mallowvalve.localfleet.judge import figures, judge
from mallowvalve.localfleet.operators import Operators
from mallowvalve.localfleet.schedule import Act, Kind, Schedule
from mallowvalve.localfleet.soak_judge import Event, Levels, What, judge_soak
from mallowvalve.localfleet.users import Coordinators

MOST_PROCESSES = 300
MEMORY_SHARE = 0.5
PROCESS_BYTES = 80 << 20
"""What a process of a fleet is reckoned to take, with room."""

ROLES = ("proxy", "directory", "control")
STOP_LATE_S = 2.0
"""What a stop may take beyond its grace before it counts as not ending: the machine is busy."""

READY_S = 20.0
LOOK_S, STALL_S = 0.1, 0.5
"""How often the machine is watched, and from what delay on it counts as having stalled (s)."""

REST_S = 6.0
"""Seconds without clients before descriptors are counted again."""


def fits(shape: FleetShape) -> Findings:
    """What keeps a shape from being soaked on this machine within the limits."""
    count = len(shape.nodes) + sum(len(pool.localities) for pool in shape.upstreams) + 1
    if count > MOST_PROCESSES:
        return [Finding("shape", f"{count} processes, {MOST_PROCESSES} at most")]
    have = psutil.virtual_memory().total
    if count * PROCESS_BYTES > MEMORY_SHARE * have:
        return [Finding("shape", f"{count} processes want more than half of this machine's memory")]
    return []


class Soak:
    """Plays a schedule against a fleet that has settled; `events` is what became of each act."""

    def __init__(self, fleet: LocalFleet, schedule: Schedule):
        """Nothing is played yet."""
        self.fleet = fleet
        self.schedule = schedule
        self.events: list[Event] = []
        self.peak_bytes = 0
        self._lock = Lock()
        self._stopping: set[str] = set()

    def run(self, rate: float | None = None) -> tuple[list[str], dict[str, object]]:
        """Play all of it under load; findings, and figures."""
        before = self._levels()
        self.fleet.start_clients(seed=self.schedule.seed, rate=rate, clinging=True)
        begun = time.time()
        with (
            Operators(self.fleet, self.schedule.seed) as operators,
            Coordinators(self.fleet, self.schedule.seed) as users,
        ):
            self.fleet.operators = operators
            self._play(begun)
        self.fleet.stop("clients", 30)
        time.sleep(REST_S)
        asked, ran = self.fleet.read_journal("asked.jsonl"), self.fleet.read_journal("ran.jsonl")
        found = operators.findings() + judge(operators.offers, asked, ran) + history.check_history(users.history)
        found += judge_soak(self.fleet, self.events, asked, ran, Levels(before, self._levels()))
        found += self._memory()
        numbers = figures(asked, ran) | {
            "acts": len(self.schedule.acts),
            "stops": sum(event.what is What.ENDED for event in self.events),
            "stalls": sum(event.what is What.STALL for event in self.events),
            "changes": len(operators.acked),
            "coordination_calls": users.calls,
            "peak_mb": self.peak_bytes >> 20,
        }
        return found, numbers

    def _watch_machine(self, until_: float) -> None:
        """Note when this machine gave this thread no turn for long: then it gave none to the fleet either."""
        while (now := time.time()) < until_:
            time.sleep(LOOK_S)
            late = time.time() - now - LOOK_S
            if late > STALL_S:
                self._note(What.STALL, "machine", late)

    def _play(self, begun: float) -> None:
        acts = list(self.schedule.acts)
        threads: list[Thread] = []
        end = begun + self.schedule.seconds
        threads.append(Thread(target=self._watch_machine, args=(end,)))
        threads[0].start()
        while time.time() < end:
            while acts and time.time() >= begun + acts[0].at:
                threads.append(Thread(target=self._do, args=(acts.pop(0),)))
                threads[-1].start()
            self.peak_bytes = max(self.peak_bytes, self._memory_now())
            next_at = begun + acts[0].at if acts else end
            time.sleep(max(0.0, min(next_at - time.time(), 1.0)))
        for thread in threads:
            thread.join()

    def _note(self, what: What, name: str, value: float = 0.0) -> None:
        with self._lock:
            self.events.append(Event(time.time(), what, name, value))

    def _do(self, act: Act) -> None:
        match act.kind:
            case Kind.STOP:
                self._stop(act.target)
            case Kind.RELOAD:
                self._signal(act.target, signal.SIGHUP)
            case Kind.KILL:
                self._kill(act.target, act.lasts)
            case Kind.FREEZE:
                self._freeze(act.target, act.lasts)
            case Kind.EVACUATE:
                self._evacuate(act.target, act.lasts)
            case Kind.HOMES:
                self._move_homes(act.target, act.lasts)

    def _claim(self, name: str) -> bool:
        """Whether no other act has this process in hand; it is in this one's then."""
        with self._lock:
            free = name not in self._stopping
            self._stopping.add(name)
            return free

    def _signal(self, name: str, number: int) -> None:
        process = self.fleet.processes[name]
        with suppress(ProcessLookupError):
            if process.job is not None and process.is_running:
                process.job.send_signal(number)

    def _stop(self, name: str) -> None:
        """SIGTERM, and a start as soon as it has ended; one that is stopping already gets the signal again."""
        if not self._claim(name):
            self._signal(name, signal.SIGTERM)
            return
        process = self.fleet.processes[name]
        self._note(What.TOLD, name)
        began = time.time()
        grace = self.fleet.polite if process.role in ROLES else 2 * self.fleet.polite
        try:
            code = self.fleet.stop(name, grace + STOP_LATE_S)
            self._note(What.ENDED, name, time.time() - began)
            if code != 0:
                self._note(What.FAILED, name, code)
        except subprocess.TimeoutExpired:
            self._note(What.OVERDUE, name, time.time() - began)
            self.fleet.kill(name)
        self._start(process)

    def _kill(self, name: str, pause: float) -> None:
        if not self._claim(name):
            return
        self._note(What.TROUBLE, name)
        self.fleet.kill(name)
        time.sleep(pause)
        self._start(self.fleet.processes[name])

    def _start(self, process: FleetProcess) -> None:
        path = "/-/ready" if process.role in ROLES else "/health"

        def is_ready() -> bool:
            """What ended before it was ready, by a signal that came early, is started again as a platform does."""
            if not process.is_running:
                self.fleet.start(process.name)
            return is_ok(process.web_port, path, 1.0)

        ready = wait_until(is_ready, READY_S, 0.05)
        self._note(What.READY if ready else What.NOT_READY, process.name)
        with self._lock:
            self._stopping.discard(process.name)

    def _freeze(self, name: str, lasts: float) -> None:
        if not self._claim(name):
            return
        self._note(What.TROUBLE, name)
        self.fleet.freeze(name)
        time.sleep(lasts)
        self.fleet.thaw(name)
        self._note(What.READY, name)
        with self._lock:
            self._stopping.discard(name)

    def _evacuate(self, zone: str, lasts: float) -> None:
        self._note(What.EVACUATED, zone)
        self._order(zone, True)
        time.sleep(lasts)
        self._order(zone, False)
        self._note(What.GIVEN_BACK, zone)

    def _order(self, zone: str, evacuated: bool) -> bool:
        """Ask control processes in turn until one has acknowledged."""
        body = {"zone": zone, "evacuated": evacuated}

        def ordered() -> bool:
            return any(
                call(p.web_port, "POST", "/evacuations", body, timeout_s=5)[0] == 200
                for p in self.fleet.with_role("control")
                if p.is_running
            )

        return bool(wait_until(ordered, READY_S, 0.2))

    def _move_homes(self, tenant: str, lasts: float) -> None:
        """A tenant's homes become those of the first of its cell's regions for a while."""
        was = self.fleet.shape.config
        moved = copy.deepcopy(was)
        for cell in moved["cells"].values():
            if tenant in cell["tenants"]:
                cell["tenants"][tenant]["homes"] = [(cell.get("regions") or [cell["region"]])[0]]
        self.fleet.operators.settle(moved, f"homes-{tenant}")
        time.sleep(lasts)
        self.fleet.operators.settle(was, f"homes-back-{tenant}")

    def _levels(self) -> dict[str, int]:
        """Open descriptors by process."""
        return {
            p.name: self._read(p, lambda job: job.num_fds())
            for role in ROLES
            for p in self.fleet.with_role(role)
            if p.is_running
        }

    def _memory_now(self) -> int:
        return sum(
            self._read(p, lambda job: job.memory_info().rss)
            for p in list(self.fleet.processes.values())
            if p.is_running
        )

    def _read(self, process: FleetProcess, read: Callable[[psutil.Process], int]) -> int:
        with suppress(psutil.Error):
            return read(psutil.Process(process.job.pid))
        return 0

    def _memory(self) -> list[str]:
        have = psutil.virtual_memory().total
        over = self.peak_bytes > MEMORY_SHARE * have
        return [f"the fleet took {self.peak_bytes >> 20} MB, over half of the machine's"] if over else []


def timeline(events: list[Event], begun: float, folder: Path) -> None:
    """Write what became of the acts, for whoever reads a finding."""
    rows = [{"s": round(e.at - begun, 3), "what": e.what, "who": e.who, "value": e.value} for e in events]
    (folder / "timeline.jsonl").write_bytes(b"".join(msgspec.json.encode(row) + b"\n" for row in rows))
