"""Real processes of the deploy file on loopback, for tests of how they start and end."""

import os
import shlex
import signal
import subprocess
import sys
from contextlib import contextmanager
from pathlib import Path

import msgspec
from gevent.event import Event

from mallowvalve import clock
from mallowvalve.localfleet.deployed.machines import PASSED_ENVIRONMENT, SETTINGS_PATH, Fleet, Machine
from mallowvalve.localfleet.deployed.shape import load_deploy_file, load_shape
from mallowvalve.localfleet.deployed.watch import answers_readiness

ROOT = Path(__file__).parent.parent
SHAPE = msgspec.structs.replace(load_shape(ROOT / "examples/hostsoak.json").unwrap(), core=1, edge=1)
READY_LIMIT_S = 60.0


def wait_until(condition, limit_s=READY_LIMIT_S, step_s=0.01):
    """Returns the first true value of `condition`, None if there is none within the limit."""
    end = clock.now() + limit_s
    while clock.now() < end:
        value = condition()
        if value:
            return value
        Event().wait(timeout=step_s)
    return None


@contextmanager
def planned_fleet(folder, **changes):
    """Yields a fleet whose machines have settings but no processes; kills those that a test starts."""
    fleet = Fleet(msgspec.structs.replace(SHAPE, **changes), ROOT, load_deploy_file(ROOT).unwrap(), Path(folder))
    try:
        yield fleet
    finally:
        for machine in fleet.machines:
            machine.signal(signal.SIGCONT)
            machine.kill()


def command_of(machine: Machine) -> list[str]:
    """Returns the words of a machine's command, with the path of its settings, which are written."""
    _, *words = shlex.split(machine.fleet.deploy.roles[machine.role].run)
    path = str(machine.write_settings())
    return [sys.executable, *(word.replace(SETTINGS_PATH, path) for word in words)]


def environment() -> dict[str, str]:
    """Returns the variables that the platform passes on."""
    kept = {name: os.environ[name] for name in PASSED_ENVIRONMENT if name in os.environ}
    return kept | {"PYTHONPATH": str(ROOT), "PYTHONDONTWRITEBYTECODE": "1"}


def start(machine: Machine, **options) -> subprocess.Popen:
    """Starts a machine's process with options of `Popen`; without them its output is discarded."""
    options = {"stdout": subprocess.DEVNULL, "stderr": subprocess.DEVNULL} | options
    machine.popen = subprocess.Popen(command_of(machine), cwd=ROOT, env=environment(), **options)
    machine.first_start = False
    return machine.popen


def answers(machine: Machine) -> bool:
    """Returns whether the process answers a readiness check, with any status."""
    return answers_readiness(machine, 1.0) is not None
