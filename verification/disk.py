"""A simulated disk that can lose power during a write."""

from __future__ import annotations

import random

from sim.disk import SimDisk

WHOLE_WRITE_THOUSANDTHS = 1000


class PowerLossError(Exception):
    """Raised when the disk loses power before the current write is confirmed."""


class PowerLossDisk(SimDisk):
    """A disk whose next sync loses power once `kept_thousandths` is set.

    That sync keeps the given thousandths of the unsynced bytes and raises PowerLossError.
    """

    def __init__(self) -> None:
        """Creates an empty disk with power."""
        super().__init__(random.Random(0))
        self.kept_thousandths: int | None = None

    def restore_power(self, rng: random.Random) -> None:
        """Restores power; `rng` decides which files removed since the last folder sync reappear."""
        self.rng = rng
        self.crash()

    def sync(self, name: str) -> None:
        """Confirms a file, or loses power and raises PowerLossError."""
        if self.kept_thousandths is None:
            super().sync(name)
            return
        synced_bytes = self.synced.get(name, 0)
        kept_bytes = (
            synced_bytes + (len(self.files[name]) - synced_bytes) * self.kept_thousandths // WHOLE_WRITE_THOUSANDTHS
        )
        del self.files[name][kept_bytes:]
        self.synced[name] = kept_bytes
        self.kept_thousandths = None
        raise PowerLossError(name)
