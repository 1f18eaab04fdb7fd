"""Directories, proxies and clients in virtual time: the product's membership and its choice of proxies, simulated doors."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import msgspec

from mallowvalve.directory.look_up import Directory, answer_ttl_s
from mallowvalve.membership.drain import DrainSequence
from mallowvalve.membership.members import DepartedMember, drain_conditions
from mallowvalve.membership.wire import MemberRecord
from mallowvalve.node import DRAIN_GRACE_RATIOS
from mallowvalve.types import Address, Locality
from mallowvalve.web import ACCEPT_STOP_MARGIN_S
from sim.members import Member
from sim.world import World

GRACE = 6.0
RESTART = 0.75
READY_AFTER = 0.1
TRIES = 2
PAUSE = 0.15
LOOK_UPS = 3
PORT = 7000
WITH_DISK = 0.5


class SimDirectory:
    """A process that answers look-ups by its own membership; one with a disk remembers its peers over a restart."""

    def __init__(self, world: World, addr: Address, locality: Locality, seeds: list[Address]):
        self.world, self.addr, self.locality, self.seeds = world, addr, locality, seeds
        self.member: Member | None = None
        self.reasons: Counter[str] = Counter()
        self.remembered: list[Address] = []
        self.has_disk = world.rng.random() < WITH_DISK
        self.start()

    def start(self) -> None:
        seeds = [*self.seeds, *self.remembered]
        self.member = Member(self.world, self.addr, seeds, spread=False, role="control", locality=self.locality)
        self.directory = Directory(View(self.member), lambda: self.world.now)
        self.member.emit(self.member.membership.ready(True))

    def stop(self) -> None:
        """A planned restart: it says goodbye and comes back knowing nobody."""
        member, self.member = self.member, None
        if member is not None:
            self.remembered = [record.addr for record in member.membership.alive()] if self.has_disk else []
            member.emit(member.membership.leave(final=True))
            member.crash()
            self.world.after(RESTART, self.start)

    def answer(self, near: Locality, homes: frozenset[str] | None) -> Answer | None:
        """What a client is told, None for a refusal."""
        if self.member is None:
            return None
        choice = self.directory.look_up(near, homes)
        self.directory.probe_proxies(near.region, choice)
        self.reasons[choice.reason.value] += 1
        if not choice.proxies:
            return None
        return Answer(
            [record.web for record in choice.proxies], self.world.now, answer_ttl_s(choice), choice.reason.value
        )


class View:
    """What the product asks of the membership, of a simulated member."""

    def __init__(self, member: Member):
        self.member, self.membership = member, member.membership

    def alive(self, role: str | None = None) -> list[MemberRecord]:
        return self.membership.alive(role)

    def departed(self, role: str) -> list[DepartedMember]:
        return self.membership.departed(role, self.member.now)

    def settled(self) -> bool:
        return self.membership.settled(self.member.now)

    def known_for(self, member: MemberRecord) -> float:
        return self.membership.known_for(member, self.member.now)

    def probe(self, member: MemberRecord) -> None:
        self.member.emit(self.membership.probe(member, self.member.now))

    def suspects(self, member: MemberRecord) -> bool:
        return self.membership.suspects(member, self.member.now)


class Answer(msgspec.Struct):
    """An answer as a client holds it: where it may go, since when, and for how long (s)."""

    named: list[Address]
    since: float
    life: float
    reason: str


class SimProxy:
    """A machine with one proxy through its lives: it accepts connections or not, and is in the membership or not."""

    def __init__(self, world: World, addr: Address, locality: Locality, seeds: list[Address]):
        self.world, self.addr, self.locality, self.seeds = world, addr, locality, seeds
        self.accepts, self.life, self.told_at = False, 0, None
        self.member: Member | None = None
        self.doors: list[tuple[float, bool]] = []
        self.start()

    def start(self) -> None:
        self.life += 1
        self.told_at = None
        self.member = Member(self.world, self.addr, self.seeds, spread=False, locality=self.locality)
        self.world.after(READY_AFTER, lambda life=self.life: self._open(life))

    def _open(self, life: int) -> None:
        if life != self.life or self.told_at is not None:
            return
        self._door(True)
        self.member.emit(self.member.membership.ready(True))

    def _door(self, opens: bool) -> None:
        self.accepts = opens
        self.doors.append((self.world.now, opens))

    def accepted_since(self, begin: float, end: float) -> bool:
        """Whether the door was open all the time between two moments."""
        open_at = False
        for at, opens in self.doors:
            if at > end:
                break
            if at <= begin:
                open_at = opens
            elif not opens:
                return False
        return open_at

    def stop(self) -> None:
        """SIGTERM."""
        if self.told_at is not None or not self.accepts:
            return
        self.told_at = self.world.now
        self.member.emit(self.member.membership.leave(final=False))
        linger, last = DRAIN_GRACE_RATIOS["proxy"]
        end = self.world.now + GRACE * (linger + last) - ACCEPT_STOP_MARGIN_S
        closing = DrainSequence(self.world.now + GRACE * linger, end, self.member.rng)
        self._step(self.life, closing)

    def _step(self, life: int, closing: DrainSequence) -> None:
        """The daemon's own steps: half of the grace, and longer while the region would have nobody else."""
        if life != self.life:
            return
        member = self.member.membership
        step = closing.step(self.world.now, drain_conditions(member.me, View(self.member)))
        self.member.emit(member.accept(step.accepts))
        if not step.closed:
            self.world.after(step.wait, lambda: self._step(life, closing))
            return
        self._door(False)
        self.member.emit(member.leave(final=True))
        self._end()

    def kill(self) -> None:
        """The process is gone at once, without a word."""
        if self.member is not None:
            self._door(False)
            self._end(comes_back=False)

    def _end(self, comes_back: bool = True) -> None:
        self.life += 1
        self.member.crash()
        self.member = None
        if comes_back:
            self.world.after(RESTART, self.start)


