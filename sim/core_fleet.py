"""A core with its pages, a few replicas, and the users of items, plain coordination and the upstreams' registry."""

from __future__ import annotations

import random

from mallowvalve.types import Address
from sim.callers import (
    CompetingOperator,
    CoreClient,
    Evacuator,
    GroupWatcher,
    HeartbeatingUpstream,
    KeyClient,
    LockClient,
    NumberClient,
    SettingsReader,
)
from sim.control_api import ControlApiNode
from sim.disk import SimDisk
from sim.fleet import SimulatedFleet
from sim.orders import CatchUp, ClientRecords, MemberLoss, NetworkCut
from sim.replica import ReplicaNode

STRAYS = 0.02


class CoreFleet(SimulatedFleet):
    """A fleet whose core machines answer pages; its proxies are replicas only, and it has no upstream machines."""

    pools = ()

    def __init__(self, seed: int, cores: int = 5, proxies: int = 2, segment_bytes: int | None = None):
        """`segment_bytes` as `ControlNode` has it."""
        self.orders, self.segment_bytes = ClientRecords(), segment_bytes
        super().__init__(seed, cores, proxies, 0)

    def enable_late_delivery(self, delayed: bool) -> None:
        """From now on some messages between core machines come twice, the second time much later; or only then."""
        self.world.late_duplicate_ratio = STRAYS
        self.world.late_ratio = STRAYS if delayed else 0.0
        self.world.late_delivery_nodes |= set(self.core)

    def start(self, a: Address) -> None:
        """Starts a machine unless it runs; a core machine comes with its pages."""
        if self.world.up(a):
            return
        if a in self.disks:
            ControlApiNode(self.world, a, self.place[a], self.seeds, self.disks[a], self._running, self.segment_bytes)
        else:
            ReplicaNode(self.world, a, "proxy", self.place[a], self.live_controls)

    def _running(self) -> list[Address]:
        return [n for n in self.nodes if self.world.up(n)]

    def caller(self, kind: type[CoreClient], *more, **named) -> CoreClient:
        """A user with an address of its own; its calls reach any core machine that is listed."""
        self._users += 1
        a = Address(f"10.0.9.{self._users}", 1)
        return kind(self.world, a, lambda: self.core, self.orders, *more, **named)

    def load(self) -> None:
        """The users of an ordinary day."""
        for stays in (False, True):
            self.caller(CompetingOperator, ["r0", "r1", "r2"])
            self.caller(SettingsReader)
            self.caller(LockClient)
            self.caller(NumberClient)
            self.caller(KeyClient)
            self.caller(GroupWatcher, stays)
        for zone in ("eu-a", "us-b"):
            self.caller(Evacuator, zone)
        for _ in range(3):
            self.caller(HeartbeatingUpstream)

    def confirmed(self) -> int:
        """How many orders of items were confirmed so far."""
        return sum(x.status == 200 for x in self.orders.orders)

    def voters(self) -> list[Address]:
        """Running voters by the leader's log, or the whole core where nobody leads."""
        lead = self.leader()
        voters = set(lead.core.raft.log.configuration.voters.values()) if lead is not None else set(self.core)
        return [a for a in self.core if a in voters and self.world.up(a)] or list(self.core)

    def isolate(self, some: list[Address], ways: str, held: bool) -> NetworkCut:
        """Cuts machines from the rest of the core: `in`, `out` or `both`; `held` delivers late what else is lost."""
        act = self.world.hold_messages if held else lambda a, b: self.world.cut(a, b, one_way=True)
        for a in some:
            for b in self.nodes:
                if b in some:
                    continue
                if ways in ("in", "both"):
                    act(b, a)
                if ways in ("out", "both"):
                    act(a, b)
        voters = self.voters()
        inside = sum(a in some for a in voters)
        without = some if 2 * inside <= len(voters) else [a for a in self.core if a not in some]
        if 2 * inside == len(voters):
            without = list(self.core)
        c = NetworkCut(without, self.world.now, float("inf"))
        self.orders.cuts.append(c)
        return c

    def rejoin(self, c: NetworkCut) -> None:
        """Ends all cuts."""
        c.ended = self.world.now
        self.world.heal()

    def take_down(self, a: Address, how: str) -> MemberLoss:
        """A member lost: its process ends; `wiped` and `removed` lose its disk too. Judged by the next confirmation."""
        self.kill(a)
        if how != "killed":
            self.disks[a].wipe()
        x = MemberLoss(f"{a} {how}, core of {len(self.core)}", self.world.now)
        self.orders.losses.append(x)
        self._await_order(x)
        return x

    def leave(self, a: Address, grace_s: float) -> None:
        """A polite stop, as the daemon's; its disk goes with the machine, and a new one comes in its place."""
        self.world.nodes[a].leave(grace_s)
        self.run_until(lambda: not self.world.up(a), grace_s + 0.5)
        self.take_down(a, "removed")

    def _await_order(self, x: MemberLoss) -> None:
        def look() -> None:
            first = [o.ended for o in self.orders.orders if o.status == 200 and o.begun > x.at]
            if first:
                x.confirmed = min(first)
                return
            self.world.after(0.1, look)

        self.world.after(0.1, look)

    def repair(self, a: Address, how: str) -> Address:
        """Brings back what `take_down` took: at its address, or a new machine at a new one."""
        if how in ("killed", "wiped"):
            self.back(a, how)
            return a
        self.core.remove(a)
        if how != "reused":
            del self.disks[a]
        new = self._address("1", 100 + len(self.place))
        self.place[new] = self.place[a]
        self.disks[new] = SimDisk(random.Random(self.rng.random()))
        self.core.append(new)
        self.world.late_delivery_nodes.add(new)
        self.back(new, how)
        return new

    def give_away(self, a: Address) -> None:
        """The address of a removed core machine goes to a machine of another role."""
        self.disks.pop(a, None)
        self.proxies.append(a)
        self.start(a)

    def back(self, a: Address, how: str) -> None:
        """Starts a core machine and measures until it holds what was committed when it came."""
        committed = max((self._index(b) for b in self.core), default=0)
        self.start(a)
        c = CatchUp(a, how, self.world.now, committed)
        self.orders.catch_ups.append(c)
        self.watch_catch_up(c)

    def watch_catch_up(self, c: CatchUp) -> None:
        """Notes when the machine holds the index; one that ends meanwhile is not judged."""
        life = self.world.nodes[c.machine].life

        def look() -> None:
            n = self.world.nodes.get(c.machine)
            if n is None or n.life != life:
                if c in self.orders.catch_ups:
                    self.orders.catch_ups.remove(c)
                return
            if self._index(c.machine) >= c.index:
                c.ended = self.world.now
                return
            self.world.after(0.05, look)

        look()

    def _index(self, a: Address) -> int:
        n = self.world.nodes.get(a)
        return n.core.state.index if n is not None and n.core.state is not None else 0

    def settle(self, seconds: float = 14.0) -> None:
        """All machines up, all faults over, and time enough for what is judged afterwards."""
        for a in list(self.world.frozen):
            self.world.thaw(a)
        for a in self.nodes:
            if not self.world.up(a):
                self.back(a, "killed") if a in self.disks else self.start(a)
        for d in self.disks.values():
            d.full, d.stall = False, 0.0
        for c in self.orders.cuts:
            c.ended = min(c.ended, self.world.now)
        self.world.heal()
        self.run(seconds)
        self.orders.most_index = max(map(self._index, self.core))
