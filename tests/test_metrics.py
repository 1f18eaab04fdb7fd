"""The page of metrics: what it says, in which format, and that counting costs nothing for it."""

from falcon.testing import TestClient
from prometheus_client.parser import text_string_to_metric_families

from mallowvalve import settings
from mallowvalve.exposition import CONTENT_TYPE, exposition
from mallowvalve.metrics import Counts
from mallowvalve.node import Metrics, Node


def samples(page: bytes) -> dict[str, float]:
    return {
        s.name + "".join(f"{{{v}}}" for v in s.labels.values()): s.value
        for family in text_string_to_metric_families(page.decode())
        for s in family.samples
    }


def test_counters_and_gauges_are_read_back_by_the_librarys_own_parser():
    counts = Counts()
    counts.add("requests", 3)
    counts.add("rejected_not-run")
    gauges = {"fresh": True, "busy": 4, "role": "leader", "votes": {"raft_won": 2}, "revision": None}
    assert samples(exposition(counts.snapshot(), gauges)) == {
        "mallowvalve_requests_total": 3.0,
        "mallowvalve_rejected_not_run_total": 1.0,
        "mallowvalve_fresh": 1.0,
        "mallowvalve_busy": 4.0,
        "mallowvalve_role{leader}": 1.0,
        "mallowvalve_votes{raft_won}": 2.0,
    }


def test_names_that_become_one_are_counted_together():
    assert samples(exposition({"a-b": 1, "a_b": 2}, {})) == {"mallowvalve_a_b_total": 3.0}


def test_nothing_counted_is_an_empty_page():
    assert samples(exposition({}, {})) == {}


def test_a_node_shows_all_it_counts():
    raw = {"name": "n", "locality": "eu/a", "transport": "127.0.0.1:1", "web": "127.0.0.1:2"}
    node = Node(settings.check("proxy", raw).unwrap())
    node.counts.add("requests", 2)
    node.membership.membership.counts.add("membership_declared")
    node.heartbeats.board.counts.add("heartbeat_new")
    node.gauge("busy", lambda: 7)
    node.app.add_route("/-/metrics", Metrics(node))
    answer = TestClient(node.app.load()).simulate_get("/-/metrics")
    assert answer.status_code == 200 and answer.headers["content-type"] == CONTENT_TYPE
    assert samples(answer.content) == {
        "mallowvalve_requests_total": 2.0,
        "mallowvalve_membership_declared_total": 1.0,
        "mallowvalve_heartbeat_new_total": 1.0,
        "mallowvalve_busy": 7.0,
    }
