"""Clients that leave during a request on a host route: idempotent requests stop, others run to their end."""

import socket as plain_socket
import time

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer
from result import Err

from mallowvalve.client_watch import WaitResult, WatchedSocket, wait_for_bytes
from mallowvalve.http_head import RequestReader
from mallowvalve.proxy.steps import CLIENT_LEFT, AwaitResponse, ClientCheck, Exchange, WaitForCapacity
from tests.frontend_bench import RESPONSE_HEAD, HttpClient, build_request, serve_frontend
from tests.host_bench import NOT_RUN, HostScenario, make_request, make_response

READ, ONCE = make_request("/r/1"), make_request("/o/1", "POST", length=0)
POST = b"Content-Length: 0\r\n"
LEAVING_CLIENTS = 10
SOON_S = 2.0


@pytest.fixture
def set_up():
    with serve_frontend() as parts:
        yield parts


class SilentHostUpstream:
    """Answers each request with `response` of its id and then stays silent; counts the closed connections."""

    def __init__(self, response=lambda request_id: b""):
        self.response, self.begun, self.ended, self.requested = response, 0, 0, Event()
        self.server = StreamServer(("127.0.0.1", 0), self.run)

    def run(self, sock, _):
        with sock:
            data = sock.recv(65536)
            self.begun += 1
            request_id = data.split(b"Mallow-Ask: ")[1].split(b"\r\n")[0]
            sock.sendall(self.response(request_id))
            self.requested.set()
            try:
                while sock.recv(65536):
                    pass
            except OSError:
                pass
            self.ended += 1


@pytest.fixture
def silent(set_up):
    server, _, bench = set_up
    upstream = SilentHostUpstream()
    upstream.server.start()
    bench.upstream("u0", port=upstream.server.server_port, slots=LEAVING_CLIENTS)
    yield server, upstream, bench
    upstream.server.stop()


def happens_soon(condition):
    with gevent.Timeout(SOON_S, False):
        while not condition():
            gevent.idle()
    return condition()


def is_idle(bench):
    return all(state.in_flight == 0 for state in bench.hosts.upstreams.values()) and not bench.hosts.waiting


def test_reads_stop_when_their_clients_leave(silent):
    server, upstream, bench = silent
    clients = [HttpClient(server).send(build_request(request_id=b"a%d" % i)) for i in range(LEAVING_CLIENTS)]
    assert happens_soon(lambda: upstream.begun == LEAVING_CLIENTS)
    for client in clients:
        client.sock.close()
    assert happens_soon(lambda: upstream.ended == LEAVING_CLIENTS), (
        f"{upstream.begun - upstream.ended} of {LEAVING_CLIENTS} requests still run"
    )
    assert happens_soon(lambda: is_idle(bench)) and bench.forwarder.counts.snapshot()["client_left"] == LEAVING_CLIENTS


def test_a_reset_counts_as_leaving(silent):
    server, upstream, _ = silent
    client = HttpClient(server).send(build_request())
    assert happens_soon(lambda: upstream.begun == 1)
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    client.sock.close()
    assert happens_soon(lambda: upstream.ended == 1)


def test_clients_that_leave_do_not_count_against_the_upstream(silent):
    server, upstream, bench = silent
    client = HttpClient(server).send(build_request())
    assert happens_soon(lambda: upstream.begun == 1)
    client.sock.close()
    assert happens_soon(lambda: is_idle(bench))
    state = bench.hosts.upstreams["u0"]
    assert (state.silent_since, state.sent_since_report, state.half_open) == (None, 0, False)
    assert state.breaker_open_until <= bench.now()


def test_a_try_runs_to_its_end_after_its_client_has_left(set_up):
    server, upstream, bench = set_up
    upstream.may_respond = Event()
    client = HttpClient(server).send(build_request(b"/o/1", b"POST", POST))
    assert upstream.request_received.wait(SOON_S)
    client.sock.close()
    Event().wait(timeout=0.1)
    assert bench.hosts.upstreams["u0"].in_flight == 1
    upstream.may_respond.set()
    assert happens_soon(lambda: is_idle(bench)) and bench.forwarder.counts.snapshot()["answers"] == 1
    assert len(bench.hosts.idle_connections._idle["u0"]) == 1


@pytest.mark.parametrize("head", [b"Content-Length: 600000\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\n927c0\r\n"])
def test_a_silent_upstream_is_disconnected_during_a_streamed_response(silent, head):
    server, upstream, bench = silent
    upstream.response = lambda request_id: RESPONSE_HEAD % request_id + head + b"x" * 300_000
    client = HttpClient(server).send(build_request())
    received = 0
    while received < 300_000:
        data = client.sock.recv(65536)
        assert data
        received += len(data)
    client.sock.close()
    assert happens_soon(lambda: upstream.ended == 1) and happens_soon(lambda: is_idle(bench))


