import http.client

import gevent
import pytest
from gevent.event import Event

from mallowvalve import web
from mallowvalve.configuration.items import Limits
from mallowvalve.proxy.frontend import Frontend
from tests.frontend_bench import RESPONSE_HEAD, HttpClient, build_request, serve_frontend


@pytest.fixture
def set_up():
    with serve_frontend() as parts:
        yield parts


def test_an_answer_goes_back_as_it_came_and_the_connection_goes_on(set_up):
    s, up, b = set_up
    c = HttpClient(s)
    for mark in (b"a1", b"a2"):
        status, body, headers = c.send(build_request(request_id=mark)).read_response()
        assert (status, body, headers.get_all("x-own")) == (200, b"ok", ["a", "b"])
        assert (
            headers["mallow-ask"] == mark.decode()
            and headers["x-seal"] == "1"
            and headers["keep-alive"] == "timeout=58"
        )
        assert headers["date"] is None and headers["connection"] is None
    assert b"Mallow-Expect: u0" in up.requests[0][0] and b"Mallow-Limit: 4" in up.requests[0][0]
    assert len(b.hosts.idle_connections._idle["u0"]) == 1


@pytest.mark.parametrize(
    "more,body",
    [
        (b"Content-Length: 3\r\n", b"abc"),
        (b"Transfer-Encoding: chunked\r\n", b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"),
    ],
)
def test_a_body_is_read_whole_and_goes_with_its_length(set_up, more, body):
    s, up, _ = set_up
    c = HttpClient(s)
    assert c.send(build_request(b"/o/1", b"POST", more, body)).read_response()[0] == 200
    head, got = up.requests[0]
    assert got == b"abc" and head.count(b"Content-Length: 3") == 1 and b"chunked" not in head
    assert c.send(build_request()).read_response()[0] == 200


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
        build_request(b"/r/1", more=b"Host: other\r\n"),
        build_request(b"/r/a b"),
        build_request(b"/r/\x01"),
        build_request(b"/r/1", more=b"no colon\r\n"),
        b"GET /r/1 HTTP/1.1\nHost: h.example\n\n\r\n\r\n",
        b"nonsense\r\n\r\n",
        b"GET /r/1 HTTP/2.0\r\n\r\n",
        build_request(b"/o/1", b"POST", b"Transfer-Encoding: chunked\r\n", b"zz\r\nab\r\n0\r\n\r\n"),
        build_request(b"/o/1", b"POST", b"Transfer-Encoding: chunked\r\n", b"2\r\nabXX0\r\n\r\n"),
    ],
)
def test_what_could_be_taken_for_two_is_refused_and_the_connection_closed(set_up, data):
    s, up, _ = set_up
    c = HttpClient(s)
    status, _, headers = c.send(data + build_request(b"/r/smuggled", request_id=b"evil")).read_response()
    assert status == 400 and headers["connection"] == "close" and c.closed() and up.requests == []


def test_a_request_within_a_body_stays_a_body(set_up):
    s, up, _ = set_up
    inner = build_request(b"/r/smuggled", request_id=b"evil")
    c = HttpClient(s)
    assert (
        c.send(build_request(b"/o/1", b"POST", b"Content-Length: %d\r\n" % len(inner), inner)).read_response()[0] == 200
    )
    assert len(up.requests) == 1 and up.requests[0][1] == inner


def test_requests_one_after_another_in_one_go(set_up):
    s, up, _ = set_up
    c, got = HttpClient(s).send(build_request(request_id=b"a1") + b"\r\n" + build_request(request_id=b"a2")), b""
    while got.count(b"\r\n\r\nok") < 2:
        got += c.sock.recv(65536)
    assert got.index(b"Mallow-Ask: a1") < got.index(b"Mallow-Ask: a2") and len(up.requests) == 2


class Own:
    def on_get(self, req, resp):
        web.send_json(resp, {"about": req.get_param("about"), "x": req.get_header("X-One")})


