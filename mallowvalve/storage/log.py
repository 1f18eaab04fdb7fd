"""A log of batches with a snapshot, which returns every saved batch at the next start, and no partial one.

The folder contains

- `identity`: the identity of the disk, and the highest serial number that was in use before the last wipe; files up
  to that serial are obsolete;
- `log-SERIAL`: a segment, created atomically by a `put` along with its first record. That record is a header, which
  names the snapshot that the segment follows. Each appended batch is synced before its save returns;
- `snapshot-SERIAL`: a snapshot in parts.

Serial numbers increase and are never reused on a disk. **Only the newest segment and the snapshot named in its header
are in effect.** A stored snapshot that the log does not use yet, a dropped one, and all files that a newer segment or
a wipe replaced may be present or missing, complete or partial, at any time and after any crash. A single rename
therefore switches the log to a snapshot (that of the new segment) or wipes it (that of the identity). Whichever names a
crash keeps or loses, no start reads a mixture of old and new state.

Only the end of the newest segment may be torn (a batch whose save did not return). Any other damage prevents the start,
and is reported with its location.
"""

from __future__ import annotations

import struct
import zlib

import msgspec
from result import Err, Ok, Result

from mallowvalve.finding import Finding, Findings
from mallowvalve.storage.disk import Disk

FORMAT_VERSION = 4
DEFAULT_SEGMENT_BYTES = 4 << 20
IDENTITY_FILE = "identity"
LOG_PREFIX = "log-"
SNAPSHOT_PREFIX = "snapshot-"
_RECORD_HEADER = struct.Struct("!4sII")
_LENGTH = struct.Struct("!I")
_MAGIC = b"MVt1"
Batch = list[bytes]


class DiskIdentity(msgspec.Struct, frozen=True):
    """The identity of a disk; files with a serial up to `before` are left over from before the last wipe."""

    format: int
    fleet: str
    id: str
    before: int = 0


class SegmentHeader(msgspec.Struct, frozen=True):
    """The first record of a segment: the snapshot that it follows, if there is one, and its first batch."""

    snapshot: str | None
    batch: Batch


_decode_header = msgspec.msgpack.Decoder(SegmentHeader).decode
_decode_batch = msgspec.msgpack.Decoder(Batch).decode
_encode = msgspec.msgpack.Encoder().encode


def encode_record(payload: bytes) -> bytes:
    """Returns a record: magic, length, checksum (CRC-32) and the payload.

    The checksum covers the length too. Otherwise a torn header (the magic followed by zeros) would pass as an empty
    record.
    """
    return _RECORD_HEADER.pack(_MAGIC, len(payload), _checksum(payload)) + payload


def decode_record(data: bytes, offset: int) -> bytes | None:
    """Returns the payload of the record at an offset, or None if there is no complete record."""
    if len(data) < offset + _RECORD_HEADER.size:
        return None
    magic, length, checksum = _RECORD_HEADER.unpack_from(data, offset)
    payload = data[offset + _RECORD_HEADER.size : offset + _RECORD_HEADER.size + length]
    if magic != _MAGIC or len(payload) != length or _checksum(payload) != checksum:
        return None
    return payload


def _checksum(payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(_LENGTH.pack(len(payload))))


