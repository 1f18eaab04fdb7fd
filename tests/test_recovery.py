"""Tests that a fleet recovers after it lost control processes, or their data, or all processes."""

import pytest

from mallowvalve.control.http_operators import RISK_STATEMENT
from mallowvalve.localfleet.call import call
from mallowvalve.localfleet.fleet import LocalFleet, wait_until
from mallowvalve.localfleet.main import wait_until_settled
from tests.shapes import CONFIG, small_shape


@pytest.fixture
def fleet(tmp_path):
    with LocalFleet(small_shape(), tmp_path) as local_fleet:
        assert wait_until_settled(local_fleet)
        yield local_fleet


def find_leader(fleet):
    return wait_until(
        lambda: next(
            (
                process
                for process in fleet.with_role("control")
                if process.is_running and call(process.web_port, "GET", "/leader")[1].get("role") == "leader"
            ),
            None,
        ),
        20,
    )


def test_an_operator_founds_a_new_generation_after_the_loss_of_most_control_processes(fleet):
    headers = {"Mallow-Tenant": "runner", "Mallow-Key": "before"}
    proxy = fleet.with_role("proxy")[0].web_port
    first = call(proxy, "POST", "/runs", {"n": 1}, headers)
    number = call(fleet.with_role("control")[0].web_port, "POST", "/numbers/n", {})[1]["number"]
    revision = call(fleet.with_role("control")[0].web_port, "GET", "/config")[1]["revision"]
    for process in fleet.with_role("control")[:2]:
        fleet.kill(process.name)
    blank = fleet.add_node("control", "us/us-a", "control9")
    assert wait_until(lambda: call(blank.web_port, "GET", "/leader")[1] == {"leader": None, "blank": True}, 20)
    assert call(blank.web_port, "POST", "/found-anew", {"accept": "yes"})[0] == 400
    assert call(blank.web_port, "POST", "/found-anew", {"accept": RISK_STATEMENT})[0] == 200
    assert wait_until(lambda: call(blank.web_port, "GET", "/config")[0] == 200, 20)
    config = call(blank.web_port, "GET", "/config")[1]
    assert (config["revision"], config["doc"]) == (revision, CONFIG)
    assert call(blank.web_port, "POST", "/numbers/n", {})[1]["number"] > number
    assert wait_until(lambda: call(proxy, "POST", "/runs", {"n": 1}, headers)[0] == 200, 20)
    assert call(proxy, "POST", "/runs", {"n": 1}, headers)[1] == first[1]
    assert sum(row["key"] == "before" for row in fleet.read_journal("ran.jsonl")) == 1
    survivor = fleet.with_role("control")[2]
    assert wait_until(
        lambda: (
            call(survivor.web_port, "GET", "/leader")[1].get("generation")
            == call(blank.web_port, "GET", "/leader")[1]["generation"]
        ),
        30,
    )


def test_control_processes_that_lost_their_data_recover_everything_acknowledged(fleet):
    control = fleet.with_role("control")[0].web_port
    revision = call(control, "PUT", "/config", {"doc": {**CONFIG, "services": {**CONFIG["services"], "late": {}}}})[1][
        "revision"
    ]
    token = call(control, "POST", "/locks/l/take", {"holder": "x", "ttl_ms": 600000})[1]["number"]
    for process in fleet.with_role("control"):
        fleet.kill(process.name)
        fleet.delete_data(process.name)
    for process in fleet.with_role("control"):
        fleet.start(process.name)
    assert wait_until(lambda: call(control, "GET", "/config")[0] == 200, 15)
    assert call(control, "GET", "/config")[1]["revision"] == revision
    assert call(control, "POST", "/locks/l/take", {"holder": "y", "ttl_ms": 1000})[0] == 409
    assert call(control, "POST", "/locks/l/free", {"holder": "x", "token": token})[0] == 200
    assert call(control, "POST", "/locks/l/take", {"holder": "y", "ttl_ms": 1000})[1]["number"] > token
    assert wait_until(
        lambda: all(call(process.web_port, "GET", "/-/ready")[0] == 200 for process in fleet.with_role("proxy")), 15
    )


def test_a_fleet_that_lost_all_state_starts_empty_with_a_higher_generation(fleet):
    control = fleet.with_role("control")[0].web_port
    before = call(control, "GET", "/leader")[1]
    for role in ("proxy", "directory", "control"):
        for process in fleet.with_role(role):
            fleet.kill(process.name)
    for process in fleet.with_role("control"):
        fleet.delete_data(process.name)
    for role in ("control", "proxy", "directory"):
        for process in fleet.with_role(role):
            fleet.start(process.name)
    assert wait_until(lambda: call(control, "GET", "/config")[0] == 200, 20)
    after = call(control, "GET", "/leader")[1]
    assert call(control, "GET", "/config")[1]["doc"] == {}
    assert after["generation"] > before["generation"] and wait_until_settled(fleet)
    assert (
        call(fleet.with_role("proxy")[0].web_port, "GET", "/rankings/1", None, {"Mallow-Tenant": "overlay"})[0] == 200
    )
