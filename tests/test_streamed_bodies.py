"""A large body passes through a proxy as it comes, whatever its client and its upstream do meanwhile."""

import os
import resource

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from mallowvalve import web
from mallowvalve.body_budget import BodyBudget
from mallowvalve.configuration.items import Limits
from mallowvalve.metrics import Counts
from mallowvalve.proxy.body_intake import MAX_HELD_BODY_BYTES, STREAM_BYTES
from mallowvalve.types import Address
from tests.frontend_bench import RESPONSE_HEAD, HttpClient, build_request, serve_frontend

BODY_BYTES = 3 << 20
BODY = bytes(index % 251 for index in range(BODY_BYTES))
HALF = BODY_BYTES // 2
PART_BYTES = 64 << 10
WAIT_S = 5
MAX_SELECTED_DESCRIPTORS = 1024
OK_RESPONSE = RESPONSE_HEAD % b"a1" + b"Content-Length: 2\r\n\r\nok"


class StreamUpstream:
    """An upstream whose connections are served by a function of the test; what each brought is in `received`."""

    def __init__(self, scripted, serve):
        self.serve, self.received, self.ended = serve, [], Event()
        scripted.server.set_handle(self._run)

    def _run(self, sock, _address):
        index = len(self.received)
        self.received.append(b"")
        with sock:
            self.serve(self, sock, index)

    def read(self, sock, index, size=None) -> bool:
        """Reads until `size` bytes of the body have come, or the connection ends; returns whether they have."""
        while size is None or len(self.body(index)) < size:
            try:
                data = sock.recv(PART_BYTES)
            except OSError:
                data = b""
            if not data:
                self.ended.set()
                return False
            self.received[index] += data
        return True

    def body(self, index=0) -> bytes:
        return self.received[index].partition(b"\r\n\r\n")[2]

    def head(self, index=0) -> bytes:
        return self.received[index].partition(b"\r\n\r\n")[0]


@pytest.fixture
def frontend():
    with serve_frontend() as (server, upstream, bench):
        bench.state.items.limits = Limits(
            version=1, header_bytes=2000, body_bytes=BODY_BYTES, header_ms=500.0, idle_ms=5000.0
        )
        yield server, upstream, bench


def begin_upload(server, size=BODY_BYTES, headers=b"", target=b"/o/1"):
    return HttpClient(server).send(build_request(target, b"POST", b"Content-Length: %d\r\n" % size + headers))


def chunks(data, size=PART_BYTES):
    return b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in (data[i : i + size] for i in range(0, len(data), size)))


def begin_chunked(server):
    return HttpClient(server).send(build_request(b"/o/1", b"POST", b"Transfer-Encoding: chunked\r\n"))


def unchunk(data):
    body = b""
    while True:
        size, _, data = data.partition(b"\r\n")
        if not int(size, 16):
            assert data == b"\r\n"
            return body
        body, data = body + data[: int(size, 16)], data[int(size, 16) + 2 :]


def answer_after(size):
    def serve(upstream, sock, index):
        if upstream.read(sock, index, size):
            sock.sendall(OK_RESPONSE)
            upstream.read(sock, index)

    return serve


def wait_until(condition):
    with gevent.Timeout(WAIT_S):
        while not condition():
            gevent.idle()


def test_a_body_passes_unchanged_and_holds_little_room(frontend):
    server, scripted, _ = frontend
    upstream = StreamUpstream(scripted, answer_after(BODY_BYTES))
    client = begin_upload(server).send(BODY[:HALF])
    wait_until(lambda: upstream.received and len(upstream.body()) == HALF)
    assert server.body_budget.used_bytes <= STREAM_BYTES
    assert client.send(BODY[HALF:]).read_response()[:2] == (200, b"ok")
    assert upstream.body() == BODY and server.body_budget.used_bytes == 0
    assert client.send(build_request(request_id=b"a1")) and b"Content-Length: 3145728" in upstream.head()


