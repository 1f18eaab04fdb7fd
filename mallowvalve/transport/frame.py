from __future__ import annotations

import struct
import zlib

import msgspec
from result import Err, Ok, Result

from mallowvalve.types import Address

VERSION = 4
LARGEST = 64 << 20
PRESSED, PRESS_FROM, GAIN = 1 << 31, 512, 0.9
_LEN = struct.Struct("!I")


class Hello(msgspec.Struct, array_like=True, frozen=True):
    version: int
    fleet: str
    sender: Address


class Frame(msgspec.Struct, array_like=True, frozen=True):
    kind: str
    id: int
    answer: bool
    body: bytes


pack = msgspec.msgpack.Encoder().encode
_frame = msgspec.msgpack.Decoder(Frame).decode
_hello = msgspec.msgpack.Decoder(Hello).decode


def seal(m: Frame | Hello) -> bytes:
    """Frames of half a KB and more travel compressed where that helps; the length's highest bit says so."""
    b = pack(m)
    if len(b) >= PRESS_FROM and isinstance(m, Frame):
        z = zlib.compress(b, 1)
        if len(z) < GAIN * len(b):
            return _LEN.pack(len(z) | PRESSED) + z
    return _LEN.pack(len(b)) + b


def _unpress(z: bytes) -> bytes | None:
    d = zlib.decompressobj()
    try:
        b = d.decompress(z, LARGEST)
    except zlib.error:
        return None
    return b if d.eof and not d.unused_data else None


class Cutter:
    __slots__ = ("_buf", "_greeted", "fleet")

    def __init__(self, fleet: str, greeted: bool = False):
        self._buf = bytearray()
        self._greeted = greeted
        self.fleet = fleet

    def feed(self, data: bytes) -> Result[list[Frame | Hello], str]:
        self._buf += data
        out: list[Frame | Hello] = []
        while len(self._buf) >= 4:
            (n,) = _LEN.unpack_from(self._buf)
            pressed, n = n & PRESSED, n & ~PRESSED
            if n > LARGEST:
                return Err("oversize")
            if len(self._buf) < 4 + n:
                break
            body = bytes(self._buf[4 : 4 + n])
            del self._buf[: 4 + n]
            if pressed and (body := _unpress(body)) is None:
                return Err("garbage")
            r = self._open(body)
            if isinstance(r, Err):
                return r
            out.append(r.ok_value)
        return Ok(out)

    def _open(self, body: bytes) -> Result[Frame | Hello, str]:
        try:
            if self._greeted:
                return Ok(_frame(body))
            h = _hello(body)
        except msgspec.DecodeError:
            return Err("garbage")
        if h.version != VERSION or h.fleet != self.fleet:
            return Err("foreign")
        self._greeted = True
        return Ok(h)
