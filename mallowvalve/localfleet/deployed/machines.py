"""Machines of a deployed fleet: processes that are started by the deploy file's commands, and signalled."""

from __future__ import annotations

import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path

import gevent
import msgspec
import psutil

from mallowvalve import clock, settings
from mallowvalve.localfleet.deployed.records import HandlerError, OwnEnd
from mallowvalve.localfleet.deployed.shape import MACHINE_FILE, DeployFile, Role, Shape
from mallowvalve.localfleet.ports import free_ports
from mallowvalve.localfleet.template import fill
from mallowvalve.settings import HeaderNames

SETTINGS_PATH = "/etc/mallowvalve/local.json"
"""The path of the settings file in the deploy file's commands."""

MAX_SEEDS = 3
CORE_MEMORY_MB = 296
POLL_S = 0.02
BYTES_PER_MB = 1 << 20
PASSED_ENVIRONMENT = ("PATH", "HOME", "LANG")
FIRST_HOST = 10
LAST_LINES_BYTES = 2000
MAX_LINE_CHARACTERS = 500
HANDLER_ERROR = '"message_type":"handler_failed"'
"""What a log line on a failing handler holds."""

SIGNAL_MASKS = ("SigIgn", "SigCgt")
NETWORK = "127.{}.{}"


class Ports(msgspec.Struct, frozen=True):
    """The ports, which are the same on all machines; each machine has an address of its own."""

    web: int
    pages: int
    directory: int
    transport: int


class Machine:
    """A machine with one process; `first_start` holds until it was started once."""

    def __init__(self, fleet: Fleet, role: str, name: str, address: str, zone: str):
        """Creates its folder; nothing is started."""
        self.fleet = fleet
        self.role = role
        self.name = name
        self.address = address
        self.zone = zone
        self.folder = fleet.folder / name
        self.data = self.folder / "data" if role == "control" else None
        self.popen: subprocess.Popen[bytes] | None = None
        self.first_start = True
        self.started_at = 0.0
        self.end_expected = False
        self.stands_still = False
        (self.data or self.folder).mkdir(parents=True, exist_ok=True)

    @property
    def web(self) -> tuple[str, int]:
        """The address for clients, or for callers of the control plane."""
        return self.address, self.fleet.ports.web

    @property
    def ready_at(self) -> tuple[str, int]:
        """The address of the readiness check."""
        return self.address, self.fleet.ports.pages if self.role == "proxy" else self.fleet.ports.web

    @property
    def memory_mb(self) -> int:
        """The memory that its process may use (megabytes)."""
        return CORE_MEMORY_MB if self.data is not None else self.fleet.shape.edge_memory_mb

    @property
    def resident_mb(self) -> float:
        """The resident memory of its process (megabytes), 0.0 if it does not run."""
        if self.popen is None or not self.is_running:
            return 0.0
        try:
            return float(psutil.Process(self.popen.pid).memory_info().rss) / BYTES_PER_MB
        except psutil.Error:
            return 0.0

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self.popen is not None and self.popen.poll() is None

    def start(self) -> None:
        """Starts the process by the deploy file's command, with settings in the platform's form, if none runs."""
        if self.is_running:
            return
        path = self.write_settings()
        _, *words = shlex.split(self.fleet.deploy.roles[self.role].run.replace(SETTINGS_PATH, str(path)))
        environment = {name: os.environ[name] for name in PASSED_ENVIRONMENT if name in os.environ}
        environment |= {"PYTHONPATH": str(self.fleet.root), "PYTHONDONTWRITEBYTECODE": "1"}
        with (self.folder / "log").open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, *words], cwd=self.fleet.root, env=environment, stdout=log, stderr=log
            )
        self.first_start = False
        self.started_at = clock.now()
        self.end_expected = False

    def suspend_and_replace(self) -> subprocess.Popen[bytes] | None:
        """Suspends its process and starts another one beside it; returns the suspended process."""
        before, self.popen = self.popen, None
        if before is not None and before.poll() is None:
            before.send_signal(signal.SIGSTOP)
            self.fleet.suspended.append(before)
        self.start()
        return before

    def bound_ports(self) -> list[tuple[socket.SocketKind, int]]:
        """Returns the ports that its process binds, with their kinds."""
        ports = self.fleet.ports
        own = [ports.web, ports.transport, ports.directory if self.role == "control" else ports.pages]
        return [(socket.SOCK_STREAM, port) for port in own] + [(socket.SOCK_DGRAM, ports.transport)]

    def own_end(self) -> OwnEnd | None:
        """Returns the end of its process if nobody stopped or killed it; None while it runs."""
        if self.popen is None or self.is_running or self.end_expected:
            return None
        now = clock.now()
        return OwnEnd(self.name, now, self.popen.returncode, round(now - self.started_at, 2), self.last_lines())

    def last_lines(self) -> str:
        """Returns the end of its log."""
        path = self.folder / "log"
        if not path.exists():
            return ""
        with path.open("rb") as log:
            log.seek(max(0, path.stat().st_size - LAST_LINES_BYTES))
            return log.read().decode(errors="replace")

    def handler_errors(self) -> list[HandlerError]:
        """Returns the lines of its log on requests whose handler raised an error."""
        path = self.folder / "log"
        if not path.exists():
            return []
        with path.open(errors="replace") as log:
            lines = [line.rstrip() for line in log if HANDLER_ERROR in line]
        return [HandlerError(self.name, line[:MAX_LINE_CHARACTERS]) for line in lines]

    def ignores(self, number: signal.Signals) -> bool:
        """Returns whether its process ignores or catches a signal: not before its first instruction."""
        try:
            lines = Path(f"/proc/{self.popen.pid if self.popen else 0}/status").read_text().splitlines()
        except OSError:
            return False
        masks = [int(line.split()[1], 16) for line in lines if line.startswith(SIGNAL_MASKS)]
        return any(mask >> (number - 1) & 1 for mask in masks)

    def write_settings(self) -> Path:
        """Fills the template of the role; returns the path of the settings file."""
        path = self.folder / "settings.toml"
        path.write_text(self.fleet.fill_settings(self))
        return path

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, if the process runs."""
        if self.popen is not None and self.is_running:
            self.end_expected |= number in (signal.SIGTERM, signal.SIGKILL)
            with suppress(ProcessLookupError):
                self.popen.send_signal(number)

    def stand_still(self) -> None:
        """Suspends its process until `resume`, also if it is held to a share of its processor time."""
        self.stands_still = True
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets its process run again."""
        self.stands_still = False
        self.signal(signal.SIGCONT)

    def wait(self, seconds: float) -> int | None:
        """Returns the exit code, or None if the process still runs after `seconds`."""
        end = clock.now() + seconds
        while self.popen is not None and (code := self.popen.poll()) is None:
            if clock.now() >= end:
                return None
            gevent.sleep(POLL_S)
        return code

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.popen is not None and self.is_running:
            self.end_expected = True
            self.popen.kill()
            self.popen.wait()


