"""Serializes requests on host routes for upstreams."""

from __future__ import annotations

from mallowvalve.proxy.host_request import HOP_BY_HOP_HEADERS, HostRequest
from mallowvalve.proxy.steps import ClientRequest
from mallowvalve.settings import HeaderNames

MAX_COMBINED_BYTES = 64 << 10
"""A larger body is sent by itself, after the head."""


class RequestWriter:
    """Serializes requests; headers are forwarded unchanged, except hop-by-hop headers and those that the proxy sets."""

    __slots__ = ("_terms", "_id_header", "_dropped")

    def __init__(self, terms: HeaderNames):
        """`terms` names the headers for the id of a request, its time limit and the upstream it is sent to."""
        self._terms = terms
        self._id_header = terms.ask.lower()
        self._dropped = HOP_BY_HOP_HEADERS | {terms.limit.lower(), terms.expect.lower()}

    def lines(self, request: ClientRequest, body: bytes | memoryview, streamed: bool = False) -> str:
        """Returns the request line and the headers that are the same for every upstream.

        The rest of a `streamed` body follows `body`, in chunks if its length is unknown.
        """
        dropped = self._dropped
        if "connection" in request.headers:
            named = {name.strip().lower() for name in request.headers["connection"].split(",")}
            dropped = dropped | named - {"host", self._id_header}
        lines = [f"{request.method} {request.target} HTTP/1.1\r\n"]
        lines += [
            f"{name}: {value}\r\n"
            for name, value in request.header_pairs or request.headers.items()
            if name.lower() not in dropped
        ]
        if streamed and request.length is None:
            lines.append("Transfer-Encoding: chunked\r\n")
        elif streamed:
            lines.append(f"Content-Length: {request.length}\r\n")
        elif body or request.length is not None or "transfer-encoding" in request.headers:
            lines.append(f"Content-Length: {len(body)}\r\n")
        return "".join(lines)

    def whole(self, request: HostRequest, instance: str, now: float) -> tuple[bytes, bytes | memoryview]:
        """Returns the request for the upstream `instance`, with the time that is left (ms), and the rest of its body.

        The rest is empty unless the body is large: a copy of that behind the head would take its memory twice.
        """
        head = request.head
        if self._terms.limit:
            head += f"{self._terms.limit}: {max(1, int((request.end - now) * 1000))}\r\n"
        if self._terms.expect:
            head += f"{self._terms.expect}: {instance}\r\n"
        data = (head + "\r\n").encode("latin-1")
        if request.body_stream is not None:
            return data, request.body_stream.frame(bytes(request.body))
        if len(request.body) > MAX_COMBINED_BYTES:
            return data, request.body
        return data + request.body, b""
