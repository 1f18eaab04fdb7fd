"""Snapshot transfers of a process: serves its own snapshots and fetches those of others."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterator

import gevent
import msgspec
from gevent.lock import RLock
from result import Err, Result

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

BASE_SNAPSHOT = b"base"
CURRENT_SNAPSHOT = b"now"
SETTINGS_SNAPSHOT = b"settings"
LABEL_TIMEOUT_S = 10.0
PIECE_TIMEOUT_S = 2.0
SETTINGS_LABEL_TIMEOUT_S = 2.0
SETTINGS_PIECE_TIMEOUT_S = 0.8
SETTINGS_MAX_FAILURES = 2
RETRY_DELAY_S = 0.1
MAX_INLINE_SNAPSHOT_BYTES = 512 << 10
"""Pieces of at most this total size are sent in the response that contains the label."""
decode_whole = msgspec.msgpack.Decoder(tuple[SnapshotLabel | None, list[bytes]]).decode
PendingSnapshot = tuple[RaftSnapshot, Iterator[bytes]]
"""A snapshot without its state, and the iterator that encodes the pieces."""


def collect_pieces(snapshot: RaftSnapshot, pieces: Iterator[bytes]) -> RaftSnapshot:
    """Returns the snapshot with all its pieces; yields to other greenlets after each piece."""
    encoded = []
    for piece in pieces:
        encoded.append(piece)
        gevent.sleep(0)
    return msgspec.structs.replace(snapshot, state=encoded)


class SnapshotExchange:
    """Serves snapshots of this process piece by piece, and fetches snapshots from other processes."""

    __slots__ = ("transport", "_base", "_current", "_settings", "_snapshot_cache", "_lock")

    def __init__(
        self,
        transport: Transport,
        current: Callable[[], PendingSnapshot | None],
        base: Callable[[], RaftSnapshot | None] = lambda: None,
        settings: Callable[[], PendingSnapshot | None] = lambda: None,
    ):
        """`current`, `base` and `settings` create the snapshots to serve, or return None if there is none."""
        self.transport, self._current, self._base, self._settings = transport, current, base, settings
        self._snapshot_cache, self._lock = SnapshotCache(), RLock()
        transport.on("label", lambda sender, body: encode(self._label(body)))
        transport.on("whole", lambda sender, body: encode(self._whole(body)))
        transport.on(
            "piece",
            lambda sender, body: encode(self._snapshot_cache.get_piece(decode_piece_request(body), clock.now())),
            inline=True,
        )

    def fetch(
        self,
        to: Address,
        what: bytes,
        wanted: Callable[[SnapshotLabel], bool] = lambda offered: True,
    ) -> Result[tuple[RaftSnapshot, ReplicatedState], str]:
        """Fetches a snapshot of the kind `what` whose label `wanted` accepts.

        A settings snapshot is small and other processes have it too, so a silent process is given up sooner.
        """
        quick = what == SETTINGS_SNAPSHOT
        if quick:
            whole = self.transport.request(to, "whole", what, SETTINGS_LABEL_TIMEOUT_S, decode_whole)
            label, received = whole.unwrap_or((None, []))
        else:
            label, received = self.transport.request(to, "label", what, LABEL_TIMEOUT_S, decode_label).ok(), []
        if label is None or not wanted(label):
            return Err("the process has no acceptable snapshot")
        collector, failures = PieceCollector(label), 0
        for number, data in enumerate(received):
            collector.accept(Piece(label.group, label.index, number, zlib.crc32(data), data, label.settings))
        while (request := collector.next_request()) is not None:
            timeout = SETTINGS_PIECE_TIMEOUT_S if quick else PIECE_TIMEOUT_S
            error = self._fetch_piece(to, collector, encode(request), timeout)
            if error is None:
                continue
            self.transport.counts.add("piece_refused")
            failures += 1
            if collector.record_failure() or quick and failures >= SETTINGS_MAX_FAILURES:
                return Err(error)
        return collector.done().map_err(lambda refusal: refusal.text)

    def retains_log(self) -> bool:
        """Returns whether a process is fetching a snapshot from this one and will need the log entries after it."""
        return self._snapshot_cache.retains_log(clock.now())

    def _fetch_piece(self, to: Address, collector: PieceCollector, request: bytes, timeout: float) -> str | None:
        response = self.transport.request(to, "piece", request, timeout, decode_piece)
        if isinstance(response, Err):
            gevent.sleep(RETRY_DELAY_S)
            return response.err_value
        piece = response.ok_value
        if piece is None:
            return "the snapshot is no longer available"
        refusal = collector.accept(piece).err()
        return refusal.text if refusal is not None else None

    def _label(self, what: bytes) -> SnapshotLabel | None:
        snapshot = self._snapshot(what)
        return label_of(snapshot, what == SETTINGS_SNAPSHOT) if snapshot is not None else None

    def _whole(self, what: bytes) -> tuple[SnapshotLabel | None, list[bytes]]:
        """Returns the label, together with the pieces if they are small, which saves a request for each piece."""
        snapshot = self._snapshot(what)
        if snapshot is None:
            return None, []
        label = label_of(snapshot, what == SETTINGS_SNAPSHOT)
        return label, snapshot.state if sum(map(len, snapshot.state)) <= MAX_INLINE_SNAPSHOT_BYTES else []

    def _snapshot(self, what: bytes) -> RaftSnapshot | None:
        with self._lock:
            settings_only = what == SETTINGS_SNAPSHOT
            snapshot = self._base() if what == BASE_SNAPSHOT else self._create(settings_only)
            if snapshot is not None:
                self._snapshot_cache.put(snapshot, clock.now(), settings_only)
            return snapshot

    def _create(self, settings_only: bool) -> RaftSnapshot | None:
        pending = self._settings() if settings_only else self._current()
        if pending is None:
            return None
        snapshot, pieces = pending
        cached = self._snapshot_cache.newest(snapshot.group, snapshot.index, clock.now(), settings_only)
        return cached or collect_pieces(snapshot, pieces)
