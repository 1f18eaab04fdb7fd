"""Performs the I/O steps of tenants' requests."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

import gevent
import msgspec
from gevent.event import Event
from geventhttpclient.response import HTTPParseError
from result import Err, Ok, Result

from mallowvalve import clock, web
from mallowvalve.body_budget import BodyRefusedError
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

BACKGROUND_PROPOSAL_S = 10.0
"""How long a command is proposed in the background before the claim is left open."""
_decode_result = msgspec.msgpack.Decoder(LedgerResult).decode


class RejectionsPage:
    """`/-/rejections`: the last requests that the proxy itself answered with an error."""

    def __init__(self, forwarder: TenantForwarder):
        """Shows the rejections of `forwarder`."""
        self.forwarder = forwarder

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the newest first; `about` selects a route, tenant, target or outcome."""
        now, about = clock.now(), req.get_param("about") or ""
        web.send_json(
            resp,
            {
                "rejections": [
                    {
                        "ago_ms": int((now - record.at) * 1000),
                        "route": record.route,
                        "tenant": record.tenant,
                        "target": record.target,
                        "status": record.status,
                        "outcome": record.outcome,
                        "why": record.why,
                    }
                    for record in reversed(self.forwarder.rejections)
                    if not about or about in (record.route, record.tenant, record.target, record.outcome)
                ]
            },
        )


class TenantFrontend:
    """The falcon sink for tenants' requests: performs the steps of `forwarder` and sends its response."""

    def __init__(self, forwarder: TenantForwarder, replica: ReplicaTask, body_bytes: int):
        """`body_bytes` is the largest request body."""
        self.forwarder, self.replica, self.body_bytes = forwarder, replica, body_bytes
        self.counts = forwarder.counts
        self._slot_freed: dict[str, Event] = {}

    def __call__(self, req: falcon.Request, resp: falcon.Response, **_) -> None:
        """Answers a request."""
        headers = {name.lower(): value for name, value in req.headers.items()}
        request = ClientRequest(req.method, req.env["mallow.target"], headers, req.remote_addr, req.content_length)
        steps, result = self.forwarder.handle(request), None
        try:
            while True:
                result = self._perform(steps.send(result), req)
        except StopIteration as stop:
            self._respond(resp, req.method, stop.value)
        finally:
            steps.close()

    def wake_waiting(self, service: str) -> None:
        """Wakes all requests that wait for a free slot at a service."""
        event = self._slot_freed.pop(service, None)
        if event is not None:
            event.set()

    def _perform(self, step: Step, req: falcon.Request):
        match step:
            case Exchange():
                client = req.env.get("mallow.handler") if step.stop_if_client_leaves else None
                return step.connection.exchange(step.method, step.request, step.end, client)
            case ClientCheck():
                return CLIENT_LEFT if web.client_left(req) else None
            case ProposeCommand():
                return self._propose(step.command, step.timeout_s)
            case ReadBody():
                return self._read_body(req, step.end)
            case OpenConnection():
                result = TenantConnection.open(step.heartbeat, step.status_path, step.end)
                self.counts.add("upstream_connections", result.is_ok())
                return result
            case WaitForCapacity():
                seconds_left = step.end - clock.now()
                return seconds_left > 0 and self._slot_freed.setdefault(step.service, Event()).wait(
                    timeout=seconds_left
                )
            case Sleep():
                return gevent.sleep(step.delay_s)
            case ProposeInBackground():
                return gevent.spawn(self._propose_until_accepted, step)

    def _read_body(self, req: falcon.Request, end: float) -> Result[memoryview, tuple[int, str, str]]:
        try:
            with gevent.Timeout(max(0.001, end - clock.now())):
                body = web.read_body(req, self.body_bytes)
        except BodyRefusedError:
            return Err((503, "body", "no room for it just now"))
        except gevent.Timeout:
            return Err((408, "body", "did not arrive within the limit"))
        except OSError:
            return Err((400, "body", "broken off or badly chunked"))
        return Err((413, "body", f"larger than {self.body_bytes} bytes")) if body is None else Ok(body)

    def _propose(self, command, timeout_s: float) -> LedgerResult:
        outcome = self.replica.offer(encode(command), timeout_s)
        return _decode_result(outcome.body) if outcome.body else LedgerResult("undecided")

    def _propose_until_accepted(self, step: ProposeInBackground) -> None:
        end = clock.now() + BACKGROUND_PROPOSAL_S
        while clock.now() < end:
            if self._propose(step.command, 2.0).state in step.accepted_states:
                return
            gevent.sleep(0.5)
        self.counts.add("claim_left_open")

    def _respond(self, resp: falcon.Response, method: str, response: ProxyResponse) -> None:
        if response.close:
            resp.set_header("Connection", "close")
        if response.replayed:
            resp.set_header("Mallow-Repeat", "1")
        upstream_response = response.answer
        if upstream_response is None:
            web.reject(resp, response.status, response.outcome, response.findings, response.retry_after)
            return
        resp.status = upstream_response.status
        for name, value in upstream_response.headers:
            if name.lower() == "content-type":
                resp.content_type = value
            else:
                resp.append_header(name, value)
        if upstream_response.body_stream is None:
            resp.data = upstream_response.body
        else:
            resp.stream = StreamedBody(response)
        if upstream_response.length is not None and (upstream_response.body_stream is not None or method == "HEAD"):
            resp.content_length = upstream_response.length


class StreamedBody:
    """A streamed response body; the lease is released at the end of the stream or once the client has left."""

    __slots__ = ("lease", "body_stream", "drain_if_client_leaves")

    def __init__(self, response: ProxyResponse):
        """With `drain_if_client_leaves`, the body is read to its end even after the client has left."""
        self.lease, self.body_stream, self.drain_if_client_leaves = (
            response.lease,
            response.answer.body_stream,
            response.drain_if_client_leaves,
        )

    def __iter__(self):
        """Yields the parts as they are received."""
        try:
            for part in self.body_stream:
                yield bytes(part)
        finally:
            self.close()

    def close(self) -> None:
        """Ends the stream to the client (WSGI calls this when the response is finished or dropped)."""
        if self.drain_if_client_leaves:
            self.drain_if_client_leaves = False
            gevent.spawn(self._drain)
            return
        self.lease.release(keep=False)

    def _drain(self) -> None:
        with suppress(OSError, HTTPParseError):
            for _ in self.body_stream:
                pass
        self.lease.release(keep=False)
