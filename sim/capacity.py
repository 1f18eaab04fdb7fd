"""What a node, an upstream, a route, a tenant and a change cost in bytes, memory and processor time, on this code."""

from __future__ import annotations

import gc
import json
import random
import sys
import time
from collections.abc import Callable
from types import SimpleNamespace

import click
import msgspec
from falcon.testing import create_environ

from mallowvalve import web
from mallowvalve.configuration.build import build
from mallowvalve.configuration.items import Amend
from mallowvalve.control import wire
from mallowvalve.control.http_upstreams import UpstreamResource
from mallowvalve.control.replica import Replica
from mallowvalve.control.snapshot import SnapshotLoader, decode_snapshot, encode_settings_pieces
from mallowvalve.control.state import Change, Enrol, Evacuate, ReplicatedState, Seat, encode
from mallowvalve.control.wire import ReplicationResponse
from mallowvalve.coordination.state import Lock
from mallowvalve.ledger.ledger import Claim
from mallowvalve.membership.detector import Membership
from mallowvalve.membership.dissemination import record_batches
from mallowvalve.membership.wire import Ping, Tell
from mallowvalve.membership.wire import decode as membership_decode
from mallowvalve.membership.wire import encode as membership_encode
from mallowvalve.metrics import Counts
from mallowvalve.proxy.host_forwarder import HostForwarder
from mallowvalve.proxy.host_upstreams import HostUpstreams, UpstreamState
from mallowvalve.raft.messages import COMMAND, Entry
from mallowvalve.settings import check
from mallowvalve.upstreams.liveness import HeardInstance, LivenessTracker
from mallowvalve.upstreams.registry import Registered, Registry
from sim.measure import kept, spent
from sim.queueing import queue
from sim.request_cost import HEAD, carry_one
from sim.target import (
    BOOT,
    GROUP,
    NODES,
    ROUTES,
    SERVICES,
    TENANTS,
    UPSTREAMS,
    Led,
    addr,
    at,
    board,
    decoded,
    doc,
    item,
    items,
    membership,
    record,
    registry,
    sizes,
    upstream,
    voters,
)


def memory(part: float) -> None:
    """Bytes kept a thing, in the node's own structures; spots are a proxy's own, beside the registry's rows."""
    ups = list(registry(int(UPSTREAMS * part)).rows.values())
    for what, make, n in (
        ("services and route items", items, ROUTES),
        ("registry rows", registry, UPSTREAMS),
        ("membership", membership, NODES),
        ("board rows", board, UPSTREAMS),
        ("spots", lambda m: [UpstreamState(u) for u in ups[:m]], UPSTREAMS),
        ("seats", seats, NODES),
    ):
        for m in (int(n * part / 10), int(n * part)):
            _, b = kept(lambda: make(m))
            click.echo(f"memory  {what:24} {m:7}  {b / m:7.0f} B each  {b / 1e6:8.1f} MB")
    for r, t in ((int(ROUTES * part), 0), (1000, int(TENANTS * part))):
        d = msgspec.json.encode(doc(r, t, SERVICES))
        _, b = kept(lambda: build(msgspec.json.decode(d)).unwrap())
        click.echo(
            f"memory  tree         {r:7} routes, {t} tenants: {b / max(r, t):.0f} B each, {b / 1e6:.1f} MB; document {len(d) / 1e6:.1f} MB"
        )


def seats(n: int) -> dict[str, Seat]:
    return {str(addr(i)): decoded(Seat, Seat(BOOT + i, at(i))) for i in range(n)}


def log(part: float) -> None:
    """Commands through the log of a leader without disk or followers, a hundred a turn: processor time of one."""
    led = Led(0, 512)
    makes = {
        "a claim": lambda i: Claim(f"tenant\0{i:032x}", f"{i:032x}", "10.0.0.9:7620#3141592653589793", f"{i:032x}"),
        "a lock": lambda i: Lock(f"lock-{i % 1000}", f"holder-{i}", 5000, f"ask-{i}"),
        "a seat": lambda i: Enrol(addr(i % 100), BOOT + i, at(i)),
    }
    for what, make in makes.items():
        t, n = time.process_time(), int(5000 * part) + 100
        for i in range(n):
            led.c.propose(encode(make(i)), i, led.now + 60, led.now)
            if i % 100 == 99:
                led.step()
        click.echo(f"log     {what}: {(time.process_time() - t) / n * 1e6:.0f} us")


