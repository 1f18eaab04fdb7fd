"""Random configurations for the simulated fleet, and which service and regions they allow for a request."""

from __future__ import annotations

import random

import msgspec

REGIONS = ("eu", "us", "ap")
SERVICES = ("boards", "runs", "spare")
HOMES = (["eu"], ["us"], ["eu", "us"])
RAMP_S = 4.0
WIDTH = 32


def config(name: str, rng: random.Random) -> dict:
    """Returns a configuration whose read route and tenant homes are random."""
    return {
        "services": {s: {} for s in (*SERVICES, f"note-{name}")},
        "regions": {r: {"zones": [f"{r}-a", f"{r}-b"]} for r in REGIONS},
        "cells": {
            "all": {
                "region": "eu",
                "policy": f"limit 4s; retry 1; ramp {RAMP_S:.0f}s; width {WIDTH}",
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
    """Whether a configuration allows a request at a service and region.

    Written for these configurations alone, independent of the routing tree and the match language under test.
    """
    configuration = msgspec.json.decode(doc)
    if not configuration:
        return False
    route = "submit" if target == "/runs" else "rankings"
    homes = configuration["cells"]["all"]["tenants"][tenant].get("homes", REGIONS)
    return configuration["routes"][route]["service"] == service and region in homes
