"""Calls that need a majority, at a control process that has not heard one for long: sent on or refused at once."""

import gevent
import pytest
from falcon import testing

from mallowvalve import web
from mallowvalve.admin.call import http_call
from mallowvalve.control import http_operators, http_plain, lease
from mallowvalve.control.lease import AnswerKind
from mallowvalve.metrics import Counts
from mallowvalve.types import Address
from tests.test_http_items import FIRST
from tests.test_http_upstreams import US, Control, control_at

BOUND = lease.LEASE_BOUNDS[AnswerKind.CALL].seconds
TAKE = b'{"holder":"a","hold_ms":3000}'
CALLS = [
    ("POST", "/api/locks/l", TAKE),
    ("POST", "/api/numbers/n", b""),
    ("PUT", "/api/cells/g.a", b'{"value":"x"}'),
    ("GET", "/api/cells/g.a", b""),
    ("GET", "/api/watch/g.", b""),
    ("PATCH", "/items", FIRST),
    ("GET", "/items", b""),
    ("POST", "/evacuations/eu-a", b""),
    ("GET", "/config", b""),
    ("POST", "/numbers/n", b""),
]


@pytest.fixture
def control(monkeypatch):
    now = [100.0]
    monkeypatch.setattr("mallowvalve.clock.now", lambda: now[0])
    t = Control()
    t.settings.zones.setdefault("eu-a", "eu")
    t.read = lambda limit: pytest.fail("a majority was asked")
    app = web.make_app()
    http_operators.add_routes(app, t)
    http_plain.add_routes(app, t, "/api")
    t.asked = now[0] - BOUND
    return t, testing.TestClient(app)


@pytest.mark.parametrize(("method", "path", "body"), CALLS)
def test_a_call_is_sent_to_another_process_and_nothing_is_offered_here(control, method, path, body):
    t, c = control
    t.controls = [control_at("10.2.0.1", US)]
    r = c.simulate_request(method, path, body=body)
    assert r.status_code == 307 and r.headers["location"] == f"http://10.2.0.1:2{path}?moved=1"
    assert t.offered == [] and r.headers[web.OUTCOME] == web.NOT_RUN
    r = c.simulate_request(method, path, body=body, headers={"Mallow-Key": "k"})
    assert r.status_code == 307 and r.headers[web.OUTCOME] == web.UNDECIDED


@pytest.mark.parametrize(("method", "path", "body"), CALLS)
def test_with_nobody_else_in_touch_it_is_refused_with_the_time_to_come_back(control, method, path, body):
    t, c = control
    r = c.simulate_request(method, path, body=body)
    assert r.status_code == 503 and float(r.headers["retry-after"]) > 0 and t.offered == []
    t.controls = [control_at("10.2.0.1", US)]
    r = c.simulate_request(method, path + "?moved=1", body=body)
    assert r.status_code == 503 and "location" not in r.headers


def test_within_the_bound_a_majority_is_waited_for(control):
    t, c = control
    t.asked = 100.0 - BOUND + 0.1
    assert c.simulate_patch("/items", body=FIRST).status_code == 200 and len(t.offered) == 1


class Moved:
    def __init__(self, to):
        self.to = to

    def on_put(self, req, resp):
        resp.status = 307
        resp.set_header("Location", f"http://127.0.0.1:{self.to()}/there?moved=1")


class There:
    def __init__(self):
        self.got = []

    def on_put(self, req, resp):
        self.got.append((req.query_string, req.bounded_stream.read()))
        web.send_json(resp, {"ok": True})


def test_the_command_lines_calls_follow_to_the_process_that_is_named():
    app, there, port = web.make_app(), There(), []
    app.add_route("/here", Moved(lambda: port[0]))
    app.add_route("/there", there)
    with web.Server(Address("127.0.0.1", 0), app, Counts(), 8) as server:
        port.append(server.server_port)
        answer = gevent.get_hub().threadpool.apply(http_call, ("127.0.0.1", port[0], "PUT", "/here", {"a": 1}))
    assert answer[:2] == (200, {"ok": True}) and there.got == [("moved=1", b'{"a": 1}')]
