"""A client's HTTP connection that records how each of its requests ended."""

from __future__ import annotations

import http.client
from collections.abc import Iterator, Mapping
from contextlib import suppress

import gevent
import msgspec
from gevent import socket

from mallowvalve import clock
from mallowvalve.localfleet.deployed.records import RequestEnd, RequestRecord

CONNECT_TIMEOUT_S = 1.0
PART_BYTES = 64 << 10


class Outgoing(msgspec.Struct, frozen=True):
    """A request to be sent. `part_pause_s` is the pause between two parts of its body, or of its answer.

    Without `reads_after_failure` the client gives up if it cannot send the request whole, as many clients do.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b""
    timeout_s: float = 5.0
    part_pause_s: float = 0.0
    read_pause_s: float = 0.0
    chunked: bool = False
    reads_after_failure: bool = True


class Answer(msgspec.Struct, frozen=True):
    """A complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class ClientConnection:
    """A connection to one address; it is opened by the first request and closed by the first failure."""

    def __init__(self, address: tuple[str, int], machine: str):
        """Does not connect yet; `machine` names the peer in the records."""
        self.address = address
        self.machine = machine
        self.sock: socket.socket | None = None
        self.used = False
        self.announced_close = False

    def exchange(self, record: RequestRecord, outgoing: Outgoing) -> Answer | None:
        """Sends a request and returns its answer, None without one; the record tells how it ended."""
        record.first = not self.used
        record.after_close = self.announced_close
        answer = None
        try:
            with gevent.Timeout(outgoing.timeout_s, TimeoutError("no answer in time")):
                answer = self._exchange(record, outgoing)
        except (OSError, http.client.HTTPException) as error:
            record.detail = repr(error)
            if isinstance(error, TimeoutError) and record.sent_at:
                record.end = RequestEnd.TIMED_OUT
        record.ended_at = clock.now()
        if answer is None:
            self.close()
        else:
            record.end, record.status = RequestEnd.ANSWERED, answer.status
            self.announced_close = answer.headers.get("connection", "").lower() == "close"
        return answer

    def _exchange(self, record: RequestRecord, outgoing: Outgoing) -> Answer:
        if self.sock is None:
            self.sock = socket.create_connection(self.address, timeout=CONNECT_TIMEOUT_S)
            self.sock.settimeout(None)
        self.used = True
        record.end = RequestEnd.NOT_SENT
        try:
            self._send(outgoing)
        except OSError as error:
            record.detail = repr(error)
            if not outgoing.reads_after_failure:
                raise
        else:
            record.sent_at = clock.now()
            record.end = RequestEnd.NO_ANSWER
        return self._read_answer(outgoing)

    def _send(self, outgoing: Outgoing) -> None:
        assert self.sock is not None
        framing = {"Transfer-Encoding": "chunked"} if outgoing.chunked else {"Content-Length": str(len(outgoing.body))}
        headers = {**outgoing.headers, **(framing if outgoing.body else {})}
        lines = [f"{outgoing.method} {outgoing.path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items()), "", ""]
        head = "\r\n".join(lines).encode("latin-1")
        parts = _parts(outgoing)
        self.sock.sendall(head + next(parts, b""))
        for part in parts:
            gevent.sleep(outgoing.part_pause_s)
            self.sock.sendall(part)

    def _read_answer(self, outgoing: Outgoing) -> Answer:
        assert self.sock is not None
        response = http.client.HTTPResponse(self.sock, method=outgoing.method)
        response.begin()
        parts = []
        while part := response.read(PART_BYTES):
            parts.append(part)
            if outgoing.read_pause_s:
                gevent.sleep(outgoing.read_pause_s)
        if response.length:
            raise http.client.IncompleteRead(b"".join(parts), response.length)
        headers = {name.lower(): value for name, value in response.getheaders()}
        response.close()
        return Answer(response.status, headers, b"".join(parts))

    def close(self) -> None:
        """Closes the connection; the next request opens a new one."""
        if self.sock is not None:
            with suppress(OSError):
                self.sock.close()
        self.sock, self.used, self.announced_close = None, False, False


def _parts(outgoing: Outgoing) -> Iterator[bytes]:
    """Yields the body as it is sent, in parts or in chunks."""
    for begin in range(0, len(outgoing.body), PART_BYTES):
        part = outgoing.body[begin : begin + PART_BYTES]
        yield b"%x\r\n%s\r\n" % (len(part), part) if outgoing.chunked else part
    if outgoing.chunked:
        yield b"0\r\n\r\n"
