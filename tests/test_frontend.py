"""A proxy's frontend over sockets: framing, limits, responses, and the graceful stop."""

import http.client

import gevent
import pytest
from gevent.event import Event

from mallowvalve import web
from mallowvalve.configuration.items import Limits
from mallowvalve.proxy.frontend import Frontend
from tests.frontend_bench import RESPONSE_HEAD, HttpClient, build_request, serve_frontend


@pytest.fixture
def frontend():
    with serve_frontend() as parts:
        yield parts


def test_a_response_is_forwarded_unchanged_and_the_connection_kept_alive(frontend):
    server, upstream, bench = frontend
    client = HttpClient(server)
    for request_id in (b"a1", b"a2"):
        status, body, headers = client.send(build_request(request_id=request_id)).read_response()
        assert (status, body, headers.get_all("x-own")) == (200, b"ok", ["a", "b"])
        assert (
            headers["mallow-ask"] == request_id.decode()
            and headers["x-seal"] == "1"
            and headers["keep-alive"] == "timeout=58"
        )
        assert headers["date"] is None and headers["connection"] is None
    assert b"Mallow-Expect: u0" in upstream.requests[0][0] and b"Mallow-Limit: 4" in upstream.requests[0][0]
    assert len(bench.hosts.idle_connections._idle["u0"]) == 1


