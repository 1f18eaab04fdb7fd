"""HTTP resources of coordination without keys: locks, numbers, cells and watches."""

from types import SimpleNamespace

import gevent
import pytest
from falcon import testing
from gevent.event import Event

from mallowvalve import web
from mallowvalve.control import http_plain
from mallowvalve.control.state import ReplicatedState, encode
from mallowvalve.control.wire import CommandResponse
from mallowvalve.coordination.plain import HISTORY_MS, Write

TAKE_BODY = {"holder": "a", "hold_ms": 1000}


class Task:
    """A control process that applies commands at once; `forced_response` and `read_responses` replace results."""

    class Node:
        def __init__(self):
            self.stopping, self.membership = Event(), self
            self.me = SimpleNamespace(addr=None)

        def alive(self, role):
            return []

    def __init__(self):
        self.node, self.core = self.Node(), self
        self.state, self.forced_response, self.read_responses, self.at = ReplicatedState(3), None, [], 0

    def leader(self):
        return None

    def do(self, command):
        return self.state.apply(
            self.state.index + 1, self.at, command if isinstance(command, bytes) else encode(command)
        )

    def current(self, now):
        return False

    def may_answer(self, kind, now):
        return True

    def read(self, limit):
        return self.read_responses.pop(0) if self.read_responses else CommandResponse("ok", self.state.revision)

    def offer(self, command, limit, attempt=60.0):
        if self.forced_response is not None:
            return self.forced_response
        outcome = self.do(command)
        return CommandResponse(outcome.code, outcome.revision, outcome.body)


@pytest.fixture
def control():
    task = Task()
    app = web.make_app()
    http_plain.add_routes(app, task, "/api")
    return task, testing.TestClient(app)


def test_a_lock_is_acquired_extended_and_released(control):
    task, client = control
    response = client.simulate_post("/api/locks/l", json=TAKE_BODY)
    assert (response.status_code, response.json) == (200, {"token": 1})
    assert client.simulate_post("/api/locks/l", json={**TAKE_BODY, "holder": "b"}).status_code == 409
    assert client.simulate_put("/api/locks/l", json={**TAKE_BODY, "token": 1}).status_code == 200
    assert client.simulate_put("/api/locks/l", json={**TAKE_BODY, "token": 7}).status_code == 409
    for _ in range(2):
        assert client.simulate_delete("/api/locks/l", json={"holder": "a", "token": 1}).status_code == 200
    assert client.simulate_post("/api/locks/l", json={**TAKE_BODY, "holder": "b"}).json == {"token": 2}


def test_numbers_need_no_body(control):
    _, client = control
    assert [client.simulate_post("/api/numbers/n", json={}).json, client.simulate_post("/api/numbers/n").json] == [
        {"value": 1},
        {"value": 2},
    ]


def test_a_cell_is_written_on_its_base_and_read(control):
    _, client = control
    assert client.simulate_get("/api/cells/g.a").status_code == 404
    assert client.simulate_put("/api/cells/g.a", json={"value": "x"}).json == {"revision": 1}
    assert client.simulate_put("/api/cells/g.a", json={"value": "y", "base": 1}).json == {"revision": 2}
    response = client.simulate_put("/api/cells/g.a", json={"value": "z", "base": 1})
    assert (response.status_code, response.json) == (412, {"revision": 2})
    assert client.simulate_get("/api/cells/g.a").json == {"value": "y", "revision": 2}


@pytest.mark.parametrize("code, status", [("leader", 503), ("replaced", 503), ("undecided", 504), ("odd", 504)])
def test_only_a_command_known_not_to_be_applied_is_a_503(control, code, status):
    task, client = control
    task.forced_response = CommandResponse(code)
    for response in (
        client.simulate_post("/api/locks/l", json=TAKE_BODY),
        client.simulate_put("/api/locks/l", json={**TAKE_BODY, "token": 1}),
        client.simulate_delete("/api/locks/l", json={"holder": "a", "token": 1}),
        client.simulate_post("/api/numbers/n"),
        client.simulate_put("/api/cells/g.a", json={"value": "x"}),
    ):
        assert response.status_code == status and response.headers["retry-after"] == "1"


