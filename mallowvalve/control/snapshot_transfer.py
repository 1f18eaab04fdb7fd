"""Snapshot transfer: numbered pieces with checksums, each identified by the group and index of its snapshot."""

from __future__ import annotations

import enum
import zlib

import msgspec
from result import Err, Ok, Result

from mallowvalve.control.snapshot import SnapshotLoader
from mallowvalve.control.state import ReplicatedState
from mallowvalve.raft.messages import ClusterConfiguration, GroupId, RaftSnapshot

MAX_HELD_SNAPSHOTS = 2
IDLE_TIMEOUT_S = 30.0
LOG_RETENTION_AFTER_REQUEST_S = 2.0
MAX_LOG_RETENTION_S = 20.0
MAX_RETRIES_PER_PIECE = 8
SETTINGS_SNAPSHOT_REUSE_S = 2.0


class PieceError(enum.Enum):
    """Why a piece, or a complete snapshot, was rejected."""

    FOREIGN = enum.auto()
    OUT_OF_TURN = enum.auto()
    DAMAGED = enum.auto()
    NOT_UNDERSTOOD = enum.auto()
    CUT_SHORT = enum.auto()


class PieceRefusal(msgspec.Struct, frozen=True):
    """A rejection and its details; it leaves the collected pieces unchanged."""

    reason: PieceError
    text: str


class SnapshotLabel(msgspec.Struct, array_like=True, frozen=True):
    """Identifies a snapshot and contains its number of pieces, `count`."""

    group: GroupId
    index: int
    term: int
    voters: ClusterConfiguration
    count: int
    settings: bool = False


class PieceRequest(msgspec.Struct, array_like=True, frozen=True):
    """Requests one piece of a snapshot; pieces are numbered from 0."""

    group: GroupId
    index: int
    number: int
    settings: bool = False


class Piece(msgspec.Struct, array_like=True, frozen=True):
    """A piece of a snapshot and its CRC-32."""

    group: GroupId
    index: int
    number: int
    crc: int
    data: bytes
    settings: bool = False


def label_of(snapshot: RaftSnapshot, settings: bool = False) -> SnapshotLabel:
    """Returns the label of a snapshot whose pieces are encoded."""
    return SnapshotLabel(
        snapshot.group, snapshot.index, snapshot.term, snapshot.configuration, len(snapshot.state), settings
    )


class SnapshotCache:
    """The snapshots that a process serves; each is dropped some time after the last request for one of its pieces.

    When the cache is full, a new snapshot evicts the least recently requested one. After a transfer the receiver
    continues from the log, so the log after a snapshot is retained for `LOG_RETENTION_AFTER_REQUEST_S` after each
    request, but for at most `MAX_LOG_RETENTION_S` after its first label: a slower receiver completes its transfer and
    then fetches a second snapshot.
    """

    __slots__ = ("_held", "_created")

    def __init__(self) -> None:
        """Starts empty."""
        self._held: dict[tuple[GroupId, int, bool], tuple[RaftSnapshot, float]] = {}
        self._created: dict[tuple[GroupId, int, bool], float] = {}

    def put(self, snapshot: RaftSnapshot, now: float, settings: bool = False) -> SnapshotLabel:
        """Serves this snapshot from `now` (s) on; returns its label."""
        self.evict_idle(now)
        self._held.pop((snapshot.group, snapshot.index, settings), None)
        while len(self._held) >= MAX_HELD_SNAPSHOTS:
            del self._held[min(self._held, key=lambda key: self._held[key][1])]
        self._held[snapshot.group, snapshot.index, settings] = (snapshot, now)
        self._created = {key: self._created.get(key, now) for key in self._held}
        return label_of(snapshot, settings)

    def newest(self, group: GroupId, index: int, now: float, settings: bool = False) -> RaftSnapshot | None:
        """Returns a snapshot of the group at `index` or later; for settings, a recent earlier one is accepted too.

        Each receiver follows the log from its snapshot; a new snapshot for each would evict those in transfer.
        """
        for (its_group, its_index, its_settings), (snapshot, _) in reversed(self._held.items()):
            if (
                its_group == group
                and its_settings == settings
                and (
                    its_index >= index
                    or settings
                    and now - self._created[its_group, its_index, its_settings] < SETTINGS_SNAPSHOT_REUSE_S
                )
            ):
                return snapshot
        return None

    def get_piece(self, request: PieceRequest, now: float) -> Piece | None:
        """Returns the requested piece; None if the snapshot was dropped or has no such piece."""
        held = self._held.get((request.group, request.index, request.settings))
        if held is None or not 0 <= request.number < len(held[0].state):
            return None
        self._held[request.group, request.index, request.settings] = (held[0], now)
        data = held[0].state[request.number]
        return Piece(request.group, request.index, request.number, zlib.crc32(data), data, request.settings)

    def retains_log(self, now: float) -> bool:
        """Returns whether the log after a whole snapshot is to be retained for processes that are fetching it."""
        return any(
            not settings
            and now - requested_at < LOG_RETENTION_AFTER_REQUEST_S
            and now - self._created[group, index, settings] < MAX_LOG_RETENTION_S
            for (group, index, settings), (_, requested_at) in self._held.items()
        )

    def evict_idle(self, now: float) -> None:
        """Drops snapshots without a request in the last `IDLE_TIMEOUT_S`."""
        for key in [key for key, (_, requested_at) in self._held.items() if now - requested_at > IDLE_TIMEOUT_S]:
            del self._held[key]


