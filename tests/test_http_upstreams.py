"""HTTP resources of upstreams, and the registry task behind them."""

import gevent
import msgspec
import pytest
from falcon import testing
from msgspec.structs import replace
from result import Err, Ok

from mallowvalve import web
from mallowvalve.control import http_upstreams, lease, redirect, registry_task
from mallowvalve.control.state import ReplicatedState, decode_command
from mallowvalve.control.wire import CommandResponse
from mallowvalve.membership.wire import FAILED, LEAVING, MemberRecord
from mallowvalve.settings import Settings
from mallowvalve.types import Address, Locality
from mallowvalve.upstreams import registry as registries
from mallowvalve.upstreams.liveness import HeardInstance
from mallowvalve.upstreams.registry import Registered
from tests.test_registry import EU, make_upstream, states_by_instance

US = Locality("us", "us-a")
SETTINGS = Settings(
    role="control",
    name="l1",
    fleet="f",
    locality=EU,
    transport=Address("10.1.0.1", 1),
    web=Address("10.1.0.1", 2),
    seeds=[],
    data=None,
    log=None,
    detector=None,
    polite=1.0,
    connections=9,
    body_bytes=9,
    faults=None,
    zones={"eu-a": "eu", "eu-b": "eu", "us-a": "us"},
)


def control_at(host, loc, state=0, ready=True):
    return MemberRecord(Address(host, 1), 1, 0, state, "control", host, loc, Address(host, 2), ready)


class Control:
    """A control process that applies commands at once, with a transport that never responds."""

    def __init__(self):
        self.node, self.core, self.transport, self.membership = self, self, self, self
        self.settings, self.counts = SETTINGS, web.Counts()
        self.state, self.leads, self.forced_code = ReplicatedState(1), True, "ok"
        self.me = control_at("10.1.0.1", EU)
        self.controls, self.offered, self.quorum_contact_at = [], [], None

    def on(self, *arguments, **keywords):
        pass

    def alive(self, role):
        return self.controls

    def leader(self):
        return None

    def may_answer(self, kind, now):
        """Returns whether the lease is valid; `quorum_contact_at` is the time of the last quorum contact, None for now."""
        return lease.is_valid(kind, now if self.quorum_contact_at is None else self.quorum_contact_at, now)

    def offer(self, data, limit, attempt):
        self.offered.append(decode_command(data))
        if self.forced_code == "ok":
            self.state.apply(self.state.index + 1, 1000, data)
        return CommandResponse(self.forced_code)


class AtOnce(registry_task.RegistryTask):
    def offer(self, upstream):
        return self._offer_command(Registered([upstream]), 0.9)


@pytest.fixture
def control():
    process = Control()
    task = AtOnce(process)
    app = web.make_app()
    http_upstreams.add_routes(app, process, task)
    return process, testing.TestClient(app), task


HEARTBEAT = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "eu-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_ms": 0,
    "sequence": 1,
}


def test_only_heartbeats_that_change_the_registry_are_submitted(control):
    process, client, _ = control
    response = client.simulate_put("/upstreams/i1", json=HEARTBEAT)
    assert (
        response.status_code == 200
        and response.json == {}
        and process.state.registry.rows["i1"].address == Address("10.0.0.1", 80)
    )
    assert client.simulate_put("/upstreams/i1", json=HEARTBEAT | {"sequence": 2, "later": [1]}).status_code == 200
    assert len(process.offered) == 1
    assert client.simulate_put("/upstreams/i1", json=HEARTBEAT | {"sequence": 3, "cold_ms": 2500.5}).status_code == 200
    assert process.state.registry.rows["i1"].cold_until == 3501
    seen = client.simulate_get("/upstreams").json
    assert seen["revision"] == 2 and seen["upstreams"][0]["locality"] == "eu/eu-a"


