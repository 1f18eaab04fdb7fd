"""A snapshot on its way: numbered, checksummed pieces, bound to the state they were cut from."""

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
LOG_RETENTION_AFTER_REQUEST_S, MAX_LOG_RETENTION_S = 2.0, 20.0
MAX_RETRIES_PER_PIECE = 8
SETTINGS_SNAPSHOT_REUSE_S = 2.0


class PieceError(enum.Enum):
    """Why a piece, or a snapshot as a whole, was not taken in."""

    FOREIGN = enum.auto()
    OUT_OF_TURN = enum.auto()
    DAMAGED = enum.auto()
    NOT_UNDERSTOOD = enum.auto()
    CUT_SHORT = enum.auto()


class PieceRefusal(msgspec.Struct, frozen=True):
    """A refusal and its particulars; whoever refused holds what it held before."""

    why: PieceError
    text: str


class SnapshotLabel(msgspec.Struct, array_like=True, frozen=True):
    """Names a snapshot and says of how many pieces it is."""

    group: GroupId
    index: int
    term: int
    voters: ClusterConfiguration
    count: int
    settings: bool = False


class PieceRequest(msgspec.Struct, array_like=True, frozen=True):
    """Asks for piece `n` of a snapshot."""

    group: GroupId
    index: int
    n: int
    settings: bool = False


class Piece(msgspec.Struct, array_like=True, frozen=True):
    """A piece and its checksum."""

    group: GroupId
    index: int
    n: int
    crc: int
    data: bytes
    settings: bool = False


def label_of(p: RaftSnapshot, settings: bool = False) -> SnapshotLabel:
    """The label of a snapshot whose pieces are made."""
    return SnapshotLabel(p.group, p.index, p.term, p.configuration, len(p.state), settings)


class SnapshotCache:
    """The snapshots a node hands out; few, and not for long after the last piece was asked for.

    A newer one takes the place of the one that was asked for least recently. Whoever fetches one goes on from there by
    the log, so the log is kept while one is asked for (`ASKED` seconds ago at most), but not for longer than `HOLD`
    seconds from its first label: a slow one then ends its transfer, and fetches a second.
    """

    __slots__ = ("_kept", "_cut")

    def __init__(self) -> None:
        """Nothing is handed out yet."""
        self._kept: dict[tuple[GroupId, int, bool], tuple[RaftSnapshot, float]] = {}
        self._cut: dict[tuple[GroupId, int, bool], float] = {}

    def put(self, p: RaftSnapshot, now: float, settings: bool = False) -> SnapshotLabel:
        """Hands out this snapshot from now on (s); returns its label."""
        self.forget(now)
        self._kept.pop((p.group, p.index, settings), None)
        while len(self._kept) >= MAX_HELD_SNAPSHOTS:
            del self._kept[min(self._kept, key=lambda k: self._kept[k][1])]
        self._kept[p.group, p.index, settings] = (p, now)
        self._cut = {k: self._cut.get(k, now) for k in self._kept}
        return label_of(p, settings)

    def newest(self, group: GroupId, index: int, now: float, settings: bool = False) -> RaftSnapshot | None:
        """One cut from this group no further back than the index; of settings, one cut moments ago will do too.

        Whoever joins follows the log from there on; a new snapshot for each would push out those on their way.
        """
        for (g, i, part), (p, _) in reversed(self._kept.items()):
            if (
                g == group
                and part == settings
                and (i >= index or settings and now - self._cut[g, i, part] < SETTINGS_SNAPSHOT_REUSE_S)
            ):
                return p
        return None

    def get_piece(self, w: PieceRequest, now: float) -> Piece | None:
        """The piece that is asked for; None where the snapshot is no longer held, or has no such piece."""
        kept = self._kept.get((w.group, w.index, w.settings))
        if kept is None or not 0 <= w.n < len(kept[0].state):
            return None
        self._kept[w.group, w.index, w.settings] = (kept[0], now)
        data = kept[0].state[w.n]
        return Piece(w.group, w.index, w.n, zlib.crc32(data), data, w.settings)

    def retains_log(self, now: float) -> bool:
        """Whether the log after some whole snapshot must stay for those who fetch it."""
        return any(
            not settings
            and now - at < LOG_RETENTION_AFTER_REQUEST_S
            and now - self._cut[group, index, settings] < MAX_LOG_RETENTION_S
            for (group, index, settings), (_, at) in self._kept.items()
        )

    def forget(self, now: float) -> None:
        """Drops snapshots that nobody has asked for in a while."""
        for k in [k for k, (_, at) in self._kept.items() if now - at > IDLE_TIMEOUT_S]:
            del self._kept[k]


