"""Requests that are read after their client has disconnected are not submitted, over real connections."""

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from mallowvalve import web
from mallowvalve.control import http_items, http_operators, http_plain
from mallowvalve.control.state import Evacuate
from mallowvalve.coordination.plain import Take
from mallowvalve.http_head import peer_has_closed
from mallowvalve.metrics import Counts
from mallowvalve.types import Address
from tests.test_http_items import Task
from tests.test_http_plain import Task as PlainTask

TAKE_BODY = b'{"holder":"a","hold_ms":3000}'
POST_TAKE = b"POST /api/locks/l HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s" % (len(TAKE_BODY), TAKE_BODY)
EVACUATE = b"POST /evacuations/z1 HTTP/1.1\r\nHost: x\r\n\r\n"
CALLS = [pytest.param(POST_TAKE, Take, id="take"), pytest.param(EVACUATE, Evacuate, id="evacuate")]
NO_SUBMISSION_WAIT_S = 3 * http_items.CONNECTION_CHECK_DELAY_S


class ObservedTask(Task):
    """Sets `submitted` when a command is submitted."""

    def __init__(self):
        super().__init__()
        self.submitted = Event()

    def offer(self, *arguments):
        self.submitted.set()
        return super().offer(*arguments)


@pytest.fixture
def served():
    task, app = ObservedTask(), web.make_app()
    http_operators.add_routes(app, task)
    http_plain.add_routes(app, task, "/api")
    with web.Server(Address("127.0.0.1", 0), app, Counts(), 16) as server:
        yield server, task


def connect(server):
    return socket.create_connection(("127.0.0.1", server.server_port), timeout=5)


@pytest.mark.parametrize(("call", "kind"), CALLS)
def test_a_request_on_a_connection_that_its_client_has_closed_is_not_submitted(served, call, kind):
    """The server reads the request only after the connection is closed, as after a suspension of the process."""
    server, task = served
    sock = connect(server)
    sock.sendall(call)
    sock.close()
    assert not task.submitted.wait(timeout=NO_SUBMISSION_WAIT_S)


@pytest.mark.parametrize(("call", "kind"), CALLS)
def test_a_connected_client_is_served(served, call, kind):
    server, task = served
    sock = connect(server)
    sock.sendall(call)
    assert sock.recv(65536).startswith(b"HTTP/1.1 200") and isinstance(task.offered[0], kind)
    sock.close()


def test_an_evacuation_whose_client_disconnects_a_round_trip_later_is_not_submitted(served):
    server, task = served
    sock = connect(server)
    sock.sendall(EVACUATE)
    gevent.spawn_later(http_items.CONNECTION_CHECK_DELAY_S / 4, sock.close)
    assert not task.submitted.wait(timeout=NO_SUBMISSION_WAIT_S)


def test_a_connection_has_ended_when_it_was_closed_or_reset_and_not_while_bytes_wait():
    left, right = socket.socketpair()
    assert not peer_has_closed(right)
    left.sendall(b"x")
    assert not peer_has_closed(right) and right.recv(1) == b"x"
    left.close()
    assert peer_has_closed(right)
    right.close()


WATCH = b"GET /api/watch/g.?after=0&wait_ms=20000 HTTP/1.1\r\nHost: x\r\n\r\n"
WATCH_END_LIMIT_S = 5.0


def test_a_watch_ends_soon_after_its_client_has_disconnected():
    app = web.make_app()
    http_plain.add_routes(app, PlainTask(), "/api")
    with web.Server(Address("127.0.0.1", 0), app, Counts(), 16) as server, gevent.Timeout(WATCH_END_LIMIT_S):
        sock = connect(server)
        sock.sendall(WATCH)
        while not any(handler.busy for handler in server.connections):
            gevent.idle()
        sock.close()
        while server.connections:
            gevent.idle()
