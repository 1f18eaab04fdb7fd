"""A client's connection to a proxy, and answers of upstreams that come before their request was sent whole."""

import itertools
import re

import gevent
import pytest
from gevent.event import Event
from gevent.server import StreamServer

from mallowvalve import clock
from mallowvalve.configuration.items import Limits
from mallowvalve.proxy.frontend import CapacityQueue
from tests.test_frontend import RESPONSE_HEAD, HttpClient, build_request, set_up

__all__ = ["set_up"]


class EarlyUp:
    """An upstream that answers as soon as it has read a part of a request, and reads no more of it."""

    def __init__(self, answer: bytes, closes: bool):
        self.answer, self.closes, self.end = answer, closes, Event()
        self.server = StreamServer(("127.0.0.1", 0), self.run)

    def run(self, sock, _):
        with sock:
            head = sock.recv(3000)
            sock.sendall(self.answer % re.search(rb"(?i)\nmallow-ask: (\S+)", head)[1])
            if not self.closes:
                self.end.wait()


TURNED_AWAY = b"HTTP/1.1 503 X\r\nMallow-Ask: %s\r\nMallow-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("closes", [True, False])
@pytest.mark.parametrize(
    "early,status,outcome",
    [(TURNED_AWAY, 503, "not-run"), (RESPONSE_HEAD + b"Content-Length: 2\r\n\r\nok", 200, None)],
)
def test_an_early_answer_to_a_large_body_counts(set_up, early, status, outcome, closes):
    s, _, b = set_up
    b.state.items.limits = Limits(version=3, body_bytes=9_000_000)
    up = EarlyUp(early, closes)
    up.server.start()
    b.upstream("u0", port=up.server.server_port)
    body = b"x" * 8_000_000
    data = build_request(b"/o/1", b"POST", b"Content-Length: %d\r\n" % len(body), body)
    got, _, headers = HttpClient(s).send(data).read_response()
    up.end.set()
    up.server.stop()
    assert (got, headers["mallow-outcome"]) == (status, outcome)
    assert not b.hosts.idle_connections._idle.get("u0")


CHUNKS = b"2\r\nab\r\n0\r\nX-One: 1\r\nX-Two: 2\r\n\r\n"
TURNS = {
    "get": (build_request(request_id=b"%s"), 200),
    "head": (build_request(method=b"HEAD", request_id=b"%s"), 200),
    "post": (build_request(b"/o/1", b"POST", b"Content-Length: 3\r\n", b"abc", b"%s"), 200),
    "empty": (build_request(b"/o/1", b"POST", b"Content-Length: 0\r\n", b"", b"%s"), 200),
    "chunked": (build_request(b"/o/1", b"POST", b"Transfer-Encoding: chunked\r\n", CHUNKS, b"%s"), 200),
    "expects": (build_request(b"/o/1", b"POST", b"Expect: 100-continue\r\nContent-Length: 3\r\n", b"abc", b"%s"), 200),
    "none": (build_request(b"/none", request_id=b"%s"), 404),
    "early": (build_request(b"/none", b"POST", b"Content-Length: 3\r\n", b"abc", b"%s"), 404),
    "closes": (build_request(more=b"Connection: close\r\n", request_id=b"%s"), 200),
    "bad": (b"GET /r/ HTTP/1.1\r\nMallow-Ask: %s\r\nno colon\r\n\r\n", 400),
}
LAST = {"early", "closes", "bad"}


def read_answer(file, method: bytes) -> tuple[int, bytes | None, bool]:
    """Status, id and whether the connection ends; an interim answer is passed over. The body is taken off whole."""
    status = int(file.readline().split()[1])
    headers = {}
    while line := file.readline().strip():
        name, _, value = line.partition(b":")
        headers[name.lower()] = value.strip()
    if status == 100:
        return read_answer(file, method)
    length = int(headers[b"content-length"])
    if method != b"HEAD":
        assert len(file.read(length)) == length
    return status, headers.get(b"mallow-ask"), headers.get(b"connection") == b"close"


@pytest.mark.parametrize("at_once", [True, False])
def test_every_order_of_three_requests_on_a_clients_connection(set_up, at_once):
    s, up, b = set_up
    up.make_response = lambda mark: (
        RESPONSE_HEAD % mark
        + (b"Content-Length: 2\r\n\r\n" + (b"" if up.requests[-1][0].startswith(b"HEAD") else b"ok"))
    )
    for order in itertools.product(TURNS, repeat=3):
        if order[0] in LAST:
            continue
        b.replica._sure = clock.now()
        client, before = HttpClient(s), len(up.requests)
        file = client.sock.makefile("rb")
        wires = [TURNS[name][0].replace(b"%s", b"a%d" % i) for i, name in enumerate(order)]
        if at_once:
            client.send(b"".join(wires))
        answered = 0
        for i, name in enumerate(order):
            if not at_once:
                client.send(wires[i])
            status, mark, ends = read_answer(file, wires[i].split()[0])
            assert status == TURNS[name][1] and mark == (b"a%d" % i if status == 200 else None)
            answered += status == 200
            assert ends == (name in LAST)
            if ends:
                assert file.read(1) == b""
                break
        assert len(up.requests) - before == answered
        client.sock.close()


def test_the_most_urgent_is_told_first_of_a_free_place_and_of_these_the_first_to_come():
    rooms, told = CapacityQueue(), []

    def wait(name: str, priority: int) -> None:
        if rooms.wait("s", 5, priority):
            told.append(name)

    jobs = [gevent.spawn(wait, name, int(name[0])) for name in ("2a", "1a", "2b", "0a", "1b")]
    gevent.idle()
    for job in jobs:
        rooms.wake_next("s")
        gevent.idle()
    gevent.joinall(jobs, timeout=5)
    assert told == ["0a", "1a", "1b", "2a", "2b"]
    assert not rooms.wait("s", 0.01, 0)
    rooms.wake_next("s")


def test_a_head_answer_of_unknown_length_says_none(set_up):
    s, up, _ = set_up
    up.make_response = lambda mark: RESPONSE_HEAD % mark + b"Transfer-Encoding: chunked\r\n\r\n"
    client = HttpClient(s)
    status, _, headers = client.send(build_request(method=b"HEAD")).read_response("HEAD")
    assert (status, headers["content-length"], headers["transfer-encoding"]) == (200, None, None)
    up.make_response = None
    assert client.send(build_request(request_id=b"a2")).read_response()[0] == 200
