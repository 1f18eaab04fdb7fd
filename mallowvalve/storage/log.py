"""A log of batches beside a snapshot, of which everything whose save returned is read back, and nothing half.

The folder holds

- `identity`: whose disk this is, and up to which serial number files belong to an earlier life and count no more;
- `log-SERIAL`: a segment. It comes into being whole, by a `put`, with its first record: a head, which names the
  snapshot it follows. Batches are appended to it, each synced before its save returns;
- `snapshot-SERIAL`: a snapshot in parts.

Serials rise and are never used twice in a life of the disk. **The newest segment counts, with the snapshot that its
head names, and nothing else does**: a snapshot that is stored but not yet turned to, one that was dropped, and all
that a turn or a wipe replaced may be there or not, whole or not, at any time and after any crash. So one rename
decides each turn (that of the new segment) and each wipe (that of the identity), and no crash, however it mixes names
kept and lost, shows a part of one and a part of the other.

Only the end of the newest segment may be torn (the batch whose save did not return); anything else that is damaged
stops the start with its place.
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
IDENTITY_FILE, LOG_PREFIX, SNAPSHOT_PREFIX = "identity", "log-", "snapshot-"
_HEADER = struct.Struct("!4sII")
_LENGTH = struct.Struct("!I")
_MAGIC = b"MVt1"
Batch = list[bytes]


class DiskIdentity(msgspec.Struct, frozen=True):
    """Whose disk this is: files with a serial up to `before` are left from an earlier life."""

    format: int
    fleet: str
    id: str
    before: int = 0


class SegmentHeader(msgspec.Struct, frozen=True):
    """A segment's first record: the snapshot it follows (none before the first turn) and its first batch."""

    snapshot: str | None
    batch: Batch


_head = msgspec.msgpack.Decoder(SegmentHeader).decode
_batch = msgspec.msgpack.Decoder(Batch).decode
_pack = msgspec.msgpack.Encoder().encode


def encode_record(payload: bytes) -> bytes:
    """Return a record: magic, length, checksum (CRC-32) and the payload.

    The checksum covers the length too: else a torn header, its magic followed by zeros, would be an empty record.
    """
    return _HEADER.pack(_MAGIC, len(payload), _checksum(payload)) + payload


def decode_record(data: bytes, at: int) -> bytes | None:
    """Return the payload of the record at an offset, or None if no whole record is there."""
    if len(data) < at + _HEADER.size:
        return None
    magic, n, checksum = _HEADER.unpack_from(data, at)
    body = data[at + _HEADER.size : at + _HEADER.size + n]
    if magic != _MAGIC or len(body) != n or _checksum(body) != checksum:
        return None
    return body


def _checksum(payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(_LENGTH.pack(len(payload))))