def test_what_is_no_hosts_goes_to_the_app_behind(set_up):
    s, up, b = set_up
    app = web.make_app()
    app.add_route("/-/own", Own())
    app.add_sink(
        lambda build_request, resp, **_: web.send_json(resp, {"tenant": build_request.get_header("Mallow-Tenant")}), "/"
    )
    s.application = Frontend(b.forwarder, app, False)
    c = HttpClient(s)
    status, body, _ = c.send(build_request(b"/-/own?about=a", more=b"X-One: 1\r\n")).read_response()
    assert (status, body) == (200, b'{"about":"a","x":"1"}')
    assert c.send(build_request()).read_response()[1] == b"ok"
    other = b"GET /r/1 HTTP/1.1\r\nHost: x\r\n%s\r\n"
    assert c.send(other % b"Mallow-Tenant: t\r\n").read_response()[1] == b'{"tenant":"t"}'
    assert c.send(other % b"").read_response()[0] == 404
    b.state.items.revision = 0
    assert c.send(other % b"").read_response()[1] == b'{"tenant":null}'
    s.application = Frontend(b.forwarder, app, True)
    assert c.send(other % b"").read_response()[0] == 503
    assert c.send(build_request(b"/-/own")).read_response()[0] == 503


def test_a_head_that_comes_too_slowly(set_up):
    s, up, _ = set_up
    c = HttpClient(s).send(b"GET /r/1 HTTP/1.1\r\nHost: h.exam")
    status, _, headers = c.read_response()
    assert (status, headers["connection"], headers["mallow-outcome"]) == (408, "close", "not-run") and c.closed()


@pytest.mark.parametrize(
    "data", [build_request(more=b"X: %s\r\n" % (b"x" * 2000)), build_request(b"/r/" + b"x" * 3000), b"G" * 3000]
)
def test_a_head_that_is_too_long(set_up, data):
    s, up, _ = set_up
    c = HttpClient(s)
    assert c.send(data).read_response()[0] == 431 and c.closed() and not up.requests


@pytest.mark.parametrize(
    "more,body",
    [
        (b"Content-Length: 1001\r\n", b""),
        (b"Content-Length: 90000\r\n", b"x" * 90000),
        (b"Transfer-Encoding: chunked\r\n", b"3e9\r\n" + b"x" * 1001 + b"\r\n0\r\n\r\n"),
    ],
)
def test_a_body_that_is_too_long(set_up, more, body):
    s, up, _ = set_up
    c = HttpClient(s)
    assert (
        c.send(build_request(b"/o/1", b"POST", more, body)).read_response()[0] == 413 and c.closed() and not up.requests
    )


def test_a_refusal_before_the_body_does_not_wait_for_it(set_up):
    s, up, _ = set_up
    c = HttpClient(s)
    assert (
        c.send(build_request(b"/none", b"POST", b"Content-Length: 500\r\n", b"x")).read_response()[0] == 404
        and c.closed()
    )
    c = HttpClient(s)
    assert c.send(build_request(b"/none")).read_response()[0] == 404
    assert c.send(build_request()).read_response()[0] == 200


def test_a_head_request_has_no_body_either_way(set_up):
    s, up, _ = set_up
    up.make_response = lambda mark: RESPONSE_HEAD % mark + b"Content-Length: 77\r\n\r\n"
    c = HttpClient(s)
    status, body, headers = c.send(build_request(method=b"HEAD")).read_response("HEAD")
    assert (status, body, headers["content-length"]) == (200, b"", "77")
    assert c.send(build_request(b"/none", method=b"HEAD")).read_response("HEAD")[0] == 404
    up.make_response = None
    assert c.send(build_request()).read_response()[0] == 200


def test_an_idle_connection_is_closed_in_its_time(set_up):
    s, up, b = set_up
    b.state.items.limits = Limits(version=2, idle_ms=100.0)
    c = HttpClient(s)
    assert c.send(build_request()).read_response()[0] == 200 and c.closed()


def test_no_bytes_of_another_answer_reach_a_client(set_up):
    s, up, b = set_up
    other = RESPONSE_HEAD % b"zz" + b"Content-Length: 5\r\n\r\nother"
    up.make_response = lambda mark: other + RESPONSE_HEAD % mark + b"Content-Length: 2\r\n\r\nok" + other
    c = HttpClient(s)
    for mark in (b"a1", b"a2"):
        status, body, headers = c.send(build_request(request_id=mark)).read_response()
        assert (status, body, headers["mallow-ask"]) == (200, b"ok", mark.decode())
    assert not b.hosts.idle_connections._idle.get("u0")


