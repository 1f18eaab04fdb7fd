"""Headers go along as they came, either way, but for those of one connection and those that the proxy sets itself."""

import http.client

import pytest

from mallowvalve.proxy.request_writer import RequestWriter
from mallowvalve.proxy.steps import ClientRequest
from mallowvalve.settings import Terms
from tests.frontend_bench import RESPONSE_HEAD, HttpClient, build_request, serve_frontend

OF_ONE_CONNECTION = [
    ("Connection", "close, X-Named"),
    ("Keep-Alive", "timeout=5"),
    ("TE", "trailers"),
    ("Trailer", "X-T"),
    ("Upgrade", "h2c"),
    ("Proxy-Connection", "keep-alive"),
    ("X-Named", "by Connection"),
]
KEPT = [
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


def test_a_requests_headers():
    pairs = [*KEPT, *OF_ONE_CONNECTION]
    said = {k.lower(): v for k, v in pairs}
    lines = RequestWriter(Terms()).lines(ClientRequest("GET", "/r/1?a=%20b", said, "c", None, pairs), b"")
    assert lines == "GET /r/1?a=%20b HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in KEPT)


@pytest.mark.parametrize("named", ["host", "mallow-ask"])
def test_what_a_request_needs_is_not_dropped_because_connection_names_it(named):
    pairs = [("Host", "h.example"), ("Mallow-Ask", "a1"), ("Connection", named)]
    said = {k.lower(): v for k, v in pairs}
    lines = RequestWriter(Terms()).lines(ClientRequest("GET", "/", said, "c", None, pairs), b"")
    assert "Host: h.example\r\n" in lines and "Mallow-Ask: a1\r\n" in lines


def test_an_answers_headers():
    sent = [(k, v) for k, v in KEPT if k != "Host"]
    with serve_frontend() as (s, up, _):
        head = RESPONSE_HEAD.split(b"X-Own")[0] + b"".join(
            f"{k}: {v}\r\n".encode() for k, v in [*sent, *OF_ONE_CONNECTION]
        )
        up.make_response = lambda mark: head % mark + b"Content-Length: 2\r\n\r\nok"
        c = HttpClient(s).send(build_request())
        r = http.client.HTTPResponse(c.sock)
        r.begin()
        got = [(k, v) for k, v in r.getheaders() if k not in ("Mallow-Ask", "X-Seal")]
        assert got[: len(sent)] == sent
        assert {k.lower() for k, _ in got[len(sent) :]} <= {"content-length", "keep-alive"} and r.read() == b"ok"
