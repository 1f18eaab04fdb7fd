"""Starts, stops, kills and suspends the processes of a fleet on this machine, and injects faults into them."""

from __future__ import annotations

import json
import os
import random
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Protocol, TypeVar

import msgspec

from mallowvalve.fault import TRIAL_FLEET
from mallowvalve.localfleet.ports import HOST, free_ports

Value = TypeVar("Value")


class NodePlacement(msgspec.Struct):
    """A process of a role and its locality, REGION/ZONE."""

    role: str
    locality: str


class UpstreamPool(msgspec.Struct):
    """The upstreams of a service, one at each of the localities."""

    service: str
    localities: list[str]


class FleetShape(msgspec.Struct):
    """The description of a fleet: its processes, upstreams, configuration and client load.

    `shares` are the kinds of requests: [tenant, method, path, once, weight]. `rate` is in requests per second.
    """

    nodes: list[NodePlacement]
    upstreams: list[UpstreamPool]
    config: dict
    shares: list[list] = []
    rate: float = 50.0
    clients: int = 20


class FleetProcess:
    """A process with its command line, ports and files; `popen` is set once it was started."""

    __slots__ = (
        "name",
        "role",
        "args",
        "web_port",
        "transport_port",
        "data",
        "popen",
        "log",
        "locality",
        "heartbeat_targets",
    )

    def __init__(
        self,
        name: str,
        role: str,
        args: list[str],
        web_port: int,
        transport_port: int,
        locality: str,
        log: Path,
        data: Path | None = None,
    ):
        """Creates a process that is not started yet."""
        self.name, self.role, self.args, self.web_port, self.transport_port = name, role, args, web_port, transport_port
        self.locality, self.log, self.data = locality, log, data
        self.popen: subprocess.Popen | None = None
        self.heartbeat_targets: list[str] = []

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.popen is not None and self.popen.poll() is None

    @property
    def started(self) -> subprocess.Popen[bytes]:
        """The process; raises RuntimeError if it was never started."""
        if self.popen is None:
            raise RuntimeError(f"{self.name} was not started")
        return self.popen

    @property
    def pid(self) -> int:
        """The id of the process; raises RuntimeError if it was never started."""
        return self.started.pid


class FleetOperators(Protocol):
    """The operators of a trial: `operators.ConfigurationOperators`, whose methods these are."""

    def pick_control_port(self, rng: random.Random | None = None) -> int:
        """Returns the web port of a random running control process."""

    def apply_base(self, doc: dict[str, Any], name: str) -> bool:
        """Makes `doc` the configuration; returns whether that was acknowledged."""


