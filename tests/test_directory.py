"""The directory's HTTP resources, its answers' metrics, and look-ups over time."""

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
from tests.directory_records import (
    AP_A,
    EU_A,
    EU_B,
    HOME_EU_US,
    HOME_US,
    US_A,
    departed_member,
    named_proxies,
    proxy_record,
)


class FakeNode:
    """Stands in for the node and its membership."""

    class settings:
        locality = EU_A
        zones = {"us-a": "us"}

    boot = 1

    def __init__(self):
        self.records, self.membership, self.counts = [], self, web.Counts()
        self.confirmed_at, self.gauges = clock.now(), {}
        self.tree, self.evacuated = EMPTY_TREE, {"us-a": 1}
        self.known_for_s = {}
        self.departed_members, self.is_settled, self.probed, self.suspected = [], True, [], set()
        self.items = Items()

    def gauge(self, name, read):
        self.gauges[name] = read

    def alive(self, role):
        return [record for record in self.records if record.role == role and record.state <= LEAVING]

    def departed(self, role):
        return self.departed_members

    def settled(self):
        return self.is_settled

    def known_for(self, member):
        return self.known_for_s.get(member.name, 60.0)

    def probe(self, member):
        self.probed.append(member.name)

    def suspects(self, member):
        return member.name in self.suspected


@pytest.fixture
def directory():
    node = FakeNode()
    app = web.make_app()
    freshness = pages.AnswerFreshness(node, lambda: node.confirmed_at)
    service = pages.DirectoryService(node, lambda: node.tree, lambda: node.items, lambda: node.evacuated, freshness)
    pages.add_routes(app, service)
    app.add_route("/-/named", pages.NamedResource(service))
    return node, testing.TestClient(app)


def test_proxies_are_selected_from_the_membership(directory):
    node, client = directory
    assert client.simulate_get("/proxies?name=h").status_code == 503
    node.records = [proxy_record(1, EU_A), proxy_record(2, EU_A), proxy_record(3, US_A), proxy_record(4, US_A)]
    assert client.simulate_get("/proxies?name=h&region=us&zone=us-a").json["life_s"] == ANSWER_TTL_S == 2
    for query, expected in (
        ("region=us&zone=us-a", [3, 4]),
        ("zone=us-a", [3, 4]),
        ("name=h", [1, 2]),
        ("region=eu", [1, 2]),
    ):
        named = client.simulate_get("/proxies?" + query).json["proxies"]
        assert sorted(named) == [f"10.0.0.{number}:80" for number in expected], query
    node.records[2] = proxy_record(3, US_A, LEAVING)
    answer = client.simulate_get("/proxies?region=us&zone=us-a").json
    assert answer["proxies"] == ["10.0.0.4:80"] and answer["life_s"] == SHORT_ANSWER_TTL_S < ANSWER_TTL_S
    assert node.probed == ["n4"]


def test_an_evacuated_zones_proxies_are_named_by_proxies_and_not_by_connect(directory):
    node, client = directory
    node.records = [proxy_record(1, EU_A), proxy_record(3, US_A), proxy_record(4, US_A)]
    assert sorted(client.simulate_get("/proxies?region=us&zone=us-a").json["proxies"]) == ["10.0.0.3:80", "10.0.0.4:80"]
    assert [proxy["name"] for proxy in client.simulate_get("/connect?locality=us/us-a").json["proxies"]] == ["n1"]


MAX_AGE_S = lease.LEASE_BOUNDS[lease.AnswerKind.DIRECTORY].seconds
PATHS = ("/proxies", "/connect?locality=eu/eu-a")


@pytest.mark.parametrize("path", PATHS)
def test_an_answer_has_its_age_and_is_refused_past_the_maximum_age(directory, monkeypatch, path):
    node, client = directory
    node.records = [proxy_record(1, EU_A)]
    now = [node.confirmed_at]
    monkeypatch.setattr(clock, "now", lambda: now[0])
    for later, stale in ((0.1, False), (0.6, True), (MAX_AGE_S - 0.1, True)):
        now[0] = node.confirmed_at + later
        answer = client.simulate_get(path).json
        assert answer["proxies"] and abs(answer["age_ms"] - 1000 * later) < 100 and answer["stale"] is stale
    now[0] = node.confirmed_at + MAX_AGE_S + 0.1
    refusal = client.simulate_get(path)
    assert refusal.status_code == 503 and int(refusal.headers["retry-after"]) >= 1
    node.confirmed_at = now[0]
    assert client.simulate_get(path).status_code == 200


@pytest.mark.parametrize("path", PATHS)
def test_without_contact_to_a_majority_the_age_counts_from_the_process_start(directory, path):
    node, client = directory
    node.confirmed_at, node.records = -1e9, [proxy_record(1, EU_A)]
    assert client.simulate_get(path).json["proxies"]


