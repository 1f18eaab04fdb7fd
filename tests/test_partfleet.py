"""Tests a fleet whose settings arrive as items and are held by its proxies."""

import itertools
import json

import pytest

from mallowvalve.localfleet.call import call
from mallowvalve.localfleet.fleet import FleetShape, LocalFleet, NodePlacement, wait_until
from tests.test_items import route, service

ZONES = ["eu/eu-a", "us/us-a", "ap/ap-a"]


@pytest.fixture
def fleet(tmp_path):
    shape = FleetShape(
        [NodePlacement("control", zone) for zone in ZONES] + [NodePlacement("proxy", zone) for zone in ZONES], [], {}
    )
    local_fleet = LocalFleet(shape, tmp_path / "fleet")
    for role, text in (
        ("control", '[acks]\nsettings = "held"\ncoordination = "commit"\n[zones]\neu-a = "eu"\n'),
        ("proxy", 'serve_on = true\nholds = "settings"\n'),
    ):
        path = tmp_path / f"{role}.toml"
        path.write_text(text)
        for process in local_fleet.with_role(role):
            process.args += ["--settings", str(path)]
    with local_fleet:
        assert wait_until(
            lambda: all(
                call(process.web_port, "GET", "/items")[0] == 200 for process in local_fleet.with_role("control")
            ),
            30,
        )
        yield local_fleet


def amend(process, routes, services=()):
    return call(process.web_port, "PATCH", "/items", {"set": {"routes": routes, "services": list(services)}})[:2]


def gauge(process, name="revision"):
    status, data = call(process.web_port, "GET", "/-/counts", timeout_s=2)[:2]
    return data["gauges"][name] if status == 200 else -1


def test_acknowledged_settings_are_held_by_every_proxy_and_survive_restarts_and_lost_data(fleet):
    controls, proxies = fleet.with_role("control"), fleet.with_role("proxy")
    assert wait_until(lambda: all(gauge(process, "held_index") > 0 for process in proxies), 20)
    status, data = amend(controls[1], [route(f"r{number}", 7) for number in range(370)], [service("s", 7)])
    assert status == 200 and all(gauge(process) >= data["revision"] for process in proxies)
    assert amend(controls[2], [route("r0", 7)]) == (200, {"revision": gauge(proxies[0])})
    assert amend(controls[0], [route("x", 1, service="nobody")])[0] == 400
    status, data = call(controls[0].web_port, "POST", "/evacuations/eu-a")[:2]
    assert status == 200 and all(gauge(process) >= data["revision"] for process in proxies)

    fleet.cut_links(list(itertools.combinations(controls, 2)))
    assert wait_until(
        lambda: not any(call(process.web_port, "GET", "/leader")[1].get("leader") for process in controls), 20
    )
    fleet.kill(proxies[0].name)
    fleet.start(proxies[0].name)
    assert wait_until(lambda: gauge(proxies[0]) >= data["revision"], 20)
    fleet.clear_faults()
    assert wait_until(lambda: amend(controls[0], [route("r0", 8)])[0] == 200, 20)

    for process in controls:
        fleet.kill(process.name)
        fleet.delete_data(process.name)
    for process in controls:
        fleet.start(process.name)
    assert wait_until(lambda: call(controls[0].web_port, "GET", "/items")[0] == 200, 30)
    items = call(controls[0].web_port, "GET", "/items")[1]
    assert len(items["routes"]) == 370 and next(item for item in items["routes"] if item["name"] == "r0") == json.loads(
        json.dumps(route("r0", 8))
    )
    assert wait_until(lambda: amend(controls[0], [route("r0", 9)])[0] == 200, 20)
