"""Acts that hinder a start: signals during it, and a process before it or a port that is not gone yet."""

from __future__ import annotations

import signal
import socket
import subprocess
from collections.abc import Callable
from contextlib import ExitStack

import gevent

from mallowvalve import clock
from mallowvalve.localfleet.deployed.machines import Machine
from mallowvalve.localfleet.schedule import ActKind

BURST_PAUSE_S = 0.005
HANDLER_LIMIT_S = 5.0


def kill_and_hinder_start(machine: Machine, kind: ActKind, lasts_s: float) -> Callable[[], None]:
    """Ends a machine's process and starts the next one, which is hindered for `lasts_s`.

    Returns what is to be called afterwards, which ends the hindrance.
    """
    match kind:
        case ActKind.LATE_END:
            return _start_beside(machine, lasts_s)
        case ActKind.PORTS_HELD:
            return _start_without_ports(machine, lasts_s)
    machine.kill()
    machine.start()
    _send_reloads(machine, lasts_s)
    return lambda: None


def _start_beside(machine: Machine, lasts_s: float) -> Callable[[], None]:
    """Suspends the process, which keeps its lock and ports, and starts the next one."""
    before = machine.suspend_and_replace()
    gevent.sleep(lasts_s)
    return lambda: _end(before)


def _end(process: subprocess.Popen[bytes] | None) -> None:
    if process is not None:
        process.kill()
        process.wait()


def _start_without_ports(machine: Machine, lasts_s: float) -> Callable[[], None]:
    """Kills the process, takes its ports, and starts the next one."""
    machine.kill()
    held = ExitStack()
    for kind, port in machine.bound_ports():
        holder = held.enter_context(socket.socket(socket.AF_INET, kind))
        if kind is socket.SOCK_STREAM:
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((machine.address, port))
        if kind is socket.SOCK_STREAM:
            holder.listen()
    machine.start()
    gevent.sleep(lasts_s)
    return held.close


def _send_reloads(machine: Machine, lasts_s: float) -> None:
    """Sends SIGHUP again and again, from the first moment at which the process can handle it."""
    begun = clock.now()
    while not machine.ignores(signal.SIGHUP) and clock.now() < begun + HANDLER_LIMIT_S:
        gevent.sleep(BURST_PAUSE_S)
    end = clock.now() + lasts_s
    while clock.now() < end:
        machine.signal(signal.SIGHUP)
        gevent.sleep(BURST_PAUSE_S)
