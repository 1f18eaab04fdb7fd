import gevent
import msgspec
import pytest
from falcon import testing
from msgspec.structs import replace
from result import Err, Ok

from mallowvalve import web
from mallowvalve.beat import roll as rolls
from mallowvalve.beat.hear import Heard
from mallowvalve.beat.roll import Rolled
from mallowvalve.bond.wire import FAILED, LEAVING, Record
from mallowvalve.kind import Address, Locality
from mallowvalve.law import beathttp, rolltask
from mallowvalve.law.state import State, command
from mallowvalve.law.wire import Took
from mallowvalve.params import Params
from tests.test_roll import EU, states, up

US = Locality("us", "us-a")
PARAMS = Params(
    role="law",
    name="l1",
    fleet="f",
    locality=EU,
    mesh=Address("10.1.0.1", 1),
    web=Address("10.1.0.1", 2),
    seeds=[],
    data=None,
    log=None,
    detector=None,
    polite=1.0,
    sessions=9,
    body_bytes=9,
    faults=None,
    zones={"eu-a": "eu", "eu-b": "eu", "us-a": "us"},
)


def law_at(host, loc, state=0, ready=True):
    return Record(Address(host, 1), 1, 0, state, "law", host, loc, Address(host, 2), ready)


class Law:
    """A law whose state is applied at once, with a mesh that answers nothing."""

    def __init__(self):
        self.node, self.core, self.mesh, self.bond = self, self, self, self
        self.params, self.counts = PARAMS, web.Counts()
        self.state, self.leads, self.says = State(1), True, "ok"
        self.me = law_at("10.1.0.1", EU)
        self.laws, self.offered = [], []

    def on(self, *a, **k):
        pass

    def alive(self, role):
        return self.laws

    def leader(self):
        return None

    def offer(self, data, limit, attempt):
        self.offered.append(command(data))
        if self.says == "ok":
            self.state.apply(self.state.index + 1, 1000, data)
        return Took(self.says)


class AtOnce(rolltask.RollTask):
    def offer(self, u):
        return self._rolled(Rolled([u]), 0.9)


@pytest.fixture
def law():
    t = Law()
    task = AtOnce(t)
    app = web.make_app()
    beathttp.add_routes(app, t, task)
    return t, testing.TestClient(app), task


BEAT = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "eu-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_ms": 0,
    "sequence": 1,
}


def test_a_first_beat_is_offered_a_plain_one_is_not(law):
    t, c, _ = law
    r = c.simulate_put("/upstreams/i1", json=BEAT)
    assert r.status_code == 200 and r.json == {} and t.state.roll.rows["i1"].address == Address("10.0.0.1", 80)
    assert c.simulate_put("/upstreams/i1", json=BEAT | {"sequence": 2, "later": [1]}).status_code == 200
    assert len(t.offered) == 1
    assert c.simulate_put("/upstreams/i1", json=BEAT | {"sequence": 3, "cold_ms": 2500.5}).status_code == 200
    assert t.state.roll.rows["i1"].cold_until == 3501
    seen = c.simulate_get("/upstreams").json
    assert seen["revision"] == 2 and seen["upstreams"][0]["locality"] == "eu/eu-a"


def test_a_notice_of_leaving_and_an_end_are_acknowledged_only_once_taken(law):
    t, c, _ = law
    c.simulate_put("/upstreams/i1", json=BEAT)
    t.says = "undecided"
    leaving = BEAT | {"state": "leaving", "sequence": 2}
    r = c.simulate_put("/upstreams/i1", json=leaving)
    assert r.status_code == 503 and r.headers["retry-after"] == "1"
    assert c.simulate_delete("/upstreams/i1").status_code == 503
    t.says = "ok"
    assert c.simulate_put("/upstreams/i1", json=leaving).status_code == 200
    assert states(t.state.roll) == {"i1": "leaving"}
    n = len(t.offered)
    assert c.simulate_put("/upstreams/i1", json=leaving | {"sequence": 3}).status_code == 200 and len(t.offered) == n
    for _ in range(2):
        assert c.simulate_delete("/upstreams/i1").status_code == 200
    assert states(t.state.roll) == {"i1": "gone"} and len(t.offered) == n + 1
    assert c.simulate_delete("/upstreams/never").status_code == 200


def test_a_law_without_a_state_or_long_cut_from_the_leader_acknowledges_nothing(law):
    t, c, task = law
    assert c.simulate_put("/upstreams/i1", json=BEAT).status_code == 200
    t.leads = False
    assert c.simulate_put("/upstreams/i1", json=BEAT | {"sequence": 2}).status_code == 200
    task._touched -= rolltask.OUT
    assert c.simulate_put("/upstreams/i1", json=BEAT | {"sequence": 3}).status_code == 503
    t.state = None
    for r in (c.simulate_put("/upstreams/i1", json=BEAT), c.simulate_delete("/upstreams/i1")):
        assert r.status_code == 503
    assert c.simulate_get("/upstreams").json == {"revision": 0, "upstreams": []}


