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

BIG = b"x" * 600_000


@pytest.fixture
def serve():
    answers = []

    def run(sock, _):
        who = b'{"service":"s","instance":"u0","incarnation":1}'
        todo = [b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(who) + who, *answers]
        with sock:
            for a in todo:
                if not sock.recv(65536):
                    return
                try:
                    sock.sendall(a)
                except OSError:
                    return

    server = StreamServer(("127.0.0.1", 0), run)
    server.start()
    b = TenantBench(clock.now)
    b.upstream(port=server.server_port)
    s = TenantFrontend(b.forwarder, None, 1 << 20)
    yield s, answers, b.pool
    server.stop()


def ask(s, method="GET"):
    app = web.make_app()
    app.add_sink(s, "/")
    with web.Server(Address("127.0.0.1", 0), app, Counts(), 4) as server:
        sock = socket.create_connection(("127.0.0.1", server.server_port), timeout=10)
        sock.sendall(f"{method} /r/1 HTTP/1.1\r\nHost: x\r\nMallow-Tenant: t\r\n\r\n".encode())
        r = http.client.HTTPResponse(sock, method=method)
        r.begin()
        return r.status, r.msg, r.read()


def get():
    env = testing.create_environ("/r/1", headers={"Mallow-Tenant": "t"})
    return falcon.Request(env | {"mallow.target": "/r/1"})


def test_headers_are_the_upstreams_own(serve):
    s, answers, pool = serve
    answers.append(
        b"HTTP/1.1 203 Fine\r\nContent-Length: 2\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nX-Own: 1\r\n\r\nok"
    )
    status, headers, body = ask(s)
    assert (status, body, headers["x-own"], headers["content-type"]) == (203, b"ok", "1", None)
    assert headers.get_all("set-cookie") == ["a=1", "b=2"] and pool.chooser.in_flight == {}


def test_a_head_answer_keeps_its_length(serve):
    s, answers, pool = serve
    answers.append(b"HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n")
    status, headers, body = ask(s, "HEAD")
    assert (status, headers["content-length"], body) == (200, "77", b"") and pool.chooser.in_flight == {}


def test_a_large_answer_is_streamed_and_gives_its_place_back(serve):
    s, answers, pool = serve
    answers.append(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BIG) + BIG)
    _, headers, body = ask(s)
    assert body == BIG and headers["content-length"] == str(len(BIG)) and pool.chooser.in_flight == {}


def test_a_client_that_left_before_a_stream_began_leaves_no_place_taken(serve):
    s, answers, pool = serve
    answers.append(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BIG) + BIG)
    resp = falcon.Response()
    s(get(), resp)
    assert len(pool.chooser.in_flight) == 1
    resp.stream.close()
    assert pool.chooser.in_flight == {}


def test_an_unforeseen_error_gives_the_place_back(serve, monkeypatch):
    s, answers, pool = serve
    answers.append(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    monkeypatch.setattr(TenantForwarder, "_respond", lambda *a: 1 / 0)
    with pytest.raises(ZeroDivisionError):
        s(get(), falcon.Response())
    assert pool.chooser.in_flight == {}


def test_an_upstream_that_breaks_a_stream_is_seen_by_the_client(serve):
    s, answers, pool = serve
    answers.append(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (len(BIG) + 1) + BIG)
    with pytest.raises(http.client.IncompleteRead):
        ask(s)
    assert pool.chooser.in_flight == {}
