"""Clients who leave while their request is served on a host route: what may be repeated stops, what may not goes on."""

import socket as plain_socket
import time

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer
from result import Err

from mallowvalve.client_watch import Happened, WatchedSocket, wait_for_bytes
from mallowvalve.http_head import Incoming
from mallowvalve.proxy.steps import CLIENT_LEFT, AwaitResponse, ClientCheck, Exchange, WaitForCapacity
from tests.front_players import ANSWER, Client, req, served
from tests.tryout import NOT_RUN, HostScenario, make_request, make_response

READ, ONCE = make_request("/r/1"), make_request("/o/1", "POST", length=0)
POST = b"Content-Length: 0\r\n"
LEAVERS = 10
SOON_S = 2.0


@pytest.fixture
def set_up():
    with served() as parts:
        yield parts


class SilentUpstream:
    """Takes requests, says `says` to each and then nothing, and notes each end of a connection."""

    def __init__(self, says=lambda mark: b""):
        self.says, self.begun, self.ended, self.asked = says, 0, 0, Event()
        self.server = StreamServer(("127.0.0.1", 0), self.run)

    def run(self, sock, _):
        with sock:
            data = sock.recv(65536)
            self.begun += 1
            mark = data.split(b"Mallow-Ask: ")[1].split(b"\r\n")[0]
            sock.sendall(self.says(mark))
            self.asked.set()
            try:
                while sock.recv(65536):
                    pass
            except OSError:
                pass
            self.ended += 1


@pytest.fixture
def silent(set_up):
    s, _, b = set_up
    up = SilentUpstream()
    up.server.start()
    b.upstream("u0", port=up.server.server_port, slots=LEAVERS)
    yield s, up, b
    up.server.stop()


def until(test):
    with gevent.Timeout(SOON_S, False):
        while not test():
            gevent.idle()
    return test()


def quiet(b):
    return all(spot.in_flight == 0 for spot in b.hosts.upstreams.values()) and not b.hosts.waiting


def test_no_read_goes_on_for_clients_who_left(silent):
    s, up, b = silent
    clients = [Client(s).send(req(mark=b"a%d" % i)) for i in range(LEAVERS)]
    assert until(lambda: up.begun == LEAVERS)
    for c in clients:
        c.sock.close()
    assert until(lambda: up.ended == LEAVERS), f"{up.begun - up.ended} of {LEAVERS} runs went on"
    assert until(lambda: quiet(b)) and b.forwarder.counts.snapshot()["client_left"] == LEAVERS


def test_a_reset_counts_as_leaving(silent):
    s, up, _ = silent
    c = Client(s).send(req())
    assert until(lambda: up.begun == 1)
    c.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    c.sock.close()
    assert until(lambda: up.ended == 1)


def test_an_upstream_is_not_judged_by_clients_who_left(silent):
    s, up, b = silent
    c = Client(s).send(req())
    assert until(lambda: up.begun == 1)
    c.sock.close()
    assert until(lambda: quiet(b))
    spot = b.hosts.upstreams["u0"]
    assert (spot.silent_since, spot.sent_since_report, spot.half_open) == (
        None,
        0,
        False,
    ) and spot.breaker_open_until <= b.now()


def test_what_may_not_be_repeated_runs_to_its_end(set_up):
    s, up, b = set_up
    up.go = Event()
    c = Client(s).send(req(b"/o/1", b"POST", POST))
    assert up.begun.wait(SOON_S)
    c.sock.close()
    Event().wait(timeout=0.1)
    assert b.hosts.upstreams["u0"].in_flight == 1
    up.go.set()
    assert until(lambda: quiet(b)) and b.forwarder.counts.snapshot()["answers"] == 1
    assert len(b.hosts.idle_connections._idle["u0"]) == 1


@pytest.mark.parametrize("head", [b"Content-Length: 600000\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\n927c0\r\n"])
def test_a_silent_upstream_is_left_in_the_midst_of_a_stream(silent, head):
    s, up, b = silent
    up.says = lambda mark: ANSWER % mark + head + b"x" * 300_000
    c = Client(s).send(req())
    got = 0
    while got < 300_000:
        data = c.sock.recv(65536)
        assert data
        got += len(data)
    c.sock.close()
    assert until(lambda: up.ended == 1) and until(lambda: quiet(b))


