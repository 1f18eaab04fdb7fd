"""What membership costs a node in groups of many sizes: bytes and processor, without sockets, in simulated time."""

from __future__ import annotations

import random
import time
import tracemalloc

import click
import msgspec

from mallowvalve.membership import formula
from mallowvalve.membership.detector import Membership
from mallowvalve.membership.wire import (
    ALIVE,
    FAILED,
    PROTOCOL_VERSION,
    DatagramHeader,
    MemberRecord,
    Tell,
    decode,
    encode,
)
from mallowvalve.types import Address
from sim.fleet import ZONES
from sim.members import ASSUMED, DETECT, MISTAKE, ROUND_TRIP, UDP
from sim.world import SimulatedNode, World


def address(i: int) -> Address:
    return Address(f"10.{i >> 16 & 255}.{i >> 8 & 255}.{i & 255}", 7620)


def record(i: int, boot: int) -> MemberRecord:
    a, z = address(i + 1), ZONES[i % 6]
    return MemberRecord(
        a, boot, 1, ALIVE, "proxy" if i % 5 else "control", f"{z.zone}-edge-{i}", z, Address(a.host, 8080), True
    )


class Mote(SimulatedNode):
    """A member; adds up what it sends and the processor its machine and coding take."""

    def __init__(self, crowd: Crowd, me: MemberRecord, seeds: list[Address], start: float):
        super().__init__(crowd.world, me.addr)
        self.crowd = crowd
        self.membership = Membership(
            me,
            "mallowvalve",
            seeds,
            random.Random(crowd.rng.random()),
            formula.period(DETECT, ASSUMED),
            formula.helpers(MISTAKE, ASSUMED, ASSUMED),
            ROUND_TRIP,
        )
        self.sent = self.bytes = 0
        self._armed = self.now + start
        self.wake(start, self._tick)

    def handle(self, kind, src, body, answer) -> None:
        t = time.process_time_ns()
        out = self._coded(self.membership.receive(decode(body), self.now))
        self.crowd.spent += time.process_time_ns() - t
        self._emit(out)
        if self.membership.period_number and self.membership.timer() < self._armed:
            self._arm()

    def _tick(self) -> None:
        if self.now < self._armed - 1e-9:
            return
        t = time.process_time_ns()
        out = self._coded(self.membership.tick(self.now))
        self.crowd.spent += time.process_time_ns() - t
        self._emit(out)
        self._arm()

    def _coded(self, out: list) -> list:
        return [(to, type(m).__name__, encode(m)) for to, m in out]

    def _emit(self, out: list) -> None:
        for to, kind, data in out:
            n = len(data) + UDP
            self.crowd.largest = max(self.crowd.largest, len(data))
            self.crowd.kinds[kind] = self.crowd.kinds.get(kind, 0) + n
            self.sent, self.bytes = self.sent + 1, self.bytes + n
            self.cast(to, "membership", data)

    def _arm(self) -> None:
        self._armed = max(self.now + 0.001, self.membership.timer())
        self.wake(self._armed - self.now, self._tick)


def know(b: Membership, other: Membership) -> None:
    """Gives a member what another knows, faster than by messages."""
    for name in ("records", "live", "ring", "_live_index"):
        setattr(b._view, name, getattr(other._view, name).copy())
    d = other._digest
    b._digest.total, b._digest.bucket_digests, b._digest._digest_of = (
        d.total,
        d.bucket_digests.copy(),
        d._digest_of.copy(),
    )
    b._digest.buckets = [x.copy() for x in d.buckets]
    b._view.drop(b.me.addr)
    b._joined = True


class Crowd:
    """A group whose members know each other from the start."""

    def __init__(self, seed: int, n: int, loss: float = 0.01):
        self.world, self.rng, self.n = World(seed, loss=loss, slow=0.05), random.Random(seed), n
        self.spent = self.largest = 0
        self.kinds: dict[str, int] = {}
        self.records = [record(i, self.rng.getrandbits(62)) for i in range(n)]
        self.seeds = [r.addr for r in self.records[:3]]
        period = formula.period(DETECT, ASSUMED)
        everyone = Membership(self.records[0], "mallowvalve", [], self.rng, period, 1, ROUND_TRIP)
        for r in self.records:
            everyone._apply_record(r, 0.0, "")
        for r in self.records:
            know(Mote(self, r, self.seeds, self.rng.random() * period).membership, everyone)

    def herd(self) -> None:
        """Kills every member and starts it again within half a second, knowing nothing but three seeds."""
        for m in self.members():
            m.crash()
        for i in range(self.n):
            self.restart(i, self.rng.random() * 0.5)

    def members(self) -> list[Mote]:
        return list(self.world.nodes.values())

    def restart(self, i: int, start: float = 0.0) -> Mote:
        me = msgspec.structs.replace(self.records[i], boot=self.rng.getrandbits(62), incarnation=0)
        return Mote(self, me, self.seeds, start)

    def run(self, seconds: float) -> dict[str, float]:
        """Runs, and tells each node's bytes and datagrams a second, the worst one's bytes, processor in % of a core."""
        before = {m.addr: (m.life, m.bytes, m.sent) for m in self.members()}
        spent, kinds = self.spent, dict(self.kinds)
        self.world.run(self.world.now + seconds)
        rows = []
        for m in self.members():
            life, b, s = before.get(m.addr, (m.life, 0, 0))
            rows.append((m.bytes - b, m.sent - s) if life == m.life else (m.bytes, m.sent))
        n = len(rows)
        return {
            "bytes": sum(b for b, _ in rows) / n / seconds,
            "datagrams": sum(s for _, s in rows) / n / seconds,
            "worst": max(b for b, _ in rows) / seconds,
            "cpu": (self.spent - spent) / 1e9 / n / seconds * 100,
            "kinds": {k: round((v - kinds.get(k, 0)) / n / seconds, 1) for k, v in self.kinds.items()},
        }

    def until(self, test, limit: float, step: float = 0.05) -> float | None:
        start = self.world.now
        while self.world.now < start + limit:
            if test():
                return self.world.now - start
            self.world.run(self.world.now + step)
        return None

    def knows(self, a: Address, test) -> float:
        """The share of the members whose record of this address passes."""
        others = [m for m in self.members() if m.addr != a]
        return sum(a in m.membership.view and test(m.membership.view[a]) for m in others) / len(others)


