"""The files under the log, in one folder, and the durability of each operation across a power loss.

After a power loss, the bytes written to a file since its last sync may be kept, missing or torn. Each name that was
created, renamed or removed since the folder's last sync is kept or lost independently. The operations below therefore
specify both kinds of sync, and none relies on the order in which a file system writes.
"""

from __future__ import annotations

import errno
import fcntl
import os
from contextlib import suppress
from pathlib import Path
from types import TracebackType
from typing import Protocol

TEMPORARY_SUFFIX = ".new"
LOCK_FILE = ".lock"
READ_CHUNK_BYTES = 1 << 20


class Disk(Protocol):
    """Named append-only files. Any operation that writes may raise OSError, with the effect that it documents."""

    def names(self) -> list[str]:
        """Returns the sorted names of all files."""
        ...

    def read(self, name: str) -> bytes:
        """Returns the contents of a file."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file, creating it if necessary. A crash before `sync`, or an OSError, may keep any part."""
        ...

    def sync(self, name: str) -> None:
        """Makes all data appended to this file durable, along with its name and all earlier removals of names."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to `size` bytes durably."""
        ...

    def put(self, name: str, *parts: bytes) -> None:
        """Creates or replaces a file atomically and durably; a crash leaves the old contents or the new ones.

        After an OSError either may be present, and a crash may still change which.
        """
        ...

    def remove(self, name: str) -> None:
        """Removes a file. A crash may restore it until a `sync` or `put` of another file returns."""
        ...


class Folder:
    """A folder of files that one process at a time may use; the context manager holds its lock."""

    __slots__ = ("path", "_descriptors", "_lock", "_unsynced_names")

    def __init__(self, path: Path):
        """Selects the folder; no file access happens before the context is entered."""
        self.path = path
        self._descriptors: dict[str, int] = {}
        self._unsynced_names: set[str] = set()

    def __enter__(self) -> Folder:
        """Creates and locks the folder; raises BlockingIOError if another process holds the lock.

        A killed process may have created, renamed or removed names without a sync. A reader acts on those names, so
        they are synced first. Temporary files of unfinished `put` calls are deleted.
        """
        self._make_folder(self.path)
        self._lock = os.open(self.path / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise BlockingIOError(errno.EAGAIN, f"{self.path} is in use by another process") from None
        for name in os.listdir(self.path):
            if name.endswith(TEMPORARY_SUFFIX):
                os.unlink(self.path / name)
        self._sync_names()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Closes all files and releases the lock, without syncing anything."""
        for fd in self._descriptors.values():
            os.close(fd)
        self._descriptors.clear()
        os.close(self._lock)

    def names(self) -> list[str]:
        """Returns the sorted names of all files, except the lock file and temporary files."""
        names = os.listdir(self.path)
        return sorted(n for n in names if not n.startswith(".") and not n.endswith(TEMPORARY_SUFFIX))

    def read(self, name: str) -> bytes:
        """Returns the contents of a file."""
        fd = os.open(self.path / name, os.O_RDONLY)
        try:
            parts = []
            while part := os.read(fd, READ_CHUNK_BYTES):
                parts.append(part)
            return b"".join(parts)
        finally:
            os.close(fd)

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file; a crash before `sync` may keep any part of the data, or not even the name."""
        _write_all(self._descriptor(name), data)

    def sync(self, name: str) -> None:
        """Makes the file's data and all names durable."""
        os.fdatasync(self._descriptor(name))
        if self._unsynced_names:
            self._sync_names()

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file durably, by fsync, because fdatasync need not persist a size that only shrinks."""
        fd = self._descriptor(name)
        os.ftruncate(fd, size)
        os.fsync(fd)

    def put(self, name: str, *parts: bytes) -> None:
        """Creates or replaces a file atomically and durably.

        The data is synced before the rename, so that the name never refers to partial data after a crash. The name is
        synced before this returns, so that a crash cannot undo a rename on which the caller relies.
        """
        temporary = self.path / (name + TEMPORARY_SUFFIX)
        try:
            self._write_whole(temporary, parts)
        except OSError:
            with suppress(FileNotFoundError):
                os.unlink(temporary)
            raise
        self._unsynced_names.add(name)
        os.replace(temporary, self.path / name)
        self._sync_names()

    def remove(self, name: str) -> None:
        """Removes a file if it exists; a crash may restore it until the next `sync` or `put`."""
        fd = self._descriptors.pop(name, None)
        if fd is not None:
            os.close(fd)
        with suppress(FileNotFoundError):
            os.unlink(self.path / name)
            self._unsynced_names.add(name)

    def _write_whole(self, path: Path, parts: tuple[bytes, ...]) -> None:
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            for part in parts:
                _write_all(fd, part)
            os.fsync(fd)
        finally:
            os.close(fd)

    def _descriptor(self, name: str) -> int:
        """Returns the file's descriptor for appending; a newly created name is not durable until the next `sync`."""
        fd = self._descriptors.get(name)
        if fd is None:
            path = self.path / name
            try:
                fd = os.open(path, os.O_WRONLY | os.O_APPEND)
            except FileNotFoundError:
                self._unsynced_names.add(name)
                fd = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
            self._descriptors[name] = fd
        return fd

    def _sync_names(self) -> None:
        """Makes the names in the folder durable. On failure they stay recorded as unsynced, and the next sync retries.

        Another thread may change names meanwhile, so only the names that were recorded before the sync are cleared.
        """
        before = set(self._unsynced_names)
        _sync_folder(self.path)
        self._unsynced_names -= before

    def _make_folder(self, path: Path) -> None:
        """Creates the folder if necessary and syncs its own name, whose loss would lose all files."""
        try:
            os.mkdir(path)
        except FileNotFoundError:
            self._make_folder(path.parent)
            os.mkdir(path)
        except FileExistsError:
            pass
        with suppress(PermissionError):
            _sync_folder(path.parent)


def _write_all(fd: int, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(fd, remaining) :]


def _sync_folder(path: Path) -> None:
    fd = os.open(path, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
