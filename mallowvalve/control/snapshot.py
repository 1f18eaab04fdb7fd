"""Snapshots of the replicated state, encoded and decoded one piece at a time, so that the node stays responsive."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from itertools import chain
from typing import Any

import msgspec
from result import Err, Ok, Result

from mallowvalve.configuration.items import Item
from mallowvalve.control import sessions
from mallowvalve.control.sessions import SessionOutcome
from mallowvalve.control.state import ReplicatedSettings, ReplicatedState, encode
from mallowvalve.coordination import plain
from mallowvalve.coordination.state import KeyedLease, KeyEvent
from mallowvalve.ledger.asks import RecordedOutcome
from mallowvalve.ledger.ledger import ClaimRecord
from mallowvalve.raft.messages import ClusterConfiguration, GroupId, RaftSnapshot
from mallowvalve.upstreams.registry import Upstream

TARGET_PIECE_BYTES = 1 << 20
MAX_ROWS_PER_PIECE = 2000
ROW_OVERHEAD_BYTES = 200


class SnapshotHeader(msgspec.Struct, array_like=True, frozen=True):
    """The first piece: the small parts of the state, and the revisions and times that belong to the other pieces."""

    generation: int
    index: int
    clock: int
    settings: ReplicatedSettings
    locks: dict[str, KeyedLease]
    numbers: dict[str, int]
    compacted: int
    items_revision: int = 0
    registry_revision: int = 0
    settings_session_times: sessions.SessionTimes = sessions.SessionTimes()
    session_times: sessions.SessionTimes = sessions.SessionTimes()


HEADER = 0
LEDGER_ROWS = 1
LEDGER_BODY_KEYS = 2
RECORDED_OUTCOMES = 3
KEYS = 4
EVENTS = 5
ITEMS = 6
REGISTRY = 7
PLAIN = 8
SETTINGS_SESSIONS = 9
SESSIONS = 10
_decode_kind = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw]).decode
_decoders: dict[int, Callable[[msgspec.Raw], Any]] = {
    kind: msgspec.msgpack.Decoder(content).decode
    for kind, content in {
        HEADER: SnapshotHeader,
        LEDGER_ROWS: list[tuple[str, ClaimRecord]],
        LEDGER_BODY_KEYS: list[str],
        RECORDED_OUTCOMES: list[tuple[str, RecordedOutcome]],
        KEYS: list[tuple[str, tuple[str, int]]],
        EVENTS: list[KeyEvent],
        ITEMS: list[Item],
        REGISTRY: list[tuple[str, Upstream]],
        PLAIN: plain.PlainSnapshot,
        SETTINGS_SESSIONS: list[SessionOutcome],
        SESSIONS: list[SessionOutcome],
    }.items()
}


def encode_pieces(state: ReplicatedState) -> Iterator[bytes]:
    """Returns an iterator that encodes the current state lazily; the state may change meanwhile.

    The snapshot shares only immutable rows with the state.
    """
    header = SnapshotHeader(
        state.generation,
        state.index,
        state.clock,
        state.settings,
        state.coordination.locks,
        state.coordination.numbers,
        state.coordination.compacted,
        state.items.revision,
        state.registry.revision,
        state.settings_sessions.times,
        state.sessions.times,
    )
    coordination = state.plain.snapshot()
    return chain(
        _encode_settings_part(header, state),
        _encode_other_rows(state),
        (encode((PLAIN, part)) for part in plain.split_snapshot(coordination, MAX_ROWS_PER_PIECE, TARGET_PIECE_BYTES)),
    )


def encode_settings_pieces(state: ReplicatedState) -> Iterator[bytes]:
    """Encodes the settings part alone: settings, items, registry, and the outcomes of the commands that change them."""
    times = state.settings_sessions.times
    header = SnapshotHeader(
        state.generation,
        state.index,
        state.clock,
        state.settings,
        {},
        {},
        0,
        state.items.revision,
        state.registry.revision,
        times,
    )
    return _encode_settings_part(header, state)


def _encode_settings_part(header: SnapshotHeader, state: ReplicatedState) -> Iterator[bytes]:
    first = encode((HEADER, header))
    parts = (
        (ITEMS, state.items.rows.copy().values()),
        (REGISTRY, state.registry.rows.copy().items()),
        (SETTINGS_SESSIONS, state.settings_sessions.rows.copy().values()),
    )
    return chain([first], (encode((kind, part)) for kind, rows in parts for part in batch_rows(rows)))


def _encode_other_rows(state: ReplicatedState) -> Iterator[bytes]:
    parts = (
        (LEDGER_ROWS, state.ledger.rows.copy().items()),
        (LEDGER_BODY_KEYS, state.ledger.body_sizes.copy()),
        (RECORDED_OUTCOMES, state.asks.rows.copy().items()),
        (KEYS, state.coordination.keys.copy().items()),
        (EVENTS, state.coordination.events.copy()),
        (SESSIONS, state.sessions.rows.copy().values()),
    )
    return (encode((kind, part)) for kind, rows in parts for part in batch_rows(rows))


def encode_snapshot(state: ReplicatedState) -> list[bytes]:
    """Returns all pieces of the whole state."""
    return list(encode_pieces(state))


def initial_snapshot(group: GroupId, voters: ClusterConfiguration, base: ReplicatedState | None) -> RaftSnapshot:
    """Returns the snapshot that a new Raft group starts from: the state `base`, or an empty state."""
    state = ReplicatedState(group.generation) if base is None else base
    state.generation = group.generation
    return RaftSnapshot(group, state.index, 0, voters, encode_snapshot(state))


def decode_snapshot(pieces: list[bytes], generation: int | None = None) -> ReplicatedState:
    """Returns the state that the pieces encode; raises UnwrapError if they are invalid or have no header."""
    loader = SnapshotLoader(generation)
    for piece in pieces:
        loader.feed(piece).unwrap()
    return loader.done().unwrap()


def batch_rows(rows: Iterable) -> Iterator[list]:
    """Splits rows into batches of at most `MAX_ROWS_PER_PIECE` rows and about `TARGET_PIECE_BYTES` at most.

    Sizes are estimated from the rows' bodies, and the last row of a batch may exceed the target.
    """
    part, size = [], 0
    for row in rows:
        part.append(row)
        size += ROW_OVERHEAD_BYTES + _body_bytes(row)
        if len(part) >= MAX_ROWS_PER_PIECE or size >= TARGET_PIECE_BYTES:
            yield part
            part, size = [], 0
    if part:
        yield part


def _body_bytes(row: Any) -> int:
    content = row[1] if isinstance(row, tuple) else getattr(row, "outcome", row)
    body = (
        content[0]
        if isinstance(content, tuple)
        else next((body for field in ("body", "value", "doc") if (body := getattr(content, field, None))), None)
    )
    return len(body) if body else 0


class SnapshotLoader:
    """Builds a state from its pieces, which must arrive in order."""

    __slots__ = ("_generation", "_state")

    def __init__(self, generation: int | None = None):
        """`generation`, if given, replaces the generation in the header."""
        self._generation = generation
        self._state: ReplicatedState | None = None

    def feed(self, piece: bytes) -> Result[None, str]:
        """Adds the next piece to the state, or returns why it is invalid."""
        try:
            kind, raw = _decode_kind(piece)
            part = _decoders[kind](raw)
        except (msgspec.DecodeError, KeyError) as error:
            return Err(f"not understood: {error}")
        if kind == HEADER:
            return self._start(part)
        state = self._state
        if state is None:
            return Err("a piece before the header")
        if kind == LEDGER_ROWS:
            state.ledger.rows.update(part)
        elif kind == RECORDED_OUTCOMES:
            state.asks.rows.update(part)
        elif kind == KEYS:
            state.coordination.keys.update(part)
        elif kind == EVENTS:
            state.coordination.events.extend(part)
        elif kind == ITEMS:
            state.items.load_rows(part)
        elif kind == REGISTRY:
            state.registry.rows.update(part)
        elif kind == PLAIN:
            state.plain.load_snapshot(part)
        elif kind == SETTINGS_SESSIONS:
            state.settings_sessions.restore_outcomes(part)
        elif kind == SESSIONS:
            state.sessions.restore_outcomes(part)
        elif not state.ledger.restore_body_sizes(part):
            return Err("a stored response without its ledger row")
        return Ok(None)

    def done(self) -> Result[ReplicatedState, str]:
        """Returns the state after the last piece."""
        return Err("no header") if self._state is None else Ok(self._state)

    def _start(self, header: SnapshotHeader) -> Result[None, str]:
        if self._state is not None:
            return Err("a second header")
        state = self._state = ReplicatedState(header.generation if self._generation is None else self._generation)
        state.index, state.clock, state.settings = header.index, header.clock, header.settings
        coordination = state.coordination
        coordination.locks, coordination.numbers, coordination.compacted = (
            header.locks,
            header.numbers,
            header.compacted,
        )
        state.items.revision, state.registry.revision = header.items_revision, header.registry_revision
        state.settings_sessions.restore_times(header.settings_session_times)
        state.sessions.restore_times(header.session_times)
        return Ok(None)
