"""A simulated replica of the control state, and the calls that it and the users share."""

from __future__ import annotations

import random

from msgspec.structs import replace

from mallowvalve.control import wire
from mallowvalve.control.outcome import RETRYABLE, Code
from mallowvalve.control.replica import Replica
from mallowvalve.control.replica_task import ATTEMPT_TIMEOUT_S
from mallowvalve.control.snapshot_fetch import BASE_SNAPSHOT, CURRENT_SNAPSHOT
from mallowvalve.control.snapshot_transfer import (
    PieceCollector,
    SnapshotCache,
    decode_label,
    decode_piece,
    decode_piece_request,
)
from mallowvalve.types import Address, Locality
from sim.world import SimulatedNode, World


class ReplicaNode(SimulatedNode):
    """A proxy or directory process as far as it replicates the control state."""

    def __init__(self, world: World, addr: Address, role: str, locality: Locality, controls):
        super().__init__(world, addr)
        self.role, self.locality, self.controls = role, locality, controls
        self.rng = random.Random(world.rng.random())
        self.replica = Replica(addr, self.life, role, locality, lambda built: None)
        self.shelf = SimShelf()
        self.wake(0.01, self._follow)
        self.every(0.3, self._query_revisions)

    def admits(self) -> bool:
        """Whether the replica's state is recent enough to admit requests."""
        return self.replica.admits(self.now)

    def control(self) -> Address:
        """The control process to call next: the known leader, else a random one."""
        return self.replica.leader or self.rng.choice(self.controls())

    def handle(self, kind, src, body, answer) -> None:
        """Answers revision queries, snapshot requests and status requests."""
        match kind:
            case "round":
                answer(wire.encode(self.replica.answer_revision_query(wire.decode_revision_query(body))))
            case "label":
                answer(wire.encode(self.shelf.offer(self.replica.snapshot(), self.now)))
            case "piece":
                answer(wire.encode(self.shelf.get_piece(decode_piece_request(body), self.now)))
            case "who":
                replica = self.replica
                answer(
                    wire.encode(
                        wire.ProcessStatus(
                            self.role,
                            "",
                            self.addr,
                            self.locality,
                            [],
                            replica.state is None,
                            replica.group,
                            replica.state.index if replica.state else 0,
                            replica.voters,
                            replica.leader,
                        )
                    )
                )

    def _follow(self) -> None:
        to = self.control()
        self.call(
            to,
            "want",
            wire.encode(self.replica.replication_request(self.now)),
            1.5,
            lambda d: self._replication_received(to, d),
        )

    def _replication_received(self, to: Address, data: bytes | None) -> None:
        if data is None:
            if self.replica.leader == to:
                self.replica.leader = None
            return self.wake(0.1, self._follow)
        response = wire.decode_replication_response(data)
        self.replica.receive_response(response, self.now)
        if response.needs_snapshot:
            return pull(
                self,
                to,
                BASE_SNAPSHOT,
                lambda got: self._install_fetched(got) or self.wake(0.01, self._follow),
                self.replica.is_behind,
            )
        self.wake(0.05 if response.group is None else 0.001, self._follow)

    def _query_revisions(self) -> None:
        if not self.replica.leader_is_silent(self.now):
            return
        query = self.replica.revision_query(self.now)
        if query is None:
            return
        for address in self.replica.roster():
            if address != self.addr:
                self.call(
                    address,
                    "round",
                    wire.encode(query),
                    1.0,
                    lambda data, address=address: self._revision_received(address, data),
                )

    def _revision_received(self, address: Address, data: bytes | None) -> None:
        if data is not None and self.replica.receive_revision_reply(wire.decode_revision_reply(data)):
            pull(self, address, CURRENT_SNAPSHOT, self._install_fetched, self.replica.is_behind)

    def _install_fetched(self, got) -> None:
        if got is not None:
            self.replica.install(*got)

    def offer(self, command: bytes, limit: float, then) -> None:
        """Proposes a command with retries for at most `limit` seconds."""
        offer(self, command, self.now + limit, then)


class SimShelf(SnapshotCache):
    """Keeps snapshots for transfer by pieces."""

    def offer(self, made, now: float):
        """Stores a new snapshot and returns its label; None without a snapshot."""
        return self.put(replace(made[0], state=list(made[1])), now) if made is not None else None


def pull(node: SimulatedNode, to: Address, what: bytes, then, wanted=lambda offered: True) -> None:
    """Fetches a snapshot by pieces; calls `then(None)` if the transfer fails or `wanted` rejects the label."""

    def label_received(data: bytes | None) -> None:
        offered = decode_label(data) if data is not None else None
        if offered is None or not wanted(offered):
            return then(None)
        request_piece(PieceCollector(offered))

    def request_piece(gather: PieceCollector) -> None:
        want = gather.next_request()
        if want is None:
            return then(gather.done().ok())
        node.call(
            to,
            "piece",
            wire.encode(want),
            0.5,
            lambda data: piece_received(gather, decode_piece(data) if data is not None else None),
        )

    def piece_received(gather: PieceCollector, piece) -> None:
        if (piece is None or gather.accept(piece).is_err()) and gather.record_failure():
            return then(None)
        request_piece(gather)

    node.call(to, "label", what, 1.0, label_received)


def offer(node: SimulatedNode, command: bytes, end: float, then, attempt: float = ATTEMPT_TIMEOUT_S) -> None:
    """Proposes a command until it gets a final answer, following the leader; undecided once `end` has passed."""
    left = min(end - node.now, attempt)
    if left <= 0:
        return then(wire.CommandResponse(Code.UNDECIDED))
    to = node.control()

    def answered(data: bytes | None) -> None:
        response = wire.decode_command_response(data) if data is not None else None
        if response is not None and response.code not in RETRYABLE:
            return then(response)
        if hasattr(node, "replica"):
            node.replica.leader = response.leader if response is not None else None
        else:
            node.leader = response.leader if response is not None else None
        node.wake(0.05, lambda: offer(node, command, end, then, attempt))

    node.call(to, "offer", wire.encode(wire.CommandRequest(command, left)), left, answered)
