"""Watches the processes of a deployed fleet: ends by themselves, hangs, and memory."""

from __future__ import annotations

import gevent
from gevent.pool import Group

from mallowvalve import clock
from mallowvalve.localfleet.deployed.connection import ClientConnection, Outgoing
from mallowvalve.localfleet.deployed.machines import Fleet, Machine
from mallowvalve.localfleet.deployed.records import Hang, MemoryPeak, Records, RequestRecord, Stall

POLL_S = 0.05
MEMORY_POLL_S = 0.1
CHECK_INTERVAL_S = 1.0
CHECK_TIMEOUT_S = 2.0
STALL_S = 0.5
HANG_S = 10.0
"""A process that has all its processor time and answers no readiness check for this long counts as hanging."""


def answers_readiness(machine: Machine, timeout_s: float) -> int | None:
    """Returns the status of a readiness check, None without an answer."""
    connection = ClientConnection(machine.ready_at, machine.name)
    record = RequestRecord("", machine.name, True, True, clock.now(), is_call=True)
    answer = connection.exchange(record, Outgoing("GET", "/-/ready", {"Host": "platform"}, timeout_s=timeout_s))
    connection.close()
    return answer.status if answer is not None else None


class Watch:
    """Records what processes do by themselves, and starts one that has ended again, as the platform does."""

    def __init__(self, fleet: Fleet, records: Records, restart_delay_s: float):
        """`restart_delay_s` is the time between an end and the next start."""
        self.fleet, self.records, self.restart_delay_s = fleet, records, restart_delay_s
        self._jobs = Group()

    def __enter__(self) -> Watch:
        """Starts to watch."""
        for machine in self.fleet.machines:
            self._jobs.spawn(self._watch_ends, machine)
            if self.records.share >= 1.0:
                self._jobs.spawn(self._watch_answers, machine)
        self._jobs.spawn(self._watch_memory)
        self._jobs.spawn(self._watch_stalls)
        return self

    def __exit__(self, *_: object) -> None:
        """Stops."""
        self._jobs.kill(block=True, timeout=1.0)

    def _watch_ends(self, machine: Machine) -> None:
        while True:
            end = machine.own_end()
            if end is not None:
                self.records.own_ends.append(end)
                gevent.sleep(self.restart_delay_s)
                machine.start()
            gevent.sleep(POLL_S)

    def _watch_answers(self, machine: Machine) -> None:
        process, answered_at = machine.popen, clock.now()
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            now = clock.now()
            if machine.popen is not process or not machine.is_running or machine.end_expected:
                process, answered_at = machine.popen, now
            elif answers_readiness(machine, CHECK_TIMEOUT_S) is not None:
                answered_at = clock.now()
            elif now - answered_at > HANG_S:
                self.records.hangs.append(Hang(machine.name, now, round(now - answered_at, 1), machine.last_lines()))
                answered_at = now

    def _watch_stalls(self) -> None:
        while True:
            begun = clock.now()
            gevent.sleep(POLL_S)
            late_s = clock.now() - begun - POLL_S
            if late_s > STALL_S:
                self.records.stalls.append(Stall(begun, round(late_s, 2)))

    def _watch_memory(self) -> None:
        """Records the most resident memory of each machine."""
        peaks = [MemoryPeak(machine.name, 0.0, machine.memory_mb) for machine in self.fleet.machines]
        self.records.memory = peaks
        while True:
            for machine, peak in zip(self.fleet.machines, peaks, strict=True):
                peak.most_mb = max(peak.most_mb, machine.resident_mb)
            gevent.sleep(MEMORY_POLL_S)
