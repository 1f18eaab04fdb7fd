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

from mallowvalve.fault import TRIAL_FLEET
from mallowvalve.localfleet.ports import HOST, free_ports


class Place(msgspec.Struct):
    """A process of a role at REGION/ZONE."""

    role: str
    locality: str


class Pool(msgspec.Struct):
    """The upstreams of a service, one at each of the localities."""

    service: str
    localities: list[str]


class Shape(msgspec.Struct):
    """A fleet: its processes, upstreams and configuration, and the load of its clients (`rate` requests a second).

    `shares` are kinds of requests: [tenant, method, path, once, weight].
    """

    nodes: list[Place]
    upstreams: list[Pool]
    config: dict
    shares: list[list] = []
    rate: float = 50.0
    clients: int = 20


class Proc:
    """A process: its command line, ports and files; `job` while it runs."""

    __slots__ = ("name", "role", "args", "web", "transport", "data", "job", "log", "locality", "tell")

    def __init__(
        self,
        name: str,
        role: str,
        args: list[str],
        web: int,
        transport: int,
        locality: str,
        log: Path,
        data: Path | None = None,
    ):
        """One that is not started yet."""
        self.name, self.role, self.args, self.web, self.transport = name, role, args, web, transport
        self.locality, self.log, self.data = locality, log, data
        self.job: subprocess.Popen | None = None
        self.tell: list[str] = []

    @property
    def up(self) -> bool:
        """Whether it runs."""
        return self.job is not None and self.job.poll() is None


class Fleet:
    """All processes by name. While it is entered those of the shape run; `wish` are the faults put in."""

    def __init__(self, shape: Shape, folder: Path, polite: float = 4.0):
        """Plan the processes with free ports, their files in `folder`; a polite stop may take `polite` seconds."""
        self.shape, self.folder, self.polite = shape, folder, polite
        self.procs: dict[str, Proc] = {}
        self.wish: dict = {}
        self.operators = None
        folder.mkdir(parents=True, exist_ok=True)
        self._plan()

    def _plan(self) -> None:
        ports = iter(free_ports(2 * len(self.shape.nodes) + sum(len(p.localities) for p in self.shape.upstreams)))
        spots = [(n, f"{n.role}{i}", next(ports), next(ports)) for i, n in enumerate(self.shape.nodes)]
        self.seeds = [f"{HOST}:{m}" for n, _, _, m in spots if n.role == "control"][:3]
        for n, name, web, transport in spots:
            self._node(n, name, web, transport)
        nodes = list(self.procs.values())
        tell = [x for p in nodes if p.role != "control" for x in ("--tell", f"{HOST}:{p.web}")]
        for p in self.shape.upstreams:
            for i, loc in enumerate(p.localities):
                self.upstream(p.service, f"{p.service}-{i}", loc, next(ports), tell)

    def _node(self, n: Place, name: str, web: int, transport: int) -> Proc:
        data = self.folder / name / "data" if n.role == "control" else None
        (self.folder / name).mkdir(exist_ok=True)
        log = self.folder / name / "log"
        args = [
            n.role,
            "--fleet",
            TRIAL_FLEET,
            "--faults",
            str(self.folder / "faults.json"),
            "--name",
            name,
            "--locality",
            n.locality,
            "--transport",
            f"{HOST}:{transport}",
            "--web",
            f"{HOST}:{web}",
            "--log",
            str(log),
            "--polite",
            str(self.polite),
        ]
        args += [x for s in self.seeds for x in ("--seeds", s)]
        args += ["--data", str(data)] if data else []
        p = self.procs[name] = Proc(name, n.role, args, web, transport, n.locality, log, data)
        return p

    def upstream(self, service: str, instance: str, locality: str, port: int, tell: list[str]) -> Proc:
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
        p = self.procs[instance] = Proc(instance, "upstream", args, port, 0, locality, self.folder / instance / "log")
        p.tell = tell
        return p

    def add_node(self, role: str, locality: str, name: str) -> Proc:
        """Start one more process of a role."""
        web, transport = free_ports(2)
        p = self._node(Place(role, locality), name, web, transport)
        self.start(name)
        return p

    def start_clients(
        self,
        name: str = "clients",
        seed: int = 1,
        rate: float | None = None,
        relentless: bool = False,
        clinging: bool = False,
    ) -> Proc:
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
        args += [x for p in self.of("directory") for x in ("--directory", f"{HOST}:{p.web}")]
        args += [x for loc in sorted({n.locality for n in s.nodes}) for x in ("--locality", loc)]
        self.procs[name] = Proc(name, "clients", args, 0, 0, "", self.folder / f"{name}.log")
        return self.start(name)

    def of(self, role: str) -> list[Proc]:
        """The processes of a role."""
        return [p for p in self.procs.values() if p.role == role]

    def start(self, name: str) -> Proc:
        """Start a process that does not run."""
        p = self.procs[name]
        with open(p.log.parent / f"{p.name}.err", "ab") as err:
            p.job = subprocess.Popen([sys.executable, "-m", "mallowvalve", *p.args], stderr=err, stdout=err)
        return p

    def __enter__(self) -> Fleet:
        """Start all processes."""
        for n in list(self.procs):
            self.start(n)
        return self

    def __exit__(self, *_) -> None:
        """Kill all processes."""
        for p in self.procs.values():
            if p.up:
                p.job.send_signal(signal.SIGCONT)
                p.job.kill()
        for p in self.procs.values():
            if p.job is not None:
                p.job.wait()

    def kill(self, name: str) -> None:
        """Kill a process at once (SIGKILL)."""
        self.procs[name].job.kill()
        self.procs[name].job.wait()

    def stop(self, name: str, limit: float = 10.0) -> int:
        """Ask a process to stop; its exit code. After `limit` seconds subprocess.TimeoutExpired is raised."""
        j = self.procs[name].job
        j.terminate()
        return j.wait(timeout=limit)

    def freeze(self, name: str) -> None:
        """Let a process stand still (SIGSTOP)."""
        os.kill(self.procs[name].job.pid, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let it go on (SIGCONT)."""
        os.kill(self.procs[name].job.pid, signal.SIGCONT)

    def wipe(self, name: str) -> None:
        """Delete its folder."""
        shutil.rmtree(self.procs[name].data, ignore_errors=True)

    def cut(self, pairs: list[tuple[Proc, Proc]], one_way: bool = False) -> None:
        """Cuts the transport from each first to each second, and back unless it is one way."""
        both = pairs if one_way else pairs + [(b, a) for a, b in pairs]
        self.wish["cuts"] = [(f"{HOST}:{a.transport}", f"{HOST}:{b.transport}") for a, b in both]
        self._wish()

    def split(self, left: list[Proc], right: list[Proc], one_way: bool = False) -> None:
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

    def rows(self, file: str) -> list[dict]:
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


def until(test, limit: float, every: float = 0.1):
    """What `test` says once that is true, or at last after `limit` seconds; asked `every` so many seconds."""
    end = time.monotonic() + limit
    while True:
        v = test()
        if v or time.monotonic() > end:
            return v
        time.sleep(every)