@pytest.mark.parametrize(
    "headers,body",
    [
        (b"Content-Length: 3\r\n", b"abc"),
        (b"Transfer-Encoding: chunked\r\n", b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"),
    ],
)
def test_a_request_body_is_forwarded_with_a_content_length(frontend, headers, body):
    server, upstream, _ = frontend
    client = HttpClient(server)
    assert client.send(build_request(b"/o/1", b"POST", headers, body)).read_response()[0] == 200
    head, received = upstream.requests[0]
    assert received == b"abc" and head.count(b"Content-Length: 3") == 1 and b"chunked" not in head
    assert client.send(build_request()).read_response()[0] == 200


@pytest.mark.parametrize(
    "data",
    [
        build_request(b"/o/1", b"POST", b"Content-Length: 3\r\nContent-Length: 3\r\n", b"abc"),
        build_request(b"/o/1", b"POST", b"Content-Length: 3\r\nContent-Length: 4\r\n", b"abc"),
        build_request(b"/o/1", b"POST", b"Content-Length: 3, 3\r\n", b"abc"),
        build_request(b"/o/1", b"POST", b"Content-Length: +3\r\n", b"abc"),
        build_request(b"/o/1", b"POST", b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", b"0\r\n\r\n"),
        build_request(b"/o/1", b"POST", b"Transfer-Encoding: gzip, chunked\r\n", b"0\r\n\r\n"),
        build_request(b"/o/1", b"POST", b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", b"0\r\n\r\n"),
        build_request(b"/o/1", b"POST", b"Transfer-Encoding : chunked\r\n", b"0\r\n\r\n"),
        build_request(b"/o/1", b"POST", b"X: a\r\n Content-Length: 3\r\n", b"abc"),
        build_request(b"/o/1", b"POST", b"X: a\rContent-Length: 3\r\n", b"abc"),
        build_request(b"/r/1", headers=b"Host: other\r\n"),
        build_request(b"/r/a b"),
        build_request(b"/r/\x01"),
        build_request(b"/r/1", headers=b"no colon\r\n"),
        b"GET /r/1 HTTP/1.1\nHost: h.example\n\n\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"GET /r/1 HTTP/2.0\r\n\r\n",
        build_request(b"/o/1", b"POST", b"Transfer-Encoding: chunked\r\n", b"zz\r\nab\r\n0\r\n\r\n"),
        build_request(b"/o/1", b"POST", b"Transfer-Encoding: chunked\r\n", b"2\r\nabXX0\r\n\r\n"),
    ],
)
def test_malformed_and_ambiguous_requests_are_rejected_and_the_connection_closed(frontend, data):
    server, upstream, _ = frontend
    client = HttpClient(server)
    status, _, headers = client.send(data + build_request(b"/r/smuggled", request_id=b"evil")).read_response()
    assert status == 400 and headers["connection"] == "close" and client.closed() and upstream.requests == []


def test_a_request_inside_a_body_is_not_executed(frontend):
    server, upstream, _ = frontend
    inner = build_request(b"/r/smuggled", request_id=b"evil")
    client = HttpClient(server)
    assert (
        client.send(build_request(b"/o/1", b"POST", b"Content-Length: %d\r\n" % len(inner), inner)).read_response()[0]
        == 200
    )
    assert len(upstream.requests) == 1 and upstream.requests[0][1] == inner


def test_pipelined_requests_are_answered_in_order(frontend):
    server, upstream, _ = frontend
    two_requests = build_request(request_id=b"a1") + b"\r\n" + build_request(request_id=b"a2")
    client, received = HttpClient(server).send(two_requests), b""
    while received.count(b"\r\n\r\nok") < 2:
        received += client.sock.recv(65536)
    assert received.index(b"Mallow-Ask: a1") < received.index(b"Mallow-Ask: a2") and len(upstream.requests) == 2


class QueryPage:
    def on_get(self, req, resp):
        web.send_json(resp, {"about": req.get_param("about"), "x": req.get_header("X-One")})


def test_requests_without_a_host_route_go_to_the_fallback_app(frontend):
    server, upstream, bench = frontend
    app = web.make_app()
    app.add_route("/-/own", QueryPage())
    app.add_sink(lambda req, resp, **_: web.send_json(resp, {"tenant": req.get_header("Mallow-Tenant")}), "/")
    server.application = Frontend(bench.forwarder, app, False)
    client = HttpClient(server)
    status, body, _ = client.send(build_request(b"/-/own?about=a", headers=b"X-One: 1\r\n")).read_response()
    assert (status, body) == (200, b'{"about":"a","x":"1"}')
    assert client.send(build_request()).read_response()[1] == b"ok"
    other = b"GET /r/1 HTTP/1.1\r\nHost: x\r\n%s\r\n"
    assert client.send(other % b"Mallow-Tenant: t\r\n").read_response()[1] == b'{"tenant":"t"}'
    assert client.send(other % b"").read_response()[0] == 404
    bench.state.items.revision = 0
    assert client.send(other % b"").read_response()[1] == b'{"tenant":null}'
    server.application = Frontend(bench.forwarder, app, True)
    assert client.send(other % b"").read_response()[0] == 503
    assert client.send(build_request(b"/-/own")).read_response()[0] == 503


def test_a_request_head_that_arrives_too_slowly_is_rejected(frontend):
    server, upstream, _ = frontend
    client = HttpClient(server).send(b"GET /r/1 HTTP/1.1\r\nHost: h.exam")
    status, _, headers = client.read_response()
    assert (status, headers["connection"], headers["mallow-outcome"]) == (408, "close", "not-run") and client.closed()


@pytest.mark.parametrize(
    "data", [build_request(headers=b"X: %s\r\n" % (b"x" * 2000)), build_request(b"/r/" + b"x" * 3000), b"G" * 3000]
)
def test_a_request_head_that_is_too_long_is_rejected(frontend, data):
    server, upstream, _ = frontend
    client = HttpClient(server)
    assert client.send(data).read_response()[0] == 431 and client.closed() and not upstream.requests


@pytest.mark.parametrize(
    "headers,body",
    [
        (b"Content-Length: 1001\r\n", b""),
        (b"Content-Length: 90000\r\n", b"x" * 90000),
        (b"Transfer-Encoding: chunked\r\n", b"3e9\r\n" + b"x" * 1001 + b"\r\n0\r\n\r\n"),
    ],
)
def test_a_request_body_that_is_too_long_is_rejected(frontend, headers, body):
    server, upstream, _ = frontend
    client = HttpClient(server)
    assert (
        client.send(build_request(b"/o/1", b"POST", headers, body)).read_response()[0] == 413
        and client.closed()
        and not upstream.requests
    )


def test_an_early_rejection_does_not_wait_for_the_body(frontend):
    server, upstream, _ = frontend
    client = HttpClient(server)
    assert (
        client.send(build_request(b"/none", b"POST", b"Content-Length: 500\r\n", b"x")).read_response()[0] == 404
        and client.closed()
    )
    client = HttpClient(server)
    assert client.send(build_request(b"/none")).read_response()[0] == 404
    assert client.send(build_request()).read_response()[0] == 200


def test_responses_to_head_requests_have_no_body(frontend):
    server, upstream, _ = frontend
    upstream.make_response = lambda request_id: RESPONSE_HEAD % request_id + b"Content-Length: 77\r\n\r\n"
    client = HttpClient(server)
    status, body, headers = client.send(build_request(method=b"HEAD")).read_response("HEAD")
    assert (status, body, headers["content-length"]) == (200, b"", "77")
    assert client.send(build_request(b"/none", method=b"HEAD")).read_response("HEAD")[0] == 404
    upstream.make_response = None
    assert client.send(build_request()).read_response()[0] == 200


def test_an_idle_connection_is_closed_after_the_idle_timeout(frontend):
    server, upstream, bench = frontend
    bench.state.items.limits = Limits(version=2, idle_ms=100.0)
    client = HttpClient(server)
    assert client.send(build_request()).read_response()[0] == 200 and client.closed()


def test_no_bytes_of_another_response_reach_a_client(frontend):
    server, upstream, bench = frontend
    other = RESPONSE_HEAD % b"zz" + b"Content-Length: 5\r\n\r\nother"
    upstream.make_response = lambda request_id: (
        other + RESPONSE_HEAD % request_id + b"Content-Length: 2\r\n\r\nok" + other
    )
    client = HttpClient(server)
    for request_id in (b"a1", b"a2"):
        status, body, headers = client.send(build_request(request_id=request_id)).read_response()
        assert (status, body, headers["mallow-ask"]) == (200, b"ok", request_id.decode())
    assert not bench.hosts.idle_connections._idle.get("u0")


def test_a_truncated_response_never_looks_complete(frontend):
    server, upstream, _ = frontend
    upstream.closes_after_response = True
    upstream.make_response = lambda request_id: RESPONSE_HEAD % request_id + b"Content-Length: 9\r\n\r\nok"
    assert HttpClient(server).send(build_request()).read_response()[0] == 502
    upstream.make_response = lambda request_id: (
        RESPONSE_HEAD % request_id + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
    )
    assert HttpClient(server).send(build_request()).read_response()[0] == 502
    big = b"x" * 600_000
    upstream.make_response = lambda request_id: RESPONSE_HEAD % request_id + b"Content-Length: 600001\r\n\r\n" + big
    with pytest.raises(http.client.IncompleteRead):
        HttpClient(server).send(build_request()).read_response()
    upstream.make_response = lambda request_id: (
        RESPONSE_HEAD % request_id + b"Transfer-Encoding: chunked\r\n\r\n927c0\r\n" + big + b"\r\n"
    )
    with pytest.raises(http.client.IncompleteRead):
        HttpClient(server).send(build_request()).read_response()


@pytest.mark.parametrize(
    "framed", [b"Content-Length: 600000\r\n\r\n%s", b"Transfer-Encoding: chunked\r\n\r\n927c0\r\n%s\r\n0\r\n\r\n"]
)
def test_a_large_response_arrives_complete(frontend, framed):
    server, upstream, bench = frontend
    upstream.make_response = lambda request_id: RESPONSE_HEAD % request_id + framed % (b"x" * 600_000)
    status, body, _ = HttpClient(server).send(build_request()).read_response()
    assert (status, len(body)) == (200, 600_000) and bench.hosts.upstreams["u0"].in_flight == 0


def test_the_outcome_is_unknown_after_a_connection_broke_before_the_response(frontend):
    server, upstream, _ = frontend
    upstream.closes_after_response, upstream.make_response = True, lambda request_id: b""
    status, _, headers = (
        HttpClient(server).send(build_request(b"/o/1", b"POST", b"Content-Length: 0\r\n")).read_response()
    )
    assert (status, headers["mallow-outcome"], headers["retry-after"], len(upstream.requests)) == (
        502,
        "unknown",
        None,
        1,
    )


def test_the_outcome_is_not_run_if_the_upstream_refuses_connections(frontend):
    server, upstream, bench = frontend
    upstream.server.stop()
    status, _, headers = (
        HttpClient(server).send(build_request(b"/o/1", b"POST", b"Content-Length: 0\r\n")).read_response()
    )
    assert (status, headers["mallow-outcome"]) == (503, "not-run") and 0 < float(headers["retry-after"]) <= 0.3


def test_a_graceful_stop_finishes_responses_and_serves_requests_on_open_connections(frontend):
    server, upstream, _ = frontend
    upstream.may_respond = Event()
    client, idle_client = HttpClient(server), HttpClient(server)
    upstream.may_respond.set()
    assert idle_client.send(build_request()).read_response()[0] == 200
    upstream.may_respond.clear()
    upstream.request_received.clear()
    client.send(build_request(request_id=b"a7"))
    upstream.request_received.wait()
    stop = gevent.spawn(server.drain, 0.2, 5.0)
    gevent.idle()
    idle_client.send(build_request(request_id=b"a8"))
    upstream.may_respond.set()
    for connection, request_id in ((client, "a7"), (idle_client, "a8")):
        status, body, headers = connection.read_response()
        assert (status, body, headers["mallow-ask"], headers["connection"]) == (
            200,
            b"ok",
            request_id,
            "close",
        ) and connection.closed()
    stop.join(timeout=10)
    assert stop.successful()


def test_a_stopping_proxy_rejects_requests_that_would_not_finish_in_time(frontend):
    server, upstream, _ = frontend
    client = HttpClient(server)
    assert client.send(build_request()).read_response()[0] == 200
    stop = gevent.spawn(server.drain, 0.3, 0.3)
    gevent.idle()
    status, _, headers = client.send(build_request()).read_response()
    assert (status, headers["mallow-outcome"], headers["connection"]) == (503, "not-run", "close") and len(
        upstream.requests
    ) == 1
    stop.join(timeout=10)