def replica_of(rows: int, routes: int) -> Replica:
    e = Replica(addr(9), BOOT, "proxy", at(9), lambda r: None)
    s = ReplicatedState(GROUP.generation)
    s.items, s.registry = items(routes), registry(rows)
    e.group, e.voters, e.state = GROUP, voters(), s
    return e


def change(part: float) -> None:
    """Processor time that one change takes at one replica, decoding it included."""
    for p in (part / 10, part):
        e = replica_of(int(UPSTREAMS * p), int(ROUTES * p))
        kinds = {
            "a new upstream": lambda i: Registered([upstream(1_000_000 + i)]),
            "one silent": lambda i: Registered([msgspec.structs.replace(upstream(i), state="silent")]),
            "one route": lambda i: Amend([item(i % max(1, int(ROUTES * p)), 8 + i)]),
            "an evacuation": lambda i: Evacuate("region-00-a", i % 2 == 0),
            "a seat": lambda i: Enrol(addr(i), BOOT + i, at(i)),
        }
        for what, make in kinds.items():
            click.echo(
                f"change  {what:14} over {int(UPSTREAMS * p)} rows, {int(ROUTES * p)} routes: {_take_in(e, make)}"
            )


def _take_in(e: Replica, make) -> str:
    n = [0]

    def one() -> None:
        n[0] += 1
        i = e.state.index + 1
        f = ReplicationResponse(
            addr(1), GROUP, False, [Entry(i, 12, COMMAND, i, encode(make(n[0])))], i, 0, -1.0, e.voters
        )
        data = wire.encode(f)
        t = time.process_time()
        e.receive_response(wire.decode_replication_response(data), 0.0)
        took.append(time.process_time() - t)

    took: list[float] = []
    while sum(took) < 0.2 and len(took) < 2000:
        one()
    took.sort()
    return f"{took[len(took) // 2] * 1e6:.0f} us"


def tree(part: float) -> None:
    """A change of the tree: the whole document travels, and each replica builds it anew; each seat does so too."""
    for p in (part / 100, part / 10, part):
        d = msgspec.json.encode(doc(int(ROUTES * p), int(TENANTS * p), SERVICES))
        n = len(encode(Change(None, d)))
        first, again = (spent(lambda: build(msgspec.json.decode(d)).unwrap(), 0.0001) for _ in range(2))
        click.echo(
            f"tree    {int(ROUTES * p):7} routes, {int(TENANTS * p):7} tenants: {n / 1e6:6.2f} MB a change, "
            f"built in {first * 1e3:.0f} ms, once more in {again * 1e3:.0f} ms"
        )


def snapshot(part: float) -> None:
    """The settings part of a state, given out and taken in whole."""
    for p in (part / 10, part):
        e = replica_of(int(UPSTREAMS * p), int(ROUTES * p))
        pieces = list(encode_settings_pieces(e.state))
        w = SnapshotLoader()
        steps = [spent(lambda: w.feed(x).unwrap(), 1e-9) for x in pieces]
        out, back = (
            spent(lambda: list(encode_settings_pieces(e.state)), 0.01),
            spent(lambda: decode_snapshot(pieces), 0.01),
        )
        swept = spent(gc.collect, 0.01)
        click.echo(
            f"snapshot {int(ROUTES * p)} routes, {int(UPSTREAMS * p)} rows: {sum(map(len, pieces)) / 1e6:.1f} MB in {len(pieces)} pieces, "
            f"out {out * 1e3:.0f} ms, in {back * 1e3:.0f} ms, the longest piece {max(steps) * 1e3:.0f} ms; "
            f"the collector's full sweep over such a state {swept * 1e3:.0f} ms"
        )


def leader(part: float) -> None:
    """What a leader that feeds every replica itself spends: at rest a second, and a change."""
    for n in (int(NODES * part / 50), int(NODES * part / 5), int(NODES * part)):
        for batch in (512, 32):
            led = Led(n, batch)
            everyone = list(led.wants)
            for _ in range(2):
                led.ask(everyone)
            led.now += 1.1
            led.sent, t = 0, time.process_time()
            led.answer(led.step())
            led.ask(everyone)
            rest, bytes_ = time.process_time() - t, led.sent
            led.sent, t = 0, time.process_time()
            got = led.change(1, led.now + 60) + led.ask(everyone)
            one = time.process_time() - t
            click.echo(
                f"leader  {n:5} replicas, {batch:3} wants a turn: at rest {rest * 1e3:7.1f} ms a second, {bytes_ / 1e6:.3f} MB/s; "
                f"a change {one * 1e3:7.1f} ms, {led.sent / 1e6:.3f} MB{'' if got else ' (unanswered)'}"
            )


