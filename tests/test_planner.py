"""The plan of a change: which differences it reports."""

import copy

from mallowvalve.configuration.build import build
from mallowvalve.planner.plan import ReadyUpstream, plan
from mallowvalve.types import Locality
from tests.shapes import CONFIG

UPSTREAMS = [
    ReadyUpstream("boards", "b-eu", Locality("eu", "eu-a")),
    ReadyUpstream("boards", "b-us", Locality("us", "us-a")),
]


def planned_moves(edit, upstreams=UPSTREAMS, evacuated=None):
    """Returns the plan's moves as tuples for the change that `edit` makes to the configuration."""
    document = copy.deepcopy(CONFIG)
    edit(document)
    return [
        (move.place, move.what, move.before, move.after)
        for move in plan(build(CONFIG).unwrap(), build(document).unwrap(), upstreams, evacuated or {})
    ]


def test_an_unchanged_document_has_no_moves():
    assert planned_moves(lambda document: None) == []


def test_a_region_policy_changes_every_route_of_the_region():
    moves = planned_moves(lambda document: document["regions"]["eu"].update(policy="limit 2s"))
    assert moves == [(f"routes.{route}", "policy limit_ms changes", 4000, 2000) for route in ("rankings", "submit")]


def test_new_home_regions_show_the_upstreams_that_become_unreachable():
    moves = planned_moves(lambda document: document["cells"]["racing"]["tenants"].update(overlay={"homes": ["eu"]}))
    assert ("tenants.overlay", "homes change", "anywhere", ["eu"]) in moves
    assert ("tenants.overlay", "upstreams of boards change", ["b-us"], []) in moves


def test_a_tenant_without_reachable_upstreams_is_reported():
    moves = planned_moves(lambda document: document["cells"]["racing"]["tenants"].update(overlay={"homes": ["ap"]}))
    assert ("tenants.overlay", "boards has no upstream left", 2, 0) in moves


def test_added_and_removed_routes_and_services_are_reported():
    def edit(document):
        del document["routes"]["submit"], document["services"]["runs"]
        document["services"]["new"] = {}
        document["routes"]["rankings"]["service"] = "new"

    moves = {(place, what) for place, what, _, _ in planned_moves(edit)}
    assert {
        ("routes.submit", "removed"),
        ("services.runs", "removed, 0 upstreams live"),
        ("services.new", "added"),
        ("routes.rankings", "service changes"),
    } <= moves
