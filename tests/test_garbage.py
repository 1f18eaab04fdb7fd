"""Made-up input to each port of real processes: it is counted, and nothing else."""

import random
from http.client import HTTPConnection

import pytest

from mallowvalve.localfleet.deployed.garbage import GarbageSource, send_datagrams, send_frames, send_requests
from mallowvalve.localfleet.deployed.watch import answers_readiness
from tests.deployed_processes import answers, planned_fleet, start, wait_until

FLEET = "mallowvalve"
ROUNDS = 10
FRAMES = 60
DATAGRAMS = 120


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


def send_to_all_ports(source, machine):
    transport = machine.address, machine.fleet.ports.transport
    send_frames(source, transport, FLEET, FRAMES)
    send_datagrams(source, transport, FLEET, DATAGRAMS)
    send_requests(source, machine.ready_at, 2)


def draws_a_number(fleet):
    connection = HTTPConnection(*fleet.core[0].web, timeout=2.0)
    try:
        connection.request("POST", "/api/numbers/n", b"{}", {"Content-Type": "application/json"})
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()
