"""Failures put in at the process's own edges, for trials: cuts of the transport, full and stalled disks."""

from __future__ import annotations

import errno
import os
import time
from pathlib import Path
from typing import Any

import gevent
import msgspec

from mallowvalve.metrics import log_event
from mallowvalve.types import Address

TRIAL_FLEET = "localfleet"
"""The name of fleets on one machine, the only ones that may have faults put in."""

CHECK_INTERVAL_S = 0.05
"""Seconds between two looks at the file of faults."""


class FaultSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The file of faults.

    `cuts` are pairs of transport addresses (from, to), `full` the names of processes whose disk refuses to grow,
    `stalls` how long each write of a process takes longer (s).
    """

    cuts: list[tuple[str, str]] = []
    full: list[str] = []
    stalls: dict[str, float] = {}


class InjectedFaults:
    """Nothing is ever wrong unless a settings file says so and the fleet is one that `localfleet` runs."""

    __slots__ = ("path", "name", "_wish", "_seen", "_job", "_cuts")

    def __init__(self, path: str | None = None, name: str = "") -> None:
        """Faults of the process `name` by the file at `path`; none at all without one."""
        self.path = Path(path) if path else None
        self.name = name
        self._wish = FaultSpec()
        self._seen = -1
        self._job: gevent.Greenlet | None = None
        self._cuts: set[tuple[str, str]] = set()

    def __enter__(self) -> InjectedFaults:
        """Begin to look at the file, if there is one."""
        if self.path is not None:
            log_event("faults_possible", file=str(self.path))
            self._job = gevent.spawn(self._run)
        return self

    def __exit__(self, *_: object) -> None:
        """Look no more; the faults stay as they are."""
        if self._job is not None:
            self._job.kill()

    def drops_datagram(self, src: Address, dst: Address) -> bool:
        """A datagram is lost where its way is cut."""
        return bool(self._cuts) and (str(src), str(dst)) in self._cuts

    def cuts_stream(self, a: Address, b: Address) -> bool:
        """A stream needs both ways."""
        return bool(self._cuts) and (self.drops_datagram(a, b) or self.drops_datagram(b, a))

    @property
    def full(self) -> bool:
        """Whether this process's disk refuses to grow."""
        return self.name in self._wish.full

    @property
    def stall(self) -> float:
        """Seconds that each write of this process takes longer."""
        return self._wish.stalls.get(self.name, 0.0)

    def look(self) -> None:
        """Read the file if it was changed; one that is not there means no faults, one not understood changes none."""
        if self.path is None:
            return
        try:
            changed_at = os.stat(self.path).st_mtime_ns
            if changed_at == self._seen:
                return
            self._wish = msgspec.json.decode(self.path.read_bytes(), type=FaultSpec)
            self._seen = changed_at
        except FileNotFoundError:
            self._wish = FaultSpec()
        except msgspec.DecodeError as e:
            log_event("faults_not_understood", error=str(e))
            return
        self._cuts = set(self._wish.cuts)

    def _run(self) -> None:
        while True:
            self.look()
            gevent.sleep(CHECK_INTERVAL_S)


class FaultyDisk:
    """The folder under the log, refusing or stalling as the faults say; it has the methods of `storage.disk.Disk`."""

    __slots__ = ("disk", "faults")

    def __init__(self, disk: Any, faults: InjectedFaults) -> None:
        """Pass all on to `disk` but what `faults` refuse or stall."""
        self.disk = disk
        self.faults = faults

    def names(self) -> list[str]:
        """The files there are."""
        names: list[str] = self.disk.names()
        return names

    def read(self, name: str) -> bytes:
        """A whole file."""
        content: bytes = self.disk.read(name)
        return content

    def append(self, name: str, data: bytes) -> None:
        """Append; on a full disk half of it arrives before the refusal (OSError, ENOSPC)."""
        if self.faults.full:
            self.disk.append(name, data[: len(data) // 2])
        self._refuse()
        self.disk.append(name, data)

    def sync(self, name: str) -> None:
        """Make a file's content last, after the stall."""
        time.sleep(self.faults.stall)
        self.disk.sync(name)

    def cut(self, name: str, size: int) -> None:
        """Shorten a file to `size` bytes."""
        self.disk.cut(name, size)

    def put(self, name: str, *parts: bytes) -> None:
        """Replace a whole file, after the stall, or refuse it whole."""
        self._refuse()
        time.sleep(self.faults.stall)
        self.disk.put(name, *parts)

    def remove(self, name: str) -> None:
        """Delete a file."""
        self.disk.remove(name)

    def _refuse(self) -> None:
        if self.faults.full:
            raise OSError(errno.ENOSPC, "no space left (a trial's fault)")
