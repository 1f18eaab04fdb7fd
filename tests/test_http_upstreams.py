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
from mallowvalve.upstreams.liveness import Heard
from mallowvalve.upstreams.registry import Registered
from tests.test_registry import EU, states, up

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
    """A control process whose state is applied at once, with a transport that answers nothing."""

    def __init__(self):
        self.node, self.core, self.transport, self.membership = self, self, self, self
        self.settings, self.counts = SETTINGS, web.Counts()
        self.state, self.leads, self.says = ReplicatedState(1), True, "ok"
        self.me = control_at("10.1.0.1", EU)
        self.controls, self.offered, self.asked = [], [], None

    def on(self, *a, **k):
        pass

    def alive(self, role):
        return self.controls

    def leader(self):
        return None

    def may_answer(self, kind, now):
        """As asked just now of a majority, or when it is said."""
        return lease.is_valid(kind, now if self.asked is None else self.asked, now)

    def offer(self, data, limit, attempt):
        self.offered.append(decode_command(data))
        if self.says == "ok":
            self.state.apply(self.state.index + 1, 1000, data)
        return CommandResponse(self.says)


class AtOnce(registry_task.RegistryTask):
    def offer(self, u):
        return self._offer_command(Registered([u]), 0.9)


@pytest.fixture
def control():
    t = Control()
    task = AtOnce(t)
    app = web.make_app()
    http_upstreams.add_routes(app, t, task)
    return t, testing.TestClient(app), task


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


def test_a_first_heartbeat_is_offered_a_plain_one_is_not(control):
    t, c, _ = control
    r = c.simulate_put("/upstreams/i1", json=HEARTBEAT)
    assert r.status_code == 200 and r.json == {} and t.state.registry.rows["i1"].address == Address("10.0.0.1", 80)
    assert c.simulate_put("/upstreams/i1", json=HEARTBEAT | {"sequence": 2, "later": [1]}).status_code == 200
    assert len(t.offered) == 1
    assert c.simulate_put("/upstreams/i1", json=HEARTBEAT | {"sequence": 3, "cold_ms": 2500.5}).status_code == 200
    assert t.state.registry.rows["i1"].cold_until == 3501
    seen = c.simulate_get("/upstreams").json
    assert seen["revision"] == 2 and seen["upstreams"][0]["locality"] == "eu/eu-a"


def test_a_notice_of_leaving_and_an_end_are_acknowledged_only_once_taken(control):
    t, c, _ = control
    c.simulate_put("/upstreams/i1", json=HEARTBEAT)
    t.says = "undecided"
    leaving = HEARTBEAT | {"state": "leaving", "sequence": 2}
    r = c.simulate_put("/upstreams/i1", json=leaving)
    assert r.status_code == 503 and r.headers["retry-after"] == "1"
    assert c.simulate_delete("/upstreams/i1").status_code == 503
    t.says = "ok"
    assert c.simulate_put("/upstreams/i1", json=leaving).status_code == 200
    assert states(t.state.registry) == {"i1": "leaving"}
    n = len(t.offered)
    assert c.simulate_put("/upstreams/i1", json=leaving | {"sequence": 3}).status_code == 200 and len(t.offered) == n
    for _ in range(2):
        assert c.simulate_delete("/upstreams/i1").status_code == 200
    assert states(t.state.registry) == {"i1": "gone"} and len(t.offered) == n + 1
    assert c.simulate_delete("/upstreams/never").status_code == 200


def test_a_control_process_without_a_state_or_long_cut_from_the_leader_acknowledges_nothing(control):
    t, c, task = control
    assert c.simulate_put("/upstreams/i1", json=HEARTBEAT).status_code == 200
    t.leads = False
    assert c.simulate_put("/upstreams/i1", json=HEARTBEAT | {"sequence": 2}).status_code == 200
    task._last_contact_at -= lease.LEASE_BOUNDS[lease.AnswerKind.HEARTBEAT].seconds
    assert c.simulate_put("/upstreams/i1", json=HEARTBEAT | {"sequence": 3}).status_code == 503
    t.state = None
    for r in (c.simulate_put("/upstreams/i1", json=HEARTBEAT), c.simulate_delete("/upstreams/i1")):
        assert r.status_code == 503
    assert c.simulate_get("/upstreams").json == {"revision": 0, "upstreams": []}