def test_a_chunked_body_passes_in_chunks_without_its_trailers(frontend):
    server, scripted, _ = frontend
    upstream = StreamUpstream(scripted, lambda up, sock, i: (read_chunked(up, sock, i), sock.sendall(OK_RESPONSE)))
    client = begin_chunked(server).send(chunks(BODY, 1000) + b"0;end\r\nX-Trailer: a\r\n\r\n")
    assert client.read_response()[0] == 200
    assert unchunk(upstream.body()) == BODY
    assert b"Transfer-Encoding: chunked" in upstream.head() and b"Content-Length" not in upstream.head()


def read_chunked(upstream, sock, index):
    while not upstream.received[index].endswith(b"\r\n0\r\n\r\n"):
        upstream.read(sock, index, len(upstream.body(index)) + 1)


def test_a_small_chunked_body_is_sent_with_its_length(frontend):
    server, scripted, _ = frontend
    client = begin_chunked(server).send(chunks(BODY[:5000], 7) + b"0\r\n\r\n")
    assert client.read_response()[0] == 200
    assert scripted.requests[0][1] == BODY[:5000] and b"Content-Length: 5000" in scripted.requests[0][0]


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])
def test_a_client_that_leaves_midway_ends_the_request_at_its_upstream(frontend, chunked):
    """Guards against a body that is completed for a client that left, and against a lease that stays."""
    server, scripted, bench = frontend
    upstream = StreamUpstream(scripted, lambda up, sock, i: up.read(sock, i))
    client = begin_chunked(server) if chunked else begin_upload(server)
    client.send(chunks(BODY[:HALF]) if chunked else BODY[:HALF])
    wait_until(lambda: upstream.received and len(upstream.body()) > PART_BYTES)
    client.sock.close()
    assert upstream.ended.wait(timeout=WAIT_S) and len(upstream.body()) < BODY_BYTES
    assert not upstream.body().endswith(b"0\r\n\r\n")
    wait_until(lambda: not server.body_budget.used_bytes)
    assert all(state.in_flight == 0 for state in bench.hosts.upstreams.values()) and len(upstream.received) == 1


def test_a_client_that_stops_sending_gets_504_at_its_deadline(frontend):
    server, scripted, _ = frontend
    upstream = StreamUpstream(scripted, lambda up, sock, i: up.read(sock, i))
    client = begin_upload(server, headers=b"Mallow-Limit: 400\r\n").send(BODY[:HALF])
    status, _, headers = client.read_response()
    assert (status, headers["mallow-outcome"]) == (504, "unknown")
    assert upstream.ended.wait(timeout=WAIT_S) and len(upstream.received) == 1


