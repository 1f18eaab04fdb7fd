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
from result import Ok

from mallowvalve import web
from mallowvalve.beat.hear import Hear, Heard
from mallowvalve.beat.roll import Roll, Rolled
from mallowvalve.bond.detector import Bond
from mallowvalve.bond.share import batches
from mallowvalve.bond.wire import Ping, Tell
from mallowvalve.bond.wire import decode as bond_decode
from mallowvalve.bond.wire import encode as bond_encode
from mallowvalve.claim.ledger import Claim
from mallowvalve.count import Counts
from mallowvalve.flow.host import Hosts, Spot
from mallowvalve.flow.reader import Reader
from mallowvalve.flow.steps import Answer, Ask, Exchange, Open
from mallowvalve.flow.tries import Tries
from mallowvalve.head import read_head
from mallowvalve.law import wire
from mallowvalve.law.beathttp import Beats
from mallowvalve.law.cut import Loader, cut_settings, load
from mallowvalve.law.echo import Echo
from mallowvalve.law.state import Change, Enrol, Evacuate, Seat, State, encode
from mallowvalve.law.wire import Fed
from mallowvalve.params import check
from mallowvalve.tie.state import Lock
from mallowvalve.tree.build import build
from mallowvalve.tree.items import Amend
from mallowvalve.vote.wire import COMMAND, Entry
from sim.measure import kept, spent
from sim.queueing import queue
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
    bond,
    decoded,
    doc,
    item,
    items,
    record,
    roll,
    sizes,
    upstream,
    voters,
)


def memory(part: float) -> None:
    """Bytes kept a thing, in the node's own structures; spots are a proxy's own, beside the roll's rows."""
    ups = list(roll(int(UPSTREAMS * part)).rows.values())
    for what, make, n in (
        ("services and route items", items, ROUTES),
        ("roll rows", roll, UPSTREAMS),
        ("membership", bond, NODES),
        ("board rows", board, UPSTREAMS),
        ("spots", lambda m: [Spot(u) for u in ups[:m]], UPSTREAMS),
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


def echo_of(rows: int, routes: int) -> Echo:
    e = Echo(addr(9), BOOT, "flow", at(9), lambda r: None)
    s = State(GROUP.generation)
    s.items, s.roll = items(routes), roll(rows)
    e.group, e.voters, e.state = GROUP, voters(), s
    return e


def change(part: float) -> None:
    """Processor time that one change takes at one echo, decoding it included."""
    for p in (part / 10, part):
        e = echo_of(int(UPSTREAMS * p), int(ROUTES * p))
        kinds = {
            "a new upstream": lambda i: Rolled([upstream(1_000_000 + i)]),
            "one silent": lambda i: Rolled([msgspec.structs.replace(upstream(i), state="silent")]),
            "one route": lambda i: Amend([item(i % max(1, int(ROUTES * p)), 8 + i)]),
            "an evacuation": lambda i: Evacuate("region-00-a", i % 2 == 0),
            "a seat": lambda i: Enrol(addr(i), BOOT + i, at(i)),
        }
        for what, make in kinds.items():
            click.echo(
                f"change  {what:14} over {int(UPSTREAMS * p)} rows, {int(ROUTES * p)} routes: {_take_in(e, make)}"
            )


def _take_in(e: Echo, make) -> str:
    n = [0]

    def one() -> None:
        n[0] += 1
        i = e.state.index + 1
        f = Fed(addr(1), GROUP, False, [Entry(i, 12, COMMAND, i, encode(make(n[0])))], i, 0, -1.0, e.voters)
        data = wire.encode(f)
        t = time.process_time()
        e.fed(wire.fed(data), 0.0)
        took.append(time.process_time() - t)

    took: list[float] = []
    while sum(took) < 0.2 and len(took) < 2000:
        one()
    took.sort()
    return f"{took[len(took) // 2] * 1e6:.0f} us"


def tree(part: float) -> None:
    """A change of the tree: the whole document travels, and each echo builds it anew; each seat does so too."""
    for p in (part / 100, part / 10, part):
        d = msgspec.json.encode(doc(int(ROUTES * p), int(TENANTS * p), SERVICES))
        n = len(encode(Change(None, d)))
        first, again = (spent(lambda: build(msgspec.json.decode(d)).unwrap(), 0.0001) for _ in range(2))
        click.echo(
            f"tree    {int(ROUTES * p):7} routes, {int(TENANTS * p):7} tenants: {n / 1e6:6.2f} MB a change, "
            f"built in {first * 1e3:.0f} ms, once more in {again * 1e3:.0f} ms"
        )


def picture(part: float) -> None:
    """The settings part of a state, given out and taken in whole."""
    for p in (part / 10, part):
        e = echo_of(int(UPSTREAMS * p), int(ROUTES * p))
        pieces = list(cut_settings(e.state))
        w = Loader()
        steps = [spent(lambda: w.feed(x).unwrap(), 1e-9) for x in pieces]
        out, back = spent(lambda: list(cut_settings(e.state)), 0.01), spent(lambda: load(pieces), 0.01)
        swept = spent(gc.collect, 0.01)
        click.echo(
            f"picture {int(ROUTES * p)} routes, {int(UPSTREAMS * p)} rows: {sum(map(len, pieces)) / 1e6:.1f} MB in {len(pieces)} pieces, "
            f"out {out * 1e3:.0f} ms, in {back * 1e3:.0f} ms, the longest piece {max(steps) * 1e3:.0f} ms; "
            f"the collector's full sweep over such a state {swept * 1e3:.0f} ms"
        )


def leader(part: float) -> None:
    """What a leader that feeds every echo itself spends: at rest a second, and a change."""
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
                f"leader  {n:5} echoes, {batch:3} wants a turn: at rest {rest * 1e3:7.1f} ms a second, {bytes_ / 1e6:.3f} MB/s; "
                f"a change {one * 1e3:7.1f} ms, {led.sent / 1e6:.3f} MB{'' if got else ' (unanswered)'}"
            )


