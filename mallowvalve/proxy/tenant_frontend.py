"""Does for a tenant's request what needs sockets and the loop."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

import gevent
import msgspec
from gevent.event import Event
from geventhttpclient.response import HTTPParseError
from result import Err, Ok, Result

from mallowvalve import clock, web
from mallowvalve.control.replica_task import ReplicaTask
from mallowvalve.control.state import encode
from mallowvalve.ledger.ledger import LedgerResult
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
    Step,
    WaitForCapacity,
)
from mallowvalve.proxy.tenant_connection import TenantConnection
from mallowvalve.proxy.tenant_forwarder import TenantForwarder

if TYPE_CHECKING:
    import falcon

INSIST = 10.0
_verdict = msgspec.msgpack.Decoder(LedgerResult).decode


class RejectionsPage:
    """The page of the last rejections."""

    def __init__(self, path: TenantForwarder):
        self.path = path

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        now, about = clock.now(), req.get_param("about") or ""
        web.send_json(
            resp,
            {
                "rejections": [
                    {
                        "ago_ms": int((now - b.at) * 1000),
                        "route": b.route,
                        "tenant": b.tenant,
                        "target": b.target,
                        "status": b.status,
                        "outcome": b.outcome,
                        "why": b.why,
                    }
                    for b in reversed(self.path.rejections)
                    if not about or about in (b.route, b.tenant, b.target, b.outcome)
                ]
            },
        )


class TenantFrontend:
    """Does for a request's path what needs sockets and the loop."""

    def __init__(self, path: TenantForwarder, replica: ReplicaTask, body_bytes: int):
        self.path, self.replica, self.body_bytes = path, replica, body_bytes
        self.counts = path.counts
        self._freed: dict[str, Event] = {}

    def __call__(self, req: falcon.Request, resp: falcon.Response, **_) -> None:
        headers = {k.lower(): v for k, v in req.headers.items()}
        a = ClientRequest(req.method, req.env["mallow.target"], headers, req.remote_addr, req.content_length)
        steps, got = self.path.handle(a), None
        try:
            while True:
                got = self._do(steps.send(got), req)
        except StopIteration as e:
            self._say(resp, req.method, e.value)
        finally:
            steps.close()

    def freed(self, service: str) -> None:
        e = self._freed.pop(service, None)
        if e is not None:
            e.set()

    def _do(self, s: Step, req: falcon.Request):
        match s:
            case Exchange():
                client = req.env.get("mallow.handler") if s.stop_if_client_leaves else None
                return s.connection.exchange(s.method, s.request, s.end, client)
            case ClientCheck():
                return CLIENT_LEFT if web.client_left(req) else None
            case ProposeCommand():
                return self._offer(s.command, s.timeout_s)
            case ReadBody():
                return self._body(req, s.end)
            case OpenConnection():
                r = TenantConnection.open(s.heartbeat, s.status_path, s.end)
                self.counts.add("upstream_connections", r.is_ok())
                return r
            case WaitForCapacity():
                left = s.end - clock.now()
                return left > 0 and self._freed.setdefault(s.service, Event()).wait(timeout=left)
            case Sleep():
                return gevent.sleep(s.delay_s)
            case ProposeInBackground():
                return gevent.spawn(self._insist, s)

    def _body(self, req: falcon.Request, end: float) -> Result[bytes, tuple[int, str, str]]:
        try:
            with gevent.Timeout(max(0.001, end - clock.now())):
                body = web.read_body(req, self.body_bytes)
        except gevent.Timeout:
            return Err((408, "body", "did not arrive within the limit"))
        except OSError:
            return Err((400, "body", "broken off or badly chunked"))
        return Err((413, "body", f"larger than {self.body_bytes} bytes")) if body is None else Ok(body)

    def _offer(self, command, limit: float) -> LedgerResult:
        t = self.replica.offer(encode(command), limit)
        return _verdict(t.body) if t.body else LedgerResult("undecided")

    def _insist(self, s: ProposeInBackground) -> None:
        end = clock.now() + INSIST
        while clock.now() < end:
            if self._offer(s.command, 2.0).state in s.accepted_states:
                return
            gevent.sleep(0.5)
        self.counts.add("claim_left_open")

    def _say(self, resp: falcon.Response, method: str, r: ProxyResponse) -> None:
        if r.close:
            resp.set_header("Connection", "close")
        if r.replayed:
            resp.set_header("Mallow-Repeat", "1")
        a = r.answer
        if a is None:
            web.reject(resp, r.status, r.outcome, r.findings, r.retry_after)
            return
        resp.status = a.status
        for k, v in a.headers:
            if k.lower() == "content-type":
                resp.content_type = v
            else:
                resp.append_header(k, v)
        if a.body_stream is None:
            resp.data = a.body
        else:
            resp.stream = StreamedBody(r)
        if a.length is not None and (a.body_stream is not None or method == "HEAD"):
            resp.content_length = a.length


class StreamedBody:
    """The rest of an answer; its place is given back when it ends, or is left."""

    __slots__ = ("lease", "rest", "drain_if_client_leaves")

    def __init__(self, reply: ProxyResponse):
        """With `drain_if_client_leaves` the rest is read to its end also when nobody takes it any more."""
        self.lease, self.rest, self.drain_if_client_leaves = (
            reply.lease,
            reply.answer.body_stream,
            reply.drain_if_client_leaves,
        )

    def __iter__(self):
        """The parts as they come."""
        try:
            for part in self.rest:
                yield bytes(part)
        finally:
            self.close()

    def close(self) -> None:
        """Nobody takes more of it."""
        if self.drain_if_client_leaves:
            self.drain_if_client_leaves = False
            gevent.spawn(self._read_on)
            return
        self.lease.release(keep=False)

    def _read_on(self) -> None:
        with suppress(OSError, HTTPParseError):
            for _ in self.rest:
                pass
        self.lease.release(keep=False)
