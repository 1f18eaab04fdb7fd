"""The Prometheus exposition of counters and gauges."""

from falcon.testing import TestClient
from prometheus_client.parser import text_string_to_metric_families

from mallowvalve import settings
from mallowvalve.exposition import CONTENT_TYPE, render_metrics
from mallowvalve.metrics import Counts, Distribution
from mallowvalve.node import Node
from mallowvalve.node_pages import MetricsResource


def samples(page: bytes) -> dict[str, float]:
    """Returns the values by name and label, read with the library's own parser."""
    return {
        sample.name + "".join(f"{{{label}}}" for label in sample.labels.values()): sample.value
        for family in text_string_to_metric_families(page.decode())
        for sample in family.samples
    }


def test_counters_and_gauges_are_readable_with_the_librarys_parser():
    counts = Counts()
    counts.add("requests", 3)
    counts.add("rejected_not-run")
    gauges = {"fresh": True, "busy": 4, "role": "leader", "votes": {"raft_won": 2}, "revision": None}
    assert samples(render_metrics(counts.snapshot(), gauges)) == {
        "mallowvalve_requests_total": 3.0,
        "mallowvalve_rejected_not_run_total": 1.0,
        "mallowvalve_fresh": 1.0,
        "mallowvalve_busy": 4.0,
        "mallowvalve_role{leader}": 1.0,
        "mallowvalve_votes{raft_won}": 2.0,
    }


def test_a_distribution_is_exposed_as_a_histogram():
    ages = Distribution((1.0, 2.0))
    for age in (0.5, 1.0, 1.5, 9.0):
        ages.observe(age)
    assert samples(render_metrics({}, {"age_s": ages.snapshot()})) == {
        "mallowvalve_age_s_bucket{1.0}": 2.0,
        "mallowvalve_age_s_bucket{2.0}": 3.0,
        "mallowvalve_age_s_bucket{+Inf}": 4.0,
        "mallowvalve_age_s_count": 4.0,
        "mallowvalve_age_s_sum": 12.0,
    }


def test_counters_whose_metric_names_coincide_are_added():
    assert samples(render_metrics({"a-b": 1, "a_b": 2}, {})) == {"mallowvalve_a_b_total": 3.0}


def test_without_counters_the_exposition_is_empty():
    assert samples(render_metrics({}, {})) == {}


def test_a_node_exposes_all_its_counters_and_gauges():
    raw_settings = {"name": "n", "locality": "eu/a", "transport": "127.0.0.1:1", "web": "127.0.0.1:2"}
    node = Node(settings.check("proxy", raw_settings).unwrap())
    node.counts.add("requests", 2)
    node.membership.membership.counts.add("membership_declared")
    node.heartbeats.table.counts.add("heartbeat_new")
    node.gauge("busy", lambda: 7)
    node.app.add_route("/-/metrics", MetricsResource(node))
    response = TestClient(node.app.load()).simulate_get("/-/metrics")
    assert response.status_code == 200 and response.headers["content-type"] == CONTENT_TYPE
    exposed = samples(response.content)
    histograms = {
        name: value for name, value in exposed.items() if "_bucket" in name or name.endswith(("_sum", "_count"))
    }
    assert {name.rpartition("_")[0] for name in histograms} == {
        "mallowvalve_standstill_s",
        "mallowvalve_failed_member_silence_s",
    }
    assert set(histograms.values()) == {0.0}
    assert {name: value for name, value in exposed.items() if name not in histograms} == {
        "mallowvalve_requests_total": 2.0,
        "mallowvalve_membership_declared_total": 1.0,
        "mallowvalve_heartbeat_new_total": 1.0,
        "mallowvalve_log_lines_lost": 0.0,
        "mallowvalve_busy": 7.0,
    }
