from __future__ import annotations

import random
import statistics
import sys

import click

from mallowvalve.membership import formula
from mallowvalve.membership.detector import Membership, initial_record
from mallowvalve.membership.wire import FAILED, decode, encode
from mallowvalve.types import Address, Locality
from sim.fleet import ZONES
from sim.world import SimulatedNode, World

DETECT, MISTAKE, ASSUMED, ROUND_TRIP = 3.0, 1e-8, 0.15, 0.5
UDP = 28


class Member(SimulatedNode):
    def __init__(
        self,
        world: World,
        addr: Address,
        seeds: list[Address],
        n: int = 0,
        spread: bool = True,
        role: str = "proxy",
        locality: Locality | None = None,
        max_timer_delay_s: float = 0.0,
    ):
        super().__init__(world, addr)
        self.max_timer_delay_s = max_timer_delay_s
        self.rng = random.Random(world.rng.random())
        me = initial_record(addr, self.rng.getrandbits(60), role, str(addr), locality or ZONES[n % 6], addr)
        self.membership = Membership(
            me,
            "sim",
            seeds,
            self.rng,
            formula.period(DETECT, ASSUMED),
            formula.helpers(MISTAKE, ASSUMED, ASSUMED),
            ROUND_TRIP,
        )
        self.sent = self.bytes = 0
        self._armed = world.now + self.rng.random() * (self.membership.period if spread else 0.0)
        self.wake(self._armed - world.now, self._tick)

    def handle(self, kind, src, body, answer) -> None:
        self.emit(self.membership.receive(decode(body), self.now))
        if self.membership.period_number and self.membership.timer() < self._armed:
            self._arm()

    def emit(self, out: list) -> None:
        for to, m in out:
            data = encode(m)
            self.sent += 1
            self.bytes += len(data) + UDP
            self.cast(to, "membership", data)

    def _tick(self) -> None:
        if self.now < self._armed - 1e-9:
            return
        self.emit(self.membership.tick(self.now))
        self._arm()

    def _arm(self) -> None:
        delay = self.max_timer_delay_s * self.rng.random() if self.max_timer_delay_s else 0.0
        self._armed = max(self.now + 0.001, self.membership.timer()) + delay
        self.wake(self._armed - self.now, self._tick)


class Group:
    def __init__(self, seed: int, n: int, loss: float):
        self.world = World(seed, loss=loss, slow=0.05)
        self.rng = random.Random(seed * 31 + 7)
        self.addrs = [Address(f"10.0.0.{i + 1}", 7000) for i in range(n)]
        for i in range(n):
            self.start(i)

    def start(self, i: int, seeds: list[Address] | None = None) -> Member:
        return Member(self.world, self.addrs[i], self.addrs[:3] if seeds is None else seeds, i)

    def kill(self, i: int) -> None:
        self.world.nodes[self.addrs[i]].crash()

    def member(self, i: int) -> Member:
        return self.world.nodes[self.addrs[i]]

    def members(self) -> list[Member]:
        return list(self.world.nodes.values())

    def run(self, seconds: float) -> None:
        self.world.run(self.world.now + seconds)

    def run_until(self, test, limit: float, step: float = 0.05) -> float | None:
        start = self.world.now
        while self.world.now < start + limit:
            if test():
                return self.world.now - start
            self.run(step)
        return None

    def whole(self) -> bool:
        up = {m.addr for m in self.members()}
        return all({r.addr for r in m.membership.alive()} == up - {m.addr} for m in self.members())

    def declared(self) -> int:
        return sum(m.membership.counts.get("membership_declared") for m in self.members())

    def knows_failed(self, a: Address) -> list[Member]:
        return [m for m in self.members() if a in m.membership.view and m.membership.view[a].state >= FAILED]


def detection(seed: int, n: int, loss: float) -> tuple[float, float] | None:
    g = Group(seed, n, loss)
    if g.run_until(g.whole, 60) is None:
        return None
    g.run(g.rng.random() * 3)
    i = g.rng.randrange(n)
    a = g.addrs[i]
    g.kill(i)
    first = g.run_until(lambda: g.knows_failed(a), 120)
    every = g.run_until(lambda: len(g.knows_failed(a)) == n - 1, 120)
    return (first, first + every) if first is not None and every is not None else None


def quiet_time(seed: int, n: int, loss: float, seconds: float) -> dict[str, float]:
    g = Group(seed, n, loss)
    g.run_until(g.whole, 60)
    sent, declared = sum(m.sent for m in g.members()), g.declared()
    g.run(seconds)
    kinds = sum(
        m.membership.counts.get(f"membership_sent_{k}")
        for m in g.members()
        for k in ("ping", "pingreq", "relayping", "ack")
    )
    return {
        "messages a node and second": (sum(m.sent for m in g.members()) - sent) / n / seconds,
        "detector's own": kinds / n / g.world.now,
        "mistakes": g.declared() - declared,
    }


@click.command()
@click.option("--seeds", default=200)
@click.option("--first", default=1)
def main(seeds: int, first: int) -> None:
    """Measure detection time, mistakes and load of the membership protocol in simulated time."""
    t = formula.period(DETECT, ASSUMED)
    k = formula.helpers(MISTAKE, ASSUMED, ASSUMED)
    click.echo(f"T' {t:.4f} s, k {k}, E[T] {DETECT} s; seeds {first}..{first + seeds - 1}")
    for n in (15, 18):
        for loss in (0.0, 0.05, 0.15):
            rows = [detection(s, n, loss) for s in range(first, first + seeds)]
            good = [r for r in rows if r is not None]
            ts = sorted(r[0] for r in good)
            spread = [r[1] - r[0] for r in good]
            click.echo(
                f"n {n} loss {loss:.2f}: first detection mean {statistics.mean(ts):.2f} s, median {statistics.median(ts):.2f}, "
                f"p95 {ts[int(0.95 * len(ts))]:.2f}, max {ts[-1]:.2f}; to every view {statistics.mean(spread):.2f} s later, "
                f"max {max(spread):.2f}; {len(rows) - len(good)} undetected"
            )
            q = [quiet_time(s, n, loss, 300.0) for s in range(first, first + max(4, seeds // 20))]
            click.echo(
                "    "
                + ", ".join(
                    f"{name} {sum(x[name] for x in q) / (1 if name == 'mistakes' else len(q)):.2f}" for name in q[0]
                )
                + f" in {300 * len(q)} s x {n} nodes; bound of the source {formula.expected_load(n, min(k, n - 2), t, ASSUMED, loss) / n:.2f} a node"
            )
    sys.exit(0)


if __name__ == "__main__":
    main()
