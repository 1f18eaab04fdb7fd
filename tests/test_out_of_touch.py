"""Requests that need a majority, at a control process without recent quorum contact, are redirected or rejected."""

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

CALL_LEASE_S = lease.LEASE_BOUNDS[AnswerKind.CALL].seconds
TAKE_BODY = b'{"holder":"a","hold_ms":3000}'
CALLS = [
    ("POST", "/api/locks/l", TAKE_BODY),
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
    process = Control()
    process.settings.zones.setdefault("eu-a", "eu")
    process.read = lambda limit: pytest.fail("a confirmed read")
    app = web.make_app()
    http_operators.add_routes(app, process)
    http_plain.add_routes(app, process, "/api")
    process.quorum_contact_at = now[0] - CALL_LEASE_S
    return process, testing.TestClient(app)


@pytest.mark.parametrize(("method", "path", "body"), CALLS)
def test_a_request_is_redirected_and_nothing_is_submitted(control, method, path, body):
    process, client = control
    process.controls = [control_at("10.2.0.1", US)]
    response = client.simulate_request(method, path, body=body)
    assert response.status_code == 307 and response.headers["location"] == f"http://10.2.0.1:2{path}?moved=1"
    assert process.offered == [] and response.headers[web.OUTCOME] == web.NOT_RUN
    response = client.simulate_request(method, path, body=body, headers={"Mallow-Key": "k"})
    assert response.status_code == 307 and response.headers[web.OUTCOME] == web.UNDECIDED


@pytest.mark.parametrize(("method", "path", "body"), CALLS)
def test_without_a_redirect_target_a_request_is_rejected_with_retry_after(control, method, path, body):
    process, client = control
    response = client.simulate_request(method, path, body=body)
    assert response.status_code == 503 and float(response.headers["retry-after"]) > 0 and process.offered == []
    process.controls = [control_at("10.2.0.1", US)]
    response = client.simulate_request(method, path + "?moved=1", body=body)
    assert response.status_code == 503 and "location" not in response.headers


def test_a_request_is_served_while_the_quorum_contact_is_recent(control):
    process, client = control
    process.quorum_contact_at = 100.0 - CALL_LEASE_S + 0.1
    assert client.simulate_patch("/items", body=FIRST).status_code == 200 and len(process.offered) == 1


class RedirectingResource:
    def __init__(self, to):
        self.to = to

    def on_put(self, req, resp):
        resp.status = 307
        resp.set_header("Location", f"http://127.0.0.1:{self.to()}/there?moved=1")


class TargetResource:
    def __init__(self):
        self.received = []

    def on_put(self, req, resp):
        self.received.append((req.query_string, req.bounded_stream.read()))
        web.send_json(resp, {"ok": True})


def test_the_command_line_client_follows_redirects():
    app, target, port = web.make_app(), TargetResource(), []
    app.add_route("/here", RedirectingResource(lambda: port[0]))
    app.add_route("/there", target)
    with web.Server(Address("127.0.0.1", 0), app, Counts(), 8) as server:
        port.append(server.server_port)
        answer = gevent.get_hub().threadpool.apply(http_call, ("127.0.0.1", port[0], "PUT", "/here", {"a": 1}))
    assert answer[:2] == (200, {"ok": True}) and target.received == [("moved=1", b'{"a": 1}')]
