"""The processes of a fleet on this machine: started, stopped, killed, frozen, cut off."""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec

from mallowvalve.fault import FLEET
from mallowvalve.localfleet.ports import HOST, free_ports


class NodePlacement(msgspec.Struct):
    """A process of a role at REGION/ZONE."""

    role: str
    locality: str


class UpstreamPool(msgspec.Struct):
    """The upstreams of a service, one at each of the localities."""

    service: str
    localities: list[str]


class FleetShape(msgspec.Struct):
    """A fleet: its processes, upstreams and configuration, and the load of its clients (`rate` requests a second).

    `shares` are kinds of requests: [tenant, method, path, once, weight].
    """

    nodes: list[NodePlacement]
    upstreams: list[UpstreamPool]
    config: dict
    shares: list[list] = []
    rate: float = 50.0
    clients: int = 20


class FleetProcess:
    """A process: its command line, ports and files; `job` while it runs."""

    __slots__ = ("name", "role", "args", "web_port", "transport_port", "data", "job", "log", "locality", "tell")

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
        """One that is not started yet."""
        self.name, self.role, self.args, self.web_port, self.transport_port = name, role, args, web_port, transport_port
        self.locality, self.log, self.data = locality, log, data
        self.job: subprocess.Popen | None = None
        self.tell: list[str] = []

    @property
    def is_running(self) -> bool:
        """Whether it runs."""
        return self.job is not None and self.job.poll() is None