class FetchProgress:
    """Which announced snapshot a member is fetching, and how many newer ones were announced meanwhile."""

    __slots__ = ("index", "overtaken")

    def __init__(self) -> None:
        """None is being fetched."""
        self.index = self.overtaken = 0

    def on_announcement(self, index: int) -> bool:
        """Whether to begin a transfer now; one that is under way goes on, whatever is announced."""
        begins = not self.index
        if index > self.index:
            self.overtaken += not begins
            self.index = index
        return begins

    def end(self) -> int:
        """The transfer came to its end; returns how often it was overtaken."""
        overtaken, self.index, self.overtaken = self.overtaken, 0, 0
        return overtaken


class PieceCollector:
    """Takes in the pieces of one label in order, and nothing else; a lost one is asked for again."""

    __slots__ = ("label", "pieces", "_loader", "_failed")

    def __init__(self, named: SnapshotLabel):
        """No piece has come yet."""
        self.label = named
        self.pieces: list[bytes] = []
        self._loader = SnapshotLoader(named.group.generation)
        self._failed = 0

    def next_request(self) -> PieceRequest | None:
        """What to ask for next; None once all pieces are there."""
        named = self.label
        return (
            PieceRequest(named.group, named.index, len(self.pieces), named.settings)
            if len(self.pieces) < named.count
            else None
        )

    def record_failure(self) -> bool:
        """One more answer did not come; true once it is time to give up."""
        self._failed += 1
        return self._failed > MAX_RETRIES_PER_PIECE

    def accept(self, p: Piece) -> Result[None, PieceRefusal]:
        """Takes in a piece, or refuses it; after a refusal the same one is asked for again."""
        named = self.label
        if (p.group, p.index, p.settings) != (named.group, named.index, named.settings):
            text = f"piece of {p.group.generation}/{p.index}, want {named.group.generation}/{named.index}"
            return Err(PieceRefusal(PieceError.FOREIGN, text))
        if p.n != len(self.pieces):
            return Err(PieceRefusal(PieceError.OUT_OF_TURN, f"piece {p.n}, want {len(self.pieces)}"))
        if zlib.crc32(p.data) != p.crc:
            return Err(PieceRefusal(PieceError.DAMAGED, f"piece {p.n} is damaged"))
        r = self._loader.feed(p.data)
        if isinstance(r, Err):
            return Err(PieceRefusal(PieceError.NOT_UNDERSTOOD, f"piece {p.n}: {r.err_value}"))
        self.pieces.append(p.data)
        self._failed = 0
        return Ok(None)

    def done(self) -> Result[tuple[RaftSnapshot, ReplicatedState], PieceRefusal]:
        """The snapshot and its state, or what is wrong with them as a whole."""
        if self.next_request() is not None:
            return Err(PieceRefusal(PieceError.CUT_SHORT, f"{len(self.pieces)} of {self.label.count} pieces"))
        named, s = self.label, self._loader.done()
        if isinstance(s, Err):
            return Err(PieceRefusal(PieceError.CUT_SHORT, s.err_value))
        if s.ok_value.index != named.index:
            return Err(PieceRefusal(PieceError.FOREIGN, f"a state of index {s.ok_value.index}, labelled {named.index}"))
        return Ok((RaftSnapshot(named.group, named.index, named.term, named.voters, self.pieces), s.ok_value))


decode_label, decode_piece_request, decode_piece = (
    msgspec.msgpack.Decoder(k).decode for k in (SnapshotLabel | None, PieceRequest, Piece | None)
)