def test_an_answer_that_ends_early_never_looks_whole(set_up):
    s, up, _ = set_up
    up.end = True
    up.make_response = lambda mark: RESPONSE_HEAD % mark + b"Content-Length: 9\r\n\r\nok"
    assert HttpClient(s).send(build_request()).read_response()[0] == 502
    up.make_response = lambda mark: RESPONSE_HEAD % mark + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
    assert HttpClient(s).send(build_request()).read_response()[0] == 502
    big = b"x" * 600_000
    up.make_response = lambda mark: RESPONSE_HEAD % mark + b"Content-Length: 600001\r\n\r\n" + big
    with pytest.raises(http.client.IncompleteRead):
        HttpClient(s).send(build_request()).read_response()
    up.make_response = lambda mark: (
        RESPONSE_HEAD % mark + b"Transfer-Encoding: chunked\r\n\r\n927c0\r\n" + big + b"\r\n"
    )
    with pytest.raises(http.client.IncompleteRead):
        HttpClient(s).send(build_request()).read_response()


@pytest.mark.parametrize(
    "how", [b"Content-Length: 600000\r\n\r\n%s", b"Transfer-Encoding: chunked\r\n\r\n927c0\r\n%s\r\n0\r\n\r\n"]
)
def test_a_large_answer_comes_whole(set_up, how):
    s, up, b = set_up
    up.make_response = lambda mark: RESPONSE_HEAD % mark + how % (b"x" * 600_000)
    status, body, _ = HttpClient(s).send(build_request()).read_response()
    assert (status, len(body)) == (200, 600_000) and b.hosts.upstreams["u0"].in_flight == 0


def test_a_connection_that_broke_before_its_answer_is_no_proof(set_up):
    s, up, _ = set_up
    up.end, up.make_response = True, lambda mark: b""
    status, _, headers = HttpClient(s).send(build_request(b"/o/1", b"POST", b"Content-Length: 0\r\n")).read_response()
    assert (status, headers["mallow-outcome"], headers["retry-after"], len(up.requests)) == (502, "unknown", None, 1)


def test_a_dead_upstream_is_a_promise(set_up):
    s, up, b = set_up
    up.server.stop()
    status, _, headers = HttpClient(s).send(build_request(b"/o/1", b"POST", b"Content-Length: 0\r\n")).read_response()
    assert (status, headers["mallow-outcome"]) == (503, "not-run") and 0 < float(headers["retry-after"]) <= 0.3


def test_a_planned_stop_lets_answers_finish_and_serves_who_still_asks(set_up):
    s, up, _ = set_up
    up.may_respond = Event()
    c, kept = HttpClient(s), HttpClient(s)
    up.may_respond.set()
    assert kept.send(build_request()).read_response()[0] == 200
    up.may_respond.clear()
    up.request_received.clear()
    c.send(build_request(request_id=b"a7"))
    up.request_received.wait()
    stop = gevent.spawn(s.drain, 0.2, 5.0)
    gevent.idle()
    kept.send(build_request(request_id=b"a8"))
    up.may_respond.set()
    for x, mark in ((c, "a7"), (kept, "a8")):
        status, body, headers = x.read_response()
        assert (status, body, headers["mallow-ask"], headers["connection"]) == (
            200,
            b"ok",
            mark,
            "close",
        ) and x.closed()
    stop.join(timeout=10)
    assert stop.successful()


def test_shortly_before_its_end_a_proxy_refuses_what_would_not_finish(set_up):
    s, up, _ = set_up
    c = HttpClient(s)
    assert c.send(build_request()).read_response()[0] == 200
    stop = gevent.spawn(s.drain, 0.3, 0.3)
    gevent.idle()
    status, _, headers = c.send(build_request()).read_response()
    assert (status, headers["mallow-outcome"], headers["connection"]) == (503, "not-run", "close") and len(
        up.requests
    ) == 1
    stop.join(timeout=10)