@pytest.mark.parametrize("status", [200, 413, 500])
def test_an_upstream_that_answers_midway_is_heard_at_once_and_not_used_again(frontend, status):
    server, scripted, bench = frontend
    response = OK_RESPONSE.replace(b" 200 OK", b" %d X" % status)
    upstream = StreamUpstream(
        scripted, lambda up, sock, i: (up.read(sock, i, HALF // 2), sock.sendall(response), up.read(sock, i))
    )
    client = begin_upload(server).send(BODY[:HALF])
    got, _, headers = client.read_response()
    assert got == status and headers["connection"] == "close"
    client.sock.sendall(BODY[HALF:])
    assert client.closed()
    assert upstream.ended.wait(timeout=WAIT_S) and len(upstream.received) == 1
    assert all(state.in_flight == 0 for state in bench.hosts.upstreams.values())


def test_an_upstream_that_resets_midway_is_not_replaced(frontend):
    """Guards against a second run of a request whose first part was taken."""
    server, scripted, bench = frontend
    upstream = StreamUpstream(scripted, lambda up, sock, i: up.read(sock, i, HALF // 2))
    bench.upstream("u1", port=scripted.server.server_port)
    client = begin_upload(server).send(BODY[:HALF])
    status, _, headers = client.read_response()
    assert (status, headers["mallow-outcome"]) == (502, "unknown")
    assert len(upstream.received) == 1


def test_a_request_turned_away_before_its_rest_was_taken_goes_to_another_upstream(frontend):
    server, scripted, bench = frontend
    bench.upstream("u1", port=scripted.server.server_port)
    turned_away = OK_RESPONSE.replace(b" 200 OK", b" 503 X").replace(b"X-Seal: 1", b"Mallow-Not-Run: 1")

    def serve(upstream, sock, index):
        if index == 0:
            sock.sendall(turned_away)
            upstream.read(sock, index)
            return
        answer_after(BODY_BYTES)(upstream, sock, index)

    upstream = StreamUpstream(scripted, serve)
    client = begin_upload(server).send(BODY[: 64 << 10])
    wait_until(lambda: len(upstream.received) == 2)
    assert client.send(BODY[64 << 10 :]).read_response()[0] == 200
    assert upstream.body(1) == BODY


def test_a_request_turned_away_midway_is_refused_as_not_run(frontend):
    server, scripted, _ = frontend
    turned_away = OK_RESPONSE.replace(b" 200 OK", b" 503 X").replace(b"X-Seal: 1", b"Mallow-Not-Run: 1")
    StreamUpstream(scripted, lambda up, sock, i: (up.read(sock, i, HALF), sock.sendall(turned_away), up.read(sock, i)))
    status, _, headers = begin_upload(server).send(BODY).read_response()
    assert (status, headers["mallow-outcome"]) == (503, "not-run") and float(headers["retry-after"]) > 0


@pytest.mark.parametrize(
    "end, status",
    [
        (b"ffffffffffffffff\r\n" + BODY, 413),
        (b"1" + b"0" * 16 + b"\r\n", 400),
        (b"0\r\n" + b"X-Trailer: a\r\n" * 65 + b"\r\n", 400),
        (b"0\r\nno colon\r\n\r\n", 400),
        (b"zz\r\n", 400),
        (chunks(b"x" * BODY_BYTES), 413),
        (b"1\r\nxx\r\n", 400),
        (b"f" * 3000, 400),
    ],
)
def test_a_chunked_body_that_is_malformed_or_too_large_midway_is_not_completed(frontend, end, status):
    server, scripted, _ = frontend
    upstream = StreamUpstream(scripted, lambda up, sock, i: up.read(sock, i))
    client = begin_chunked(server).send(chunks(BODY[:HALF]))
    gevent.spawn(client.sock.sendall, end)
    assert client.read_response()[0] == status
    assert upstream.ended.wait(timeout=WAIT_S) and not upstream.body().endswith(b"\r\n0\r\n\r\n")


def test_a_stopping_process_passes_on_the_rest_of_a_body(frontend):
    server, scripted, _ = frontend
    upstream = StreamUpstream(scripted, answer_after(BODY_BYTES))
    client = begin_upload(server, headers=b"Mallow-Limit: 1500\r\n").send(BODY[:HALF])
    wait_until(lambda: upstream.received and len(upstream.body()) == HALF)
    drain = gevent.spawn(server.drain, 0.0, 2.0)
    wait_until(lambda: server.draining)
    assert client.send(BODY[HALF:]).read_response()[0] == 200
    drain.join(timeout=WAIT_S)
    assert drain.ready() and upstream.body() == BODY


def test_no_more_is_taken_from_a_client_than_its_upstream_takes(frontend):
    """Guards against a fast client that fills the proxy's memory before a slow upstream."""
    server, scripted, bench = frontend
    size = 64 << 20
    bench.state.items.limits = Limits(version=1, header_bytes=2000, body_bytes=size)
    may_read = Event()
    upstream = StreamUpstream(scripted, lambda up, sock, i: (may_read.wait(), up.read(sock, i)))
    client = begin_upload(server, size)
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 64 << 10)
    sender = gevent.spawn(client.sock.sendall, bytes(size))
    wait_until(lambda: upstream.received)
    sender.join(timeout=0.5)
    assert not sender.ready()
    assert all(len(handler.rfile.buffer) <= 2 * PART_BYTES for handler in server.connections)
    sender.kill()
    client.sock.close()
    may_read.set()
    assert upstream.ended.wait(timeout=WAIT_S)


def test_small_requests_pass_while_streams_fill_the_room(frontend):
    server, scripted, _ = frontend
    server.body_budget = BodyBudget(STREAM_BYTES * 2)
    upload = begin_upload(server).send(BODY[: MAX_HELD_BODY_BYTES + 1])
    wait_until(lambda: server.body_budget.used_bytes)
    refused = begin_upload(server).send(BODY[:1000])
    assert refused.read_response()[0] == 503
    small = HttpClient(server).send(build_request(b"/r/1", b"POST", b"Content-Length: 3\r\n", b"abc"))
    assert small.read_response()[0] == 200
    assert upload.send(BODY[MAX_HELD_BODY_BYTES + 1 :]).read_response()[0] == 200


def test_a_chunked_body_waits_for_the_room_of_a_stream(frontend):
    """Guards against a refusal of a chunked body, although room becomes free while it may wait."""
    server, scripted, _ = frontend
    server.body_budget = BodyBudget(2 * STREAM_BYTES)
    upstream = StreamUpstream(scripted, lambda up, sock, i: (read_chunked(up, sock, i), sock.sendall(OK_RESPONSE)))
    occupied = server.body_budget.reserve(STREAM_BYTES)
    client = begin_chunked(server).send(chunks(BODY[:HALF]))
    wait_until(lambda: server.body_budget.waiting)
    occupied.release()
    assert client.send(chunks(BODY[HALF:]) + b"0\r\n\r\n").read_response()[0] == 200
    assert unchunk(upstream.body()) == BODY


@pytest.mark.parametrize("size", [1000, BODY_BYTES])
def test_a_client_that_expects_100_gets_it_before_its_body_is_read(frontend, size):
    server, _, _ = frontend
    client = begin_upload(server, size, b"Expect: 100-continue\r\n")
    with gevent.Timeout(WAIT_S):
        assert client.sock.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
    assert client.send(BODY[:size]).read_response()[0] == 200


def test_a_client_that_expects_100_gets_its_refusal_instead(frontend):
    server, _, _ = frontend
    client = begin_upload(server, BODY_BYTES + 1, b"Expect: 100-continue\r\n")
    status, _, headers = client.read_response()
    assert status == 413 and headers["connection"] == "close"


BAD_FRAMING = {
    "both": b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
    "two_lengths": b"Content-Length: 5\r\nContent-Length: 6\r\n",
    "negative": b"Content-Length: -5\r\n",
    "coding": b"Transfer-Encoding: gzip, chunked\r\n",
}


@pytest.mark.parametrize("case", BAD_FRAMING)
def test_a_request_with_ambiguous_framing_is_refused(frontend, case):
    server, scripted, _ = frontend
    client = HttpClient(server).send(build_request(b"/o/1", b"POST", BAD_FRAMING[case], b"abcde"))
    assert client.read_response()[0] == 400 and scripted.requests == []


def test_a_body_on_get_passes_with_its_length(frontend):
    server, scripted, _ = frontend
    client = HttpClient(server).send(build_request(b"/r/1", b"GET", b"Content-Length: 5\r\n", b"abcde"))
    assert client.read_response()[0] == 200 and scripted.requests[0][1] == b"abcde"


@pytest.fixture
def many_descriptors():
    """Opens descriptors until the next one is beyond what `select` can wait for."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 2 * MAX_SELECTED_DESCRIPTORS), hard))
    opened = [os.open(os.devnull, os.O_RDONLY)]
    while opened[-1] < MAX_SELECTED_DESCRIPTORS:
        opened.append(os.open(os.devnull, os.O_RDONLY))
    yield
    for descriptor in opened:
        os.close(descriptor)
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_a_large_body_is_sent_by_a_process_with_many_open_descriptors(frontend, many_descriptors):
    """Guards against a wait by `select`, which fails for descriptors of 1,024 and more."""
    server, scripted, _ = frontend
    upstream = StreamUpstream(scripted, answer_after(BODY_BYTES))
    assert begin_upload(server).send(BODY).read_response()[0] == 200
    assert upstream.body() == BODY


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_an_application_reads_a_whole_body_at_once(framing):
    """Guards against an input that wants a size: applications of other programs read without one."""
    bodies = []

    def app(environ, start_response):
        bodies.append(environ["wsgi.input"].read())
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    with web.Server(Address("127.0.0.1", 0), app, Counts(), 16) as server:
        headers = b"Transfer-Encoding: chunked\r\n" if framing == "chunked" else b"Content-Length: %d\r\n" % BODY_BYTES
        data = chunks(BODY) + b"0\r\n\r\n" if framing == "chunked" else BODY
        client = HttpClient(server).send(build_request(b"/", b"POST", headers, data))
        assert client.read_response()[0] == 200
    assert bodies == [BODY]
