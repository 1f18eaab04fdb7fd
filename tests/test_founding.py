"""A model of wipes, replacements, moves and reused addresses within the fault budget: no group is founded twice.

The model keeps what `decide` depends on: the configurations by index, the disk of each machine, and how recent each
state is. A minority of the voters is lost at a time; before the next loss the core catches up, and so do most replicas.
A process may get answers from any subset of the others, but founds, as the task does (`roster_majority_answered`),
only when most of the replicas of the roster answer; the others may lag by any number of changes.
"""

import random

import pytest

from mallowvalve.control.bootstrap import FoundGroup, decide
from mallowvalve.control.wire import ProcessStatus
from mallowvalve.raft.messages import ClusterConfiguration, GroupId
from mallowvalve.types import Address, Locality

GROUP = GroupId(1, "g")
EU_ZONE = Locality("eu", "x")


class ModelMachine:
    def __init__(self, id, addr):
        self.id, self.addr = id, addr
        self.up, self.index = True, -1

    @property
    def blank(self):
        return self.index < 0


class CoreModel:
    def __init__(self, rng, size):
        self.rng, self.last_index, self.ports = rng, 0, 0
        self.machines = [self.new_machine() for _ in range(size)]
        self.seeds = [machine.addr for machine in self.machines[:3]]
        self.configurations = [(0, ClusterConfiguration({m.id: m.addr for m in self.machines}))]
        for m in self.machines:
            m.index = 0
        self.replica_indices = [0, 0, 0]

    def new_machine(self, addr=None):
        self.ports += 1
        return ModelMachine(f"m{self.ports}", addr or Address("10.0.0.1", self.ports))

    @property
    def voters(self):
        return self.configurations[-1][1]

    def configuration_at(self, index):
        return next(voters for since, voters in reversed(self.configurations) if since <= index)

    def machine(self, id):
        return next((m for m in self.machines if m.id == id), None)

    def is_up_to_date(self, id):
        machine = self.machine(id)
        present = machine is not None and machine.up and self.voters.address(id) == machine.addr
        return present and machine.index >= self.configurations[-1][0]

    def lost(self):
        return [i for i in self.voters.voters if not self.is_up_to_date(i)]

    def may_lose(self, ids):
        lost = {*self.lost(), *ids}
        voter_sets = (self.voters.voters, self.voters.old_voters)
        return all(2 * len(lost & voters.keys()) < len(voters) for voters in voter_sets if voters)

    # Events

    def lose_voter(self):
        """Stops, wipes, replaces or moves one voter, or gives its address to another machine."""
        ids = [id for id in self.voters.all_voters() if self.is_up_to_date(id) and self.may_lose([id])]
        if not ids:
            return
        machine = self.machine(self.rng.choice(ids))
        kind = self.rng.choice(["stopped", "wiped", "replaced", "reused", "moved"])
        if kind == "wiped":
            self.machines[self.machines.index(machine)] = self.new_machine(machine.addr)
            return
        machine.up = False
        if kind == "replaced":
            self.machines.append(self.new_machine())
        elif kind == "reused":
            self.machines.append(self.new_machine(machine.addr))
        elif kind == "moved":
            old_address, machine.addr = machine.addr, self.new_machine().addr
            machine.up = True
            if self.rng.random() < 0.5:
                self.machines.append(self.new_machine(old_address))

    def restart_machine(self):
        """Restarts a stopped machine with its disk, at a new address if another machine has the old one."""
        down = [machine for machine in self.machines if not machine.up]
        if not down:
            return
        machine = self.rng.choice(down)
        if any(other.up and other.addr == machine.addr for other in self.machines):
            machine.addr = self.new_machine().addr
        machine.up = True

    def change(self, voters):
        """Commits the configuration on a random majority of each of its voter sets."""
        self.last_index += 1
        self.configurations.append((self.last_index, voters))
        voter_sets = [members for members in (voters.voters, voters.old_voters) if members]
        reachable = [m for m in self.machines if m.up and not m.blank and voters.address(m.id)]
        saved = {machine.id for machine in reachable if self.rng.random() < 0.7}
        for members in voter_sets:
            while 2 * len(saved & members.keys()) <= len(members):
                saved.add(self.rng.choice(sorted({machine.id for machine in reachable} & members.keys() - saved)))
        for machine in reachable:
            if machine.id in saved:
                machine.index = self.last_index

    def reconfigure(self):
        """Makes the core's next change: an address, a learner, or a replacement through a joint configuration."""
        current = self.voters
        if current.old_voters:
            return self.change(ClusterConfiguration(current.voters, current.learners))
        for machine in self.machines:
            if machine.up and current.address(machine.id) not in (None, machine.addr):
                moved = [
                    {id: machine.addr if id == machine.id else address for id, address in members.items()}
                    for members in (current.voters, current.learners)
                ]
                return self.change(ClusterConfiguration(*moved))
        for machine in self.machines:
            if machine.up and current.address(machine.id) is None:
                learners = {**current.learners, machine.id: machine.addr}
                self.change(ClusterConfiguration(current.voters, learners))
                return None
        caught_up = [id for id in current.learners if self.is_up_to_date(id)]
        lost = [id for id in current.voters if self.machine(id) is None or not self.machine(id).up]
        if caught_up and lost:
            kept = {id: address for id, address in current.voters.items() if id != lost[0]}
            learners = {id: address for id, address in current.learners.items() if id != caught_up[0]}
            voters = {**kept, caught_up[0]: current.learners[caught_up[0]]}
            return self.change(ClusterConfiguration(voters, learners, current.voters))
        return None

    def replicate(self):
        """Advances some members and replicas; a blank one starts from a snapshot that may not name it yet."""
        for machine in self.machines:
            if machine.up and self.voters.address(machine.id) and self.rng.random() < 0.6:
                snapshot_index = self.configurations[max(0, len(self.configurations) - 4)][0]
                lowest = snapshot_index if machine.blank else machine.index
                machine.index = self.rng.randint(max(lowest, machine.index), self.last_index)
        for replica in range(len(self.replica_indices)):
            if self.rng.random() < 0.3:
                self.replica_indices[replica] = self.rng.randint(self.replica_indices[replica], self.last_index)

    def catch_up(self):
        """Repairs the core, and brings all its members and most replicas up to date."""
        for _ in range(12):
            self.reconfigure()
            for machine in self.machines:
                if machine.up and self.voters.address(machine.id):
                    machine.index = self.last_index
        for replica in self.rng.sample(range(len(self.replica_indices)), 2):
            self.replica_indices[replica] = self.last_index

    # Decisions

    def status(self, machine):
        group = None if machine.blank else GROUP
        voters = None if machine.blank else self.configuration_at(machine.index)
        index = max(0, machine.index)
        return ProcessStatus(
            "control", machine.id, machine.addr, EU_ZONE, self.seeds, machine.blank, group, index, voters, None
        )

    def answers(self, asking):
        """Returns the statuses of a random subset of the other machines and the replicas."""
        others = [machine for machine in self.machines if machine.up and machine is not asking]
        answers = [self.status(machine) for machine in others if self.rng.random() < 0.7]
        for replica, index in enumerate(self.replica_indices):
            if self.rng.random() < 0.7:
                address, voters = Address("10.0.2.1", replica + 1), self.configuration_at(index)
                answers.append(ProcessStatus("proxy", "", address, EU_ZONE, [], False, GROUP, index, voters, None))
        return answers

    def second_founding(self):
        """Returns the machine that would found another group, with its answers and its decision, or None."""
        for machine in self.machines:
            if not machine.up:
                continue
            answers = self.answers(machine)
            if 2 * sum(status.role == "proxy" for status in answers) <= len(self.replica_indices):
                continue
            decision = decide(self.status(machine), answers, 1, False)
            if isinstance(decision, FoundGroup) and decision.base is not None:
                return machine, answers, decision
        return None


@pytest.mark.parametrize("size", [3, 5])
def test_no_group_is_founded_twice_while_the_disks_of_a_majority_of_voters_are_present(size):
    for seed in range(1500):
        core = CoreModel(random.Random(seed), size)
        events = [
            core.lose_voter,
            core.lose_voter,
            core.restart_machine,
            core.reconfigure,
            core.replicate,
            core.catch_up,
        ]
        for _ in range(25):
            event = core.rng.choice(events)
            event()
            founding = core.second_founding()
            assert founding is None, (seed, core.configurations[-3:], founding)
