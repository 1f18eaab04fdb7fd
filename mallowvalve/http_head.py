"""Reads request heads from clients' connections within limits, and parses them strictly."""

from __future__ import annotations

import re

import gevent
from gevent import socket

_TOKEN = r"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_REQUEST_LINE = re.compile(rf"({_TOKEN}) ([\x21-\x7e\x80-\xff]+) (HTTP/1\.[01])\r\n")
_HEADER_LINE = re.compile(rf"({_TOKEN}):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*?)[ \t]*\r\n")
_HEADER_LINES = re.compile(rf"(?:{_TOKEN}:[^\x00-\x08\x0a-\x1f\x7f]*\r\n)*")
MAX_HEADERS = 200


class RequestHead:
    """A request's head: `header_pairs` as received, `header_map` by lower-case name.

    `length` is the Content-Length, `close` whether the connection ends with the response. Pywsgi uses this as its
    headers object, hence `get`, `getheader`, `status` and `typeheader`.
    """

    __slots__ = ("method", "target", "version", "header_pairs", "header_map", "length", "chunked", "close")

    method: str
    target: str
    version: str
    header_pairs: list[tuple[str, str]]
    header_map: dict[str, str]
    length: int | None
    chunked: bool
    close: bool
    status = ""

    def get(self, name: str, default: str | None = None) -> str | None:
        """Returns a header by its name, in any case."""
        return self.header_map.get(name.lower(), default)

    getheader = get

    @property
    def typeheader(self) -> str | None:
        """The content type."""
        return self.header_map.get("content-type")


def read_head(data: bytes) -> RequestHead:
    """Parses a complete head without its final empty line.

    Raises ValueError if it is malformed or its framing is ambiguous, so that it could be read as two requests.
    """
    text = data.decode("latin-1")
    request_line = _REQUEST_LINE.match(text)
    if request_line is None or not _HEADER_LINES.fullmatch(text, request_line.end()):
        raise ValueError("malformed head")
    head = RequestHead()
    head.method, head.target, head.version = request_line.groups()
    head.header_pairs = _HEADER_LINE.findall(text, request_line.end())
    if len(head.header_pairs) > MAX_HEADERS:
        raise ValueError("too many headers")
    head.header_map = header_map = {}
    for field, value in head.header_pairs:
        name = field.lower()
        if name not in header_map:
            header_map[name] = value
        elif name in ("content-length", "transfer-encoding", "host"):
            raise ValueError(f"duplicate header {name}")
        else:
            header_map[name] = f"{header_map[name]}{'; ' if name == 'cookie' else ', '}{value}"
    length, coding = header_map.get("content-length"), header_map.get("transfer-encoding")
    if length is not None and (coding is not None or not length.isascii() or not length.isdigit()):
        raise ValueError("ambiguous length")
    if coding is not None and (coding.lower() != "chunked" or head.version == "HTTP/1.0"):
        raise ValueError("unsupported transfer coding")
    head.length, head.chunked = int(length) if length is not None else None, coding is not None
    connection = header_map.get("connection", "").lower()
    options = {option.strip() for option in connection.split(",")} if connection else ()
    head.close = "close" in options or head.version == "HTTP/1.0" and "keep-alive" not in options
    return head


def wait_until_readable(sock: socket.socket) -> None:
    """Waits until the socket is readable; saves the system call of a read that would block first."""
    sock._wait(sock._read_event)


def peek(sock: socket.socket) -> bytes | None:
    """Returns the next byte without consuming it: b"" if the peer has closed the connection, None if none has arrived.

    This reads the operating system's socket, which never blocks, because it is called for every request.
    """
    try:
        data: bytes = sock._sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""
    return data


def peer_has_closed(sock: socket.socket) -> bool:
    """Returns whether the peer is known to have closed or reset the connection; consumes no bytes."""
    return peek(sock) == b""


class RequestReader:
    """A buffered reader of what a client sends; pywsgi holds it as its input file.

    `has_received`: the connection has brought any bytes yet.
    """

    __slots__ = ("sock", "buffer", "closed", "has_received")

    def __init__(self, sock: socket.socket):
        """Starts with an empty buffer."""
        self.sock, self.buffer, self.closed, self.has_received = sock, bytearray(), False, False

    def wait_for_request(self, idle_s: float | None) -> bool:
        """Returns whether a request begins within `idle_s` seconds; skips line ends before it."""
        while True:
            while self.buffer[:2] == b"\r\n":
                del self.buffer[:2]
            if self.buffer:
                return True
            self.sock.settimeout(idle_s)
            try:
                if self.has_received:
                    wait_until_readable(self.sock)
                data = self.sock.recv(16384)
            except TimeoutError:
                return False
            finally:
                self.sock.settimeout(None)
            if not data:
                return False
            self.has_received = True
            self.buffer += data

    def read_head(self, max_bytes: int, timeout_s: float) -> bytes | None:
        """Reads a request head without its final empty line.

        Returns b"" if the connection ends first, None if the head is longer than `max_bytes`. Raises TimeoutError after
        `timeout_s` seconds.
        """
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            with gevent.Timeout(timeout_s, TimeoutError()):
                while end < 0:
                    if len(self.buffer) > max_bytes:
                        return None
                    data = self.sock.recv(16384)
                    if not data:
                        return b""
                    search_from = max(0, len(self.buffer) - 3)
                    self.buffer += data
                    end = self.buffer.find(b"\r\n\r\n", search_from)
        if end + 4 > max_bytes:
            return None
        head = bytes(self.buffer[: end + 2])
        del self.buffer[: end + 4]
        return head

    def take(self, max_bytes: int) -> bytes:
        """Removes and returns bytes that have been received, at most `max_bytes`; does not wait."""
        if max_bytes >= len(self.buffer):
            data, self.buffer = bytes(self.buffer), bytearray()
            return data
        data = bytes(self.buffer[:max_bytes])
        del self.buffer[:max_bytes]
        return data

    def take_line(self, max_bytes: int) -> bytes | None:
        """Removes a line and returns it without its line end; None if none of at most `max_bytes` was received."""
        end = self.buffer.find(b"\r\n", 0, max_bytes)
        if end < 0:
            return None
        line = bytes(self.buffer[:end])
        del self.buffer[: end + 2]
        return line

    def close(self) -> None:
        """Marks the reader as closed; the server closes the socket."""
        self.closed = True