def members(part: float) -> None:
    """The detector, nobody failed: a period's ping; one difference found and mended; a joiner's first full view; own news."""
    for n in sorted({15, 82, 500, int(NODES * part)}):
        a, b = bond(n), bond(n)
        b.me = record(1)
        for x, y in ((b, a), (a, b)):
            for r in (x.me, y.me):
                if r.addr in x.view:
                    x._drop(r.addr)
            x._digest.put(x.me)
            x._accept(y.me, 0.0, "")
        a._start, a._born, b._start = 0.0, 0.0, 0.0
        rest = _exchange(a, b, 10 * a.period)
        a._accept(msgspec.structs.replace(a.view[addr(7)], incarnation=4, ready=False), 20.0, "")
        mend = _exchange(a, b, 20 * a.period)
        same = a._digest.total == b._digest.total
        full = [len(bond_encode(m)) for rs in batches([b.me, *b.view.values()]) for m in [Tell(b._head(), rs)]]
        t = time.process_time()
        bond(n)
        cpu = time.process_time() - t
        news = [len(bond_encode(m)) for _, m in a.ready(False)]
        click.echo(
            f"members {n:5} nodes: a period {rest[0]} datagrams, {rest[1]} B; a difference {mend[0] - rest[0]} more, {mend[1] - rest[1]} B"
            f"{'' if same else ' (not mended)'}; a full view {len(full)}, {sum(full) / 1e3:.1f} KB, taken in {cpu * 1e3:.0f} ms; "
            f"own news {len(news)}, {sum(news) / 1e3:.1f} KB"
        )


def _exchange(a: Bond, b: Bond, now: float) -> tuple[int, int]:
    """One ping of `a`, as if it had drawn `b`, and all that follows from it: datagrams and bytes of both."""
    a._start, a._target, a._acked, a._join_at, b._join_at = now, a.view[b.me.addr], False, None, None
    way, to, back = [Ping(a._head(), a.me.addr, b.me.addr, a.pr, a._digest.total)], b, a
    count, size = 0, 0
    while way:
        count, size = count + len(way), size + sum(len(bond_encode(m)) for m in way)
        way = [x for m in way for at, x in to.receive(bond_decode(bond_encode(m)), now) if at == back.me.addr]
        to, back = back, to
    return count, size


def hear(part: float) -> None:
    """Beats at a core machine: one call up to the socket, one machine's report, and what the leader does with them."""
    for n in (int(UPSTREAMS * part / 100), int(UPSTREAMS * part / 10), int(UPSTREAMS * part)):
        r, lead, mine = roll(n), Hear(), Hear()
        call = _call(mine, r, bond(int(NODES * part)))
        one = spent(call, 0.1)
        for i in range(0, n, 13):
            mine.beat(upstream(i), r, 86_400_000, 1.0)
        heard = mine.report(0.0, 1.5)
        told = spent(lambda: lead.told(heard, 1.5), 0.05)
        lead.told([Heard(i, 0) for i in r.rows], 9.0)
        judged = spent(lambda: _judge(lead, r), 0.05)
        click.echo(
            f"hear    {n:6} upstreams: {one * 1e6:5.0f} us a beat; a report of {len(heard)} is {len(encode(heard)) / 1e3:.1f} KB, "
            f"taken in {told * 1e3:.2f} ms; judged in {judged * 1e3:.1f} ms"
        )


def _judge(h: Hear, r: Roll) -> None:
    h._led, h._judged = 0.0, 9.0
    h.judge(r, 10.0)


def _call(h: Hear, r: Roll, b: Bond) -> Callable[[], object]:
    """A beat as it comes from the HTTP server to the product's page, of an upstream that is known."""
    node = SimpleNamespace(
        params=SimpleNamespace(zones={}), counts=Counts(), bond=SimpleNamespace(alive=b.alive, bond=b)
    )
    page = Beats(SimpleNamespace(node=node), SimpleNamespace(beat=lambda u: h.beat(u, r, 86_400_000, 1.0) is None))
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
            raise SystemExit(f"a beat was answered {said} {answer}")

    return one


