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

_verdict = msgspec.msgpack.Decoder(LedgerResult).decode
_heartbeat = msgspec.msgpack.Decoder(Heartbeat).decode
_aged = msgspec.msgpack.Decoder(list[AgedHeartbeat]).decode
_digest = msgspec.msgpack.Decoder(dict[str, tuple[int, int]]).decode
_names = msgspec.msgpack.Decoder(list[bytes]).decode
decode = msgspec.msgpack.decode
LATE = 20.0


class SimConnection:
    """One exchange at a time; an answer that comes late is read by whoever uses the connection next, as on a real one."""

    def __init__(self, node: Proxy, heartbeat: Heartbeat, life: int):
        self.node, self.heartbeat, self.life, self.since = node, heartbeat, life, node.now
        self.closed, self._then = False, None

    def close(self) -> None:
        self.closed = True

    def stale(self) -> bool:
        n = self.node.world.nodes.get(self.heartbeat.address)
        return n is not None and n.life != self.life

    def exchange(self, request: bytes, end: float, then) -> None:
        self._then = then
        self.node.call(self.heartbeat.address, "run", request, LATE, self._arrived)
        self.node.wake(max(0.001, end - self.node.now), lambda: self._ended(then))

    def _arrived(self, data: bytes | None) -> None:
        if self.closed or data is None or self._then is None:
            return None
        then, self._then = self._then, None
        if data in (b"reset", b"garbage", b"half"):
            return then(Err(f"{'garbage' if data == b'garbage' else 'broken'}: {data.decode()}"))
        then(Ok(UpstreamResponse(200, [], data, len(data), None, True)))

    def _ended(self, then) -> None:
        if self._then is then:
            self._then = None
            then(Err("limit"))


class BroadcastingRetryDetector(RetryDetector):
    __slots__ = ("tell",)

    def record_failure(self, name: bytes, now: float) -> None:
        super().record_failure(name, now)
        self.tell(name)


class Proxy(ReplicaNode):
    """The proxy: its own path, pool, board and replica, over simulated connections."""

    def __init__(self, world, addr, locality, controls, history: RunHistory, proxies):
        super().__init__(world, addr, "proxy", locality, controls)
        self.history, self.proxies = history, proxies
        self.board, self.repeats = HeartbeatTable(), BroadcastingRetryDetector()
        self.repeats.tell = lambda name: self._tell_others("failed", encode([name]))
        self.pool = TenantUpstreamPool(self.board, self.replica, locality, self.rng, lambda: self.now, self._freed)
        self.path = TenantForwarder(
            self.replica,
            self.pool,
            self.repeats,
            Counts(),
            lambda: self.now,
            locality,
            f"{addr}#{self.life}",
            lambda: f"{self.rng.getrandbits(64):x}",
        )
        self._rooms: dict[str, list] = {}
        self.every(0.2, self._watch)
        self.every(1.0, self._digests)

    def _watch(self) -> None:
        if self.admits():
            self.history.admitted.append((self.now, self.addr, self.replica.revision, self.replica.group))

    def handle(self, kind, src, body, answer) -> None:
        match kind:
            case "request":
                self._request(src, decode(body), answer)
            case "heartbeat":
                self._heartbeat(_heartbeat(body), answer)
            case "heartbeats":
                self._merge(_aged(body))
            case "digest":
                answer(encode(self.board.newer_than(_digest(body), self.now)))
            case "failed":
                for name in _names(body):
                    RetryDetector.record_failure(self.repeats, name, self.now)
            case _:
                super().handle(kind, src, body, answer)

    def _request(self, src, r: list, answer) -> None:
        id, key, n, tenant, method, target, limit, again, slow = r
        headers = {"mallow-tenant": tenant, "mallow-limit": str(limit)}
        if key:
            headers["mallow-key"] = key
        if again:
            headers["mallow-again"] = "1"
        mark = [id, key, n, tenant, target]
        self._drive(self.path.handle(ClientRequest(method, target, headers, src.host)), None, mark, slow, answer)

    def _drive(self, steps, got, mark: list, slow: float, answer) -> None:
        try:
            s = steps.send(got)
        except StopIteration as e:
            return answer(encode(said(e.value)))

        def go(result) -> None:
            self._drive(steps, result, mark, slow, answer)

        match s:
            case ReadBody():
                late = slow > s.end - self.now
                body = (
                    Err((408, "body", "did not arrive"))
                    if late
                    else Ok(mark[0].encode() if mark[1] == "" else mark[1].encode())
                )
                self.wake(min(slow, max(0.0, s.end - self.now)), lambda: go(body))
            case ProposeCommand():
                self.offer(
                    encode(s.command),
                    s.timeout_s,
                    lambda t: go(_verdict(t.body) if t.body else LedgerResult("undecided")),
                )
            case ProposeInBackground():
                self._insist(s, self.now + 10.0)
                go(None)
            case Sleep():
                self.wake(s.delay_s, lambda: go(None))
            case WaitForCapacity():
                self._rooms.setdefault(s.service, []).append(go)
                self.wake(max(0.001, s.end - self.now), lambda: self._no_room(s.service, go))
            case OpenConnection():
                left = max(0.001, min(1.0, s.end - self.now))
                self.call(s.heartbeat.address, "status", b"", left, lambda d: go(self._identify(s.heartbeat, d)))
            case ClientCheck():
                go(CLIENT_LEFT if getattr(answer, "left", False) else None)
            case Exchange():
                s.connection.exchange(encode([s.connection.life, *mark]), s.end, go)

    def _identify(self, b: Heartbeat, data: bytes | None) -> Result:
        if data is None:
            return Err("unreachable")
        service, instance, incarnation, life = decode(data)
        if (service, instance, incarnation) != (b.service, b.instance, b.incarnation):
            return Err("status: another upstream answers here")
        return Ok(SimConnection(self, b, life))

    def _freed(self, service: str) -> None:
        for go in self._rooms.pop(service, []):
            self.wake(0.0, lambda go=go: go(True))

    def _no_room(self, service: str, go) -> None:
        waiting = self._rooms.get(service, [])
        if go in waiting:
            waiting.remove(go)
            go(False)

    def _insist(self, s: ProposeInBackground, end: float) -> None:
        def took(t) -> None:
            if t.body and _verdict(t.body).state in s.accepted_states or self.now >= end:
                return
            self.wake(0.5, lambda: self._insist(s, end))

        self.offer(encode(s.command), 2.0, took)

    def _heartbeat(self, b: Heartbeat, answer) -> None:
        if b.service not in self.replica.tree.doc.services:
            return
        if self.board.record(b, self.now):
            self._tell_others("heartbeats", encode([AgedHeartbeat(b, 0.0)]))
        answer(b"ok")

    def _merge(self, aged: list[AgedHeartbeat]) -> None:
        for a in aged:
            self.board.record(a.heartbeat, self.now, a.age_s)

    def _digests(self) -> None:
        self.pool.prune()
        self.board.drop_expired(self.now)
        others = [a for a in self.proxies() if a != self.addr]
        if others:
            self.call(
                self.rng.choice(others),
                "digest",
                encode(self.board.digest()),
                1.0,
                lambda d: d and self._merge(_aged(d)),
            )

    def _tell_others(self, kind: str, body: bytes) -> None:
        for a in self.proxies():
            if a != self.addr:
                self.cast(a, kind, body)


def said(r: ProxyResponse) -> list:
    return ["answer", r.answer.body] if r.answer is not None else [r.outcome, b""]
