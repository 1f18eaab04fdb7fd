"""Frames on the wire: each a length of four bytes and a msgpack array, all of a connection in one compressed stream.

The greeting that opens a connection is not compressed. What follows it, in each direction, is one raw deflate stream
(RFC 1951) that is flushed after each write, so that a frame is compressed by what the frames before it have in common
with it: group, members and addresses are in every one of them.
"""

from __future__ import annotations

import enum
import struct
import zlib
from collections.abc import Iterable

import msgspec
from result import Err, Ok, Result

from mallowvalve.types import Address

PROTOCOL_VERSION = 5
BODY_BYTES_MAX = 64 << 20
"""The largest body of a frame, in bytes, before it is compressed."""
LEVEL, WINDOW_BITS, MEMORY_LEVEL = 1, 11, 3
"""The stream's settings: a window of 2 KB spans several frames; both directions take some 20 KB a connection."""
UNFOLD_MOST = 1 << 20
"""How much is decompressed at once (bytes), before it is cut into frames and their lengths are judged."""
_LENGTH = struct.Struct("!I")


class StreamError(enum.StrEnum):
    """Why a connection's bytes are read no further."""

    OVERSIZE = "oversize"
    GARBAGE = "garbage"
    FOREIGN = "foreign"


class Hello(msgspec.Struct, array_like=True, frozen=True):
    """The first message of a connection, from the side that made it."""

    version: int
    fleet: str
    sender: Address


class TransportFrame(msgspec.Struct, array_like=True, frozen=True):
    """A call, a cast, or (`answer`) what a call of this id is answered."""

    kind: str
    id: int
    answer: bool
    body: bytes


pack = msgspec.msgpack.Encoder().encode
_frame = msgspec.msgpack.Decoder(TransportFrame).decode
_hello = msgspec.msgpack.Decoder(Hello).decode


def length_prefixed(message: TransportFrame | Hello) -> bytes:
    """A message behind its length, not compressed."""
    body = pack(message)
    return _LENGTH.pack(len(body)) + body


def encode_hello(hello: Hello) -> bytes:
    """The bytes that open a connection."""
    return length_prefixed(hello)


class FrameEncoder:
    """The sender's side of one direction of one connection."""

    __slots__ = ("_stream",)

    def __init__(self) -> None:
        """A stream of its own: what it makes can be read only from its beginning, and in its order."""
        self._stream = zlib.compressobj(LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL)

    def seal(self, frames: Iterable[TransportFrame]) -> bytes:
        """The bytes of these frames, which the other side can read whole once it has them all."""
        parts = [self._stream.compress(length_prefixed(frame)) for frame in frames]
        return b"".join(parts) + self._stream.flush(zlib.Z_SYNC_FLUSH)


class FrameDecoder:
    """Cuts the bytes of one connection into messages. The first is a `Hello`, unless it is `greeted` already."""

    __slots__ = ("_buffer", "_greeted", "_stream", "fleet")

    def __init__(self, fleet: str, greeted: bool = False):
        """Only a `Hello` of this fleet and version is taken."""
        self._buffer = bytearray()
        self._greeted = greeted
        self._stream = zlib.decompressobj(-WINDOW_BITS)
        self.fleet = fleet

    def feed(self, data: bytes) -> Result[list[TransportFrame | Hello], StreamError]:
        """The messages that are whole with these bytes; after an error the connection is of no more use."""
        out: list[TransportFrame | Hello] = []
        if not self._greeted:
            self._buffer += data
            opened = self._open()
            if isinstance(opened, Err):
                return opened
            if opened.ok_value is None:
                return Ok(out)
            out.append(opened.ok_value)
            data = bytes(self._buffer)
            self._buffer.clear()
        return self._unfold(data, out)

    def _open(self) -> Result[Hello | None, StreamError]:
        """Takes the greeting; None while it is not whole."""
        body = self._next_body()
        if isinstance(body, Err):
            return body
        if body.ok_value is None:
            return Ok(None)
        try:
            hello = _hello(body.ok_value)
        except msgspec.DecodeError:
            return Err(StreamError.GARBAGE)
        if hello.version != PROTOCOL_VERSION or hello.fleet != self.fleet:
            return Err(StreamError.FOREIGN)
        self._greeted = True
        return Ok(hello)

    def _unfold(
        self, data: bytes, out: list[TransportFrame | Hello]
    ) -> Result[list[TransportFrame | Hello], StreamError]:
        while data:
            try:
                self._buffer += self._stream.decompress(data, UNFOLD_MOST)
            except zlib.error:
                return Err(StreamError.GARBAGE)
            if self._stream.eof:
                return Err(StreamError.GARBAGE)
            data = self._stream.unconsumed_tail
            refused = self._cut(out)
            if refused is not None:
                return Err(refused)
        return Ok(out)

    def _cut(self, out: list[TransportFrame | Hello]) -> StreamError | None:
        """Moves the whole frames of the buffer to `out`."""
        while True:
            body = self._next_body()
            if isinstance(body, Err):
                return body.err_value
            if body.ok_value is None:
                return None
            try:
                out.append(_frame(body.ok_value))
            except msgspec.DecodeError:
                return StreamError.GARBAGE

    def _next_body(self) -> Result[bytes | None, StreamError]:
        """Takes the next body out of the buffer; None while it is not whole."""
        if len(self._buffer) < _LENGTH.size:
            return Ok(None)
        (length,) = _LENGTH.unpack_from(self._buffer)
        if length > BODY_BYTES_MAX:
            return Err(StreamError.OVERSIZE)
        end = _LENGTH.size + length
        if len(self._buffer) < end:
            return Ok(None)
        body = bytes(self._buffer[_LENGTH.size : end])
        del self._buffer[:end]
        return Ok(body)