class DiskLog:
    """The log of one process, for one thread; but snapshots may be `put` by others meanwhile.

    `snapshot` and `batches` are what was there at the start. Any method that writes may raise OSError (a full disk, a
    failing one); then what it was to write may be read back after a crash or not, and it may be called again. Sizes
    are in bytes.
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
        """Begin an empty log; `open` reads one."""
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
        """Return the log of a folder, or findings; a folder without any becomes that of a new machine, `fresh_id`.

        OSError where a torn end cannot be cut or a new identity not be written.
        """
        names = disk.names()
        who = _identity(disk, names, fleet, fresh_id)
        if isinstance(who, Err):
            return who
        log = cls(disk, who.ok_value, segment_bytes)
        found = log._load(names)
        return Err(found) if found else Ok(log)

    def save(self, batch: Batch) -> None:
        """Append a batch; once this returns it is safe.

        A crash before the sync may leave any part of the record, which the next start cuts off; after an OSError the
        part is cut off here, before the next record, for whatever lies before a record must be whole.
        """
        self._undo_failed_writes()
        if self._segment is None:
            self._begin_segment(None, batch)
            return
        if self._torn:
            self.disk.truncate(self._segment, self._segment_size)
            self._torn = False
        data = encode_record(_pack(batch))
        self._torn = True
        self.disk.append(self._segment, data)
        self.disk.sync(self._segment)
        self._torn = False
        self._segment_size += len(data)

    def snapshot_due(self) -> bool:
        """Whether it is time for a snapshot.

        A large one is written anew only once the log is half its size: a bound on writing, and on the disk.
        """
        return self._segment_size >= max(self.segment_bytes, self.snapshot_bytes // 2)

    def reserve_snapshot(self) -> str:
        """Return the name for a snapshot to be stored; it stays until the log turned to it or it was dropped."""
        name = SNAPSHOT_PREFIX + self._next_serial()
        self._pending_snapshots.add(name)
        return name

    def store_snapshot(self, name: str, snapshot: list[bytes]) -> None:
        """Write a snapshot beside the log, which goes on; it counts once the log has turned to it.

        The only method that another thread may be in meanwhile. After an OSError the name is given up.
        """
        try:
            self.disk.put(name, encode_record(_pack(len(snapshot))), *map(encode_record, snapshot))
        except OSError:
            self._pending_snapshots.discard(name)
            raise

    def start_from_snapshot(self, name: str, snapshot: list[bytes], head: Batch) -> None:
        """Go on from a stored snapshot with `head`; all older batches are gone once this returns.

        A crash before the new segment has its name shows the old snapshot and batches; after it, the new ones, however
        many of the files that are removed here come back. After an OSError turn again before anything else, to this
        snapshot or to another, and this one is given up.
        """
        self._pending_snapshots.discard(name)
        self._undo_failed_writes()
        self._begin_segment(name, head)
        self.snapshot_bytes = sum(map(len, snapshot))
        self._remove_obsolete_files({name, *self._pending_snapshots})

    def drop_snapshot(self, name: str) -> None:
        """Give up a stored snapshot; it may be back after a crash, but no segment names it."""
        self._pending_snapshots.discard(name)
        self.disk.remove(name)

    def wipe(self, fresh_id: str) -> None:
        """Become a new machine with an empty log.

        A crash before the new identity has its name shows the old machine, whole; after it, the new one, empty,
        however many of the files that are removed here come back: their serials are those of an earlier life.
        """
        identity = DiskIdentity(FORMAT_VERSION, self.identity.fleet, fresh_id, self._serial)
        self._identity_uncertain = True
        self.disk.put(IDENTITY_FILE, _sealed(identity))
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
        """Begin a segment; from the moment it has its name it counts, and all others do not."""
        name = LOG_PREFIX + self._next_serial()
        data = encode_record(_pack(SegmentHeader(snapshot, batch)))
        self._uncertain_segments.add(name)
        self.disk.put(name, data)
        self._uncertain_segments.discard(name)
        self._segment, self._segment_size, self._torn = name, len(data), False

    def _undo_failed_writes(self) -> None:
        """Take back what failed on its way.

        A segment or an identity whose `put` raised may have its name all the same, and would then count before what
        is saved from now on. Their removal is safe once the sync or put that follows has returned.
        """
        if self._identity_uncertain:
            self.disk.put(IDENTITY_FILE, _sealed(self.identity))
            self._identity_uncertain = False
        for name in sorted(self._uncertain_segments):
            self.disk.remove(name)
            self._uncertain_segments.discard(name)

    def _remove_obsolete_files(self, kept: set[str]) -> None:
        """Remove all segments and snapshots that do not count, but for those `kept`; a crash may bring any back."""
        for name in self.disk.names():
            if name.startswith((LOG_PREFIX, SNAPSHOT_PREFIX)) and name != self._segment and name not in kept:
                self.disk.remove(name)

    def _load(self, names: list[str]) -> Findings:
        serials = {n: _serial(n) for n in names if n.startswith((LOG_PREFIX, SNAPSHOT_PREFIX))}
        unclear = [Finding(n, "no serial number in its name") for n, serial in serials.items() if serial is None]
        if unclear:
            return unclear
        self._serial = max((serial for serial in serials.values() if serial is not None), default=0)
        self._serial = max(self._serial, self.identity.before)
        segments = [n for n in names if n.startswith(LOG_PREFIX) and (serials[n] or 0) > self.identity.before]
        return self._load_segment(segments[-1], names) if segments else []

    def _load_segment(self, name: str, names: list[str]) -> Findings:
        """Read the segment that counts.

        What is read here is acted upon, and may never have been synced: a process that was killed between a write and
        its sync leaves it to this one. So it is made safe at the end it has, torn or not, before anyone learns of it.
        """
        data = self.disk.read(name)
        first = decode_record(data, 0)
        if first is None:
            return [Finding(f"{name}@0", "damaged record")]
        head = _head(first)
        self.batches.append(head.batch)
        at = _HEADER.size + len(first)
        while (body := decode_record(data, at)) is not None:
            self.batches.append(_batch(body))
            at += _HEADER.size + len(body)
        if _valid_after(data, at + 1):
            return [Finding(f"{name}@{at}", "damaged record")]
        self.disk.truncate(name, at)
        self._segment, self._segment_size = name, at
        return self._load_snapshot(head.snapshot, name, names) if head.snapshot is not None else []

    def _load_snapshot(self, name: str, segment: str, names: list[str]) -> Findings:
        if name not in names:
            return [Finding(name, f"missing, {segment} follows it")]
        self.snapshot = _parts(self.disk.read(name))
        if self.snapshot is None:
            return [Finding(name, "damaged snapshot")]
        self.snapshot_bytes = sum(map(len, self.snapshot))
        return []


def _serial(name: str) -> int | None:
    try:
        return int(name.rpartition("-")[2], 16)
    except ValueError:
        return None


def _sealed(identity: DiskIdentity) -> bytes:
    return encode_record(msgspec.json.encode(identity))


def _parts(data: bytes) -> list[bytes] | None:
    """A snapshot's parts, or None unless it has them all, whole."""
    first = decode_record(data, 0)
    if first is None:
        return None
    out: list[bytes] = []
    at = _HEADER.size + len(first)
    while at < len(data):
        body = decode_record(data, at)
        if body is None:
            return None
        out.append(body)
        at += _HEADER.size + len(body)
    return out if _pack(len(out)) == first else None


