"""The files under the log, in one folder, and what each operation on them promises when the power goes.

After a loss of power a file's bytes since its last sync are kept, missing or torn, and each name that was made,
renamed or removed since the folder's last sync is kept or lost by itself. Both kinds of sync are therefore part of
what the operations below promise; none of them relies on the order in which a file system happens to write.
"""

from __future__ import annotations

import fcntl
import os
from contextlib import suppress
from pathlib import Path
from types import TracebackType
from typing import Protocol

NEW = ".new"
LOCK = ".lock"
CHUNK = 1 << 20


class Disk(Protocol):
    """Named files, each append-only; any operation that writes may raise OSError, with the effect it names."""

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        ...

    def read(self, name: str) -> bytes:
        """Return a whole file."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Write at a file's end, making it if need be; until `sync` a crash may keep any part. So may an OSError."""
        ...

    def sync(self, name: str) -> None:
        """Return once all that was appended to this file is safe, and its name, and every name removed before."""
        ...

    def truncate(self, name: str, size: int) -> None:
        """Shorten a file to `size` bytes, safely."""
        ...

    def put(self, name: str, *parts: bytes) -> None:
        """Make or replace a whole file, safely: a crash inside leaves the old one or the new one, never a part.

        After an OSError either may be there, and a crash may still change which.
        """
        ...

    def remove(self, name: str) -> None:
        """Remove a file; it may be back after a crash, unless a `sync` or `put` of another file returned since."""
        ...


class Folder:
    """A folder of files that one process at a time may use; the context holds its lock."""

    __slots__ = ("path", "_open", "_lock", "_unsafe")

    def __init__(self, path: Path):
        """Name the folder; nothing is read or written before the context is entered."""
        self.path = path
        self._open: dict[str, int] = {}
        self._unsafe: set[str] = set()

    def __enter__(self) -> Folder:
        """Make and lock the folder; BlockingIOError where another process has it.

        A process that was killed may have made, renamed or removed names without its sync. Whoever reads them now acts
        on them, so they are made safe first; a file that was being put is no file yet and goes.
        """
        self._make(self.path)
        self._lock = os.open(self.path / LOCK, os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise BlockingIOError(f"{self.path} is in use by another process") from None
        for name in os.listdir(self.path):
            if name.endswith(NEW):
                os.unlink(self.path / name)
        self._sync_names()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Close all files and give the lock back; nothing is synced that was not."""
        for fd in self._open.values():
            os.close(fd)
        self._open.clear()
        os.close(self._lock)

    def names(self) -> list[str]:
        """Return the names of all files, sorted; neither the lock nor a file that is being put."""
        return sorted(n for n in os.listdir(self.path) if not n.startswith(".") and not n.endswith(NEW))

    def read(self, name: str) -> bytes:
        """Return a whole file."""
        fd = os.open(self.path / name, os.O_RDONLY)
        try:
            parts = []
            while part := os.read(fd, CHUNK):
                parts.append(part)
            return b"".join(parts)
        finally:
            os.close(fd)

    def append(self, name: str, data: bytes) -> None:
        """Write at a file's end; a crash before `sync` may keep any part of it, or not even the name."""
        _write(self._fd(name), data)

    def sync(self, name: str) -> None:
        """Return once the file's bytes are safe, and all names with them."""
        os.fdatasync(self._fd(name))
        if self._unsafe:
            self._sync_names()

    def truncate(self, name: str, size: int) -> None:
        """Shorten a file; the new size is safe (fsync, as fdatasync need not keep a size that only shrinks)."""
        fd = self._fd(name)
        os.ftruncate(fd, size)
        os.fsync(fd)

    def put(self, name: str, *parts: bytes) -> None:
        """Make or replace a whole file.

        The bytes are safe before the name is theirs, so that no crash can show the name with a part of them; the name
        is safe before this returns, so that no crash takes back what the caller builds on it.
        """
        new = self.path / (name + NEW)
        try:
            self._write_whole(new, parts)
        except OSError:
            with suppress(FileNotFoundError):
                os.unlink(new)
            raise
        self._unsafe.add(name)
        os.replace(new, self.path / name)
        self._sync_names()

    def remove(self, name: str) -> None:
        """Remove a file, if it is there; it may be back after a crash until the next `sync` or `put`."""
        fd = self._open.pop(name, None)
        if fd is not None:
            os.close(fd)
        with suppress(FileNotFoundError):
            os.unlink(self.path / name)
            self._unsafe.add(name)

    def _write_whole(self, path: Path, parts: tuple[bytes, ...]) -> None:
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            for part in parts:
                _write(fd, part)
            os.fsync(fd)
        finally:
            os.close(fd)

    def _fd(self, name: str) -> int:
        """The open file; one that is made here has an unsafe name until the next `sync`."""
        fd = self._open.get(name)
        if fd is None:
            path = self.path / name
            try:
                fd = os.open(path, os.O_WRONLY | os.O_APPEND)
            except FileNotFoundError:
                self._unsafe.add(name)
                fd = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
            self._open[name] = fd
        return fd

    def _sync_names(self) -> None:
        """Make all names of the folder safe; where that fails they stay unsafe, and the next sync tries again.

        Another thread may change other names meanwhile: only those that were unsafe before the sync are safe after it.
        """
        before = set(self._unsafe)
        _sync_folder(self.path)
        self._unsafe -= before

    def _make(self, path: Path) -> None:
        """Make the folder if need be; its own name must survive as well, or all files go with it."""
        try:
            os.mkdir(path)
        except FileNotFoundError:
            self._make(path.parent)
            os.mkdir(path)
        except FileExistsError:
            pass
        with suppress(PermissionError):
            _sync_folder(path.parent)


def _write(fd: int, data: bytes) -> None:
    left = memoryview(data)
    while left:
        left = left[os.write(fd, left) :]


def _sync_folder(path: Path) -> None:
    fd = os.open(path, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