@pytest.mark.parametrize(
    "path, body, place",
    [
        ("locks/l", {"holder": "a"}, "hold_ms"),
        ("locks/l", {**TAKE_BODY, "hold_ms": 0}, "hold_ms"),
        ("locks/l", {**TAKE_BODY, "holder": ""}, "holder"),
        ("locks/l", {**TAKE_BODY, "holder": "x" * 201}, "holder"),
        ("locks/l", {**TAKE_BODY, "hold_ms": "3"}, "hold_ms"),
        ("locks/" + "l" * 201, TAKE_BODY, "name"),
        ("locks/%00", TAKE_BODY, "name"),
        ("numbers/" + "n" * 201, {}, "name"),
        ("locks/l", [], ""),
        ("locks/l", {**TAKE_BODY, "odd": 1}, "odd"),
    ],
)
def test_invalid_bodies_and_names_are_rejected_with_their_place(control, path, body, place):
    task, client = control
    response = client.simulate_post("/api/" + path, json=body)
    assert response.status_code == 400 and response.json["findings"][0]["place"] == place and task.state.index == 0


@pytest.mark.parametrize(
    "body, place",
    [
        ({"value": "x", "base": -1}, "base"),
        ({"value": "x", "base": 1 << 63}, "base"),
        ({"value": None}, "value"),
        ({"value": "x" * 65537}, "value"),
        ({"value": "\u00e4" * 40000}, "value"),
        ({}, "value"),
    ],
)
def test_invalid_values_are_rejected_with_their_place(control, body, place):
    task, client = control
    response = client.simulate_put("/api/cells/g.a", json=body)
    assert response.status_code == 400 and response.json["findings"][0]["place"] == place and task.state.index == 0


def test_a_value_of_the_maximum_size_is_written_and_read(control):
    _, client = control
    assert client.simulate_put("/api/cells/g.a", json={"value": "\u0001" * 65536}).status_code == 200
    assert client.simulate_get("/api/cells/g.a").json["value"] == "\u0001" * 65536


def test_a_read_retries_while_there_is_no_leader_and_then_fails(control, monkeypatch):
    task, client = control
    task.do(Write("g.a", "x"))
    task.read_responses = [CommandResponse("leader"), CommandResponse("undecided")]
    assert client.simulate_get("/api/cells/g.a").status_code == 200 and task.read_responses == []
    monkeypatch.setattr(http_plain, "CALL_TIMEOUT_S", 0.05)
    for code, status in (("leader", 503), ("undecided", 504)):
        task.read_responses = [CommandResponse(code)] * 1000
        for path in ("/api/cells/g.a", "/api/watch/g.?after=1"):
            assert client.simulate_get(path).status_code == status


def test_a_watch_returns_the_writes_after_the_given_revision(control):
    task, client = control
    assert client.simulate_get("/api/watch/g.?after=0&wait_ms=1").json == {"events": [], "revision": 0}
    for i in range(3):
        task.do(Write(f"g.{i}", str(i)))
    task.do(Write("other.a", "x"))
    assert client.simulate_get("/api/watch/g.?after=0&wait_ms=9000").json == {"events": [], "revision": 3}
    assert client.simulate_get("/api/watch/g.?after=1&wait_ms=9000").json == {
        "revision": 3,
        "events": [
            {"name": "g.1", "value": "1", "revision": 2},
            {"name": "g.2", "value": "2", "revision": 3},
        ],
    }
    assert client.simulate_get("/api/watch/g.?after=3&wait_ms=1").json == {"events": [], "revision": 3}
    assert client.simulate_get("/api/watch/g.?after=3").json == {"events": [], "revision": 3}


def test_a_watch_of_a_group_without_writes_returns_the_first_write(control):
    task, client = control
    (job,) = start_watches(client, "/api/watch/g.?after=0&wait_ms=20000")
    task.do(Write("g.a", "0"))
    assert job.get(timeout=10).json == {"events": [{"name": "g.a", "value": "0", "revision": 1}], "revision": 1}


