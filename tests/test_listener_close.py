"""The close of a server's listener: a connection that the kernel has completed is answered, never reset."""

import errno
import http.client
import signal
import socket

import gevent
import pytest
from gevent.event import Event

from mallowvalve import handshake_filter, node, settings, web
from mallowvalve.metrics import Counts
from mallowvalve.node import Node
from mallowvalve.types import Address

REQUEST = b"GET /page HTTP/1.1\r\nHost: x\r\n\r\n"
ANSWER = {"page": 1}
TIMEOUT_S = 10.0


class WaitingClient:
    """A connection that the kernel completes while the server's event loop does not run."""

    def __init__(self, server, data=REQUEST):
        self.sock = socket.create_connection(("127.0.0.1", server.server_port), timeout=TIMEOUT_S)
        self.sock.sendall(data)

    def status(self):
        """Returns the status of the answer; raises ConnectionResetError after a reset."""
        return gevent.get_hub().threadpool.apply(self._read_status)

    def _read_status(self):
        response = http.client.HTTPResponse(self.sock)
        response.begin()
        response.read()
        return response.status


@pytest.fixture
def server():
    app = web.LazyApp()
    app.plain_routes["/page"] = lambda: (200, ANSWER)
    return web.Server(Address("127.0.0.1", 0), app, Counts(), 1)


def test_a_connection_completed_just_before_the_close_is_answered(server):
    """Guards against a reset of connections that wait in the kernel when the listener closes."""
    clients = []
    with server:
        server.drain(0.0, 5.0, wait_to_close=lambda *_: clients.append(WaitingClient(server)))
        assert clients[0].status() == 200


def test_connections_that_wait_for_room_in_the_pool_are_answered_before_the_close(server):
    """Guards against a reset of connections that were not accepted because the server had its most connections."""
    with server:
        idle = socket.create_connection(("127.0.0.1", server.server_port), timeout=TIMEOUT_S)
        with gevent.Timeout(TIMEOUT_S):
            while not server.connections:
                gevent.idle()
        waiting = [WaitingClient(server) for _ in range(3)]
        server.drain(0.0, 5.0)
        assert [client.status() for client in waiting] == [200, 200, 200]
        idle.close()


def test_connections_that_find_no_room_until_the_end_are_refused_with_an_answer(server):
    """Guards against a reset of connections for which a full server has no room until its end."""
    server.application = lambda environ, start_response: Event().wait(timeout=TIMEOUT_S)
    with server:
        busy = WaitingClient(server)
        with gevent.Timeout(TIMEOUT_S):
            while not any(handler.busy for handler in server.connections):
                gevent.idle()
        waiting = WaitingClient(server)
        server.drain(0.0, 0.5)
    assert waiting.status() == 503
    assert busy.status() == 504


def test_a_lack_of_descriptors_at_the_close_resets_no_connection(server, monkeypatch):
    """Guards against a reset of connections that could not be accepted for want of descriptors."""
    failures = [OSError(errno.EMFILE, "too many open files")] * 3
    accept = server.do_read

    def do_read():
        if failures:
            raise failures.pop()
        return accept()

    clients = []

    def wait_to_close(*_):
        clients.append(WaitingClient(server))
        monkeypatch.setattr(server, "do_read", do_read)

    with server:
        server.drain(0.0, 5.0, wait_to_close=wait_to_close)
        assert clients[0].status() == 200
        assert not failures


def test_the_first_request_of_a_new_connection_is_awaited(server):
    """Guards against a reset of a new connection whose request arrives just after the listener has closed."""
    clients, senders = [], []

    def wait_to_close(*_):
        clients.append(WaitingClient(server, b""))
        senders.append(gevent.spawn_later(0.3, clients[0].sock.sendall, REQUEST))

    with server:
        server.drain(0.0, 5.0, wait_to_close=wait_to_close)
        assert clients[0].status() == 200


def test_a_new_connection_without_a_request_delays_the_end_only_for_a_bounded_time(server):
    clients = []
    with server:
        with gevent.Timeout(web.FIRST_REQUEST_WAIT_S + 2.0):
            server.drain(0.0, 60.0, wait_to_close=lambda *_: clients.append(WaitingClient(server, b"")))
        assert clients[0].sock.recv(1) == b""


def test_a_server_that_stops_without_a_drain_answers_completed_connections(server):
    """Guards against a reset by the end of a server that is not drained: the directory's, the pages', after an error."""
    with server:
        client = WaitingClient(server)
    assert client.status() == 200


def test_refused_handshakes_do_not_complete_and_earlier_connections_go_on(server):
    with server:
        early = socket.create_connection(("127.0.0.1", server.server_port), timeout=TIMEOUT_S)
        assert handshake_filter.refuse_handshakes(server.socket)
        with pytest.raises(TimeoutError):
            socket.create_connection(("127.0.0.1", server.server_port), timeout=0.2)
        early.sendall(REQUEST)
        client = WaitingClient.__new__(WaitingClient)
        client.sock = early
        assert client.status() == 200


def test_a_system_without_socket_filters_goes_on_without_them():
    class PlainSocket:
        def setsockopt(self, *_):
            raise OSError(errno.ENOPROTOOPT, "not supported")

    assert not handshake_filter.refuse_handshakes(PlainSocket())


def test_a_process_takes_signals_before_it_accepts_connections(monkeypatch):
    """Guards against a stop signal that ends a starting process whose listeners have completed connections."""
    installed = []

    def signal_handler(signum, _handler):
        assert not started.server.started and not hasattr(started.transport, "_server")
        installed.append(signum)

    free = [_free_port() for _ in range(2)]
    doc = {"name": "p", "locality": "eu/a", "transport": f"127.0.0.1:{free[0]}", "web": f"127.0.0.1:{free[1]}"}
    started = Node(settings.check("proxy", doc).unwrap())
    monkeypatch.setattr(node.gevent, "signal_handler", signal_handler)
    with started:
        assert installed == [signal.SIGTERM, signal.SIGINT]


def _free_port():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]
