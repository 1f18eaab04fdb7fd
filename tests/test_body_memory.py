"""Request bodies stay within a budget derived from the process's memory, whatever arrives at once."""

import io

import gevent
import pytest
from gevent.event import Event
from gevent.pool import Group

from mallowvalve import settings
from mallowvalve.body_budget import (
    MAPPED_BODY_BYTES,
    SMALL_BODY_BYTES,
    BodyBudget,
    BodyRefusals,
    BodyRefusedError,
    BodyTooLargeError,
    read_body,
)
from mallowvalve.configuration.items import Limits
from mallowvalve.memory_gauges import register_memory_gauges
from mallowvalve.metrics import Counts, recent_events
from mallowvalve.node import Node
from mallowvalve.proxy.body_intake import MAX_HELD_BODY_BYTES
from tests.frontend_bench import HttpClient, build_request, serve_frontend
from tests.upload_bench import MEBIBYTE, DiscardingUpstream, run_proxy, upload, upload_at_once

MEMORY_MB = 120.0
BODY_BYTES = 16 * MEBIBYTE
UPLOADS = 6


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])
def test_uploads_at_once_keep_the_process_within_its_memory(chunked):
    """Guards against a proxy that the platform kills for its memory, because the bodies in flight have no bound."""
    answers = []
    with run_proxy(DiscardingUpstream(part_pause_s=0.001, work_s=0.2), MEMORY_MB) as proxy:
        clients = Group()
        for index in range(2 * UPLOADS):
            clients.spawn(lambda i=index: answers.append(upload(proxy.port, BODY_BYTES, f"u{i}", chunked)))
        small = upload(proxy.port, 100, "small")
        clients.join()
        assert proxy.peak_mb < MEMORY_MB
        assert upload(proxy.port, BODY_BYTES, "after", chunked).status == 200
    assert small.status == 200
    assert any(answer.status == 200 for answer in answers)
    assert {answer.status for answer in answers} <= {200, 503}
    assert all("Retry-After" in answer.head for answer in answers if answer.status == 503)


def test_a_body_is_held_once():
    """Guards against copies of a body: behind its head, and while it is read."""
    with run_proxy(DiscardingUpstream(part_pause_s=0.005), 1000.0) as proxy:
        upload(proxy.port, 100, "warm")
        idle_mb = proxy.resident_mb()
        assert upload(proxy.port, 40 * MEBIBYTE, "large").status == 200
        assert proxy.peak_mb < idle_mb + 40 * 1.2


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])
def test_the_memory_falls_after_the_uploads(chunked):
    with run_proxy(DiscardingUpstream(work_s=0.5), 300.0) as proxy:
        upload(proxy.port, 100, "warm")
        idle_mb = proxy.resident_mb()
        upload_at_once(proxy.port, 4 * UPLOADS, MAX_HELD_BODY_BYTES, chunked)
        assert proxy.peak_mb > idle_mb + 8
        assert proxy.resident_mb() < idle_mb + 8


@pytest.fixture
def frontend():
    with serve_frontend() as (server, upstream, bench):
        bench.state.items.limits = Limits(version=1, header_bytes=2000, body_bytes=1 << 20, header_ms=150.0)
        server.body_budget = BodyBudget(400_000)
        yield server, upstream


def send_upload(server, size, request_id):
    headers = b"Content-Length: %d\r\n" % size
    return HttpClient(server).send(build_request(b"/o/1", b"POST", headers, b"x" * size, request_id))


def test_a_body_without_room_is_refused_as_not_run_while_small_ones_pass(frontend):
    server, upstream = frontend
    upstream.may_respond = Event()
    first = send_upload(server, 300_000, b"a1")
    assert upstream.request_received.wait(timeout=5)
    status, _, headers = send_upload(server, 300_000, b"a2").read_response()
    assert (status, headers["mallow-outcome"]) == (503, "not-run") and headers["retry-after"]
    small = send_upload(server, 1000, b"a3")
    upstream.may_respond.set()
    assert small.read_response()[0] == first.read_response()[0] == 200
    assert [len(body) for _, body in upstream.requests] == [300_000, 1000]
    assert server.body_budget.used_bytes == 0 and server.counts.snapshot()["bodies_refused"] == 1


def test_a_body_waits_for_room_for_a_part_of_its_aim(frontend):
    server, upstream = frontend
    upstream.may_respond = Event()
    first = send_upload(server, 300_000, b"a1")
    assert upstream.request_received.wait(timeout=5)
    second = send_upload(server, 300_000, b"a2")
    gevent.spawn_later(0.03, upstream.may_respond.set)
    assert first.read_response()[0] == second.read_response()[0] == 200


def test_a_client_that_leaves_gives_its_room_back(frontend):
    server, _ = frontend
    headers = b"Content-Length: 300000\r\n"
    client = HttpClient(server).send(build_request(b"/o/1", b"POST", headers, b"x" * 1000, b"a1"))
    with gevent.Timeout(5):
        while not server.body_budget.used_bytes:
            gevent.idle()
        client.sock.close()
        while server.body_budget.used_bytes:
            gevent.idle()