def test_findings_have_their_place(control):
    t, c, _ = control
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
        r = c.simulate_put("/upstreams/i1", json=body)
        assert (r.status_code, [f["place"] for f in r.json["findings"]]) == (status, places), r.text
    assert c.simulate_put("/upstreams/i1", body=b"{").status_code == 400
    assert c.simulate_put("/upstreams/" + "x" * 201, json=HEARTBEAT).status_code == 400
    assert c.simulate_put("/upstreams/i1", body=b" " * 20000).status_code == 413
    assert t.offered == []


def test_a_full_registry_takes_no_more(control, monkeypatch):
    t, c, _ = control
    monkeypatch.setattr(registries, "MOST", 1)
    monkeypatch.setattr(registries, "MOST_SERVICES", 1)
    assert c.simulate_put("/upstreams/i1", json=HEARTBEAT).status_code == 200
    assert c.simulate_put("/upstreams/i2", json=HEARTBEAT | {"address": "10.0.0.2:80"}).status_code == 503
    assert c.simulate_put("/upstreams/i1", json=HEARTBEAT | {"sequence": 2}).status_code == 200


def test_later_heartbeats_are_asked_for_near_the_upstream():
    me = control_at("10.1.0.1", EU)
    same, other, far = (
        control_at("10.1.0.2", EU),
        control_at("10.1.0.3", Locality("eu", "eu-b")),
        control_at("10.2.0.1", US),
    )
    ask = lambda controls, loc, who="i1": http_upstreams.heartbeat_at(controls, me, loc, who)
    assert ask([same, other, far], EU) is None
    assert ask([same, other, far], Locality("eu", "eu-b")) == other.web
    assert ask([same, far], Locality("eu", "eu-b")) is None
    assert ask([same, other, far], US) == far.web
    assert ask([same, other], US) is None
    assert ask([replace(far, state=LEAVING), replace(far, state=FAILED), replace(far, ready=False)], US) is None
    more = [control_at(f"10.2.0.{n}", US) for n in range(2, 5)]
    to = [ask(more, US, f"i{n}") for n in range(60)]
    assert {a for a in to} == {r.web for r in more} and to == [ask(more[::-1], US, f"i{n}") for n in range(60)]


def test_changes_of_one_moment_go_as_one_command_and_a_refusal_reaches_all():
    t = Control()
    with registry_task.RegistryTask(t) as task:
        jobs = [gevent.spawn(task.heartbeat, up(f"i{n}", at=f"10.0.0.{n + 1}:80")) for n in range(5)]
        assert [j.get(timeout=5) for j in jobs] == [True] * 5
        assert [len(c.changes) for c in t.offered] == [5]
        t.says = "undecided"
        jobs = [gevent.spawn(task.deregister, up(f"i{n}", state="gone")) for n in range(2)]
        assert [j.get(timeout=5) for j in jobs] == [False] * 2


class Follower(Control):
    """A control process that does not lead; its calls reach the leader at once."""

    def __init__(self, leader):
        super().__init__()
        self.leads, self.to, self.cut = False, leader, False
        self.said = []

    def leader(self):
        return Address("10.1.0.2", 1)

    def call(self, to, kind, body, limit):
        if self.cut:
            return Err("limit")
        self.said.append(len(msgspec.msgpack.decode(body)))
        return Ok(self.to._on_heard(Address("10.1.0.1", 1), body))


