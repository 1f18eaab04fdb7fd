"""Frames on the wire: a length of four bytes, then one msgpack array, compressed where that helps."""

from __future__ import annotations

import enum
import struct
import zlib

import msgspec
from result import Err, Ok, Result

from mallowvalve.types import Address

VERSION = 4
LARGEST = 64 << 20
"""The largest body of a frame, in bytes, compressed or not."""
PRESSED, PRESS_FROM, GAIN = 1 << 31, 512, 0.9
_LENGTH = struct.Struct("!I")


class Refusal(enum.StrEnum):
    """Why a connection's bytes are read no further."""

    OVERSIZE = "oversize"
    GARBAGE = "garbage"
    FOREIGN = "foreign"


class Hello(msgspec.Struct, array_like=True, frozen=True):
    """The first message of a connection, from the side that made it."""

    version: int
    fleet: str
    sender: Address


class Frame(msgspec.Struct, array_like=True, frozen=True):
    """A call, a cast, or (`answer`) what a call of this id is answered."""

    kind: str
    id: int
    answer: bool
    body: bytes


pack = msgspec.msgpack.Encoder().encode
_frame = msgspec.msgpack.Decoder(Frame).decode
_hello = msgspec.msgpack.Decoder(Hello).decode


def seal(message: Frame | Hello) -> bytes:
    """Frames of half a KB and more travel compressed where that helps; the length's highest bit says so."""
    body = pack(message)
    if len(body) >= PRESS_FROM and isinstance(message, Frame):
        pressed = zlib.compress(body, 1)
        if len(pressed) < GAIN * len(body):
            return _LENGTH.pack(len(pressed) | PRESSED) + pressed
    return _LENGTH.pack(len(body)) + body


def _unpress(pressed: bytes) -> bytes | None:
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(pressed, LARGEST)
    except zlib.error:
        return None
    return body if decompressor.eof and not decompressor.unused_data else None


class Cutter:
    """Cuts the bytes of one connection into messages. The first is a `Hello`, unless it is `greeted` already."""

    __slots__ = ("_buffer", "_greeted", "fleet")

    def __init__(self, fleet: str, greeted: bool = False):
        """Only a `Hello` of this fleet and version is taken."""
        self._buffer = bytearray()
        self._greeted = greeted
        self.fleet = fleet

    def feed(self, data: bytes) -> Result[list[Frame | Hello], Refusal]:
        """The messages that are whole with these bytes; after an error the connection is of no more use."""
        self._buffer += data
        out: list[Frame | Hello] = []
        while len(self._buffer) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer)
            is_pressed = length & PRESSED
            length &= ~PRESSED
            if length > LARGEST:
                return Err(Refusal.OVERSIZE)
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                break
            body: bytes | None = bytes(self._buffer[_LENGTH.size : end])
            del self._buffer[:end]
            if is_pressed and body is not None:
                body = _unpress(body)
            if body is None:
                return Err(Refusal.GARBAGE)
            message = self._open(body)
            if isinstance(message, Err):
                return message
            out.append(message.ok_value)
        return Ok(out)

    def _open(self, body: bytes) -> Result[Frame | Hello, Refusal]:
        try:
            if self._greeted:
                return Ok(_frame(body))
            hello = _hello(body)
        except msgspec.DecodeError:
            return Err(Refusal.GARBAGE)
        if hello.version != VERSION or hello.fleet != self.fleet:
            return Err(Refusal.FOREIGN)
        self._greeted = True
        return Ok(hello)
