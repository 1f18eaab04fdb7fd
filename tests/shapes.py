from __future__ import annotations

from mallowvalve.whole.fleet import Place, Pool, Shape

ZONES = ["eu/eu-a", "eu/eu-b", "us/us-a", "us/us-b", "ap/ap-a", "ap/ap-b"]
CONFIG = {
    "services": {"boards": {}, "runs": {}},
    "regions": {
        "eu": {"zones": ["eu-a", "eu-b"], "policy": "limit 4s"},
        "us": {"zones": ["us-a", "us-b"]},
        "ap": {"zones": ["ap-a", "ap-b"]},
    },
    "cells": {
        "racing": {"region": "eu", "tenants": {"overlay": {}, "runner": {"homes": ["eu"]}}, "policy": "retry 1"},
    },
    "routes": {
        "rankings": {"cell": "racing", "match": 'method GET and path "/rankings/*"', "kind": "read", "service": "boards"},
        "submit": {"cell": "racing", "match": 'method POST and path "/runs"', "kind": "once", "service": "runs"},
    },
}
SHARES = [["overlay", "GET", "/rankings/{n}", False, 5], ["runner", "POST", "/runs", True, 1]]


def small() -> Shape:
    return Shape(
        nodes=[Place("law", z) for z in ZONES[::2]] + [Place("way", z) for z in ZONES[:2]] + [Place("flow", z) for z in ZONES[::2]],
        upstreams=[Pool("boards", ["eu/eu-a", "us/us-a"]), Pool("runs", ["eu/eu-a", "eu/eu-b", "us/us-a"])],
        config=CONFIG, shares=SHARES, rate=40.0, clients=8,
    )
