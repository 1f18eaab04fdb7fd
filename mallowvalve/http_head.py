"""The head of a request, read off a client's connection within bounds, and strictly."""

from __future__ import annotations

import re

import gevent
from gevent import socket

_TOKEN = r"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_FIRST = re.compile(rf"({_TOKEN}) ([\x21-\x7e\x80-\xff]+) (HTTP/1\.[01])\r\n")
_LINE = re.compile(rf"({_TOKEN}):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*?)[ \t]*\r\n")
_LINES = re.compile(rf"(?:{_TOKEN}:[^\x00-\x08\x0a-\x1f\x7f]*\r\n)*")
MOST_LINES = 200


class RequestHead:
    """`pairs` as they came, `said` by lower-case name; what pywsgi asks of its headers is answered from these."""

    __slots__ = ("method", "target", "version", "header_pairs", "header_map", "length", "chunked", "close")

    status = ""

    def get(self, name: str, default=None):
        """A header by its name in any case."""
        return self.header_map.get(name.lower(), default)

    getheader = get

    @property
    def typeheader(self) -> str | None:
        """The content type, as pywsgi asks for it."""
        return self.header_map.get("content-type")


def read_head(data: bytes) -> RequestHead:
    """A whole head, its empty line left out; ValueError for what is no request or could be taken for two."""
    text = data.decode("latin-1")
    m = _FIRST.match(text)
    if m is None or not _LINES.fullmatch(text, m.end()):
        raise ValueError("malformed head")
    h = RequestHead()
    h.method, h.target, h.version = m.groups()
    h.header_pairs = _LINE.findall(text, m.end())
    if len(h.header_pairs) > MOST_LINES:
        raise ValueError("too many headers")
    h.header_map = header_map = {}
    for field, value in h.header_pairs:
        name = field.lower()
        if name not in header_map:
            header_map[name] = value
        elif name in ("content-length", "transfer-encoding", "host"):
            raise ValueError(f"two headers {name}")
        else:
            header_map[name] = f"{header_map[name]}{'; ' if name == 'cookie' else ', '}{value}"
    length, coding = header_map.get("content-length"), header_map.get("transfer-encoding")
    if length is not None and (coding is not None or not length.isascii() or not length.isdigit()):
        raise ValueError("ambiguous length")
    if coding is not None and (coding.lower() != "chunked" or h.version == "HTTP/1.0"):
        raise ValueError("unknown coding")
    h.length, h.chunked = int(length) if length is not None else None, coding is not None
    said_of = header_map.get("connection", "").lower()
    words = {w.strip() for w in said_of.split(",")} if said_of else ()
    h.close = "close" in words or h.version == "HTTP/1.0" and "keep-alive" not in words
    return h


def wait_until_readable(sock) -> None:
    """Waits for something to read; a read that must wait first would be a call for nothing."""
    sock._wait(sock._read_event)


def peek(sock: socket.socket) -> bytes | None:
    """The next byte, read without taking it: b"" when the peer has ended the connection, None for none yet.

    Asked of the system's socket, which never blocks, since this is done once a request.
    """
    try:
        return sock._sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def peer_has_closed(sock: socket.socket) -> bool:
    """Whether the peer has closed or reset the connection, as far as this machine knows; reads nothing off it."""
    return peek(sock) == b""


class RequestReader:
    """What a client sends, with a buffer; stands where pywsgi has a file."""

    __slots__ = ("sock", "buf", "closed", "has_received")

    def __init__(self, sock):
        """Nothing is read yet."""
        self.sock, self.buf, self.closed, self.has_received = sock, bytearray(), False, False

    def wait_for_request(self, idle: float | None) -> bool:
        """Whether a request begins within so many seconds; line ends before it are passed over."""
        while True:
            while self.buf[:2] == b"\r\n":
                del self.buf[:2]
            if self.buf:
                return True
            self.sock.settimeout(idle)
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
            self.buf += data

    def head(self, most: int, seconds: float) -> bytes | None:
        """The head without its last empty line, b"" when the connection ended in it, None when it is too long.

        Raises TimeoutError when it takes longer than `seconds`.
        """
        n = self.buf.find(b"\r\n\r\n")
        if n < 0:
            with gevent.Timeout(seconds, TimeoutError()):
                while n < 0:
                    if len(self.buf) > most:
                        return None
                    data = self.sock.recv(16384)
                    if not data:
                        return b""
                    at = max(0, len(self.buf) - 3)
                    self.buf += data
                    n = self.buf.find(b"\r\n\r\n", at)
        if n + 4 > most:
            return None
        head = bytes(self.buf[: n + 2])
        del self.buf[: n + 4]
        return head

    def read(self, n: int = -1) -> bytes:
        """So many bytes, fewer only when the connection ended; with no number what is left."""
        while n < 0 or len(self.buf) < n:
            data = self.sock.recv(65536)
            if not data:
                break
            self.buf += data
        if n < 0 or n >= len(self.buf):
            got, self.buf = bytes(self.buf), bytearray()
            return got
        got = bytes(self.buf[:n])
        del self.buf[:n]
        return got

    def readline(self, most: int = -1) -> bytes:
        """Up to and with the next line end, at most `most` bytes."""
        while (i := self.buf.find(b"\n")) < 0 and (most < 0 or len(self.buf) < most):
            data = self.sock.recv(65536)
            if not data:
                break
            self.buf += data
        n = i + 1 if i >= 0 else len(self.buf)
        n = n if most < 0 else min(n, most)
        return self.read(n)

    def close(self) -> None:
        """Nothing more will be read; the socket is the server's to close."""
        self.closed = True