def test_a_control_process_tells_the_leader_whom_it_heard_and_a_new_one_all_of_the_last_silence(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(registry_task.clock, "now", lambda: now[0])
    led = AtOnce(Control())
    f = Follower(led)
    task = AtOnce(f)

    def report(at, **how):
        now[0] = at
        for k, v in how.items():
            setattr(f if k == "cut" else led.task, k, v)
        task._report(f.state.registry, at)
        return task.has_recent_contact(at)

    for i in ("i1", "i2"):
        assert task.heartbeat(up(i, at=f"10.0.0.{i[1]}:80"))
    assert report(100.5) and led.liveness.report(0.0, 101.0) == [Heard("i1", 1000), Heard("i2", 1000)]
    now[0] = 101.0
    assert task.heartbeat(up("i2", seq=2, at="10.0.0.2:80"))
    assert report(101.5) and led.liveness.report(100.0, 101.5) == [Heard("i2", 500)]
    assert report(103.0, cut=True) and not report(104.0)
    assert not report(104.2, cut=False, leads=False)
    assert report(104.4, leads=True)
    assert f.said == [2, 1, 2, 2]


LONG_AGO = -1000.0


def test_a_control_process_out_of_touch_sends_upstreams_to_one_that_is_in_touch(control):
    t, c, _ = control
    assert c.simulate_put("/upstreams/i1", json=HEARTBEAT).status_code == 200
    t.asked = LONG_AGO
    t.controls = [t.me, control_at("10.1.0.2", EU, ready=False), control_at("10.1.0.3", EU, LEAVING)]
    r = c.simulate_put("/upstreams/i1", json=HEARTBEAT | {"sequence": 2})
    assert r.status_code == 503 and r.headers["retry-after"] == "2"
    t.controls.append(control_at("10.2.0.1", US))
    r = c.simulate_put("/upstreams/i1?x=1", json=HEARTBEAT | {"sequence": 3})
    assert r.status_code == 307 and r.headers["location"] == "http://10.2.0.1:2/upstreams/i1?x=1&moved=1"
    t.says = "undecided"
    r = c.simulate_delete("/upstreams/i1")
    assert r.status_code == 307 and r.headers["location"] == "http://10.2.0.1:2/upstreams/i1?moved=1"


def test_two_control_processes_out_of_touch_send_nobody_round(control):
    t, c, _ = control
    assert c.simulate_put("/upstreams/i1", json=HEARTBEAT).status_code == 200
    t.asked, t.controls = LONG_AGO, [control_at("10.2.0.1", US)]
    r = c.simulate_put("/upstreams/i1?moved=1", json=HEARTBEAT | {"sequence": 2})
    assert r.status_code == 503 and "location" not in r.headers


def test_the_leader_that_gave_no_lease_is_named_last():
    lead, odd = control_at("10.1.0.2", EU), control_at("10.1.0.3", EU)
    me = Address("10.1.0.1", 1)
    assert {redirect.other([lead, odd], me, lead.addr) for _ in range(20)} == {odd}
    assert redirect.other([lead], me, lead.addr) == lead
    assert redirect.other([replace(lead, addr=me)], me, None) is None


def test_a_leader_that_nobody_confirms_acknowledges_nothing_and_takes_no_report(control):
    t, c, task = control
    assert c.simulate_put("/upstreams/i1", json=HEARTBEAT).status_code == 200
    report = msgspec.msgpack.encode([Heard("i1", 5)])
    assert task._on_heard(Address("10.1.0.2", 1), report) == registry_task.REPORT_ACCEPTED
    t.asked = LONG_AGO
    assert t.leads and task._on_heard(Address("10.1.0.2", 1), report) == b""
    assert c.simulate_put("/upstreams/i1", json=HEARTBEAT | {"sequence": 2}).status_code == 503


def test_an_end_known_here_is_told_to_a_majority_again_by_one_out_of_touch(control):
    t, c, _ = control
    c.simulate_put("/upstreams/i1", json=HEARTBEAT)
    assert c.simulate_delete("/upstreams/i1").status_code == 200
    n = len(t.offered)
    assert c.simulate_delete("/upstreams/i1").status_code == 200 and len(t.offered) == n
    t.asked = LONG_AGO
    assert c.simulate_delete("/upstreams/i1").status_code == 200 and len(t.offered) == n + 1


def test_a_report_counts_from_when_it_was_sent(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(registry_task.clock, "now", lambda: now[0])
    f = Follower(AtOnce(Control()))
    task, call = AtOnce(f), f.call

    def late(*a):
        now[0] += 0.9
        return call(*a)

    f.call = late
    task._report(f.state.registry, 100.0)
    assert task.has_recent_contact(102.4) and not task.has_recent_contact(102.6)
