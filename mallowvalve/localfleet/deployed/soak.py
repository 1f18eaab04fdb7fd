"""Plays a schedule against a deployed fleet under load, and collects the records."""

from __future__ import annotations

import random
import signal
from contextlib import suppress

import gevent
from gevent.pool import Group

from mallowvalve import clock
from mallowvalve.localfleet.deployed.applications import GROUPS, Application
from mallowvalve.localfleet.deployed.clients import Client
from mallowvalve.localfleet.deployed.control_calls import STATUS_OK, ControlCaller
from mallowvalve.localfleet.deployed.departure_acts import DepartureActs, DirectoryProbes
from mallowvalve.localfleet.deployed.garbage import GarbageSource, send_to_all_ports
from mallowvalve.localfleet.deployed.machines import Fleet, Machine, ProcessorShare
from mallowvalve.localfleet.deployed.operator import Operator
from mallowvalve.localfleet.deployed.records import Kill, Records, SlowStart, Stop
from mallowvalve.localfleet.deployed.region_acts import RegionActs
from mallowvalve.localfleet.deployed.start_faults import kill_and_hinder_start
from mallowvalve.localfleet.deployed.upstream import StandinUpstream
from mallowvalve.localfleet.deployed.view_ages import read_view_ages
from mallowvalve.localfleet.deployed.watch import Watch, answers_readiness
from mallowvalve.localfleet.schedule import ActKind, Schedule, ScheduledAct

PERIOD_S = 0.25
"""The period in which a process that is held to a share is stopped once."""

SETTLE_S = 60.0
READY_S = 40.0
POLL_S = 0.05
READY_TIMEOUT_S = 1.0
RESTART_DELAY_S = 0.3
"""The platform starts a process again this long after it ended by itself."""
RELEASE_OVERLAP_S = 0.5
END_SLACK_S = 20.0


