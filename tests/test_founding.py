"""A model of wipes, replacements, moves and reused addresses inside the budget: never a second founding.

The model keeps what a core decides (`decide` is the product's own): the configurations by index, which machine has
which disk, and how far each state goes. A minority of the voters is lost at a time; before the next loss the core
catches up, and so do most of the replicas. Whoever asks may hear any part of the others, but founds, as the task does
(`heard_enough`), only when most of the replicas of the roster answer; the rest may lag by any number of changes.
"""

import random

import pytest

from mallowvalve.control.bootstrap import FoundGroup, decide
from mallowvalve.control.wire import ProcessStatus
from mallowvalve.raft.messages import ClusterConfiguration, GroupId
from mallowvalve.types import Address, Locality

G = GroupId(1, "g")
EU = Locality("eu", "x")


class Machine:
    def __init__(self, id, addr):
        self.id, self.addr = id, addr
        self.up, self.index = True, -1

    @property
    def blank(self):
        return self.index < 0


class Core:
    def __init__(self, rng, size):
        self.rng, self.n, self.ports = rng, 0, 0
        self.machines = [self.machine() for _ in range(size)]
        self.seeds = [m.addr for m in self.machines[:3]]
        self.configs = [(0, ClusterConfiguration({m.id: m.addr for m in self.machines}))]
        for m in self.machines:
            m.index = 0
        self.proxies = [0, 0, 0]

    def machine(self, addr=None):
        self.ports += 1
        return Machine(f"m{self.ports}", addr or Address("10.0.0.1", self.ports))

    @property
    def voters(self):
        return self.configs[-1][1]

    def at(self, index):
        return next(v for i, v in reversed(self.configs) if i <= index)

    def by(self, id):
        return next((m for m in self.machines if m.id == id), None)

    def whole(self, id):
        m = self.by(id)
        there = m is not None and m.up and self.voters.address(id) == m.addr
        return there and m.index >= self.configs[-1][0]

    def lost(self):
        return [i for i in self.voters.voters if not self.whole(i)]

    def may_lose(self, ids):
        gone = {*self.lost(), *ids}
        return all(
            2 * len(gone & part.keys()) < len(part) for part in (self.voters.voters, self.voters.old_voters) if part
        )

    # what may happen

    def loses(self):
        """One voter is away with its disk, wiped, replaced, or away while another machine has its address."""
        ids = [i for i in self.voters.all_voters() if self.whole(i) and self.may_lose([i])]
        if not ids:
            return
        m = self.by(self.rng.choice(ids))
        kind = self.rng.choice(["away", "wiped", "replaced", "reused", "moved"])
        if kind == "wiped":
            self.machines[self.machines.index(m)] = self.machine(m.addr)
            return
        m.up = False
        if kind == "replaced":
            self.machines.append(self.machine())
        elif kind == "reused":
            self.machines.append(self.machine(m.addr))
        elif kind == "moved":
            old, m.addr = m.addr, self.machine().addr
            m.up = True
            if self.rng.random() < 0.5:
                self.machines.append(self.machine(old))

    def returns(self):
        """One that was away is back with its disk, at a new address where another has its old one."""
        down = [m for m in self.machines if not m.up]
        if not down:
            return
        m = self.rng.choice(down)
        if any(o.up and o.addr == m.addr for o in self.machines):
            m.addr = self.machine().addr
        m.up = True

    def change(self, voters):
        self.n += 1
        self.configs.append((self.n, voters))
        sets = [part for part in (voters.voters, voters.old_voters) if part]
        hold = [m for m in self.machines if m.up and not m.blank and voters.address(m.id)]
        need = {m.id for m in hold if self.rng.random() < 0.7}
        for part in sets:
            while 2 * len(need & part.keys()) <= len(part):
                need.add(self.rng.choice(sorted({m.id for m in hold} & part.keys() - need)))
        for m in hold:
            if m.id in need:
                m.index = self.n

    def steps(self):
        """One step of the core's own: an address, a learner, a swap through a joint configuration."""
        v = self.voters
        if v.old_voters:
            return self.change(ClusterConfiguration(v.voters, v.learners))
        for m in self.machines:
            if m.up and v.address(m.id) not in (None, m.addr):
                moved = [{i: m.addr if i == m.id else a for i, a in p.items()} for p in (v.voters, v.learners)]
                return self.change(ClusterConfiguration(*moved))
        for m in self.machines:
            if m.up and v.address(m.id) is None:
                self.change(ClusterConfiguration(v.voters, {**v.learners, m.id: m.addr}))
                return None
        ripe = [i for i in v.learners if self.whole(i)]
        out = [i for i in v.voters if self.by(i) is None or not self.by(i).up]
        if ripe and out:
            kept = {i: a for i, a in v.voters.items() if i != out[0]}
            learners = {i: a for i, a in v.learners.items() if i != ripe[0]}
            return self.change(ClusterConfiguration({**kept, ripe[0]: v.learners[ripe[0]]}, learners, v.voters))
        return None

    def follows(self):
        """Some member or replica hears of more; a blank one starts from a snapshot that may not name it yet."""
        for m in self.machines:
            if m.up and self.voters.address(m.id) and self.rng.random() < 0.6:
                low = self.configs[max(0, len(self.configs) - 4)][0] if m.blank else m.index
                m.index = self.rng.randint(max(low, m.index), self.n)
        for k in range(len(self.proxies)):
            if self.rng.random() < 0.3:
                self.proxies[k] = self.rng.randint(self.proxies[k], self.n)

    def catches_up(self):
        for _ in range(12):
            self.steps()
            for m in self.machines:
                if m.up and self.voters.address(m.id):
                    m.index = self.n
        for k in self.rng.sample(range(len(self.proxies)), 2):
            self.proxies[k] = self.n

    # what each would decide

    def who(self, m):
        known = None if m.blank else G
        held = None if m.blank else self.at(m.index)
        return ProcessStatus("control", m.id, m.addr, EU, self.seeds, m.blank, known, max(0, m.index), held, None)

    def answers(self, but):
        out = [self.who(m) for m in self.machines if m.up and m is not but and self.rng.random() < 0.7]
        for k, index in enumerate(self.proxies):
            if self.rng.random() < 0.7:
                a = Address("10.0.2.1", k + 1)
                out.append(ProcessStatus("proxy", "", a, EU, [], False, G, index, self.at(index), None))
        return out

    def founds(self):
        for m in self.machines:
            if not m.up:
                continue
            heard = self.answers(m)
            if 2 * sum(w.role == "proxy" for w in heard) <= len(self.proxies):
                continue
            v = decide(self.who(m), heard, 1, False)
            if isinstance(v, FoundGroup) and v.base is not None:
                return m, heard, v
        return None


@pytest.mark.parametrize("size", [3, 5])
def test_no_second_founding_while_most_of_the_voters_disks_are_there(size):
    for seed in range(1500):
        core = Core(random.Random(seed), size)
        for _ in range(25):
            act = core.rng.choice([core.loses, core.loses, core.returns, core.steps, core.follows, core.catches_up])
            act()
            found = core.founds()
            assert found is None, (seed, core.configs[-3:], found)
