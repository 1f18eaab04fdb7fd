from __future__ import annotations

from mallowvalve.raft.messages import VOTERS, Entry, Snapshot, Voters, voters_of

CHUNK = 512
CHUNK_BYTES = 1 << 20


class Log:
    __slots__ = ("snapshot", "entries", "_voters")

    def __init__(self, snapshot: Snapshot, entries: list[Entry] = ()):
        self.snapshot = snapshot
        self.entries: list[Entry] = []
        self._voters: list[tuple[int, Voters]] = [(snapshot.index, snapshot.voters)]
        for e in entries:
            self.append(e)

    @property
    def base(self) -> int:
        return self.snapshot.index

    @property
    def last(self) -> int:
        return self.entries[-1].index if self.entries else self.base

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def voters(self) -> Voters:
        return self._voters[-1][1]

    @property
    def voters_index(self) -> int:
        return self._voters[-1][0]

    def voters_at(self, index: int) -> Voters:
        return next((v for i, v in reversed(self._voters) if i <= index), self._voters[0][1])

    def term(self, index: int) -> int | None:
        if index == self.base:
            return self.snapshot.term
        if index < self.base or index > self.last:
            return None
        return self.entries[index - self.base - 1].term

    def get(self, index: int) -> Entry:
        return self.entries[index - self.base - 1]

    def append(self, e: Entry) -> None:
        self.entries.append(e)
        if e.kind == VOTERS:
            self._voters.append((e.index, voters_of(e.data)))

    def cut(self, index: int) -> None:
        del self.entries[index - self.base - 1 :]
        while self._voters[-1][0] >= index:
            self._voters.pop()

    def since(self, index: int) -> list[Entry]:
        out, size = [], 0
        for e in self.entries[index - self.base : index - self.base + CHUNK]:
            size += len(e.data) + 32
            if out and size > CHUNK_BYTES:
                break
            out.append(e)
        return out

    def compact(self, snapshot: Snapshot) -> None:
        if self.term(snapshot.index) == snapshot.term:
            self.entries = self.entries[snapshot.index - self.base :]
        else:
            self.entries = []
        later = [(i, v) for i, v in self._voters if i > snapshot.index and self.entries]
        self._voters = [(snapshot.index, snapshot.voters), *later]
        self.snapshot = snapshot
