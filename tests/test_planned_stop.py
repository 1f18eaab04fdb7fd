"""A planned stop: what is taken from a client is answered whole, and what can't be is refused before it runs."""

import os
import socket

import gevent
import gevent.socket
import pytest
from gevent.event import Event
from result import Err

from mallowvalve import clock, web
from mallowvalve.metrics import Counts
from mallowvalve.proxy.steps import AwaitResponse, ClientRequest, Exchange, ProposeCommand
from mallowvalve.types import Address
from tests.front_players import Client, req, served
from tests.test_path import TenantScenario as TenantPlayed
from tests.tryout import HostScenario, make_request

GRACE_S, LINGER_S = 5.4, 3.0
TENANT_READ = ClientRequest("GET", "/r/1", {"mallow-tenant": "t"}, "c", None)
TENANT_ONCE = ClientRequest("POST", "/o", {"mallow-tenant": "t", "mallow-key": "k"}, "c", 0)
LIMITS_MS = (400, 1000, 1500, 2000, 3000, 4000, 6000)


@pytest.fixture
def set_up():
    with served() as parts:
        yield parts


def played(limit_ms: float) -> HostScenario:
    p = HostScenario(upstreams=1)
    p.b.route("r", "/r/", "read", service="s", tries=1, limit_ms=limit_ms)
    p.b.route("o", "/o/", "try", service="s", tries=1, limit_ms=limit_ms)
    p.b.forwarder.admission.serves_until = lambda: GRACE_S
    return p


@pytest.mark.parametrize("limit_ms", LIMITS_MS)
@pytest.mark.parametrize("asked", [make_request("/r/1"), make_request("/o/1", "POST", length=0)], ids=["read", "once"])
def test_whatever_a_stopping_proxy_sends_on_it_can_wait_for_until_its_whole_limit(limit_ms, asked):
    for at in range(0, 54):
        p = played(limit_ms)
        p.t = at / 10
        r = p.run(asked)
        if p.sent():
            assert p.t + limit_ms / 1000 <= GRACE_S
            assert all(s.end <= GRACE_S for s in p.steps if isinstance(s, Exchange | AwaitResponse))
        else:
            assert (r.status, r.outcome, r.close) == (503, "not-run", True) and r.retry_after


def test_what_runs_to_its_whole_limit_is_not_cut_by_the_stop(set_up):
    """Taken late in the stop, answered at the very end of its limit."""
    s, up, b = set_up
    b.route("r", "/r/", "read", service="s", tries=1, limit_ms=600.0)
    c = Client(s)
    assert c.send(req()).answer()[0] == 200
    up.go = Event()
    stop = gevent.spawn(s.drain, 0.3, 0.4)
    Event().wait(timeout=0.2)
    sent = len(up.got)
    status, _, headers = c.send(req(mark=b"a2")).answer()
    assert (status, headers["mallow-outcome"]) == (503, "not-run") and len(up.got) == sent
    up.go.set()
    stop.join(timeout=10)


def test_a_connection_accepted_as_the_listener_closes_is_waited_for(set_up):
    """Accepted, but nothing of it has run yet when the drain looks for connections: its request is answered whole."""
    s, up, b = set_up
    b.route("r", "/r/", "read", service="s", tries=1, limit_ms=1000.0)
    up.go, close, clients = Event(), s.close, []

    def close_after_an_accept():
        s.close = close
        client = socket.create_connection(("127.0.0.1", s.server_port), timeout=5)
        client.sendall(req(mark=b"a5"))
        clients.append(client)
        with socket.socket(fileno=os.dup(s.socket.fileno())) as listener:
            accepted, address = listener.accept()
        s.do_handle(gevent.socket.socket(fileno=accepted.detach()), address)
        close()

    s.close = close_after_an_accept
    drained = gevent.spawn(s.drain, 0.0, 5.0)
    drained.join(timeout=0.3)
    assert up.begun.wait(timeout=5) and not drained.ready(), "the drain ended while an upstream was at work"
    up.go.set()
    drained.join(timeout=10)
    with clients[0] as client:
        assert client.recv(4096).startswith(b"HTTP/1.1 200")


def test_the_time_of_a_stop_counts_from_its_signal():
    """A process that is slow to begin its stop doesn't end it later."""
    with web.Server(Address("127.0.0.1", 0), web.make_app(), Counts(), 4) as server:
        told_at = clock.now() - 3.0
        server.drain(1.0, 5.0, told_at)
        assert server.until == told_at + 6.0 and server.closed


def test_a_stop_does_not_wait_without_connections():
    with web.Server(Address("127.0.0.1", 0), web.make_app(), Counts(), 4) as server:
        began = clock.now()
        server.drain(0.0, 60.0)
        assert clock.now() - began < 30.0


def test_an_upstream_at_its_limit_is_no_cut():
    p = played(1000)
    p.say = [Err("limit")]
    p.acts["exchange"] = lambda p: setattr(p, "t", p.steps[-1].end)
    assert p.run(make_request("/o/1", "POST", length=0)).status == 504


@pytest.mark.parametrize("asked", [TENANT_READ, TENANT_ONCE], ids=["read", "once"])
def test_a_tenants_request_is_taken_by_a_stopping_proxy_only_if_its_whole_limit_fits(asked):
    asked.headers["mallow-limit"] = "2000"
    for left in range(0, 54):
        p = TenantPlayed()
        p.b.forwarder.serves_until = lambda left=left: left / 10
        r = p.run(asked)
        if p.count(Exchange):
            assert left / 10 > 2.0
        else:
            assert left / 10 < 2.2
            assert (r.status, r.close) == (503, True) and r.retry_after and not p.count(ProposeCommand)
