"""Heartbeats told from node to node: each at once, and by a digest with one other node a round."""

from __future__ import annotations

import random

import gevent
import msgspec
from gevent.lock import RLock

from mallowvalve import clock
from mallowvalve.membership.task import MembershipTask
from mallowvalve.metrics import exit_on_failure, log_event
from mallowvalve.transport.task import Transport
from mallowvalve.types import Address
from mallowvalve.upstreams.board import AgedHeartbeat, Heartbeat, HeartbeatRow, HeartbeatTable

ROUND = 1.0
"""Seconds between two exchanges with another node, on average; each wait is 0.8 to 1.2 of it."""

encode = msgspec.msgpack.Encoder().encode
_aged = msgspec.msgpack.Decoder(list[AgedHeartbeat]).decode
_digest = msgspec.msgpack.Decoder(dict[str, tuple[int, int]]).decode


class HeartbeatTask:
    """Owns the board and the greenlet that keeps it alike on all nodes; `board` is not to be changed by others."""

    __slots__ = ("table", "membership", "transport", "_lock", "_job", "_rng", "_logged_status")

    def __init__(self, membership: MembershipTask, transport: Transport) -> None:
        """Exchange with the members of `membership` over `transport`."""
        self.table = HeartbeatTable()
        self.membership = membership
        self.transport = transport
        self._lock = RLock()
        self._rng = random.Random()
        self._logged_status: dict[str, tuple[int, str]] = {}
        transport.on("heartbeats", self._heartbeats, inline=True)
        transport.on("digest", self._on_digest, inline=True)

    def __enter__(self) -> HeartbeatTask:
        """Begin to exchange."""
        self._job = exit_on_failure(gevent.spawn(self._run))
        return self

    def __exit__(self, *_: object) -> None:
        """Exchange no more."""
        self._job.kill()

    def receive(self, heartbeat: Heartbeat) -> bool:
        """Take in an upstream's own heartbeat and tell it to all nodes; false if it says nothing new."""
        with self._lock:
            fresh = self.table.record(heartbeat, clock.now())
        if fresh:
            body = encode([AgedHeartbeat(heartbeat, 0.0)])
            for record in self.membership.alive():
                self.transport.cast(record.addr, "heartbeats", body)
            self._log(heartbeat)
        return fresh

    def usable(self, service: str) -> list[HeartbeatRow]:
        """Upstreams of a service that are ready and not silent."""
        with self._lock:
            return self.table.usable(service, clock.now())

    def drop_expired(self, now: float) -> None:
        """Drop those that were silent for long, and log what became silent."""
        with self._lock:
            self.table.drop_expired(now)
            self._logged_status = {
                name: known for name, known in self._logged_status.items() if name in self.table.rows
            }
            for row in self.table.rows.values():
                self._log(row.heartbeat, self.table.status(row, now))

    def _heartbeats(self, _sender: Address, body: bytes) -> None:
        self._merge(_aged(body))

    def _merge(self, aged: list[AgedHeartbeat]) -> None:
        now = clock.now()
        for one in aged:
            with self._lock:
                fresh = self.table.record(one.heartbeat, now, one.age_s)
            if fresh:
                self._log(one.heartbeat)

    def _on_digest(self, _sender: Address, body: bytes) -> bytes:
        with self._lock:
            return encode(self.table.newer_than(_digest(body), clock.now()))

    def _run(self) -> None:
        while True:
            gevent.sleep(ROUND * (0.8 + 0.4 * self._rng.random()))
            self.drop_expired(clock.now())
            with self._lock:
                body = encode(self.table.digest())
            peers = self.membership.alive()
            if peers:
                self._exchange(self._rng.choice(peers).addr, body)

    def _exchange(self, peer: Address, digest: bytes) -> None:
        """Take in what a peer knows better."""
        answer = self.transport.call(peer, "digest", digest, ROUND)
        if answer.is_err():
            return
        try:
            self._merge(_aged(answer.unwrap()))
        except msgspec.DecodeError:
            self.transport.counts.add("heartbeat_garbage")

    def _log(self, heartbeat: Heartbeat, status: str = "") -> None:
        """Write what became of an upstream to the log, once."""
        now = (heartbeat.incarnation, status or heartbeat.state)
        if self._logged_status.get(heartbeat.name) == now:
            return
        self._logged_status[heartbeat.name] = now
        log_event(
            f"upstream_{now[1]}",
            upstream=heartbeat.name,
            service=heartbeat.service,
            instance=heartbeat.instance,
            incarnation=heartbeat.incarnation,
            address=str(heartbeat.address),
        )
