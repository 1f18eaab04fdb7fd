"""A simulated upstream that sends heartbeats to proxies and executes requests."""

from __future__ import annotations

import msgspec

from mallowvalve.types import Address, Locality
from mallowvalve.upstreams.board import Heartbeat
from sim.history import ColdRequest, ExecutedRequest, RunHistory, UpstreamDeparture
from sim.world import SimulatedNode, World

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.decode
WORK_S = 0.02


class SimulatedUpstream(SimulatedNode):
    """Executes the requests of its connections; may lose, corrupt, truncate or delay its answers."""

    def __init__(
        self,
        world: World,
        addr: Address,
        history: RunHistory,
        service: str,
        instance: str,
        locality: Locality,
        proxies,
        answer_loss_ratio: float,
    ):
        super().__init__(world, addr)
        self.history, self.service, self.instance, self.locality = history, service, instance, locality
        self.proxies, self.answer_loss_ratio = proxies, answer_loss_ratio
        self.born, self.incarnation, self.sequence = world.now, self.life, 0
        self.state, self.busy, self.work = "ready", 0, WORK_S
        self.fault, self.share = "", 0.0
        self.leaving_acknowledged = False
        self._heartbeat()

    def leave(self) -> None:
        """Announces leaving until a proxy acknowledges it."""
        self.state = "leaving"
        self._send_heartbeat()

    def handle(self, kind, src, body, answer) -> None:
        """Answers identity checks and executes requests."""
        match kind:
            case "status":
                answer(encode([self.service, self.instance, self.incarnation, self.life]))
            case "run":
                self._run(decode(body), answer)

    def _heartbeat(self) -> None:
        if self.state == "ready":
            self._send_heartbeat()
            self.wake(1.0 + self.world.rng.random(), self._heartbeat)

    def _send_heartbeat(self) -> None:
        self.sequence += 1
        heartbeat = Heartbeat(
            self.service,
            self.instance,
            self.incarnation,
            self.sequence,
            float(self.busy),
            self.state,
            self.locality,
            self.addr,
        )
        state = self.state
        for address in self.world.rng.sample(self.proxies(), min(2, len(self.proxies()))):
            self.call(address, "heartbeat", encode(heartbeat), 0.5, lambda d: self._acknowledged(state, d))
        if self.state == "leaving":
            self.wake(0.5, lambda: self.leaving_acknowledged or self._send_heartbeat())

    def _acknowledged(self, state: str, data: bytes | None) -> None:
        if data is not None and state == "leaving" and not self.leaving_acknowledged:
            self.leaving_acknowledged = True
            self.history.left.append(UpstreamDeparture(self.now, self.instance, self.incarnation))

    def _run(self, fields: list, answer) -> None:
        life, id, key, attempt, tenant, target = fields
        if life != self.life:
            return answer(b"reset")
        self.busy += 1
        self.history.served.append(
            ExecutedRequest(
                self.now,
                id,
                key,
                attempt,
                tenant,
                target,
                self.service,
                self.instance,
                self.incarnation,
                self.locality.region,
                self.locality.zone,
            )
        )
        if key:
            self.history.ran.append((self.now, key, attempt))
        if self.now - self.born < 2.0:
            self.history.cold.append(
                ColdRequest(self.now, self.instance, self.incarnation, self.now - self.born, self.busy)
            )
        self.wake(self.work * (0.5 + self.world.rng.random()), lambda: self._answer(id, target, answer))

    def _answer(self, id: str, target: str, answer) -> None:
        self.busy -= 1
        if self.world.rng.random() < self.answer_loss_ratio:
            return None
        complete = encode([id, target, self.service])
        if not self.fault or self.world.rng.random() >= self.share:
            return answer(complete)
        match self.fault:
            case "garbage":
                answer(b"garbage")
            case "half":
                answer(b"half")
            case "late":
                self.wake(6.0, lambda: answer(complete))
