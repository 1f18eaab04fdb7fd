"""The WSGI application of a proxy: performs the I/O steps of requests on host routes."""

from __future__ import annotations

from bisect import insort
from collections.abc import Callable
from operator import itemgetter

from gevent.event import Event

from mallowvalve import clock, web
from mallowvalve.proxy.body_intake import take_in_body
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

STATUS_LINES = {
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
    """Requests that wait for a free slot at a service: lowest `priority` number first, then in order of arrival."""

    __slots__ = ("_waiting",)

    def __init__(self):
        """Starts with empty queues."""
        self._waiting: dict[str, list[tuple[int, Event]]] = {}

    def wait(self, service: str, seconds_left: float, priority: int = 0) -> bool:
        """Returns whether a slot became free within `seconds_left` seconds."""
        if seconds_left <= 0:
            return False
        waiter = priority, Event()
        queue = self._waiting.setdefault(service, [])
        insort(queue, waiter, key=itemgetter(0))
        try:
            return waiter[1].wait(timeout=seconds_left)
        finally:
            if waiter in queue:
                queue.remove(waiter)

    def wake_next(self, service: str) -> None:
        """Wakes the first request in the queue of a service, if any."""
        queue = self._waiting.get(service)
        if queue:
            _, event = queue.pop(0)
            event.set()


class Frontend:
    """The WSGI application of a proxy's server: `forwarder` handles host routes, `fallback_app` all other requests.

    With `traffic_only` the address serves no pages: requests of unknown hosts without a tenant header go to
    `forwarder` as well.
    """

    __slots__ = ("forwarder", "fallback_app", "capacity_queue", "traffic_only", "id_header")

    def __init__(self, forwarder: HostForwarder, fallback_app: Callable, traffic_only: bool):
        """Takes the header of the request id from the settings of `forwarder`."""
        self.forwarder, self.fallback_app, self.traffic_only = forwarder, fallback_app, traffic_only
        self.capacity_queue = CapacityQueue()
        self.id_header = forwarder.settings.terms.ask.lower()

    def __call__(self, environ: dict, start_response: Callable):
        """Answers a request (WSGI)."""
        head = environ["mallow.head"]
        if not self._is_for_host_route(head.header_map, head.target):
            return self.fallback_app(environ["mallow.handler"].full_environ(), start_response)
        request = ClientRequest(
            head.method, head.target, head.header_map, environ["REMOTE_ADDR"], head.length, head.header_pairs
        )
        steps, result = self.forwarder.handle(request), None
        try:
            while True:
                result = self._perform(steps.send(result), environ)
        except StopIteration as stop:
            return self._respond(environ, start_response, stop.value)
        finally:
            steps.close()
            environ["mallow.handler"].release_body()

    def _is_for_host_route(self, headers: dict[str, str], target: str) -> bool:
        if not self.traffic_only and target.startswith("/-/"):
            return False
        if self.forwarder.serves_host(headers.get("host", "")):
            return True
        if "mallow-tenant" in headers:
            return False
        state = self.forwarder.replica.state
        return self.traffic_only or state is not None and state.items.revision > 0

    def _perform(self, step: Step, environ: dict):
        match step:
            case Exchange():
                client = environ["mallow.handler"] if step.stop_if_client_leaves else None
                return step.connection.exchange(
                    step.method, step.request, step.end, step.request_id, client, step.body, step.stream
                )
            case AwaitResponse():
                return step.connection.receive(
                    step.end, environ["mallow.handler"] if step.stop_if_client_leaves else None
                )
            case ClientCheck():
                return CLIENT_LEFT if environ["mallow.handler"].client_left() else None
            case ReadBody():
                return take_in_body(environ["mallow.handler"], step)
            case OpenConnection():
                result = HostConnection.open(step.heartbeat, self.id_header, step.end)
                self.forwarder.counts.add("upstream_connections", result.is_ok())
                return result
            case WaitForCapacity():
                return self.capacity_queue.wait(step.service, step.end - clock.now(), step.priority)

    def _respond(self, environ: dict, start_response: Callable, response: ProxyResponse):
        upstream_response = response.answer
        if upstream_response is None:
            return self._respond_locally(environ, start_response, response)
        if (
            upstream_response.body_stream is not None
            and upstream_response.length is None
            and environ["SERVER_PROTOCOL"] != "HTTP/1.1"
        ):
            response.lease.release(keep=False)
            return self._respond_locally(environ, start_response, ProxyResponse(502, "unknown", []))
        dropped = (
            HOP_BY_HOP_HEADERS
            | {name.strip().lower() for name in upstream_response.header_map["connection"].split(",")}
            if "connection" in upstream_response.header_map
            else HOP_BY_HOP_HEADERS
        )
        headers = [header for header in upstream_response.headers if header[0].lower() not in dropped]
        if upstream_response.length is not None and upstream_response.status not in (204, 304):
            headers.append(("Content-Length", str(upstream_response.length)))
        start_response(STATUS_LINES.get(upstream_response.status) or f"{upstream_response.status} Other", headers)
        return [upstream_response.body] if upstream_response.body_stream is None else StreamedBody(response)

    def _respond_locally(self, environ: dict, start_response: Callable, response: ProxyResponse):
        """Sends a response of the proxy itself; the connection ends if the request's body was not read whole."""
        head = environ["mallow.head"]
        body = web.encode({"outcome": response.outcome, "findings": response.findings})
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            (web.OUTCOME, response.outcome),
        ]
        if response.retry_after is not None:
            headers.append(("Retry-After", f"{response.retry_after:.2f}"))
        if response.close or not environ["wsgi.input"].complete:
            headers.append(("Connection", "close"))
            environ["mallow.handler"].close_without_reading()
        start_response(STATUS_LINES.get(response.status) or f"{response.status} Refused", headers)
        return [] if head.method == "HEAD" else [body]
