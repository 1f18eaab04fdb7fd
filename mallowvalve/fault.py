"""Failures put in at the process's own edges, for trials: cuts of the transport, full and stalled disks."""

from __future__ import annotations

import errno
import os
import time
from pathlib import Path

import gevent
import msgspec

from mallowvalve.metrics import change
from mallowvalve.types import Address

FLEET = "localfleet"
LOOK = 0.05


class Wish(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    cuts: list[tuple[str, str]] = []
    full: list[str] = []
    stalls: dict[str, float] = {}


class Faults:
    """Nothing is ever wrong unless a settings file says so and the fleet is one that `whole` runs."""

    __slots__ = ("path", "name", "_wish", "_seen", "_job", "_cuts")

    def __init__(self, path: str | None = None, name: str = ""):
        self.path, self.name = Path(path) if path else None, name
        self._wish, self._seen, self._job = Wish(), -1, None
        self._cuts: set[tuple[str, str]] = set()

    def __enter__(self) -> Faults:
        if self.path is not None:
            change("faults_possible", file=str(self.path))
            self._job = gevent.spawn(self._run)
        return self

    def __exit__(self, *_) -> None:
        if self._job is not None:
            self._job.kill()

    def silent(self, src: Address, dst: Address) -> bool:
        """A datagram is lost where its way is cut."""
        return bool(self._cuts) and (str(src), str(dst)) in self._cuts

    def apart(self, a: Address, b: Address) -> bool:
        """A stream needs both ways."""
        return bool(self._cuts) and (self.silent(a, b) or self.silent(b, a))

    @property
    def full(self) -> bool:
        return self.name in self._wish.full

    @property
    def stall(self) -> float:
        return self._wish.stalls.get(self.name, 0.0)

    def look(self) -> None:
        try:
            at = os.stat(self.path).st_mtime_ns
            if at == self._seen:
                return
            self._wish = msgspec.json.decode(self.path.read_bytes(), type=Wish)
            self._seen = at
        except FileNotFoundError:
            self._wish = Wish()
        except msgspec.DecodeError as e:
            return change("faults_not_understood", error=str(e))
        self._cuts = set(self._wish.cuts)

    def _run(self) -> None:
        while True:
            self.look()
            gevent.sleep(LOOK)


class FaultyDisk:
    """The folder under the log, refusing or stalling as the faults say."""

    __slots__ = ("disk", "faults")

    def __init__(self, disk, faults: Faults):
        self.disk, self.faults = disk, faults

    def names(self) -> list[str]:
        return self.disk.names()

    def read(self, name: str) -> bytes:
        return self.disk.read(name)

    def append(self, name: str, data: bytes) -> None:
        if self.faults.full:
            self.disk.append(name, data[: len(data) // 2])
        self._refuse()
        self.disk.append(name, data)

    def sync(self, name: str) -> None:
        time.sleep(self.faults.stall)
        self.disk.sync(name)

    def cut(self, name: str, size: int) -> None:
        self.disk.cut(name, size)

    def put(self, name: str, *parts: bytes) -> None:
        self._refuse()
        time.sleep(self.faults.stall)
        self.disk.put(name, *parts)

    def remove(self, name: str) -> None:
        self.disk.remove(name)

    def _refuse(self) -> None:
        if self.faults.full:
            raise OSError(errno.ENOSPC, "no space left (a trial's fault)")
