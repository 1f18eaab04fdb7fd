"""Allocates free ports for processes that are started later."""

from __future__ import annotations

import fcntl
import os
import socket
import tempfile
from pathlib import Path

HOST = "127.0.0.1"
FIRST_PORT = 10_000
PORTS_PER_BLOCK = 200
EPHEMERAL_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_FIRST_EPHEMERAL_PORT = 32_768


class PortAllocator:
    """Allocates ports below the ephemeral range, so that no outgoing connection takes one of them.

    Ports come in blocks. A process reserves a block by locking a file, until it ends.
    """

    __slots__ = ("_lock_descriptors", "_remaining", "_folder")

    def __init__(self) -> None:
        """Creates an allocator that has reserved no block yet."""
        self._lock_descriptors: list[int] = []
        self._remaining: list[int] = []
        self._folder = Path(tempfile.gettempdir()) / f"mallowvalve-ports-{os.getuid()}"

    def allocate(self, count: int) -> list[int]:
        """Returns `count` ports without a listener, from blocks that stay reserved until this process ends.

        Raises OSError if every block is in use.
        """
        ports: list[int] = []
        while len(ports) < count:
            if not self._remaining:
                self._remaining = self._reserve_block()
            port = self._remaining.pop(0)
            if _is_free(port):
                ports.append(port)
        return ports

    def _reserve_block(self) -> list[int]:
        self._folder.mkdir(exist_ok=True)
        for first in range(FIRST_PORT, _first_ephemeral_port() - PORTS_PER_BLOCK, PORTS_PER_BLOCK):
            descriptor = os.open(self._folder / str(first), os.O_RDWR | os.O_CREAT, 0o600)
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(descriptor)
                continue
            self._lock_descriptors.append(descriptor)
            return list(range(first, first + PORTS_PER_BLOCK))
        raise OSError("every block of ports is in use")


def _first_ephemeral_port() -> int:
    try:
        return int(EPHEMERAL_RANGE_FILE.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        return DEFAULT_FIRST_EPHEMERAL_PORT


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True


_allocator = PortAllocator()
free_ports = _allocator.allocate
