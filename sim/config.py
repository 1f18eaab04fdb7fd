from __future__ import annotations

import random

import msgspec

REGIONS = ("eu", "us", "ap")
SERVICES = ("boards", "runs", "spare")
HOMES = (["eu"], ["us"], ["eu", "us"])
RAMP = 4.0
WIDTH = 32


def config(name: str, rng: random.Random) -> dict:
    """A configuration that may move a route to another service and a tenant to other homes."""
    return {
        "services": {s: {} for s in (*SERVICES, f"note-{name}")},
        "regions": {r: {"zones": [f"{r}-a", f"{r}-b"]} for r in REGIONS},
        "cells": {
            "all": {
                "region": "eu",
                "policy": f"limit 4s; retry 1; ramp {RAMP:.0f}s; width {WIDTH}",
                "tenants": {"overlay": {}, "runner": {"homes": rng.choice(HOMES)}},
            }
        },
        "routes": {
            "rankings": {
                "cell": "all",
                "match": 'method GET and path "/rankings/*"',
                "kind": "read",
                "service": rng.choice(("boards", "boards", "boards", "spare")),
            },
            "submit": {"cell": "all", "match": 'method POST and path "/runs"', "kind": "once", "service": "runs"},
        },
    }


def allows(doc: bytes, tenant: str, target: str, service: str, region: str) -> bool:
    """Worked out by hand for these configurations, apart from the tree and the language under test."""
    d = msgspec.json.decode(doc)
    if not d:
        return False
    route = "submit" if target == "/runs" else "rankings"
    homes = d["cells"]["all"]["tenants"][tenant].get("homes", REGIONS)
    return d["routes"][route]["service"] == service and region in homes
