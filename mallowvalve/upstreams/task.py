from __future__ import annotations

import random

import gevent
import msgspec
from gevent.lock import RLock

from mallowvalve import clock
from mallowvalve.membership.task import MembershipTask
from mallowvalve.metrics import change, vital
from mallowvalve.transport.task import Transport
from mallowvalve.types import Address
from mallowvalve.upstreams.board import Aged, Board, Heartbeat, Row

ROUND = 1.0
encode = msgspec.msgpack.Encoder().encode
_aged = msgspec.msgpack.Decoder(list[Aged]).decode
_digest = msgspec.msgpack.Decoder(dict[str, tuple[int, int]]).decode


class HeartbeatTask:
    __slots__ = ("board", "membership", "transport", "_lock", "_job", "_rng", "_known")

    def __init__(self, membership: MembershipTask, transport: Transport):
        self.board, self.membership, self.transport = Board(), membership, transport
        self._lock, self._rng = RLock(), random.Random()
        self._known: dict[str, tuple[int, str]] = {}
        transport.on("heartbeats", self._heartbeats, quick=True)
        transport.on("digest", self._on_digest, quick=True)

    def __enter__(self) -> HeartbeatTask:
        self._job = vital(gevent.spawn(self._run))
        return self

    def __exit__(self, *_) -> None:
        self._job.kill()

    def hear(self, b: Heartbeat) -> bool:
        with self._lock:
            fresh = self.board.hear(b, clock.now())
        if fresh:
            body = encode([Aged(b, 0.0)])
            for r in self.membership.alive():
                self.transport.cast(r.addr, "heartbeats", body)
            self._log(b)
        return fresh

    def usable(self, service: str) -> list[Row]:
        with self._lock:
            return self.board.usable(service, clock.now())

    def forget(self, now: float) -> None:
        with self._lock:
            self.board.forget(now)
            self._known = {n: k for n, k in self._known.items() if n in self.board.rows}
            for r in self.board.rows.values():
                self._log(r.heartbeat, self.board.status(r, now))

    def _heartbeats(self, _sender: Address, body: bytes) -> None:
        self._merge(_aged(body))

    def _merge(self, aged: list[Aged]) -> None:
        now = clock.now()
        for a in aged:
            with self._lock:
                fresh = self.board.hear(a.heartbeat, now, a.age)
            if fresh:
                self._log(a.heartbeat)

    def _on_digest(self, _sender: Address, body: bytes) -> bytes:
        with self._lock:
            return encode(self.board.newer_than(_digest(body), clock.now()))

    def _run(self) -> None:
        while True:
            gevent.sleep(ROUND * (0.8 + 0.4 * self._rng.random()))
            self.forget(clock.now())
            with self._lock:
                body = encode(self.board.digest())
            peers = self.membership.alive()
            if not peers:
                continue
            r = self.transport.call(self._rng.choice(peers).addr, "digest", body, ROUND)
            if r.is_ok():
                try:
                    self._merge(_aged(r.ok_value))
                except msgspec.DecodeError:
                    self.transport.counts.add("heartbeat_garbage")

    def _log(self, b: Heartbeat, status: str = "") -> None:
        now = (b.incarnation, status or b.state)
        if self._known.get(b.name) == now:
            return
        self._known[b.name] = now
        change(
            f"upstream_{now[1]}",
            upstream=b.name,
            service=b.service,
            instance=b.instance,
            incarnation=b.incarnation,
            address=str(b.address),
        )
