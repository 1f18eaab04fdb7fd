"""A client's connection to a proxy, and responses of upstreams that arrive before their request is sent completely."""

import itertools
import re

import gevent
import pytest
from gevent.event import Event
from gevent.server import StreamServer

from mallowvalve import clock
from mallowvalve.configuration.items import Limits
from mallowvalve.proxy.frontend import CapacityQueue
from tests.test_frontend import RESPONSE_HEAD, HttpClient, build_request, frontend

__all__ = ["frontend"]


class EarlyResponder:
    """An upstream that responds after the first part of a request and reads no more of it."""

    def __init__(self, response: bytes, closes: bool):
        self.response, self.closes, self.may_close = response, closes, Event()
        self.server = StreamServer(("127.0.0.1", 0), self.run)

    def run(self, sock, _):
        with sock:
            head = sock.recv(3000)
            sock.sendall(self.response % re.search(rb"(?i)\nmallow-ask: (\S+)", head)[1])
            if not self.closes:
                self.may_close.wait()


NOT_RUN_RESPONSE = b"HTTP/1.1 503 X\r\nMallow-Ask: %s\r\nMallow-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("closes", [True, False])
@pytest.mark.parametrize(
    "early,status,outcome",
    [(NOT_RUN_RESPONSE, 503, "not-run"), (RESPONSE_HEAD + b"Content-Length: 2\r\n\r\nok", 200, None)],
)
def test_an_early_response_to_a_large_body_counts(frontend, early, status, outcome, closes):
    server, _, bench = frontend
    bench.state.items.limits = Limits(version=3, body_bytes=9_000_000)
    upstream = EarlyResponder(early, closes)
    upstream.server.start()
    bench.upstream("u0", port=upstream.server.server_port)
    body = b"x" * 8_000_000
    data = build_request(b"/o/1", b"POST", b"Content-Length: %d\r\n" % len(body), body)
    received_status, _, headers = HttpClient(server).send(data).read_response()
    upstream.may_close.set()
    upstream.server.stop()
    assert (received_status, headers["mallow-outcome"]) == (status, outcome)
    assert not bench.hosts.idle_connections._idle.get("u0")


CHUNKED_BODY = b"2\r\nab\r\n0\r\nX-One: 1\r\nX-Two: 2\r\n\r\n"
REQUESTS = {
    "get": (build_request(request_id=b"%s"), 200),
    "head": (build_request(method=b"HEAD", request_id=b"%s"), 200),
    "post": (build_request(b"/o/1", b"POST", b"Content-Length: 3\r\n", b"abc", b"%s"), 200),
    "empty": (build_request(b"/o/1", b"POST", b"Content-Length: 0\r\n", b"", b"%s"), 200),
    "chunked": (build_request(b"/o/1", b"POST", b"Transfer-Encoding: chunked\r\n", CHUNKED_BODY, b"%s"), 200),
    "expects": (build_request(b"/o/1", b"POST", b"Expect: 100-continue\r\nContent-Length: 3\r\n", b"abc", b"%s"), 200),
    "none": (build_request(b"/none", request_id=b"%s"), 404),
    "early": (build_request(b"/none", b"POST", b"Content-Length: 3\r\n", b"abc", b"%s"), 404),
    "closes": (build_request(headers=b"Connection: close\r\n", request_id=b"%s"), 200),
    "bad": (b"GET /r/ HTTP/1.1\r\nMallow-Ask: %s\r\nno colon\r\n\r\n", 400),
}
CLOSING = {"early", "closes", "bad"}


def read_response(file, method: bytes) -> tuple[int, bytes | None, bool]:
    """Reads a response; returns its status, request id and whether the connection ends. Skips interim responses."""
    status = int(file.readline().split()[1])
    headers = {}
    while line := file.readline().strip():
        name, _, value = line.partition(b":")
        headers[name.lower()] = value.strip()
    if status == 100:
        return read_response(file, method)
    length = int(headers[b"content-length"])
    if method != b"HEAD":
        assert len(file.read(length)) == length
    return status, headers.get(b"mallow-ask"), headers.get(b"connection") == b"close"


@pytest.mark.parametrize("at_once", [True, False])
def test_every_sequence_of_three_requests_on_one_connection(frontend, at_once):
    server, upstream, bench = frontend
    upstream.make_response = lambda request_id: (
        RESPONSE_HEAD % request_id
        + (b"Content-Length: 2\r\n\r\n" + (b"" if upstream.requests[-1][0].startswith(b"HEAD") else b"ok"))
    )
    for order in itertools.product(REQUESTS, repeat=3):
        if order[0] in CLOSING:
            continue
        bench.replica._confirmed_at = clock.now()
        client, before = HttpClient(server), len(upstream.requests)
        file = client.sock.makefile("rb")
        requests = [REQUESTS[name][0].replace(b"%s", b"a%d" % index) for index, name in enumerate(order)]
        if at_once:
            client.send(b"".join(requests))
        answered = 0
        for index, name in enumerate(order):
            if not at_once:
                client.send(requests[index])
            status, request_id, closes = read_response(file, requests[index].split()[0])
            assert status == REQUESTS[name][1] and request_id == (b"a%d" % index if status == 200 else None)
            answered += status == 200
            assert closes == (name in CLOSING)
            if closes:
                assert file.read(1) == b""
                break
        assert len(upstream.requests) - before == answered
        client.sock.close()


def test_the_capacity_queue_wakes_by_priority_and_then_by_arrival():
    queue, woken = CapacityQueue(), []

    def wait(name: str, priority: int) -> None:
        if queue.wait("s", 5, priority):
            woken.append(name)

    waiters = [gevent.spawn(wait, name, int(name[0])) for name in ("2a", "1a", "2b", "0a", "1b")]
    gevent.idle()
    for _ in waiters:
        queue.wake_next("s")
        gevent.idle()
    gevent.joinall(waiters, timeout=5)
    assert woken == ["0a", "1a", "1b", "2a", "2b"]
    assert not queue.wait("s", 0.01, 0)
    queue.wake_next("s")


def test_a_head_response_of_unknown_length_has_no_framing_headers(frontend):
    server, upstream, _ = frontend
    upstream.make_response = lambda request_id: RESPONSE_HEAD % request_id + b"Transfer-Encoding: chunked\r\n\r\n"
    client = HttpClient(server)
    status, _, headers = client.send(build_request(method=b"HEAD")).read_response("HEAD")
    assert (status, headers["content-length"], headers["transfer-encoding"]) == (200, None, None)
    upstream.make_response = None
    assert client.send(build_request(request_id=b"a2")).read_response()[0] == 200