def test_a_client_who_asks_on_in_the_same_connection_has_not_left(set_up):
    s, up, _ = set_up
    up.go = Event()
    c = Client(s).send(req(mark=b"a1"))
    assert up.begun.wait(SOON_S)
    c.send(req(mark=b"a2"))
    Event().wait(timeout=0.05)
    up.go.set()
    got = b""
    while got.count(b"\r\n\r\nok") < 2:
        data = c.sock.recv(65536)
        assert data
        got += data
    assert len(up.got) == 2


def test_a_client_who_ends_its_own_side_only_is_told_that_its_read_was_stopped(silent):
    """TCP shows the same of it as of one that left: it is taken for that, and still gets an answer."""
    s, up, _ = silent
    c = Client(s).send(req())
    assert until(lambda: up.begun == 1)
    c.sock.shutdown(socket.SHUT_WR)
    status, _, headers = c.answer()
    assert (status, headers["mallow-outcome"], headers["connection"]) == (502, "unknown", "close")


def test_a_client_who_ends_its_own_side_only_gets_the_answer_of_what_may_not_be_repeated(set_up):
    s, up, _ = set_up
    up.go = Event()
    c = Client(s).send(req(b"/o/1", b"POST", POST))
    assert up.begun.wait(SOON_S)
    c.sock.shutdown(socket.SHUT_WR)
    Event().wait(timeout=0.05)
    up.go.set()
    assert c.answer()[:2] == (200, b"ok")


def test_a_request_that_has_arrived_is_served_before_its_connection_is_ended(set_up):
    s, up, _ = set_up
    c = Client(s)
    assert c.send(req()).answer()[0] == 200
    c.send(req(mark=b"a2"))
    s._nudge(next(iter(s.connections)))
    assert c.answer()[0] == 200 and len(up.got) == 2


def test_what_this_side_ends_is_no_sign_of_the_client(set_up):
    """Once a draining server has ended its reads, a request is not stopped for it."""
    s, up, _ = set_up
    up.go = Event()
    c = Client(s).send(req())
    assert up.begun.wait(SOON_S)
    handler = next(iter(s.connections))
    handler.reads_ended = True
    handler.socket._sock.shutdown(socket.SHUT_RD)
    Event().wait(timeout=0.05)
    up.go.set()
    assert c.answer()[:2] == (200, b"ok")


@pytest.mark.parametrize("asked", [READ, ONCE], ids=["read", "once"])
def test_nothing_is_sent_for_a_client_who_left_before(asked):
    p = HostScenario()
    p.checks = [CLIENT_LEFT]
    r = p.run(asked)
    assert not p.sent() and (r.status, r.outcome, r.close) == (503, "not-run", True)
    assert p.b.hosts.idle_connections.take(p.b.hosts.upstreams["u0"].upstream, p.t) or p.b.hosts.idle_connections.take(
        p.b.hosts.upstreams["u1"].upstream, p.t
    )


def test_a_client_who_leaves_while_it_waits_for_a_place_is_not_served():
    p = HostScenario(upstreams=1)
    p.b.hosts.refresh(0.0)
    p.b.hosts.upstreams["u0"].in_flight = 8
    gen = p.b.forwarder.handle(READ)
    assert isinstance(gen.send(None), WaitForCapacity)
    s = gen.send(False)
    assert isinstance(s, ClientCheck)
    with pytest.raises(StopIteration) as end:
        gen.send(CLIENT_LEFT)
    assert end.value.value.outcome == "not-run" and p.b.hosts.waiting == {}


@pytest.mark.parametrize("first", [Err("broken: reset"), make_response(500), make_response(503, **NOT_RUN)])
def test_a_repeat_is_not_sent_for_a_client_who_left(first):
    p = HostScenario([first])
    p.checks = [None, CLIENT_LEFT]
    budget = p.b.hosts.budget("s")
    p.run(READ)
    assert len(p.sent()) == 1 and not budget._retries


def test_only_what_may_be_repeated_ends_when_the_client_leaves():
    p = HostScenario()
    p.run(READ)
    p.run(ONCE)
    assert [s.stop_if_client_leaves for s in p.sent()] == [True, False]


