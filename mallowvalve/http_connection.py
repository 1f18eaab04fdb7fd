"""A client's HTTP connection to one of this project's servers, bounded in what it may send and how long it may take."""

from __future__ import annotations

import sys
from http import HTTPStatus

import gevent
import msgspec
from gevent import GreenletExit, socket
from gevent.pywsgi import Input, WSGIHandler

from mallowvalve.finding import Finding
from mallowvalve.http_head import RequestReader, peer_has_closed, read_head

OUTCOME = "Mallow-Outcome"
NOT_RUN, UNDECIDED, UNKNOWN = "not-run", "undecided", "unknown"
WHOLE = 256 << 10

HEADER_BYTES, HEADER_S = 65536, 30.0
LINGER = 0.3
SOON = 2.0

encode = msgspec.json.encode


class Nothing:
    """Stands for a body of which nothing more is wanted."""

    def _discard(self) -> None:
        pass


class ConnectionHandler(WSGIHandler):
    """A client's connection. Its bounds are the server's `limits`, asked anew for each request."""

    linger = read_side_closed = False

    def __init__(self, sock, address, server, rfile=None):
        """A connection's socket; reads go through `Incoming`."""
        super().__init__(sock, address, server, rfile or RequestReader(sock))

    def handle(self):
        """One request after another, until either side ends the connection."""
        self.server.connections.add(self)
        self.busy = False
        try:
            while (r := self.handle_one_request()) is True:
                self.busy = False
            if r is not None:
                self.linger = True
                self.socket.sendall(r[1])
        except OSError:
            pass
        finally:
            self.server.connections.discard(self)
            self._end()

    def handle_one_request(self):
        """True: another may follow; None: the connection ends; else a refusal to be sent before it ends."""
        limits = self.server.limits()
        most, seconds, idle = HEADER_BYTES, HEADER_S, None
        if limits is not None:
            most, seconds, idle = limits.header_bytes, limits.header_ms / 1000, limits.idle_ms / 1000
        self.idle = idle
        try:
            if not self.rfile.wait_for_request(idle):
                return None
            self.busy = True
            head = self.rfile.head(most, seconds)
        except TimeoutError:
            return self._refuse(408, "Request Timeout", NOT_RUN, "its head took too long")
        except OSError:
            return None
        if head is None:
            return self._refuse(431, "Request Header Fields Too Large", NOT_RUN, f"a head of over {most} bytes")
        if not head:
            return None
        try:
            self.request = h = read_head(head)
        except ValueError:
            self.server.counts.add("web_bad_request")
            return self._refuse(400, "Bad Request", UNDECIDED, "not understood as HTTP")
        self.headers, self.command, self.path, self.request_version = h, h.method, h.target, h.version
        self.requestline = h.method
        self.content_length, self.close_connection = h.length, h.close
        self.response_length = 0
        self.environ = self.get_environ()
        self.application = self.server.application
        self.handle_one_response()
        return None if self.close_connection else True

    def get_environ(self):
        """A server whose callable is lean is told little; what it passes on gets the whole from `mallow.handler`."""
        if not self.server.lean:
            return self.full_environ()
        h = self.request
        self.wsgi_input = Input(
            self.rfile,
            h.length,
            self.socket if h.header_map.get("expect", "").lower() == "100-continue" else None,
            h.chunked,
        )
        return {
            "REQUEST_METHOD": h.method,
            "SERVER_PROTOCOL": h.version,
            "REMOTE_ADDR": self.client_address[0],
            "wsgi.input": self.wsgi_input,
            "mallow.target": h.target,
            "mallow.head": h,
            "mallow.handler": self,
        }

    def full_environ(self):
        """All that WSGI asks for."""
        env = super().get_environ()
        env["mallow.target"] = self.path
        env["mallow.head"] = self.request
        env["mallow.handler"] = self
        return env

    def finalize_headers(self):
        """Say whether the connection goes on, and for how long it may rest."""
        self.provided_date = self.provided_date or ""
        if self.server.draining or self.close_connection:
            self.close_connection = True
            self.response_headers = [h for h in self.response_headers if h[0].lower() != b"connection"]
            self.response_headers.append((b"Connection", b"close"))
        elif self.idle is not None:
            self.response_headers.append((b"Keep-Alive", b"timeout=%d" % max(1, int(self.idle - SOON))))
        super().finalize_headers()
        if self.command == "HEAD" and self.provided_content_length is None:
            self.response_headers = [h for h in self.response_headers if h[0].lower() != b"content-length"]

    def _write_with_headers(self, data):
        """Head and a small body leave in one call."""
        self.headers_sent = True
        self.finalize_headers()
        head = b"".join(
            (b"HTTP/1.1 ", self.status, b"\r\n", *(b"%s: %s\r\n" % h for h in self.response_headers), b"\r\n")
        )
        if self.response_use_chunked or len(data) > WHOLE:
            self._sendall(head)
            self._write(data)
            return
        self._sendall(head + data)

    def _sendall(self, data):
        n = self.socket.send(data)
        if n < len(data):
            self.socket.sendall(memoryview(data)[n:])
        self.response_length += len(data)

    def _headers(self):
        for k, v in self.headers.header_map.items():
            if "_" not in k and k not in ("content-type", "content-length"):
                yield "HTTP_" + k.replace("-", "_").upper(), v

    def _refuse(self, status: int, reason: str, outcome: str, text: str):
        body = encode({"findings": [Finding("request", text)]})
        head = f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n{OUTCOME}: {outcome}\r\n"
        return status, f"{head}Connection: close\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body

    def _end(self) -> None:
        """After a refusal what still comes is dropped for a moment, so that a reset does not swallow the answer."""
        sock, self.socket = self.socket, None
        try:
            if self.linger:
                sock.shutdown(socket.SHUT_WR)
                with gevent.Timeout(LINGER, False):
                    while sock.recv(65536):
                        pass
        except OSError:
            pass
        sock.close()
        self.__dict__.pop("socket", None)
        self.__dict__.pop("rfile", None)
        self.__dict__.pop("wsgi_input", None)

    def client_left(self) -> bool:
        """Whether the client has ended the connection; one that has only ended its own side counts too.

        Not known once this side has ended its reads, nor while bytes of the client's wait to be read.
        """
        return not self.rfile.buf and not self.read_side_closed and peer_has_closed(self.socket)

    def cut(self) -> None:
        """This answer is the connection's last, and what the client still sends of its request is not waited for."""
        self.linger, self.wsgi_input, self.close_connection = True, Nothing(), True

    def log_request(self):
        """Requests are counted, not logged."""
        pass

    def _send_error_response_if_possible(self, error_code):
        """What ends outside the application, or is cut by the stop, has an outcome too."""
        self.close_connection = True
        if self.response_length:
            return
        cut = isinstance(sys.exc_info()[1], GreenletExit)
        status, outcome = (
            (504, UNDECIDED)
            if cut
            else (error_code, UNKNOWN if error_code == HTTPStatus.INTERNAL_SERVER_ERROR else UNDECIDED)
        )
        body = encode({"outcome": outcome, "findings": [Finding("request", "cut by a stop" if cut else "not served")]})
        head = [("Content-Type", "application/json"), (OUTCOME, outcome), ("Content-Length", str(len(body)))]
        try:
            self.start_response(f"{status} {HTTPStatus(status).phrase}", head)
            self.write(body)
        except OSError:
            self.server.counts.add("web_client_error")

    def log_error(self, msg, *args):
        """Errors of clients are counted, not logged."""
        self.server.counts.add("web_client_error")
