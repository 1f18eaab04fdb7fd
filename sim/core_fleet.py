"""A simulated core with its HTTP API, a few replicas, and clients of items, coordination and the upstream registry."""

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

LATE_MESSAGE_RATIO = 0.02


class CoreFleet(SimulatedFleet):
    """A fleet whose core nodes answer API requests; its proxies are plain replicas, and it has no upstream nodes."""

    pools = ()

    def __init__(self, seed: int, cores: int = 5, proxies: int = 2, segment_bytes: int | None = None):
        """`segment_bytes` is passed to `ControlNode`."""
        self.orders, self.segment_bytes = ClientRecords(), segment_bytes
        super().__init__(seed, cores, proxies, 0)

    def enable_late_delivery(self, delayed: bool) -> None:
        """Delivers a share of messages between core nodes a second time much later, or (`delayed`) only late."""
        self.world.late_duplicate_ratio = LATE_MESSAGE_RATIO
        self.world.late_ratio = LATE_MESSAGE_RATIO if delayed else 0.0
        self.world.late_delivery_nodes |= set(self.core)

    def start(self, address: Address) -> None:
        """Starts a node unless it runs; a core node also answers API requests."""
        if self.world.up(address):
            return
        if address in self.disks:
            ControlApiNode(
                self.world,
                address,
                self.place[address],
                self.seeds,
                self.disks[address],
                self._running,
                self.segment_bytes,
            )
        else:
            ReplicaNode(self.world, address, "proxy", self.place[address], self.live_controls)

    def _running(self) -> list[Address]:
        return [n for n in self.nodes if self.world.up(n)]

    def caller(self, kind: type[CoreClient], *more, **named) -> CoreClient:
        """Starts a client at an address of its own; it calls any core node on the current list."""
        self._user_count += 1
        a = Address(f"10.0.9.{self._user_count}", 1)
        return kind(self.world, a, lambda: self.core, self.orders, *more, **named)

    def load(self) -> None:
        """Starts the clients of the ordinary load."""
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
        """How many item updates were confirmed so far."""
        return sum(x.status == 200 for x in self.orders.orders)

    def voters(self) -> list[Address]:
        """The running voters by the leader's log, or the whole core without a leader or running voter."""
        lead = self.leader()
        voters = set(lead.core.raft.log.configuration.voters.values()) if lead is not None else set(self.core)
        return [a for a in self.core if a in voters and self.world.up(a)] or list(self.core)

    def isolate(self, isolated: list[Address], direction: str, held: bool) -> NetworkCut:
        """Cuts nodes off from all others in direction `in`, `out` or `both`; records the nodes left without a majority.

        With `held`, messages are delivered late instead of lost.
        """
        block = self.world.hold_messages if held else lambda a, b: self.world.cut(a, b, one_way=True)
        for inner in isolated:
            for outer in self.nodes:
                if outer in isolated:
                    continue
                if direction in ("in", "both"):
                    block(outer, inner)
                if direction in ("out", "both"):
                    block(inner, outer)
        voters = self.voters()
        inside = sum(a in isolated for a in voters)
        without_majority = isolated if 2 * inside <= len(voters) else [a for a in self.core if a not in isolated]
        if 2 * inside == len(voters):
            without_majority = list(self.core)
        cut = NetworkCut(without_majority, self.world.now, float("inf"))
        self.orders.cuts.append(cut)
        return cut

    def rejoin(self, c: NetworkCut) -> None:
        """Ends all network cuts."""
        c.ended = self.world.now
        self.world.heal()

    def take_down(self, address: Address, how: str) -> MemberLoss:
        """Kills a member, and wipes its disk unless `how` is `killed`; records when an update is next confirmed."""
        self.kill(address)
        if how != "killed":
            self.disks[address].wipe()
        loss = MemberLoss(f"{address} {how}, core of {len(self.core)}", self.world.now)
        self.orders.losses.append(loss)
        self._await_confirmation(loss)
        return loss

    def leave(self, a: Address, grace_s: float) -> None:
        """Stops a node gracefully, as the daemon does, and removes it together with its disk."""
        self.world.nodes[a].leave(grace_s)
        self.run_until(lambda: not self.world.up(a), grace_s + 0.5)
        self.take_down(a, "removed")

    def _await_confirmation(self, loss: MemberLoss) -> None:
        def check() -> None:
            ends = [o.ended for o in self.orders.orders if o.status == 200 and o.begun > loss.at]
            if ends:
                loss.confirmed = min(ends)
                return
            self.world.after(0.1, check)

        self.world.after(0.1, check)

    def repair(self, address: Address, how: str) -> Address:
        """Restarts a member after `take_down`, or replaces a removed one at a new address; returns the address."""
        if how in ("killed", "wiped"):
            self.back(address, how)
            return address
        self.core.remove(address)
        if how != "reused":
            del self.disks[address]
        new = self._address("1", 100 + len(self.place))
        self.place[new] = self.place[address]
        self.disks[new] = SimDisk(random.Random(self.rng.random()))
        self.core.append(new)
        self.world.late_delivery_nodes.add(new)
        self.back(new, how)
        return new

    def give_away(self, a: Address) -> None:
        """Starts a proxy at the address of a removed core node."""
        self.disks.pop(a, None)
        self.proxies.append(a)
        self.start(a)

    def back(self, address: Address, how: str) -> None:
        """Starts a core node and records when it has applied all that was committed at its start."""
        committed = max((self._index(member) for member in self.core), default=0)
        self.start(address)
        catch_up = CatchUp(address, how, self.world.now, committed)
        self.orders.catch_ups.append(catch_up)
        self.watch_catch_up(catch_up)

    def watch_catch_up(self, catch_up: CatchUp) -> None:
        """Records when the node reaches the index; the record is dropped if the node ends before."""
        life = self.world.nodes[catch_up.node].life

        def check() -> None:
            node = self.world.nodes.get(catch_up.node)
            if node is None or node.life != life:
                if catch_up in self.orders.catch_ups:
                    self.orders.catch_ups.remove(catch_up)
                return
            if self._index(catch_up.node) >= catch_up.index:
                catch_up.ended = self.world.now
                return
            self.world.after(0.05, check)

        check()

    def _index(self, a: Address) -> int:
        node = self.world.nodes.get(a)
        return node.core.state.index if node is not None and node.core.state is not None else 0

    def settle(self, seconds: float = 14.0) -> None:
        """Ends all faults, starts all nodes, and runs long enough for the checks that follow."""
        for address in list(self.world.frozen):
            self.world.thaw(address)
        for address in self.nodes:
            if not self.world.up(address):
                self.back(address, "killed") if address in self.disks else self.start(address)
        for disk in self.disks.values():
            disk.full, disk.stall = False, 0.0
        for cut in self.orders.cuts:
            cut.ended = min(cut.ended, self.world.now)
        self.world.heal()
        self.run(seconds)
        self.orders.most_index = max(map(self._index, self.core))
