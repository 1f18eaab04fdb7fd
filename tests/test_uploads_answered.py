"""Every upload gets an answer that its client can read, however long the client sends."""

import time

import gevent
import pytest

from mallowvalve import web
from mallowvalve.body_budget import BodyBudget
from mallowvalve.configuration.items import Limits
from mallowvalve.metrics import Counts
from mallowvalve.types import Address
from tests.frontend_bench import HttpClient, build_request, serve_frontend
from tests.upload_bench import MEBIBYTE, DiscardingUpstream, run_proxy, send_slowly, upload_at_once

MEMORY_MB = 120.0
UPLOAD_BYTES = 16 * MEBIBYTE
UPLOADS = 6
SENDING_S = 0.9
"""Longer than a server that does not wait for the end of a body lets a client send after an error response."""


@pytest.fixture
def frontend():
    with serve_frontend() as (server, upstream, bench):
        bench.state.items.limits = Limits(
            version=1, header_bytes=2000, body_bytes=1 << 20, header_ms=150.0, idle_ms=5000.0
        )
        yield server, upstream, bench


REFUSED_UPLOADS = {
    "no_room": (b"/o/1", 900_000, 503),
    "too_large": (b"/o/1", 2_000_000, 413),
    "no_route": (b"/elsewhere/1", 900_000, 404),
    "bad_limit": (b"/o/1", 900_000, 400),
}


@pytest.mark.parametrize("case", REFUSED_UPLOADS)
def test_a_client_reads_the_refusal_of_an_upload_that_it_sends_whole(frontend, case):
    """Guards against a reset that discards the response while the client is still sending its body."""
    server, upstream, _ = frontend
    target, size, status = REFUSED_UPLOADS[case]
    if case == "no_room":
        server.body_budget = BodyBudget(1000)
    headers = b"Content-Length: %d\r\n" % size
    if case == "bad_limit":
        headers += b"Mallow-Limit: soon\r\n"
    client = HttpClient(server).send(build_request(target, b"POST", headers))
    send_slowly(client.sock, size, SENDING_S)
    assert client.read_response()[0] == status
    assert upstream.requests == []


def test_the_deadline_of_an_earlier_request_does_not_end_the_wait_for_a_later_one(frontend):
    """Guards against a refused upload that is cut since an earlier request of its connection had a short deadline."""
    server, _, _ = frontend
    headers = b"Content-Length: 3\r\nMallow-Limit: 300\r\n"
    client = HttpClient(server).send(build_request(b"/o/1", b"POST", headers, b"abc"))
    assert client.read_response()[0] == 200
    client.send(build_request(b"/elsewhere/1", b"POST", b"Content-Length: 900000\r\n"))
    send_slowly(client.sock, 900_000, 2 * SENDING_S)
    assert client.read_response()[0] == 404


def test_a_client_reads_the_refusal_of_a_head_that_is_too_long(frontend):
    """Guards against the same reset where no request was understood."""
    server, _, _ = frontend
    client = HttpClient(server).send(build_request(headers=b"X-Long: " + b"x" * 4000))
    send_slowly(client.sock, 300_000, SENDING_S)
    assert client.read_response()[0] == 431


def test_a_refused_upload_ends_with_its_body_and_not_with_a_timeout(frontend):
    server, _, _ = frontend
    headers = b"Content-Length: 2000000\r\n"
    client = HttpClient(server).send(build_request(b"/o/1", b"POST", headers, b"x" * 2_000_000))
    assert client.read_response()[0] == 413
    began = time.monotonic()
    assert client.closed()
    with gevent.Timeout(2):
        while server.connections or len(server.pool):
            gevent.idle()
    assert time.monotonic() - began < 1.0


def test_the_rest_of_a_refused_upload_is_discarded_until_its_deadline_only(frontend):
    server, _, _ = frontend
    headers = b"Content-Length: 2000000\r\nMallow-Limit: 1500\r\n"
    began = time.monotonic()
    client = HttpClient(server).send(build_request(b"/o/1", b"POST", headers, b"x" * 1000))
    assert client.read_response()[0] == 413
    with gevent.Timeout(4):
        while len(server.pool):
            gevent.idle()
    assert 1.4 < time.monotonic() - began < 2.2


def test_a_client_that_still_sends_its_refused_upload_does_not_delay_a_stop(frontend):
    server, _, _ = frontend
    client = HttpClient(server).send(build_request(b"/o/1", b"POST", b"Content-Length: 2000000\r\n", b"x" * 1000))
    assert client.read_response()[0] == 413
    began = time.monotonic()
    server.drain(0.0, 1.5)
    assert time.monotonic() - began < 1.2
    server.shut_down()
    assert time.monotonic() - began < 1.5


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])
def test_uploads_are_served_that_together_exceed_the_room_for_bodies(chunked):
    """Guards against uploads that are refused or cut because bodies are held whole until they are sent on."""
    with run_proxy(DiscardingUpstream(part_pause_s=0.02, work_s=0.2), MEMORY_MB) as proxy:
        answers = upload_at_once(proxy.port, 2 * UPLOADS, UPLOAD_BYTES, chunked)
        assert proxy.peak_mb < 0.8 * MEMORY_MB
    assert [answer.status for answer in answers] == [200] * 2 * UPLOADS


class Page:
    """A resource that reads a JSON body on PUT, and reads none on POST."""

    def on_put(self, req, resp):
        if web.read_json(Limits, req, resp, max_bytes=1000) is not None:
            web.send_json(resp, {})

    def on_post(self, _req, resp):
        web.send_json(resp, {}, 200)


@pytest.fixture
def page_server():
    app = web.LazyApp()
    app.add_route("/page", Page())
    with web.Server(Address("127.0.0.1", 0), app, Counts(), 16) as server:
        yield server


@pytest.mark.parametrize("method, status", [(b"PUT", 413), (b"POST", 200)])
def test_a_client_reads_the_response_of_a_page_that_does_not_read_its_body(page_server, method, status):
    client = HttpClient(page_server).send(build_request(b"/page", method, b"Content-Length: 900000\r\n"))
    send_slowly(client.sock, 900_000, SENDING_S)
    got, _, headers = client.read_response()
    assert (got, headers["connection"]) == (status, "close") and client.closed()


def test_a_page_that_refuses_a_body_before_its_100_continue_ends_the_connection(page_server):
    """Guards against a next request that is read as the body of the refused one."""
    client = HttpClient(page_server)
    client.send(build_request(b"/page", b"PUT", b"Expect: 100-continue\r\nContent-Length: 5000\r\n"))
    status, _, headers = client.read_response()
    assert (status, headers["connection"]) == (413, "close")


def test_a_page_refuses_a_malformed_chunk(page_server):
    chunked = build_request(b"/page", b"PUT", b"Transfer-Encoding: chunked\r\n", b"nonsense\r\n")
    assert HttpClient(page_server).send(chunked).read_response()[0] == 400


def test_a_connection_is_kept_after_a_body_that_a_page_does_not_need(page_server):
    client = HttpClient(page_server)
    for _ in range(2):
        client.send(build_request(b"/page", b"POST", b"Content-Length: 3\r\n", b"abc"))
        assert client.read_response()[0] == 200
