"""A simulated disk that loses power inside a write."""

from __future__ import annotations

import random

from sim.disk import SimDisk

WHOLE_WRITE_THOUSANDTHS = 1000


class PowerLossError(Exception):
    """The disk lost power before the write under way was confirmed."""


class PowerLossDisk(SimDisk):
    """Once `fail_at` is set, the next sync keeps that many thousandths of what it lacks and raises PowerLossError."""

    def __init__(self) -> None:
        """An empty disk, with power."""
        super().__init__(random.Random(0))
        self.kept_thousandths: int | None = None

    def restore_power(self, rng: random.Random) -> None:
        """The power is back; each file removed since the folder was last synced may be back too, by `rng`."""
        self.rng = rng
        self.crash()

    def sync(self, name: str) -> None:
        """Confirms a file, or loses power."""
        if self.kept_thousandths is None:
            super().sync(name)
            return
        synced_bytes = self.safe.get(name, 0)
        kept_bytes = (
            synced_bytes + (len(self.files[name]) - synced_bytes) * self.kept_thousandths // WHOLE_WRITE_THOUSANDTHS
        )
        del self.files[name][kept_bytes:]
        self.safe[name] = kept_bytes
        self.kept_thousandths = None
        raise PowerLossError(name)
