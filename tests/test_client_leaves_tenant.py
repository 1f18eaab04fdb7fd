"""Clients of tenants who leave while their request is served: a read is stopped, a keyed request runs to its end."""

from contextlib import contextmanager

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from mallowvalve import clock, web
from mallowvalve.metrics import Counts
from mallowvalve.proxy.serve import Serve, Stream
from mallowvalve.proxy.steps import ProxyResponse, UpstreamResponse
from mallowvalve.types import Address
from tests.paths import TenantBench

WHO = b'{"service":"s","instance":"u0","incarnation":1}'
STATUS = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(WHO) + WHO
SOON_S = 2.0


class SilentUpstream:
    """Says who it is, then `says` to the next request and nothing more."""

    def __init__(self, says: bytes):
        self.says, self.begun, self.ended = says, 0, 0
        self.server = StreamServer(("127.0.0.1", 0), self.run)

    def run(self, sock, _):
        with sock:
            sock.recv(65536)
            sock.sendall(STATUS)
            if not sock.recv(65536):
                return
            self.begun += 1
            sock.sendall(self.says)
            while sock.recv(65536):
                pass
            self.ended += 1


def until(test):
    with gevent.Timeout(SOON_S, False):
        while not test():
            gevent.idle()
    return test()


@contextmanager
def asked(says: bytes, more: bytes = b""):
    """A tenant's read through a proxy to an upstream that says so much: the client's socket, upstream and proxy."""
    up = SilentUpstream(says)
    up.server.start()
    b = TenantBench(clock.now)
    b.upstream(port=up.server.server_port)
    app = web.make_app()
    app.add_sink(Serve(b.forwarder, None, 1 << 20), "/")
    with web.Server(Address("127.0.0.1", 0), app, Counts(), 4) as server:
        sock = socket.create_connection(("127.0.0.1", server.server_port), timeout=10)
        sock.sendall(b"GET /r/1 HTTP/1.1\r\nHost: x\r\nMallow-Tenant: t\r\n%s\r\n" % more)
        yield sock, up, b
    up.server.stop()


@pytest.mark.parametrize(
    "says",
    [b"", b"HTTP/1.1 200 OK\r\nContent-Le", b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 600_000],
    ids=["silent", "part of a head", "midst of a stream"],
)
def test_a_read_ends_when_its_client_leaves(says):
    with asked(says) as (sock, up, b):
        assert until(lambda: up.begun == 1)
        got = 0
        while got < len(says) - 100_000:
            data = sock.recv(65536)
            assert data
            got += len(data)
        sock.close()
        assert until(lambda: up.ended == 1) and until(lambda: b.pool.chooser.in_flight == {})


class Lease:
    def __init__(self):
        self.returned = 0

    def release(self, keep):
        self.returned += 1


@pytest.mark.parametrize("drain_if_client_leaves", [True, False])
def test_the_rest_of_what_may_not_be_repeated_is_read_to_its_end(drain_if_client_leaves):
    read, lease = [], Lease()

    def rest():
        for part in (b"a", b"b", b"c"):
            read.append(part)
            yield part

    stream = Stream(
        ProxyResponse(
            200,
            answer=UpstreamResponse(200, [], None, 3, rest()),
            lease=lease,
            drain_if_client_leaves=drain_if_client_leaves,
        )
    )
    parts = iter(stream)
    assert next(parts) == b"a"
    parts.close()
    assert until(lambda: lease.returned == 1)
    assert read == ([b"a", b"b", b"c"] if drain_if_client_leaves else [b"a"])


def test_a_stream_whose_upstream_is_silent_ends_short_at_its_limit():
    says = b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 600_000
    with asked(says, b"Mallow-Limit: 300\r\n") as (sock, _, b):
        got = 0
        while data := sock.recv(65536):
            got += len(data)
        assert got < 900_000 and until(lambda: b.pool.chooser.in_flight == {})
