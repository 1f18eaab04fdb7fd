"""Free ports for processes that are started later."""

from __future__ import annotations

import fcntl
import os
import socket
import tempfile
from pathlib import Path

HOST = "127.0.0.1"
FIRST, BLOCK = 10_000, 200
RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


class Ports:
    """Ports that no outgoing connection is given, in blocks that one process at a time holds by a locked file."""

    __slots__ = ("_locks", "_left", "_folder")

    def __init__(self):
        """No block is held yet."""
        self._locks: list[int] = []
        self._left: list[int] = []
        self._folder = Path(tempfile.gettempdir()) / f"mallowvalve-ports-{os.getuid()}"

    def take(self, n: int) -> list[int]:
        """So many ports that nobody listens at, of blocks that this process holds to its end."""
        out: list[int] = []
        while len(out) < n:
            if not self._left:
                self._left = self._block()
            p = self._left.pop(0)
            if _is_free(p):
                out.append(p)
        return out

    def _block(self) -> list[int]:
        self._folder.mkdir(exist_ok=True)
        for first in range(FIRST, _end() - BLOCK, BLOCK):
            fd = os.open(self._folder / str(first), os.O_RDWR | os.O_CREAT, 0o600)
            try:
                fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(fd)
                continue
            self._locks.append(fd)
            return list(range(first, first + BLOCK))
        raise OSError("every block of ports is in use")


def _end() -> int:
    try:
        return int(RANGE.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        return 32768


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as s:
            try:
                s.bind((HOST, port))
            except OSError:
                return False
    return True


_ports = Ports()
free_ports = _ports.take