def test_leaving_and_deregistration_are_acknowledged_only_once_applied(control):
    process, client, _ = control
    client.simulate_put("/upstreams/i1", json=HEARTBEAT)
    process.forced_code = "undecided"
    leaving = HEARTBEAT | {"state": "leaving", "sequence": 2}
    response = client.simulate_put("/upstreams/i1", json=leaving)
    assert response.status_code == 503 and response.headers["retry-after"] == "1"
    assert client.simulate_delete("/upstreams/i1").status_code == 503
    process.forced_code = "ok"
    assert client.simulate_put("/upstreams/i1", json=leaving).status_code == 200
    assert states_by_instance(process.state.registry) == {"i1": "leaving"}
    count = len(process.offered)
    assert (
        client.simulate_put("/upstreams/i1", json=leaving | {"sequence": 3}).status_code == 200
        and len(process.offered) == count
    )
    for _ in range(2):
        assert client.simulate_delete("/upstreams/i1").status_code == 200
    assert states_by_instance(process.state.registry) == {"i1": "gone"} and len(process.offered) == count + 1
    assert client.simulate_delete("/upstreams/never").status_code == 200


def test_guards_against_a_late_leaving_notice_acknowledged_though_the_registry_holds_the_upstream_as_ready(control):
    """A notice whose sequence is below the last one heard was answered 200 as a plain heartbeat."""
    process, client, _ = control
    client.simulate_put("/upstreams/i1", json=HEARTBEAT | {"sequence": 9})
    leaving = HEARTBEAT | {"state": "leaving", "sequence": 8}
    assert client.simulate_put("/upstreams/i1", json=leaving).status_code == 503
    assert states_by_instance(process.state.registry) == {"i1": "ready"}
    assert client.simulate_put("/upstreams/i1", json=leaving | {"sequence": 10}).status_code == 200
    assert client.simulate_put("/upstreams/i1", json=leaving | {"sequence": 8}).status_code == 200


def test_guards_against_a_notice_acknowledged_though_its_command_changed_no_row(control, monkeypatch):
    """The command was taken, and the registry did not hold what it said (a newer sequence, a full table)."""
    monkeypatch.setattr(registry_task, "COMMAND_TIMEOUT_S", 0.05)
    process, client, _ = control
    client.simulate_put("/upstreams/i1", json=HEARTBEAT)
    monkeypatch.setattr(process, "offer", lambda data, limit, attempt: CommandResponse("ok"))
    assert client.simulate_put("/upstreams/i1", json=HEARTBEAT | {"state": "leaving", "sequence": 2}).status_code == 503
    assert process.counts.get("notice_not_held") == 1
    monkeypatch.undo()
    assert client.simulate_put("/upstreams/i1", json=HEARTBEAT | {"state": "leaving", "sequence": 3}).status_code == 200


def test_a_control_process_without_a_state_or_long_cut_from_the_leader_acknowledges_nothing(control):
    process, client, task = control
    assert client.simulate_put("/upstreams/i1", json=HEARTBEAT).status_code == 200
    process.leads = False
    assert client.simulate_put("/upstreams/i1", json=HEARTBEAT | {"sequence": 2}).status_code == 200
    task._last_contact_at -= lease.LEASE_BOUNDS[lease.AnswerKind.HEARTBEAT].seconds
    assert client.simulate_put("/upstreams/i1", json=HEARTBEAT | {"sequence": 3}).status_code == 503
    process.state = None
    for response in (client.simulate_put("/upstreams/i1", json=HEARTBEAT), client.simulate_delete("/upstreams/i1")):
        assert response.status_code == 503
    assert client.simulate_get("/upstreams").json == {"revision": 0, "upstreams": []}


def test_findings_have_their_place(control):
    process, client, _ = control
    for body, status, places in (
        ({"service": "s", "zone": "eu-a"}, 400, ["address", "slots", "state", "sequence"]),
        (HEARTBEAT | {"state": "gone", "slots": "x"}, 400, ["slots", "state"]),
        (
            HEARTBEAT | {"address": "nobody", "slots": 0, "sequence": -1, "service": ""},
            400,
            ["service", "slots", "sequence", "address"],
        ),
        (HEARTBEAT | {"zone": "mars"}, 422, ["zone"]),
        ([], 400, [""]),
    ):
        response = client.simulate_put("/upstreams/i1", json=body)
        assert (response.status_code, [finding["place"] for finding in response.json["findings"]]) == (
            status,
            places,
        ), response.text
    assert client.simulate_put("/upstreams/i1", body=b"{").status_code == 400
    assert client.simulate_put("/upstreams/" + "x" * 201, json=HEARTBEAT).status_code == 400
    assert client.simulate_put("/upstreams/i1", body=b" " * 20000).status_code == 413
    assert process.offered == []


