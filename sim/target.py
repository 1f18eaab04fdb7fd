"""The shape of a fleet at the target's size, and the bytes its messages take."""

from __future__ import annotations

import random

import msgspec

from mallowvalve.configuration.items import Amend, HostRoute, Item, Items, ServiceItem, WeightedService
from mallowvalve.control import wire
from mallowvalve.control.core import Core
from mallowvalve.control.snapshot import initial_snapshot
from mallowvalve.control.state import Enrol, Evacuate, ReplicatedState, Seat, Strike, encode
from mallowvalve.control.wire import ReplicationRequest, ReplicationResponse
from mallowvalve.membership.detector import Membership
from mallowvalve.membership.wire import ALIVE, PROTOCOL_VERSION, Ack, DatagramHeader, MemberRecord, Ping, Tell
from mallowvalve.membership.wire import encode as membership_encode
from mallowvalve.raft.messages import COMMAND, ClusterConfiguration, Entry, GroupId
from mallowvalve.transport.frame import TransportFrame, length_prefixed
from mallowvalve.types import Address, Locality
from mallowvalve.upstreams.board import AgedHeartbeat, Heartbeat, HeartbeatTable
from mallowvalve.upstreams.registry import Registered, Registry, Upstream

REGIONS, ZONES = 16, 34
NODES, UPSTREAMS, SERVICES, ROUTES, TENANTS = 5500, 66_000, 3400, 130_000, 370_000
GROUP = GroupId(20_000_000, "0123456789abcdef")
BOOT = 3_141_592_653_589_793


def at(i: int) -> Locality:
    z = i % ZONES
    return Locality(f"region-{z % REGIONS:02d}", f"region-{z % REGIONS:02d}-{'abc'[z // REGIONS]}")


def addr(i: int, port: int = 7620) -> Address:
    return Address(f"10.{i >> 16 & 255}.{i >> 8 & 255}.{i & 255}", port)


def voters() -> ClusterConfiguration:
    return ClusterConfiguration({f"{i:032x}": addr(i) for i in range(5)}, {f"{i:032x}": addr(i) for i in range(5, 13)})


def upstream(i: int) -> Upstream:
    return Upstream(
        f"up-{i:06x}", f"service-{i % SERVICES:04d}", addr(i, 8080), at(i), 6, "ready", 1, 86_400_000, 86_403_000
    )


def registered(i: int) -> Registered:
    return Registered([upstream(i)])


def route(i: int, version: int = 7) -> HostRoute:
    split = [
        WeightedService(f"service-{i % SERVICES:04d}", 90.0),
        WeightedService(f"service-{(i + 1) % SERVICES:04d}", 10.0),
    ]
    one = i % 4
    return HostRoute(
        name=f"r-{i:07x}",
        version=version,
        host=f"h{i % 13_000:05d}.example",
        prefix=f"/p{i // 13_000}{i % 997:03d}/",
        kind="try" if one == 0 else "read",
        limit_ms=1500.0,
        aim_ms=600.0,
        priority=1,
        service=split[0].service if one else None,
        split=[] if one else split,
        tries=2,
        homes=[at(i).region],
    )


def item(i: int, version: int = 7) -> Item:
    r = route(i, version)
    return Item("routes", r.name, version, msgspec.json.encode(r))


def record(i: int) -> MemberRecord:
    return MemberRecord(addr(i), BOOT + i, 3, ALIVE, "proxy", f"edge-{at(i).zone}-{i:04d}", at(i), addr(i, 8641), True)


def heartbeat(i: int) -> Heartbeat:
    u = upstream(i)
    return Heartbeat(u.service, u.instance, BOOT, 12_345, 0.5, "ready", u.locality, u.address)


