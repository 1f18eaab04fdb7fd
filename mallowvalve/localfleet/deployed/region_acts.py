"""Losses and fast rolls of whole regions, one after another, and what the core answers meanwhile."""

from __future__ import annotations

import random
import signal
from collections import Counter
from collections.abc import Callable

import gevent
from gevent.lock import RLock

from mallowvalve import clock
from mallowvalve.localfleet.deployed.control_calls import STATUS_OK, ControlCaller, decode
from mallowvalve.localfleet.deployed.machines import Fleet, Machine
from mallowvalve.localfleet.deployed.operator import Operator
from mallowvalve.localfleet.deployed.records import Kill, Records, RegionLoss, VoterPlaces

CONTACT_S = 4.0
"""From a loss to the first call that has to be answered."""

CATCH_UP_S = 6.0
"""From the return of a region to the moment at which its loss is over, and another may be lost."""

ACKNOWLEDGEMENT_S = 10.0
LEADER_TIMEOUT_S = 5.0
ROLL_PAUSE_S = 0.5
WAITED_RATIO = 0.5
"""How often a roll waits until a machine is ready before it stops the next one."""


class RegionActs:
    """Plays acts on regions: one at a time, and none before the last region has been back for `CATCH_UP_S`."""

    def __init__(
        self,
        fleet: Fleet,
        records: Records,
        operator: Operator,
        rng: random.Random,
        start_again: Callable[[Machine], float],
        stop: Callable[[Machine], None],
    ):
        """`start_again` starts a machine and returns when it was ready; `stop` stops a machine and starts it again.

        An act that gets its turn only after `ends_at` (s, this process's clock) is left out.
        """
        self.fleet, self.records, self.operator, self.rng = fleet, records, operator, rng
        self._start_again, self._stop = start_again, stop
        self._caller = ControlCaller(fleet, records, rng)
        self._turn = RLock()
        self.ends_at = 0.0

    def lose(self, region: str, seconds: float) -> None:
        """Kills all machines of a region at one moment, changes the configuration, and starts them again."""
        with self._turn:
            if clock.now() + seconds > self.ends_at:
                return
            machines = self._machines(region)
            lost_at = clock.now()
            for machine in machines:
                machine.signal(signal.SIGKILL)
            for machine in machines:
                machine.kill()
            gevent.sleep(CONTACT_S)
            asked_at = clock.now()
            acknowledged_at = self.operator.change(ACKNOWLEDGEMENT_S)
            gevent.sleep(max(0.0, lost_at + seconds - clock.now()))
            ready_at = self._start_all(machines)
            self.records.kills += [Kill(machine.name, lost_at, ready_at) for machine in machines]
            self.records.region_losses.append(RegionLoss(region, lost_at, asked_at, acknowledged_at, ready_at))
            self._record_places(f"{region} was lost")

    def roll(self, region: str) -> None:
        """Stops and starts the core machines of a region in turn; half of the time the next before one is ready."""
        with self._turn:
            if clock.now() > self.ends_at:
                return
            jobs = []
            for machine in self._machines(region):
                if machine.role != "control":
                    continue
                jobs.append(gevent.spawn(self._stop, machine))
                if self.rng.random() < WAITED_RATIO:
                    jobs[-1].join()
                else:
                    gevent.sleep(ROLL_PAUSE_S)
            gevent.joinall(jobs)
            self._record_places(f"{region} was rolled")

    def _machines(self, region: str) -> list[Machine]:
        return [machine for machine in self.fleet.machines if self._region(machine) == region]

    def _region(self, machine: Machine) -> str:
        return self.fleet.shape.zones[machine.zone]

    def _start_all(self, machines: list[Machine]) -> float:
        """Starts machines; returns when the last one was ready, 0.0 if one took too long."""
        jobs = [gevent.spawn(self._start_again, machine) for machine in machines]
        ready = [job.get() for job in jobs]
        return max(ready) if all(ready) else 0.0

    def _record_places(self, after: str) -> None:
        """Records the voters of each region once the last region has been back for `CATCH_UP_S`."""
        gevent.sleep(CATCH_UP_S)
        answer = self._caller.until_clear("GET", "/leader", None, LEADER_TIMEOUT_S)
        status = decode(answer) if answer is not None and answer.status == STATUS_OK else {}
        regions = {machine.address: self._region(machine) for machine in self.fleet.core}
        voters = Counter(regions[text.partition(":")[0]] for text in status.get("voters", ()))
        members = Counter(regions.values())
        self.records.voter_places.append(VoterPlaces(after, clock.now(), dict(voters), dict(members)))
