"""Tenants' clients that leave during a request: a read stops, a keyed request runs to its end."""

from contextlib import contextmanager

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from mallowvalve import clock, web
from mallowvalve.metrics import Counts
from mallowvalve.proxy.steps import ProxyResponse, UpstreamResponse
from mallowvalve.proxy.tenant_frontend import StreamedBody, TenantFrontend
from mallowvalve.types import Address
from tests.tenant_bench import TenantBench

IDENTITY = b'{"service":"s","instance":"u0","incarnation":1}'
STATUS_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(IDENTITY) + IDENTITY
SOON_S = 2.0


class SilentTenantUpstream:
    """Answers the identity check, then the next request with `response`, and stays silent."""

    def __init__(self, response: bytes):
        self.response, self.begun, self.ended = response, 0, 0
        self.server = StreamServer(("127.0.0.1", 0), self.run)

    def run(self, sock, _):
        with sock:
            sock.recv(65536)
            sock.sendall(STATUS_RESPONSE)
            if not sock.recv(65536):
                return
            self.begun += 1
            sock.sendall(self.response)
            while sock.recv(65536):
                pass
            self.ended += 1


def happens_soon(condition):
    with gevent.Timeout(SOON_S, False):
        while not condition():
            gevent.idle()
    return condition()


@contextmanager
def tenant_read(response: bytes, headers: bytes = b""):
    """Sends a tenant's read through a proxy to an upstream; yields the client's socket, the upstream and the bench."""
    upstream = SilentTenantUpstream(response)
    upstream.server.start()
    bench = TenantBench(clock.now)
    bench.upstream(port=upstream.server.server_port)
    app = web.make_app()
    app.add_sink(TenantFrontend(bench.forwarder, None, 1 << 20), "/")
    with web.Server(Address("127.0.0.1", 0), app, Counts(), 4) as server:
        sock = socket.create_connection(("127.0.0.1", server.server_port), timeout=10)
        sock.sendall(b"GET /r/1 HTTP/1.1\r\nHost: x\r\nMallow-Tenant: t\r\n%s\r\n" % headers)
        yield sock, upstream, bench
    upstream.server.stop()


@pytest.mark.parametrize(
    "response",
    [b"", b"HTTP/1.1 200 OK\r\nContent-Le", b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 600_000],
    ids=["silent", "part of a head", "midst of a stream"],
)
def test_a_read_ends_when_its_client_leaves(response):
    with tenant_read(response) as (sock, upstream, bench):
        assert happens_soon(lambda: upstream.begun == 1)
        received = 0
        while received < len(response) - 100_000:
            data = sock.recv(65536)
            assert data
            received += len(data)
        sock.close()
        assert happens_soon(lambda: upstream.ended == 1) and happens_soon(lambda: bench.pool.chooser.in_flight == {})


class FakeLease:
    def __init__(self):
        self.released = 0

    def release(self, keep):
        self.released += 1


@pytest.mark.parametrize("drain_if_client_leaves", [True, False])
def test_a_response_that_may_not_be_cut_off_is_read_to_its_end(drain_if_client_leaves):
    read, lease = [], FakeLease()

    def rest():
        for part in (b"a", b"b", b"c"):
            read.append(part)
            yield part

    stream = StreamedBody(
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
    assert happens_soon(lambda: lease.released == 1)
    assert read == ([b"a", b"b", b"c"] if drain_if_client_leaves else [b"a"])


def test_a_streamed_response_of_a_silent_upstream_ends_early_at_its_limit():
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 600_000
    with tenant_read(response, b"Mallow-Limit: 300\r\n") as (sock, _, bench):
        received = 0
        while data := sock.recv(65536):
            received += len(data)
        assert received < 900_000 and happens_soon(lambda: bench.pool.chooser.in_flight == {})