def test_findings_have_their_place(law):
    t, c, _ = law
    for body, status, places in (
        ({"service": "s", "zone": "eu-a"}, 400, ["address", "slots", "state", "sequence"]),
        (BEAT | {"state": "gone", "slots": "x"}, 400, ["slots", "state"]),
        (
            BEAT | {"address": "nobody", "slots": 0, "sequence": -1, "service": ""},
            400,
            ["service", "slots", "sequence", "address"],
        ),
        (BEAT | {"zone": "mars"}, 422, ["zone"]),
        ([], 400, [""]),
    ):
        r = c.simulate_put("/upstreams/i1", json=body)
        assert (r.status_code, [f["place"] for f in r.json["findings"]]) == (status, places), r.text
    assert c.simulate_put("/upstreams/i1", body=b"{").status_code == 400
    assert c.simulate_put("/upstreams/" + "x" * 201, json=BEAT).status_code == 400
    assert c.simulate_put("/upstreams/i1", body=b" " * 20000).status_code == 413
    assert t.offered == []


def test_a_full_roll_takes_no_more(law, monkeypatch):
    t, c, _ = law
    monkeypatch.setattr(rolls, "MOST", 1)
    monkeypatch.setattr(rolls, "MOST_SERVICES", 1)
    assert c.simulate_put("/upstreams/i1", json=BEAT).status_code == 200
    assert c.simulate_put("/upstreams/i2", json=BEAT | {"address": "10.0.0.2:80"}).status_code == 503
    assert c.simulate_put("/upstreams/i1", json=BEAT | {"sequence": 2}).status_code == 200


def test_later_beats_are_asked_for_near_the_upstream():
    me = law_at("10.1.0.1", EU)
    same, other, far = law_at("10.1.0.2", EU), law_at("10.1.0.3", Locality("eu", "eu-b")), law_at("10.2.0.1", US)
    ask = lambda laws, loc, who="i1": beathttp.beat_at(laws, me, loc, who)
    assert ask([same, other, far], EU) is None
    assert ask([same, other, far], Locality("eu", "eu-b")) == other.web
    assert ask([same, far], Locality("eu", "eu-b")) is None
    assert ask([same, other, far], US) == far.web
    assert ask([same, other], US) is None
    assert ask([replace(far, state=LEAVING), replace(far, state=FAILED), replace(far, ready=False)], US) is None
    more = [law_at(f"10.2.0.{n}", US) for n in range(2, 5)]
    to = [ask(more, US, f"i{n}") for n in range(60)]
    assert {a for a in to} == {r.web for r in more} and to == [ask(more[::-1], US, f"i{n}") for n in range(60)]


def test_changes_of_one_moment_go_as_one_command_and_a_refusal_reaches_all():
    t = Law()
    with rolltask.RollTask(t) as task:
        jobs = [gevent.spawn(task.beat, up(f"i{n}", at=f"10.0.0.{n + 1}:80")) for n in range(5)]
        assert [j.get(timeout=5) for j in jobs] == [True] * 5
        assert [len(c.changes) for c in t.offered] == [5]
        t.says = "undecided"
        jobs = [gevent.spawn(task.gone, up(f"i{n}", state="gone")) for n in range(2)]
        assert [j.get(timeout=5) for j in jobs] == [False] * 2


class Follower(Law):
    """A law that does not lead; its calls reach the leader at once."""

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


def test_a_law_tells_the_leader_whom_it_heard_and_a_new_one_all_of_the_last_silence(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(rolltask.clock, "now", lambda: now[0])
    led = AtOnce(Law())
    f = Follower(led)
    task = AtOnce(f)

    def report(at, **how):
        now[0] = at
        for k, v in how.items():
            setattr(f if k == "cut" else led.task, k, v)
        task._report(f.state.roll, at)
        return task.in_touch(at)

    for i in ("i1", "i2"):
        assert task.beat(up(i, at=f"10.0.0.{i[1]}:80"))
    assert report(100.5) and led.hear.report(0.0, 101.0) == [Heard("i1", 1000), Heard("i2", 1000)]
    now[0] = 101.0
    assert task.beat(up("i2", seq=2, at="10.0.0.2:80"))
    assert report(101.5) and led.hear.report(100.0, 101.5) == [Heard("i2", 500)]
    assert report(103.0, cut=True) and not report(104.0)
    assert not report(104.2, cut=False, leads=False)
    assert report(104.4, leads=True)
    assert f.said == [2, 1, 2, 2]
