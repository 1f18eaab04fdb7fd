"""Stand-ins for the platform, its operator and its applications, on loopback addresses and the real clock.

A fleet starts the project's own programs with the commands of the deploy file. Nothing of an earlier review is used.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from mallowvalve.localfleet.template import fill  # noqa: E402

OK = 200
REDIRECT = 307
SERVER_ERROR = 500
RETRIED = (408, 429)
SILENCE_S = 1.0
"""A caller goes on to another node after a second of silence (PROTOCOL.md)."""
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.5
REDIRECTS = 2
SETTINGS_PATH = "/etc/mallowvalve/local.json"
PASSED = ("PATH", "HOME", "LANG")
SEEDS = 3
POLL_S = 0.05
CORE_MB, EDGE_MB = 296, 300
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""The exit codes of a script."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and done, with the time since the start (s)."""

    def __init__(self, folder: Path):
        """Begins an empty file."""
        self.began = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def write(self, text: str) -> None:
        """Adds a line, which is printed too."""
        line = f"{time.monotonic() - self.began:7.2f} s  {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


class Machine:
    """A machine with one process; `core` ones have a disk."""

    def __init__(self, name: str, address: str, zone: str, core: bool):
        """Nothing is started yet."""
        self.name, self.address, self.zone, self.core = name, address, zone, core
        self.process: subprocess.Popen[bytes] | None = None


class Fleet:
    """The machines of a small deployment: `core` and `edge` of them, spread over `zones` (zone to region) in turn."""

    def __init__(self, zones: dict[str, str], core: int, edge: int, bounds: dict[str, Any]):
        """Draws a loopback network and free ports; `bounds` are the figures of the deployment."""
        self.zones, self.bounds, self.first_start = zones, bounds, True
        self.roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.web, self.pages, self.directory, self.transport = (_free_port() for _ in range(4))
        network = f"127.{random.randrange(20, 240)}.{random.randrange(1, 250)}"
        names = list(zones)
        self.core = [Machine(f"core-{i}", f"{network}.{10 + i}", names[i % len(names)], True) for i in range(core)]
        self.edge = [Machine(f"edge-{i}", f"{network}.{100 + i}", names[i % len(names)], False) for i in range(edge)]

    @property
    def machines(self) -> list[Machine]:
        """All machines."""
        return [*self.core, *self.edge]

    def __enter__(self) -> Fleet:
        """Starts all machines for the first time."""
        for machine in self.machines:
            self.start(machine)
        self.first_start = False
        return self

    def __exit__(self, *_: object) -> None:
        """Ends all processes that were started."""
        for machine in self.machines:
            self.kill(machine)

    def in_region(self, region: str) -> list[Machine]:
        """Returns the machines of a region."""
        return [machine for machine in self.machines if self.zones[machine.zone] == region]

    def start(self, machine: Machine) -> None:
        """Starts the process of a machine with the command and the template of its role, if none runs."""
        if machine.process is not None and machine.process.poll() is None:
            return
        role = self.roles["control" if machine.core else "proxy"]
        folder = self.folder / machine.name
        (folder / "data").mkdir(parents=True, exist_ok=True)
        settings = folder / "local.json"
        settings.write_text(fill((ROOT / role["template"]).read_text(), self._settings(machine)))
        words = shlex.split(role["run"].replace(SETTINGS_PATH, str(settings)))
        environment = {name: os.environ[name] for name in PASSED if name in os.environ}
        environment |= {"PYTHONPATH": str(ROOT / "target/deps"), "MALLOWVALVE_CONFIG": str(settings)}
        environment |= {"PYTHONDONTWRITEBYTECODE": "1"}
        with (folder / "log").open("ab") as log:
            machine.process = subprocess.Popen(words, cwd=ROOT, env=environment, stdout=log, stderr=log)

    def kill(self, machine: Machine) -> None:
        """Ends the process of a machine as a loss of power does; its disk is kept."""
        if machine.process is not None and machine.process.poll() is None:
            machine.process.send_signal(signal.SIGCONT)
            machine.process.kill()
            machine.process.wait()

    def is_ready(self, machine: Machine) -> bool:
        """Returns whether a machine says that it is ready."""
        port = self.web if machine.core else self.pages
        answer = exchange((machine.address, port), "GET", "/-/ready")
        return answer is not None and answer[0] == OK

    def await_ready(self, machines: list[Machine], limit_s: float) -> bool:
        """Returns whether all these machines are ready within `limit_s`."""
        end = time.monotonic() + limit_s
        while not all(map(self.is_ready, machines)):
            if time.monotonic() > end:
                return False
            time.sleep(POLL_S)
        return True

    def _settings(self, machine: Machine) -> dict[str, Any]:
        own, core = machine.address, machine.core
        bind = {"front": f"{own}:{self.web}", "readiness": f"{own}:{self.pages}"}
        if core:
            bind = {"control": f"{own}:{self.web}", "directory": f"{own}:{self.directory}"}
        limits = {"cpu-share": 0.86, "cpu-cores": 1, "max-fds": 4096, "link-mbps": 1000.0, "disk-mb": 256 * core}
        return {
            "node-name": machine.name,
            "role": "control" if core else "proxy",
            "machine-class": "core" if core else "edge",
            "ip": own,
            "zone": machine.zone,
            "region": self.zones[machine.zone],
            "zones": self.zones,
            "counts-as-fault": core,
            "bootstrap": self.first_start,
            "data-dir": str(self.folder / machine.name / "data") if core else None,
            "limits": {**limits, "memory-mb": CORE_MB if core else EDGE_MB},
            "bind": bind,
            "internal-ports": [self.transport, self.transport],
            "seed-nodes": [f"{seed.address}:{self.web}" for seed in self.core[:SEEDS]],
            "discovery": "self_register",
            "entry": "resolver",
            "heartbeat-s": 1500,
            "config-source": "parts",
            "bounds": self.bounds,
        }


