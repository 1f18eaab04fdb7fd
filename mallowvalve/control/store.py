"""What a control process keeps in its disk log, and how that is read back at a start."""

from __future__ import annotations

import msgspec
from msgspec.structs import replace
from result import Err, Ok, Result

from mallowvalve.finding import Finding, Findings
from mallowvalve.raft.messages import Entry, HardState, RaftSnapshot, decode_snapshot, encode
from mallowvalve.raft.raft import Ready
from mallowvalve.storage.log import DiskLog

_hard = msgspec.msgpack.Decoder(HardState).decode
_entry = msgspec.msgpack.Decoder(Entry).decode
HARD_STATE_TAG, ENTRY_TAG = b"h", b"e"


class StoredState(msgspec.Struct):
    """What was stored; all None and empty for a blank process."""

    snapshot: RaftSnapshot | None
    hard: HardState | None
    entries: list[Entry]


def load(disk_log: DiskLog) -> Result[StoredState, Findings]:
    """Reads all back; findings where it cannot be understood."""
    if disk_log.snapshot is None:
        return (
            Err([Finding("log", "entries without a snapshot")]) if disk_log.batches else Ok(StoredState(None, None, []))
        )
    try:
        return Ok(_replay(snapshot_in(disk_log.snapshot), disk_log))
    except (msgspec.DecodeError, ValueError, IndexError) as e:
        return Err([Finding("log", f"not understood: {e}")])


def _replay(p: RaftSnapshot, disk_log: DiskLog) -> StoredState:
    hard: HardState | None = None
    entries: list[Entry] = []
    base, group = -1, None
    for batch in disk_log.batches:
        for item in batch:
            if item[:1] == HARD_STATE_TAG:
                h = _hard(item[1:])
                if h.group != group:
                    entries, base, group = [], -1, h.group
                hard = h
                continue
            e = _entry(item[1:])
            if base < 0:
                base = e.index
            if e.index < base or e.index > base + len(entries):
                entries, base = [], e.index
            del entries[e.index - base :]
            entries.append(e)
    if hard is not None and hard.group != p.group:
        return StoredState(p, None, [])
    return StoredState(p, hard, _tail(p, entries))


def _tail(p: RaftSnapshot, entries: list[Entry]) -> list[Entry]:
    at = next((i for i, e in enumerate(entries) if e.index == p.index), None)
    if at is not None and entries[at].term != p.term:
        return []
    tail = [e for e in entries if e.index > p.index]
    return tail if tail and tail[0].index == p.index + 1 else []


def items(r: Ready) -> list[bytes]:
    """What a step of Raft stores, as one batch."""
    out = [HARD_STATE_TAG + encode(r.hard_state)] if r.hard_state is not None else []
    return out + [ENTRY_TAG + encode(e) for e in r.entries]


def encode_log_head(hard: HardState, tail: list[Entry]) -> list[bytes]:
    """What a log begins with that follows a snapshot."""
    return [HARD_STATE_TAG + encode(hard)] + [ENTRY_TAG + encode(e) for e in tail]


def encode_snapshot(p: RaftSnapshot) -> list[bytes]:
    """A snapshot as it is stored, its head first."""
    return [encode(replace(p, state=[])), *p.state]


def snapshot_in(parts: list[bytes]) -> RaftSnapshot:
    """The snapshot of stored parts."""
    return replace(decode_snapshot(parts[0]), state=parts[1:])


def save(disk_log: DiskLog, r: Ready, hard: HardState, stored: str | None = None) -> None:
    """Saves a step; an installed snapshot may have been stored beside the log before."""
    if r.snapshot is not None:
        restart_log(disk_log, r.snapshot, encode_log_head(hard, r.entries), stored)
        return
    batch = items(r)
    if batch:
        disk_log.save(batch)


def restart_log(disk_log: DiskLog, p: RaftSnapshot, first: list[bytes], stored: str | None = None) -> None:
    """Makes the log begin at this snapshot."""
    whole, name = encode_snapshot(p), stored or disk_log.reserve_snapshot()
    if stored is None:
        disk_log.store_snapshot(name, whole)
    disk_log.start_from_snapshot(name, whole, first)