def test_a_full_registry_rejects_new_upstreams(control, monkeypatch):
    process, client, _ = control
    monkeypatch.setattr(registries, "MAX_UPSTREAMS", 1)
    monkeypatch.setattr(registries, "MAX_SERVICES", 1)
    assert client.simulate_put("/upstreams/i1", json=HEARTBEAT).status_code == 200
    assert client.simulate_put("/upstreams/i2", json=HEARTBEAT | {"address": "10.0.0.2:80"}).status_code == 503
    assert client.simulate_put("/upstreams/i1", json=HEARTBEAT | {"sequence": 2}).status_code == 200


def test_upstreams_are_directed_to_a_control_process_near_them():
    me = control_at("10.1.0.1", EU)
    same, other, far = (
        control_at("10.1.0.2", EU),
        control_at("10.1.0.3", Locality("eu", "eu-b")),
        control_at("10.2.0.1", US),
    )
    preferred = lambda controls, loc, who="i1": http_upstreams.preferred_control_address(controls, me, loc, who)
    assert preferred([same, other, far], EU) is None
    assert preferred([same, other, far], Locality("eu", "eu-b")) == other.web
    assert preferred([same, far], Locality("eu", "eu-b")) is None
    assert preferred([same, other, far], US) == far.web
    assert preferred([same, other], US) is None
    assert preferred([replace(far, state=LEAVING), replace(far, state=FAILED), replace(far, ready=False)], US) is None
    more = [control_at(f"10.2.0.{number}", US) for number in range(2, 5)]
    to = [preferred(more, US, f"i{number}") for number in range(60)]
    assert {address for address in to} == {record.web for record in more} and to == [
        preferred(more[::-1], US, f"i{number}") for number in range(60)
    ]


def test_concurrent_changes_are_submitted_as_one_command_and_fail_together():
    process = Control()
    with registry_task.RegistryTask(process) as task:
        jobs = [
            gevent.spawn(task.heartbeat, make_upstream(f"i{number}", at=f"10.0.0.{number + 1}:80"))
            for number in range(5)
        ]
        assert [job.get(timeout=5) for job in jobs] == [True] * 5
        assert [len(command.changes) for command in process.offered] == [5]
        process.forced_code = "undecided"
        jobs = [gevent.spawn(task.deregister, make_upstream(f"i{number}", state="gone")) for number in range(2)]
        assert [job.get(timeout=5) for job in jobs] == [False] * 2


class Follower(Control):
    """A control process that is not the leader; its calls reach the leader at once."""

    def __init__(self, leader):
        super().__init__()
        self.leads, self.to, self.cut = False, leader, False
        self.report_sizes = []

    def leader(self):
        return Address("10.1.0.2", 1)

    def call(self, to, kind, body, limit):
        if self.cut:
            return Err("limit")
        self.report_sizes.append(len(msgspec.msgpack.decode(body)))
        return Ok(self.to._on_heard(Address("10.1.0.1", 1), body))


