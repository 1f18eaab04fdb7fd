"""Reads the body of a client's request as its bytes arrive, with a known length or in chunks."""

from __future__ import annotations

import re
import sys
from abc import ABC, abstractmethod

from gevent import socket

from mallowvalve.http_head import RequestHead, RequestReader

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_CHUNK_LINE_BYTES = 1024
"""The longest line of a chunk's size with its extensions, or of a trailer."""

MAX_TRAILERS = 64
RECEIVED_PART_BYTES = 64 << 10
MAX_SKIPPED_BYTES = 64 << 10
"""The longest rest of a body that is read after its response to keep the connection."""

_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?")


class BrokenBodyError(OSError):
    """A body ended before its end, or its chunks are malformed."""


class BodyReader(ABC):
    """The body of the current request of a connection; pywsgi uses it as its input.

    `complete`: the whole body was taken. `left_bytes` of it were not taken yet (None: their number is unknown). A
    `100 Continue` is sent before the first read if the client expects one.
    """

    __slots__ = ("_connection", "_expects_continue", "complete", "left_bytes")

    def __init__(self, connection: RequestReader, expects_continue: bool):
        """Reads from a connection whose request head was read."""
        self._connection = connection
        self._expects_continue = expects_continue
        self.complete = False
        self.left_bytes: int | None = None

    @property
    def sock(self) -> socket.socket:
        """The client's socket, to wait on."""
        return self._connection.sock

    @abstractmethod
    def _take(self, max_bytes: int) -> bytes:
        """Removes and returns bytes of the body from the connection's buffer; sets `complete` at its end."""

    def take(self, max_bytes: int) -> bytes:
        """Returns bytes of the body that have arrived, at most `max_bytes`; none if there are none yet or any more.

        Raises BrokenBodyError if the chunks are malformed.
        """
        if self.complete:
            return b""
        return self._take(max_bytes)

    def may_skip(self) -> bool:
        """Returns whether what is left of the body is to be skipped after the response, which keeps the connection."""
        if self.complete:
            return True
        return self.left_bytes is not None and self.left_bytes <= MAX_SKIPPED_BYTES and not self._expects_continue

    def receive(self, max_bytes: int) -> None:
        """Receives bytes from the client, at most `max_bytes`; waits for them.

        Raises BrokenBodyError if the client closes the connection.
        """
        if self._expects_continue:
            self._expects_continue = False
            self.sock.sendall(CONTINUE_RESPONSE)
        data = self.sock.recv(max_bytes)
        if not data:
            raise BrokenBodyError("the client closed the connection before the end of the body")
        self._connection.buffer += data

    def read(self, size: int = -1) -> bytes:
        """Returns `size` bytes, fewer only at the end of the body, or all if it is negative; waits for them.

        Raises BrokenBodyError if the body is malformed or ends early.
        """
        parts: list[bytes] = []
        missing_bytes = sys.maxsize if size < 0 else size
        while missing_bytes > 0:
            part = self.take(missing_bytes)
            parts.append(part)
            missing_bytes -= len(part)
            if self.complete:
                break
            if not part:
                self.receive(RECEIVED_PART_BYTES)
        return b"".join(parts) if len(parts) != 1 else parts[0]

    def _discard(self) -> None:
        """Reads a short rest of the body; pywsgi calls this after a response."""
        if self.may_skip():
            self.read()


class SizedBodyReader(BodyReader):
    """A body of a known length."""

    __slots__ = ()

    def __init__(self, connection: RequestReader, expects_continue: bool, length: int):
        """`length` is the Content-Length (bytes)."""
        super().__init__(connection, expects_continue)
        self.left_bytes: int = length
        self.complete = length == 0

    def _take(self, max_bytes: int) -> bytes:
        data = self._connection.take(min(max_bytes, self.left_bytes))
        self.left_bytes -= len(data)
        self.complete = self.left_bytes == 0
        return data


class ChunkedBodyReader(BodyReader):
    """A body in chunks; its trailers are dropped."""

    __slots__ = ("_chunk_left_bytes", "_chunk_ended", "_trailers")

    def __init__(self, connection: RequestReader, expects_continue: bool):
        """Begins before the first chunk."""
        super().__init__(connection, expects_continue)
        self._chunk_left_bytes = 0
        self._chunk_ended = False
        self._trailers: int | None = None

    def _take(self, max_bytes: int) -> bytes:
        data = bytearray()
        while not self.complete:
            if self._chunk_left_bytes:
                part = self._connection.take(min(max_bytes - len(data), self._chunk_left_bytes))
                if not part:
                    break
                data += part
                self._chunk_left_bytes -= len(part)
                self._chunk_ended = not self._chunk_left_bytes
            elif not self._read_line():
                break
        return bytes(data)

    def _read_line(self) -> bool:
        """Handles the line after a chunk, of a chunk's size or of a trailer; returns whether it has arrived."""
        line = self._connection.take_line(MAX_CHUNK_LINE_BYTES)
        if line is None:
            if len(self._connection.buffer) > MAX_CHUNK_LINE_BYTES:
                raise BrokenBodyError("a chunk's line is too long")
            return False
        if self._chunk_ended:
            self._end_chunk(line)
        elif self._trailers is not None:
            self._read_trailer(line)
        else:
            self._begin_chunk(line)
        return True

    def _end_chunk(self, line: bytes) -> None:
        if line:
            raise BrokenBodyError("a chunk is longer than its size")
        self._chunk_ended = False

    def _begin_chunk(self, line: bytes) -> None:
        size = _CHUNK_SIZE.fullmatch(line)
        if size is None:
            raise BrokenBodyError("a chunk has no size")
        self._chunk_left_bytes = int(size[1], 16)
        if not self._chunk_left_bytes:
            self._trailers = 0

    def _read_trailer(self, line: bytes) -> None:
        if not line:
            self.complete = True
            return
        self._trailers = (self._trailers or 0) + 1
        if b":" not in line or self._trailers > MAX_TRAILERS:
            raise BrokenBodyError("a trailer is malformed, or there are too many")


def make_body_reader(connection: RequestReader, head: RequestHead) -> BodyReader:
    """Returns the reader of the body of the request with this head; a request without a body has an empty one."""
    expects_continue = head.header_map.get("expect", "").lower() == "100-continue"
    if head.chunked:
        return ChunkedBodyReader(connection, expects_continue)
    return SizedBodyReader(connection, expects_continue, head.length or 0)