def _valid_after(data: bytes, at: int) -> bool:
    """Whether a whole record begins anywhere from an offset on: what lies before it is damaged, not torn."""
    while (at := data.find(_MAGIC, at)) >= 0:
        if decode_record(data, at) is not None:
            return True
        at += 1
    return False


def _identity(disk: Disk, names: list[str], fleet: str, fresh_id: str) -> Result[DiskIdentity, Findings]:
    """The folder's identity; made here, safely, before anything else is in the folder."""
    if IDENTITY_FILE not in names:
        if any(n.startswith((LOG_PREFIX, SNAPSHOT_PREFIX)) for n in names):
            return Err([Finding(IDENTITY_FILE, "missing beside a log: the folder is damaged")])
        who = DiskIdentity(FORMAT_VERSION, fleet, fresh_id)
        disk.put(IDENTITY_FILE, _sealed(who))
        return Ok(who)
    body = decode_record(disk.read(IDENTITY_FILE), 0)
    if body is None:
        return Err([Finding(IDENTITY_FILE, "damaged")])
    try:
        who = msgspec.json.decode(body, type=DiskIdentity)
    except msgspec.DecodeError as e:
        return Err([Finding(IDENTITY_FILE, str(e))])
    found = []
    if who.format != FORMAT_VERSION:
        age = "newer" if who.format > FORMAT_VERSION else "older"
        found.append(
            Finding("identity.format", f"format {who.format} is {age} than {FORMAT_VERSION}, the only one read")
        )
    if who.fleet != fleet:
        found.append(Finding("identity.fleet", f"the disk belongs to fleet {who.fleet!r}"))
    return Err(found) if found else Ok(who)
