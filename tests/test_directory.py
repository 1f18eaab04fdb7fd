import random

import pytest
from falcon import testing

from mallowvalve import clock, web
from mallowvalve.configuration.build import EMPTY_TREE
from mallowvalve.configuration.items import Amend, Item, Items
from mallowvalve.control import lease
from mallowvalve.directory import pages
from mallowvalve.directory.answer import ProxyView, Reason, choose_proxies
from mallowvalve.directory.look_up import (
    ANSWER_TTL_S,
    REFUSAL_MAX_AGE_S,
    SHORT_ANSWER_TTL_S,
    WAIT_WITHOUT_HOMES_S,
    Directory,
)
from mallowvalve.directory.sight import MAX_CLIENT_GROUPS, AnswerMetrics
from mallowvalve.membership.detector import Membership
from mallowvalve.membership.members import RETURN_WINDOW_S
from mallowvalve.membership.wire import FAILED, LEAVING, LEFT
from mallowvalve.types import Locality
from tests.directory_records import HOME_BOTH, HOME_US, A, B, C, at, gone, proxies


class Node:
    class settings:
        locality = A
        zones = {"us-a": "us"}

    boot = 1

    def __init__(self):
        self.rows, self.membership, self.counts = [], self, web.Counts()
        self.asked, self.gauges = clock.now(), {}
        self.tree, self.evacuated = EMPTY_TREE, {"us-a": 1}
        self.ages = {}
        self.left, self.joined, self.checked, self.silent, self.items = [], True, [], set(), Items()

    def gauge(self, name, read):
        self.gauges[name] = read

    def alive(self, role):
        return [r for r in self.rows if r.role == role and r.state <= LEAVING]

    def departed(self, role):
        return self.left

    def settled(self):
        return self.joined

    def known_for(self, member):
        return self.ages.get(member.name, 60.0)

    def probe(self, member):
        self.checked.append(member.name)

    def suspects(self, member):
        return member.name in self.silent


@pytest.fixture
def directory():
    n = Node()
    app = web.make_app()
    contact = pages.AnswerFreshness(n, lambda: n.asked)
    shared = pages.DirectoryService(n, lambda: n.tree, lambda: n.items, lambda: n.evacuated, contact)
    pages.add_routes(app, shared)
    app.add_route("/-/named", pages.NamedResource(shared))
    return n, testing.TestClient(app)


def test_the_answer_comes_from_the_membership_alone(directory):
    n, c = directory
    assert c.simulate_get("/proxies?name=h").status_code == 503
    n.rows = [at(1, A), at(2, A), at(3, C), at(4, C)]
    assert c.simulate_get("/proxies?name=h&region=us&zone=us-a").json["life_s"] == ANSWER_TTL_S == 2
    for query, want in (
        ("region=us&zone=us-a", [3, 4]),
        ("zone=us-a", [3, 4]),
        ("name=h", [1, 2]),
        ("region=eu", [1, 2]),
    ):
        got = c.simulate_get("/proxies?" + query).json["proxies"]
        assert sorted(got) == [f"10.0.0.{k}:80" for k in want], query
    n.rows[2] = at(3, C, LEAVING)
    told = c.simulate_get("/proxies?region=us&zone=us-a").json
    assert told["proxies"] == ["10.0.0.4:80"] and told["life_s"] == SHORT_ANSWER_TTL_S < ANSWER_TTL_S
    assert n.checked == ["n4"]


def test_an_emptied_zone_keeps_its_proxies_in_this_answer_only(directory):
    n, c = directory
    n.rows = [at(1, A), at(3, C), at(4, C)]
    assert sorted(c.simulate_get("/proxies?region=us&zone=us-a").json["proxies"]) == ["10.0.0.3:80", "10.0.0.4:80"]
    assert [p["name"] for p in c.simulate_get("/connect?locality=us/us-a").json["proxies"]] == ["n1"]


BOUND = lease.BOUNDS[lease.Answer.DIRECTORY].seconds
PATHS = ("/proxies", "/connect?locality=eu/eu-a")


@pytest.mark.parametrize("path", PATHS)
def test_an_answer_says_how_old_it_may_be_and_is_refused_past_its_bound(directory, monkeypatch, path):
    n, c = directory
    n.rows = [at(1, A)]
    now = [n.asked]
    monkeypatch.setattr(clock, "now", lambda: now[0])
    for later, stale in ((0.1, False), (0.6, True), (BOUND - 0.1, True)):
        now[0] = n.asked + later
        got = c.simulate_get(path).json
        assert got["proxies"] and abs(got["age_ms"] - 1000 * later) < 100 and got["stale"] is stale
    now[0] = n.asked + BOUND + 0.1
    r = c.simulate_get(path)
    assert r.status_code == 503 and int(r.headers["retry-after"]) >= 1
    n.asked = now[0]
    assert c.simulate_get(path).status_code == 200


