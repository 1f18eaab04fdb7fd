"""The newest entries that changed the settings part of the state, for replicas that hold only that part."""

from __future__ import annotations

from collections import deque

from mallowvalve.raft.log import MAX_ENTRIES_PER_MESSAGE, MAX_MESSAGE_BYTES
from mallowvalve.raft.messages import Entry


class SettingsLog:
    """The entries that changed the settings since the state was loaded, except those that a snapshot replaced."""

    __slots__ = ("compacted_index", "_entries")

    def __init__(self, compacted_index: int) -> None:
        """Creates an empty log; entries up to `compacted_index` are not retained."""
        self.compacted_index = compacted_index
        self._entries: deque[Entry] = deque()

    def __len__(self) -> int:
        """Returns the number of retained entries."""
        return len(self._entries)

    def add(self, entry: Entry) -> None:
        """Adds the newest entry that changed the settings."""
        self._entries.append(entry)

    def compact(self, index: int) -> None:
        """Drops the entries up to the index."""
        while self._entries and self._entries[0].index <= index:
            self.compacted_index = self._entries.popleft().index

    def since(self, index: int, applied: int) -> tuple[list[Entry], int]:
        """Returns the entries after the index, in chunks, and the index up to which a reader is complete with them."""
        chunk: list[Entry] = []
        size = 0
        for entry in self._entries:
            if entry.index <= index:
                continue
            size += len(entry.data)
            if chunk and (size > MAX_MESSAGE_BYTES or len(chunk) >= MAX_ENTRIES_PER_MESSAGE):
                return chunk, chunk[-1].index
            chunk.append(entry)
        return chunk, applied