@pytest.mark.parametrize("path", PATHS)
def test_while_a_proxy_that_serves_is_known_no_look_up_fails(directory, path):
    node, client = directory
    member = Membership(proxy_record(1, EU_A, ready=False), "f", [], random.Random(1), 1.0, 3, 0.1)
    member.ready(True)
    node.records = [member.me]
    assert client.simulate_get(path).status_code == 200
    member.leave(final=False)
    node.records = [member.me, proxy_record(2, EU_A, FAILED), proxy_record(3, EU_A, ready=False)]
    assert str(client.simulate_get(path).json["proxies"][0]).count("10.0.0.1:80") == 1
    member.leave(final=True)
    node.records = [member.me]
    refusal = client.simulate_get(path)
    assert refusal.status_code == 503 and refusal.headers["retry-after"] == "1"
    assert refusal.json["findings"][0]["place"] == "proxies"


def test_a_proxy_that_leaves_before_it_was_ready_is_not_named():
    member = Membership(proxy_record(1, EU_A, ready=False), "f", [], random.Random(1), 1.0, 3, 0.1)
    member.leave(final=False)
    assert named_proxies([member.me], EU_A) == []


def test_answers_are_counted_by_region_and_reason(directory):
    node, client = directory
    node.records = [proxy_record(1, EU_A), proxy_record(2, EU_A), proxy_record(3, US_A)]
    for region in ("eu", "eu", "us", "ap"):
        client.simulate_get(f"/proxies?region={region}")
    assert node.gauges["directory_by_region"]() == {"ap none_accepts": 1, "eu own_region": 2, "us lone": 1}
    assert node.counts.get("directory_named_elsewhere") == 1
    assert node.counts.get("directory_own_region") == node.counts.get("directory_answers") - 2 == 2


def test_a_changed_reason_is_logged_with_its_details():
    events = []
    metrics = AnswerMetrics(web.Counts(), lambda event, **fields: events.append((event, fields)))
    two_ready, one_ready, none_ready = (
        [proxy_record(1, EU_A), proxy_record(2, EU_A), proxy_record(3, US_A)],
        [proxy_record(1, EU_A, LEAVING), proxy_record(2, EU_A), proxy_record(3, US_A)],
        [proxy_record(3, US_A)],
    )
    for records in (two_ready, two_ready, one_ready, one_ready, none_ready, two_ready):
        metrics.record("eu", None, choose_proxies(ProxyView(records), EU_A), records)
    assert [event for event, _ in events] == ["directory_answers"] * 3
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


def test_alternating_answers_for_different_homes_are_logged_once_each():
    events = []
    metrics = AnswerMetrics(web.Counts(), lambda event, **fields: events.append((fields["homes"], fields["reason"])))
    records = [proxy_record(1, EU_A, LEAVING), proxy_record(3, US_A)]
    for homes in (None, HOME_US) * 5:
        metrics.record("eu", homes, choose_proxies(ProxyView(records), EU_A, homes), records)
    assert events == [([], "leaving"), (["us"], "home_region")]


def test_invented_regions_are_counted_together_above_the_limit():
    metrics = AnswerMetrics(web.Counts(), lambda event, **fields: None)
    for number in range(2 * MAX_CLIENT_GROUPS):
        region = f"r{number}"
        metrics.record(region, None, choose_proxies(ProxyView([]), Locality(region, "")), [])
    assert len(metrics.by_region()) == MAX_CLIENT_GROUPS + 1


def test_operators_get_the_named_proxies_and_the_reason(directory):
    node, client = directory
    node.records = [proxy_record(1, EU_A), proxy_record(2, EU_A, LEAVING)]
    answer = client.simulate_get("/-/named?region=eu&zone=eu-a").json
    assert answer["region"] == "eu" and answer["reason"] == Reason.LONE.value
    assert answer["named"] == [{"name": "n1", "web": "10.0.0.1:80", "locality": "eu/eu-a", "status": "alive"}]


def items_with_routes(**homes):
    """Returns items with a route for each host and its home regions; digits at a host's end distinguish its routes."""
    rows = [Item("services", "s", 1, b'{"name": "s", "version": 1}')]
    for number, (host, regions) in enumerate(homes.items()):
        text = f'{{"name": "r{number}", "version": 1, "host": "{host.strip("0123456789")}", "prefix": "/{number}/",'
        text += (
            f' "kind": "read", "limit_ms": 1000, "service": "s", "homes": {str(regions).replace(chr(39), chr(34))}}}'
        )
        rows.append(Item("routes", f"r{number}", 1, text.encode()))
    items = Items()
    assert items.apply(Amend(rows), 1) == []
    return items


def test_a_hosts_homes_are_those_shared_by_all_its_routes_with_homes():
    items = items_with_routes(a=["eu", "us"], a1=["us", "ap"], a2=[], b=[], c=["eu"], c1=["us"])
    assert items.homes("A:80") == {"us"} and items.homes("b") is None and items.homes("unknown") is None
    assert items.homes("c") == frozenset()
    assert items.apply(Amend([Item("routes", "r1", 2, None)]), 2) == []
    assert items.homes("a") == {"eu", "us"}


