from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    def names(self) -> list[str]: ...
    def read(self, name: str) -> bytes: ...
    def append(self, name: str, data: bytes) -> None: ...
    def sync(self, name: str) -> None: ...
    def cut(self, name: str, size: int) -> None: ...
    def put(self, name: str, *parts: bytes) -> None: ...
    def remove(self, name: str) -> None: ...


class Folder:
    __slots__ = ("path", "_open", "_lock")

    def __init__(self, path: Path):
        self.path = path
        self._open: dict[str, int] = {}

    def __enter__(self) -> Folder:
        self.path.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(self.path / ".lock", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise BlockingIOError(f"{self.path} is in use by another process") from None
        return self

    def __exit__(self, *_) -> None:
        for fd in self._open.values():
            os.close(fd)
        self._open.clear()
        os.close(self._lock)

    def names(self) -> list[str]:
        return sorted(p.name for p in self.path.iterdir() if not p.name.startswith(".") and not p.name.endswith(".new"))

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        fd = self._fd(name)
        left = memoryview(data)
        while left:
            left = left[os.write(fd, left) :]

    def sync(self, name: str) -> None:
        os.fdatasync(self._fd(name))

    def cut(self, name: str, size: int) -> None:
        fd = self._fd(name)
        os.ftruncate(fd, size)
        os.fsync(fd)

    def put(self, name: str, *parts: bytes) -> None:
        new = self.path / f"{name}.new"
        try:
            with open(new, "wb") as f:
                f.writelines(parts)
                f.flush()
                os.fsync(f.fileno())
        except OSError:
            new.unlink(missing_ok=True)
            raise
        os.replace(new, self.path / name)
        self._sync_folder()

    def remove(self, name: str) -> None:
        fd = self._open.pop(name, None)
        if fd is not None:
            os.close(fd)
        (self.path / name).unlink(missing_ok=True)

    def _fd(self, name: str) -> int:
        fd = self._open.get(name)
        if fd is None:
            fresh = not (self.path / name).exists()
            fd = self._open[name] = os.open(self.path / name, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
            if fresh:
                self._sync_folder()
        return fd

    def _sync_folder(self) -> None:
        fd = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)
