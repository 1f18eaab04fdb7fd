"""A state cut into pieces and put together again, a step at a time, so that a node goes on answering meanwhile."""

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


class SnapshotHeader(msgspec.Struct, array_like=True, frozen=True):
    """The first piece: what is small, and the counts that the other pieces rest on."""

    generation: int
    index: int
    clock: int
    settings: ReplicatedSettings
    locks: dict[str, KeyedLease]
    numbers: dict[str, int]
    compacted: int
    items_revision: int = 0
    registry_revision: int = 0
    settings_times: sessions.SessionTimes = sessions.SessionTimes()
    times: sessions.SessionTimes = sessions.SessionTimes()


(
    HEADER,
    LEDGER_ROWS,
    LEDGER_BODY_KEYS,
    RECORDED_OUTCOMES,
    KEYS,
    EVENTS,
    ITEMS,
    REGISTRY,
    PLAIN,
    SETTINGS_SESSIONS,
    SESSIONS,
) = range(11)
_decode_kind = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw]).decode
_decoders: dict[int, Callable[[msgspec.Raw], Any]] = {
    k: msgspec.msgpack.Decoder(t).decode
    for k, t in {
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


def encode_pieces(s: ReplicatedState) -> Iterator[bytes]:
    """The state as it is now; pieces are made one at a time while it goes on, for only frozen rows are shared."""
    head = SnapshotHeader(
        s.generation,
        s.index,
        s.clock,
        s.settings,
        s.coordination.locks,
        s.coordination.numbers,
        s.coordination.compacted,
        s.items.revision,
        s.registry.revision,
        s.settings_sessions.times,
        s.sessions.times,
    )
    coordination = s.plain.snapshot()
    return chain(
        _encode_settings_part(head, s),
        _encode_other_rows(s),
        (encode((PLAIN, p)) for p in plain.split_snapshot(coordination, MAX_ROWS_PER_PIECE, TARGET_PIECE_BYTES)),
    )


def encode_settings_pieces(s: ReplicatedState) -> Iterator[bytes]:
    """The settings part alone: settings, items and registry, and what was said to the commands that make them."""
    times = s.settings_sessions.times
    head = SnapshotHeader(
        s.generation, s.index, s.clock, s.settings, {}, {}, 0, s.items.revision, s.registry.revision, times
    )
    return _encode_settings_part(head, s)


def _encode_settings_part(head: SnapshotHeader, s: ReplicatedState) -> Iterator[bytes]:
    first = encode((HEADER, head))
    parts = (
        (ITEMS, s.items.rows.copy().values()),
        (REGISTRY, s.registry.rows.copy().items()),
        (SETTINGS_SESSIONS, s.settings_sessions.rows.copy().values()),
    )
    return chain([first], (encode((kind, part)) for kind, rows in parts for part in batch_rows(rows)))


def _encode_other_rows(s: ReplicatedState) -> Iterator[bytes]:
    parts = (
        (LEDGER_ROWS, s.ledger.rows.copy().items()),
        (LEDGER_BODY_KEYS, s.ledger.body_sizes.copy()),
        (RECORDED_OUTCOMES, s.asks.rows.copy().items()),
        (KEYS, s.coordination.keys.copy().items()),
        (EVENTS, s.coordination.events.copy()),
        (SESSIONS, s.sessions.rows.copy().values()),
    )
    return (encode((kind, part)) for kind, rows in parts for part in batch_rows(rows))


def encode_snapshot(s: ReplicatedState) -> list[bytes]:
    """The whole state in pieces."""
    return list(encode_pieces(s))


def initial_snapshot(group: GroupId, voters: ClusterConfiguration, base: ReplicatedState | None) -> RaftSnapshot:
    """The snapshot that a new group begins from: a base's state, or an empty one."""
    state = ReplicatedState(group.generation) if base is None else base
    state.generation = group.generation
    return RaftSnapshot(group, state.index, 0, voters, encode_snapshot(state))


def decode_snapshot(pieces: list[bytes], generation: int | None = None) -> ReplicatedState:
    """The state of these pieces; UnwrapError if they are no whole state."""
    w = SnapshotLoader(generation)
    for p in pieces:
        w.feed(p).unwrap()
    return w.done().unwrap()


def batch_rows(rows: Iterable) -> Iterator[list]:
    """Parts of at most so many rows, and of not much more than a piece's bytes by a guess at the large ones."""
    part, size = [], 0
    for r in rows:
        part.append(r)
        size += 200 + _body_bytes(r)
        if len(part) >= MAX_ROWS_PER_PIECE or size >= TARGET_PIECE_BYTES:
            yield part
            part, size = [], 0
    if part:
        yield part


def _body_bytes(r: Any) -> int:
    v = r[1] if isinstance(r, tuple) else getattr(r, "outcome", r)
    body = (
        v[0]
        if isinstance(v, tuple)
        else next((b for f in ("body", "value", "doc") if (b := getattr(v, f, None))), None)
    )
    return len(body) if body else 0


class SnapshotLoader:
    """Builds a state from its pieces, which must come in their order."""

    __slots__ = ("_generation", "_state")

    def __init__(self, generation: int | None = None):
        """`generation` replaces the one that the pieces name, where it is given."""
        self._generation = generation
        self._state: ReplicatedState | None = None

    def feed(self, piece: bytes) -> Result[None, str]:
        """Takes in the next piece, or says what is wrong with it."""
        try:
            kind, raw = _decode_kind(piece)
            part = _decoders[kind](raw)
        except (msgspec.DecodeError, KeyError) as e:
            return Err(f"not understood: {e}")
        if kind == HEADER:
            return self._begin(part)
        s = self._state
        if s is None:
            return Err("no head yet")
        if kind == LEDGER_ROWS:
            s.ledger.rows.update(part)
        elif kind == RECORDED_OUTCOMES:
            s.asks.rows.update(part)
        elif kind == KEYS:
            s.coordination.keys.update(part)
        elif kind == EVENTS:
            s.coordination.events.extend(part)
        elif kind == ITEMS:
            s.items.load_rows(part)
        elif kind == REGISTRY:
            s.registry.rows.update(part)
        elif kind == PLAIN:
            s.plain.load_snapshot(part)
        elif kind == SETTINGS_SESSIONS:
            s.settings_sessions.restore_outcomes(part)
        elif kind == SESSIONS:
            s.sessions.restore_outcomes(part)
        elif not s.ledger.restore_body_sizes(part):
            return Err("a kept answer without its row")
        return Ok(None)

    def done(self) -> Result[ReplicatedState, str]:
        """The state, once all pieces were taken in."""
        return Err("no head") if self._state is None else Ok(self._state)

    def _begin(self, h: SnapshotHeader) -> Result[None, str]:
        if self._state is not None:
            return Err("a second head")
        s = self._state = ReplicatedState(h.generation if self._generation is None else self._generation)
        s.index, s.clock, s.settings = h.index, h.clock, h.settings
        s.coordination.locks, s.coordination.numbers, s.coordination.compacted = h.locks, h.numbers, h.compacted
        s.items.revision, s.registry.revision = h.items_revision, h.registry_revision
        s.settings_sessions.restore_times(h.settings_times)
        s.sessions.restore_times(h.times)
        return Ok(None)
