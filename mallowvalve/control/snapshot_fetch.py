"""The daemon's side of snapshots on their way: hands out this node's, and fetches others'."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterator

import gevent
import msgspec
from gevent.lock import RLock
from result import Err, Ok, Result

from mallowvalve import clock
from mallowvalve.control.snapshot_transfer import (
    Piece,
    PieceCollector,
    SnapshotCache,
    SnapshotLabel,
    decode_label,
    decode_piece,
    decode_piece_request,
    label_of,
)
from mallowvalve.control.state import ReplicatedState, encode
from mallowvalve.raft.messages import RaftSnapshot
from mallowvalve.transport.task import Transport
from mallowvalve.types import Address

BASE_SNAPSHOT, CURRENT_SNAPSHOT, SETTINGS_SNAPSHOT = b"base", b"now", b"settings"
LABEL_TIMEOUT_S, PIECE_TIMEOUT_S = 10.0, 2.0
SETTINGS_LABEL_TIMEOUT_S, SETTINGS_PIECE_TIMEOUT_S, SETTINGS_MAX_FAILURES = 2.0, 0.8, 2
MAX_INLINE_SNAPSHOT_BYTES = 512 << 10
decode_whole = msgspec.msgpack.Decoder(tuple[SnapshotLabel | None, list[bytes]]).decode
PendingSnapshot = tuple[RaftSnapshot, Iterator[bytes]]


def collect_pieces(p: RaftSnapshot, pieces: Iterator[bytes]) -> RaftSnapshot:
    """Makes the pieces one after the other, letting others run between."""
    out = []
    for x in pieces:
        out.append(x)
        gevent.sleep(0)
    return msgspec.structs.replace(p, state=out)


class SnapshotExchange:
    """Hands out this node's snapshots by pieces, and fetches others'."""

    __slots__ = ("transport", "_base", "_now", "_settings", "_snapshot_cache", "_lock")

    def __init__(
        self,
        transport: Transport,
        now: Callable[[], PendingSnapshot | None],
        base: Callable[[], RaftSnapshot | None] = lambda: None,
        settings: Callable[[], PendingSnapshot | None] = lambda: None,
    ):
        """`now`, `base` and `settings` make the snapshots that are handed out."""
        self.transport, self._now, self._base, self._settings = transport, now, base, settings
        self._snapshot_cache, self._lock = SnapshotCache(), RLock()
        transport.on("label", lambda s, b: encode(self._label(b)))
        transport.on("whole", lambda s, b: encode(self._whole(b)))
        transport.on(
            "piece",
            lambda s, b: encode(self._snapshot_cache.get_piece(decode_piece_request(b), clock.now())),
            inline=True,
        )

    def fetch(
        self,
        to: Address,
        what: bytes,
        wanted: Callable[[SnapshotLabel], bool] = lambda named: True,
    ) -> Result[tuple[RaftSnapshot, ReplicatedState], str]:
        """A settings part is small, and whoever wants it has others to ask: a silent one is soon given up."""
        quick = what == SETTINGS_SNAPSHOT
        if quick:
            r = self.transport.call(to, "whole", what, SETTINGS_LABEL_TIMEOUT_S)
            named, had = decode_whole(r.ok_value) if isinstance(r, Ok) else (None, [])
        else:
            r = self.transport.call(to, "label", what, LABEL_TIMEOUT_S)
            named, had = decode_label(r.ok_value) if isinstance(r, Ok) else None, []
        if named is None or not wanted(named):
            return Err("has none that is wanted")
        g, failed = PieceCollector(named), 0
        for n, data in enumerate(had):
            g.accept(Piece(named.group, named.index, n, zlib.crc32(data), data, named.settings))
        while (w := g.next_request()) is not None:
            why = self._piece(to, g, encode(w), SETTINGS_PIECE_TIMEOUT_S if quick else PIECE_TIMEOUT_S)
            if why is None:
                continue
            self.transport.counts.add("piece_refused")
            failed += 1
            if g.record_failure() or quick and failed >= SETTINGS_MAX_FAILURES:
                return Err(why)
        return g.done().map_err(lambda refused: refused.text)

    def retains_log(self) -> bool:
        """Whether somebody is fetching a snapshot here, so that the log that follows it is still wanted."""
        return self._snapshot_cache.retains_log(clock.now())

    def _piece(self, to: Address, g: PieceCollector, want: bytes, limit: float) -> str | None:
        r = self.transport.call(to, "piece", want, limit)
        if isinstance(r, Err):
            gevent.sleep(0.1)
            return r.err_value
        p = decode_piece(r.ok_value)
        if p is None:
            return "no longer handed out"
        refused = g.accept(p).err()
        return refused.text if refused is not None else None

    def _label(self, what: bytes) -> SnapshotLabel | None:
        p = self._snapshot(what)
        return label_of(p, what == SETTINGS_SNAPSHOT) if p is not None else None

    def _whole(self, what: bytes) -> tuple[SnapshotLabel | None, list[bytes]]:
        """The label, and the pieces along with it where they are small: one question instead of some."""
        p = self._snapshot(what)
        if p is None:
            return None, []
        return label_of(p, what == SETTINGS_SNAPSHOT), p.state if sum(
            map(len, p.state)
        ) <= MAX_INLINE_SNAPSHOT_BYTES else []

    def _snapshot(self, what: bytes) -> RaftSnapshot | None:
        with self._lock:
            part = what == SETTINGS_SNAPSHOT
            p = self._base() if what == BASE_SNAPSHOT else self._made(part)
            if p is not None:
                self._snapshot_cache.put(p, clock.now(), part)
            return p

    def _made(self, part: bool) -> RaftSnapshot | None:
        made = self._settings() if part else self._now()
        if made is None:
            return None
        p, pieces = made
        return self._snapshot_cache.newest(p.group, p.index, clock.now(), part) or collect_pieces(p, pieces)
