"""The HTTP server: graceful stops, and requests that are not valid HTTP."""

import http.client

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from mallowvalve import web
from mallowvalve.metrics import Counts
from mallowvalve.types import Address


class SlowPage:
    def __init__(self):
        self.started, self.may_finish = Event(), Event()

    def on_get(self, req, resp):
        self.started.set()
        resp.set_header("X-Early", "1")

        def parts():
            yield b"a"
            self.may_finish.wait()
            yield b"b"

        resp.stream, resp.content_length = parts(), 2


class PlainPage:
    def on_get(self, req, resp):
        web.send_json(resp, {"ok": True})


class GeventClient:
    """A client over a gevent socket, which shares the event loop with the server."""

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=5)

    def send(self, data: bytes):
        self.sock.sendall(data)

    def read_response(self):
        response = http.client.HTTPResponse(self.sock, method="GET")
        response.begin()
        return response.status, response.read(), response.getheader("connection")

    def closed(self):
        return self.sock.recv(1) == b""


GET = b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.fixture
def slow_server():
    app, slow = web.make_app(), SlowPage()
    app.add_route("/slow", slow)
    app.add_route("/plain", PlainPage())
    with web.Server(Address("127.0.0.1", 0), app, Counts(), 16) as server:
        yield server, slow


def test_a_graceful_stop_closes_connections_after_a_response_with_connection_close(slow_server):
    server, slow = slow_server
    client = GeventClient(server.server_port)
    client.send(GET % b"/slow")
    slow.started.wait()
    stop = gevent.spawn(server.drain, 0.2, 5.0)
    gevent.idle()
    slow.may_finish.set()
    assert client.read_response() == (200, b"ab", None)
    client.send(GET % b"/plain")
    status, _, connection = client.read_response()
    assert (status, connection) == (200, "close") and client.closed()
    stop.join(timeout=10)
    assert stop.successful()


def test_a_response_in_progress_finishes_after_the_listener_is_closed(slow_server):
    server, slow = slow_server
    client = GeventClient(server.server_port)
    client.send(GET % b"/slow")
    slow.started.wait()
    stop = gevent.spawn(server.drain, 0.0, 5.0)
    gevent.wait([stop], timeout=0.1)
    with pytest.raises(OSError):
        GeventClient(server.server_port)
    slow.may_finish.set()
    assert client.read_response()[:2] == (200, b"ab")
    stop.join(timeout=10)


def test_malformed_http_is_answered_with_a_finding(slow_server):
    server, _ = slow_server
    for malformed in (b"nonsense\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n", b"GET /plain HTTP/1.1\r\nno colon\r\n\r\n"):
        client = GeventClient(server.server_port)
        client.send(malformed)
        status, body, _ = client.read_response()
        assert status == 400 and b"findings" in body
