import json
import os
import subprocess
import sys

from mallowvalve.localfleet.ports import FIRST_PORT, PortAllocator, _first_ephemeral_port, free_ports

ALLOCATE = "from mallowvalve.localfleet.ports import free_ports; print(free_ports(40)); input()"


def test_processes_allocate_distinct_ports_below_the_ephemeral_range():
    own_ports = free_ports(40)
    processes = [
        subprocess.Popen([sys.executable, "-c", ALLOCATE], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        for _ in range(3)
    ]
    other_ports = [json.loads(process.stdout.readline()) for process in processes]
    for process in processes:
        process.communicate("\n")
    ports = [*own_ports, *(port for allocated in other_ports for port in allocated)]
    assert len(set(ports)) == 160 and all(FIRST_PORT <= port < _first_ephemeral_port() for port in ports)


def test_a_block_is_available_again_after_its_lock_is_released():
    first = PortAllocator()
    allocated = first.allocate(1)
    second = PortAllocator()
    assert second.allocate(1) != allocated
    for descriptor in first._lock_descriptors:
        os.close(descriptor)
    assert PortAllocator().allocate(1) <= allocated
