"""Long fault scenarios ("days") for a core: partitions, races, repeated member losses, many changes, held messages.

A day's `__name__` is its name on the command line.
"""

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


def _isolated_nodes(fleet: CoreFleet, target: str) -> list:
    leader = fleet.leader()
    voters = fleet.voters()
    first = leader.addr if leader is not None else fleet.rng.choice(voters)
    others = [address for address in voters if address != first]
    if target == "leader":
        return [first]
    if target == "follower":
        return [fleet.rng.choice(others)]
    return fleet.rng.sample(fleet.core, len(fleet.core) // 2)


def _cut(target: str, direction: str) -> Day:
    def day(fleet: CoreFleet) -> None:
        held = fleet.rng.random() < 0.5
        cut = fleet.isolate(_isolated_nodes(fleet, target), direction, held)
        fleet.run(CUT_S)
        fleet.rejoin(cut)
        fleet.run(10)

    day.__name__ = f"cut_{target}_{direction}"
    day.__doc__ = f"The {target} is cut off from the rest of the core for 20 s, in direction: {direction}."
    return day


def races(fleet: CoreFleet) -> None:
    """Three more operators compete for the same routes while half of their answers are lost."""
    fleet.world.loss = 0.05
    for _ in range(3):
        fleet.caller(CompetingOperator, ["q0", "q1"], pace=0.35, tries=12, answer_loss_ratio=0.5)
    fleet.caller(SettingsReader, rate=8.0)
    for _ in range(3):
        fleet.run(6)
        leader = fleet.leader()
        if leader is not None and fleet.rng.random() < 0.5:
            fleet.kill(leader.addr)
            fleet.run(1)
            fleet.start(leader.addr)
    fleet.world.loss = 0.0


def _repeated_losses(cores: int) -> Day:
    def day(fleet: CoreFleet) -> None:
        for _ in range(3):
            how = fleet.rng.choice(("killed", "wiped", "removed", "reused"))
            leader = fleet.leader()
            lose_leader = leader is not None and fleet.rng.random() < 0.5
            address = leader.addr if lose_leader else fleet.rng.choice(fleet.voters())
            fleet.take_down(address, how)
            if how == "reused":
                fleet.run(2)
                new = fleet.repair(address, how)
                fleet.give_away(address)
            else:
                fleet.run(fleet.rng.choice((0.3, 2.0, 6.0)))
                new = fleet.repair(address, how)
            fleet.run(CATCH_UP_S)
            if fleet.rng.random() < 0.3:
                fleet.take_down(new, "killed")
                fleet.run(2)
                fleet.repair(new, "killed")
                fleet.run(CATCH_UP_S)

    day.__name__ = f"loss_upon_repair_{cores}"
    day.__doc__ = f"Members of a core of {cores} are lost one after the other, each 4 s after the last repair."
    day.cores = cores
    return day


def _last_copy(cores: int) -> Day:
    def day(fleet: CoreFleet) -> None:
        for _ in range(2):
            leader = fleet.leader()
            if leader is None:
                return fleet.run(5)
            other = fleet.rng.choice([address for address in fleet.voters() if address != leader.addr])
            fleet.take_down(other, "wiped")
            fleet.run(1 + fleet.rng.random())
            fleet.repair(other, "wiped")
            fleet.run(0.1 + fleet.rng.random())
            if fleet.world.up(leader.addr):
                fleet.leave(leader.addr, GRACE_S)
                fleet.run(0.5)
                fleet.repair(leader.addr, "removed")
            fleet.run(CATCH_UP_S)

    day.__name__ = f"only_copy_{cores}"
    day.__doc__ = f"In a core of {cores} a member returns with an empty disk, and a complete one is stopped gracefully."
    day.cores = cores
    return day


def _power_lost(fleet: CoreFleet, disks: int) -> None:
    """All nodes lose power right after a confirmed update; `disks` of the voters lose their disks too."""
    before = fleet.confirmed()
    fleet.run_until(lambda: fleet.confirmed() > before, CATCH_UP_S)
    fleet.run(0.01 * fleet.rng.random())
    lost = fleet.rng.sample(fleet.voters(), disks)
    for address in (*fleet.core, *fleet.proxies):
        fleet.kill(address)
    for address in lost:
        fleet.disks[address].wipe()
    fleet.run(0.3 + 2 * fleet.rng.random())
    for address in fleet.rng.sample(fleet.core, len(fleet.core)):
        fleet.back(address, "wiped" if address in lost else "killed")
        fleet.run(0.3 * fleet.rng.random())
    for address in fleet.proxies:
        fleet.start(address)
    fleet.run(CATCH_UP_S + 2)


def _all_dark(cores: int, disks: int) -> Day:
    def day(fleet: CoreFleet) -> None:
        for _ in range(2):
            _power_lost(fleet, disks)

    day.__name__ = f"all_dark_{cores}_{disks}"
    day.__doc__ = f"All nodes lose power at once; {disks} of a core of {cores} also lose their disks."
    day.cores = cores
    return day


def _stopped_in_turn(cores: int, disks: int) -> Day:
    def day(fleet: CoreFleet) -> None:
        for address in fleet.rng.sample(fleet.core, cores):
            fleet.world.nodes[address].leave(GRACE_S)
            fleet.run_until(lambda address=address: not fleet.world.up(address), fleet.rng.choice((1.0, GRACE_S)))
            if fleet.rng.random() < 0.5:
                fleet.kill(address)
            fleet.run(0.3 + fleet.rng.random())
            if not fleet.world.up(address):
                fleet.back(address, "killed")
            fleet.run(fleet.rng.choice((0.2, 1.0, CATCH_UP_S)))
        fleet.run(CATCH_UP_S)
        _power_lost(fleet, disks)

    day.__name__ = f"stopped_in_turn_{cores}"
    day.__doc__ = f"The members of a core of {cores} restart gracefully in turn, some while others still catch up."
    day.cores = cores
    return day


def replaced_in_turn(fleet: CoreFleet) -> None:
    """Each node of a core of six is replaced by an empty one at a new address; the log reaches back to its start."""
    for address in list(fleet.core):
        fleet.take_down(address, "removed")
        fleet.run(0.3 + fleet.rng.random())
        fleet.repair(address, "removed")
        fleet.run(CATCH_UP_S + fleet.rng.random())


replaced_in_turn.cores = 6
replaced_in_turn.segment_bytes = 1 << 30


def many_changes(fleet: CoreFleet) -> None:
    """Over 300 changes, 10 to 20 per second, while members restart, lose their disks or freeze."""
    rate = 10 + 10 * fleet.rng.random()
    for number in range(2):
        fleet.caller(
            CompetingOperator, [f"m{number}.{j}" for j in range(20)], pace=2 / rate, tries=4, answer_loss_ratio=0.05
        )
    fleet.run(2)
    for _ in range(4):
        address = fleet.rng.choice(fleet.core)
        how = fleet.rng.choice(("restarted", "wiped", "frozen"))
        if how == "frozen":
            fleet.world.freeze(address)
            frozen_at = fleet.world.now
            fleet.run(1 + 5 * fleet.rng.random())
            for catch_up in fleet.orders.catch_ups:
                if catch_up.node == address and catch_up.ended is None:
                    catch_up.frozen_s += fleet.world.now - frozen_at
            committed = max(map(fleet._index, fleet.core))
            fleet.world.thaw(address)
            catch_up = CatchUp(address, how, fleet.world.now, committed)
            fleet.orders.catch_ups.append(catch_up)
            fleet.watch_catch_up(catch_up)
        else:
            fleet.kill(address)
            if how == "wiped":
                fleet.disks[address].wipe()
            fleet.run(0.5 + 5 * fleet.rng.random())
            fleet.back(address, how)
        fleet.run(CATCH_UP_S)


def silences(fleet: CoreFleet) -> None:
    """Connections hold their messages for a while and deliver them late, or are reset."""
    users = sorted(address for address in fleet.world.nodes if address not in fleet.nodes)
    end = fleet.world.now + 25
    while fleet.world.now < end:
        for _ in range(4):
            address = fleet.rng.choice(fleet.core)
            peer = fleet.rng.choice([node for node in (*fleet.core, *fleet.proxies, *users) if node != address])
            if fleet.rng.random() < 0.5:
                fleet.world.reset(address, peer)
                continue
            for pair in fleet.rng.choice((((address, peer),), ((peer, address),), ((address, peer), (peer, address)))):
                fleet.world.hold_messages(*pair)
        fleet.run(0.3 + 3 * fleet.rng.random())
        if fleet.rng.random() < 0.6:
            fleet.world.heal()


DAYS: dict[str, Day] = {
    day.__name__: day
    for day in (
        *(_cut(target, direction) for target in ("leader", "follower", "half") for direction in ("in", "out", "both")),
        races,
        *map(_repeated_losses, (3, 5, 6, 9)),
        *map(_last_copy, (3, 5)),
        _all_dark(6, 2),
        _all_dark(9, 2),
        _all_dark(5, 1),
        _stopped_in_turn(6, 2),
        replaced_in_turn,
        many_changes,
        silences,
    )
}


# Days with member losses set their own `cores`. They assume that a core is safe again `CATCH_UP_S` after a repair,
# which requires healthy links: there, only second copies of messages are late. On other days some only come late.
def play_day(name: str, seed: int, cores: int | None = None) -> tuple[list[str], dict[str, int]]:
    """Runs one seeded day; returns its findings and figures."""
    day = DAYS[name]
    fleet = CoreFleet(
        seed, getattr(day, "cores", None) or cores or 5, segment_bytes=getattr(day, "segment_bytes", None)
    )
    fleet.load()
    if not fleet.run_until(lambda: fleet.confirmed() > 5, READY_S):
        return ["the core never came up"], {}
    fleet.enable_late_delivery(delayed=not hasattr(day, "cores"))
    fleet.run(4)
    day(fleet)
    fleet.settle()
    return check(fleet.orders), figures(fleet.orders) | {"sim_s": int(fleet.world.now)}
