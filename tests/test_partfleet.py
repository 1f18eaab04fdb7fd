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
        [NodePlacement("control", z) for z in ZONES] + [NodePlacement("proxy", z) for z in ZONES], [], {}
    )
    f = LocalFleet(shape, tmp_path / "fleet")
    for role, text in (
        ("control", '[acks]\nsettings = "held"\ncoordination = "commit"\n[zones]\neu-a = "eu"\n'),
        ("proxy", 'serve_on = true\nholds = "settings"\n'),
    ):
        at = tmp_path / f"{role}.toml"
        at.write_text(text)
        for p in f.with_role(role):
            p.args += ["--settings", str(at)]
    with f:
        assert wait_until(lambda: all(call(p.web_port, "GET", "/items")[0] == 200 for p in f.with_role("control")), 30)
        yield f


def amend(p, routes, services=()):
    return call(p.web_port, "PATCH", "/items", {"set": {"routes": routes, "services": list(services)}})[:2]


def gauge(p, name="revision"):
    code, said = call(p.web_port, "GET", "/-/counts", timeout_s=2)[:2]
    return said["gauges"][name] if code == 200 else -1


def test_settings_reach_every_proxy_before_they_are_acknowledged_and_outlast_core_and_proxy(fleet):
    controls, proxies = fleet.with_role("control"), fleet.with_role("proxy")
    assert wait_until(lambda: all(gauge(p, "held_index") > 0 for p in proxies), 20)
    code, said = amend(controls[1], [route(f"r{n}", 7) for n in range(370)], [service("s", 7)])
    assert code == 200 and all(gauge(p) >= said["revision"] for p in proxies)
    assert amend(controls[2], [route("r0", 7)]) == (200, {"revision": gauge(proxies[0])})
    assert amend(controls[0], [route("x", 1, service="nobody")])[0] == 400
    code, said = call(controls[0].web_port, "POST", "/evacuations/eu-a")[:2]
    assert code == 200 and all(gauge(p) >= said["revision"] for p in proxies)

    fleet.cut_links(list(itertools.combinations(controls, 2)))
    assert wait_until(lambda: not any(call(p.web_port, "GET", "/leader")[1].get("leader") for p in controls), 20)
    fleet.kill(proxies[0].name)
    fleet.start(proxies[0].name)
    assert wait_until(lambda: gauge(proxies[0]) >= said["revision"], 20)
    fleet.clear_faults()
    assert wait_until(lambda: amend(controls[0], [route("r0", 8)])[0] == 200, 20)

    for p in controls:
        fleet.kill(p.name)
        fleet.delete_data(p.name)
    for p in controls:
        fleet.start(p.name)
    assert wait_until(lambda: call(controls[0].web_port, "GET", "/items")[0] == 200, 30)
    got = call(controls[0].web_port, "GET", "/items")[1]
    assert len(got["routes"]) == 370 and next(r for r in got["routes"] if r["name"] == "r0") == json.loads(
        json.dumps(route("r0", 8))
    )
    assert wait_until(lambda: amend(controls[0], [route("r0", 9)])[0] == 200, 20)
