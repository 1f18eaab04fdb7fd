"""A tenant frontend over sockets: headers, streamed responses, and the release of slots."""

import http.client

import falcon
import pytest
from falcon import testing
from gevent import socket
from gevent.server import StreamServer

from mallowvalve import clock, web
from mallowvalve.metrics import Counts
from mallowvalve.proxy.tenant_forwarder import TenantForwarder
from mallowvalve.proxy.tenant_frontend import TenantFrontend
from mallowvalve.types import Address
from tests.tenant_bench import TenantBench

LARGE_BODY = b"x" * 600_000


@pytest.fixture
def frontend():
    responses = []

    def run(sock, _):
        identity = b'{"service":"s","instance":"u0","incarnation":1}'
        scripted = [b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(identity) + identity, *responses]
        with sock:
            for response in scripted:
                if not sock.recv(65536):
                    return
                try:
                    sock.sendall(response)
                except OSError:
                    return

    server = StreamServer(("127.0.0.1", 0), run)
    server.start()
    bench = TenantBench(clock.now)
    bench.upstream(port=server.server_port)
    tenant_frontend = TenantFrontend(bench.forwarder, None, 1 << 20)
    yield tenant_frontend, responses, bench.pool
    server.stop()


def send_request(tenant_frontend, method="GET"):
    app = web.make_app()
    app.add_sink(tenant_frontend, "/")
    with web.Server(Address("127.0.0.1", 0), app, Counts(), 4) as server:
        sock = socket.create_connection(("127.0.0.1", server.server_port), timeout=10)
        sock.sendall(f"{method} /r/1 HTTP/1.1\r\nHost: x\r\nMallow-Tenant: t\r\n\r\n".encode())
        response = http.client.HTTPResponse(sock, method=method)
        response.begin()
        return response.status, response.msg, response.read()


def read_request():
    environ = testing.create_environ("/r/1", headers={"Mallow-Tenant": "t"})
    return falcon.Request(environ | {"mallow.target": "/r/1"})


def test_response_headers_are_forwarded(frontend):
    tenant_frontend, responses, pool = frontend
    responses.append(
        b"HTTP/1.1 203 Fine\r\nContent-Length: 2\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nX-Own: 1\r\n\r\nok"
    )
    status, headers, body = send_request(tenant_frontend)
    assert (status, body, headers["x-own"], headers["content-type"]) == (203, b"ok", "1", None)
    assert headers.get_all("set-cookie") == ["a=1", "b=2"] and pool.chooser.in_flight == {}


def test_a_head_response_keeps_its_content_length(frontend):
    tenant_frontend, responses, pool = frontend
    responses.append(b"HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n")
    status, headers, body = send_request(tenant_frontend, "HEAD")
    assert (status, headers["content-length"], body) == (200, "77", b"") and pool.chooser.in_flight == {}


def test_a_large_response_is_streamed_and_its_slot_released(frontend):
    tenant_frontend, responses, pool = frontend
    responses.append(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE_BODY) + LARGE_BODY)
    _, headers, body = send_request(tenant_frontend)
    assert body == LARGE_BODY and headers["content-length"] == str(len(LARGE_BODY)) and pool.chooser.in_flight == {}


def test_a_slot_is_released_if_the_client_left_before_the_stream_began(frontend):
    tenant_frontend, responses, pool = frontend
    responses.append(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE_BODY) + LARGE_BODY)
    resp = falcon.Response()
    tenant_frontend(read_request(), resp)
    assert len(pool.chooser.in_flight) == 1
    resp.stream.close()
    assert pool.chooser.in_flight == {}


def test_a_slot_is_released_after_an_unexpected_error(frontend, monkeypatch):
    tenant_frontend, responses, pool = frontend
    responses.append(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    monkeypatch.setattr(TenantForwarder, "_respond", lambda *args: 1 / 0)
    with pytest.raises(ZeroDivisionError):
        tenant_frontend(read_request(), falcon.Response())
    assert pool.chooser.in_flight == {}


def test_a_client_detects_a_stream_that_its_upstream_broke_off(frontend):
    tenant_frontend, responses, pool = frontend
    responses.append(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (len(LARGE_BODY) + 1) + LARGE_BODY)
    with pytest.raises(http.client.IncompleteRead):
        send_request(tenant_frontend)
    assert pool.chooser.in_flight == {}
