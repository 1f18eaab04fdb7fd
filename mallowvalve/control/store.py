"""Encodes what a control process keeps in its disk log, and loads it at a start."""

from __future__ import annotations

import msgspec
from msgspec.structs import replace
from result import Err, Ok, Result

from mallowvalve.finding import Finding, Findings
from mallowvalve.raft.messages import Entry, HardState, RaftSnapshot, decode_snapshot, encode
from mallowvalve.raft.raft import Ready
from mallowvalve.storage.log import DiskLog

_decode_hard_state = msgspec.msgpack.Decoder(HardState).decode
_decode_entry = msgspec.msgpack.Decoder(Entry).decode
HARD_STATE_TAG = b"h"
ENTRY_TAG = b"e"


class StoredState(msgspec.Struct):
    """The stored snapshot, hard state and log entries; None and empty for a blank process."""

    snapshot: RaftSnapshot | None
    hard: HardState | None
    entries: list[Entry]


def load(disk_log: DiskLog) -> Result[StoredState, Findings]:
    """Returns the stored state, or findings if it cannot be decoded."""
    if disk_log.snapshot is None:
        blank = StoredState(None, None, [])
        return Err([Finding("log", "entries without a snapshot")]) if disk_log.batches else Ok(blank)
    try:
        return Ok(_replay(decode_stored_snapshot(disk_log.snapshot), disk_log))
    except (msgspec.DecodeError, ValueError, IndexError) as error:
        return Err([Finding("log", f"not understood: {error}")])


def _replay(snapshot: RaftSnapshot, disk_log: DiskLog) -> StoredState:
    """Replays the batches: an entry replaces all from its index on, a hard state of another group drops them all."""
    hard: HardState | None = None
    entries: list[Entry] = []
    first_index, group = -1, None
    for batch in disk_log.batches:
        for item in batch:
            if item[:1] == HARD_STATE_TAG:
                hard_state = _decode_hard_state(item[1:])
                if hard_state.group != group:
                    entries, first_index, group = [], -1, hard_state.group
                hard = hard_state
                continue
            entry = _decode_entry(item[1:])
            if first_index < 0:
                first_index = entry.index
            if entry.index < first_index or entry.index > first_index + len(entries):
                entries, first_index = [], entry.index
            del entries[entry.index - first_index :]
            entries.append(entry)
    if hard is not None and hard.group != snapshot.group:
        return StoredState(snapshot, None, [])
    return StoredState(snapshot, hard, _entries_after(snapshot, entries))


def _entries_after(snapshot: RaftSnapshot, entries: list[Entry]) -> list[Entry]:
    """Returns the entries that continue the snapshot; none if they diverge from it or leave a gap."""
    at = next((i for i, entry in enumerate(entries) if entry.index == snapshot.index), None)
    if at is not None and entries[at].term != snapshot.term:
        return []
    tail = [entry for entry in entries if entry.index > snapshot.index]
    return tail if tail and tail[0].index == snapshot.index + 1 else []


def encode_batch(ready: Ready) -> list[bytes]:
    """Returns the batch that stores the hard state and the entries of a Raft step."""
    hard_state = [HARD_STATE_TAG + encode(ready.hard_state)] if ready.hard_state is not None else []
    return hard_state + [ENTRY_TAG + encode(entry) for entry in ready.entries]


def encode_log_head(hard: HardState, tail: list[Entry]) -> list[bytes]:
    """Returns the first batch of a log that follows a snapshot."""
    return [HARD_STATE_TAG + encode(hard)] + [ENTRY_TAG + encode(entry) for entry in tail]


def encode_snapshot(snapshot: RaftSnapshot) -> list[bytes]:
    """Returns the stored parts of a snapshot, its header first."""
    return [encode(replace(snapshot, state=[])), *snapshot.state]


def decode_stored_snapshot(parts: list[bytes]) -> RaftSnapshot:
    """Returns the snapshot of the stored parts."""
    return replace(decode_snapshot(parts[0]), state=parts[1:])


def save(disk_log: DiskLog, ready: Ready, hard: HardState, stored: str | None = None) -> None:
    """Saves a Raft step; `stored` names the file of its snapshot if that is stored already."""
    if ready.snapshot is not None:
        restart_log(disk_log, ready.snapshot, encode_log_head(hard, ready.entries), stored)
        return
    batch = encode_batch(ready)
    if batch:
        disk_log.save(batch)


def restart_log(disk_log: DiskLog, snapshot: RaftSnapshot, log_head: list[bytes], stored: str | None = None) -> None:
    """Starts a new log at the snapshot; `stored` names the snapshot's file if it is stored already."""
    parts, name = encode_snapshot(snapshot), stored or disk_log.reserve_snapshot()
    if stored is None:
        disk_log.store_snapshot(name, parts)
    disk_log.start_from_snapshot(name, parts, log_head)
