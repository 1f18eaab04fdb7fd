"""A proxy's front on loopback with a scripted upstream, and a raw client of it."""

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
    """An upstream that keeps what it got; `how` makes the answer's bytes, `go` holds it back, `end` closes after it."""

    def __init__(self):
        self.requests, self.make_response, self.may_respond, self.request_received, self.end = (
            [],
            None,
            None,
            Event(),
            False,
        )
        self.server = StreamServer(("127.0.0.1", 0), self.run)

    def run(self, sock, _):
        buf = b""
        with sock:
            while True:
                while b"\r\n\r\n" not in buf:
                    data = sock.recv(65536)
                    if not data:
                        return
                    buf += data
                head, _, buf = buf.partition(b"\r\n\r\n")
                n = re.search(rb"(?i)\ncontent-length: (\d+)", head)
                n = int(n[1]) if n else 0
                while len(buf) < n:
                    buf += sock.recv(65536)
                body, buf = buf[:n], buf[n:]
                mark = re.search(rb"(?i)\nmallow-ask: (\S+)", head)
                mark = mark[1] if mark else b""
                self.requests.append((head, body))
                self.request_received.set()
                if self.may_respond is not None:
                    self.may_respond.wait()
                sock.sendall(
                    self.make_response(mark)
                    if self.make_response
                    else RESPONSE_HEAD % mark + b"Content-Length: 2\r\n\r\nok"
                )
                if self.end:
                    return


@contextmanager
def serve_frontend():
    """A proxy's front over one upstream: the server, the upstream and the proxy's parts."""
    up = ScriptedUpstream()
    up.server.start()
    b = HostBench(clock.now)
    b.route("r", "/r/", "read", service="s", tries=1, limit_ms=5000.0)
    b.route("o", "/o/", "try", service="s", tries=2, limit_ms=5000.0)
    b.upstream("u0", port=up.server.server_port)
    b.state.items.limits = Limits(version=1, header_bytes=2000, body_bytes=1000, header_ms=150.0, idle_ms=60000.0)
    front = Frontend(b.forwarder, None, True)
    b.hosts.on_free = front.capacity_queue.wake_next
    with web.Server(Address("127.0.0.1", 0), front, Counts(), 16) as s:
        s.minimal_environ, s.limits = True, lambda: b.state.items.limits
        b.forwarder.admission.serves_until = lambda: s.stop_deadline
        yield s, up, b
    up.server.stop()


class HttpClient:
    def __init__(self, server):
        self.sock = socket.create_connection(("127.0.0.1", server.server_port), timeout=10)

    def send(self, data: bytes):
        self.sock.sendall(data)
        return self

    def read_response(self, method="GET"):
        r = http.client.HTTPResponse(self.sock, method=method)
        r.begin()
        return r.status, r.read(), r.msg

    def closed(self):
        try:
            return self.sock.recv(1) == b""
        except ConnectionResetError:
            return True


def build_request(target=b"/r/1", method=b"GET", more=b"", body=b"", request_id=b"a1"):
    return b"%s %s HTTP/1.1\r\nHost: h.example\r\nMallow-Ask: %s\r\n%s\r\n%s" % (method, target, request_id, more, body)
