"""A start waits for what the process before it still holds, and gives up at once for what does not pass."""

import errno
import signal
import socket
from types import SimpleNamespace

import pytest
from gevent.event import Event

from mallowvalve import start_wait, supervision
from mallowvalve.proxy.main import DeferredListener
from mallowvalve.start_wait import StartCancelledError, StartWait
from tests.deployed_processes import answers, planned_fleet, start, wait_until

SHORT_S = 1.0


@pytest.fixture
def fleet(tmp_path):
    with planned_fleet(tmp_path) as planned:
        yield planned


@pytest.mark.parametrize("role", ["core", "edge"])
def test_a_start_waits_for_the_end_of_the_process_before(role, fleet):
    """Guards against ends with code 2, one after the other, while a killed process still holds its lock and ports."""
    machine = getattr(fleet, role)[0]
    before = start(machine)
    try:
        assert wait_until(lambda: answers(machine))
        before.send_signal(signal.SIGSTOP)
        process = start(machine)
        assert not wait_until(lambda: process.poll() is not None, limit_s=SHORT_S)
    finally:
        before.kill()
        before.wait()
    assert wait_until(lambda: answers(machine)) and process.poll() is None


@pytest.mark.parametrize("role", ["core", "edge"])
@pytest.mark.parametrize("port", ["web", "pages", "directory", "transport", "datagrams"])
def test_a_start_waits_for_its_ports(role, port, fleet):
    """Guards against an end with code 2 where something else holds a port of the machine for a while."""
    machine = getattr(fleet, role)[0]
    kind = socket.SOCK_DGRAM if port == "datagrams" else socket.SOCK_STREAM
    with socket.socket(socket.AF_INET, kind) as holder:
        holder.bind((machine.address, fleet.ports.transport if port == "datagrams" else getattr(fleet.ports, port)))
        if kind is socket.SOCK_STREAM:
            holder.listen()
        process = start(machine)
        assert not wait_until(lambda: process.poll() is not None, limit_s=SHORT_S)
    assert wait_until(lambda: answers(machine)) and process.poll() is None


@pytest.mark.parametrize("role", ["core", "edge"])
def test_a_waiting_start_that_is_told_to_stop_ends_cleanly(role, fleet, tmp_path):
    machine = getattr(fleet, role)[0]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as holder:
        holder.bind((machine.address, fleet.ports.transport))
        with (tmp_path / "log").open("wb") as log:
            process = start(machine, stderr=log)
        assert wait_until(lambda: b"start_waits" in (tmp_path / "log").read_bytes())
        process.terminate()
        assert process.wait(timeout=30) == 0


def test_an_address_that_the_machine_does_not_have_ends_the_start_at_once(fleet, tmp_path):
    machine = fleet.edge[0]
    machine.address = "192.0.2.1"
    with (tmp_path / "log").open("wb") as log:
        process = start(machine, stderr=log)
    assert process.wait(timeout=start_wait.START_WAIT_LIMIT_S / 2) == 2
    assert b"Cannot assign requested address" in (tmp_path / "log").read_bytes()


class Failing:
    """An operation that raises the given errors, one after the other, and then succeeds."""

    def __init__(self, *codes):
        self.codes = list(codes)

    def __call__(self):
        if self.codes:
            raise OSError(self.codes.pop(0), "planted")
        return "value"


@pytest.fixture
def time(monkeypatch):
    """The time, which only sleeping moves."""

    class Time:
        now = 100.0

        def pass_by(self, seconds):
            self.now += seconds

    fake = Time()
    monkeypatch.setattr(start_wait.clock, "now", lambda: fake.now)
    return fake


@pytest.mark.parametrize("code", sorted(start_wait.PASSING_ERRORS))
def test_an_error_that_passes_is_waited_for(code, time):
    wait = StartWait(sleep=time.pass_by)
    assert wait.retry("disk", Failing(code, code, code)) == "value"
    assert 0 < wait.waited_s["disk"] < 1.0


@pytest.mark.parametrize("code", [errno.EACCES, errno.EADDRNOTAVAIL, errno.EROFS, errno.EIO, errno.ENOENT])
def test_any_other_error_ends_the_start(code, time):
    with pytest.raises(OSError, match="planted"):
        StartWait(sleep=time.pass_by).retry("disk", Failing(code))
    assert time.now == 100.0


def test_the_wait_has_a_limit(time):
    with pytest.raises(OSError, match="planted"):
        StartWait(sleep=time.pass_by).retry("disk", Failing(*[errno.ENOSPC] * 10_000))
    assert 60.0 <= time.now - 100.0 <= 61.0


def test_a_cancelled_wait_ends(time):
    with pytest.raises(StartCancelledError):
        StartWait(lambda: True, time.pass_by).retry("disk", Failing(errno.ENOSPC))


def test_each_resource_is_waited_for_however_late_it_is_needed(time):
    """Guards against a proxy that gets its first settings late, finds its port in use, and ends at once."""
    wait = StartWait(sleep=time.pass_by)
    time.pass_by(1000.0)
    assert wait.retry("port", Failing(errno.EADDRINUSE)) == "value"


def test_a_stop_while_the_clients_port_is_waited_for_ends_no_task(monkeypatch):
    """Guards against a stop that ends with code 70 in a proxy whose port is still in use."""
    codes = []
    monkeypatch.setattr(supervision.os, "_exit", codes.append)
    stopping = Event()
    server = SimpleNamespace(start=Failing(*[errno.EADDRINUSE] * 1000), shut_down=lambda: None)
    node = SimpleNamespace(
        server=server, stopping=stopping, start_wait=StartWait(stopping.is_set, lambda s: Event().wait(timeout=0.01))
    )
    replica = SimpleNamespace(settings_available=Event())
    replica.settings_available.set()
    with DeferredListener(node, replica) as listener:
        assert wait_until(lambda: node.start_wait.waited_s, limit_s=5.0)
        stopping.set()
        listener._greenlet.join(timeout=5.0)
        assert listener._greenlet.successful()
    Event().wait(timeout=0.05)
    assert codes == []