def test_a_client_that_pipelines_a_request_has_not_left(set_up):
    server, upstream, _ = set_up
    upstream.may_respond = Event()
    client = HttpClient(server).send(build_request(request_id=b"a1"))
    assert upstream.request_received.wait(SOON_S)
    client.send(build_request(request_id=b"a2"))
    Event().wait(timeout=0.05)
    upstream.may_respond.set()
    received = b""
    while received.count(b"\r\n\r\nok") < 2:
        data = client.sock.recv(65536)
        assert data
        received += data
    assert len(upstream.requests) == 2


def test_a_half_closed_client_gets_a_response_to_its_stopped_read(silent):
    """A half close looks like a closed connection in TCP: the read is stopped, but the client still gets a response."""
    server, upstream, _ = silent
    client = HttpClient(server).send(build_request())
    assert happens_soon(lambda: upstream.begun == 1)
    client.sock.shutdown(socket.SHUT_WR)
    status, _, headers = client.read_response()
    assert (status, headers["mallow-outcome"], headers["connection"]) == (502, "unknown", "close")


def test_a_half_closed_client_gets_the_upstreams_response_to_a_try(set_up):
    server, upstream, _ = set_up
    upstream.may_respond = Event()
    client = HttpClient(server).send(build_request(b"/o/1", b"POST", POST))
    assert upstream.request_received.wait(SOON_S)
    client.sock.shutdown(socket.SHUT_WR)
    Event().wait(timeout=0.05)
    upstream.may_respond.set()
    assert client.read_response()[:2] == (200, b"ok")


def test_a_received_request_is_served_before_its_connection_is_closed(set_up):
    server, upstream, _ = set_up
    client = HttpClient(server)
    assert client.send(build_request()).read_response()[0] == 200
    client.send(build_request(request_id=b"a2"))
    server._close_if_idle(next(iter(server.connections)))
    assert client.read_response()[0] == 200 and len(upstream.requests) == 2


def test_a_read_side_shut_down_by_the_server_is_no_leaving_client(set_up):
    """A draining server shuts down the read side of its connections; this must not stop a request."""
    server, upstream, _ = set_up
    upstream.may_respond = Event()
    client = HttpClient(server).send(build_request())
    assert upstream.request_received.wait(SOON_S)
    handler = next(iter(server.connections))
    handler.read_side_closed = True
    handler.socket._sock.shutdown(socket.SHUT_RD)
    Event().wait(timeout=0.05)
    upstream.may_respond.set()
    assert client.read_response()[:2] == (200, b"ok")


@pytest.mark.parametrize("sent", [READ, ONCE], ids=["read", "once"])
def test_nothing_is_sent_for_a_client_that_left_before_the_send(sent):
    case = HostScenario()
    case.client_checks = [CLIENT_LEFT]
    response = case.run(sent)
    assert not case.exchanges() and (response.status, response.outcome, response.close) == (503, "not-run", True)
    assert case.bench.hosts.idle_connections.take(
        case.bench.hosts.upstreams["u0"].upstream, case.now
    ) or case.bench.hosts.idle_connections.take(case.bench.hosts.upstreams["u1"].upstream, case.now)


def test_a_queued_request_ends_when_its_client_leaves():
    case = HostScenario(upstreams=1)
    case.bench.hosts.refresh(0.0)
    case.bench.hosts.upstreams["u0"].in_flight = 8
    steps = case.bench.forwarder.handle(READ)
    assert isinstance(steps.send(None), WaitForCapacity)
    assert isinstance(steps.send(False), ClientCheck)
    with pytest.raises(StopIteration) as end:
        steps.send(CLIENT_LEFT)
    assert end.value.value.outcome == "not-run" and case.bench.hosts.waiting == {}


@pytest.mark.parametrize("first", [Err("broken: reset"), make_response(500), make_response(503, **NOT_RUN)])
def test_no_retry_is_sent_for_a_client_that_left(first):
    case = HostScenario([first])
    case.client_checks = [None, CLIENT_LEFT]
    budget = case.bench.hosts.budget("s")
    case.run(READ)
    assert len(case.exchanges()) == 1 and not budget._retries


def test_only_idempotent_requests_stop_when_the_client_leaves():
    case = HostScenario()
    case.run(READ)
    case.run(ONCE)
    assert [step.stop_if_client_leaves for step in case.exchanges()] == [True, False]