class LocalFleet:
    """All processes by name. While it is entered those of the shape run; `wish` are the faults put in."""

    def __init__(self, shape: FleetShape, folder: Path, polite: float = 4.0):
        """Plan the processes with free ports, their files in `folder`; a polite stop may take `polite` seconds."""
        self.shape, self.folder, self.polite = shape, folder, polite
        self.processes: dict[str, FleetProcess] = {}
        self.wish: dict = {}
        self.operators = None
        folder.mkdir(parents=True, exist_ok=True)
        self._plan()

    def _plan(self) -> None:
        ports = iter(free_ports(2 * len(self.shape.nodes) + sum(len(p.localities) for p in self.shape.upstreams)))
        spots = [(n, f"{n.role}{i}", next(ports), next(ports)) for i, n in enumerate(self.shape.nodes)]
        self.seeds = [f"{HOST}:{m}" for n, _, _, m in spots if n.role == "control"][:3]
        for n, name, web_port, transport_port in spots:
            self._node(n, name, web_port, transport_port)
        nodes = list(self.processes.values())
        tell = [x for p in nodes if p.role != "control" for x in ("--tell", f"{HOST}:{p.web_port}")]
        for p in self.shape.upstreams:
            for i, loc in enumerate(p.localities):
                self.upstream(p.service, f"{p.service}-{i}", loc, next(ports), tell)

    def _node(self, n: NodePlacement, name: str, web_port: int, transport_port: int) -> FleetProcess:
        data = self.folder / name / "data" if n.role == "control" else None
        (self.folder / name).mkdir(exist_ok=True)
        log = self.folder / name / "log"
        args = [
            n.role,
            "--fleet",
            FLEET,
            "--faults",
            str(self.folder / "faults.json"),
            "--name",
            name,
            "--locality",
            n.locality,
            "--transport",
            f"{HOST}:{transport_port}",
            "--web",
            f"{HOST}:{web_port}",
            "--log",
            str(log),
            "--polite",
            str(self.polite),
        ]
        args += [x for s in self.seeds for x in ("--seeds", s)]
        args += ["--data", str(data)] if data else []
        p = self.processes[name] = FleetProcess(name, n.role, args, web_port, transport_port, n.locality, log, data)
        return p

    def upstream(self, service: str, instance: str, locality: str, port: int, tell: list[str]) -> FleetProcess:
        """Plan one more upstream; nodes of `tell` take its heartbeats."""
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
            *tell,
        ]
        p = self.processes[instance] = FleetProcess(
            instance, "upstream", args, port, 0, locality, self.folder / instance / "log"
        )
        p.tell = tell
        return p

    def add_node(self, role: str, locality: str, name: str) -> FleetProcess:
        """Start one more process of a role."""
        web_port, transport_port = free_ports(2)
        p = self._node(NodePlacement(role, locality), name, web_port, transport_port)
        self.start(name)
        return p

    def start_clients(
        self,
        name: str = "clients",
        seed: int = 1,
        rate: float | None = None,
        relentless: bool = False,
        clinging: bool = False,
    ) -> FleetProcess:
        """Start stand-in clients, `rate` requests a second or the shape's own."""
        s = self.shape
        args = [
            "standins",
            "clients",
            "--shares",
            json.dumps(s.shares),
            "--clients",
            str(s.clients),
            "--rate",
            str(rate or s.rate),
            "--journal",
            str(self.folder / "asked.jsonl"),
            "--seed",
            str(seed),
        ]
        args += ["--relentless"] if relentless else []
        args += ["--clinging"] if clinging else []
        args += [x for p in self.with_role("directory") for x in ("--directory", f"{HOST}:{p.web_port}")]
        args += [x for loc in sorted({n.locality for n in s.nodes}) for x in ("--locality", loc)]
        self.processes[name] = FleetProcess(name, "clients", args, 0, 0, "", self.folder / f"{name}.log")
        return self.start(name)

    def with_role(self, role: str) -> list[FleetProcess]:
        """The processes of a role."""
        return [p for p in self.processes.values() if p.role == role]

    def start(self, name: str) -> FleetProcess:
        """Start a process that does not run."""
        p = self.processes[name]
        with open(p.log.parent / f"{p.name}.err", "ab") as err:
            p.job = subprocess.Popen([sys.executable, "-m", "mallowvalve", *p.args], stderr=err, stdout=err)
        return p

    def __enter__(self) -> LocalFleet:
        """Start all processes."""
        for n in list(self.processes):
            self.start(n)
        return self

    def __exit__(self, *_) -> None:
        """Kill all processes."""
        for p in self.processes.values():
            if p.is_running:
                p.job.send_signal(signal.SIGCONT)
                p.job.kill()
        for p in self.processes.values():
            if p.job is not None:
                p.job.wait()

    def kill(self, name: str) -> None:
        """Kill a process at once (SIGKILL)."""
        self.processes[name].job.kill()
        self.processes[name].job.wait()

    def stop(self, name: str, timeout_s: float = 10.0) -> int:
        """Ask a process to stop; its exit code. After `limit` seconds subprocess.TimeoutExpired is raised."""
        j = self.processes[name].job
        j.terminate()
        return j.wait(timeout=timeout_s)

    def freeze(self, name: str) -> None:
        """Let a process stand still (SIGSTOP)."""
        os.kill(self.processes[name].job.pid, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let it go on (SIGCONT)."""
        os.kill(self.processes[name].job.pid, signal.SIGCONT)

    def delete_data(self, name: str) -> None:
        """Delete its folder."""
        shutil.rmtree(self.processes[name].data, ignore_errors=True)

    def cut(self, pairs: list[tuple[FleetProcess, FleetProcess]], one_way: bool = False) -> None:
        """Cuts the transport from each first to each second, and back unless it is one way."""
        both = pairs if one_way else pairs + [(b, a) for a, b in pairs]
        self.wish["cuts"] = [(f"{HOST}:{a.transport_port}", f"{HOST}:{b.transport_port}") for a, b in both]
        self._wish()

    def split(self, left: list[FleetProcess], right: list[FleetProcess], one_way: bool = False) -> None:
        """Cut every process of one side from every one of the other."""
        self.cut([(a, b) for a in left for b in right], one_way)

    def disk(self, full: list[str] = (), stalls: dict[str, float] | None = None) -> None:
        """From now on these disks are full, and writes of those processes stall (s)."""
        self.wish |= {"full": list(full), "stalls": stalls or {}}
        self._wish()

    def heal(self) -> None:
        """Take out all faults."""
        self.wish = {}
        self._wish()

    def _wish(self) -> None:
        new = self.folder / "faults.new"
        new.write_text(json.dumps(self.wish))
        new.rename(self.folder / "faults.json")

    def read_journal(self, file: str) -> list[dict]:
        """The lines of a journal that are whole."""
        path = self.folder / file
        if not path.exists():
            return []
        out = []
        for line in path.read_text().splitlines():
            try:
                out.append(json.loads(line))
            except ValueError:
                continue
        return out


def wait_until(test, timeout_s: float, every: float = 0.1):
    """What `test` says once that is true, or at last after `limit` seconds; asked `every` so many seconds."""
    end = time.monotonic() + timeout_s
    while True:
        v = test()
        if v or time.monotonic() > end:
            return v
        time.sleep(every)
