"""A simulated proxy: the product's request path and upstream pool over simulated connections."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from mallowvalve.control.state import encode
from mallowvalve.ledger.ledger import LedgerResult
from mallowvalve.metrics import Counts
from mallowvalve.proxy.retry_detector import RetryDetector
from mallowvalve.proxy.steps import (
    CLIENT_LEFT,
    ClientCheck,
    ClientRequest,
    Exchange,
    OpenConnection,
    ProposeCommand,
    ProposeInBackground,
    ProxyResponse,
    ReadBody,
    Sleep,
    UpstreamResponse,
    WaitForCapacity,
)
from mallowvalve.proxy.tenant_forwarder import TenantForwarder
from mallowvalve.proxy.tenant_upstream_pool import TenantUpstreamPool
from mallowvalve.upstreams.board import AgedHeartbeat, Heartbeat, HeartbeatTable
from sim.history import RunHistory
from sim.replica import ReplicaNode

_decode_ledger_result = msgspec.msgpack.Decoder(LedgerResult).decode
_decode_heartbeat = msgspec.msgpack.Decoder(Heartbeat).decode
_decode_aged_heartbeats = msgspec.msgpack.Decoder(list[AgedHeartbeat]).decode
_decode_digest = msgspec.msgpack.Decoder(dict[str, tuple[int, int]]).decode
_decode_names = msgspec.msgpack.Decoder(list[bytes]).decode
decode = msgspec.msgpack.decode
LATE_ANSWER_LIMIT_S = 20.0


class SimConnection:
    """A connection to an upstream, with one exchange at a time.

    As on a real connection, an answer that comes late is read by the next exchange.
    """

    def __init__(self, node: Proxy, heartbeat: Heartbeat, life: int):
        self.node, self.heartbeat, self.life, self.since = node, heartbeat, life, node.now
        self.closed, self._then = False, None

    def close(self) -> None:
        """Closes the connection; answers that come later are dropped."""
        self.closed = True

    def stale(self) -> bool:
        """Whether another process now runs at the upstream's address."""
        node = self.node.world.nodes.get(self.heartbeat.address)
        return node is not None and node.life != self.life

    def exchange(self, request: bytes, end: float, then) -> None:
        """Sends a request; `then` gets the response or an error, at latest at `end`."""
        self._then = then
        self.node.call(self.heartbeat.address, "run", request, LATE_ANSWER_LIMIT_S, self._arrived)
        self.node.wake(max(0.001, end - self.node.now), lambda: self._timed_out(then))

    def _arrived(self, data: bytes | None) -> None:
        if self.closed or data is None or self._then is None:
            return None
        then, self._then = self._then, None
        if data in (b"reset", b"garbage", b"half"):
            return then(Err(f"{'garbage' if data == b'garbage' else 'broken'}: {data.decode()}"))
        then(Ok(UpstreamResponse(200, [], data, len(data), None, True)))

    def _timed_out(self, then) -> None:
        if self._then is then:
            self._then = None
            then(Err("limit"))


class BroadcastingRetryDetector(RetryDetector):
    """Sends each failure it records to the other proxies."""

    __slots__ = ("broadcast",)

    def record_failure(self, name: bytes, now: float) -> None:
        """Records a failed request and broadcasts its name."""
        super().record_failure(name, now)
        self.broadcast(name)