class DeployedSoak:
    """A soak of a fleet whose machines have been started."""

    def __init__(self, fleet: Fleet, schedule: Schedule, share: float, closing: bool = False):
        """`share` is the share of its processor time that each process of the fleet gets.

        With `closing`, all processes are killed at one moment after the load, before everything is read back.
        """
        self.fleet, self.schedule, self.share, self.closing = fleet, schedule, share, closing
        self.records = Records(share)
        self.upstreams: dict[str, list[StandinUpstream]] = {name: [] for name in fleet.shape.services}
        self.operator = Operator(fleet, self.records, self._rng("operator"))
        self.watch = Watch(fleet, self.records, RESTART_DELAY_S)
        self._serving = Group()
        self._reserved: set[str] = set()
        self._stopping: set[str] = set()
        self.regions = RegionActs(
            fleet, self.records, self.operator, self._rng("regions"), self._start_again, self._stop
        )
        self.departures = DepartureActs(fleet, self.records, self._rng("departures"), self._start_again)

    def _rng(self, name: str) -> random.Random:
        return random.Random(f"deployed/{self.schedule.seed}/{name}")

    def settle(self) -> bool:
        """Applies the configuration and starts the upstreams; returns whether all machines became ready."""
        for service, count in self.fleet.shape.services.items():
            for _ in range(count):
                self._start_upstream(service)
        end = clock.now() + SETTLE_S
        while clock.now() < end:
            if self.operator.apply_first():
                return all(self._await_ready(machine, end - clock.now()) for machine in self.fleet.machines)
        return False

    def run(self) -> Records:
        """Plays the whole schedule under load; returns the records."""
        self.records.requests.clear()
        began = clock.now()
        end = began + self.schedule.seconds
        load = self._start_load(end)
        self.regions.ends_at = end
        with ProcessorShare(self.fleet.machines, self.share, PERIOD_S, self._rng("share")):
            acts = Group()
            for act in self.schedule.acts:
                acts.start(gevent.Greenlet(self._play_at, began + act.at, act))
            gevent.sleep(max(0.0, end - clock.now()))
            acts.join(timeout=END_SLACK_S, raise_error=True)
            load.join(timeout=END_SLACK_S)
        self.records.view_ages = read_view_ages(self.fleet)
        if self.closing:
            self._kill_all()
        self.records.final = self.operator.read_back()
        self.records.handler_errors = [error for machine in self.fleet.machines for error in machine.handler_errors()]
        return self.records

    def _kill_all(self) -> None:
        """Kills all processes right after a change was acknowledged, and starts them again."""
        self.operator.change()
        for machine in self.fleet.machines:
            machine.signal(signal.SIGKILL)
        for machine in self.fleet.machines:
            machine.kill()
            machine.start()
        for machine in self.fleet.machines:
            self._await_ready(machine, READY_S)

    def close(self) -> None:
        """Ends the stand-ins."""
        self._serving.kill(block=True, timeout=2.0)

    def _start_load(self, end: float) -> Group:
        shape, load = self.fleet.shape, Group()
        pause_s = shape.connections / shape.rate
        for index in range(shape.connections):
            client = Client(self.fleet, self.records, self._rng(f"client/{index}"), pause_s, index < shape.uploads)
            load.spawn(client.run, end)
        for index in range(shape.callers):
            application = Application(self.fleet, self.records, f"app-{index}", self._rng(f"app/{index}"))
            load.spawn(application.run, index, end)
        for group in GROUPS if shape.callers else ():
            watcher = Application(self.fleet, self.records, f"watcher-{group}", self._rng(f"watch/{group}"))
            load.spawn(watcher.watch, group, end)
        load.spawn(self.operator.run, end)
        if any(act.kind is ActKind.END_FOR_LONG for act in self.schedule.acts):
            DirectoryProbes(self.fleet, self.records).start(load, end)
        return load

    def _start_upstream(self, service: str) -> None:
        lives = self.upstreams[service]
        rng = self._rng(f"upstream/{service}/{len(lives)}")
        zones = sorted(self.fleet.shape.zones)
        caller = ControlCaller(self.fleet, self.records, rng)
        upstream = StandinUpstream(self.fleet, caller, self.records, service, zones[len(lives) % len(zones)], rng)
        lives.append(upstream)
        self._serving.spawn(upstream.run)

    def _play_at(self, at: float, act: ScheduledAct) -> None:
        gevent.sleep(max(0.0, at - clock.now()))
        match act.kind:
            case ActKind.STOP:
                self._stop(self._machine(act.target))
            case ActKind.KILL:
                self._kill(self._machine(act.target), act.lasts)
            case ActKind.RELOAD:
                self._reload(self._machine(act.target))
            case ActKind.KILL_ALL:
                self._kill_herd(act.lasts)
            case ActKind.RELOADS_AT_START | ActKind.LATE_END | ActKind.PORTS_HELD:
                self._hinder_start(self._machine(act.target), act)
            case ActKind.GARBAGE:
                self._send_garbage(self._machine(act.target), act)
            case ActKind.EVACUATE:
                self.operator.evacuate(act.target, act.lasts)
            case ActKind.RELEASE:
                self._release(act.target)
            case ActKind.LOSE_REGION:
                self.regions.lose(act.target, act.lasts)
            case ActKind.ROLL_REGION:
                self.regions.roll(act.target)
            case ActKind.END_FOR_LONG:
                self.departures.end_for_long(self._machine(act.target), act.lasts)
            case ActKind.LEAVE_BESIDE_STANDSTILL:
                self._leave_beside_standstill(act.target)

    def _machine(self, name: str) -> Machine:
        return next(machine for machine in self.fleet.machines if machine.name == name)

    def _stop(self, machine: Machine) -> None:
        """Sends SIGTERM, and SIGKILL after the grace period; then starts the machine again.

        A machine that another act has reserved gets a further SIGTERM if it is being stopped, and nothing more.
        """
        if machine.name in self._reserved:
            if machine.name in self._stopping:
                machine.signal(signal.SIGTERM)
            return
        self._reserved.add(machine.name)
        self._stopping.add(machine.name)
        stop = Stop(machine.name, clock.now())
        self.records.stops.append(stop)
        machine.signal(signal.SIGTERM)
        stop.code = machine.wait(self.fleet.shape.grace_s)
        if stop.code is None:
            stop.overdue = True
            machine.kill()
        stop.ended_at = clock.now()
        self._stopping.discard(machine.name)
        stop.ready_at = self._start_again(machine)

    def _kill(self, machine: Machine, pause_s: float) -> None:
        if machine.name in self._reserved:
            return
        self._reserved.add(machine.name)
        machine.kill()
        killed_at = clock.now()
        gevent.sleep(pause_s)
        self.records.kills.append(Kill(machine.name, killed_at, self._start_again(machine)))

    def _reload(self, machine: Machine) -> None:
        """Sends SIGHUP; not to a process before its first instruction, where nothing can handle a signal."""
        if machine.ignores(signal.SIGHUP):
            machine.signal(signal.SIGHUP)

    def _kill_herd(self, pause_s: float) -> None:
        """Kills all processes that no other act has reserved at one moment, and starts them again."""
        machines = [machine for machine in self.fleet.machines if machine.name not in self._reserved]
        self._reserved |= {machine.name for machine in machines}
        killed_at = clock.now()
        for machine in machines:
            machine.signal(signal.SIGKILL)
        for machine in machines:
            machine.kill()
        gevent.sleep(pause_s)
        jobs = [(machine, gevent.spawn(self._start_again, machine)) for machine in machines]
        for machine, job in jobs:
            self.records.kills.append(Kill(machine.name, killed_at, job.get()))

    def _hinder_start(self, machine: Machine, act: ScheduledAct) -> None:
        if machine.name in self._reserved:
            return
        self._reserved.add(machine.name)
        killed_at = clock.now()
        end_hindrance = kill_and_hinder_start(machine, act.kind, act.lasts)
        ended_at = clock.now()
        end_hindrance()
        ready_at = self._start_again(machine)
        self.records.kills += [Kill(machine.name, at, ready_at) for at in (killed_at, ended_at)]

    def _send_garbage(self, machine: Machine, act: ScheduledAct) -> None:
        """Sends made-up input to each port of a machine, from a thread, as its sockets block."""
        source = GarbageSource(self._rng(f"garbage/{act.at}"))
        gevent.get_hub().threadpool.apply(send_to_all_ports, (source, machine))

    def _start_again(self, machine: Machine) -> float:
        """Starts a machine; returns when it was ready, 0.0 if that took too long."""
        machine.start()
        ready = self._await_ready(machine, READY_S)
        self._reserved.discard(machine.name)
        return clock.now() if ready else 0.0

    def _await_ready(self, machine: Machine, limit_s: float) -> bool:
        begun = clock.now()
        while clock.now() < begun + limit_s:
            if answers_readiness(machine, READY_TIMEOUT_S) == STATUS_OK:
                return True
            gevent.sleep(POLL_S)
        waited_s = round(clock.now() - begun, 1)
        self.records.slow_starts.append(SlowStart(machine.name, begun, waited_s, machine.last_lines()))
        return False

    def _release(self, service: str) -> None:
        """Replaces the oldest upstream of a service."""
        self._start_upstream(service)
        gevent.sleep(RELEASE_OVERLAP_S)
        with suppress(StopIteration):
            self._oldest_ready(service).leave()

    def _leave_beside_standstill(self, service: str) -> None:
        self._start_upstream(service)
        gevent.sleep(RELEASE_OVERLAP_S)
        self.departures.leave_beside_standstill(self._oldest_ready(service))

    def _oldest_ready(self, service: str) -> StandinUpstream:
        """Returns the oldest upstream that has not said that it leaves."""
        return next(upstream for upstream in self.upstreams[service] if upstream.state == "ready")
