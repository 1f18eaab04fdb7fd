from __future__ import annotations

from collections.abc import Callable

from sim import serving
from sim.fleet import SimulatedFleet
from sim.history import RunHistory
from sim.history import check as promises
from sim.pools import POOLS

RECOVERY_LIMIT_S = 15.0


def check(h: RunHistory) -> list[str]:
    return promises(h) + serving.check(h)


Storm = Callable[[SimulatedFleet], None]


def calm(f: SimulatedFleet) -> None:
    f.run(20)


def kills(f: SimulatedFleet) -> None:
    for _ in range(8):
        a = f.rng.choice(f.nodes)
        f.kill(a)
        f.run(0.5 + 4 * f.rng.random())
        f.start(a)
        f.run(2 * f.rng.random())


def herds(f: SimulatedFleet) -> None:
    for _ in range(4):
        down = f.rng.sample(f.proxies, len(f.proxies) // 3) + f.rng.sample(f.core, 2)
        for a in down:
            f.kill(a)
        f.run(1 + 3 * f.rng.random())
        for a in down:
            f.start(a)
        f.run(4)


def all_at_once(f: SimulatedFleet) -> None:
    for _ in range(2):
        for a in f.nodes:
            f.kill(a)
        f.run(f.rng.random())
        for a in f.nodes:
            f.start(a)
        f.run(9)


def after_acks(f: SimulatedFleet) -> None:
    for _ in range(6):
        n = len(f.history.changes) + len(f.history.puts)
        f.run_until(lambda: len(f.history.changes) + len(f.history.puts) > n, 5)
        ls = f.leader()
        if ls is not None:
            f.kill(ls.addr)
            f.run(2 + f.rng.random())
            f.start(ls.addr)


def rolling(f: SimulatedFleet) -> None:
    for a in f.core + f.proxies + f.directory_server:
        f.kill(a)
        f.run(0.7)
        f.start(a)
        f.run(1.3)


def zone_lost(f: SimulatedFleet) -> None:
    z = f.place[f.rng.choice(f.core)]
    down = [a for a in f.nodes if f.place[a] == z]
    _lose(f, down)


def region_lost(f: SimulatedFleet) -> None:
    r = f.place[f.rng.choice(f.core)].region
    _lose(f, [a for a in f.nodes if f.place[a].region == r])


def _lose(f: SimulatedFleet, down: list) -> None:
    for a in down:
        f.kill(a)
    f.run(5)
    before = f.served()
    f.run(10)
    assert f.served() > before, "service stopped while a part was lost"
    for a in down:
        f.start(a)
    f.run(3)


def replaced(f: SimulatedFleet) -> None:
    f.replace(f.rng.choice(f.core))
    f.run(20)


def replaced_all(f: SimulatedFleet) -> None:
    for a in list(f.core):
        f.replace(a)
        f.run(14)


def wiped_in_place(f: SimulatedFleet) -> None:
    a = f.rng.choice(f.core)
    f.kill(a)
    f.disks[a].wipe()
    f.run(1)
    f.start(a)
    f.run(15)


def splits(f: SimulatedFleet) -> None:
    for _ in range(4):
        left = f.rng.sample(f.nodes, f.rng.randrange(2, len(f.nodes) - 2))
        f.world.split(left, [a for a in f.nodes if a not in left])
        f.run(3 + 4 * f.rng.random())
        f.world.heal()
        f.run(3)


def core_cut_off(f: SimulatedFleet) -> None:
    f.world.split(f.core, f.proxies + f.directory_server)
    f.run(3)
    assert all(f.world.nodes[a].admits() for a in f.proxies), "proxies that see each other stopped"
    f.run(5)
    f.world.heal()
    f.run(3)


def one_way(f: SimulatedFleet) -> None:
    for _ in range(4):
        a = f.rng.choice(f.nodes)
        for b in f.nodes:
            if b != a:
                f.world.cut(*((a, b) if f.rng.random() < 0.5 else (b, a)), one_way=True)
        f.run(3 + 3 * f.rng.random())
        f.world.heal()
        f.run(2)


def isolated(f: SimulatedFleet) -> None:
    for _ in range(3):
        a = f.rng.choice(f.proxies)
        f.world.split([a], [b for b in f.nodes if b != a])
        f.run(2.5)
        assert not f.world.nodes[a].admits(), "an isolated proxy serves on"
        f.run(4 * f.rng.random())
        f.world.heal()
        f.run(2)


def freezes(f: SimulatedFleet) -> None:
    for _ in range(6):
        lead = f.leader()
        a = lead.addr if lead is not None and f.rng.random() < 0.4 else f.rng.choice(f.nodes)
        f.world.freeze(a)
        f.run(1 + 5 * f.rng.random())
        f.world.thaw(a)
        f.run(1 + f.rng.random())


def disks(f: SimulatedFleet) -> None:
    for _ in range(5):
        d = f.disks[f.rng.choice(f.core)]
        d.full = f.rng.random() < 0.5
        d.stall = 0.0 if d.full else 0.2 + 2 * f.rng.random()
        f.run(2 + 3 * f.rng.random())
        d.full, d.stall = False, 0.0
        f.run(2)


def wiped_core(f: SimulatedFleet) -> None:
    for a in f.core:
        f.kill(a)
        f.disks[a].wipe()
    f.run(f.rng.random())
    for a in f.core:
        f.start(a)
    f.run(1)


def wiped_most(f: SimulatedFleet) -> None:
    voters = list(f.leader().core.raft.log.configuration.voters.values()) if f.leader() else f.core
    for a in f.rng.sample(sorted(voters), len(voters) // 2 + 1):
        f.kill(a)
        f.disks[a].wipe()
        f.start(a)
    f.run(1)


def wiped_all_but_one_proxy(f: SimulatedFleet) -> None:
    keep = f.rng.choice(f.proxies)
    f.run(1)
    for a in f.nodes:
        if a != keep:
            f.kill(a)
            if a in f.disks:
                f.disks[a].wipe()
    for a in f.nodes:
        f.start(a)
    f.run(1)


def lossy(f: SimulatedFleet) -> None:
    f.world.loss, f.world.slow = 0.1, 0.15
    f.run(20)
    f.world.loss, f.world.slow = 0.0, 0.02


def mixed(f: SimulatedFleet) -> None:
    for _ in range(4):
        f.rng.choice([kills, splits, freezes, one_way, disks, after_acks, isolated_any])(f)


def isolated_any(f: SimulatedFleet) -> None:
    a = f.rng.choice(f.nodes)
    f.world.split([a], [b for b in f.nodes if b != a])
    f.run(4)
    f.world.heal()


STORMS: dict[str, Storm] = POOLS | {
    s.__name__: s
    for s in (
        calm,
        kills,
        herds,
        all_at_once,
        after_acks,
        rolling,
        zone_lost,
        region_lost,
        replaced,
        replaced_all,
        wiped_in_place,
        splits,
        core_cut_off,
        one_way,
        isolated,
        freezes,
        disks,
        wiped_core,
        wiped_most,
        wiped_all_but_one_proxy,
        lossy,
        mixed,
    )
}


def play(name: str, seed: int, keep: dict | None = None, **shape) -> tuple[list[str], dict]:
    f = SimulatedFleet(seed, **shape)
    f.load()
    if not f.run_until(lambda: f.served() > 3 and all(f.world.nodes[a].admits() for a in f.proxies), 30):
        return ["the fleet never came up"], {}
    f.run(8)
    try:
        STORMS[name](f)
    except AssertionError as e:
        return [str(e), *check(f.history)], f.history.figures()
    for a in f.nodes:
        f.start(a)
    f.world.heal()
    for a in list(f.world.frozen):
        f.world.thaw(a)
    healed, before = f.world.now, f.served()
    back = f.run_until(lambda: f.served() > before + 3, 60)
    gap = f.world.now - healed
    f.run(8)
    found = check(f.history)
    if keep is not None:
        keep |= {
            "numbers": [b - a for a, b, _ in f.history.numbers],
            "changes": [b - a for a, b, _, _ in f.history.changes],
        }
    if not back or gap > RECOVERY_LIMIT_S:
        found.append(f"service not back within {RECOVERY_LIMIT_S} s: {gap:.1f}")
    return found, f.history.figures() | {"back_ms": int(gap * 1000), "sim_s": int(f.world.now)}