def doc(routes: int, tenants: int, services: int) -> dict:
    """A tree of this size: twenty routes a cell, tenants spread over the cells."""
    cells = max(1, routes // 20)
    regions = {
        f"region-{r:02d}": {"zones": [str(at(z).zone) for z in range(r, ZONES, REGIONS)]} for r in range(REGIONS)
    }
    return {
        "services": {f"service-{s:04d}": {} for s in range(services)},
        "regions": regions,
        "cells": {
            f"cell-{c:05d}": {
                "region": at(c).region,
                "regions": [at(c).region],
                "tenants": {f"tenant-{t:06d}": {"homes": [at(c).region]} for t in range(c, tenants, cells)},
            }
            for c in range(cells)
        },
        "routes": {
            f"route-{i:06d}": {
                "cell": f"cell-{i % cells:05d}",
                "match": f'method GET and path "/p{i:06d}/*"',
                "kind": "read",
                "service": f"service-{i % services:04d}",
                "order": i // cells,
            }
            for i in range(routes)
        },
    }


def fed(entries: list[Entry], told: ClusterConfiguration | None = None) -> ReplicationResponse:
    """An answer of the leader; the core machines are named only to a replica that may not know them."""
    n = 1_000_000
    return ReplicationResponse(
        addr(1), GROUP, False, entries, n, 20_000_000 << 36 | n, 123456.789, told, 86_400_000, 86_400_100
    )


def want() -> ReplicationRequest:
    return ReplicationRequest(
        addr(9), BOOT, "proxy", at(9), GROUP, 1_000_000, 20_000_000 << 36, 123456.789, "settings", 1.0
    )


def frame(kind: str, body: bytes, answer: bool = False) -> int:
    """The bytes of a frame before its connection's stream compresses it."""
    return len(length_prefixed(TransportFrame(kind, 100_000, answer, body)))


def entry(data: bytes) -> Entry:
    return Entry(1_000_000, 12, COMMAND, 86_400_000, data)


def sizes() -> dict[str, int]:
    """Bytes as encoded; what is "framed" has the transport's own frame, not TCP's and IP's 40 a packet."""
    head = DatagramHeader(PROTOCOL_VERSION, "mallowvalve", addr(1), BOOT, 3)
    idle = frame("want", wire.encode(fed([])), True)

    def more(c) -> int:
        return frame("want", wire.encode(fed([entry(encode(c))])), True) - idle

    return {
        "registry row": len(encode(upstream(65_000))),
        "route item": len(encode(item(129_000))),
        "membership record": len(membership_encode(record(5400))),
        "ping": len(membership_encode(Ping(head, addr(1), addr(2), 9999))),
        "ack": len(membership_encode(Ack(head, addr(1), addr(2), 9999))),
        "tell of one": len(membership_encode(Tell(head, [record(5400)]))),
        "tell of twelve": len(membership_encode(Tell(head, [record(5400 + i) for i in range(12)]))),
        "heartbeat noted, framed": frame("heartbeats", encode([AgedHeartbeat(heartbeat(65_000), 0.0)])),
        "heartbeat digest entry": len(encode({heartbeat(65_000).name: heartbeat(65_000).rank})) - 1,
        "want, framed": frame("want", wire.encode(want())),
        "fed idle, framed": idle,
        "fed more: the core machines": frame("want", wire.encode(fed([], voters())), True) - idle,
        "fed more: one upstream": more(registered(65_000)),
        "fed more: one route": more(Amend([item(129_000)], "operator-1/000123")),
        "fed more: a seat": more(Enrol(addr(9), BOOT, at(9))),
        "fed more: a strike": more(Strike(addr(9), BOOT)),
        "fed more: an evacuation": more(Evacuate("region-00-a", True, "operator-1/000123")),
        "round, framed": frame("round", wire.encode(wire.RevisionQuery(addr(1), 123456.789))),
        "told, framed": frame(
            "round",
            wire.encode(wire.RevisionReply(addr(1), BOOT, 123456.789, GROUP, 20_000_000 << 36, 1_000_000)),
            True,
        ),
        "tree: a route": _doc_more(routes=1000),
        "tree: a tenant": _doc_more(tenants=1000),
    }


def _doc_more(routes: int = 0, tenants: int = 0) -> int:
    few, many = doc(1000, 1000, 100), doc(1000 + routes, 1000 + tenants, 100)
    return (len(msgspec.json.encode(many)) - len(msgspec.json.encode(few))) // 1000


def decoded(kind, x):
    """As it comes off the wire: no text shared with its peers."""
    return msgspec.msgpack.decode(encode(x), type=kind)


def registry(n: int) -> Registry:
    """Laid in row by row: what `apply` takes for each is measured apart."""
    r = Registry()
    for i in range(n):
        u = decoded(Upstream, upstream(i))
        r.rows[u.instance] = u
    return r


def service(i: int) -> Item:
    d = ServiceItem(name=f"service-{i:04d}", version=7, connections=550, cold_s=3.0, cold_per_s=7.3)
    return Item("services", d.name, 7, msgspec.json.encode(d))


def items(n: int) -> Items:
    """All services, and so many routes, taken in by calls of at most 500."""
    x = Items()
    every = [service(i) for i in range(SERVICES)] + [item(i) for i in range(n)]
    for lo in range(0, len(every), 500):
        found = x.apply(decoded(Amend, Amend(every[lo : lo + 500])), lo + 1)
        if found:
            raise ValueError(found[0])
    return x


def membership(n: int) -> Membership:
    b = Membership(record(0), "mallowvalve", [addr(1)], random.Random(1), 1.7178, 30, 0.5)
    head = DatagramHeader(PROTOCOL_VERSION, "mallowvalve", addr(1), BOOT + 1, 3)
    for i in range(1, n):
        b.receive(decoded(Tell, Tell(head, [record(i)])), 0.0)
    return b


def board(n: int) -> HeartbeatTable:
    b = HeartbeatTable()
    for i in range(n):
        b.record(decoded(Heartbeat, heartbeat(i)), 0.0)
    return b


class Led:
    """One leader that is its own quorum, fed wants by so many replicas; no sockets."""

    def __init__(self, n: int, batch: int):
        self.c = Core("a", addr(1), at(1), random.Random(1))
        s = ReplicatedState(GROUP.generation)
        s.settings.roster = {str(addr(i)): Seat(BOOT + i, at(i)) for i in range(100, 100 + n)}
        self.c.start(initial_snapshot(GROUP, ClusterConfiguration({"a": addr(1)}), s), None, [], 0.0, s)
        self.batch, self.now, self.sent, self.fed_entries = batch, 5.0, 0, 0
        self.wants = {
            i: ReplicationRequest(addr(i), BOOT + i, "proxy", at(i), GROUP, 0, 0, 0.0, "settings", 1.0)
            for i in range(100, 100 + n)
        }
        for wait in (0.1, *[0.5] * 6):
            self.step()
            self.now += wait

    def step(self) -> list:
        self.c.tick(self.now)
        r = self.c.ready(self.now)
        self.c.saved(r, self.now)
        out, self.c.replies = self.c.replies, []
        return out

    def ask(self, who: list[int]) -> list:
        """These replicas ask, so many a turn of the leader's loop; what was answered."""
        out = []
        for lo in range(0, len(who), self.batch):
            for i in who[lo : lo + self.batch]:
                self.c.replicate(self.wants[i], i, self.now)
            out += self.answer(self.step())
        return out

    def parked(self) -> int:
        """Replicas whose question waits for news."""
        return len(self.c.parked_requests)

    def change(self, i: int, limit: float) -> list:
        """One change proposed and fed to all whose questions wait; what else was answered."""
        data = encode(registered(i))
        self.c.propose(data, "change", limit, self.now)
        return self.answer(self.step())

    def answer(self, replies: list) -> list:
        done = []
        for token, f in replies:
            if not isinstance(f, ReplicationResponse):
                done.append(token)
                continue
            self.fed_entries += len(f.entries)
            self.sent += len(length_prefixed(TransportFrame("want", 1, True, wire.encode(f))))
            w = self.wants[token]
            self.wants[token] = msgspec.structs.replace(w, index=f.index, revision=f.revision, sent_at=self.now)
        return done
