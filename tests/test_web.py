import http.client

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from mallowvalve import web
from mallowvalve.metrics import Counts
from mallowvalve.types import Address


class Slow:
    def __init__(self):
        self.begun, self.go = Event(), Event()

    def on_get(self, req, resp):
        self.begun.set()
        resp.set_header("X-Early", "1")

        def parts():
            yield b"a"
            self.go.wait()
            yield b"b"

        resp.stream, resp.content_length = parts(), 2


class Plain:
    def on_get(self, req, resp):
        web.send_json(resp, {"ok": True})


class Connection:
    """A client's connection over a gevent socket, so that it shares the loop with the server."""

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=5)

    def send(self, data: bytes):
        self.sock.sendall(data)

    def answer(self):
        r = http.client.HTTPResponse(self.sock, method="GET")
        r.begin()
        return r.status, r.read(), r.getheader("connection")

    def closed(self):
        return self.sock.recv(1) == b""


GET = b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.fixture
def served():
    app, slow = web.make_app(), Slow()
    app.add_route("/slow", slow)
    app.add_route("/plain", Plain())
    with web.Server(Address("127.0.0.1", 0), app, Counts(), 16) as s:
        yield s, slow


def test_a_planned_stop_closes_only_after_an_answer_that_said_so(served):
    server, slow = served
    c = Connection(server.server_port)
    c.send(GET % b"/slow")
    slow.begun.wait()
    stop = gevent.spawn(server.drain, 0.2, 5.0)
    gevent.idle()
    slow.go.set()
    assert c.answer() == (200, b"ab", None)
    c.send(GET % b"/plain")
    status, _, connection = c.answer()
    assert (status, connection) == (200, "close") and c.closed()
    stop.join(timeout=10)
    assert stop.successful()


def test_an_answer_in_flight_finishes_after_the_listener_has_closed(served):
    server, slow = served
    c = Connection(server.server_port)
    c.send(GET % b"/slow")
    slow.begun.wait()
    stop = gevent.spawn(server.drain, 0.0, 5.0)
    gevent.wait([stop], timeout=0.1)
    with pytest.raises(OSError):
        Connection(server.server_port)
    slow.go.set()
    assert c.answer()[:2] == (200, b"ab")
    stop.join(timeout=10)


def test_what_is_not_http_gets_a_finding(served):
    server, _ = served
    for bad in (b"nonsense\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n", b"GET /plain HTTP/1.1\r\nno colon\r\n\r\n"):
        c = Connection(server.server_port)
        c.send(bad)
        status, body, _ = c.answer()
        assert status == 400 and b"findings" in body
