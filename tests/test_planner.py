import copy

from mallowvalve.configuration.build import build
from mallowvalve.planner.plan import ReadyUpstream, plan
from mallowvalve.types import Locality
from tests.shapes import CONFIG

UP = [ReadyUpstream("boards", "b-eu", Locality("eu", "eu-a")), ReadyUpstream("boards", "b-us", Locality("us", "us-a"))]


def moves(change, upstreams=UP, evacuated=None):
    d = copy.deepcopy(CONFIG)
    change(d)
    return [
        (m.place, m.what, m.before, m.after)
        for m in plan(build(CONFIG).unwrap(), build(d).unwrap(), upstreams, evacuated or {})
    ]


def test_no_change_moves_nothing():
    assert moves(lambda d: None) == []


def test_a_policy_higher_up_moves_every_route_below():
    got = moves(lambda d: d["regions"]["eu"].update(policy="limit 2s"))
    assert got == [(f"routes.{r}", "policy limit_ms changes", 4000, 2000) for r in ("rankings", "submit")]


def test_new_homes_show_the_upstreams_that_go():
    got = moves(lambda d: d["cells"]["racing"]["tenants"].update(overlay={"homes": ["eu"]}))
    assert ("tenants.overlay", "homes change", "anywhere", ["eu"]) in got
    assert ("tenants.overlay", "upstreams of boards change", ["b-us"], []) in got


def test_a_tenant_left_without_upstreams_is_said():
    got = moves(lambda d: d["cells"]["racing"]["tenants"].update(overlay={"homes": ["ap"]}))
    assert ("tenants.overlay", "boards has no upstream left", 2, 0) in got


def test_routes_and_services_that_come_and_go():
    def change(d):
        del d["routes"]["submit"], d["services"]["runs"]
        d["services"]["new"] = {}
        d["routes"]["rankings"]["service"] = "new"

    got = {(p, w) for p, w, _, _ in moves(change)}
    assert {
        ("routes.submit", "removed"),
        ("services.runs", "removed, 0 upstreams live"),
        ("services.new", "added"),
        ("routes.rankings", "service changes"),
    } <= got