def test_a_hedged_read_stops_at_both_upstreams_when_its_client_leaves():
    case = HostScenario([Err("limit"), CLIENT_LEFT])
    case.actions["exchange"] = lambda case: setattr(case, "now", case.steps[-1].end)
    response = case.run(READ)
    assert response.close and len(case.exchanges()) == 2 and not case.count(AwaitResponse)
    assert all(step.connection.closed for step in case.exchanges())


class FakeHandler:
    def __init__(self, sock, left=False):
        self.socket, self.left = sock, left

    def client_left(self):
        return self.left


def socket_pair():
    first, second = plain_socket.socketpair()
    return socket.socket(fileno=first.detach()), socket.socket(fileno=second.detach())


def test_wait_for_bytes_ends_with_the_first_event():
    upstream, remote = socket_pair()
    local, client = socket_pair()
    with upstream, remote, local, client:
        assert wait_for_bytes(upstream, FakeHandler(local), 0.01) is WaitResult.TIMED_OUT
        remote.sendall(b"x")
        assert wait_for_bytes(upstream, FakeHandler(local), 1.0) is WaitResult.READABLE
        assert upstream.recv(1) == b"x"
        client.sendall(b"more")
        assert wait_for_bytes(upstream, FakeHandler(local), 0.01) is WaitResult.TIMED_OUT
        assert wait_for_bytes(upstream, FakeHandler(local, left=True), 1.0) is WaitResult.CLIENT_LEFT


def test_a_watched_socket_reads_until_the_client_leaves():
    upstream, remote = socket_pair()
    local, client = socket_pair()
    with upstream, remote, local, client:
        watched = WatchedSocket(upstream, FakeHandler(local), lambda: 0.01)
        remote.sendall(b"x")
        assert watched.recv(10) == b"x"
        with pytest.raises(TimeoutError):
            watched.recv(10)
        client.close()
        with pytest.raises(ConnectionError):
            WatchedSocket(upstream, FakeHandler(local, left=True), lambda: 1.0).recv(10)


def test_a_hedged_read_gets_the_first_upstreams_late_response_when_the_second_fails():
    """The silent upstream's connection stays open until another one responds, so a failed hedge loses nothing."""
    for second in (Err("broken: reset"), make_response(503, **NOT_RUN), Err("unsent: gone")):
        case = HostScenario([Err("limit"), second])
        case.actions["exchange"] = lambda case: setattr(case, "now", case.steps[-1].end)
        assert case.run(READ).status == 200
        assert len(case.exchanges()) == 2 and case.count(AwaitResponse) == 1
        assert case.steps[-1].connection is case.exchanges()[0].connection and not case.exchanges()[0].connection.closed


def test_an_unreachable_second_upstream_keeps_the_first_ones_response():
    case = HostScenario([Err("limit")])
    case.actions["exchange"] = lambda case: (
        setattr(case, "now", case.steps[-1].end),
        setattr(case, "open_results", [Err("unreachable")] * 9),
    )
    assert case.run(READ).status == 200 and len(case.exchanges()) == 1 and case.count(AwaitResponse) == 1


def test_the_first_upstreams_connection_closes_when_the_second_responds():
    case = HostScenario([Err("limit"), make_response()])
    case.actions["exchange"] = lambda case: setattr(case, "now", case.steps[-1].end)
    assert case.run(READ).status == 200
    first, second = (step.connection for step in case.exchanges())
    assert first.closed and not second.closed and isinstance(case.exchanges()[0], Exchange)


def block_event_loop(seconds):
    """Blocks the event loop, so that a timer and received bytes become ready together."""
    stop = time.monotonic() + seconds
    while time.monotonic() < stop:
        pass


def test_a_response_received_while_the_event_loop_is_blocked_precedes_its_timeout():
    upstream, remote = socket_pair()
    local, client = socket_pair()
    with upstream, remote, local, client:
        waits = gevent.spawn(wait_for_bytes, upstream, FakeHandler(local), 0.05)
        gevent.idle()
        remote._sock.sendall(b"x")
        block_event_loop(0.1)
        assert waits.get(timeout=SOON_S) is WaitResult.READABLE


@pytest.mark.parametrize("used", [False, True])
def test_a_request_received_while_the_event_loop_is_blocked_precedes_the_idle_timeout(used):
    near, client = socket_pair()
    with near, client:
        incoming = RequestReader(near)
        incoming.has_received = used
        begins = gevent.spawn(incoming.wait_for_request, 0.05)
        gevent.idle()
        client._sock.sendall(b"GET")
        block_event_loop(0.1)
        assert begins.get(timeout=SOON_S) is True
