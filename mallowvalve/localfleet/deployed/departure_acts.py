"""Departures: edge machines that end for long without a word, and upstreams that leave while edges stand still."""

from __future__ import annotations

import random
from collections.abc import Callable
from urllib.parse import urlencode

import gevent
from gevent.pool import Group

from mallowvalve import clock
from mallowvalve.localfleet.deployed.clients import HOST_NAME
from mallowvalve.localfleet.deployed.connection import ClientConnection, Outgoing
from mallowvalve.localfleet.deployed.control_calls import STATUS_OK, decode
from mallowvalve.localfleet.deployed.machines import Fleet, Machine
from mallowvalve.localfleet.deployed.records import (
    DirectoryAnswer,
    Kill,
    LongEnd,
    Records,
    RequestRecord,
    Standstill,
)
from mallowvalve.localfleet.deployed.upstream import StandinUpstream

STANDSTILL_SHARE = 0.5
STANDSTILL_AFTER_NOTICE_S = 3.0
"""How long after the acknowledgement of an upstream's notice the machines stand still."""

STANDSTILL_LEAD_S = 0.3
SERVES_ON_S = 7.0
"""How long an upstream serves on after its notice: past the standstill, so that late requests reach it."""

NOTICE_LIMIT_S = 10.0
POLL_S = 0.02
PROBE_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 1.0


class DepartureActs:
    """Plays departures on a deployed fleet."""

    def __init__(self, fleet: Fleet, records: Records, rng: random.Random, start_again: Callable[[Machine], float]):
        """`start_again` starts a machine and returns when it was ready."""
        self.fleet, self.records, self.rng, self._start_again = fleet, records, rng, start_again

    def end_for_long(self, machine: Machine, seconds: float) -> None:
        """Kills a machine's process and starts it again after `seconds`."""
        machine.kill()
        end = LongEnd(machine.name, clock.now())
        self.records.long_ends.append(end)
        gevent.sleep(seconds)
        end.started_at = clock.now()
        self.records.kills.append(Kill(machine.name, end.at, self._start_again(machine)))

    def leave_beside_standstill(self, upstream: StandinUpstream) -> None:
        """Lets an upstream leave while a part of the edge machines stands still."""
        running = [machine for machine in self.fleet.edge if machine.is_running]
        still = self.rng.sample(running, max(1, int(STANDSTILL_SHARE * len(running))))
        began_at = clock.now()
        for machine in still:
            machine.stand_still()
        try:
            gevent.sleep(STANDSTILL_LEAD_S)
            upstream.leave(SERVES_ON_S)
            end = clock.now() + NOTICE_LIMIT_S
            while upstream.acknowledged_at is None and clock.now() < end:
                gevent.sleep(POLL_S)
            gevent.sleep(STANDSTILL_AFTER_NOTICE_S)
        finally:
            for machine in still:
                machine.resume()
            self.records.standstills += [Standstill(machine.name, began_at, clock.now()) for machine in still]


class DirectoryProbes:
    """Asks the directory of each core machine for each region, again and again, and records whom it names."""

    def __init__(self, fleet: Fleet, records: Records):
        """Does not ask yet."""
        self.fleet, self.records = fleet, records
        self._names = {f"{machine.address}:{machine.web[1]}": machine.name for machine in fleet.edge}

    def start(self, jobs: Group, end: float) -> None:
        """Starts to ask, until `end` (s, this process's clock)."""
        zones = {region: zone for zone, region in sorted(self.fleet.shape.zones.items(), reverse=True)}
        for machine in self.fleet.core:
            for region, zone in zones.items():
                jobs.spawn(self._run, machine, region, zone, end)

    def _run(self, machine: Machine, region: str, zone: str, end: float) -> None:
        query = urlencode({"name": HOST_NAME, "region": region, "zone": zone})
        outgoing = Outgoing("GET", f"/proxies?{query}", {"Host": "directory"}, timeout_s=PROBE_TIMEOUT_S)
        connection = ClientConnection((machine.address, self.fleet.ports.directory), machine.name)
        while clock.now() < end:
            gevent.sleep(PROBE_INTERVAL_S)
            record = RequestRecord("", machine.name, True, True, clock.now(), is_call=True)
            answer = connection.exchange(record, outgoing)
            if answer is None:
                connection.close()
            elif answer.status == STATUS_OK:
                named = [self._names.get(address, address) for address in decode(answer)["proxies"]]
                self.records.directory_answers.append(DirectoryAnswer(record.began_at, machine.name, region, named))
        connection.close()
