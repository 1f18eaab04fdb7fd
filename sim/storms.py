"""Storms: seeded fault scenarios for a simulated fleet. A storm's function name is its name on the command line."""

from __future__ import annotations

from collections.abc import Callable

from sim import serving
from sim.fleet import SimulatedFleet
from sim.history import RunHistory
from sim.history import check as check_history
from sim.pools import POOLS

RECOVERY_LIMIT_S = 15.0
"""Within this time after the last fault ends, service must be back."""


def check(h: RunHistory) -> list[str]:
    """The findings of all checks on a run."""
    return check_history(h) + serving.check(h)


Storm = Callable[[SimulatedFleet], None]


def calm(fleet: SimulatedFleet) -> None:
    """No faults."""
    fleet.run(20)


def kills(fleet: SimulatedFleet) -> None:
    """Random nodes crash and restart, one at a time."""
    for _ in range(8):
        address = fleet.rng.choice(fleet.nodes)
        fleet.kill(address)
        fleet.run(0.5 + 4 * fleet.rng.random())
        fleet.start(address)
        fleet.run(2 * fleet.rng.random())


def herds(fleet: SimulatedFleet) -> None:
    """A third of the proxies and two core nodes crash and restart together."""
    for _ in range(4):
        down = fleet.rng.sample(fleet.proxies, len(fleet.proxies) // 3) + fleet.rng.sample(fleet.core, 2)
        for address in down:
            fleet.kill(address)
        fleet.run(1 + 3 * fleet.rng.random())
        for address in down:
            fleet.start(address)
        fleet.run(4)


def all_at_once(fleet: SimulatedFleet) -> None:
    """All nodes crash and restart together."""
    for _ in range(2):
        for address in fleet.nodes:
            fleet.kill(address)
        fleet.run(fleet.rng.random())
        for address in fleet.nodes:
            fleet.start(address)
        fleet.run(9)


def after_acks(fleet: SimulatedFleet) -> None:
    """The leader crashes right after it acknowledged a change."""
    for _ in range(6):
        count = len(fleet.history.changes) + len(fleet.history.puts)
        fleet.run_until(lambda: len(fleet.history.changes) + len(fleet.history.puts) > count, 5)
        leader = fleet.leader()
        if leader is not None:
            fleet.kill(leader.addr)
            fleet.run(2 + fleet.rng.random())
            fleet.start(leader.addr)


def rolling(fleet: SimulatedFleet) -> None:
    """All nodes restart one after the other."""
    for address in fleet.core + fleet.proxies + fleet.directory_server:
        fleet.kill(address)
        fleet.run(0.7)
        fleet.start(address)
        fleet.run(1.3)


def zone_lost(fleet: SimulatedFleet) -> None:
    """All nodes of one zone crash; the others must serve on."""
    locality = fleet.place[fleet.rng.choice(fleet.core)]
    down = [address for address in fleet.nodes if fleet.place[address] == locality]
    _lose_nodes(fleet, down)


def region_lost(fleet: SimulatedFleet) -> None:
    """All nodes of one region crash; the others must serve on."""
    region = fleet.place[fleet.rng.choice(fleet.core)].region
    _lose_nodes(fleet, [address for address in fleet.nodes if fleet.place[address].region == region])


def _lose_nodes(fleet: SimulatedFleet, down: list) -> None:
    for address in down:
        fleet.kill(address)
    fleet.run(5)
    before = fleet.served()
    fleet.run(10)
    assert fleet.served() > before, "service stopped while a part was lost"
    for address in down:
        fleet.start(address)
    fleet.run(3)


def replaced(fleet: SimulatedFleet) -> None:
    """One core node is replaced by an empty one at a new address."""
    fleet.replace(fleet.rng.choice(fleet.core))
    fleet.run(20)


def replaced_all(fleet: SimulatedFleet) -> None:
    """Each core node in turn is replaced by an empty one at a new address."""
    for address in list(fleet.core):
        fleet.replace(address)
        fleet.run(14)


def wiped_in_place(fleet: SimulatedFleet) -> None:
    """A core node restarts at its address with an empty disk."""
    address = fleet.rng.choice(fleet.core)
    fleet.kill(address)
    fleet.disks[address].wipe()
    fleet.run(1)
    fleet.start(address)
    fleet.run(15)


def splits(fleet: SimulatedFleet) -> None:
    """The network partitions into two random parts, repeatedly."""
    for _ in range(4):
        left = fleet.rng.sample(fleet.nodes, fleet.rng.randrange(2, len(fleet.nodes) - 2))
        fleet.world.split(left, [address for address in fleet.nodes if address not in left])
        fleet.run(3 + 4 * fleet.rng.random())
        fleet.world.heal()
        fleet.run(3)


def core_cut_off(fleet: SimulatedFleet) -> None:
    """The core is partitioned from all other nodes; the proxies must admit requests for a while."""
    fleet.world.split(fleet.core, fleet.proxies + fleet.directory_server)
    fleet.run(3)
    assert all(fleet.world.nodes[address].admits() for address in fleet.proxies), "proxies that see each other stopped"
    fleet.run(5)
    fleet.world.heal()
    fleet.run(3)


def one_way(fleet: SimulatedFleet) -> None:
    """A node's links to all others fail in one random direction each."""
    for _ in range(4):
        address = fleet.rng.choice(fleet.nodes)
        for other in fleet.nodes:
            if other != address:
                fleet.world.cut(*((address, other) if fleet.rng.random() < 0.5 else (other, address)), one_way=True)
        fleet.run(3 + 3 * fleet.rng.random())
        fleet.world.heal()
        fleet.run(2)


def isolated(fleet: SimulatedFleet) -> None:
    """A proxy is cut off from all others; it must stop admitting requests."""
    for _ in range(3):
        address = fleet.rng.choice(fleet.proxies)
        fleet.world.split([address], [other for other in fleet.nodes if other != address])
        fleet.run(2.5)
        assert not fleet.world.nodes[address].admits(), "an isolated proxy serves on"
        fleet.run(4 * fleet.rng.random())
        fleet.world.heal()
        fleet.run(2)


def freezes(fleet: SimulatedFleet) -> None:
    """Nodes pause for seconds and run on; often the leader."""
    for _ in range(6):
        lead = fleet.leader()
        address = lead.addr if lead is not None and fleet.rng.random() < 0.4 else fleet.rng.choice(fleet.nodes)
        fleet.world.freeze(address)
        fleet.run(1 + 5 * fleet.rng.random())
        fleet.world.thaw(address)
        fleet.run(1 + fleet.rng.random())


def disks(fleet: SimulatedFleet) -> None:
    """Disks of core nodes are full or slow for a while."""
    for _ in range(5):
        disk = fleet.disks[fleet.rng.choice(fleet.core)]
        disk.full = fleet.rng.random() < 0.5
        disk.stall = 0.0 if disk.full else 0.2 + 2 * fleet.rng.random()
        fleet.run(2 + 3 * fleet.rng.random())
        disk.full, disk.stall = False, 0.0
        fleet.run(2)


def wiped_core(fleet: SimulatedFleet) -> None:
    """All core nodes lose their disks at once."""
    for address in fleet.core:
        fleet.kill(address)
        fleet.disks[address].wipe()
    fleet.run(fleet.rng.random())
    for address in fleet.core:
        fleet.start(address)
    fleet.run(1)


def wiped_most(fleet: SimulatedFleet) -> None:
    """A majority of the voters loses its disks at once."""
    voters = list(fleet.leader().core.raft.log.configuration.voters.values()) if fleet.leader() else fleet.core
    for address in fleet.rng.sample(sorted(voters), len(voters) // 2 + 1):
        fleet.kill(address)
        fleet.disks[address].wipe()
        fleet.start(address)
    fleet.run(1)


def wiped_all_but_one_proxy(fleet: SimulatedFleet) -> None:
    """All nodes but one proxy restart, the core with empty disks."""
    keep = fleet.rng.choice(fleet.proxies)
    fleet.run(1)
    for address in fleet.nodes:
        if address != keep:
            fleet.kill(address)
            if address in fleet.disks:
                fleet.disks[address].wipe()
    for address in fleet.nodes:
        fleet.start(address)
    fleet.run(1)


def lossy(fleet: SimulatedFleet) -> None:
    """The network loses a tenth of the messages and is slow."""
    fleet.world.loss, fleet.world.slow = 0.1, 0.15
    fleet.run(20)
    fleet.world.loss, fleet.world.slow = 0.0, 0.02


def mixed(fleet: SimulatedFleet) -> None:
    """Four random storms in a row."""
    for _ in range(4):
        fleet.rng.choice([kills, splits, freezes, one_way, disks, after_acks, isolated_any])(fleet)


def isolated_any(fleet: SimulatedFleet) -> None:
    """A random node is cut off from all others."""
    address = fleet.rng.choice(fleet.nodes)
    fleet.world.split([address], [other for other in fleet.nodes if other != address])
    fleet.run(4)
    fleet.world.heal()


STORMS: dict[str, Storm] = POOLS | {
    storm.__name__: storm
    for storm in (
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
    """Runs one seeded storm; returns its findings and figures. `keep` receives the latencies of changes and numbers."""
    fleet = SimulatedFleet(seed, **shape)
    fleet.load()
    if not fleet.run_until(
        lambda: fleet.served() > 3 and all(fleet.world.nodes[address].admits() for address in fleet.proxies), 30
    ):
        return ["the fleet never came up"], {}
    fleet.run(8)
    try:
        STORMS[name](fleet)
    except AssertionError as error:
        return [str(error), *check(fleet.history)], fleet.history.figures()
    for address in fleet.nodes:
        fleet.start(address)
    fleet.world.heal()
    for address in list(fleet.world.frozen):
        fleet.world.thaw(address)
    healed, before = fleet.world.now, fleet.served()
    back = fleet.run_until(lambda: fleet.served() > before + 3, 60)
    gap = fleet.world.now - healed
    fleet.run(8)
    found = check(fleet.history)
    if keep is not None:
        keep |= {
            "numbers": [other - address for address, other, _ in fleet.history.numbers],
            "changes": [other - address for address, other, _, _ in fleet.history.changes],
        }
    if not back or gap > RECOVERY_LIMIT_S:
        found.append(f"service not back within {RECOVERY_LIMIT_S} s: {gap:.1f}")
    return found, fleet.history.figures() | {"back_ms": int(gap * 1000), "sim_s": int(fleet.world.now)}