def test_a_client_who_leaves_while_two_upstreams_are_at_work_stops_both():
    p = HostScenario([Err("limit"), CLIENT_LEFT])
    p.acts["exchange"] = lambda p: setattr(p, "t", p.steps[-1].end)
    r = p.run(READ)
    assert r.close and len(p.sent()) == 2 and not p.count(AwaitResponse)
    assert all(s.connection.closed for s in p.sent())


class Held:
    def __init__(self, sock, left=False):
        self.socket, self.left = sock, left

    def client_left(self):
        return self.left


def pair():
    a, b = plain_socket.socketpair()
    return socket.socket(fileno=a.detach()), socket.socket(fileno=b.detach())


def test_a_wait_on_both_sides_ends_with_what_happens_first():
    upstream, far = pair()
    mine, client = pair()
    with upstream, far, mine, client:
        assert wait_for_bytes(upstream, Held(mine), 0.01) is Happened.TIMED_OUT
        far.sendall(b"x")
        assert wait_for_bytes(upstream, Held(mine), 1.0) is Happened.READABLE
        assert upstream.recv(1) == b"x"
        client.sendall(b"more")
        assert wait_for_bytes(upstream, Held(mine), 0.01) is Happened.TIMED_OUT
        assert wait_for_bytes(upstream, Held(mine, left=True), 1.0) is Happened.CLIENT_LEFT


def test_a_watched_socket_reads_until_the_client_leaves():
    upstream, far = pair()
    mine, client = pair()
    with upstream, far, mine, client:
        watched = WatchedSocket(upstream, Held(mine), lambda: 0.01)
        far.sendall(b"x")
        assert watched.recv(10) == b"x"
        with pytest.raises(TimeoutError):
            watched.recv(10)
        client.close()
        with pytest.raises(ConnectionError):
            WatchedSocket(upstream, Held(mine, left=True), lambda: 1.0).recv(10)


def test_a_read_that_was_sent_to_two_gets_the_first_ones_late_answer_when_the_second_fails():
    """A silent upstream is kept until another one has answered: a second that breaks off costs nothing."""
    for second in (Err("broken: reset"), make_response(503, **NOT_RUN), Err("unsent: gone")):
        p = HostScenario([Err("limit"), second])
        p.acts["exchange"] = lambda p: setattr(p, "t", p.steps[-1].end)
        assert p.run(READ).status == 200
        assert len(p.sent()) == 2 and p.count(AwaitResponse) == 1
        assert p.steps[-1].connection is p.sent()[0].connection and not p.sent()[0].connection.closed


def test_a_second_upstream_that_cannot_be_reached_does_not_cost_the_first_ones_answer():
    p = HostScenario([Err("limit")])
    p.acts["exchange"] = lambda p: (setattr(p, "t", p.steps[-1].end), setattr(p, "opens", [Err("unreachable")] * 9))
    assert p.run(READ).status == 200 and len(p.sent()) == 1 and p.count(AwaitResponse) == 1


def test_the_first_upstream_is_let_go_once_another_has_answered():
    p = HostScenario([Err("limit"), make_response()])
    p.acts["exchange"] = lambda p: setattr(p, "t", p.steps[-1].end)
    assert p.run(READ).status == 200
    first, second = (s.connection for s in p.sent())
    assert first.closed and not second.closed and isinstance(p.sent()[0], Exchange)


def stand_still(seconds):
    """Nothing of this process runs for a while, so that timers and bytes come up together."""
    stop = time.monotonic() + seconds
    while time.monotonic() < stop:
        pass


def test_an_answer_that_came_while_the_process_stood_still_counts_before_its_time_is_over():
    upstream, far = pair()
    mine, client = pair()
    with upstream, far, mine, client:
        waits = gevent.spawn(wait_for_bytes, upstream, Held(mine), 0.05)
        gevent.idle()
        far._sock.sendall(b"x")
        stand_still(0.1)
        assert waits.get(timeout=SOON_S) is Happened.READABLE


@pytest.mark.parametrize("used", [False, True])
def test_a_request_that_came_while_the_process_stood_still_is_read_before_its_connection_is_ended(used):
    near, client = pair()
    with near, client:
        incoming = Incoming(near)
        incoming.used = used
        begins = gevent.spawn(incoming.begun, 0.05)
        gevent.idle()
        client._sock.sendall(b"GET")
        stand_still(0.1)
        assert begins.get(timeout=SOON_S) is True
