"""Headers are forwarded unchanged in both directions, except hop-by-hop headers and those that the proxy sets."""

import http.client

import pytest

from mallowvalve.proxy.request_writer import RequestWriter
from mallowvalve.proxy.steps import ClientRequest
from mallowvalve.settings import HeaderNames
from tests.frontend_bench import RESPONSE_HEAD, HttpClient, build_request, serve_frontend

HOP_BY_HOP = [
    ("Connection", "close, X-Named"),
    ("Keep-Alive", "timeout=5"),
    ("TE", "trailers"),
    ("Trailer", "X-T"),
    ("Upgrade", "h2c"),
    ("Proxy-Connection", "keep-alive"),
    ("X-Named", "by Connection"),
]
FORWARDED = [
    ("Host", "h.example"),
    ("X-Own", "a"),
    ("x-own", "b"),
    ("Cookie", "a=1"),
    ("Cookie", "b=2"),
    ("Accept-Encoding", "identity"),
    ("Authorization", "Bearer x"),
    ("X-Forwarded-For", "10.0.0.1"),
    ("Date", "Wed, 02 Dec 2026 00:00:00 GMT"),
    ("Content-Encoding", "gzip"),
    ("If-None-Match", '"1"'),
    ("Via", "1.1 x"),
    ("X-Empty", ""),
]


def test_request_headers_are_forwarded():
    pairs = [*FORWARDED, *HOP_BY_HOP]
    header_map = {name.lower(): value for name, value in pairs}
    lines = RequestWriter(HeaderNames()).lines(ClientRequest("GET", "/r/1?a=%20b", header_map, "c", None, pairs), b"")
    assert lines == "GET /r/1?a=%20b HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in FORWARDED)


@pytest.mark.parametrize("named", ["host", "mallow-ask"])
def test_the_connection_header_cannot_remove_headers_that_the_proxy_needs(named):
    pairs = [("Host", "h.example"), ("Mallow-Ask", "a1"), ("Connection", named)]
    header_map = {name.lower(): value for name, value in pairs}
    lines = RequestWriter(HeaderNames()).lines(ClientRequest("GET", "/", header_map, "c", None, pairs), b"")
    assert "Host: h.example\r\n" in lines and "Mallow-Ask: a1\r\n" in lines


def test_response_headers_are_forwarded():
    sent = [(name, value) for name, value in FORWARDED if name != "Host"]
    with serve_frontend() as (server, upstream, _):
        head = RESPONSE_HEAD.split(b"X-Own")[0] + b"".join(
            f"{name}: {value}\r\n".encode() for name, value in [*sent, *HOP_BY_HOP]
        )
        upstream.make_response = lambda request_id: head % request_id + b"Content-Length: 2\r\n\r\nok"
        client = HttpClient(server).send(build_request())
        response = http.client.HTTPResponse(client.sock)
        response.begin()
        received = [(name, value) for name, value in response.getheaders() if name not in ("Mallow-Ask", "X-Seal")]
        assert received[: len(sent)] == sent
        assert {name.lower() for name, _ in received[len(sent) :]} <= {
            "content-length",
            "keep-alive",
        } and response.read() == b"ok"
