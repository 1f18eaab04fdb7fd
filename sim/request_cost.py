"""One request carried through the proxy's request machine without any socket."""

from __future__ import annotations

from result import Ok

from mallowvalve.http_head import read_head
from mallowvalve.proxy.host_forwarder import HostForwarder
from mallowvalve.proxy.response_parser import ResponseParser
from mallowvalve.proxy.steps import ClientCheck, ClientRequest, Exchange, OpenConnection, UpstreamResponse

HEAD = (
    b"GET /p1001/ HTTP/1.1\r\nHost: h00001.example\r\nUser-Agent: client/1.0\r\nAccept: */*\r\nMallow-Ask: 0123456789abcdef\r\n"
    b"Mallow-Limit: 1500\r\nAccept-Encoding: gzip\r\n"
)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 400\r\nMallow-Ask: 0123456789abcdef\r\n"
    b"Mallow-Instance: up-000001\r\nMallow-Usage: 1,0,6\r\n\r\n" + b"x" * 400
)


class Kept:
    """A connection that is open already."""

    def __init__(self, up):
        self.heartbeat, self.since, self.life = up, 0.0, 60.0

    def stale(self) -> bool:
        return False


def carry_one(tries: HostForwarder, head: bytes) -> None:
    h = read_head(head)
    steps, got = tries.handle(ClientRequest(h.method, h.target, h.header_map, "", h.length, h.header_pairs)), None
    try:
        while True:
            match steps.send(got):
                case OpenConnection() as s:
                    got = Ok(Kept(s.heartbeat))
                case ClientCheck():
                    got = None
                case Exchange() as s:
                    r = ResponseParser(s.method, "mallow-ask", s.request_id)
                    r.receive(ANSWER)
                    got = Ok(
                        UpstreamResponse(
                            r.status, r.headers, bytes(r.body), len(r.body), None, r.keep_alive, r.header_map
                        )
                    )
    except StopIteration as e:
        if e.value.status != 200:
            raise SystemExit(f"a request ended in {e.value}") from None