class Fleet:
    """All machines; a context manager that starts them and ends what was started."""

    def __init__(self, shape: Shape, root: Path, deploy: DeployFile, folder: Path):
        """Plans the machines; their files lie in `folder`, their programs in the checkout `root`."""
        self.shape, self.root, self.deploy, self.folder = shape, root, deploy, folder
        self.ports = Ports(*free_ports(len(Ports.__struct_fields__)))
        self.network = NETWORK.format(random.randrange(10, 250), random.randrange(1, 250))
        self._next_host = FIRST_HOST
        self.suspended: list[subprocess.Popen[bytes]] = []
        self._machine_form = (root / MACHINE_FILE).read_text()
        self.core = [self._plan("control", f"core-{index}", index) for index in range(shape.core)]
        self.edge = [self._plan("proxy", f"edge-{index}", index) for index in range(shape.edge)]
        self.terms = self._terms()

    @property
    def machines(self) -> list[Machine]:
        """All machines, the core first."""
        return [*self.core, *self.edge]

    def next_address(self) -> str:
        """Returns a loopback address that nothing of this fleet has yet."""
        self._next_host += 1
        return f"{self.network}.{self._next_host}"

    def _plan(self, role: str, name: str, index: int) -> Machine:
        zones = list(self.shape.zones)
        return Machine(self, role, name, self.next_address(), zones[index % len(zones)])

    def fill_settings(self, machine: Machine) -> str:
        """Returns the settings of a machine: the template of its role, filled from the platform's form of them."""
        role: Role = self.deploy.roles[machine.role]
        values = {
            "name": machine.name,
            "role": machine.role,
            "machine_class": role.on,
            "serves": role.serves,
            "address": machine.address,
            "zone": machine.zone,
            "region": self.shape.zones[machine.zone],
            "zones": self.shape.zones,
            "ports": msgspec.to_builtins(self.ports),
            "seeds": [f"{seed.address}:{self.ports.web}" for seed in self.core[:MAX_SEEDS]],
            "first_start": machine.first_start,
            "keeps_state": machine.data is not None,
            "data": str(machine.data) if machine.data is not None else None,
            "memory_mb": machine.memory_mb,
            "grace_s": self.shape.grace_s,
        }
        return fill((self.root / role.template).read_text(), json.loads(fill(self._machine_form, values)))

    def _terms(self) -> HeaderNames:
        """Returns the names of the headers, from the settings of an edge machine."""
        return settings.load("proxy", str(self.edge[0].write_settings()), {}).unwrap().terms

    def __enter__(self) -> Fleet:
        """Starts all machines."""
        for machine in self.machines:
            machine.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Kills all processes that were started."""
        for process in self.suspended:
            process.kill()
            process.wait()
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.kill()


class ProcessorShare:
    """Holds the processes of machines to a share of their processor time, by stopping and continuing them in turn."""

    def __init__(self, machines: list[Machine], share: float, period_s: float, rng: random.Random):
        """`share` is above 0 and up to 1; each machine has its own phase."""
        self.machines, self.share, self.period_s, self.rng = machines, share, period_s, rng
        self._jobs: list[gevent.Greenlet] = []

    def __enter__(self) -> ProcessorShare:
        """Starts to hold them, unless they get all of it."""
        if self.share < 1.0:
            self._jobs = [
                gevent.spawn_later(self.rng.uniform(0.0, self.period_s), self._hold, machine)
                for machine in self.machines
            ]
        return self

    def __exit__(self, *_: object) -> None:
        """Lets all of them run."""
        gevent.killall(self._jobs)
        for machine in self.machines:
            machine.signal(signal.SIGCONT)

    def _hold(self, machine: Machine) -> None:
        while True:
            machine.signal(signal.SIGSTOP)
            gevent.sleep(self.period_s * (1.0 - self.share))
            if not machine.stands_still:
                machine.signal(signal.SIGCONT)
            gevent.sleep(self.period_s * self.share)
