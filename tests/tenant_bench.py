"""A TenantForwarder over a replica with settings, for the tests of tenants' requests."""

from __future__ import annotations

import random

import msgspec

from mallowvalve.control.replica import Replica
from mallowvalve.control.state import ReplicatedState, Seat
from mallowvalve.metrics import Counts
from mallowvalve.proxy.retry_detector import RetryDetector
from mallowvalve.proxy.tenant_forwarder import TenantForwarder
from mallowvalve.proxy.tenant_upstream_pool import TenantUpstreamPool
from mallowvalve.raft.messages import GroupId
from mallowvalve.types import Address, Locality
from mallowvalve.upstreams.board import Heartbeat, HeartbeatTable

HERE = Locality("eu", "eu-a")
ME = Address("10.0.0.1", 1)
CONFIG = {
    "services": {"s": {}, "other": {}},
    "regions": {"eu": {"zones": ["eu-a", "eu-b"]}, "us": {"zones": ["us-a"]}},
    "cells": {"c": {"region": "eu", "tenants": {"t": {}, "home": {"homes": ["eu"]}}}},
    "routes": {
        "r": {"cell": "c", "match": 'method GET, HEAD and path "/r/*"', "kind": "read", "service": "s"},
        "o": {"cell": "c", "match": 'method POST and path "/o"', "kind": "once", "service": "s"},
    },
}


class TenantBench:
    """A TenantForwarder over a replica in the roster, with a clock and settings that the test sets."""

    def __init__(self, now=lambda: 0.0, config=CONFIG):
        self.replica = Replica(ME, 7, "proxy", HERE, lambda r: None)
        self.replica.group, self.replica.state = GroupId(1, "g"), ReplicatedState(1)
        self.replica.state.settings.roster = {str(ME): Seat(7, HERE)}
        self.board, self.counts = HeartbeatTable(), Counts()
        self.pool = TenantUpstreamPool(self.board, self.replica, HERE, random.Random(1), now)
        self.now = now
        self.forwarder = TenantForwarder(
            self.replica, self.pool, RetryDetector(), self.counts, now, HERE, "me#7", lambda: "n1"
        )
        self.apply(config)
        self.confirm_settings()

    def apply(self, config: dict) -> None:
        current = self.replica.state.settings
        current.doc, current.revision = msgspec.json.encode(config), current.revision + 1
        self.replica._update_tree()

    def confirm_settings(self, at: float | None = None) -> None:
        self.replica._confirmed_at = self.now() if at is None else at

    def upstream(self, n=0, service="s", at=HERE, port=100, incarnation=1, state="ready", sequence=1) -> Heartbeat:
        heartbeat = Heartbeat(service, f"u{n}", incarnation, sequence, 0.0, state, at, Address("127.0.0.1", port))
        self.board.record(heartbeat, self.now())
        return heartbeat
