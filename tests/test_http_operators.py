"""HTTP resources of operators and of keyed coordination."""

import pytest
from falcon import testing

from mallowvalve import web
from mallowvalve.configuration.build import EMPTY_TREE, build
from mallowvalve.control import http_operators
from mallowvalve.control.state import ReplicatedState, Seat, encode
from mallowvalve.control.wire import CommandResponse
from mallowvalve.coordination.state import Put
from mallowvalve.types import Locality

DOC = {"services": {"a": {}}}


class Task:
    """A control process that applies commands at once, without replication."""

    class Node:
        class membership:
            view = staticmethod(lambda: [])

        class stopping:
            is_set = staticmethod(lambda: False)

    def __init__(self):
        self.node, self.core = self.Node(), self
        self.state, self.forced_response = ReplicatedState(3), None

    def do(self, command, at=0):
        return self.state.apply(self.state.index + 1, at, command if isinstance(command, bytes) else encode(command))

    def current(self, now):
        return False

    def may_answer(self, kind, now):
        return True

    def read(self, limit):
        return CommandResponse("ok", self.state.revision)

    def tree(self):
        return EMPTY_TREE

    def check(self, doc):
        return build(doc)

    def offer(self, command, limit, *_):
        if self.forced_response is not None:
            return self.forced_response
        outcome = self.do(command)
        return CommandResponse(outcome.code, outcome.revision, outcome.body)


@pytest.fixture
def control():
    task = Task()
    app = web.make_app()
    http_operators.add_routes(app, task)
    return task, testing.TestClient(app)


def test_a_patch_repeated_with_its_key_gets_the_first_response_again(control):
    task, client = control
    base = client.simulate_put("/config", json={"doc": DOC}).json["revision"]
    body = {"patch": [{"op": "add", "path": "/services/b", "value": {}}], "base": base}
    first = client.simulate_patch("/config", json=body, headers={"Mallow-Key": "p"})
    again = client.simulate_patch("/config", json=body, headers={"Mallow-Key": "p"})
    assert first.status_code == again.status_code == 200 and first.json == again.json
    other = client.simulate_patch("/config", json={**body, "patch": []}, headers={"Mallow-Key": "p"})
    assert other.status_code == 409 and other.headers["mallow-outcome"] == "undecided"


def test_a_rejected_request_with_a_key_is_undecided(control):
    task, client = control
    key_header = {"Mallow-Key": "k"}
    task.forced_response = CommandResponse("leader")
    for response in (
        client.simulate_put("/config", json={"doc": DOC}, headers=key_header),
        client.simulate_post("/numbers/n", headers=key_header),
        client.simulate_put("/config", body=b"{", headers=key_header),
        client.simulate_put("/config", json={"doc": {"x": 1}}, headers=key_header),
        client.simulate_put("/keys/n", json={"value": 3}, headers=key_header),
        client.simulate_post("/nowhere", headers=key_header),
        client.simulate_delete("/config", headers=key_header),
        client.simulate_post("/locks/l/fly", json={"holder": "x"}, headers=key_header),
    ):
        assert response.status_code >= 400 and response.headers["mallow-outcome"] == "undecided", (
            response.status,
            response.text,
        )
    assert client.simulate_put("/config", json={"doc": DOC}).headers["mallow-outcome"] == "not-run"


def test_a_key_reused_for_another_body_is_a_conflict_with_its_place(control):
    task, client = control
    key_header = {"Mallow-Key": "k"}
    assert client.simulate_put("/keys/n", json={"value": "1"}, headers=key_header).status_code == 200
    response = client.simulate_put("/keys/n", json={"value": "2"}, headers=key_header)
    assert response.status_code == 409 and response.json["findings"][0]["place"] == "Mallow-Key"
    assert client.simulate_get("/keys/n").json["value"] == "1"


def test_a_strike_that_was_not_confirmed_is_an_error(control):
    task, client = control
    task.state.settings.roster = {"10.0.0.1:1": Seat(7, Locality("eu", "a"))}
    task.forced_response = CommandResponse("undecided")
    assert client.simulate_post("/strikes", json={"proxy": "10.0.0.1:1"}).status_code == 504
    task.forced_response = None
    assert (
        client.simulate_post("/strikes", json={"proxy": "10.0.0.1:1"}).status_code == 200
        and task.state.settings.roster == {}
    )


def test_a_watch_without_events_advances_its_revision_and_skips_no_event(control):
    task, client = control
    task.do(Put("mine", "0"))
    at = task.state.revision
    for i in range(50):
        task.do(Put("other", str(i)), 1000 * i)
        got = client.simulate_get(f"/watch?since={at}&prefix=mine").json
        assert got["events"] == []
        at = got["revision"]
    task.do(Put("other", "late"), 200_000)
    assert task.state.coordination.compacted > 0
    got = client.simulate_get(f"/watch?since={at}&prefix=mine")
    assert got.status_code == 200, got.text
    task.do(Put("mine", "1"), 200_001)
    task.do(Put("mine", "2"), 200_002)
    got = client.simulate_get(f"/watch?since={at}&prefix=mine").json
    assert [event["value"] for event in got["events"]] == ["1", "2"] and got["revision"] == task.state.revision


def test_oversize_names_keys_values_and_holders_are_rejected_with_their_place(control):
    task, client = control
    long = "x" * 201
    for response, place in (
        (client.simulate_put(f"/keys/{long}", json={"value": "1"}), "name"),
        (client.simulate_post(f"/numbers/{long}"), "name"),
        (client.simulate_put("/keys/n", json={"value": "v" * 65537}), "value"),
        (client.simulate_post("/locks/l/take", json={"holder": long}), "holder, ttl_ms"),
        (client.simulate_post("/locks/l/take", json={"holder": "x", "ttl_ms": 1}), "holder, ttl_ms"),
        (client.simulate_put("/config", json={"doc": DOC}, headers={"Mallow-Key": long}), "Mallow-Key"),
        (client.simulate_post("/evacuations", json={"zone": 3, "evacuated": "yes"}), "zone"),
        (client.simulate_post("/strikes", json={"proxy": "nobody"}), "proxy"),
        (client.simulate_post("/plan", json={"patch": []}), "base"),
        (client.simulate_post("/plan", json={}), "doc, patch"),
        (client.simulate_patch("/config", json={"patch": [3], "base": 0}), "patch[0]"),
    ):
        assert 400 <= response.status_code < 500 and response.json["findings"][0]["place"] == place, (
            response.text,
            place,
        )
    assert task.state.index == 0


def test_a_watch_without_events_confirms_a_state_that_may_be_stale(control):
    task, client = control
    task.do(Put("mine", "0"))
    reads = [CommandResponse("ok", 1)]
    task.read = lambda limit: reads.pop() if reads else CommandResponse("leader")
    assert client.simulate_get(f"/watch?since={task.state.revision}&prefix=mine").status_code == 503
    reads.append(CommandResponse("ok", 1))
    task.current = lambda now: True
    assert client.simulate_get(f"/watch?since={task.state.revision}&prefix=mine").json["events"] == []
