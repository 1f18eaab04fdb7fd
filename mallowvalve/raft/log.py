"""The replicated log: the entries after the newest snapshot, and the configurations among them."""

from __future__ import annotations

from collections.abc import Iterable

from mallowvalve.raft.messages import CONFIGURATION, ClusterConfiguration, Entry, RaftSnapshot, decode_configuration

MAX_ENTRIES_PER_MESSAGE = 512
MAX_MESSAGE_BYTES = 1 << 20
ENTRY_OVERHEAD_BYTES = 32


class Log:
    """The entries that follow the snapshot. The caller writes appended entries to disk."""

    __slots__ = ("snapshot", "entries", "_configurations")

    def __init__(self, snapshot: RaftSnapshot, entries: Iterable[Entry] = ()):
        """Creates a log; the entries must follow the snapshot's index without a gap."""
        self.snapshot = snapshot
        self.entries: list[Entry] = []
        self._configurations: list[tuple[int, ClusterConfiguration]] = [(snapshot.index, snapshot.configuration)]
        for entry in entries:
            self.append(entry)

    @property
    def snapshot_index(self) -> int:
        """The index of the snapshot; the log no longer contains the entries up to it."""
        return self.snapshot.index

    @property
    def last_index(self) -> int:
        """The index of the last entry, or the snapshot's if there is none."""
        return self.entries[-1].index if self.entries else self.snapshot_index

    @property
    def last_term(self) -> int:
        """The term of the last entry, or the snapshot's if there is none."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def configuration(self) -> ClusterConfiguration:
        """The latest configuration, which is in force whether or not it is committed (Raft paper, section 6)."""
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """The index of the entry that contains the latest configuration."""
        return self._configurations[-1][0]

    def configuration_at(self, index: int) -> ClusterConfiguration:
        """Returns the configuration as of an index, or the oldest known one."""
        return next((v for i, v in reversed(self._configurations) if i <= index), self._configurations[0][1])

    def term(self, index: int) -> int | None:
        """Returns the term of the entry at an index, or None outside the log."""
        if index == self.snapshot_index:
            return self.snapshot.term
        if index < self.snapshot_index or index > self.last_index:
            return None
        return self.entries[index - self.snapshot_index - 1].term

    def get(self, index: int) -> Entry:
        """Returns the entry at an index, which must be in the log."""
        return self.entries[index - self.snapshot_index - 1]

    def append(self, entry: Entry) -> None:
        """Appends the entry that follows the last one."""
        self.entries.append(entry)
        if entry.kind == CONFIGURATION:
            self._configurations.append((entry.index, decode_configuration(entry.data)))

    def truncate_from(self, index: int) -> None:
        """Removes the entry at an index and all entries after it."""
        del self.entries[index - self.snapshot_index - 1 :]
        while self._configurations[-1][0] >= index:
            self._configurations.pop()

    def entries_after(self, index: int) -> list[Entry]:
        """Returns the entries after an index that fit into one message.

        These are at most `MAX_ENTRIES_PER_MESSAGE` entries of about `MAX_MESSAGE_BYTES` in total, but at least one.
        """
        selected: list[Entry] = []
        size = 0
        start = index - self.snapshot_index
        for entry in self.entries[start : start + MAX_ENTRIES_PER_MESSAGE]:
            size += len(entry.data) + ENTRY_OVERHEAD_BYTES
            if selected and size > MAX_MESSAGE_BYTES:
                break
            selected.append(entry)
        return selected

    def compact(self, snapshot: RaftSnapshot) -> None:
        """Replaces the entries up to the snapshot's index by the snapshot.

        Drops all entries if the snapshot belongs to a different history.
        """
        if self.term(snapshot.index) == snapshot.term:
            self.entries = self.entries[snapshot.index - self.snapshot_index :]
        else:
            self.entries = []
        later = [(i, v) for i, v in self._configurations if i > snapshot.index and self.entries]
        self._configurations = [(snapshot.index, snapshot.configuration), *later]
        self.snapshot = snapshot
