"""The daemon's side of snapshots on their way: hands out this node's, and fetches others'."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterator

import gevent
import msgspec
from gevent.lock import RLock
from result import Err, Ok, Result

from mallowvalve import clock
from mallowvalve.control.snapshot_transfer import Gather, Label, Piece, Shelf, label, read_label, read_piece, read_want
from mallowvalve.control.state import ReplicatedState, encode
from mallowvalve.raft.messages import RaftSnapshot
from mallowvalve.transport.task import Transport
from mallowvalve.types import Address

BASE, NOW, SETTINGS = b"base", b"now", b"settings"
LABEL_LIMIT, PIECE_LIMIT = 10.0, 2.0
QUICK_LABEL, QUICK_PIECE, QUICK_TRIES = 2.0, 0.8, 2
WHOLE = 512 << 10
read_whole = msgspec.msgpack.Decoder(tuple[Label | None, list[bytes]]).decode
Made = tuple[RaftSnapshot, Iterator[bytes]]


def fill(p: RaftSnapshot, pieces: Iterator[bytes]) -> RaftSnapshot:
    """Makes the pieces one after the other, letting others run between."""
    out = []
    for x in pieces:
        out.append(x)
        gevent.sleep(0)
    return msgspec.structs.replace(p, state=out)


class Puller:
    """Hands out this node's snapshots by pieces, and fetches others'."""

    __slots__ = ("transport", "_base", "_now", "_settings", "_shelf", "_lock")

    def __init__(
        self,
        transport: Transport,
        now: Callable[[], Made | None],
        base: Callable[[], RaftSnapshot | None] = lambda: None,
        settings: Callable[[], Made | None] = lambda: None,
    ):
        """`now`, `base` and `settings` make the snapshots that are handed out."""
        self.transport, self._now, self._base, self._settings = transport, now, base, settings
        self._shelf, self._lock = Shelf(), RLock()
        transport.on("label", lambda s, b: encode(self._label(b)))
        transport.on("whole", lambda s, b: encode(self._whole(b)))
        transport.on("piece", lambda s, b: encode(self._shelf.cut(read_want(b), clock.now())), inline=True)

    def pull(
        self,
        to: Address,
        what: bytes,
        wanted: Callable[[Label], bool] = lambda named: True,
    ) -> Result[tuple[RaftSnapshot, ReplicatedState], str]:
        """A settings part is small, and whoever wants it has others to ask: a silent one is soon given up."""
        quick = what == SETTINGS
        if quick:
            r = self.transport.call(to, "whole", what, QUICK_LABEL)
            named, had = read_whole(r.ok_value) if isinstance(r, Ok) else (None, [])
        else:
            r = self.transport.call(to, "label", what, LABEL_LIMIT)
            named, had = read_label(r.ok_value) if isinstance(r, Ok) else None, []
        if named is None or not wanted(named):
            return Err("has none that is wanted")
        g, failed = Gather(named), 0
        for n, data in enumerate(had):
            g.take(Piece(named.group, named.index, n, zlib.crc32(data), data, named.settings))
        while (w := g.want()) is not None:
            why = self._piece(to, g, encode(w), QUICK_PIECE if quick else PIECE_LIMIT)
            if why is None:
                continue
            self.transport.counts.add("piece_refused")
            failed += 1
            if g.lost() or quick and failed >= QUICK_TRIES:
                return Err(why)
        return g.done().map_err(lambda refused: refused.text)

    def holds(self) -> bool:
        """Whether somebody is fetching a snapshot here, so that the log that follows it is still wanted."""
        return self._shelf.holds(clock.now())

    def _piece(self, to: Address, g: Gather, want: bytes, limit: float) -> str | None:
        r = self.transport.call(to, "piece", want, limit)
        if isinstance(r, Err):
            gevent.sleep(0.1)
            return r.err_value
        p = read_piece(r.ok_value)
        if p is None:
            return "no longer handed out"
        refused = g.take(p).err()
        return refused.text if refused is not None else None

    def _label(self, what: bytes) -> Label | None:
        p = self._snapshot(what)
        return label(p, what == SETTINGS) if p is not None else None

    def _whole(self, what: bytes) -> tuple[Label | None, list[bytes]]:
        """The label, and the pieces along with it where they are small: one question instead of some."""
        p = self._snapshot(what)
        if p is None:
            return None, []
        return label(p, what == SETTINGS), p.state if sum(map(len, p.state)) <= WHOLE else []

    def _snapshot(self, what: bytes) -> RaftSnapshot | None:
        with self._lock:
            part = what == SETTINGS
            p = self._base() if what == BASE else self._made(part)
            if p is not None:
                self._shelf.put(p, clock.now(), part)
            return p

    def _made(self, part: bool) -> RaftSnapshot | None:
        made = self._settings() if part else self._now()
        if made is None:
            return None
        p, pieces = made
        return self._shelf.newest(p.group, p.index, clock.now(), part) or fill(p, pieces)