class LocalFleet:
    """All processes by name; entering the context starts them. `faults` are the faults currently injected."""

    def __init__(self, shape: FleetShape, folder: Path, stop_grace_s: float = 4.0):
        """Plans the processes on free ports with their files in `folder`; a graceful stop may take `stop_grace_s`."""
        self.shape, self.folder, self.stop_grace_s = shape, folder, stop_grace_s
        self.processes: dict[str, FleetProcess] = {}
        self.faults: dict = {}
        self.running_operators: FleetOperators | None = None
        folder.mkdir(parents=True, exist_ok=True)
        self._plan()

    @property
    def operators(self) -> FleetOperators:
        """The operators of the trial; raises RuntimeError outside one."""
        if self.running_operators is None:
            raise RuntimeError("no operators run")
        return self.running_operators

    def _plan(self) -> None:
        ports = iter(free_ports(2 * len(self.shape.nodes) + sum(len(pool.localities) for pool in self.shape.upstreams)))
        planned = [
            (node, f"{node.role}{index}", next(ports), next(ports)) for index, node in enumerate(self.shape.nodes)
        ]
        self.seeds = [f"{HOST}:{port}" for node, _, _, port in planned if node.role == "control"][:3]
        for node, name, web_port, transport_port in planned:
            self._plan_node(node, name, web_port, transport_port)
        nodes = list(self.processes.values())
        targets = [word for node in nodes if node.role != "control" for word in ("--tell", f"{HOST}:{node.web_port}")]
        for pool in self.shape.upstreams:
            for index, locality in enumerate(pool.localities):
                self.add_upstream(pool.service, f"{pool.service}-{index}", locality, next(ports), targets)

    def _plan_node(self, node: NodePlacement, name: str, web_port: int, transport_port: int) -> FleetProcess:
        data = self.folder / name / "data" if node.role == "control" else None
        (self.folder / name).mkdir(exist_ok=True)
        log = self.folder / name / "log"
        args = [
            node.role,
            "--fleet",
            TRIAL_FLEET,
            "--faults",
            str(self.folder / "faults.json"),
            "--name",
            name,
            "--locality",
            node.locality,
            "--transport",
            f"{HOST}:{transport_port}",
            "--web",
            f"{HOST}:{web_port}",
            "--log",
            str(log),
            "--polite",
            str(self.stop_grace_s),
        ]
        args += [word for seed in self.seeds for word in ("--seeds", seed)]
        args += ["--data", str(data)] if data else []
        process = self.processes[name] = FleetProcess(
            name, node.role, args, web_port, transport_port, node.locality, log, data
        )
        return process

    def add_upstream(
        self, service: str, instance: str, locality: str, port: int, heartbeat_targets: list[str]
    ) -> FleetProcess:
        """Plans one more upstream, which sends its heartbeats to the `--tell` options in `heartbeat_targets`.

        `args[3]` of an upstream's process is its service.
        """
        (self.folder / instance).mkdir(exist_ok=True)
        args = [
            "standins",
            "upstream",
            "--service",
            service,
            "--instance",
            instance,
            "--at",
            f"{HOST}:{port}",
            "--locality",
            locality,
            "--journal",
            str(self.folder / "ran.jsonl"),
            *heartbeat_targets,
        ]
        process = self.processes[instance] = FleetProcess(
            instance, "upstream", args, port, 0, locality, self.folder / instance / "log"
        )
        process.heartbeat_targets = heartbeat_targets
        return process

    def add_node(self, role: str, locality: str, name: str) -> FleetProcess:
        """Starts one more process of a role."""
        web_port, transport_port = free_ports(2)
        process = self._plan_node(NodePlacement(role, locality), name, web_port, transport_port)
        self.start(name)
        return process

    def start_clients(
        self,
        name: str = "clients",
        seed: int = 1,
        rate: float | None = None,
        relentless: bool = False,
        clinging: bool = False,
    ) -> FleetProcess:
        """Starts stand-in clients that send `rate` requests per second in total, by default the rate of the shape."""
        shape = self.shape
        args = [
            "standins",
            "clients",
            "--shares",
            json.dumps(shape.shares),
            "--clients",
            str(shape.clients),
            "--rate",
            str(rate or shape.rate),
            "--journal",
            str(self.folder / "asked.jsonl"),
            "--seed",
            str(seed),
        ]
        args += ["--relentless"] if relentless else []
        args += ["--clinging"] if clinging else []
        args += [
            word
            for directory in self.with_role("directory")
            for word in ("--directory", f"{HOST}:{directory.web_port}")
        ]
        args += [
            word for locality in sorted({node.locality for node in shape.nodes}) for word in ("--locality", locality)
        ]
        self.processes[name] = FleetProcess(name, "clients", args, 0, 0, "", self.folder / f"{name}.log")
        return self.start(name)

    def with_role(self, role: str) -> list[FleetProcess]:
        """Returns the processes of a role."""
        return [process for process in self.processes.values() if process.role == role]

    def start(self, name: str) -> FleetProcess:
        """Starts a process that does not run."""
        process = self.processes[name]
        with open(process.log.parent / f"{process.name}.err", "ab") as err:
            process.popen = subprocess.Popen(
                [sys.executable, "-m", "mallowvalve", *process.args], stderr=err, stdout=err
            )
        return process

    def __enter__(self) -> LocalFleet:
        """Starts all processes."""
        for name in list(self.processes):
            self.start(name)
        return self

    def __exit__(self, *_: object) -> None:
        """Kills all processes."""
        for process in self.processes.values():
            if process.is_running:
                process.started.send_signal(signal.SIGCONT)
                process.started.kill()
        for process in self.processes.values():
            if process.popen is not None:
                process.popen.wait()

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL and waits for its end."""
        self.processes[name].started.kill()
        self.processes[name].started.wait()

    def stop(self, name: str, timeout_s: float = 10.0) -> int:
        """Sends SIGTERM and returns the exit code; raises subprocess.TimeoutExpired after `timeout_s`."""
        popen = self.processes[name].started
        popen.terminate()
        return popen.wait(timeout=timeout_s)

    def freeze(self, name: str) -> None:
        """Suspends a process with SIGSTOP."""
        os.kill(self.processes[name].pid, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a suspended process with SIGCONT."""
        os.kill(self.processes[name].pid, signal.SIGCONT)

    def delete_data(self, name: str) -> None:
        """Deletes the data folder of a process."""
        data = self.processes[name].data
        if data is not None:
            shutil.rmtree(data, ignore_errors=True)

    def cut_links(self, pairs: list[tuple[FleetProcess, FleetProcess]], one_way: bool = False) -> None:
        """Drops transport messages from the first to the second of each pair, and back unless `one_way`."""
        both = pairs if one_way else pairs + [(receiver, sender) for sender, receiver in pairs]
        self.faults["cuts"] = [
            (f"{HOST}:{sender.transport_port}", f"{HOST}:{receiver.transport_port}") for sender, receiver in both
        ]
        self._write_faults()

    def partition(self, left: list[FleetProcess], right: list[FleetProcess], one_way: bool = False) -> None:
        """Cuts every process of `left` off from every process of `right`."""
        self.cut_links([(a, b) for a in left for b in right], one_way)

    def set_disk_faults(self, full: Sequence[str] = (), stalls: dict[str, float] | None = None) -> None:
        """Makes the disks of the processes in `full` refuse writes, and delays each write of those in `stalls` (s)."""
        self.faults |= {"full": list(full), "stalls": stalls or {}}
        self._write_faults()

    def clear_faults(self) -> None:
        """Removes all injected faults."""
        self.faults = {}
        self._write_faults()

    def _write_faults(self) -> None:
        new = self.folder / "faults.new"
        new.write_text(json.dumps(self.faults))
        new.rename(self.folder / "faults.json")

    def read_journal(self, file: str) -> list[dict]:
        """Returns the complete rows of a journal; skips a line that is still being written."""
        path = self.folder / file
        if not path.exists():
            return []
        rows = []
        for line in path.read_text().splitlines():
            try:
                rows.append(json.loads(line))
            except ValueError:
                continue
        return rows


def wait_until(test: Callable[[], Value], timeout_s: float, interval_s: float = 0.1) -> Value:
    """Polls `test` every `interval_s` until its result is true or `timeout_s` have passed; returns the last result."""
    end = time.monotonic() + timeout_s
    while True:
        result = test()
        if result or time.monotonic() > end:
            return result
        time.sleep(interval_s)
