"""A simulated disk that loses power inside a write."""

from __future__ import annotations

import random

from sim.disk import SimDisk

WHOLE = 1000


class PowerLossError(Exception):
    """The disk lost power before the write under way was confirmed."""


class PowerDisk(SimDisk):
    """Once `fail_at` is set, the next sync keeps that many thousandths of what it lacks and raises PowerLossError."""

    def __init__(self) -> None:
        """An empty disk, with power."""
        super().__init__(random.Random(0))
        self.fail_at: int | None = None

    def lose_names(self, rng: random.Random) -> None:
        """The power is back; each file removed since the folder was last synced may be back too, by `rng`."""
        self.rng = rng
        self.crash()

    def sync(self, name: str) -> None:
        """Confirms a file, or loses power."""
        if self.fail_at is None:
            super().sync(name)
            return
        synced = self.synced.get(name, 0)
        kept = synced + (len(self.files[name]) - synced) * self.fail_at // WHOLE
        del self.files[name][kept:]
        self.synced[name] = kept
        self.fail_at = None
        raise PowerLossError(name)
