"""The replicated log: the entries after the newest snapshot, and the configurations among them."""

from __future__ import annotations

from collections.abc import Iterable

from mallowvalve.raft.messages import CONFIGURATION, ClusterConfiguration, Entry, RaftSnapshot, decode_configuration

MAX_ENTRIES_PER_MESSAGE = 512
MAX_MESSAGE_BYTES = 1 << 20


class Log:
    """Entries by index, from the one after the snapshot's. The caller stores what it appends on disk."""

    __slots__ = ("snapshot", "entries", "_configurations")

    def __init__(self, snapshot: RaftSnapshot, entries: Iterable[Entry] = ()):
        """The entries must follow the snapshot's index without a gap."""
        self.snapshot = snapshot
        self.entries: list[Entry] = []
        self._configurations: list[tuple[int, ClusterConfiguration]] = [(snapshot.index, snapshot.configuration)]
        for e in entries:
            self.append(e)

    @property
    def snapshot_index(self) -> int:
        """The index of the snapshot: entries up to it are gone."""
        return self.snapshot.index

    @property
    def last_index(self) -> int:
        """The index of the newest entry, or the snapshot's if there is none."""
        return self.entries[-1].index if self.entries else self.snapshot_index

    @property
    def last_term(self) -> int:
        """The term of the newest entry, or the snapshot's."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def configuration(self) -> ClusterConfiguration:
        """The newest configuration, committed or not: the one in force (Raft, section 6)."""
        return self._configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """The index of the entry that holds the newest configuration."""
        return self._configurations[-1][0]

    def configuration_at(self, index: int) -> ClusterConfiguration:
        """The configuration as of an index, or the oldest that is known."""
        return next((v for i, v in reversed(self._configurations) if i <= index), self._configurations[0][1])

    def term(self, index: int) -> int | None:
        """The term of the entry at an index; None outside the log."""
        if index == self.snapshot_index:
            return self.snapshot.term
        if index < self.snapshot_index or index > self.last_index:
            return None
        return self.entries[index - self.snapshot_index - 1].term

    def get(self, index: int) -> Entry:
        """The entry at an index, which must be in the log."""
        return self.entries[index - self.snapshot_index - 1]

    def append(self, e: Entry) -> None:
        """Adds the entry that follows the last."""
        self.entries.append(e)
        if e.kind == CONFIGURATION:
            self._configurations.append((e.index, decode_configuration(e.data)))

    def truncate_from(self, index: int) -> None:
        """Removes the entry at an index and all after it."""
        del self.entries[index - self.snapshot_index - 1 :]
        while self._configurations[-1][0] >= index:
            self._configurations.pop()

    def entries_after(self, index: int) -> list[Entry]:
        """The entries after an index, as many as one message may carry: `CHUNK`, and about `CHUNK_BYTES`."""
        out: list[Entry] = []
        size = 0
        for e in self.entries[index - self.snapshot_index : index - self.snapshot_index + MAX_ENTRIES_PER_MESSAGE]:
            size += len(e.data) + 32
            if out and size > MAX_MESSAGE_BYTES:
                break
            out.append(e)
        return out

    def compact(self, snapshot: RaftSnapshot) -> None:
        """Replaces the entries up to the snapshot's index by it; all of them if it is of another history."""
        if self.term(snapshot.index) == snapshot.term:
            self.entries = self.entries[snapshot.index - self.snapshot_index :]
        else:
            self.entries = []
        later = [(i, v) for i, v in self._configurations if i > snapshot.index and self.entries]
        self._configurations = [(snapshot.index, snapshot.configuration), *later]
        self.snapshot = snapshot