def members(part: float) -> None:
    """The detector, nobody failed: a period's ping; one difference found and mended; a joiner's first full view; own news."""
    for n in sorted({15, 82, 500, int(NODES * part)}):
        a, b = membership(n), membership(n)
        b.me = record(1)
        for x, y in ((b, a), (a, b)):
            for r in (x.me, y.me):
                if r.addr in x.view:
                    x._drop(r.addr)
            x._digest.put(x.me)
            x._apply_record(y.me, 0.0, "")
        a._period_start, a._started_at, b._period_start = 0.0, 0.0, 0.0
        rest = _exchange(a, b, 10 * a.period)
        a._apply_record(msgspec.structs.replace(a.view[addr(7)], incarnation=4, ready=False), 20.0, "")
        mend = _exchange(a, b, 20 * a.period)
        same = a._digest.total == b._digest.total
        full = [
            len(membership_encode(m))
            for rs in record_batches([b.me, *b.view.values()])
            for m in [Tell(b._header(), rs)]
        ]
        t = time.process_time()
        membership(n)
        cpu = time.process_time() - t
        news = [len(membership_encode(m)) for _, m in a.ready(False)]
        click.echo(
            f"members {n:5} nodes: a period {rest[0]} datagrams, {rest[1]} B; a difference {mend[0] - rest[0]} more, {mend[1] - rest[1]} B"
            f"{'' if same else ' (not mended)'}; a full view {len(full)}, {sum(full) / 1e3:.1f} KB, taken in {cpu * 1e3:.0f} ms; "
            f"own news {len(news)}, {sum(news) / 1e3:.1f} KB"
        )


def _exchange(a: Membership, b: Membership, now: float) -> tuple[int, int]:
    """One ping of `a`, as if it had chosen `b`, and all that follows from it: datagrams and bytes of both."""
    a._period_start, a._join_at, b._join_at = now, None, None
    directory, to, back = [Ping(a._header(), a.me.addr, b.me.addr, a.period_number, a._digest.total)], b, a
    count, size = 0, 0
    while directory:
        count, size = count + len(directory), size + sum(len(membership_encode(m)) for m in directory)
        directory = [
            x
            for m in directory
            for at, x in to.receive(membership_decode(membership_encode(m)), now)
            if at == back.me.addr
        ]
        to, back = back, to
    return count, size


def liveness(part: float) -> None:
    """Heartbeats at a core machine: one call up to the socket, one machine's report, and what the leader does with them."""
    for n in (int(UPSTREAMS * part / 100), int(UPSTREAMS * part / 10), int(UPSTREAMS * part)):
        r, lead, mine = registry(n), LivenessTracker(), LivenessTracker()
        call = _call(mine, r, membership(int(NODES * part)))
        one = spent(call, 0.1)
        for i in range(0, n, 13):
            mine.observe(upstream(i), r, 86_400_000, 1.0)
        heard = mine.report(0.0, 1.5)
        told = spent(lambda: lead.merge_report(heard, 1.5), 0.05)
        lead.merge_report([HeardInstance(i, 0) for i in r.rows], 9.0)
        judged = spent(lambda: _judge(lead, r), 0.05)
        click.echo(
            f"hear    {n:6} upstreams: {one * 1e6:5.0f} us a heartbeat; a report of {len(heard)} is {len(encode(heard)) / 1e3:.1f} KB, "
            f"taken in {told * 1e3:.2f} ms; judged in {judged * 1e3:.1f} ms"
        )


def _judge(h: LivenessTracker, r: Registry) -> None:
    h._led, h._judged = 0.0, 9.0
    h.detect_silent(r, 10.0)


