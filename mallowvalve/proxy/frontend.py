"""The entrance of a proxy: does for a request on a host route what needs sockets and the loop."""

from __future__ import annotations

from bisect import insort
from collections.abc import Callable
from operator import itemgetter

import gevent
from gevent.event import Event
from result import Err, Ok, Result

from mallowvalve import clock, web
from mallowvalve.proxy.host_connection import HostConnection
from mallowvalve.proxy.host_forwarder import HostForwarder
from mallowvalve.proxy.host_request import HOP_BY_HOP_HEADERS
from mallowvalve.proxy.steps import (
    CLIENT_LEFT,
    AwaitResponse,
    ClientCheck,
    ClientRequest,
    Exchange,
    OpenConnection,
    ProxyResponse,
    ReadBody,
    Step,
    WaitForCapacity,
)
from mallowvalve.proxy.tenant_frontend import StreamedBody

SKIP = HOP_BY_HOP_HEADERS
REASONS = {
    200: "200 OK",
    201: "201 Created",
    204: "204 No Content",
    304: "304 Not Modified",
    400: "400 Bad Request",
    404: "404 Not Found",
    413: "413 Too Large",
    500: "500 Error",
    502: "502 Bad Gateway",
    503: "503 Unavailable",
    504: "504 Timeout",
}


class CapacityQueue:
    """Who waits for a place at a service: the most urgent first (priority 0), and of these the first to come."""

    __slots__ = ("_waiting",)

    def __init__(self):
        """Nobody waits."""
        self._waiting: dict[str, list[tuple[int, Event]]] = {}

    def wait(self, service: str, left: float, priority: int = 0) -> bool:
        """Whether a place became free within `left` seconds."""
        if left <= 0:
            return False
        waiter = priority, Event()
        queue = self._waiting.setdefault(service, [])
        insort(queue, waiter, key=itemgetter(0))
        try:
            return waiter[1].wait(timeout=left)
        finally:
            if waiter in queue:
                queue.remove(waiter)

    def freed(self, service: str) -> None:
        """Tell the first in the queue, if any."""
        queue = self._waiting.get(service)
        if queue:
            _, event = queue.pop(0)
            event.set()


class Frontend:
    """The callable of a proxy's server: host routes go the way of `tries`, all else to the app behind it."""

    __slots__ = ("tries", "app", "rooms", "only", "mark")

    def __init__(self, tries: HostForwarder, app: Callable, only: bool):
        self.tries, self.app, self.only = tries, app, only
        self.rooms = CapacityQueue()
        self.mark = tries.settings.terms.ask.lower()

    def __call__(self, env: dict, start: Callable):
        h = env["mallow.head"]
        if not self._takes(h.header_map, h.target):
            return self.app(env["mallow.handler"].full_environ(), start)
        a = ClientRequest(h.method, h.target, h.header_map, env["REMOTE_ADDR"], h.length, h.header_pairs)
        steps, got = self.tries.handle(a), None
        try:
            while True:
                got = self._do(steps.send(got), env)
        except StopIteration as e:
            return self._say(env, start, e.value)
        finally:
            steps.close()

    def _takes(self, headers: dict[str, str], target: str) -> bool:
        if not self.only and target.startswith("/-/"):
            return False
        if self.tries.serves_host(headers.get("host", "")):
            return True
        if "mallow-tenant" in headers:
            return False
        s = self.tries.replica.state
        return self.only or s is not None and s.items.revision > 0

    def _do(self, s: Step, env: dict):
        match s:
            case Exchange():
                client = env["mallow.handler"] if s.stop_if_client_leaves else None
                return s.connection.exchange(s.method, s.request, s.end, s.request_id, client)
            case AwaitResponse():
                return s.connection.receive(s.end, env["mallow.handler"] if s.stop_if_client_leaves else None)
            case ClientCheck():
                return CLIENT_LEFT if env["mallow.handler"].client_left() else None
            case ReadBody():
                return self._body(env, s)
            case OpenConnection():
                r = HostConnection.open(s.heartbeat, self.mark, s.end)
                self.tries.counts.add("upstream_connections", r.is_ok())
                return r
            case WaitForCapacity():
                return self.rooms.wait(s.service, s.end - clock.now(), s.priority)

    def _body(self, env: dict, s: ReadBody) -> Result[bytes, tuple[int, str, str]]:
        length = env["mallow.head"].length
        if length is not None and length > s.max_bytes:
            return Err((413, "body", f"larger than {s.max_bytes} bytes"))
        try:
            with gevent.Timeout(max(0.001, s.end - clock.now())):
                data = env["wsgi.input"].read(s.max_bytes + 1)
                env["mallow.read"] = True
        except gevent.Timeout:
            return Err((408, "body", "did not arrive within the limit"))
        except OSError:
            return Err((400, "body", "broken off or badly chunked"))
        return Err((413, "body", f"larger than {s.max_bytes} bytes")) if len(data) > s.max_bytes else Ok(data)

    def _say(self, env: dict, start: Callable, r: ProxyResponse):
        a = r.answer
        if a is None:
            return self._own(env, start, r)
        if a.body_stream is not None and a.length is None and env["SERVER_PROTOCOL"] != "HTTP/1.1":
            r.lease.release(keep=False)
            return self._own(env, start, ProxyResponse(502, "unknown", []))
        drop = (
            SKIP | {w.strip().lower() for w in a.header_map["connection"].split(",")}
            if "connection" in a.header_map
            else SKIP
        )
        headers = [h for h in a.headers if h[0].lower() not in drop]
        if a.length is not None and a.status not in (204, 304):
            headers.append(("Content-Length", str(a.length)))
        start(REASONS.get(a.status) or f"{a.status} Other", headers)
        return [a.body] if a.body_stream is None else StreamedBody(r)

    def _own(self, env: dict, start: Callable, r: ProxyResponse):
        h = env["mallow.head"]
        body = web.encode({"outcome": r.outcome, "findings": r.findings})
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body))), (web.OUTCOME, r.outcome)]
        if r.retry_after is not None:
            headers.append(("Retry-After", f"{r.retry_after:.2f}"))
        if r.close or (h.length or h.chunked) and "mallow.read" not in env:
            headers.append(("Connection", "close"))
            env["mallow.handler"].cut()
        start(REASONS.get(r.status) or f"{r.status} Refused", headers)
        return [] if h.method == "HEAD" else [body]
