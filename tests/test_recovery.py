import pytest

from mallowvalve.control.http_operators import RISK_STATEMENT
from mallowvalve.localfleet.call import call
from mallowvalve.localfleet.fleet import Fleet, until
from mallowvalve.localfleet.main import settle
from tests.shapes import CONFIG, small


@pytest.fixture
def fleet(tmp_path):
    with Fleet(small(), tmp_path) as f:
        assert settle(f)
        yield f


def leader(f):
    return until(
        lambda: next(
            (p for p in f.of("control") if p.up and call(p.web, "GET", "/leader")[1].get("role") == "leader"), None
        ),
        20,
    )


def test_most_core_machines_gone_for_good_need_an_operators_word(fleet):
    key = {"Mallow-Tenant": "runner", "Mallow-Key": "before"}
    proxy = fleet.of("proxy")[0].web
    first = call(proxy, "POST", "/runs", {"n": 1}, key)
    n = call(fleet.of("control")[0].web, "POST", "/numbers/n", {})[1]["number"]
    rev = call(fleet.of("control")[0].web, "GET", "/config")[1]["revision"]
    for p in fleet.of("control")[:2]:
        fleet.kill(p.name)
    new = fleet.add_node("control", "us/us-a", "control9")
    assert until(lambda: call(new.web, "GET", "/leader")[1] == {"leader": None, "blank": True}, 20)
    assert call(new.web, "POST", "/found-anew", {"accept": "yes"})[0] == 400
    assert call(new.web, "POST", "/found-anew", {"accept": RISK_STATEMENT})[0] == 200
    assert until(lambda: call(new.web, "GET", "/config")[0] == 200, 20)
    got = call(new.web, "GET", "/config")[1]
    assert (got["revision"], got["doc"]) == (rev, CONFIG)
    assert call(new.web, "POST", "/numbers/n", {})[1]["number"] > n
    assert until(lambda: call(proxy, "POST", "/runs", {"n": 1}, key)[0] == 200, 20)
    assert call(proxy, "POST", "/runs", {"n": 1}, key)[1] == first[1]
    assert sum(r["key"] == "before" for r in fleet.rows("ran.jsonl")) == 1
    survivor = fleet.of("control")[2]
    assert until(
        lambda: (
            call(survivor.web, "GET", "/leader")[1].get("generation")
            == call(new.web, "GET", "/leader")[1]["generation"]
        ),
        30,
    )


def test_a_wiped_core_comes_back_with_all_that_was_acknowledged(fleet):
    control = fleet.of("control")[0].web
    rev = call(control, "PUT", "/config", {"doc": {**CONFIG, "services": {**CONFIG["services"], "late": {}}}})[1][
        "revision"
    ]
    lock = call(control, "POST", "/locks/l/take", {"holder": "x", "ttl_ms": 600000})[1]["number"]
    for p in fleet.of("control"):
        fleet.kill(p.name)
        fleet.wipe(p.name)
    for p in fleet.of("control"):
        fleet.start(p.name)
    assert until(lambda: call(control, "GET", "/config")[0] == 200, 15)
    assert call(control, "GET", "/config")[1]["revision"] == rev
    assert call(control, "POST", "/locks/l/take", {"holder": "y", "ttl_ms": 1000})[0] == 409
    assert call(control, "POST", "/locks/l/free", {"holder": "x", "token": lock})[0] == 200
    assert call(control, "POST", "/locks/l/take", {"holder": "y", "ttl_ms": 1000})[1]["number"] > lock
    assert until(lambda: all(call(p.web, "GET", "/-/ready")[0] == 200 for p in fleet.of("proxy")), 15)


def test_a_fleet_that_lost_everything_starts_clean_under_a_higher_generation(fleet):
    control = fleet.of("control")[0].web
    before = call(control, "GET", "/leader")[1]
    for role in ("proxy", "directory", "control"):
        for p in fleet.of(role):
            fleet.kill(p.name)
    for p in fleet.of("control"):
        fleet.wipe(p.name)
    for role in ("control", "proxy", "directory"):
        for p in fleet.of(role):
            fleet.start(p.name)
    assert until(lambda: call(control, "GET", "/config")[0] == 200, 20)
    after = call(control, "GET", "/leader")[1]
    assert call(control, "GET", "/config")[1]["doc"] == {}
    assert after["generation"] > before["generation"] and settle(fleet)
    assert call(fleet.of("proxy")[0].web, "GET", "/rankings/1", None, {"Mallow-Tenant": "overlay"})[0] == 200