def test_a_watch_with_a_lease_needs_no_confirmed_read_and_its_revision_never_decreases(control):
    task, client = control
    task.do(Write("g.a", "0"))
    task.do(Write("g.a", "1"))
    read_limits, read = [], task.read
    task.read = lambda limit: read_limits.append(limit) or read(limit)
    assert client.simulate_get("/api/watch/g.?after=1&wait_ms=1").json["revision"] == 2 and read_limits
    task.current, task.read = lambda now: True, lambda limit: pytest.fail("a confirmed read")
    assert client.simulate_get("/api/watch/g.?after=1&wait_ms=1").json["revision"] == 2
    assert client.simulate_get("/api/watch/g.?after=5&wait_ms=1").status_code == 503


def test_a_watch_from_before_the_history_gets_410(control):
    task, client = control
    for at in (0, 1, HISTORY_MS + 2):
        task.at = at
        task.do(Write("g.a", str(at)))
    assert client.simulate_get("/api/watch/g.?after=1").status_code == 410
    assert client.simulate_get("/api/watch/g.?after=2").json["revision"] == 3


@pytest.mark.parametrize("path", ["g.a", "g.?after=x", "g.?after=-1", "g.?after=1&wait_ms=x", "%01."])
def test_an_invalid_watch_is_rejected(control, path):
    _, client = control
    response = client.simulate_get(f"/api/watch/{path}")
    assert response.status_code == 400 and response.json["findings"]


def start_watches(client, *paths):
    jobs = [gevent.spawn(client.simulate_get, p) for p in paths]
    gevent.idle()
    return jobs


def test_waiting_watches_are_woken_only_by_writes_to_their_group(control):
    task, client = control
    for g in ("g", "h"):
        task.do(Write(f"{g}.a", "0"))
    *group_jobs, other_job = start_watches(
        client, *["/api/watch/g.?after=1&wait_ms=20000"] * 30, "/api/watch/h.?after=1&wait_ms=20000"
    )
    task.do(Write("g.a", "1"))
    gevent.joinall(group_jobs, timeout=10)
    assert all(job.value.json["events"] == [{"name": "g.a", "value": "1", "revision": 2}] for job in group_jobs)
    assert not other_job.ready()
    task.do(Write("h.a", "1"))
    assert other_job.get(timeout=10).json["revision"] == 2


def test_a_stopping_control_process_ends_waiting_watches_without_events(control):
    task, client = control
    task.do(Write("g.a", "0"))
    (job,) = start_watches(client, "/api/watch/g.?after=1&wait_ms=20000")
    task.node.stopping.set()
    assert job.get(timeout=10).json == {"events": [], "revision": 1}


def test_a_watch_continues_when_a_snapshot_replaces_the_state(control):
    task, client = control
    task.do(Write("g.a", "0"))
    (job,) = start_watches(client, "/api/watch/g.?after=1&wait_ms=20000")
    new = ReplicatedState(3)
    new.plain.load_snapshot(task.state.plain.snapshot())
    task.state = new
    task.do(Write("g.a", "1"))
    assert job.get(timeout=10).json["revision"] == 2
    (job,) = start_watches(client, "/api/watch/g.?after=2&wait_ms=20000")
    task.state = None
    assert job.get(timeout=10).status_code == 503


def test_a_watch_without_events_confirms_a_state_that_may_be_stale(control):
    task, client = control
    task.do(Write("g.a", "0"))
    answers = [True]
    task.current = lambda now: bool(answers and answers.pop())
    task.read = lambda limit: CommandResponse("leader")
    response = client.simulate_get("/api/watch/g.?after=1&wait_ms=1")
    assert response.status_code == 503 and response.headers["retry-after"]


def test_a_waiting_watch_fails_when_its_control_process_is_partitioned(control):
    task, client = control
    task.do(Write("g.a", "0"))
    (job,) = start_watches(client, "/api/watch/g.?after=1&wait_ms=20000")
    assert not job.ready()
    task.read = lambda limit: CommandResponse("leader")
    task.may_answer = lambda kind, now: False
    assert job.get(timeout=5).status_code == 503