class FetchProgress:
    """The index of the announced snapshot that a member is fetching, and the number of newer announcements since."""

    __slots__ = ("index", "overtaken")

    def __init__(self) -> None:
        """Starts without a transfer."""
        self.index = self.overtaken = 0

    def on_announcement(self, index: int) -> bool:
        """Returns whether to start a transfer; a running one continues despite newer announcements."""
        begins = not self.index
        if index > self.index:
            self.overtaken += not begins
            self.index = index
        return begins

    def end(self) -> int:
        """Ends the transfer; returns the number of newer snapshots that were announced during it."""
        overtaken, self.index, self.overtaken = self.overtaken, 0, 0
        return overtaken


class PieceCollector:
    """Collects the pieces of one labelled snapshot in order; rejects every other piece."""

    __slots__ = ("label", "pieces", "_loader", "_failures")

    def __init__(self, label: SnapshotLabel):
        """Starts without pieces."""
        self.label = label
        self.pieces: list[bytes] = []
        self._loader = SnapshotLoader(label.group.generation)
        self._failures = 0

    def next_request(self) -> PieceRequest | None:
        """Returns the request for the next piece; None if the snapshot is complete."""
        label = self.label
        return (
            PieceRequest(label.group, label.index, len(self.pieces), label.settings)
            if len(self.pieces) < label.count
            else None
        )

    def record_failure(self) -> bool:
        """Counts a failed request; returns whether the retries for the current piece are exhausted."""
        self._failures += 1
        return self._failures > MAX_RETRIES_PER_PIECE

    def accept(self, piece: Piece) -> Result[None, PieceRefusal]:
        """Adds a piece, or returns why it is rejected; a rejected piece is requested again."""
        label = self.label
        if (piece.group, piece.index, piece.settings) != (label.group, label.index, label.settings):
            text = f"piece of {piece.group.generation}/{piece.index}, want {label.group.generation}/{label.index}"
            return Err(PieceRefusal(PieceError.FOREIGN, text))
        if piece.number != len(self.pieces):
            return Err(PieceRefusal(PieceError.OUT_OF_TURN, f"piece {piece.number}, want {len(self.pieces)}"))
        if zlib.crc32(piece.data) != piece.crc:
            return Err(PieceRefusal(PieceError.DAMAGED, f"piece {piece.number} is damaged"))
        loaded = self._loader.feed(piece.data)
        if isinstance(loaded, Err):
            return Err(PieceRefusal(PieceError.NOT_UNDERSTOOD, f"piece {piece.number}: {loaded.err_value}"))
        self.pieces.append(piece.data)
        self._failures = 0
        return Ok(None)

    def done(self) -> Result[tuple[RaftSnapshot, ReplicatedState], PieceRefusal]:
        """Returns the complete snapshot and its state, or why they are invalid."""
        if self.next_request() is not None:
            return Err(PieceRefusal(PieceError.CUT_SHORT, f"{len(self.pieces)} of {self.label.count} pieces"))
        label, state = self.label, self._loader.done()
        if isinstance(state, Err):
            return Err(PieceRefusal(PieceError.CUT_SHORT, state.err_value))
        if state.ok_value.index != label.index:
            text = f"a state of index {state.ok_value.index}, labelled {label.index}"
            return Err(PieceRefusal(PieceError.FOREIGN, text))
        return Ok((RaftSnapshot(label.group, label.index, label.term, label.voters, self.pieces), state.ok_value))


decode_label, decode_piece_request, decode_piece = (
    msgspec.msgpack.Decoder(message).decode for message in (SnapshotLabel | None, PieceRequest, Piece | None)
)
