from __future__ import annotations

import random

from msgspec.structs import replace

from mallowvalve.control import wire
from mallowvalve.control.outcome import RETRYABLE, Code
from mallowvalve.control.replica import Replica
from mallowvalve.control.replica_task import ATTEMPT
from mallowvalve.control.snapshot_fetch import BASE, NOW
from mallowvalve.control.snapshot_transfer import Gather, Shelf, read_label, read_piece, read_want
from mallowvalve.types import Address, Locality
from sim.world import SimulatedNode, World


class ReplicaNode(SimulatedNode):
    def __init__(self, world: World, addr: Address, role: str, locality: Locality, controls):
        super().__init__(world, addr)
        self.role, self.locality, self.controls = role, locality, controls
        self.rng = random.Random(world.rng.random())
        self.replica = Replica(addr, self.life, role, locality, lambda built: None)
        self.shelf = SimShelf()
        self.wake(0.01, self._follow)
        self.every(0.3, self._round)

    def admits(self) -> bool:
        return self.replica.admits(self.now)

    def control(self) -> Address:
        return self.replica.leader or self.rng.choice(self.controls())

    def handle(self, kind, src, body, answer) -> None:
        match kind:
            case "round":
                answer(wire.encode(self.replica.answer_revision_query(wire.decode_revision_query(body))))
            case "label":
                answer(wire.encode(self.shelf.offer(self.replica.snapshot(), self.now)))
            case "piece":
                answer(wire.encode(self.shelf.cut(read_want(body), self.now)))
            case "who":
                e = self.replica
                answer(
                    wire.encode(
                        wire.ProcessStatus(
                            self.role,
                            "",
                            self.addr,
                            self.locality,
                            [],
                            e.state is None,
                            e.group,
                            e.state.index if e.state else 0,
                            e.voters,
                            e.leader,
                        )
                    )
                )

    def _follow(self) -> None:
        to = self.control()
        self.call(to, "want", wire.encode(self.replica.replication_request(self.now)), 1.5, lambda d: self._fed(to, d))

    def _fed(self, to: Address, data: bytes | None) -> None:
        if data is None:
            if self.replica.leader == to:
                self.replica.leader = None
            return self.wake(0.1, self._follow)
        f = wire.decode_replication_response(data)
        self.replica.receive_response(f, self.now)
        if f.needs_snapshot:
            return pull(
                self, to, BASE, lambda got: self._fetched(got) or self.wake(0.01, self._follow), self.replica.is_behind
            )
        self.wake(0.05 if f.group is None else 0.001, self._follow)

    def _round(self) -> None:
        if not self.replica.leader_is_silent(self.now):
            return
        m = self.replica.revision_query(self.now)
        if m is None:
            return
        for a in self.replica.roster():
            if a != self.addr:
                self.call(a, "round", wire.encode(m), 1.0, lambda d, a=a: self._told(a, d))

    def _told(self, a: Address, data: bytes | None) -> None:
        if data is not None and self.replica.receive_revision_reply(wire.decode_revision_reply(data)):
            pull(self, a, NOW, self._fetched, self.replica.is_behind)

    def _fetched(self, got) -> None:
        if got is not None:
            self.replica.install(*got)

    def offer(self, command: bytes, limit: float, then) -> None:
        offer(self, command, self.now + limit, then)


class SimShelf(Shelf):
    def offer(self, made, now: float):
        return self.put(replace(made[0], state=list(made[1])), now) if made is not None else None


def pull(node: SimulatedNode, to: Address, what: bytes, then, wanted=lambda offered: True) -> None:
    """Fetches a snapshot by pieces; then(None) if it does not come."""

    def labelled(d: bytes | None) -> None:
        offered = read_label(d) if d is not None else None
        if offered is None or not wanted(offered):
            return then(None)
        ask(Gather(offered))

    def ask(g: Gather) -> None:
        w = g.want()
        if w is None:
            return then(g.done().ok())
        node.call(to, "piece", wire.encode(w), 0.5, lambda d: took(g, read_piece(d) if d is not None else None))

    def took(g: Gather, p) -> None:
        if (p is None or g.take(p).is_err()) and g.lost():
            return then(None)
        ask(g)

    node.call(to, "label", what, 1.0, labelled)


def offer(node: SimulatedNode, command: bytes, end: float, then, attempt: float = ATTEMPT) -> None:
    left = min(end - node.now, attempt)
    if left <= 0:
        return then(wire.CommandResponse(Code.UNDECIDED))
    to = node.control()

    def took(data: bytes | None) -> None:
        t = wire.decode_command_response(data) if data is not None else None
        if t is not None and t.code not in RETRYABLE:
            return then(t)
        if hasattr(node, "replica"):
            node.replica.leader = t.leader if t is not None else None
        else:
            node.leader = t.leader if t is not None else None
        node.wake(0.05, lambda: offer(node, command, end, then, attempt))

    node.call(to, "offer", wire.encode(wire.CommandRequest(command, left)), left, took)
