import http.client

import falcon
import pytest
from gevent import socket
from gevent.server import StreamServer

from mallowvalve import clock, web
from mallowvalve.beat.board import Beat, Row
from mallowvalve.count import Counts
from mallowvalve.flow.draw import Draw
from mallowvalve.flow.pool import Lease, Pool
from mallowvalve.flow.serve import Call, Serve
from mallowvalve.flow.session import Session, Sessions
from mallowvalve.kind import Address, Locality
from mallowvalve.tree.model import Plan
from mallowvalve.word.compiler import DEFAULT

LOC = Locality("eu", "a")
BIG = b"x" * 600_000


class OnePool(Pool):
    """A pool that knows one upstream, to try what a request leaves behind."""

    def __init__(self, port):
        self.row = Row(Beat("s", "i", 1, 1, 0.0, "ready", LOC, Address("127.0.0.1", port)), 0.0, 0.0)
        self.draw, self.sessions, self.counts = Draw(LOC, None), Sessions(), Counts()
        self._freed, self._budgets = {}, {}

    def take(self, plan, tenant, tried, end):
        self.draw.enter(self.row.beat.address)
        return Lease(Session.open(self.row.beat, "/health", end).unwrap(), self, self.row)


@pytest.fixture
def serve():
    answers = []

    def run(sock, _):
        who = b'{"service":"s","instance":"i","incarnation":1}'
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
    pool = OnePool(server.server_port)
    s = Serve.__new__(Serve)
    s.pool, s.counts, s.bounces, s.repeats = pool, Counts(), [], type("R", (), {"failed": lambda self, n: None})()
    yield s, answers, pool
    server.stop()


def call(method="GET"):
    plan = Plan("r", "c", "s", "read", DEFAULT, lambda r: True, 0)
    return Call(plan, "t", method, "/", {}, b"", "", clock.now() + 5, False, b"")


def ask(s, method="GET"):
    app = web.make_app()
    app.add_sink(lambda req, resp: s._read(call(method), resp), "/")
    with web.Server(Address("127.0.0.1", 0), app, Counts(), 4) as server:
        sock = socket.create_connection(("127.0.0.1", server.server_port), timeout=10)
        sock.sendall(f"{method} / HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        r = http.client.HTTPResponse(sock, method=method)
        r.begin()
        return r.status, r.msg, r.read()


def test_headers_are_the_upstreams_own(serve):
    s, answers, pool = serve
    answers.append(b"HTTP/1.1 203 Fine\r\nContent-Length: 2\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nX-Own: 1\r\n\r\nok")
    status, headers, body = ask(s)
    assert (status, body, headers["x-own"], headers["content-type"]) == (203, b"ok", "1", None)
    assert headers.get_all("set-cookie") == ["a=1", "b=2"] and pool.draw.busy == {}


def test_a_head_answer_keeps_its_length(serve):
    s, answers, pool = serve
    answers.append(b"HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n")
    status, headers, body = ask(s, "HEAD")
    assert (status, headers["content-length"], body) == (200, "77", b"") and pool.draw.busy == {}


def test_a_large_answer_is_streamed_and_gives_its_place_back(serve):
    s, answers, pool = serve
    answers.append(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BIG) + BIG)
    _, headers, body = ask(s)
    assert body == BIG and headers["content-length"] == str(len(BIG)) and pool.draw.busy == {}


def test_a_client_that_left_before_a_stream_began_leaves_no_place_taken(serve):
    s, answers, pool = serve
    answers.append(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BIG) + BIG)
    resp = falcon.Response()
    s._read(call(), resp)
    assert len(pool.draw.busy) == 1
    resp.stream.close()
    assert pool.draw.busy == {}


def test_an_unforeseen_error_gives_the_place_back(serve):
    s, answers, pool = serve
    answers.append(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    s._answer = lambda *a: 1 / 0
    with pytest.raises(ZeroDivisionError):
        s._read(call(), falcon.Response())
    assert pool.draw.busy == {}


def test_an_upstream_that_breaks_a_stream_is_seen_by_the_client(serve):
    s, answers, pool = serve
    answers.append(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (len(BIG) + 1) + BIG)
    with pytest.raises(http.client.IncompleteRead):
        ask(s)
    assert pool.draw.busy == {}
