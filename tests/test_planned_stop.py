"""A graceful stop: admitted requests are answered completely, and others are rejected before they run."""

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
from tests.frontend_bench import HttpClient, build_request, serve_frontend
from tests.host_bench import HostScenario, make_request
from tests.test_tenant_forwarder import TenantScenario

GRACE_S = 5.4
TENANT_READ = ClientRequest("GET", "/r/1", {"mallow-tenant": "t"}, "c", None)
TENANT_ONCE = ClientRequest("POST", "/o", {"mallow-tenant": "t", "mallow-key": "k"}, "c", 0)
LIMITS_MS = (400, 1000, 1500, 2000, 3000, 4000, 6000)


@pytest.fixture
def set_up():
    with serve_frontend() as parts:
        yield parts


def make_scenario(limit_ms: float) -> HostScenario:
    case = HostScenario(upstreams=1)
    case.bench.route("r", "/r/", "read", service="s", tries=1, limit_ms=limit_ms)
    case.bench.route("o", "/o/", "try", service="s", tries=1, limit_ms=limit_ms)
    case.bench.forwarder.admission.serves_until = lambda: GRACE_S
    return case


@pytest.mark.parametrize("limit_ms", LIMITS_MS)
@pytest.mark.parametrize("sent", [make_request("/r/1"), make_request("/o/1", "POST", length=0)], ids=["read", "once"])
def test_a_stopping_proxy_forwards_only_requests_whose_limit_ends_before_the_stop(limit_ms, sent):
    for at in range(0, 54):
        case = make_scenario(limit_ms)
        case.now = at / 10
        response = case.run(sent)
        if case.exchanges():
            assert case.now + limit_ms / 1000 <= GRACE_S
            assert all(step.end <= GRACE_S for step in case.steps if isinstance(step, Exchange | AwaitResponse))
        else:
            assert (response.status, response.outcome, response.close) == (
                503,
                "not-run",
                True,
            ) and response.retry_after


def test_a_request_that_runs_to_its_limit_is_not_cut_off_by_the_stop(set_up):
    """The request is admitted late in the stop and answered at the end of its limit."""
    server, upstream, bench = set_up
    bench.route("r", "/r/", "read", service="s", tries=1, limit_ms=600.0)
    client = HttpClient(server)
    assert client.send(build_request()).read_response()[0] == 200
    upstream.may_respond = Event()
    stop = gevent.spawn(server.drain, 0.3, 0.4)
    Event().wait(timeout=0.2)
    sent = len(upstream.requests)
    status, _, headers = client.send(build_request(request_id=b"a2")).read_response()
    assert (status, headers["mallow-outcome"]) == (503, "not-run") and len(upstream.requests) == sent
    upstream.may_respond.set()
    stop.join(timeout=10)


def test_a_connection_accepted_while_the_listener_closes_is_drained(set_up, monkeypatch):
    """The connection is accepted, but its handler has not run yet when the drain lists the connections.

    Its handshake completes at the close itself, as it can on a system that cannot refuse handshakes.
    """
    monkeypatch.setattr(web, "refuse_handshakes", lambda _listener: False)
    server, upstream, bench = set_up
    bench.route("r", "/r/", "read", service="s", tries=1, limit_ms=1000.0)
    upstream.may_respond, close, clients = Event(), server.close, []

    def close_after_an_accept():
        server.close = close
        client = socket.create_connection(("127.0.0.1", server.server_port), timeout=5)
        client.sendall(build_request(request_id=b"a5"))
        clients.append(client)
        with socket.socket(fileno=os.dup(server.socket.fileno())) as listener:
            accepted, address = listener.accept()
        server.do_handle(gevent.socket.socket(fileno=accepted.detach()), address)
        close()

    server.close = close_after_an_accept
    drained = gevent.spawn(server.drain, 0.0, 5.0)
    drained.join(timeout=0.3)
    assert upstream.request_received.wait(timeout=5) and not drained.ready(), (
        "the drain ended while an upstream was at work"
    )
    upstream.may_respond.set()
    drained.join(timeout=10)
    with clients[0] as client:
        assert client.recv(4096).startswith(b"HTTP/1.1 200")


def test_the_stop_deadline_counts_from_the_signal():
    """A process that starts its stop late does not end it later."""
    with web.Server(Address("127.0.0.1", 0), web.make_app(), Counts(), 4) as server:
        told_at = clock.now() - 3.0
        server.drain(1.0, 5.0, told_at)
        assert server.stop_deadline == told_at + 6.0 and server.closed


def test_a_stop_does_not_wait_without_connections():
    with web.Server(Address("127.0.0.1", 0), web.make_app(), Counts(), 4) as server:
        began = clock.now()
        server.drain(0.0, 60.0)
        assert clock.now() - began < 30.0


def test_an_upstream_timeout_during_the_stop_is_a_504():
    case = make_scenario(1000)
    case.results = [Err("limit")]
    case.actions["exchange"] = lambda case: setattr(case, "now", case.steps[-1].end)
    assert case.run(make_request("/o/1", "POST", length=0)).status == 504


@pytest.mark.parametrize("sent", [TENANT_READ, TENANT_ONCE], ids=["read", "once"])
def test_a_stopping_proxy_admits_a_tenants_request_only_if_its_limit_fits(sent):
    sent.headers["mallow-limit"] = "2000"
    for left in range(0, 54):
        case = TenantScenario()
        case.bench.forwarder.serves_until = lambda left=left: left / 10
        response = case.run(sent)
        if case.count(Exchange):
            assert left / 10 > 2.0
        else:
            assert left / 10 < 2.2
            assert (
                (response.status, response.close) == (503, True)
                and response.retry_after
                and not case.count(ProposeCommand)
            )