class Proxy(ReplicaNode):
    """A proxy with its own forwarder, upstream pool, heartbeat table and replica of the control state."""

    def __init__(self, world, addr, locality, controls, history: RunHistory, proxies):
        super().__init__(world, addr, "proxy", locality, controls)
        self.history, self.proxies = history, proxies
        self.heartbeats, self.retry_detector = HeartbeatTable(), BroadcastingRetryDetector()
        self.retry_detector.broadcast = lambda name: self._broadcast("failed", encode([name]))
        self.pool = TenantUpstreamPool(
            self.heartbeats, self.replica, locality, self.rng, lambda: self.now, self._capacity_freed
        )
        self.forwarder = TenantForwarder(
            self.replica,
            self.pool,
            self.retry_detector,
            Counts(),
            lambda: self.now,
            locality,
            f"{addr}#{self.life}",
            lambda: f"{self.rng.getrandbits(64):x}",
        )
        self._capacity_waiters: dict[str, list] = {}
        self.every(0.2, self._record_admission)
        self.every(1.0, self._exchange_digest)

    def _record_admission(self) -> None:
        if self.admits():
            self.history.admitted.append((self.now, self.addr, self.replica.revision, self.replica.group))

    def handle(self, kind, src, body, answer) -> None:
        """Handles a client request, or a message of an upstream, another proxy or the control side."""
        match kind:
            case "request":
                self._receive_request(src, decode(body), answer)
            case "heartbeat":
                self._receive_heartbeat(_decode_heartbeat(body), answer)
            case "heartbeats":
                self._merge(_decode_aged_heartbeats(body))
            case "digest":
                answer(encode(self.heartbeats.newer_than(_decode_digest(body), self.now)))
            case "failed":
                for name in _decode_names(body):
                    RetryDetector.record_failure(self.retry_detector, name, self.now)
            case _:
                super().handle(kind, src, body, answer)

    def _receive_request(self, src, fields: list, answer) -> None:
        id, key, attempt, tenant, method, target, limit, again, slow = fields
        headers = {"mallow-tenant": tenant, "mallow-limit": str(limit)}
        if key:
            headers["mallow-key"] = key
        if again:
            headers["mallow-again"] = "1"
        request = [id, key, attempt, tenant, target]
        self._drive(
            self.forwarder.handle(ClientRequest(method, target, headers, src.host)), None, request, slow, answer
        )

    def _drive(self, steps, got, request: list, slow: float, answer) -> None:
        """Runs the forwarder's next step as a simulated event, and continues with its result."""
        try:
            step = steps.send(got)
        except StopIteration as stop:
            return answer(encode(encoded_response(stop.value)))

        def resume(result) -> None:
            self._drive(steps, result, request, slow, answer)

        match step:
            case ReadBody():
                body_too_late = slow > step.end - self.now
                body = (
                    Err((408, "body", "did not arrive"))
                    if body_too_late
                    else Ok(request[0].encode() if request[1] == "" else request[1].encode())
                )
                self.wake(min(slow, max(0.0, step.end - self.now)), lambda: resume(body))
            case ProposeCommand():
                self.offer(
                    encode(step.command),
                    step.timeout_s,
                    lambda response: resume(
                        _decode_ledger_result(response.body) if response.body else LedgerResult("undecided")
                    ),
                )
            case ProposeInBackground():
                self._propose_until_accepted(step, self.now + 10.0)
                resume(None)
            case Sleep():
                self.wake(step.delay_s, lambda: resume(None))
            case WaitForCapacity():
                self._capacity_waiters.setdefault(step.service, []).append(resume)
                self.wake(max(0.001, step.end - self.now), lambda: self._capacity_timed_out(step.service, resume))
            case OpenConnection():
                left = max(0.001, min(1.0, step.end - self.now))
                self.call(
                    step.heartbeat.address,
                    "status",
                    b"",
                    left,
                    lambda data: resume(self._identify(step.heartbeat, data)),
                )
            case ClientCheck():
                resume(CLIENT_LEFT if getattr(answer, "left", False) else None)
            case Exchange():
                step.connection.exchange(encode([step.connection.life, *request]), step.end, resume)

    def _identify(self, heartbeat: Heartbeat, data: bytes | None) -> Result:
        if data is None:
            return Err("unreachable")
        service, instance, incarnation, life = decode(data)
        if (service, instance, incarnation) != (heartbeat.service, heartbeat.instance, heartbeat.incarnation):
            return Err("status: another upstream answers here")
        return Ok(SimConnection(self, heartbeat, life))

    def _capacity_freed(self, service: str) -> None:
        for resume in self._capacity_waiters.pop(service, []):
            self.wake(0.0, lambda resume=resume: resume(True))

    def _capacity_timed_out(self, service: str, resume) -> None:
        waiting = self._capacity_waiters.get(service, [])
        if resume in waiting:
            waiting.remove(resume)
            resume(False)

    def _propose_until_accepted(self, step: ProposeInBackground, end: float) -> None:
        def answered(response) -> None:
            if response.body and _decode_ledger_result(response.body).state in step.accepted_states or self.now >= end:
                return
            self.wake(0.5, lambda: self._propose_until_accepted(step, end))

        self.offer(encode(step.command), 2.0, answered)

    def _receive_heartbeat(self, heartbeat: Heartbeat, answer) -> None:
        if heartbeat.service not in self.replica.tree.doc.services:
            return
        if self.heartbeats.record(heartbeat, self.now):
            self._broadcast("heartbeats", encode([AgedHeartbeat(heartbeat, 0.0)]))
        answer(b"ok")

    def _merge(self, aged_heartbeats: list[AgedHeartbeat]) -> None:
        for aged in aged_heartbeats:
            self.heartbeats.record(aged.heartbeat, self.now, aged.age_s)

    def _exchange_digest(self) -> None:
        self.pool.prune()
        self.heartbeats.drop_expired(self.now)
        others = [address for address in self.proxies() if address != self.addr]
        if others:
            self.call(
                self.rng.choice(others),
                "digest",
                encode(self.heartbeats.digest()),
                1.0,
                lambda data: data and self._merge(_decode_aged_heartbeats(data)),
            )

    def _broadcast(self, kind: str, body: bytes) -> None:
        for address in self.proxies():
            if address != self.addr:
                self.cast(address, kind, body)


def encoded_response(response: ProxyResponse) -> list:
    """The outcome and body of a response, in the form that simulated clients decode."""
    return ["answer", response.answer.body] if response.answer is not None else [response.outcome, b""]
