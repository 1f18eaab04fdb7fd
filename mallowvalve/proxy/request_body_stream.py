"""The rest of a request's body, passed on to an upstream while the client sends it."""

from __future__ import annotations

from mallowvalve import clock
from mallowvalve.body_budget import BodyTooLargeError
from mallowvalve.request_body import BodyReader

LAST_CHUNK = b"0\r\n\r\n"


class RequestBodyStream:
    """The rest of a request's body behind its held part, read from the client while it is sent to an upstream.

    `started`: bytes of the rest were taken, so that the request cannot be sent a second time. `ended_at` is when the
    last of them was taken (s, this process's clock). With `chunked` the parts are framed as chunks.
    """

    __slots__ = ("reader", "chunked", "started", "complete", "ended_at", "_left_bytes")

    def __init__(self, reader: BodyReader, left_bytes: int, chunked: bool):
        """At most `left_bytes` may follow."""
        self.reader = reader
        self.chunked = chunked
        self.started = self.complete = False
        self.ended_at: float | None = None
        self._left_bytes = left_bytes

    def next_part(self, max_bytes: int) -> bytes:
        """Returns the bytes to send next; none if none have arrived, or after the last part.

        Raises BrokenBodyError, or BodyTooLargeError if the body is larger than its limit.
        """
        if self.complete:
            return b""
        data = self.reader.take(max_bytes)
        self._left_bytes -= len(data)
        if self._left_bytes < 0:
            raise BodyTooLargeError
        if self.reader.complete:
            self.complete, self.ended_at = True, clock.now()
        self.started = self.started or bool(data) or self.complete
        return self.frame(data)

    def frame(self, data: bytes) -> bytes:
        """Returns bytes of the body as they are sent: a chunk if the body's length is unknown, with the last one."""
        if not self.chunked:
            return data
        chunk = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
        return chunk + LAST_CHUNK if self.complete else chunk
