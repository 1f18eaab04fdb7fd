from __future__ import annotations

import random

from mallowvalve.control import snapshot
from mallowvalve.types import Address, Locality
from sim.control import ControlNode
from sim.disk import SimDisk
from sim.history import RunHistory
from sim.proxy import Proxy
from sim.replica import ReplicaNode
from sim.upstream import SimulatedUpstream
from sim.users import EventWatcher, KeyProposer, LockProposer, NumberProposer, Operator, OrderClient, RankingsReader
from sim.world import World

snapshot.SLICE = 20
ZONES = [Locality(r, f"{r}-{z}") for r in ("eu", "us", "ap") for z in "ab"]


class SimulatedFleet:
    pools = (("boards", 6), ("runs", 6), ("spare", 3))

    def __init__(
        self,
        seed: int,
        cores: int = 6,
        proxies: int = 9,
        directory_server: int = 2,
        loss: float = 0.0,
        answer_loss_ratio: float = 0.05,
    ):
        self.world = World(seed, loss=loss, double=0.01)
        self.rng = random.Random(seed * 7919 + 1)
        self.history = RunHistory()
        self._users = 0
        self.disks: dict[Address, SimDisk] = {}
        self.place: dict[Address, Locality] = {}
        self.controls = [self._address("1", i) for i in range(cores)]
        self.proxies = [self._address("2", i) for i in range(proxies)]
        self.directory_server = [self._address("3", i) for i in range(directory_server)]
        self.answer_loss_ratio = answer_loss_ratio
        self.upstreams: dict[str, Address] = {}
        self.seeds = self.controls[:3]
        self.core = list(self.controls)
        for a in self.controls:
            self.disks[a] = SimDisk(random.Random(self.rng.random()))
        for service, n in self.pools:
            for i in range(n):
                self.upstream(f"{service}-{i}", self._address("4", len(self.upstreams)))
        for a in self.controls + self.proxies + self.directory_server:
            self.start(a)

    def _address(self, net: str, i: int) -> Address:
        a = Address(f"10.0.{net}.{i + 1}", 7000)
        self.place[a] = ZONES[i % len(ZONES)]
        return a

    @property
    def nodes(self) -> list[Address]:
        return self.core + self.proxies + self.directory_server

    def live_controls(self) -> list[Address]:
        return [a for a in self.core if self.world.up(a)] or self.core

    def start(self, a: Address) -> None:
        if self.world.up(a):
            return
        if a in self.disks:
            ControlNode(
                self.world,
                a,
                self.place[a],
                self.seeds,
                self.disks[a],
                lambda: [n for n in self.nodes if self.world.up(n)],
            )
        elif a in self.proxies:
            Proxy(self.world, a, self.place[a], self.live_controls, self.history, lambda: self.proxies)
        else:
            ReplicaNode(self.world, a, "directory", self.place[a], self.live_controls)

    def kill(self, a: Address) -> None:
        if not self.world.up(a):
            return
        self.world.nodes[a].crash()
        if a in self.disks:
            self.disks[a].crash()

    def replace(self, a: Address) -> Address:
        """An empty core machine at a new address in the old one's place."""
        self.kill(a)
        self.core.remove(a)
        new = self._address("1", len(self.disks))
        self.place[new] = self.place[a]
        self.disks[new] = SimDisk(random.Random(self.rng.random()))
        self.core.append(new)
        self.start(new)
        return new

    def upstream(self, instance: str, a: Address) -> SimulatedUpstream:
        """A new life of an upstream, at this address; whatever was there is gone."""
        if self.world.up(a):
            self.world.nodes[a].crash()
        self.upstreams[instance] = a
        service = instance.partition("-")[0]
        return SimulatedUpstream(
            self.world, a, self.history, service, instance, self.place[a], lambda: self.proxies, self.answer_loss_ratio
        )

    def pool(self, service: str) -> list[SimulatedUpstream]:
        ns = [self.world.nodes[a] for i, a in self.upstreams.items() if self.world.up(a)]
        return [n for n in ns if isinstance(n, SimulatedUpstream) and n.service == service]

    def user(self, kind, *more):
        self._users += 1
        return kind(self.world, Address(f"10.0.9.{self._users}", 1), self.live_controls, self.history, *more)

    def load(self) -> None:
        user = self.user

        def proxies() -> list[Address]:
            return [f for f in self.proxies if self.world.up(f)] or self.proxies

        for i in range(5):
            user(OrderClient, proxies, i == 0)
        for _ in range(3):
            user(RankingsReader, proxies)
        for _ in range(2):
            user(Operator, ["eu-a", "us-b"])
            user(LockProposer)
            user(NumberProposer)
            user(EventWatcher)
            user(KeyProposer)

    def leader(self) -> ControlNode | None:
        ls = [self.world.nodes[a] for a in self.core if self.world.up(a) and a not in self.world.frozen]
        ls = [n for n in ls if n.core.leads]
        return max(ls, key=lambda n: (n.core.raft.group.generation, n.core.raft.term), default=None)

    def run(self, seconds: float) -> None:
        self.world.run(self.world.now + seconds)

    def run_until(self, test, limit: float) -> bool:
        end = self.world.now + limit
        while self.world.now < end:
            if test():
                return True
            self.run(0.1)
        return test()

    def served(self) -> int:
        return sum(t[3] == "done" for t in self.history.told)
