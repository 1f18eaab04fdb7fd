"""The control side's worst days: cuts, races, losses upon repair, hundreds of changes, silences and resets."""

from __future__ import annotations

from collections.abc import Callable

from sim.callers import CompetingOperator, SettingsReader
from sim.core_fleet import CoreFleet
from sim.order_checks import check
from sim.orders import CatchUp, figures

CUT_S = 20.0
CATCH_UP_S = 4.0
GRACE_S = 8.0
READY_S = 15.0
Day = Callable[[CoreFleet], None]


def _target(f: CoreFleet, whom: str) -> list:
    lead = f.leader()
    voters = f.voters()
    first = lead.addr if lead is not None else f.rng.choice(voters)
    others = [a for a in voters if a != first]
    if whom == "leader":
        return [first]
    if whom == "follower":
        return [f.rng.choice(others)]
    return f.rng.sample(f.core, len(f.core) // 2)


def _cut(whom: str, ways: str) -> Day:
    def day(f: CoreFleet) -> None:
        held = f.rng.random() < 0.5
        c = f.isolate(_target(f, whom), ways, held)
        f.run(CUT_S)
        f.rejoin(c)
        f.run(10)

    day.__name__ = f"cut_{whom}_{ways}"
    day.__doc__ = f"For twenty seconds the {whom} is cut off from the rest of the core: {ways}."
    return day


def races(f: CoreFleet) -> None:
    """Two more operators race on their own routes while half of all answers are lost."""
    f.world.loss = 0.05
    for _ in range(3):
        f.caller(CompetingOperator, ["q0", "q1"], pace=0.35, tries=12, answer_loss_ratio=0.5)
    f.caller(SettingsReader, rate=8.0)
    for _ in range(3):
        f.run(6)
        lead = f.leader()
        if lead is not None and f.rng.random() < 0.5:
            f.kill(lead.addr)
            f.run(1)
            f.start(lead.addr)
    f.world.loss = 0.0


def _losses(cores: int) -> Day:
    def day(f: CoreFleet) -> None:
        for _ in range(3):
            how = f.rng.choice(("killed", "wiped", "removed", "reused"))
            lead = f.leader()
            leads = lead is not None and f.rng.random() < 0.5
            a = lead.addr if leads else f.rng.choice(f.voters())
            f.take_down(a, how)
            if how == "reused":
                f.run(2)
                new = f.repair(a, how)
                f.give_away(a)
            else:
                f.run(f.rng.choice((0.3, 2.0, 6.0)))
                new = f.repair(a, how)
            f.run(CATCH_UP_S)
            if f.rng.random() < 0.3:
                f.take_down(new, "killed")
                f.run(2)
                f.repair(new, "killed")
                f.run(CATCH_UP_S)

    day.__name__ = f"loss_upon_repair_{cores}"
    day.__doc__ = f"Members of a core of {cores} are lost one after the other, each 4 s after the last repair."
    day.cores = cores
    return day


def _only_copy(cores: int) -> Day:
    def day(f: CoreFleet) -> None:
        for _ in range(2):
            lead = f.leader()
            if lead is None:
                return f.run(5)
            other = f.rng.choice([a for a in f.voters() if a != lead.addr])
            f.take_down(other, "wiped")
            f.run(1 + f.rng.random())
            f.repair(other, "wiped")
            f.run(0.1 + f.rng.random())
            if f.world.up(lead.addr):
                f.leave(lead.addr, GRACE_S)
                f.run(0.5)
                f.repair(lead.addr, "removed")
            f.run(CATCH_UP_S)

    day.__name__ = f"only_copy_{cores}"
    day.__doc__ = f"In a core of {cores} a member comes back empty; another that holds all is told politely to stop."
    day.cores = cores
    return day


def _power_lost(f: CoreFleet, disks: int) -> None:
    """Right after a confirmed order all machines lose power, proxies too; so many core machines lose their disks."""
    before = f.confirmed()
    f.run_until(lambda: f.confirmed() > before, CATCH_UP_S)
    f.run(0.01 * f.rng.random())
    lost = f.rng.sample(f.voters(), disks)
    for a in (*f.core, *f.proxies):
        f.kill(a)
    for a in lost:
        f.disks[a].wipe()
    f.run(0.3 + 2 * f.rng.random())
    for a in f.rng.sample(f.core, len(f.core)):
        f.back(a, "wiped" if a in lost else "killed")
        f.run(0.3 * f.rng.random())
    for a in f.proxies:
        f.start(a)
    f.run(CATCH_UP_S + 2)


def _all_dark(cores: int, disks: int) -> Day:
    def day(f: CoreFleet) -> None:
        for _ in range(2):
            _power_lost(f, disks)

    day.__name__ = f"all_dark_{cores}_{disks}"
    day.__doc__ = f"All machines lose power at once; {disks} of a core of {cores} lose their disks with it."
    day.cores = cores
    return day


def _stopped_in_turn(cores: int, disks: int) -> Day:
    def day(f: CoreFleet) -> None:
        for a in f.rng.sample(f.core, cores):
            f.world.nodes[a].leave(GRACE_S)
            f.run_until(lambda a=a: not f.world.up(a), f.rng.choice((1.0, GRACE_S)))
            if f.rng.random() < 0.5:
                f.kill(a)
            f.run(0.3 + f.rng.random())
            if not f.world.up(a):
                f.back(a, "killed")
            f.run(f.rng.choice((0.2, 1.0, CATCH_UP_S)))
        f.run(CATCH_UP_S)
        _power_lost(f, disks)

    day.__name__ = f"stopped_in_turn_{cores}"
    day.__doc__ = f"A core of {cores} is stopped politely and started in turn, the next while some still catch up."
    day.cores = cores
    return day


def replaced_in_turn(f: CoreFleet) -> None:
    """Each machine of a core of six is replaced by an empty one at a new address; the log goes back to the founding."""
    for a in list(f.core):
        f.take_down(a, "removed")
        f.run(0.3 + f.rng.random())
        f.repair(a, "removed")
        f.run(CATCH_UP_S + f.rng.random())


replaced_in_turn.cores = 6
replaced_in_turn.segment_bytes = 1 << 30


def many_changes(f: CoreFleet) -> None:
    """Over 300 changes, 10 to 20 a second, while members restart, come back empty or freeze."""
    rate = 10 + 10 * f.rng.random()
    for i in range(2):
        f.caller(CompetingOperator, [f"m{i}.{j}" for j in range(20)], pace=2 / rate, tries=4, answer_loss_ratio=0.05)
    f.run(2)
    for _ in range(4):
        a = f.rng.choice(f.core)
        how = f.rng.choice(("restarted", "wiped", "frozen"))
        if how == "frozen":
            f.world.freeze(a)
            frozen_at = f.world.now
            f.run(1 + 5 * f.rng.random())
            for c in f.orders.catch_ups:
                if c.machine == a and c.ended is None:
                    c.frozen_s += f.world.now - frozen_at
            committed = max(map(f._index, f.core))
            f.world.thaw(a)
            c = CatchUp(a, how, f.world.now, committed)
            f.orders.catch_ups.append(c)
            f.watch_catch_up(c)
        else:
            f.kill(a)
            if how == "wiped":
                f.disks[a].wipe()
            f.run(0.5 + 5 * f.rng.random())
            f.back(a, how)
        f.run(CATCH_UP_S)


def silences(f: CoreFleet) -> None:
    """Connections between any two fall silent for a while, then what they held arrives, or are reset."""
    users = sorted(a for a in f.world.nodes if a not in f.nodes)
    end = f.world.now + 25
    while f.world.now < end:
        for _ in range(4):
            a = f.rng.choice(f.core)
            b = f.rng.choice([x for x in (*f.core, *f.proxies, *users) if x != a])
            if f.rng.random() < 0.5:
                f.world.reset(a, b)
                continue
            for pair in f.rng.choice((((a, b),), ((b, a),), ((a, b), (b, a)))):
                f.world.hold_messages(*pair)
        f.run(0.3 + 3 * f.rng.random())
        if f.rng.random() < 0.6:
            f.world.heal()


DAYS: dict[str, Day] = {
    d.__name__: d
    for d in (
        *(_cut(whom, ways) for whom in ("leader", "follower", "half") for ways in ("in", "out", "both")),
        races,
        *map(_losses, (3, 5, 6, 9)),
        *map(_only_copy, (3, 5)),
        _all_dark(6, 2),
        _all_dark(9, 2),
        _all_dark(5, 1),
        _stopped_in_turn(6, 2),
        replaced_in_turn,
        many_changes,
        silences,
    )
}


# Days of losses have a `cores` of their own. What counts as safe again `CATCH_UP_S` after a repair does so on links that
# are well: there late messages are second copies; on the other days some come late only.
def play_day(name: str, seed: int, cores: int | None = None) -> tuple[list[str], dict[str, int]]:
    """One seeded day: the findings and the figures."""
    day = DAYS[name]
    f = CoreFleet(seed, getattr(day, "cores", None) or cores or 5, segment_bytes=getattr(day, "segment_bytes", None))
    f.load()
    if not f.run_until(lambda: f.confirmed() > 5, READY_S):
        return ["the core never came up"], {}
    f.enable_late_delivery(delayed=not hasattr(day, "cores"))
    f.run(4)
    day(f)
    f.settle()
    return check(f.orders), figures(f.orders) | {"sim_s": int(f.world.now)}
