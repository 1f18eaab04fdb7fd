"""The response parser with skipped, truncated, extra and malformed responses."""

import pytest

from tests.host_bench import feed_parser

HEAD = b"HTTP/1.1 200 OK\r\nMallow-Ask: %s\r\nX-Seal: 1\r\nContent-Length: 2\r\n\r\n"


def test_a_response_with_another_request_id_is_skipped():
    parser = feed_parser(HEAD % b"a0" + b"no" + HEAD % b"a1" + b"ok")
    assert parser.complete and bytes(parser.body) == b"ok" and parser.foreign_responses == 1 and not parser.error
    parser = feed_parser(HEAD % b"a0" + b"n", b"o")
    assert not parser.complete and not parser.error
    parser.receive(HEAD % b"a1")
    parser.receive(b"ok")
    assert parser.complete and bytes(parser.body) == b"ok"


@pytest.mark.parametrize("extra", [b"!!", b"garbage\r\n\r\n", HEAD % b"a0" + b"no", HEAD % b"a1" + b"no"])
def test_bytes_after_a_complete_response_only_make_the_connection_unusable(extra):
    parser = feed_parser(HEAD % b"a1" + b"ok" + extra)
    assert parser.complete and bytes(parser.body) == b"ok" and parser.extra_bytes and not parser.error


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
def test_truncated_and_malformed_responses_are_errors(parts, error):
    parser = feed_parser(*parts)
    assert not parser.complete and parser.error.startswith(error)


def test_a_response_after_an_interim_one_received_byte_by_byte_and_a_head_response():
    data = b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD % b"a1" + b"ok"
    parser = feed_parser(*[data[i : i + 1] for i in range(len(data))])
    assert (
        parser.complete and bytes(parser.body) == b"ok" and parser.headers[1] == ("X-Seal", "1") and parser.keep_alive
    )
    parser = feed_parser(HEAD % b"a1", method="HEAD")
    assert parser.complete and parser.content_length() == 2 and not parser.body
