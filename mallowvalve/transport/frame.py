"""The wire format of frames: a length of four bytes and a MessagePack array each, in one compressed stream.

The `Hello` that opens a connection is not compressed. The rest of each direction is one raw deflate stream (RFC 1951),
flushed after each write, so that a frame is compressed with the preceding frames as context: all of them repeat the
group, the members and the addresses.
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
"""The maximum size of a frame's body before compression."""
COMPRESSION_LEVEL = 1
WINDOW_BITS = 11
"""A window of 2 KB spans several frames."""
MEMORY_LEVEL = 3
"""With this level and window, both directions take about 20 KB a connection."""
DECOMPRESS_BYTES_MAX = 1 << 20
"""The maximum output of one decompression step; frame lengths are checked before the next step."""
_LENGTH_PREFIX = struct.Struct("!I")


class StreamError(enum.StrEnum):
    """Why the stream of a connection is rejected."""

    OVERSIZE = "oversize"
    GARBAGE = "garbage"
    FOREIGN = "foreign"


class Hello(msgspec.Struct, array_like=True, frozen=True):
    """The first message of a connection, sent by the side that opened it."""

    version: int
    fleet: str
    sender: Address


class TransportFrame(msgspec.Struct, array_like=True, frozen=True):
    """A call or a cast, or, if `is_response`, the response to the call with this id."""

    kind: str
    id: int
    is_response: bool
    body: bytes


_pack = msgspec.msgpack.Encoder().encode
_decode_frame = msgspec.msgpack.Decoder(TransportFrame).decode
_decode_hello_body = msgspec.msgpack.Decoder(Hello).decode


def length_prefixed(message: TransportFrame | Hello) -> bytes:
    """Returns a message with its length prefix, not compressed."""
    body = _pack(message)
    return _LENGTH_PREFIX.pack(len(body)) + body


def encode_hello(hello: Hello) -> bytes:
    """Returns the bytes that open a connection."""
    return length_prefixed(hello)


class FrameEncoder:
    """Encodes the frames of one direction of one connection."""

    __slots__ = ("_stream",)

    def __init__(self) -> None:
        """Begins a compressed stream, which can be decoded only from its beginning and in order."""
        self._stream = zlib.compressobj(COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL)

    def encode(self, frames: Iterable[TransportFrame]) -> bytes:
        """Returns the bytes of these frames; the peer can decode all of the frames once it has all of the bytes."""
        parts = [self._stream.compress(length_prefixed(frame)) for frame in frames]
        return b"".join(parts) + self._stream.flush(zlib.Z_SYNC_FLUSH)


class FrameDecoder:
    """Decodes the messages of one connection; the first is a `Hello`, unless `hello_received`."""

    __slots__ = ("_buffer", "_hello_received", "_stream", "fleet")

    def __init__(self, fleet: str, hello_received: bool = False):
        """Accepts only a `Hello` of this fleet and protocol version."""
        self._buffer = bytearray()
        self._hello_received = hello_received
        self._stream = zlib.decompressobj(-WINDOW_BITS)
        self.fleet = fleet

    def feed(self, data: bytes) -> Result[list[TransportFrame | Hello], StreamError]:
        """Returns the messages that these bytes complete; after an error the connection cannot be used any more."""
        messages: list[TransportFrame | Hello] = []
        if not self._hello_received:
            self._buffer += data
            hello = self._decode_hello()
            if isinstance(hello, Err):
                return hello
            if hello.ok_value is None:
                return Ok(messages)
            messages.append(hello.ok_value)
            data = bytes(self._buffer)
            self._buffer.clear()
        return self._decompress(data, messages)

    def _decode_hello(self) -> Result[Hello | None, StreamError]:
        """Decodes the `Hello`; returns None while it is incomplete."""
        body = self._next_body()
        if isinstance(body, Err):
            return body
        if body.ok_value is None:
            return Ok(None)
        try:
            hello = _decode_hello_body(body.ok_value)
        except msgspec.DecodeError:
            return Err(StreamError.GARBAGE)
        if hello.version != PROTOCOL_VERSION or hello.fleet != self.fleet:
            return Err(StreamError.FOREIGN)
        if not hello.sender.is_valid:
            return Err(StreamError.GARBAGE)
        self._hello_received = True
        return Ok(hello)

    def _decompress(
        self, data: bytes, messages: list[TransportFrame | Hello]
    ) -> Result[list[TransportFrame | Hello], StreamError]:
        while data:
            try:
                self._buffer += self._stream.decompress(data, DECOMPRESS_BYTES_MAX)
            except zlib.error:
                return Err(StreamError.GARBAGE)
            if self._stream.eof:
                return Err(StreamError.GARBAGE)
            data = self._stream.unconsumed_tail
            error = self._decode_frames(messages)
            if error is not None:
                return Err(error)
        return Ok(messages)

    def _decode_frames(self, messages: list[TransportFrame | Hello]) -> StreamError | None:
        """Moves the complete frames of the buffer to `messages`."""
        while True:
            body = self._next_body()
            if isinstance(body, Err):
                return body.err_value
            if body.ok_value is None:
                return None
            try:
                messages.append(_decode_frame(body.ok_value))
            except msgspec.DecodeError:
                return StreamError.GARBAGE

    def _next_body(self) -> Result[bytes | None, StreamError]:
        """Removes the next body from the buffer; returns None while it is incomplete."""
        if len(self._buffer) < _LENGTH_PREFIX.size:
            return Ok(None)
        (length,) = _LENGTH_PREFIX.unpack_from(self._buffer)
        if length > BODY_BYTES_MAX:
            return Err(StreamError.OVERSIZE)
        end = _LENGTH_PREFIX.size + length
        if len(self._buffer) < end:
            return Ok(None)
        body = bytes(self._buffer[_LENGTH_PREFIX.size : end])
        del self._buffer[:end]
        return Ok(body)
