"""Frames in the compressed stream of a connection."""

import os
import zlib

import pytest

from mallowvalve.transport import frame
from mallowvalve.transport.frame import (
    PROTOCOL_VERSION,
    FrameDecoder,
    FrameEncoder,
    Hello,
    TransportFrame,
    encode_hello,
    length_prefixed,
)
from mallowvalve.types import Address

HELLO = encode_hello(Hello(PROTOCOL_VERSION, "f", Address("10.0.0.1", 1)))
LONG = TransportFrame("want", 7, True, b"route-name,prefix,service," * 2000)
SHORT = TransportFrame("x", 8, False, b"short")


def test_a_long_frame_travels_small_and_comes_out_whole_in_any_cut():
    data = HELLO + FrameEncoder().encode([LONG, SHORT])
    assert len(data) < len(LONG.body) / 20
    for step in (1, 7, len(data)):
        c, out = FrameDecoder("f"), []
        for i in range(0, len(data), step):
            out += c.feed(data[i : i + step]).ok_value
        assert out[1:] == [LONG, SHORT]


def test_each_write_can_be_read_whole_once_it_is_there():
    sealer, cutter = FrameEncoder(), FrameDecoder("f", hello_received=True)
    for n in range(300):
        some = [TransportFrame("x", 2 * n, False, os.urandom(n)), TransportFrame("y", 2 * n + 1, True, b"")]
        assert cutter.feed(sealer.encode(some)).ok_value == some


def test_frames_that_resemble_each_other_shrink_to_less_than_half_and_random_ones_hardly_grow():
    def written(bodies):
        sealer = FrameEncoder()
        frames = [TransportFrame("raft", n, False, body) for n, body in enumerate(bodies)]
        return sum(len(sealer.encode([f])) for f in frames), sum(len(length_prefixed(f)) for f in frames)

    alike, plain = written([b"group-of-members-0123456789abcdef" * 4 + os.urandom(12) for _ in range(100)])
    assert alike < plain / 2
    odd, plain = written([os.urandom(2000) for _ in range(20)])
    assert odd < plain * 1.02


def test_a_stream_is_read_from_its_beginning_only():
    sealer = FrameEncoder()
    sealer.encode([LONG])
    r = FrameDecoder("f", hello_received=True).feed(sealer.encode([LONG]))
    assert r.is_err() and r.err_value == "garbage"


def stream(data, end=zlib.Z_SYNC_FLUSH):
    z = zlib.compressobj(1, zlib.DEFLATED, -11)
    return z.compress(data) + z.flush(end)


@pytest.mark.parametrize("bad", [b"\xff no zlib", zlib.compress(b"x" * 9), stream(b"\x00\x00\x00\x01\xc1")])
def test_what_does_not_unfold_is_garbage(bad):
    assert FrameDecoder("f", hello_received=True).feed(bad).err_value == "garbage"


def test_a_stream_that_ends_is_garbage():
    whole = stream(length_prefixed(SHORT), zlib.Z_FINISH)
    assert FrameDecoder("f", hello_received=True).feed(whole).err_value == "garbage"


def test_what_unfolds_beyond_the_largest_is_refused_before_it_is_unfolded(monkeypatch):
    monkeypatch.setattr(frame, "BODY_BYTES_MAX", 1000)
    cutter = FrameDecoder("f", hello_received=True)
    assert cutter.feed(stream(length_prefixed(TransportFrame("x", 1, False, b"x" * 5000)))).err_value == "oversize"
    unfolded = []
    monkeypatch.setattr(frame, "BODY_BYTES_MAX", 64 << 20)
    monkeypatch.setattr(frame, "DECOMPRESS_BYTES_MAX", 4096)
    cutter = FrameDecoder("f", hello_received=True)
    cutter._stream = Noting(cutter._stream, unfolded)
    assert cutter.feed(stream(b"\x7f\xff\xff\xff" + b"\0" * 10_000_000)).err_value == "oversize"
    assert sum(unfolded) <= 4096


class Noting:
    """A stream that notes how much it unfolded."""

    def __init__(self, whole, unfolded):
        self.whole, self.unfolded = whole, unfolded

    def decompress(self, data, most):
        out = self.whole.decompress(data, most)
        self.unfolded.append(len(out))
        return out

    @property
    def eof(self):
        return self.whole.eof

    @property
    def unconsumed_tail(self):
        return self.whole.unconsumed_tail