class TestBudget:
    def test_large_bodies_leave_room_for_small_ones(self):
        budget = BodyBudget(1_000_000)
        assert budget.reserve(800_000) is not None and budget.reserve(100_000) is None
        assert budget.reserve(SMALL_BODY_BYTES) is not None

    def test_a_waiting_body_is_served_in_order_and_not_overtaken_by_a_large_one(self):
        budget, granted = BodyBudget(1_000_000), []
        first = budget.reserve(700_000)
        for name, size in (("a", 600_000), ("b", 100_000)):
            gevent.spawn(lambda n=name, s=size: granted.append((n, budget.reserve(s, 5.0))))
        gevent.idle()
        assert budget.reserve(70_000) is None and budget.reserve(1000) is not None
        first.release()
        gevent.idle()
        assert [name for name, reservation in granted if reservation is not None] == ["a", "b"]

    def test_a_body_that_gives_up_waiting_lets_the_next_one_pass(self):
        budget, granted = BodyBudget(1_000_000), []
        held = budget.reserve(500_000)
        gevent.spawn(lambda: granted.append(budget.reserve(700_000, 0.05)))
        later = gevent.spawn(lambda: granted.append(budget.reserve(100_000, 5.0)))
        later.join(timeout=5)
        assert granted[0] is None and granted[1].size == 100_000
        held.release()
        granted[1].release()
        assert budget.used_bytes == 0

    def test_a_body_larger_than_the_budget_does_not_wait(self):
        assert BodyBudget(1000).reserve(SMALL_BODY_BYTES + 1, 60.0) is None

    def test_a_release_counts_once(self):
        budget = BodyBudget(1000)
        reservation = budget.reserve(400)
        reservation.release()
        reservation.release()
        assert budget.used_bytes == 0


@pytest.mark.parametrize("size", [0, 1, MAPPED_BODY_BYTES - 1, MAPPED_BODY_BYTES, MAPPED_BODY_BYTES + 1, 3_000_000])
@pytest.mark.parametrize("known", [True, False])
def test_a_body_is_read_whole_at_any_size(size, known):
    budget, data = BodyBudget(10_000_000), bytes(i % 251 for i in range(size))
    reservation = budget.reserve(size if known else SMALL_BODY_BYTES)
    body = read_body(io.BytesIO(data), size if known else None, 4_000_000, reservation)
    assert body == data and len(body) == size
    assert size <= budget.used_bytes


def test_a_body_that_ends_early_is_returned_short():
    reservation = BodyBudget(10_000_000).reserve(1_000_000)
    assert len(read_body(io.BytesIO(b"x" * 700_000), 1_000_000, 2_000_000, reservation)) == 700_000


def test_a_body_of_unknown_length_stops_at_its_limit_and_at_the_budget():
    budget = BodyBudget(1_500_000)
    with pytest.raises(BodyTooLargeError):
        read_body(io.BytesIO(b"x" * 1_000_001), None, 1_000_000, budget.reserve(SMALL_BODY_BYTES))
    with pytest.raises(BodyRefusedError):
        read_body(io.BytesIO(b"x" * 3_000_000), None, 4_000_000, budget.reserve(SMALL_BODY_BYTES))


def test_the_budget_follows_the_memory_in_the_settings(tmp_path):
    doc = {"name": "p", "locality": "eu/a", "transport": "127.0.0.1:1", "web": "127.0.0.1:2", "pages": "127.0.0.1:3"}
    node = Node(settings.check("proxy", doc | {"memory_mb": 200.0}).unwrap())
    assert node.server.body_budget is node.pages.body_budget is node.body_budget
    assert node.body_budget.total_bytes == 100 << 20
    for invalid in (0.0, -1.0, "much", None):
        assert settings.check("proxy", doc | {"memory_mb": invalid}).unwrap_err()[0].place == "memory_mb"


def test_a_refused_body_is_counted_and_logged_with_the_memory_once_a_second():
    """Guards against refusals whose cause, the room or the memory, nobody can tell afterwards."""
    budget, counts = BodyBudget(1000), Counts()
    refusals, before = BodyRefusals(counts), len(recent_events.about("bodies_refused"))
    budget.reserve(600)
    for _ in range(3):
        refusals.record(budget)
    logged = recent_events.about("bodies_refused")[before:]
    assert counts.get("bodies_refused") == 3 and len(logged) == 1
    event = logged[0]
    assert (event["refused"], event["waiting"], event["used_bytes"], event["total_bytes"]) == (1, 0, 600, 1000)
    assert event["resident_bytes"] > 1 << 20


def test_a_process_tells_its_memory_and_the_room_for_bodies(tmp_path):
    doc = {"name": "p", "locality": "eu/a", "transport": "127.0.0.1:1", "web": "127.0.0.1:2", "memory_mb": 100.0}
    node = Node(settings.check("proxy", doc).unwrap())
    register_memory_gauges(node)
    node.body_budget.reserve(5000)
    gauges = node.gauges()
    assert gauges["resident_bytes"] > 1 << 20
    assert (gauges["body_room_bytes"], gauges["body_room_used_bytes"], gauges["bodies_waiting"]) == (50 << 20, 5000, 0)