def _call(h: LivenessTracker, r: Registry, b: Membership) -> Callable[[], object]:
    """A heartbeat as it comes from the HTTP server to the product's page, of an upstream that is known."""
    node = SimpleNamespace(
        settings=SimpleNamespace(zones={}), counts=Counts(), membership=SimpleNamespace(alive=b.alive, membership=b)
    )
    page = UpstreamResource(
        SimpleNamespace(node=node), SimpleNamespace(heartbeat=lambda u: h.observe(u, r, 86_400_000, 1.0) is None)
    )
    app = web.make_app()
    app.add_route("/upstreams/{instance}", page)
    u = upstream(1)
    body = msgspec.json.encode(
        {
            "service": u.service,
            "address": str(u.address),
            "zone": str(u.locality),
            "slots": 6,
            "state": "ready",
            "sequence": 1,
            "cold_ms": 0,
        }
    )

    def one() -> None:
        env = create_environ("/upstreams/up-000001", method="PUT", body=body)
        said: list[str] = []
        answer = b"".join(app(env, lambda status, headers: said.append(status)))
        if said != ["200 OK"]:
            raise SystemExit(f"a heartbeat was answered {said} {answer}")

    return one


def pick(part: float) -> None:
    """A proxy's choice for one request, and what a change of the registry and of the roster costs it."""
    for p in (part / 100, part / 10, part):
        n, k = int(UPSTREAMS * p), int(NODES * p)
        e, b = replica_of(n, 0), board(n)
        e.state.settings.roster = {str(addr(i)): Seat(BOOT + i, at(i)) for i in range(k)}
        e.state.settings.revision, e.state.clock = 1, 90_000_000
        item = e.state.items.services["service-0001"]
        settings = {"name": "x", "locality": str(at(9)), "transport": "10.0.0.9:1", "web": "10.0.0.9:2"}
        h = HostUpstreams(e, check("proxy", settings).unwrap(), random.Random(1), lambda: 1.0)
        spot = h.pick("service-0001", [], set(), 1.0)[0]
        one = spent(lambda: h.pick("service-0001", [], set(), 1.0), 0.1)
        old = spent(lambda: b.usable("service-0001", 1.0), 0.1)
        anew = spent(lambda: h._rebuild(e.state.registry, 0, 1.0), 0.1)
        turns = spent(lambda: (setattr(spot, "cold_senders_version", (-1, -1)), h._cold_senders(spot, item)), 0.1)
        click.echo(
            f"pick    {n:6} upstreams, {k} proxies: {one * 1e6:.0f} us a choice ({old * 1e6:.0f} from the board); "
            f"a registry change {anew * 1e3:.2f} ms; a roster change {turns * 1e3:.2f} ms for each cold upstream"
        )


def work(part: float) -> None:
    """What a request takes between the sockets: reading its head, finding and judging its way, reading the answer."""
    for p in (part / 100, part):
        e = replica_of(int(UPSTREAMS * p) + SERVICES, int(ROUTES * p) + 4)
        e.state.clock = 90_000_000
        r = next(r for r in e.state.items.routes.values() if r.kind == "read")
        head = HEAD.replace(b"/p1001/", r.prefix.encode()).replace(b"h00001.example", r.host.encode())
        settings = {
            "name": "x",
            "locality": str(at(9)),
            "transport": "10.0.0.9:1",
            "web": "10.0.0.9:2",
            "serve_on": True,
        }
        settings = check("proxy", settings).unwrap()
        h = HostUpstreams(e, settings, random.Random(1), lambda: 1.0)
        tries = HostForwarder(e, h, settings, Counts(), lambda: 1.0, random.Random(1))
        one = spent(lambda: carry_one(tries, head), 0.5)
        click.echo(
            f"work    {len(e.state.items.routes)} routes, {len(h.upstreams)} upstreams: {one * 1e6:.0f} us a request between the sockets"
        )


PARTS = {f.__name__: f for f in (memory, change, tree, snapshot, leader, log, liveness, members, pick, work, queue)}


@click.command()
@click.argument("parts", nargs=-1)
@click.option("--part", default=1.0, help="the target's sizes times this")
def main(parts: tuple[str, ...], part: float) -> None:
    """Prints encoded sizes, then the PARTS named (all of them by default).

    They are: memory, change, tree, snapshot, leader, log, liveness, members, pick, work, queue.
    """
    click.echo(f"python {sys.version.split()[0]}")
    click.echo(json.dumps(sizes(), indent=1))
    for name in parts or PARTS:
        PARTS[name](part)


if __name__ == "__main__":
    main()
