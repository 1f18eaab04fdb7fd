import pytest

from tests.host_bench import feed_parser

HEAD = b"HTTP/1.1 200 OK\r\nMallow-Ask: %s\r\nX-Seal: 1\r\nContent-Length: 2\r\n\r\n"


def test_an_extra_answer_is_passed_over_whole():
    r = feed_parser(HEAD % b"a0" + b"no" + HEAD % b"a1" + b"ok")
    assert r.complete and bytes(r.body) == b"ok" and r.foreign_responses == 1 and not r.error
    r = feed_parser(HEAD % b"a0" + b"n", b"o")
    assert not r.complete and not r.error
    r.receive(HEAD % b"a1")
    r.receive(b"ok")
    assert r.complete and bytes(r.body) == b"ok"


@pytest.mark.parametrize("more", [b"!!", b"garbage\r\n\r\n", HEAD % b"a0" + b"no", HEAD % b"a1" + b"no"])
def test_bytes_after_a_whole_answer_spoil_only_the_connection(more):
    r = feed_parser(HEAD % b"a1" + b"ok" + more)
    assert r.complete and bytes(r.body) == b"ok" and r.extra_bytes and not r.error


@pytest.mark.parametrize(
    "parts,error",
    [
        ([HEAD % b"a1" + b"o", b""], "broken"),
        ([b""], "broken"),
        ([b"\x00\x01nonsense"], "garbage"),
        ([b"HTTP/1.1 200 OK\r\nX-Seal: 1\r\nContent-Length: 2\r\n\r\nok"], "garbage"),
        ([b"HTTP/1.1 200 OK\r\nMallow-Ask: a1\r\n\r\nok", b""], "garbage"),
        ([b"HTTP/1.1 200 OK\r\nMallow-Ask: a1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok"], "garbage"),
        ([b"HTTP/1.1 200 OK\r\nMallow-Ask: a1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", b""], "broken"),
        ([HEAD % b"a0" + b"no", b""], "broken"),
    ],
)
def test_what_is_no_whole_answer(parts, error):
    r = feed_parser(*parts)
    assert not r.complete and r.error.startswith(error)


def test_an_answer_in_single_bytes_and_one_after_an_interim_one():
    data = b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD % b"a1" + b"ok"
    r = feed_parser(*[data[i : i + 1] for i in range(len(data))])
    assert r.complete and bytes(r.body) == b"ok" and r.headers[1] == ("X-Seal", "1") and r.keep_alive
    r = feed_parser(HEAD % b"a1", method="HEAD")
    assert r.complete and r.content_length() == 2 and not r.body
