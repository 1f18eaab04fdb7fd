from __future__ import annotations

from mallowvalve.vote.wire import VOTERS, Entry, Picture, Voters, voters_of

CHUNK = 512
CHUNK_BYTES = 1 << 20


class Log:
    __slots__ = ("picture", "entries", "_voters")

    def __init__(self, picture: Picture, entries: list[Entry] = ()):
        self.picture = picture
        self.entries: list[Entry] = []
        self._voters: list[tuple[int, Voters]] = [(picture.index, picture.voters)]
        for e in entries:
            self.append(e)

    @property
    def base(self) -> int:
        return self.picture.index

    @property
    def last(self) -> int:
        return self.entries[-1].index if self.entries else self.base

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.picture.term

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
            return self.picture.term
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

    def compact(self, picture: Picture) -> None:
        if self.term(picture.index) == picture.term:
            self.entries = self.entries[picture.index - self.base :]
        else:
            self.entries = []
        later = [(i, v) for i, v in self._voters if i > picture.index and self.entries]
        self._voters = [(picture.index, picture.voters), *later]
        self.picture = picture
