"""The replicated log: the entries after the newest snapshot, and the configurations among them."""

from __future__ import annotations

from collections.abc import Iterable

from mallowvalve.raft.messages import VOTERS, Entry, Snapshot, Voters, voters_of

CHUNK = 512
CHUNK_BYTES = 1 << 20


class Log:
    """Entries by index, from the one after the snapshot's. The caller stores what it appends on disk."""

    __slots__ = ("snapshot", "entries", "_voters")

    def __init__(self, snapshot: Snapshot, entries: Iterable[Entry] = ()):
        """The entries must follow the snapshot's index without a gap."""
        self.snapshot = snapshot
        self.entries: list[Entry] = []
        self._voters: list[tuple[int, Voters]] = [(snapshot.index, snapshot.voters)]
        for e in entries:
            self.append(e)

    @property
    def base(self) -> int:
        """The index of the snapshot: entries up to it are gone."""
        return self.snapshot.index

    @property
    def last(self) -> int:
        """The index of the newest entry, or the snapshot's if there is none."""
        return self.entries[-1].index if self.entries else self.base

    @property
    def last_term(self) -> int:
        """The term of the newest entry, or the snapshot's."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def voters(self) -> Voters:
        """The newest configuration, committed or not: the one in force (Raft, section 6)."""
        return self._voters[-1][1]

    @property
    def voters_index(self) -> int:
        """The index of the entry that holds the newest configuration."""
        return self._voters[-1][0]

    def voters_at(self, index: int) -> Voters:
        """The configuration as of an index, or the oldest that is known."""
        return next((v for i, v in reversed(self._voters) if i <= index), self._voters[0][1])

    def term(self, index: int) -> int | None:
        """The term of the entry at an index; None outside the log."""
        if index == self.base:
            return self.snapshot.term
        if index < self.base or index > self.last:
            return None
        return self.entries[index - self.base - 1].term

    def get(self, index: int) -> Entry:
        """The entry at an index, which must be in the log."""
        return self.entries[index - self.base - 1]

    def append(self, e: Entry) -> None:
        """Adds the entry that follows the last."""
        self.entries.append(e)
        if e.kind == VOTERS:
            self._voters.append((e.index, voters_of(e.data)))

    def cut(self, index: int) -> None:
        """Removes the entry at an index and all after it."""
        del self.entries[index - self.base - 1 :]
        while self._voters[-1][0] >= index:
            self._voters.pop()

    def since(self, index: int) -> list[Entry]:
        """The entries after an index, as many as one message may carry: `CHUNK`, and about `CHUNK_BYTES`."""
        out: list[Entry] = []
        size = 0
        for e in self.entries[index - self.base : index - self.base + CHUNK]:
            size += len(e.data) + 32
            if out and size > CHUNK_BYTES:
                break
            out.append(e)
        return out

    def compact(self, snapshot: Snapshot) -> None:
        """Replaces the entries up to the snapshot's index by it; all of them if it is of another history."""
        if self.term(snapshot.index) == snapshot.term:
            self.entries = self.entries[snapshot.index - self.base :]
        else:
            self.entries = []
        later = [(i, v) for i, v in self._voters if i > snapshot.index and self.entries]
        self._voters = [(snapshot.index, snapshot.voters), *later]
        self.snapshot = snapshot
