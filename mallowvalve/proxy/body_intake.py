"""Takes in the bodies of requests on host routes: whole if they are small, else only their beginning."""

from __future__ import annotations

import gevent
from result import Err, Ok, Result

from mallowvalve import clock
from mallowvalve.body_budget import (
    SMALL_BODY_BYTES,
    BodyRefusedError,
    BodyReservation,
    BodyTooLargeError,
    read_body,
)
from mallowvalve.http_connection import ConnectionHandler
from mallowvalve.proxy.request_body_stream import RequestBodyStream
from mallowvalve.proxy.steps import BAD_REQUEST, TOO_LARGE, TOO_SLOW, UNAVAILABLE, ReadBody, StreamedRequestBody
from mallowvalve.request_body import BodyReader

MAX_HELD_BODY_BYTES = 1 << 20
"""A larger body is streamed: a slow client of a smaller one does not occupy an upstream, and it can be sent again."""

STREAM_BYTES = 256 << 10
"""The room that a streamed body takes: its held beginning, and what is on its way from the client to the upstream."""

BodyError = tuple[int, str, str]
"""Status, place and text of the response to a request whose body cannot be taken in."""


def take_in_body(handler: ConnectionHandler, step: ReadBody) -> Result[memoryview | StreamedRequestBody, BodyError]:
    """Returns the body of the handler's request, or the error for its client."""
    handler.discard_end = step.end
    length = handler.request.length
    too_large = Err((TOO_LARGE, "body", f"larger than {step.max_bytes} bytes"))
    if length is not None and length > step.max_bytes:
        return too_large
    reservation = _reserve(handler, length, step.room_end - clock.now())
    if reservation is None:
        handler.record_refused_body()
        return Err((UNAVAILABLE, "body", "no room for it just now"))
    try:
        with gevent.Timeout(max(0.001, step.end - clock.now())):
            if length is None:
                return Ok(_take_in_chunks(handler, step, reservation))
            if length <= reservation.size:
                return Ok(read_body(handler.body_reader, length, step.max_bytes, reservation))
            held = memoryview(handler.body_reader.read(SMALL_BODY_BYTES))
            return Ok(_stream(handler.body_reader, held, step, chunked=False))
    except BodyTooLargeError:
        return too_large
    except BodyRefusedError:
        handler.record_refused_body()
        return Err((UNAVAILABLE, "body", "no room for all of it just now"))
    except gevent.Timeout:
        return Err((TOO_SLOW, "body", "did not arrive within the limit"))
    except OSError:
        return Err((BAD_REQUEST, "body", "broken off or badly chunked"))


def _reserve(handler: ConnectionHandler, length: int | None, wait_s: float) -> BodyReservation | None:
    """Reserves room for a whole body if it may be held and there is room at once, else for a stream."""
    if length is None or length <= SMALL_BODY_BYTES:
        return handler.reserve_body(SMALL_BODY_BYTES if length is None else length, wait_s)
    if length <= MAX_HELD_BODY_BYTES and handler.reserve_body(length) is not None:
        return handler.body
    return handler.reserve_body(STREAM_BYTES, wait_s)


def _take_in_chunks(
    handler: ConnectionHandler, step: ReadBody, reservation: BodyReservation
) -> memoryview | StreamedRequestBody:
    """Returns a body of unknown length, held whole if it is small and there is room at once.

    Raises BodyRefusedError if there is no room for a stream, BodyTooLargeError if the body is larger than its limit.
    """
    reader = handler.body_reader
    prefix = reader.read(SMALL_BODY_BYTES)
    held = memoryview(prefix)
    if not reader.complete and reservation.grow(MAX_HELD_BODY_BYTES):
        held = read_body(PrefixedStream(prefix, reader), MAX_HELD_BODY_BYTES, MAX_HELD_BODY_BYTES, reservation)
    elif not reader.complete:
        handler.release_body()
        if handler.reserve_body(STREAM_BYTES, step.room_end - clock.now()) is None:
            raise BodyRefusedError
    if len(held) > step.max_bytes:
        raise BodyTooLargeError
    return held if reader.complete else _stream(reader, held, step, chunked=True)


def _stream(reader: BodyReader, held: memoryview, step: ReadBody, chunked: bool) -> StreamedRequestBody:
    return StreamedRequestBody(held, RequestBodyStream(reader, step.max_bytes - len(held), chunked))


class PrefixedStream:
    """A body of which a first part was read already."""

    __slots__ = ("_prefix", "_reader")

    def __init__(self, prefix: bytes, reader: BodyReader):
        """`prefix` comes before what `reader` brings."""
        self._prefix = prefix
        self._reader = reader

    def read(self, size: int) -> bytes:
        """Returns `size` bytes, fewer only at the end of the body."""
        prefix, self._prefix = self._prefix[:size], self._prefix[size:]
        return prefix + self._reader.read(size - len(prefix))