class Caller:
    """Calls the control addresses as the pages say: another node after a failure, a 5xx or a second of silence."""

    def __init__(self, fleet: Fleet, record: Record, seed: int = 1):
        """Picks among all core machines of the fleet, as the operator's list has them."""
        self.fleet, self.record, self.random = fleet, record, random.Random(seed)

    def call(
        self, method: str, path: str, body: bytes | None, limit_s: float, silence_s: float = SILENCE_S
    ) -> tuple[int, bytes] | None:
        """Repeats a call until its answer is clear, for `limit_s`; None without a clear answer."""
        began, pause_s, seen = time.monotonic(), FIRST_PAUSE_S, []
        while time.monotonic() < began + limit_s:
            answer = self._once(method, path, body, silence_s)
            seen.append("silence" if answer is None else str(answer[0]))
            if answer is not None and answer[0] < SERVER_ERROR and answer[0] not in RETRIED:
                self._note(method, path, began, f"{answer[0]} {answer[1][:80]!r}", seen)
                return answer
            time.sleep(pause_s)
            pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)
        self._note(method, path, began, "no clear answer", seen)
        return None

    def _note(self, method: str, path: str, began: float, text: str, seen: list[str]) -> None:
        counts = {status: seen.count(status) for status in dict.fromkeys(seen)}
        self.record.write(f"{method} {path}: {text} after {time.monotonic() - began:.2f} s; tries by answer {counts}")

    def _once(self, method: str, path: str, body: bytes | None, silence_s: float) -> tuple[int, bytes] | None:
        address = (self.random.choice(self.fleet.core).address, self.fleet.web)
        answer = exchange(address, method, path, body, silence_s)
        for _ in range(REDIRECTS):
            if answer is None or answer[0] != REDIRECT:
                break
            place = urlsplit(answer[2])
            address = place.hostname or address[0], place.port or address[1]
            answer = exchange(address, method, place._replace(scheme="", netloc="").geturl(), body, silence_s)
        return None if answer is None else answer[:2]


def exchange(
    address: tuple[str, int], method: str, path: str, body: bytes | None = None, silence_s: float = SILENCE_S
) -> tuple[int, bytes, str] | None:
    """Sends one call on a connection of its own; returns status, body and Location, None without an answer."""
    connection = http.client.HTTPConnection(*address, timeout=silence_s)
    try:
        connection.request(method, path, body, {"Content-Type": "application/json"} if body is not None else {})
        response = connection.getresponse()
        return response.status, response.read(), response.getheader("Location", "")
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def encode(document: Any) -> bytes:
    """Returns a body without blanks."""
    return json.dumps(document, separators=(",", ":")).encode()


def route(name: str, prefix: str, version: int) -> dict[str, Any]:
    """Returns a route as in the pages' example, with homes, under the names of `deploy/wire.toml`."""
    return {
        "name": name,
        "host": "hulo84.example",
        "prefix": prefix,
        "kind": "try",
        "limit_ms": 1500,
        "aim_ms": 600,
        "priority": 1,
        "service": "wuno96b",
        "tries": 2,
        "homes": ["rennes", "brest"],
        "version": version,
    }


def first_configuration() -> dict[str, Any]:
    """Returns the first call of the operator: a route, its service and the limits."""
    service = {"name": "wuno96b", "status": "/health", "connections": 130, "protocol": "h1", "tls": False}
    limits = {"header_bytes": 16384, "body_bytes": 67108864, "header_ms": 3000, "idle_ms": 15000, "version": 1}
    items = {
        "routes": [route("r-first", "/first/", 1)],
        "services": [{**service, "cold_s": 3000, "cold_per_s": 7.3, "version": 1}],
        "limits": limits,
    }
    return {"set": items, "drop": {"routes": []}}


def run(case: Callable[[Path, bool], int], folder: Path) -> None:
    """Plays a case and exits with its code; with TROUBLE=0 in the environment it plays without the disruption."""
    sys.exit(case(folder, os.environ.get("TROUBLE", "1") != "0"))


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])
