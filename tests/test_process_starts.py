"""Starts of the deploy file's processes: signals, standard streams, and what the process before still holds."""

import shlex
import signal
import subprocess
import sys

import pytest

from mallowvalve.localfleet.deployed.shape import load_deploy_file
from tests.deployed_processes import ROOT, answers, command_of, environment, planned_fleet, start, wait_until

ROLES = ("core", "edge")
FIRST_SIGNAL = """
import _signal, os, sys
before = set(sys.modules)
def show(number, _handler):
    if number == _signal.SIGHUP:
        os.write(1, repr(sorted(set(sys.modules) - before)).encode())
        os._exit(0)
_signal.signal = show
exec(compile(open(sys.argv[1]).read(), sys.argv[1], "exec"))
"""


@pytest.fixture(params=ROLES)
def machine(request, tmp_path):
    with planned_fleet(tmp_path) as fleet:
        yield getattr(fleet, request.param)[0]


@pytest.mark.parametrize("role", ["control", "proxy"])
def test_sighup_is_ignored_before_anything_is_imported(role):
    """Guards against a change of settings that ends a process which has just been started (signal 1)."""
    _, *words = shlex.split(load_deploy_file(ROOT).unwrap().roles[role].run)
    assert words[0] == "-S", "site would be imported before the first line"
    ended = subprocess.run(
        [sys.executable, "-S", "-c", FIRST_SIGNAL, words[1]], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert ended.stdout == "[]"


def test_bursts_of_sighup_while_a_process_starts_end_nothing(machine):
    """Guards against a moment in the start, after the first handler, in which SIGHUP has none."""
    process = start(machine)
    assert wait_until(lambda: machine.ignores(signal.SIGHUP), step_s=0.001)
    while not answers(machine):
        assert process.poll() is None
        for _ in range(20):
            machine.signal(signal.SIGHUP)
    assert process.poll() is None


def test_sigterm_during_a_start_is_a_clean_end(machine):
    """Guards against an end by signal 15 of a process that is told to stop before it serves."""
    process = start(machine)
    assert wait_until(lambda: machine.ignores(signal.SIGHUP), step_s=0.001)
    assert wait_until(lambda: machine.ignores(signal.SIGTERM), step_s=0.001)
    process.send_signal(signal.SIGTERM)
    assert process.wait(timeout=30) == 0


def test_a_process_starts_without_standard_streams(machine):
    """Guards against an end with code 1 at each start where descriptors 0, 1 and 2 are closed."""
    words = shlex.join(command_of(machine))
    machine.popen = subprocess.Popen(["sh", "-c", f"exec {words} <&- >&- 2>&-"], cwd=ROOT, env=environment())
    assert wait_until(lambda: machine.popen.poll() is not None or answers(machine))
    assert machine.popen.poll() is None


def test_signals_during_a_stop_leave_it_a_clean_end(machine):
    """Guards against an end by a signal whose handler goes before the process does."""
    process = start(machine)
    assert wait_until(lambda: answers(machine))
    process.send_signal(signal.SIGTERM)
    while process.poll() is None:
        for number in (signal.SIGHUP, signal.SIGTERM):
            machine.signal(number)
        wait_until(lambda: process.poll() is not None, limit_s=0.001, step_s=0.0005)
    assert process.returncode == 0
