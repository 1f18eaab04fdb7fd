import copy

from mallowvalve.configuration.build import build
from mallowvalve.routing import compiler
from mallowvalve.routing.compiler import Policy, RouteRequest
from tests.shapes import CONFIG


def get(path, method="GET", **headers):
    return RouteRequest(method, path, headers)


def test_a_route_inherits_from_its_cell_and_a_cell_from_its_region():
    config = copy.deepcopy(CONFIG)
    config["regions"]["eu"]["policy"] = "limit 4s; retry 2; queue 10"
    config["cells"]["racing"]["policy"] = "retry 1; width 8"
    config["routes"]["rankings"]["policy"] = "queue 3"
    policy = build(config).unwrap().choose("overlay", get("/rankings/7")).policy
    assert (policy.limit_ms, policy.retry, policy.width, policy.queue, policy.keep) == (4000, 1, 8, 3, 16384)
    config["regions"]["eu"]["policy"] = "limit 9s"
    assert build(config).unwrap().choose("overlay", get("/rankings/7")).policy.limit_ms == 9000


def test_routes_match_whole_paths_only():
    tree = build(CONFIG).unwrap()
    assert tree.choose("overlay", get("/rankings/7")).route == "rankings"
    for path in ("/rankings", "/rankings/7/8", "/other", "/runs"):
        assert tree.choose("overlay", get(path)) is None
    assert tree.choose("runner", get("/runs", "POST")).kind == "once"


def test_a_match_of_all_operators_is_compiled():
    match = compiler.match('(method GET, HEAD and not path "/a/**") or header "X-Kind" = "y"', "m").unwrap()
    assert match(get("/b")) and not match(get("/a/b/c")) and match(get("/a", x_kind="n", **{"x-kind": "y"}))
    assert not match(get("/b", "POST"))


def test_every_statement_of_a_policy_is_parsed():
    text = "limit 4s; ramp 20s; retry 1; queue 64; width 32; keep 16kb; draw any"
    assert compiler.policy(text, "p").unwrap() == Policy(
        limit_ms=4000, ramp_ms=20000, retry=1, queue=64, width=32, keep=16384, chooser="any"
    )
    assert compiler.policy("draw near", "p").unwrap().chooser == "near"
    assert compiler.policy("draw far", "p").is_err()


def test_a_statement_given_twice_is_named_by_its_keyword():
    for text, keyword in (("draw any; draw near", "draw"), ("limit 1s; limit 2s", "limit")):
        assert [f.text for f in compiler.policy(text, "p").unwrap_err()] == [f"{keyword} is set twice"]


def test_homes_are_those_of_the_tenant_or_the_regions_of_the_cell():
    config = copy.deepcopy(CONFIG)
    config["cells"]["racing"]["regions"] = ["eu", "us"]
    tree = build(config).unwrap()
    assert tree.homes("runner") == {"eu"} and tree.homes("overlay") == {"eu", "us"}
    assert build(CONFIG).unwrap().homes("overlay") is None


def test_all_findings_are_reported_with_their_places():
    invalid = {
        "services": {"s": {"status": "x"}},
        "regions": {"eu": {"zones": ["a"], "policy": "limit 1h"}, "us": {"zones": ["a"]}, "ap": {"zones": []}},
        "cells": {
            "c": {"region": "mars", "regions": ["eu"], "tenants": {"t": {"homes": ["us"]}}, "policy": "retry 9"},
            "d": {"region": "eu", "tenants": {"t": {}}},
        },
        "routes": {
            "r": {"cell": "x", "match": "path 5", "kind": "read", "service": "none", "policy": "retry 1; retry 2"}
        },
    }
    places = [str(f.place) for f in build(invalid).err_value]
    for expected in (
        "services.s.status",
        "regions.eu.policy@1:8",
        "regions.us.zones[0]",
        "regions.ap.zones",
        "cells.c.region",
        "cells.c.tenants.t.homes[0]",
        "cells.c.policy",
        "cells.d.tenants.t",
        "routes.r.match@1:6",
        "routes.r.service",
        "routes.r.cell",
        "routes.r.policy",
    ):
        assert expected in places, expected


def test_all_fields_of_a_wrong_type_are_found():
    invalid = {
        "services": 3,
        "routes": {"r": {"cell": 1, "match": 'path "/a"', "kind": "twice", "service": "s", "x": 1}},
    }
    assert {f.place for f in build(invalid).err_value} == {"services", "routes.r.cell", "routes.r.kind", "routes.r.x"}
    assert {f.place for f in build([]).err_value} == {""}
