"""A simulated disk that loses unsynced data at a crash."""

from __future__ import annotations

import errno
import random

REMOVAL_LOST_PROBABILITY = 0.5


class SimDisk:
    """The files of one node. A crash may lose or tear unsynced data, and may undo the removal of a file."""

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.files: dict[str, bytearray] = {}
        self.synced: dict[str, int] = {}
        self.removed: dict[str, bytes] = {}
        self.full = False
        self.stall = 0.0

    def names(self) -> list[str]:
        """The names of all files, sorted."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """The content of a file."""
        return bytes(self.files[name])

    def append(self, name: str, data: bytes) -> None:
        """Appends data; a full disk takes a part of it and raises OSError."""
        if self.full:
            self.files.setdefault(name, bytearray()).extend(data[: self.rng.randrange(len(data))])
            raise OSError(errno.ENOSPC, "no space left")
        self.files.setdefault(name, bytearray()).extend(data)

    def sync(self, name: str) -> None:
        """Makes a file's content survive a crash."""
        self.synced[name] = len(self.files[name])

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file to a size, synced."""
        del self.files.setdefault(name, bytearray())[size:]
        self.synced[name] = size

    def put(self, name: str, *parts: bytes) -> None:
        """Writes a whole file and syncs it and the folder; a full disk raises OSError."""
        if self.full:
            raise OSError(errno.ENOSPC, "no space left")
        self.files[name] = bytearray(b"".join(parts))
        self.synced[name] = len(self.files[name])
        self.removed.clear()

    def remove(self, name: str) -> None:
        """Removes a file; until the next `put` a crash may bring its synced part back."""
        content, synced = self.files.pop(name, None), self.synced.pop(name, 0)
        if content is not None:
            self.removed[name] = bytes(content[:synced])

    def crash(self) -> None:
        """Loses power: each removal since the last `put` (which synced the folder) is independently kept or undone."""
        for name, data in self.removed.items():
            if self.rng.random() < REMOVAL_LOST_PROBABILITY:
                self.files[name], self.synced[name] = bytearray(data), len(data)
        self.removed.clear()
        for name in list(self.files):
            synced = self.synced.get(name, 0)
            end = self.rng.randint(synced, len(self.files[name]))
            del self.files[name][end:]
            if not self.files[name] and not synced:
                del self.files[name]
            else:
                self.synced[name] = len(self.files[name])

    def wipe(self) -> None:
        """Loses all files."""
        self.files.clear()
        self.synced.clear()
        self.removed.clear()
