from __future__ import annotations

import struct
import zlib

import msgspec
from result import Err, Ok, Result

from mallowvalve.finding import Finding, Findings
from mallowvalve.storage.disk import Disk

FORMAT = 3
SEGMENT = 4 << 20
_HEAD = struct.Struct("!4sII")
_MAGIC = b"MVt1"
Batch = list[bytes]
_batch = msgspec.msgpack.Decoder(Batch).decode
_pack = msgspec.msgpack.Encoder().encode


class Identity(msgspec.Struct, frozen=True):
    format: int
    fleet: str
    id: str


def seal(payload: bytes) -> bytes:
    return _HEAD.pack(_MAGIC, len(payload), zlib.crc32(payload)) + payload


def unseal(data: bytes, at: int) -> bytes | None:
    if len(data) < at + _HEAD.size:
        return None
    magic, n, crc = _HEAD.unpack_from(data, at)
    body = data[at + _HEAD.size : at + _HEAD.size + n]
    if magic != _MAGIC or len(body) != n or zlib.crc32(body) != crc:
        return None
    return body


class DiskLog:
    __slots__ = (
        "disk",
        "identity",
        "snapshot",
        "batches",
        "_segments",
        "_serial",
        "_size",
        "_broken",
        "segment_bytes",
        "snapshot_bytes",
    )

    def __init__(self, disk: Disk, identity: Identity, segment_bytes: int = SEGMENT):
        self.disk, self.identity, self.segment_bytes = disk, identity, segment_bytes
        self.snapshot: list[bytes] | None = None
        self.snapshot_bytes = 0
        self.batches: list[Batch] = []
        self._segments: list[str] = []
        self._serial = 0
        self._size = 0
        self._broken = False

    @classmethod
    def open(cls, disk: Disk, fleet: str, fresh_id: str, segment_bytes: int = SEGMENT) -> Result[DiskLog, Findings]:
        names = disk.names()
        who = _identity(disk, names, fleet, fresh_id)
        if isinstance(who, Err):
            return who
        t = cls(disk, who.ok_value, segment_bytes)
        found = t._load_snapshot(names) + t._load_segments(names)
        return Err(found) if found else Ok(t)

    def save(self, batch: Batch) -> None:
        if self._broken:
            self.disk.cut(self._segments[-1], self._size)
            self._broken = False
        data = seal(_pack(batch))
        name = self._segments[-1] if self._segments else self._new_segment()
        self._broken = True
        self.disk.append(name, data)
        self.disk.sync(name)
        self._broken = False
        self._size += len(data)

    def full(self) -> bool:
        """A large snapshot is written anew only once the log is half its size: a bound on writing, and on the disk."""
        return self._size >= max(self.segment_bytes, self.snapshot_bytes // 2)

    def reserve(self) -> str:
        self._serial += 1
        return f"snapshot-{self._serial:016x}"

    def put(self, name: str, snapshot: list[bytes]) -> None:
        """Writes a snapshot beside the log, which goes on; it counts once the log has turned to it."""
        self.disk.put(name, seal(_pack(len(snapshot))), *map(seal, snapshot))

    def turn(self, name: str, snapshot: list[bytes], head: Batch) -> None:
        old_pics = [n for n in self.disk.names() if n.startswith("snapshot-") and n != name]
        old, self._segments = self._segments, []
        self._new_segment()
        try:
            self.save(head)
        except OSError:
            self._segments = old + self._segments
            raise
        self.snapshot_bytes = sum(map(len, snapshot))
        for n in old + old_pics:
            self.disk.remove(n)

    def drop(self, name: str) -> None:
        self.disk.remove(name)

    def wipe(self, fresh_id: str) -> None:
        self.identity = Identity(FORMAT, self.identity.fleet, fresh_id)
        self.disk.put("identity", seal(msgspec.json.encode(self.identity)))
        for n in self.disk.names():
            if n.startswith(("log-", "snapshot-")):
                self.disk.remove(n)
        self.snapshot, self.batches, self._segments, self._size, self._broken = None, [], [], 0, False
        self.snapshot_bytes = 0

    def _new_segment(self) -> str:
        self._serial += 1
        name = f"log-{self._serial:016x}"
        self._segments.append(name)
        self._size, self._broken = 0, False
        return name

    def _load_snapshot(self, names: list[str]) -> Findings:
        pics = [n for n in names if n.startswith("snapshot-")]
        if not pics:
            return []
        self._serial = int(pics[-1][8:], 16)
        self.snapshot = _parts(self.disk.read(pics[-1]))
        if self.snapshot is None:
            return [Finding(pics[-1], "damaged snapshot")]
        self.snapshot_bytes = sum(map(len, self.snapshot))
        return []

    def _load_segments(self, names: list[str]) -> Findings:
        found: Findings = []
        segs = [n for n in names if n.startswith("log-")]
        for n in segs:
            data, at = self.disk.read(n), 0
            self._segments.append(n)
            self._serial = max(self._serial, int(n[4:], 16))
            while at < len(data):
                body = unseal(data, at)
                if body is None:
                    break
                self.batches.append(_batch(body))
                at += _HEAD.size + len(body)
            self._size = at
            if at == len(data):
                continue
            if n != segs[-1] or _valid_after(data, at + 1):
                found.append(Finding(f"{n}@{at}", "damaged record"))
                continue
            self.disk.cut(n, at)
        return found


def _parts(data: bytes) -> list[bytes] | None:
    first = unseal(data, 0)
    if first is None:
        return None
    out, at = [], _HEAD.size + len(first)
    while at < len(data):
        body = unseal(data, at)
        if body is None:
            return None
        out.append(body)
        at += _HEAD.size + len(body)
    return out if _pack(len(out)) == first else None


def _valid_after(data: bytes, at: int) -> bool:
    while (at := data.find(_MAGIC, at)) >= 0:
        if unseal(data, at) is not None:
            return True
        at += 1
    return False


def _identity(disk: Disk, names: list[str], fleet: str, fresh_id: str) -> Result[Identity, Findings]:
    if "identity" not in names:
        if any(n.startswith(("log-", "snapshot-")) for n in names):
            return Err([Finding("identity", "missing beside a log: the folder is damaged")])
        who = Identity(FORMAT, fleet, fresh_id)
        disk.put("identity", seal(msgspec.json.encode(who)))
        return Ok(who)
    body = unseal(disk.read("identity"), 0)
    if body is None:
        return Err([Finding("identity", "damaged")])
    try:
        who = msgspec.json.decode(body, type=Identity)
    except msgspec.DecodeError as e:
        return Err([Finding("identity", str(e))])
    found = []
    if who.format != FORMAT:
        age = "newer" if who.format > FORMAT else "older"
        found.append(Finding("identity.format", f"format {who.format} is {age} than {FORMAT}, the only one read"))
    if who.fleet != fleet:
        found.append(Finding("identity.fleet", f"the disk belongs to fleet {who.fleet!r}"))
    return Err(found) if found else Ok(who)
