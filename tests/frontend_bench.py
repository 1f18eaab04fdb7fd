"""A proxy's frontend on the loopback interface with a scripted upstream, and a client of it."""

import http.client
import re
from contextlib import contextmanager

from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from mallowvalve import clock, web
from mallowvalve.configuration.items import Limits
from mallowvalve.metrics import Counts
from mallowvalve.proxy.frontend import Frontend
from mallowvalve.types import Address
from tests.host_bench import HostBench

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nMallow-Ask: %s\r\nX-Seal: 1\r\nX-Own: a\r\nx-own: b\r\nConnection: keep-alive\r\n"


class ScriptedUpstream:
    """An upstream that records its requests.

    `make_response` returns the bytes of a response for a request id, `may_respond` (an event) delays the responses,
    and with `closes_after_response` the connection ends after the first.
    """

    def __init__(self):
        self.requests, self.make_response, self.may_respond = [], None, None
        self.request_received, self.closes_after_response = Event(), False
        self.server = StreamServer(("127.0.0.1", 0), self.run)

    def run(self, sock, _):
        buffer = b""
        with sock:
            while True:
                while b"\r\n\r\n" not in buffer:
                    data = sock.recv(65536)
                    if not data:
                        return
                    buffer += data
                head, _, buffer = buffer.partition(b"\r\n\r\n")
                length = re.search(rb"(?i)\ncontent-length: (\d+)", head)
                length = int(length[1]) if length else 0
                while len(buffer) < length:
                    buffer += sock.recv(65536)
                body, buffer = buffer[:length], buffer[length:]
                request_id = re.search(rb"(?i)\nmallow-ask: (\S+)", head)
                request_id = request_id[1] if request_id else b""
                self.requests.append((head, body))
                self.request_received.set()
                if self.may_respond is not None:
                    self.may_respond.wait()
                sock.sendall(
                    self.make_response(request_id)
                    if self.make_response
                    else RESPONSE_HEAD % request_id + b"Content-Length: 2\r\n\r\nok"
                )
                if self.closes_after_response:
                    return


@contextmanager
def serve_frontend():
    """Runs a proxy's frontend with one upstream; yields the server, the upstream and the bench of the proxy's parts."""
    upstream = ScriptedUpstream()
    upstream.server.start()
    bench = HostBench(clock.now)
    bench.route("r", "/r/", "read", service="s", tries=1, limit_ms=5000.0)
    bench.route("o", "/o/", "try", service="s", tries=2, limit_ms=5000.0)
    bench.upstream("u0", port=upstream.server.server_port)
    bench.state.items.limits = Limits(version=1, header_bytes=2000, body_bytes=1000, header_ms=150.0, idle_ms=60000.0)
    frontend = Frontend(bench.forwarder, None, True)
    bench.hosts.on_free = frontend.capacity_queue.wake_next
    with web.Server(Address("127.0.0.1", 0), frontend, Counts(), 16) as server:
        server.minimal_environ, server.limits = True, lambda: bench.state.items.limits
        bench.forwarder.admission.serves_until = lambda: server.stop_deadline
        yield server, upstream, bench
    upstream.server.stop()


class HttpClient:
    def __init__(self, server):
        self.sock = socket.create_connection(("127.0.0.1", server.server_port), timeout=10)

    def send(self, data: bytes):
        self.sock.sendall(data)
        return self

    def read_response(self, method="GET"):
        response = http.client.HTTPResponse(self.sock, method=method)
        response.begin()
        return response.status, response.read(), response.msg

    def closed(self):
        try:
            return self.sock.recv(1) == b""
        except ConnectionResetError:
            return True


def build_request(target=b"/r/1", method=b"GET", headers=b"", body=b"", request_id=b"a1"):
    return b"%s %s HTTP/1.1\r\nHost: h.example\r\nMallow-Ask: %s\r\n%s\r\n%s" % (
        method,
        target,
        request_id,
        headers,
        body,
    )