def test_a_follower_reports_heartbeats_to_the_leader_and_all_recent_ones_to_a_new_leader(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(registry_task.clock, "now", lambda: now[0])
    leading_task = AtOnce(Control())
    follower = Follower(leading_task)
    task = AtOnce(follower)

    def report(at, **attributes):
        now[0] = at
        for name, value in attributes.items():
            setattr(follower if name == "cut" else leading_task.task, name, value)
        task._report(follower.state.registry, at)
        return task.has_recent_contact(at)

    for instance in ("i1", "i2"):
        assert task.heartbeat(make_upstream(instance, at=f"10.0.0.{instance[1]}:80"))
    assert report(100.5) and leading_task.liveness.report(0.0, 101.0) == [
        HeardInstance("i1", 1000),
        HeardInstance("i2", 1000),
    ]
    now[0] = 101.0
    assert task.heartbeat(make_upstream("i2", seq=2, at="10.0.0.2:80"))
    assert report(101.5) and leading_task.liveness.report(100.0, 101.5) == [HeardInstance("i2", 500)]
    assert report(103.0, cut=True) and not report(104.0)
    assert not report(104.2, cut=False, leads=False)
    assert report(104.4, leads=True)
    assert follower.report_sizes == [2, 1, 2, 2]


LONG_AGO = -1000.0


def test_a_control_process_without_quorum_contact_redirects_upstreams_to_one_with_contact(control):
    process, client, _ = control
    assert client.simulate_put("/upstreams/i1", json=HEARTBEAT).status_code == 200
    process.quorum_contact_at = LONG_AGO
    process.controls = [process.me, control_at("10.1.0.2", EU, ready=False), control_at("10.1.0.3", EU, LEAVING)]
    response = client.simulate_put("/upstreams/i1", json=HEARTBEAT | {"sequence": 2})
    assert response.status_code == 503 and response.headers["retry-after"] == "2"
    process.controls.append(control_at("10.2.0.1", US))
    response = client.simulate_put("/upstreams/i1?x=1", json=HEARTBEAT | {"sequence": 3})
    assert response.status_code == 307 and response.headers["location"] == "http://10.2.0.1:2/upstreams/i1?x=1&moved=1"
    process.forced_code = "undecided"
    response = client.simulate_delete("/upstreams/i1")
    assert response.status_code == 307 and response.headers["location"] == "http://10.2.0.1:2/upstreams/i1?moved=1"


def test_two_control_processes_without_quorum_contact_cause_no_redirect_loop(control):
    process, client, _ = control
    assert client.simulate_put("/upstreams/i1", json=HEARTBEAT).status_code == 200
    process.quorum_contact_at, process.controls = LONG_AGO, [control_at("10.2.0.1", US)]
    response = client.simulate_put("/upstreams/i1?moved=1", json=HEARTBEAT | {"sequence": 2})
    assert response.status_code == 503 and "location" not in response.headers


def test_the_leader_that_did_not_renew_the_lease_is_the_last_choice():
    leader_record, second = control_at("10.1.0.2", EU), control_at("10.1.0.3", EU)
    me = Address("10.1.0.1", 1)
    assert {redirect.choose_control_process([leader_record, second], me, leader_record.addr) for _ in range(20)} == {
        second
    }
    assert redirect.choose_control_process([leader_record], me, leader_record.addr) == leader_record
    assert redirect.choose_control_process([replace(leader_record, addr=me)], me, None) is None


def test_a_leader_without_quorum_contact_acknowledges_no_heartbeat_and_no_report(control):
    process, client, task = control
    assert client.simulate_put("/upstreams/i1", json=HEARTBEAT).status_code == 200
    report = msgspec.msgpack.encode([HeardInstance("i1", 5)])
    assert task._on_heard(Address("10.1.0.2", 1), report) == registry_task.REPORT_ACCEPTED
    process.quorum_contact_at = LONG_AGO
    assert process.leads and task._on_heard(Address("10.1.0.2", 1), report) == b""
    assert client.simulate_put("/upstreams/i1", json=HEARTBEAT | {"sequence": 2}).status_code == 503


def test_a_known_deregistration_is_submitted_again_without_quorum_contact(control):
    process, client, _ = control
    client.simulate_put("/upstreams/i1", json=HEARTBEAT)
    assert client.simulate_delete("/upstreams/i1").status_code == 200
    count = len(process.offered)
    assert client.simulate_delete("/upstreams/i1").status_code == 200 and len(process.offered) == count
    process.quorum_contact_at = LONG_AGO
    assert client.simulate_delete("/upstreams/i1").status_code == 200 and len(process.offered) == count + 1


def test_a_report_counts_from_the_time_it_was_sent(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(registry_task.clock, "now", lambda: now[0])
    follower = Follower(AtOnce(Control()))
    task, call = AtOnce(follower), follower.call

    def late(*arguments):
        now[0] += 0.9
        return call(*arguments)

    follower.call = late
    task._report(follower.state.registry, 100.0)
    assert task.has_recent_contact(102.4) and not task.has_recent_contact(102.6)
