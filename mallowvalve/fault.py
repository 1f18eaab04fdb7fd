"""Fault injection for trials: cut transport links, full and stalled disks."""

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
"""Name of the fleets that run on one machine; faults are allowed only in these."""

CHECK_INTERVAL_S = 0.05
"""Time between two checks of the file of faults."""


class FaultSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of the file of faults.

    `cuts` are pairs of transport addresses (from, to), `full` the names of processes whose disk is full, `stalls` the
    extra duration of each write by process name (s).
    """

    cuts: list[tuple[str, str]] = []
    full: list[str] = []
    stalls: dict[str, float] = {}


class InjectedFaults:
    """The faults of one process; there are none unless its settings name a file, which only `localfleet` fleets may."""

    __slots__ = ("path", "name", "_spec", "_file_mtime_ns", "_job", "_cuts")

    def __init__(self, path: str | None = None, name: str = "") -> None:
        """Reads the faults of the process `name` from the file at `path`; without a path there are none."""
        self.path = Path(path) if path else None
        self.name = name
        self._spec = FaultSpec()
        self._file_mtime_ns = -1
        self._job: gevent.Greenlet | None = None
        self._cuts: set[tuple[str, str]] = set()

    def __enter__(self) -> InjectedFaults:
        """Starts to check the file, if one is set."""
        if self.path is not None:
            log_event("faults_possible", file=str(self.path))
            self._job = gevent.spawn(self._run)
        return self

    def __exit__(self, *_: object) -> None:
        """Stops checking the file; the current faults stay."""
        if self._job is not None:
            self._job.kill()

    def drops_datagram(self, src: Address, dst: Address) -> bool:
        """Returns whether datagrams from `src` to `dst` are lost."""
        return bool(self._cuts) and (str(src), str(dst)) in self._cuts

    def cuts_stream(self, near: Address, far: Address) -> bool:
        """Returns whether a stream between the addresses is cut: it needs both directions."""
        return bool(self._cuts) and (self.drops_datagram(near, far) or self.drops_datagram(far, near))

    @property
    def disk_full(self) -> bool:
        """Whether this process's disk is full."""
        return self.name in self._spec.full

    @property
    def disk_stall_s(self) -> float:
        """Extra duration of each write of this process (s)."""
        return self._spec.stalls.get(self.name, 0.0)

    def check_file(self) -> None:
        """Reads the file if it has changed; a missing file means no faults, an invalid one leaves the faults as is."""
        if self.path is None:
            return
        try:
            mtime_ns = os.stat(self.path).st_mtime_ns
            if mtime_ns == self._file_mtime_ns:
                return
            self._spec = msgspec.json.decode(self.path.read_bytes(), type=FaultSpec)
            self._file_mtime_ns = mtime_ns
        except FileNotFoundError:
            self._spec = FaultSpec()
        except msgspec.DecodeError as error:
            log_event("faults_not_understood", error=str(error))
            return
        self._cuts = set(self._spec.cuts)

    def _run(self) -> None:
        while True:
            self.check_file()
            gevent.sleep(CHECK_INTERVAL_S)


class FaultyDisk:
    """A log folder with injected faults; it has the methods of `storage.disk.Disk`."""

    __slots__ = ("disk", "faults")

    def __init__(self, disk: Any, faults: InjectedFaults) -> None:
        """Wraps `disk`; `faults` decide which writes fail or stall."""
        self.disk = disk
        self.faults = faults

    def names(self) -> list[str]:
        """Returns the names of all files."""
        names: list[str] = self.disk.names()
        return names

    def read(self, name: str) -> bytes:
        """Returns the content of a file."""
        content: bytes = self.disk.read(name)
        return content

    def append(self, name: str, data: bytes) -> None:
        """Appends data; on a full disk half of it is written, then OSError (ENOSPC) is raised."""
        if self.faults.disk_full:
            self.disk.append(name, data[: len(data) // 2])
        self._raise_if_full()
        self.disk.append(name, data)

    def sync(self, name: str) -> None:
        """Makes a file's content durable, after the stall."""
        time.sleep(self.faults.disk_stall_s)
        self.disk.sync(name)

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to `size` bytes."""
        self.disk.truncate(name, size)

    def put(self, name: str, *parts: bytes) -> None:
        """Replaces a file, after the stall; on a full disk it raises OSError (ENOSPC) and writes nothing."""
        self._raise_if_full()
        time.sleep(self.faults.disk_stall_s)
        self.disk.put(name, *parts)

    def remove(self, name: str) -> None:
        """Deletes a file."""
        self.disk.remove(name)

    def _raise_if_full(self) -> None:
        if self.faults.disk_full:
            raise OSError(errno.ENOSPC, "no space left (injected fault)")
