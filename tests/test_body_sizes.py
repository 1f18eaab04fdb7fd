"""Bodies of the sizes at which the code changes its way, to each handler that takes one, of real processes."""

import socket
from contextlib import suppress
from http.client import HTTPResponse
from itertools import product

import msgspec
import pytest

from mallowvalve import web
from mallowvalve.localfleet.deployed.operator import route, service
from mallowvalve.localfleet.deployed.watch import answers_readiness
from mallowvalve.metrics import Counts, recent_events
from mallowvalve.types import Address
from tests.deployed_processes import answers, planned_fleet, start, wait_until

KIB = 1 << 10
TURNING_SIZES = (0, 64 * KIB, 256 * KIB, 1024 * KIB)
"""No body; beyond them a body takes reserved room, lies in a mapping of its own, and grows its room."""

MANY_BYTES = 8 << 20
INTERNAL_ERROR = 500
TOO_LARGE = 413


class Handler(msgspec.Struct, frozen=True):
    """A handler that reads a body: a valid one, and the most bytes that it takes."""

    method: str
    path: str
    valid: dict
    limit: int


LOCK = {"holder": "h", "hold_ms": 1000}
KEYED_LOCK = {"holder": "h", "ttl_ms": 1000}
HEARTBEAT = {"service": "s", "address": "127.0.0.1:9", "zone": "z", "slots": 1, "state": "ready", "sequence": 1}
CONTROL = [
    Handler("PATCH", "/items", {"set": {}, "drop": {}}, MANY_BYTES),
    Handler("PUT", "/config", {"doc": {}, "base": 7}, MANY_BYTES),
    Handler("PATCH", "/config", {"patch": [], "base": 7}, MANY_BYTES),
    Handler("POST", "/plan", {"doc": {}}, MANY_BYTES),
    Handler("POST", "/evacuations", {"zone": "nowhere", "evacuated": True}, 64 * KIB),
    Handler("POST", "/strikes", {"proxy": "127.0.0.1:9"}, 64 * KIB),
    Handler("POST", "/found-anew", {"accept": "no"}, 64 * KIB),
    Handler("POST", "/locks/l/take", KEYED_LOCK, 64 * KIB),
    Handler("PUT", "/keys/k", {"value": "v"}, 1024 * KIB),
    Handler("POST", "/api/locks/l", LOCK, 512 * KIB),
    Handler("PUT", "/api/locks/l", LOCK | {"token": 1}, 512 * KIB),
    Handler("DELETE", "/api/locks/l", {"holder": "h", "token": 1}, 512 * KIB),
    Handler("PUT", "/api/cells/g.k", {"value": "v"}, 512 * KIB),
    Handler("PUT", "/upstreams/i", HEARTBEAT, 16 * KIB),
    Handler("POST", "/-/heartbeats", {"service": "s"}, 64 * KIB),
]
WITHOUT_BODY = [
    Handler("POST", "/api/numbers/n", {}, MANY_BYTES),
    Handler("POST", "/numbers/n", {}, MANY_BYTES),
    Handler("POST", "/evacuations/nowhere", {}, MANY_BYTES),
    Handler("GET", "/items", {}, MANY_BYTES),
    Handler("GET", "/leader", {}, MANY_BYTES),
    Handler("PUT", "/nothing", {}, MANY_BYTES),
]
FRONT = [
    Handler("POST", "/routed/x", {}, MANY_BYTES),
    Handler("GET", "/routed/x", {}, MANY_BYTES),
    Handler("POST", "/anywhere", {}, MANY_BYTES),
]
PAGES = [Handler("POST", "/-/heartbeats", {"service": "s"}, 64 * KIB)]
DIRECTORY = [Handler("POST", "/lookup", {}, MANY_BYTES), Handler("GET", "/lookup", {}, MANY_BYTES)]


def sizes_of(handler):
    edges = {*TURNING_SIZES, handler.limit}
    return sorted(size + change for size in edges for change in (-1, 0, 1) if size + change >= 0)


def bodies_of(handler, size):
    """Yields a valid body of a size, if there is one, then text that is none, and bytes that are no text."""
    text = msgspec.json.encode(handler.valid)
    if len(text) <= size:
        yield text + b" " * (size - len(text))
    yield b"{" * size
    yield b'"\xff' + b"\x00" * (size - 2) if size > 1 else b"\xff" * size


def send(address, handler, body, chunked):
    """Returns the status of a request."""
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}"
    head = f"{handler.method} {handler.path} HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n{framing}\r\n\r\n"
    data = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body) if chunked and body else b"0\r\n\r\n" if chunked else body
    with socket.create_connection(address, timeout=30.0) as connection:
        with suppress(OSError):
            connection.sendall(head.encode() + data)
        response = HTTPResponse(connection, method=handler.method)
        response.begin()
        return response.status


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with planned_fleet(tmp_path_factory.mktemp("sizes"), callers=0) as planned:
        for machine in planned.machines:
            with (machine.folder / "log").open("wb") as log:
                start(machine, stderr=log)
        assert wait_until(lambda: answers_readiness(planned.core[0], 1.0) == 200 and answers(planned.edge[0]))
        items = {"routes": [route("r", "/routed/", "read", "s", 300) | {"host": "h"}], "services": [service("s")]}
        configure = Handler("PATCH", "/items", {"set": items}, MANY_BYTES)
        body = msgspec.json.encode(configure.valid)
        assert wait_until(lambda: send(planned.core[0].web, configure, body, False) == 200)
        assert wait_until(lambda: answers_readiness(planned.edge[0], 1.0) == 200)
        yield planned


def addresses(fleet):
    core, edge, ports = fleet.core[0], fleet.edge[0], fleet.ports
    return {
        "control": (core.web, CONTROL + WITHOUT_BODY),
        "directory": ((core.address, ports.directory), DIRECTORY),
        "front": (edge.web, FRONT),
        "pages": (edge.ready_at, PAGES),
    }


@pytest.mark.parametrize("server", ["control", "directory", "front", "pages"])
def test_no_body_of_any_size_makes_a_handler_fail(fleet, server):
    """Guards against a handler that ends by an error of its own where a body is read in another way (review/7)."""
    address, handlers = addresses(fleet)[server]
    for handler in handlers:
        for size, chunked in product(sizes_of(handler), (False, True)):
            for body in bodies_of(handler, size):
                status = send(address, handler, body, chunked)
                place = handler.method, handler.path, size, "chunked" if chunked else "length", body[:2]
                assert status != INTERNAL_ERROR, place
                if handler in CONTROL + PAGES and size > handler.limit:
                    assert status == TOO_LARGE, place
    for machine in fleet.machines:
        assert machine.popen.poll() is None and answers(machine), machine.last_lines()
        assert machine.handler_errors() == []


class FailingPage:
    def on_put(self, req, resp):
        raise AttributeError("planted")


def test_a_planted_failure_of_a_handler_is_answered_500_counted_and_logged():
    app, counts = web.make_app(), Counts()
    app.add_route("/failing", FailingPage())
    with web.Server(Address("127.0.0.1", 0), app, counts, 10) as server:
        from gevent import get_hub

        handler = Handler("PUT", "/failing", {}, KIB)
        address = ("127.0.0.1", server.server_port)
        status = get_hub().threadpool.apply(send, (address, handler, b"", False))
    assert status == INTERNAL_ERROR and counts.get("handler_errors") == 1
    event = recent_events.about("handler_failed")[-1]
    assert event["where"] == "/failing" and "planted" in event["traceback"]
