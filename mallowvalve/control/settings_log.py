"""The newest entries that changed the settings part of the state, for replicas that hold only that part."""

from __future__ import annotations

from collections import deque

from mallowvalve.raft.log import CHUNK, CHUNK_BYTES
from mallowvalve.raft.messages import Entry


class SettingsLog:
    """Entries that changed the settings since the state was loaded, but for those a snapshot has replaced."""

    __slots__ = ("compacted_index", "_entries")

    def __init__(self, compacted_index: int) -> None:
        """`dropped` is the index up to which entries are no longer held."""
        self.compacted_index = compacted_index
        self._entries: deque[Entry] = deque()

    def __len__(self) -> int:
        """How many entries are held."""
        return len(self._entries)

    def add(self, e: Entry) -> None:
        """Adds the entry that changed the settings last."""
        self._entries.append(e)

    def compact(self, index: int) -> None:
        """Forgets the entries up to the index."""
        while self._entries and self._entries[0].index <= index:
            self.compacted_index = self._entries.popleft().index

    def since(self, index: int, applied: int) -> tuple[list[Entry], int]:
        """What changed the settings part after the index, and how far one is whole with it."""
        out: list[Entry] = []
        size = 0
        for e in self._entries:
            if e.index <= index:
                continue
            size += len(e.data)
            if out and (size > CHUNK_BYTES or len(out) >= CHUNK):
                return out, out[-1].index
            out.append(e)
        return out, applied
