"""Made-up input to each port of real processes: it is counted, and nothing else."""

import random
from http.client import HTTPConnection
from types import SimpleNamespace

import pytest

from mallowvalve import settings
from mallowvalve.fault import InjectedFaults
from mallowvalve.localfleet.deployed.garbage import FLEET, GarbageSource, send_to_all_ports
from mallowvalve.localfleet.deployed.watch import answers_readiness
from mallowvalve.membership.wire import PROTOCOL_VERSION, DatagramHeader, Sum
from mallowvalve.metrics import Counts
from mallowvalve.node import Node
from mallowvalve.transport import channel
from mallowvalve.transport.calls import CallFailure
from mallowvalve.transport.frame import Hello
from mallowvalve.types import Address
from tests.deployed_processes import answers, planned_fleet, start, wait_until

ROUNDS = 10
NAMED = Address("proxy.example", 7)
NUMBERED = Address("127.0.0.1", 7)
SETTINGS = {"name": "n", "locality": "eu/a", "transport": "127.0.0.1:1", "web": "127.0.0.1:2"}


@pytest.mark.parametrize("seed", range(3))
def test_made_up_input_to_each_port_ends_no_process(seed, tmp_path):
    """Guards against an end with code 70 by one frame, datagram or request that no program of ours would send."""
    source = GarbageSource(random.Random(f"garbage/{seed}"))
    with planned_fleet(tmp_path, callers=0) as fleet:
        for machine in fleet.machines:
            with (machine.folder / "log").open("wb") as log:
                start(machine, stderr=log)
        assert wait_until(lambda: answers_readiness(fleet.core[0], 1.0) == 200 and answers(fleet.edge[0]))
        for _ in range(ROUNDS):
            for machine in fleet.machines:
                send_to_all_ports(source, machine)
                assert machine.popen.poll() is None, machine.last_lines()
        for machine in fleet.machines:
            assert wait_until(lambda: machine.popen.poll() is not None or answers(machine)), machine.last_lines()
        assert wait_until(lambda: draws_a_number(fleet), limit_s=20.0), fleet.core[0].last_lines()
        for machine in fleet.machines:
            machine.popen.terminate()
            assert machine.popen.wait(timeout=30) == 0, machine.last_lines()
            assert machine.handler_errors() == []


def draws_a_number(fleet):
    connection = HTTPConnection(*fleet.core[0].web, timeout=2.0)
    try:
        connection.request("POST", "/api/numbers/n", b"{}", {"Content-Type": "application/json"})
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()


def test_a_member_whose_host_is_a_name_is_not_looked_up(monkeypatch):
    """Guards against a process that stands still for seconds while the system asks a name server (hostsoak seed 601)."""
    membership = Node(settings.check("proxy", SETTINGS).unwrap()).membership
    sent = []
    membership._socket = SimpleNamespace(sendto=lambda data, to: sent.append(to))
    header = DatagramHeader(PROTOCOL_VERSION, FLEET, NAMED, 1, 1)
    membership._send([(NAMED, Sum(header, 0, False)), (NUMBERED, Sum(header, 0, False))])
    assert sent == [NUMBERED.pair] and membership.membership.counts.get("membership_send_error") == 1


def test_a_peer_whose_host_is_a_name_is_not_connected_to(monkeypatch):
    attempts = []
    monkeypatch.setattr(channel.socket, "create_connection", lambda *words, **more: attempts.append(words))
    peer = channel.Channel(NAMED, Hello(1, FLEET, NUMBERED), Counts(), InjectedFaults())
    assert peer.call("who", b"", 0.2).unwrap_err() is CallFailure.UNREACHABLE and attempts == []
    peer.close()