class Visit(msgspec.Struct):
    """One request: from where, whose host, where it went and by which answer; `region` is None where nobody took it."""

    at: float
    client: Locality
    homes: frozenset[str] | None
    region: str | None
    asked_at: float
    reason: str


class SimClient:
    """Goes by what it was told for one or three times its life, and keeps its connection while the answer names it."""

    def __init__(self, day: Day, near: Locality, homes: frozenset[str] | None, patience: int):
        self.day, self.near, self.homes, self.patience = day, near, homes, patience
        self.held: Answer | None = None
        self.failed: set[Address] = set()
        self.kept: tuple[Address, int] | None = None
        day.world.after(day.begin + day.rng.random() * PAUSE, self.ask)

    def ask(self) -> None:
        """One request, on the kept connection or a new one; what fails is tried again at once, a few times."""
        if self.day.world.now >= self.day.until:
            return
        self.day.world.after(PAUSE * self.day.rng.uniform(0.5, 1.5), self.ask)
        self._look_up()
        for _ in range(TRIES):
            proxy = self._connect()
            if proxy is not None:
                break
            self._look_up(again=True)
        held = self.held or Answer([], self.day.world.now, 0.0, "none")
        region = proxy.locality.region if proxy else None
        visit = Visit(self.day.world.now, self.near, self.homes, region, held.since, held.reason)
        self.day.visits.append(visit)

    def _connect(self) -> SimProxy | None:
        if self.held is None:
            return None
        if self.kept is not None and self.kept[0] in self.held.named:
            proxy = self.day.proxies[self.kept[0]]
            if proxy.life == self.kept[1]:
                return proxy
        self.kept = None
        to = [a for a in self.held.named if a not in self.failed]
        if not to:
            return None
        address = self.day.rng.choice(to)
        proxy = self.day.proxies[address]
        if not proxy.accepts:
            self.failed.add(address)
            return None
        self.kept = address, proxy.life
        return proxy

    def _look_up(self, again: bool = False) -> None:
        now = self.day.world.now
        held = self.held
        usable = held is not None and any(a not in self.failed for a in held.named)
        if held is not None and now < held.since + held.life * self.patience and (usable or not again):
            return
        for directory in self.day.nearest(self.near)[:LOOK_UPS]:
            answer = directory.answer(self.near, self.homes)
            if answer is not None:
                self.held, self.failed = answer, set()
                return


class Day:
    """Regions with proxies, directories and clients; what is done to them is added by the day."""

    def __init__(self, seed: int, counts: list[int], begin: float, until: float):
        self.world = World(seed, loss=0.005, slow=0.04)
        self.rng, self.begin, self.until = self.world.rng, begin, until
        self.visits: list[Visit] = []
        self.proxies: dict[Address, SimProxy] = {}
        self.regions = [f"r{i}" for i in range(len(counts))]
        places = [Locality(r, f"{r}-{z}") for r in self.regions for z in "ab"]
        seeds = [Address(f"10.{i}.0.1", PORT) for i in range(min(3, len(places)))]
        self.directories = [
            SimDirectory(self.world, Address(f"10.{i}.0.1", PORT), place, seeds) for i, place in enumerate(places)
        ]
        for i, count in enumerate(counts):
            for n in range(count):
                place = places[2 * i + n % 2]
                address = Address(f"10.{2 * i + n % 2}.1.{n + 1}", PORT)
                self.proxies[address] = SimProxy(self.world, address, place, seeds)

    def nearest(self, near: Locality) -> list[SimDirectory]:
        """Directories as a client asks them, the near ones first."""
        return sorted(self.directories, key=lambda d: (d.locality.distance(near), self.rng.random()))

    def of(self, region: str) -> list[SimProxy]:
        """The proxies of a region, in the order of their addresses."""
        return [p for p in self.proxies.values() if p.locality.region == region]

    def clients(self, count: int, homes: Callable[[int], frozenset[str] | None]) -> None:
        """So many clients a region, each of the host whose homes `homes` gives; one of three holds answers thrice."""
        for region in self.regions:
            for n in range(count):
                place = Locality(region, f"{region}-{'ab'[n % 2]}")
                SimClient(self, place, homes(n), 3 if n % 3 == 0 else 1)

    def run(self) -> None:
        self.world.run(self.until)