def sec(x: float | None) -> str:
    return "never" if x is None else f"{x:.2f} s"


def told(r: dict, what: str) -> str:
    return (
        f"  {what}: {r['bytes']:.0f} B/s a node (worst node {r['worst']:.0f}), {r['datagrams']:.2f} datagrams/s, "
        f"processor {r['cpu']:.4f}% of a core; by kind {r['kinds']}"
    )


def memory(n: int) -> int:
    """Bytes a member's view of n takes, from datagrams as they come off a socket."""
    rs = [record(i, random.Random(i).getrandbits(62)) for i in range(n)]
    data = [
        encode(Tell(DatagramHeader(PROTOCOL_VERSION, "m", rs[1].addr, 1, 1), rs[i : i + 8])) for i in range(1, n, 8)
    ]
    tracemalloc.start()
    b = Membership(rs[0], "m", [], random.Random(1), 1.7, 30, 0.5)
    for d in data:
        b.receive(decode(d), 0.0)
    b.reasons.clear()
    b.alive()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used


@click.command()
@click.option("--sizes", default="15,90,500")
@click.option("--quiet", default=30.0, help="simulated seconds without failures")
@click.option("--cut/--no-cut", default=True, help="also cut half off for 30 s, and one for 10 s")
@click.option("--herd/--no-herd", default=True, help="also restart all at once; above 1000 members this takes memory")
def main(sizes: str, quiet: float, cut: bool, herd: bool) -> None:
    """Bytes and processor a node at several sizes: quiet, one dead, one restarted, cut and healed; 1% loss."""
    for n in map(int, sizes.split(",")):
        click.echo(f"{n} members; a view takes {memory(n) / 1e6:.2f} MB")
        c = Crowd(1, n)
        c.run(2.0)
        click.echo(told(c.run(quiet), "quiet"))
        v = c.records[n // 2].addr
        c.world.nodes[v].crash()

        def dead(r) -> bool:
            return r.state >= FAILED

        first = c.until(lambda: c.knows(v, dead) > 0, 60)
        most = c.until(lambda: c.knows(v, dead) >= 0.95, 30)
        rest = c.until(lambda: c.knows(v, dead) == 1, 60)
        click.echo(
            f"  one dies: first declared after {sec(first)}, 95% know {sec(most)} later, all {sec(rest)} after that"
        )
        click.echo(told(c.run(10.0), "10 s with one dead"))
        i = n // 3
        m = c.restart(i)
        a, back = m.addr, lambda r: r.boot == m.membership.me.boot and r.state == ALIVE
        most = c.until(lambda: c.knows(a, back) >= 0.95, 30)
        rest = c.until(lambda: c.knows(a, back) == 1, 30)
        full = c.until(lambda: len(m.membership.alive()) == n - 2, 60)
        click.echo(
            f"  one restarts: seen alive by 95% after {sec(most)}, by all {sec(rest)} later, its own view whole {sec(full)} after that; it sent {m.bytes} B"
        )
        if cut:
            heal(c)
        if herd:
            c.herd()
            whole = c.until(lambda: all(len(m.membership.alive()) == n - 1 for m in c.members()), 60)
            most = max(m.bytes for m in c.members())
            click.echo(
                f"  all restarted within 0.5 s: every view whole after {sec(whole)}, at most {most} B from a node"
            )
        click.echo(f"  largest datagram {c.largest} B")


def heal(c: Crowd) -> None:
    for what, size, wait in (("one cut off for 10 s", 1, 10.0), ("half cut off for 30 s", c.n // 2, 30.0)):
        up = [m.addr for m in c.members()]
        c.world.split(up[:size], up[size:])
        c.world.run(c.world.now + wait)
        lost = c.n - 2 - min(len(m.membership.alive()) for m in c.members())
        c.world.heal()
        start = {m.addr: m.bytes for m in c.members()}
        whole = c.until(lambda: all(len(m.membership.alive()) == len(up) - 1 for m in c.members()), 60)
        spent = max(m.bytes - start[m.addr] for m in c.members())
        click.echo(
            f"  {what}: one view lost {lost}; healed everywhere after {sec(whole)}, at most {spent} B from a node"
        )


if __name__ == "__main__":
    main()
