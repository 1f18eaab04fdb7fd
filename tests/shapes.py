"""Shapes of test fleets with their configurations and request shares."""

from __future__ import annotations

from mallowvalve.localfleet.fleet import FleetShape, NodePlacement, UpstreamPool

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
        "rankings": {
            "cell": "racing",
            "match": 'method GET and path "/rankings/*"',
            "kind": "read",
            "service": "boards",
        },
        "submit": {"cell": "racing", "match": 'method POST and path "/runs"', "kind": "once", "service": "runs"},
    },
}
SHARES = [["overlay", "GET", "/rankings/{n}", False, 5], ["runner", "POST", "/runs", True, 1]]


def small_shape() -> FleetShape:
    return FleetShape(
        nodes=[NodePlacement("control", zone) for zone in ZONES[::2]]
        + [NodePlacement("directory", zone) for zone in ZONES[:2]]
        + [NodePlacement("proxy", zone) for zone in ZONES[::2]],
        upstreams=[
            UpstreamPool("boards", ["eu/eu-a", "us/us-a"]),
            UpstreamPool("runs", ["eu/eu-a", "eu/eu-b", "us/us-a"]),
        ],
        config=CONFIG,
        shares=SHARES,
        rate=40.0,
        clients=8,
    )


PROXY_ZONES = [ZONES[index % 6] for index in range(12)]


def _routes(cell: str, rows) -> dict:
    return {
        name: {"cell": cell, "match": f'method {method} and path "{path}"', "kind": kind, "service": service}
        for name, method, path, kind, service in rows
    }


def leaderboard_shape() -> FleetShape:
    config = {
        "services": {service: {} for service in ("boards", "runs", "awards", "media")},
        "regions": CONFIG["regions"],
        "cells": {
            "public": {"region": "eu", "tenants": {"overlay": {}}, "policy": "retry 1; limit 4s"},
            "staff": {
                "region": "eu",
                "regions": ["eu", "us"],
                "tenants": {"moderator": {}, "runner": {"homes": ["eu"]}},
            },
        },
        "routes": _routes(
            "public",
            [
                ("rankings", "GET", "/rankings/*", "read", "boards"),
                ("clips", "GET", "/clips/*", "read", "media"),
            ],
        )
        | _routes(
            "staff",
            [
                ("verify", "GET", "/verify/*", "read", "runs"),
                ("award", "POST", "/awards", "once", "awards"),
                ("submit", "POST", "/runs", "once", "runs"),
            ],
        ),
    }
    shares = [
        ["overlay", "GET", "/rankings/{n}", False, 70],
        ["overlay", "GET", "/clips/{n}", False, 15],
        ["moderator", "GET", "/verify/{n}", False, 8],
        ["moderator", "POST", "/awards", True, 3],
        ["runner", "POST", "/runs", True, 4],
    ]
    return FleetShape(
        nodes=[NodePlacement("control", zone) for zone in ZONES]
        + [NodePlacement("directory", zone) for zone in ZONES[::2]]
        + [NodePlacement("proxy", zone) for zone in PROXY_ZONES[:9]],
        upstreams=[UpstreamPool(service, PROXY_ZONES) for service in config["services"]],
        config=config,
        shares=shares,
        rate=400.0,
        clients=60,
    )


def shop_shape() -> FleetShape:
    config = {
        "services": {service: {} for service in ("stock", "prices", "orders", "catalogue")},
        "regions": CONFIG["regions"],
        "cells": {
            "shops": {
                "region": "eu",
                "tenants": {"counter": {}, "owner": {"homes": ["eu", "us"]}},
                "policy": "limit 4s",
            },
            "dealers": {"region": "us", "tenants": {"sync": {"homes": ["us"]}}, "policy": "limit 4s; queue 16"},
        },
        "routes": _routes(
            "shops",
            [
                ("stock", "GET", "/stock/*", "read", "stock"),
                ("prices", "GET", "/prices/*", "read", "prices"),
                ("order", "POST", "/orders", "once", "orders"),
                ("claim", "POST", "/claims", "once", "orders"),
            ],
        )
        | _routes("dealers", [("catalogue", "GET", "/catalogue/*", "read", "catalogue")]),
    }
    shares = [
        ["counter", "GET", "/stock/{n}", False, 45],
        ["counter", "GET", "/prices/{n}", False, 35],
        ["owner", "POST", "/orders", True, 8],
        ["owner", "POST", "/claims", True, 2],
        ["sync", "GET", "/catalogue/{n}", False, 10],
    ]
    pools = [
        UpstreamPool("stock", PROXY_ZONES + ZONES[:1]),
        UpstreamPool("prices", PROXY_ZONES + ZONES[1:2]),
        UpstreamPool("orders", PROXY_ZONES + ZONES[2:4]),
        UpstreamPool("catalogue", PROXY_ZONES + ZONES[4:5]),
    ]
    return FleetShape(
        nodes=[NodePlacement("control", zone) for zone in ZONES]
        + [NodePlacement("directory", zone) for zone in ZONES[::2]]
        + [NodePlacement("proxy", zone) for zone in PROXY_ZONES],
        upstreams=pools,
        config=config,
        shares=shares,
        rate=350.0,
        clients=60,
    )