@pytest.mark.parametrize("path", PATHS)
def test_a_process_that_never_met_a_majority_answers_by_what_it_heard_since_its_start(directory, path):
    n, c = directory
    n.asked, n.rows = -1e9, [at(1, A)]
    assert c.simulate_get(path).json["proxies"]


@pytest.mark.parametrize("path", PATHS)
def test_while_a_proxy_that_serves_is_known_no_look_up_fails(directory, path):
    n, c = directory
    me = Membership(at(1, A, ready=False), "f", [], random.Random(1), 1.0, 3, 0.1)
    me.ready(True)
    n.rows = [me.me]
    assert c.simulate_get(path).status_code == 200
    me.leave(final=False)
    n.rows = [me.me, at(2, A, FAILED), at(3, A, ready=False)]
    assert str(c.simulate_get(path).json["proxies"][0]).count("10.0.0.1:80") == 1
    me.leave(final=True)
    n.rows = [me.me]
    r = c.simulate_get(path)
    assert r.status_code == 503 and r.headers["retry-after"] == "1"
    assert r.json["findings"][0]["place"] == "proxies"


def test_one_that_leaves_before_it_was_ready_is_not_named():
    me = Membership(at(1, A, ready=False), "f", [], random.Random(1), 1.0, 3, 0.1)
    me.leave(final=False)
    assert proxies([me.me], A) == []


def test_answers_are_counted_by_region_and_reason(directory):
    n, c = directory
    n.rows = [at(1, A), at(2, A), at(3, C)]
    for region in ("eu", "eu", "us", "ap"):
        c.simulate_get(f"/proxies?region={region}")
    assert n.gauges["directory_by_region"]() == {"ap none_accepts": 1, "eu own_region": 2, "us lone": 1}
    assert n.counts.get("directory_named_elsewhere") == 1
    assert n.counts.get("directory_own_region") == n.counts.get("directory_answers") - 2 == 2


def test_an_event_says_when_a_region_is_answered_otherwise_and_why():
    events = []
    answers = AnswerMetrics(web.Counts(), lambda what, **fields: events.append((what, fields)))
    two, one, none = [at(1, A), at(2, A), at(3, C)], [at(1, A, LEAVING), at(2, A), at(3, C)], [at(3, C)]
    for rows in (two, two, one, one, none, two):
        answers.record("eu", None, choose_proxies(ProxyView(rows), A), rows)
    assert [what for what, _ in events] == ["directory_answers"] * 3
    assert [fields["reason"] for _, fields in events] == ["lone", "none_accepts", "own_region"]
    assert events[1][1]["named_regions"] == ["us"]
    assert events[0][1] | {"reason": ""} == {
        "region": "eu",
        "homes": [],
        "reason": "",
        "named_regions": ["eu"],
        "ready": 1,
        "leaving": 1,
    }


def test_hosts_that_are_answered_differently_write_no_event_each_time():
    events = []
    answers = AnswerMetrics(web.Counts(), lambda what, **fields: events.append((fields["homes"], fields["reason"])))
    rows = [at(1, A, LEAVING), at(3, C)]
    for homes in (None, HOME_US) * 5:
        answers.record("eu", homes, choose_proxies(ProxyView(rows), A, homes), rows)
    assert events == [([], "leaving"), (["us"], "home_region")]


def test_regions_that_clients_make_up_do_not_fill_the_counters():
    answers = AnswerMetrics(web.Counts(), lambda what, **fields: None)
    for n in range(2 * MAX_CLIENT_GROUPS):
        answers.record(f"r{n}", None, choose_proxies(ProxyView([]), Locality(f"r{n}", "")), [])
    assert len(answers.by_region()) == MAX_CLIENT_GROUPS + 1


def test_operators_see_who_is_named_now(directory):
    n, c = directory
    n.rows = [at(1, A), at(2, A, LEAVING)]
    got = c.simulate_get("/-/named?region=eu&zone=eu-a").json
    assert got["region"] == "eu" and got["reason"] == Reason.LONE.value
    assert got["named"] == [{"name": "n1", "web": "10.0.0.1:80", "locality": "eu/eu-a", "status": "alive"}]


def routes(**homes):
    rows = [Item("services", "s", 1, b'{"name": "s", "version": 1}')]
    for n, (host, regions) in enumerate(homes.items()):
        text = (
            f'{{"name": "r{n}", "version": 1, "host": "{host.strip("0123456789")}", "prefix": "/{n}/", "kind": "read",'
        )
        text += f' "limit_ms": 1000, "service": "s", "homes": {str(regions).replace(chr(39), chr(34))}}}'
        rows.append(Item("routes", f"r{n}", 1, text.encode()))
    items = Items()
    assert items.apply(Amend(rows), 1) == []
    return items


def test_the_homes_of_a_host_are_those_that_all_its_routes_with_homes_share():
    items = routes(a=["eu", "us"], a1=["us", "ap"], a2=[], b=[], c=["eu"], c1=["us"])
    assert items.homes("A:80") == {"us"} and items.homes("b") is None and items.homes("unknown") is None
    assert items.homes("c") == frozenset()
    assert items.apply(Amend([Item("routes", "r1", 2, None)]), 2) == []
    assert items.homes("a") == {"eu", "us"}


