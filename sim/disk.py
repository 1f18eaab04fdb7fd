from __future__ import annotations

import errno
import random

HALF = 0.5


class SimDisk:
    """Files of one machine: what was not synced is lost or torn at a crash, and a removed file may be back."""

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.files: dict[str, bytearray] = {}
        self.synced: dict[str, int] = {}
        self.removed: dict[str, bytes] = {}
        self.full = False
        self.stall = 0.0

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return bytes(self.files[name])

    def append(self, name: str, data: bytes) -> None:
        if self.full:
            self.files.setdefault(name, bytearray()).extend(data[: self.rng.randrange(len(data))])
            raise OSError(errno.ENOSPC, "no space left")
        self.files.setdefault(name, bytearray()).extend(data)

    def sync(self, name: str) -> None:
        self.synced[name] = len(self.files[name])

    def truncate(self, name: str, size: int) -> None:
        del self.files.setdefault(name, bytearray())[size:]
        self.synced[name] = size

    def put(self, name: str, *parts: bytes) -> None:
        if self.full:
            raise OSError(errno.ENOSPC, "no space left")
        self.files[name] = bytearray(b"".join(parts))
        self.synced[name] = len(self.files[name])
        self.removed.clear()

    def remove(self, name: str) -> None:
        had, synced = self.files.pop(name, None), self.synced.pop(name, 0)
        if had is not None:
            self.removed[name] = bytes(had[:synced])

    def crash(self) -> None:
        """The power goes: each removal since the last `put`, which synced the folder, is kept or lost by itself."""
        for n, data in self.removed.items():
            if self.rng.random() < HALF:
                self.files[n], self.synced[n] = bytearray(data), len(data)
        self.removed.clear()
        for n in list(self.files):
            synced = self.synced.get(n, 0)
            torn = self.rng.randint(synced, len(self.files[n]))
            del self.files[n][torn:]
            if not self.files[n] and not synced:
                del self.files[n]
            else:
                self.synced[n] = len(self.files[n])

    def wipe(self) -> None:
        self.files.clear()
        self.synced.clear()
        self.removed.clear()
