"""Gossip of heartbeats between nodes: each is sent to all at once, and digests are exchanged with one node a round."""

from __future__ import annotations

import random

import gevent
import msgspec
from gevent.lock import RLock

from mallowvalve import clock
from mallowvalve.membership.task import MembershipTask
from mallowvalve.metrics import log_event
from mallowvalve.supervision import restart_on_failure
from mallowvalve.transport.task import Transport
from mallowvalve.types import Address
from mallowvalve.upstreams.board import AgedHeartbeat, Heartbeat, HeartbeatRow, HeartbeatTable

EXCHANGE_INTERVAL_S = 1.0
"""Mean time between two digest exchanges; each wait is 0.8 to 1.2 times as long."""

encode = msgspec.msgpack.Encoder().encode
_decode_heartbeats = msgspec.msgpack.Decoder(list[AgedHeartbeat]).decode
_decode_digest = msgspec.msgpack.Decoder(dict[str, tuple[int, int]]).decode


class HeartbeatTask:
    """Owns the heartbeat table and the greenlet that synchronizes it between nodes; only the task changes `table`."""

    __slots__ = ("table", "membership", "transport", "_lock", "_job", "_rng", "_logged_status")

    def __init__(self, membership: MembershipTask, transport: Transport) -> None:
        """Exchanges heartbeats with the members of `membership` over `transport`."""
        self.table = HeartbeatTable()
        self.membership = membership
        self.transport = transport
        self._lock = RLock()
        self._rng = random.Random()
        self._logged_status: dict[str, tuple[int, str]] = {}
        transport.on("heartbeats", self._on_heartbeats, inline=True)
        transport.on("digest", self._on_digest, inline=True)

    def __enter__(self) -> HeartbeatTask:
        """Starts the exchange."""
        self._job = restart_on_failure("heartbeats", self._run, self.transport.counts)
        return self

    def __exit__(self, *_: object) -> None:
        """Stops the exchange."""
        self._job.kill()

    def receive(self, heartbeat: Heartbeat) -> bool:
        """Stores a heartbeat received from its upstream and sends it to all nodes; returns whether it is new."""
        with self._lock:
            is_new = self.table.record(heartbeat, clock.now())
        if is_new:
            body = encode([AgedHeartbeat(heartbeat, 0.0)])
            for record in self.membership.alive():
                self.transport.cast(record.addr, "heartbeats", body)
            self._log(heartbeat)
        return is_new

    def usable(self, service: str) -> list[HeartbeatRow]:
        """Returns the upstreams of a service that are ready and not silent."""
        with self._lock:
            return self.table.usable(service, clock.now())

    def drop_expired(self, now: float) -> None:
        """Removes the upstreams that were silent for too long, and logs those that became silent."""
        with self._lock:
            self.table.drop_expired(now)
            self._logged_status = {
                name: status for name, status in self._logged_status.items() if name in self.table.rows
            }
            for row in self.table.rows.values():
                self._log(row.heartbeat, self.table.status(row, now))

    def _on_heartbeats(self, _sender: Address, body: bytes) -> None:
        self._merge(_decode_heartbeats(body))

    def _merge(self, heartbeats: list[AgedHeartbeat]) -> None:
        now = clock.now()
        for aged in heartbeats:
            with self._lock:
                is_new = self.table.record(aged.heartbeat, now, aged.age_s)
            if is_new:
                self._log(aged.heartbeat)

    def _on_digest(self, _sender: Address, body: bytes) -> bytes:
        with self._lock:
            return encode(self.table.newer_than(_decode_digest(body), clock.now()))

    def _run(self) -> None:
        while True:
            gevent.sleep(EXCHANGE_INTERVAL_S * (0.8 + 0.4 * self._rng.random()))
            self.drop_expired(clock.now())
            with self._lock:
                body = encode(self.table.digest())
            peers = self.membership.alive()
            if peers:
                self._exchange(self._rng.choice(peers).addr, body)

    def _exchange(self, peer: Address, digest: bytes) -> None:
        """Fetches and stores the heartbeats that are newer at a peer."""
        answer = self.transport.call(peer, "digest", digest, EXCHANGE_INTERVAL_S)
        if answer.is_err():
            return
        try:
            self._merge(_decode_heartbeats(answer.unwrap()))
        except msgspec.DecodeError:
            self.transport.counts.add("heartbeat_garbage")

    def _log(self, heartbeat: Heartbeat, status: str = "") -> None:
        """Logs an upstream's status, once for each change."""
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