def test_a_look_up_uses_the_homes_of_the_requested_host(directory):
    node, client = directory
    node.items = items_with_routes(bound=["eu"], free=[])
    node.records = [proxy_record(1, EU_A), proxy_record(2, EU_B), proxy_record(4, AP_A)]
    assert sorted(client.simulate_get("/proxies?name=bound&region=us").json["proxies"]) == [
        "10.0.0.1:80",
        "10.0.0.2:80",
    ]
    assert len(client.simulate_get("/proxies?name=free&region=us").json["proxies"]) == 3
    assert client.simulate_get("/-/named?name=bound&region=us").json["reason"] == Reason.HOME_REGION.value
    node.items = None
    node.departed_members = [departed_member(proxy_record(3, US_A, LEFT, ready=False))]
    refusal = client.simulate_get("/proxies?name=free&region=us")
    assert refusal.status_code == 503 and refusal.headers["retry-after"] == "1"


def test_a_newly_started_process_names_no_proxies_of_other_regions(directory):
    node, client = directory
    node.records, node.is_settled = [proxy_record(1, EU_A), proxy_record(2, EU_A)], False
    assert client.simulate_get("/proxies?region=eu").status_code == 200
    refusal = client.simulate_get("/proxies?region=us")
    assert refusal.status_code == 503 and "just started" in refusal.json["findings"][0]["text"]
    node.is_settled = True
    assert len(client.simulate_get("/proxies?region=us").json["proxies"]) == 2


def test_the_wait_for_a_restart_is_limited():
    node, now = FakeNode(), [100.0]
    node.records = [proxy_record(2, EU_A)]
    node.departed_members = [departed_member(proxy_record(1, US_A, LEFT, ready=False))]
    directory = Directory(node, lambda: now[0])
    assert directory.look_up(US_A, HOME_US).reason is Reason.RETURNING
    now[0] += RETURN_WINDOW_S - 0.1
    assert directory.look_up(US_A, HOME_US).reason is Reason.RETURNING
    now[0] += 0.1
    assert directory.look_up(US_A, HOME_US).reason is Reason.NONE_ACCEPTS
    node.records = [proxy_record(1, US_A)]
    assert directory.look_up(US_A, HOME_US).reason is Reason.LONE
    node.records = [proxy_record(2, EU_A)]
    assert directory.look_up(US_A, HOME_US).reason is Reason.RETURNING


def test_without_homes_the_wait_is_short_and_only_for_leaving_proxies():
    node, now = FakeNode(), [100.0]
    node.records = [proxy_record(1, EU_A, LEAVING, ready=False), proxy_record(3, US_A)]
    directory = Directory(node, lambda: now[0])
    assert directory.look_up(EU_A, None).reason is Reason.RETURNING
    now[0] += WAIT_WITHOUT_HOMES_S + 0.01
    assert directory.look_up(EU_A, None).reason is Reason.NONE_ACCEPTS
    assert directory.look_up(EU_A, HOME_US).reason is Reason.HOME_REGION
    node.records[0] = proxy_record(1, EU_A, LEAVING)
    assert directory.look_up(EU_A, None).reason is Reason.LEAVING


def test_a_proxy_that_refused_the_client_is_treated_as_suspected(directory):
    node, client = directory
    node.records = [proxy_record(1, EU_A), proxy_record(2, AP_A)]
    names = [proxy["name"] for proxy in client.simulate_get("/connect?locality=eu/eu-a").json["proxies"]]
    assert names == ["n1"]
    names = [
        proxy["name"] for proxy in client.simulate_get("/connect?locality=eu/eu-a&avoid=10.0.0.1:80").json["proxies"]
    ]
    assert names == ["n2"]


def test_a_proxy_that_has_started_since_it_refused_the_client_is_named(directory):
    node, client = directory
    node.records, node.known_for_s = [proxy_record(1, EU_A), proxy_record(2, AP_A)], {"n1": REFUSAL_MAX_AGE_S - 0.1}
    path = "/connect?locality=eu/eu-a&avoid=10.0.0.1:80"
    assert [proxy["name"] for proxy in client.simulate_get(path).json["proxies"]] == ["n1"]
    node.known_for_s["n1"] = REFUSAL_MAX_AGE_S
    assert [proxy["name"] for proxy in client.simulate_get(path).json["proxies"]] == ["n2"]


def test_a_tenant_with_homes_gets_no_proxies_of_other_regions(directory, monkeypatch):
    node, client = directory
    node.evacuated = {}
    monkeypatch.setattr(type(EMPTY_TREE), "homes", lambda tree, tenant: HOME_EU_US)
    EMPTY_TREE.cell_of["t"] = "cell"
    try:
        node.records = [
            proxy_record(1, EU_A, LEAVING),
            proxy_record(2, EU_A),
            proxy_record(4, AP_A),
            proxy_record(5, AP_A),
        ]
        for records, expected in ((node.records, ["n2"]), (node.records[:1] + node.records[2:], ["n1"])):
            node.records = records
            answer = client.simulate_get("/connect?locality=us/us-a&tenant=t").json
            assert [proxy["name"] for proxy in answer["proxies"]] == expected and answer["life_ms"] == 1500
    finally:
        del EMPTY_TREE.cell_of["t"]