class DiskLog:
    """The log of one process. One thread may use it, but another may call `store_snapshot` at the same time.

    `snapshot` and `batches` are the contents at the start. Any method that writes may raise OSError (a full or failing
    disk). After that error, the data may or may not be read back after a crash, and the caller may retry. Sizes are in
    bytes.
    """

    __slots__ = (
        "disk",
        "identity",
        "snapshot",
        "batches",
        "segment_bytes",
        "snapshot_bytes",
        "_segment",
        "_segment_size",
        "_torn",
        "_serial",
        "_pending_snapshots",
        "_uncertain_segments",
        "_identity_uncertain",
    )

    def __init__(self, disk: Disk, identity: DiskIdentity, segment_bytes: int = DEFAULT_SEGMENT_BYTES):
        """Creates an empty log; `open` reads an existing one."""
        self.disk, self.identity, self.segment_bytes = disk, identity, segment_bytes
        self.snapshot: list[bytes] | None = None
        self.snapshot_bytes = 0
        self.batches: list[Batch] = []
        self._segment: str | None = None
        self._segment_size = 0
        self._torn = False
        self._serial = identity.before
        self._pending_snapshots: set[str] = set()
        self._uncertain_segments: set[str] = set()
        self._identity_uncertain = False

    @classmethod
    def open(
        cls, disk: Disk, fleet: str, fresh_id: str, segment_bytes: int = DEFAULT_SEGMENT_BYTES
    ) -> Result[DiskLog, Findings]:
        """Returns the log of a folder, or findings. An empty folder gets the identity `fresh_id`.

        Raises OSError if a torn end cannot be truncated or a new identity cannot be written.
        """
        names = disk.names()
        identity = _load_identity(disk, names, fleet, fresh_id)
        if isinstance(identity, Err):
            return identity
        log = cls(disk, identity.ok_value, segment_bytes)
        findings = log._load(names)
        return Err(findings) if findings else Ok(log)

    def save(self, batch: Batch) -> None:
        """Appends a batch durably.

        A crash before the sync may leave a partial record, which the next start truncates. After an OSError, the next
        call truncates the partial record before it writes, because all records before the last must be complete.
        """
        self._undo_failed_writes()
        if self._segment is None:
            self._begin_segment(None, batch)
            return
        if self._torn:
            self.disk.truncate(self._segment, self._segment_size)
            self._torn = False
        data = encode_record(_encode(batch))
        self._torn = True
        self.disk.append(self._segment, data)
        self.disk.sync(self._segment)
        self._torn = False
        self._segment_size += len(data)

    def snapshot_due(self) -> bool:
        """Returns whether the segment is large enough for a new snapshot.

        The segment must reach half the size of the last snapshot, which bounds the write volume and the disk usage.
        """
        return self._segment_size >= max(self.segment_bytes, self.snapshot_bytes // 2)

    def reserve_snapshot(self) -> str:
        """Returns a name for a snapshot, whose file is kept until the log starts from it or drops it."""
        name = SNAPSHOT_PREFIX + self._next_serial()
        self._pending_snapshots.add(name)
        return name

    def store_snapshot(self, name: str, snapshot: list[bytes]) -> None:
        """Writes a snapshot without affecting the log; it takes effect by `start_from_snapshot`.

        This is the only method that another thread may run concurrently. After an OSError the name is invalid.
        """
        try:
            self.disk.put(name, encode_record(_encode(len(snapshot))), *map(encode_record, snapshot))
        except OSError:
            self._pending_snapshots.discard(name)
            raise

    def start_from_snapshot(self, name: str, snapshot: list[bytes], first: Batch) -> None:
        """Starts a new segment from a stored snapshot, with `first` as its first batch; discards all older batches.

        After a crash before the rename of the new segment, a start reads the old snapshot and batches; after it, the
        new ones, however many of the files removed here reappear. After an OSError, the caller must call this again
        before anything else, for this snapshot or another one, in which case this one is abandoned.
        """
        self._pending_snapshots.discard(name)
        self._undo_failed_writes()
        self._begin_segment(name, first)
        self.snapshot_bytes = sum(map(len, snapshot))
        self._remove_obsolete_files({name, *self._pending_snapshots})

    def drop_snapshot(self, name: str) -> None:
        """Discards a stored snapshot; its file may reappear after a crash, but no segment refers to it."""
        self._pending_snapshots.discard(name)
        self.disk.remove(name)

    def wipe(self, fresh_id: str) -> None:
        """Replaces the identity by a new one and empties the log.

        After a crash before the rename of the new identity, a start reads the complete old state; after it, an empty
        log, however many of the files removed here reappear, because `before` in the new identity covers their serials.
        """
        identity = DiskIdentity(FORMAT_VERSION, self.identity.fleet, fresh_id, self._serial)
        self._identity_uncertain = True
        self.disk.put(IDENTITY_FILE, _encode_identity(identity))
        self._identity_uncertain = False
        self.identity = identity
        self.snapshot, self.batches, self.snapshot_bytes = None, [], 0
        self._segment, self._segment_size, self._torn = None, 0, False
        self._pending_snapshots.clear()
        self._uncertain_segments.clear()
        self._remove_obsolete_files(set())

    def _next_serial(self) -> str:
        self._serial += 1
        return f"{self._serial:016x}"

    def _begin_segment(self, snapshot: str | None, batch: Batch) -> None:
        """Begins a segment, which replaces all others in effect from the moment of its rename."""
        name = LOG_PREFIX + self._next_serial()
        data = encode_record(_encode(SegmentHeader(snapshot, batch)))
        self._uncertain_segments.add(name)
        self.disk.put(name, data)
        self._uncertain_segments.discard(name)
        self._segment, self._segment_size, self._torn = name, len(data), False

    def _undo_failed_writes(self) -> None:
        """Reverts failed writes.

        A segment or identity may have been renamed even though its `put` raised an error. It would then take precedence
        over everything that is saved from now on. The removal is durable once the following sync or put returns.
        """
        if self._identity_uncertain:
            self.disk.put(IDENTITY_FILE, _encode_identity(self.identity))
            self._identity_uncertain = False
        for name in sorted(self._uncertain_segments):
            self.disk.remove(name)
            self._uncertain_segments.discard(name)

    def _remove_obsolete_files(self, kept: set[str]) -> None:
        """Removes all segments and snapshots not in effect, except those in `kept`; a crash may restore any of them."""
        for name in self.disk.names():
            if name.startswith((LOG_PREFIX, SNAPSHOT_PREFIX)) and name != self._segment and name not in kept:
                self.disk.remove(name)

    def _load(self, names: list[str]) -> Findings:
        serials = {n: _serial_of(n) for n in names if n.startswith((LOG_PREFIX, SNAPSHOT_PREFIX))}
        unnumbered = [Finding(n, "no serial number in its name") for n, serial in serials.items() if serial is None]
        if unnumbered:
            return unnumbered
        self._serial = max((serial for serial in serials.values() if serial is not None), default=0)
        self._serial = max(self._serial, self.identity.before)
        segments = [n for n in names if n.startswith(LOG_PREFIX) and (serials[n] or 0) > self.identity.before]
        return self._load_segment(segments[-1], names) if segments else []

    def _load_segment(self, name: str, names: list[str]) -> Findings:
        """Reads the segment in effect.

        The process acts on the data that is read here, which may never have been synced: an earlier process may have
        been killed between a write and its sync. The segment is therefore truncated and synced at its end, even if it
        is not torn, before its contents are used.
        """
        data = self.disk.read(name)
        first = decode_record(data, 0)
        if first is None:
            return [Finding(f"{name}@0", "damaged record")]
        header = _decode_header(first)
        self.batches.append(header.batch)
        offset = _RECORD_HEADER.size + len(first)
        while (payload := decode_record(data, offset)) is not None:
            self.batches.append(_decode_batch(payload))
            offset += _RECORD_HEADER.size + len(payload)
        if _has_record_after(data, offset + 1):
            return [Finding(f"{name}@{offset}", "damaged record")]
        self.disk.truncate(name, offset)
        self._segment, self._segment_size = name, offset
        return self._load_snapshot(header.snapshot, name, names) if header.snapshot is not None else []

    def _load_snapshot(self, name: str, segment: str, names: list[str]) -> Findings:
        if name not in names:
            return [Finding(name, f"missing, {segment} follows it")]
        self.snapshot = _decode_parts(self.disk.read(name))
        if self.snapshot is None:
            return [Finding(name, "damaged snapshot")]
        self.snapshot_bytes = sum(map(len, self.snapshot))
        return []


def _serial_of(name: str) -> int | None:
    try:
        return int(name.rpartition("-")[2], 16)
    except ValueError:
        return None


def _encode_identity(identity: DiskIdentity) -> bytes:
    return encode_record(msgspec.json.encode(identity))


def _decode_parts(data: bytes) -> list[bytes] | None:
    """Returns the parts of a snapshot, or None if a part is missing or damaged."""
    first = decode_record(data, 0)
    if first is None:
        return None
    parts: list[bytes] = []
    offset = _RECORD_HEADER.size + len(first)
    while offset < len(data):
        part = decode_record(data, offset)
        if part is None:
            return None
        parts.append(part)
        offset += _RECORD_HEADER.size + len(part)
    return parts if _encode(len(parts)) == first else None


def _has_record_after(data: bytes, offset: int) -> bool:
    """Returns whether a complete record starts at or after an offset; the data before it is then damaged, not torn."""
    while (offset := data.find(_MAGIC, offset)) >= 0:
        if decode_record(data, offset) is not None:
            return True
        offset += 1
    return False


def _load_identity(disk: Disk, names: list[str], fleet: str, fresh_id: str) -> Result[DiskIdentity, Findings]:
    """Returns the identity of the folder; creates it durably, before any other file, if the folder is empty."""
    if IDENTITY_FILE not in names:
        if any(n.startswith((LOG_PREFIX, SNAPSHOT_PREFIX)) for n in names):
            return Err([Finding(IDENTITY_FILE, "missing beside a log: the folder is damaged")])
        identity = DiskIdentity(FORMAT_VERSION, fleet, fresh_id)
        disk.put(IDENTITY_FILE, _encode_identity(identity))
        return Ok(identity)
    payload = decode_record(disk.read(IDENTITY_FILE), 0)
    if payload is None:
        return Err([Finding(IDENTITY_FILE, "damaged")])
    try:
        identity = msgspec.json.decode(payload, type=DiskIdentity)
    except msgspec.DecodeError as error:
        return Err([Finding(IDENTITY_FILE, str(error))])
    findings = []
    if identity.format != FORMAT_VERSION:
        age = "newer" if identity.format > FORMAT_VERSION else "older"
        findings.append(
            Finding("identity.format", f"format {identity.format} is {age} than {FORMAT_VERSION}, the only one read")
        )
    if identity.fleet != fleet:
        findings.append(Finding("identity.fleet", f"the disk belongs to fleet {identity.fleet!r}"))
    return Err(findings) if findings else Ok(identity)