def pick(part: float) -> None:
    """A proxy's choice for one request, and what a change of the roll and of the roster costs it."""
    for p in (part / 100, part / 10, part):
        n, m, k = int(UPSTREAMS * p), max(1, int(SERVICES * p)), int(NODES * p)
        e, b = echo_of(n, 0), board(n)
        e.state.params.roster = {str(addr(i)): Seat(BOOT + i, at(i)) for i in range(k)}
        e.state.params.revision, e.state.clock = 1, 90_000_000
        item = e.state.items.services["service-0001"]
        settings = {"name": "x", "locality": str(at(9)), "mesh": "10.0.0.9:1", "web": "10.0.0.9:2"}
        h = Hosts(e, check("flow", settings).unwrap(), random.Random(1), lambda: 1.0)
        spot = h.pick("service-0001", [], set(), 1.0)[0]
        one = spent(lambda: h.pick("service-0001", [], set(), 1.0), 0.1)
        old = spent(lambda: b.usable("service-0001", 1.0), 0.1)
        anew = spent(lambda: h._rebuild(e.state.roll, 0, 1.0), 0.1)
        turns = spent(lambda: (setattr(spot, "cold_at", (-1, -1)), h._turns(spot, item)), 0.1)
        click.echo(
            f"pick    {n:6} upstreams, {k} proxies: {one * 1e6:.0f} us a choice ({old * 1e6:.0f} from the board); "
            f"a roll change {anew * 1e3:.2f} ms; a roster change {turns * 1e3:.2f} ms for each cold upstream"
        )


HEAD = (
    b"GET /p1001/ HTTP/1.1\r\nHost: h00001.example\r\nUser-Agent: consumer/1.0\r\nAccept: */*\r\nMallow-Ask: 0123456789abcdef\r\n"
    b"Mallow-Limit: 1500\r\nAccept-Encoding: gzip\r\n"
)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 400\r\nMallow-Ask: 0123456789abcdef\r\n"
    b"Mallow-Instance: up-000001\r\nMallow-Usage: 1,0,6\r\n\r\n" + b"x" * 400
)


class Kept:
    """A session that is open already."""

    def __init__(self, up):
        self.beat, self.since, self.life = up, 0.0, 60.0

    def stale(self) -> bool:
        return False


def work(part: float) -> None:
    """What a request takes between the sockets: reading its head, finding and judging its way, reading the answer."""
    for p in (part / 100, part):
        e = echo_of(int(UPSTREAMS * p) + SERVICES, int(ROUTES * p) + 4)
        e.state.clock = 90_000_000
        r = next(r for r in e.state.items.routes.values() if r.kind == "read")
        head = HEAD.replace(b"/p1001/", r.prefix.encode()).replace(b"h00001.example", r.host.encode())
        settings = {"name": "x", "locality": str(at(9)), "mesh": "10.0.0.9:1", "web": "10.0.0.9:2", "serve_on": True}
        params = check("flow", settings).unwrap()
        h = Hosts(e, params, random.Random(1), lambda: 1.0)
        tries = Tries(e, h, params, Counts(), lambda: 1.0, random.Random(1))
        one = spent(lambda: _request(tries, head), 0.5)
        click.echo(
            f"work    {len(e.state.items.routes)} routes, {len(h.spots)} upstreams: {one * 1e6:.0f} us a request between the sockets"
        )


def _request(tries: Tries, head: bytes) -> None:
    h = read_head(head)
    steps, got = tries.carry(Ask(h.method, h.target, h.said, "", h.length, h.pairs)), None
    try:
        while True:
            match steps.send(got):
                case Open() as s:
                    got = Ok(Kept(s.beat))
                case Exchange() as s:
                    r = Reader(s.method, "mallow-ask", s.ask)
                    r.take(ANSWER)
                    got = Ok(Answer(r.status, r.headers, bytes(r.body), len(r.body), None, r.keep, r.said))
    except StopIteration as e:
        if e.value.status != 200:
            raise SystemExit(f"a request ended in {e.value}") from None


PARTS = {f.__name__: f for f in (memory, change, tree, picture, leader, log, hear, members, pick, work, queue)}


@click.command()
@click.argument("parts", nargs=-1)
@click.option("--part", default=1.0, help="the target's sizes times this")
def main(parts: tuple[str, ...], part: float) -> None:
    """Prints encoded sizes, then the PARTS named (all of them by default): memory, change, tree, picture, leader, log, hear, members, pick, work, queue."""
    click.echo(f"python {sys.version.split()[0]}")
    click.echo(json.dumps(sizes(), indent=1))
    for name in parts or PARTS:
        PARTS[name](part)


if __name__ == "__main__":
    main()
