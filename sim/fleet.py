"""A simulated fleet: core nodes, proxies, directory servers, upstreams and the users that load them."""

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

snapshot.MAX_ROWS_PER_PIECE = 20
ZONES = [Locality(region, f"{region}-{zone}") for region in ("eu", "us", "ap") for zone in "ab"]


class SimulatedFleet:
    """All nodes of a fleet on one simulated network, spread over six zones of three regions."""

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
        self._user_count = 0
        self.disks: dict[Address, SimDisk] = {}
        self.place: dict[Address, Locality] = {}
        self.controls = [self._address("1", i) for i in range(cores)]
        self.proxies = [self._address("2", i) for i in range(proxies)]
        self.directory_server = [self._address("3", i) for i in range(directory_server)]
        self.answer_loss_ratio = answer_loss_ratio
        self.upstreams: dict[str, Address] = {}
        self.seeds = self.controls[:3]
        self.core = list(self.controls)
        for address in self.controls:
            self.disks[address] = SimDisk(random.Random(self.rng.random()))
        for service, count in self.pools:
            for number in range(count):
                self.upstream(f"{service}-{number}", self._address("4", len(self.upstreams)))
        for address in self.controls + self.proxies + self.directory_server:
            self.start(address)

    def _address(self, net: str, i: int) -> Address:
        a = Address(f"10.0.{net}.{i + 1}", 7000)
        self.place[a] = ZONES[i % len(ZONES)]
        return a

    @property
    def nodes(self) -> list[Address]:
        """The addresses of all core nodes, proxies and directory servers, running or not."""
        return self.core + self.proxies + self.directory_server

    def live_controls(self) -> list[Address]:
        """The running core nodes, or all of them if none runs."""
        return [a for a in self.core if self.world.up(a)] or self.core

    def start(self, address: Address) -> None:
        """Starts the node of this address unless it runs."""
        if self.world.up(address):
            return
        if address in self.disks:
            ControlNode(
                self.world,
                address,
                self.place[address],
                self.seeds,
                self.disks[address],
                lambda: [n for n in self.nodes if self.world.up(n)],
            )
        elif address in self.proxies:
            Proxy(self.world, address, self.place[address], self.live_controls, self.history, lambda: self.proxies)
        else:
            ReplicaNode(self.world, address, "directory", self.place[address], self.live_controls)

    def kill(self, a: Address) -> None:
        """Crashes a node with its disk; data that was not synced may be lost."""
        if not self.world.up(a):
            return
        self.world.nodes[a].crash()
        if a in self.disks:
            self.disks[a].crash()

    def replace(self, address: Address) -> Address:
        """Replaces a core node by an empty one at a new address in the same zone; returns that address."""
        self.kill(address)
        self.core.remove(address)
        new = self._address("1", len(self.disks))
        self.place[new] = self.place[address]
        self.disks[new] = SimDisk(random.Random(self.rng.random()))
        self.core.append(new)
        self.start(new)
        return new

    def upstream(self, instance: str, address: Address) -> SimulatedUpstream:
        """Starts a new incarnation of an upstream at this address, in place of whatever ran there."""
        if self.world.up(address):
            self.world.nodes[address].crash()
        self.upstreams[instance] = address
        service = instance.partition("-")[0]
        return SimulatedUpstream(
            self.world,
            address,
            self.history,
            service,
            instance,
            self.place[address],
            lambda: self.proxies,
            self.answer_loss_ratio,
        )

    def pool(self, service: str) -> list[SimulatedUpstream]:
        """The running upstreams of a service."""
        running = [self.world.nodes[a] for i, a in self.upstreams.items() if self.world.up(a)]
        return [n for n in running if isinstance(n, SimulatedUpstream) and n.service == service]

    def user(self, kind, *more):
        """Starts a user of the given class at an address of its own."""
        self._user_count += 1
        return kind(self.world, Address(f"10.0.9.{self._user_count}", 1), self.live_controls, self.history, *more)

    def load(self) -> None:
        """Starts the ordinary load: clients, readers, operators and users of the coordination service."""
        user = self.user

        def proxies() -> list[Address]:
            return [address for address in self.proxies if self.world.up(address)] or self.proxies

        for number in range(5):
            user(OrderClient, proxies, number == 0)
        for _ in range(3):
            user(RankingsReader, proxies)
        for _ in range(2):
            user(Operator, ["eu-a", "us-b"])
            user(LockProposer)
            user(NumberProposer)
            user(EventWatcher)
            user(KeyProposer)

    def leader(self) -> ControlNode | None:
        """The running leader of the newest generation and term, if any."""
        leaders = [self.world.nodes[a] for a in self.core if self.world.up(a) and a not in self.world.frozen]
        leaders = [n for n in leaders if n.core.leads]
        return max(leaders, key=lambda n: (n.core.raft.group.generation, n.core.raft.term), default=None)

    def run(self, seconds: float) -> None:
        """Lets the given simulated time pass."""
        self.world.run(self.world.now + seconds)

    def run_until(self, test, limit: float) -> bool:
        """Runs until `test` returns true, for at most `limit` seconds; returns its last result."""
        end = self.world.now + limit
        while self.world.now < end:
            if test():
                return True
            self.run(0.1)
        return test()

    def served(self) -> int:
        """How many keyed requests their clients got an answer to so far."""
        return sum(t[3] == "done" for t in self.history.told)
