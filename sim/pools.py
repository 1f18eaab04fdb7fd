"""Storms in which upstreams, zones and clients misbehave; the fleet's own failures come beside them."""

from __future__ import annotations

from sim.fleet import SimulatedFleet
from sim.serving import cold_share, repeats
from sim.users import Operator, OrderClient, RankingsReader


def leaving(f: SimulatedFleet) -> None:
    for _ in range(5):
        u = f.rng.choice(f.pool(f.rng.choice(("boards", "runs"))))
        u.leave()
        if f.rng.random() < 0.5:
            a = f.rng.choice(f.proxies)
            f.world.split([a], f.rng.sample([b for b in f.nodes if b != a], len(f.nodes) // 2))
        f.run(5)
        f.world.heal()
        f.upstream(u.instance, u.addr)
        f.run(1)


def handed_over(f: SimulatedFleet) -> None:
    """An upstream vanishes and within a second its address is another service's; later its own again."""
    for i in range(4):
        old = f.rng.choice(f.pool("boards" if i % 2 else "runs"))
        other = "runs" if i % 2 else "boards"
        old.crash()
        f.run(f.rng.random())
        stranger = f.upstream(f"{other}-x{i}", old.addr)
        f.run(5)
        stranger.crash()
        del f.upstreams[stranger.instance]
        f.run(f.rng.random())
        f.upstream(old.instance, old.addr)
        f.run(2)


def faulty(f: SimulatedFleet) -> None:
    for fault in ("garbage", "half", "late"):
        _fault(f, fault, 0.3)
        f.run(6)
    _fault(f, "", 0.0)
    for s in ("boards", "runs"):
        for u in f.pool(s):
            u.answer_loss_ratio = 0.3
    f.run(6)
    for s in ("boards", "runs"):
        for u in f.pool(s):
            u.answer_loss_ratio = f.answer_loss_ratio


def _fault(f: SimulatedFleet, fault: str, share: float) -> None:
    for s in ("boards", "runs", "spare"):
        for u in f.pool(s):
            u.fault, u.share = fault, share


def relentless(f: SimulatedFleet) -> None:
    _fault(f, "garbage", 0.6)
    hasty = [f.user(RankingsReader, lambda: f.proxies, 5.0, True) for _ in range(4)]
    f.run(25)
    _fault(f, "", 0.0)
    for u in hasty:
        u.crash()
    worst, _ = repeats(f.history)
    assert worst > 0.02, "no repeats were provoked"


def cold_return(f: SimulatedFleet) -> None:
    """A slow pool, so that a flood would show; one of it returns cold after a crash."""
    more = [f.user(RankingsReader, lambda: f.proxies, 12.0) for _ in range(3)]
    for _ in range(2):
        pool = f.pool("boards") + f.pool("spare")
        for u in pool:
            u.work = 0.2
        u = f.rng.choice(f.pool("boards"))
        u.crash()
        f.run(4)
        new = f.upstream(u.instance, u.addr)
        new.work = 0.2
        f.run(6)
        near = [p.instance for p in f.pool("boards")]
        share = cold_share(f.history, new.instance, new.incarnation, new.born, near)
        assert share is None or share <= 0.7, f"a cold upstream got {share:.2f} of its peers' mean in its first 2 s"
    for u in more:
        u.crash()


def pool_replaced(f: SimulatedFleet) -> None:
    """Each upstream of a pool leaves and another takes its place at a new address, one by one."""
    for u in list(f.pool("boards")):
        u.leave()
        f.run(3.2)
        u.crash()
        del f.upstreams[u.instance]
        a = f._address("5", len(f.place))
        f.place[a] = u.locality
        f.upstream(f"{u.instance}-new", a)
        f.run(1)


def pool_emptied(f: SimulatedFleet) -> None:
    down = f.pool("runs")
    for u in down:
        u.crash()
    f.run(9)
    for u in down:
        f.upstream(u.instance, u.addr)
    f.run(4)


def evacuation(f: SimulatedFleet) -> None:
    """A zone is emptied while a region is lost, proxies restart, or the leader goes; then given back."""
    zone, op = "ap-a", f.user(Operator, ["ap-b"])
    for i in range(2):
        before = len(f.history.zones)
        op.evacuate(zone, True, f"e{i}{f.rng.random()}")
        f.run(f.rng.random())
        act = f.rng.choice(("region", "leader", "rolling"))
        down = {
            "region": [a for a in f.nodes if f.place[a].region == "us"],
            "leader": [f.leader().addr] if f.leader() else [],
            "rolling": f.proxies[:4],
        }[act]
        for a in down:
            f.kill(a)
            if act == "rolling":
                f.run(0.5)
                f.start(a)
        f.run_until(lambda: len(f.history.zones) > before, 12)
        f.run(9)
        for a in down:
            f.start(a)
        op.evacuate(zone, False, f"b{i}{f.rng.random()}")
        f.run(5)


def impatient(f: SimulatedFleet) -> None:
    """Customers ask again before they were answered, while claims are slow and the pool comes and goes."""
    f.world.slow = 0.4
    more = [f.user(OrderClient, lambda: f.proxies, True) for _ in range(8)]
    for _ in range(8):
        down = f.pool("runs")
        for u in down:
            u.crash()
        f.run(1 + f.rng.random())
        for u in down:
            f.upstream(u.instance, u.addr)
        f.run(1.5 * f.rng.random())
    f.world.slow = 0.02
    f.run(5)
    for u in more:
        u.crash()


def all_of_it(f: SimulatedFleet) -> None:
    """Planned acts and failures together."""
    acts = f.rng.sample((leaving, handed_over, faulty, pool_replaced, evacuation, pool_emptied), 2)
    for act in acts:
        a = f.rng.choice(f.nodes)
        f.kill(a)
        act(f)
        f.start(a)
        f.run(2)


POOLS = {
    s.__name__: s
    for s in (
        leaving,
        handed_over,
        faulty,
        relentless,
        cold_return,
        pool_replaced,
        pool_emptied,
        evacuation,
        impatient,
        all_of_it,
    )
}