def test_a_look_up_goes_by_the_homes_of_the_host_that_it_names(directory):
    n, c = directory
    n.items = routes(bound=["eu"], free=[])
    n.rows = [at(1, A), at(2, B), at(4, Locality("ap", "ap-a"))]
    assert sorted(c.simulate_get("/proxies?name=bound&region=us").json["proxies"]) == ["10.0.0.1:80", "10.0.0.2:80"]
    assert len(c.simulate_get("/proxies?name=free&region=us").json["proxies"]) == 3
    assert c.simulate_get("/-/named?name=bound&region=us").json["reason"] == Reason.HOME_REGION.value
    n.items = None
    n.left = [gone(at(3, C, LEFT, ready=False))]
    told = c.simulate_get("/proxies?name=free&region=us")
    assert told.status_code == 503 and told.headers["retry-after"] == "1"


def test_a_process_that_has_just_started_leads_nobody_away(directory):
    n, c = directory
    n.rows, n.joined = [at(1, A), at(2, A)], False
    assert c.simulate_get("/proxies?region=eu").status_code == 200
    refused = c.simulate_get("/proxies?region=us")
    assert refused.status_code == 503 and "just started" in refused.json["findings"][0]["text"]
    n.joined = True
    assert len(c.simulate_get("/proxies?region=us").json["proxies"]) == 2


def test_waiting_for_a_restart_ends():
    n, now = Node(), [100.0]
    n.rows, n.left = [at(2, A)], [gone(at(1, C, LEFT, ready=False))]
    asked = Directory(n, lambda: now[0])
    assert asked.look_up(C, HOME_US).reason is Reason.RETURNING
    now[0] += RETURN_WINDOW_S - 0.1
    assert asked.look_up(C, HOME_US).reason is Reason.RETURNING
    now[0] += 0.1
    assert asked.look_up(C, HOME_US).reason is Reason.NONE_ACCEPTS
    n.rows = [at(1, C)]
    assert asked.look_up(C, HOME_US).reason is Reason.LONE
    n.rows = [at(2, A)]
    assert asked.look_up(C, HOME_US).reason is Reason.RETURNING


def test_without_homes_the_wait_is_for_those_that_close_at_once_and_short():
    n, now = Node(), [100.0]
    n.rows = [at(1, A, LEAVING, ready=False), at(3, C)]
    asked = Directory(n, lambda: now[0])
    assert asked.look_up(A, None).reason is Reason.RETURNING
    now[0] += WAIT_WITHOUT_HOMES_S + 0.01
    assert asked.look_up(A, None).reason is Reason.NONE_ACCEPTS
    assert asked.look_up(A, HOME_US).reason is Reason.HOME_REGION
    n.rows[0] = at(1, A, LEAVING)
    assert asked.look_up(A, None).reason is Reason.LEAVING


def test_a_proxy_that_refused_the_client_counts_as_doubted(directory):
    n, c = directory
    n.rows = [at(1, A), at(2, Locality("ap", "ap-a"))]
    names = [p["name"] for p in c.simulate_get("/connect?locality=eu/eu-a").json["proxies"]]
    assert names == ["n1"]
    names = [p["name"] for p in c.simulate_get("/connect?locality=eu/eu-a&avoid=10.0.0.1:80").json["proxies"]]
    assert names == ["n2"]


def test_a_proxy_that_has_started_since_it_refused_the_client_is_named(directory):
    n, c = directory
    n.rows, n.ages = [at(1, A), at(2, Locality("ap", "ap-a"))], {"n1": REFUSAL_MAX_AGE_S - 0.1}
    asked = "/connect?locality=eu/eu-a&avoid=10.0.0.1:80"
    assert [p["name"] for p in c.simulate_get(asked).json["proxies"]] == ["n1"]
    n.ages["n1"] = REFUSAL_MAX_AGE_S
    assert [p["name"] for p in c.simulate_get(asked).json["proxies"]] == ["n2"]


def test_a_tenant_that_is_pinned_to_regions_is_led_to_no_other(directory, monkeypatch):
    n, c = directory
    n.evacuated = {}
    monkeypatch.setattr(type(EMPTY_TREE), "homes", lambda tree, tenant: HOME_BOTH)
    EMPTY_TREE.cell_of["t"] = "cell"
    try:
        n.rows = [at(1, A, LEAVING), at(2, A), at(4, Locality("ap", "ap-a")), at(5, Locality("ap", "ap-a"))]
        for rows, want in ((n.rows, ["n2"]), (n.rows[:1] + n.rows[2:], ["n1"])):
            n.rows = rows
            told = c.simulate_get("/connect?locality=us/us-a&tenant=t").json
            assert [p["name"] for p in told["proxies"]] == want and told["life_ms"] == 1500
    finally:
        del EMPTY_TREE.cell_of["t"]
