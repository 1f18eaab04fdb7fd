"""A request on a host route as it is sent on to an upstream."""

from __future__ import annotations

from mallowvalve.proxy.host_request import HOP_BY_HOP_HEADERS, HostRequest
from mallowvalve.proxy.steps import ClientRequest
from mallowvalve.settings import HeaderNames


class RequestWriter:
    """Writes requests: all headers go along unchanged but for those of one connection and those set here."""

    __slots__ = ("_terms", "_id_header", "_dropped")

    def __init__(self, terms: HeaderNames):
        """`terms` name the headers of a request's id, its limit and the upstream it is for."""
        self._terms = terms
        self._id_header = terms.ask.lower()
        self._dropped = HOP_BY_HOP_HEADERS | {terms.limit.lower(), terms.expect.lower()}

    def lines(self, a: ClientRequest, body: bytes) -> str:
        """The request line and the headers that are the same for each upstream."""
        dropped = self._dropped
        if "connection" in a.headers:
            named = {h.strip().lower() for h in a.headers["connection"].split(",")}
            dropped = dropped | named - {"host", self._id_header}
        lines = [f"{a.method} {a.target} HTTP/1.1\r\n"]
        lines += [f"{k}: {v}\r\n" for k, v in a.header_pairs or a.headers.items() if k.lower() not in dropped]
        if body or a.length is not None or "transfer-encoding" in a.headers:
            lines.append(f"Content-Length: {len(body)}\r\n")
        return "".join(lines)

    def whole(self, t: HostRequest, instance: str, now: float) -> bytes:
        """The request for one upstream, with the time that is left."""
        head = t.head
        if self._terms.limit:
            head += f"{self._terms.limit}: {max(1, int((t.end - now) * 1000))}\r\n"
        if self._terms.expect:
            head += f"{self._terms.expect}: {instance}\r\n"
        return (head + "\r\n").encode("latin-1") + t.body
