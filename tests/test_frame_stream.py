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


def test_a_long_frame_is_compressed_and_decoded_whole_from_chunks_of_any_size():
    data = HELLO + FrameEncoder().encode([LONG, SHORT])
    assert len(data) < len(LONG.body) / 20
    for step in (1, 7, len(data)):
        decoder, messages = FrameDecoder("f"), []
        for offset in range(0, len(data), step):
            messages += decoder.feed(data[offset : offset + step]).ok_value
        assert messages[1:] == [LONG, SHORT]


def test_the_frames_of_each_write_can_be_decoded_once_it_is_received():
    encoder, decoder = FrameEncoder(), FrameDecoder("f", hello_received=True)
    for size in range(300):
        frames = [
            TransportFrame("x", 2 * size, False, os.urandom(size)),
            TransportFrame("y", 2 * size + 1, True, b""),
        ]
        assert decoder.feed(encoder.encode(frames)).ok_value == frames


def test_similar_frames_shrink_to_less_than_half_and_random_frames_hardly_grow():
    def sizes(bodies):
        encoder = FrameEncoder()
        frames = [TransportFrame("raft", call_id, False, body) for call_id, body in enumerate(bodies)]
        return sum(len(encoder.encode([one])) for one in frames), sum(len(length_prefixed(one)) for one in frames)

    similar, plain = sizes([b"group-of-members-0123456789abcdef" * 4 + os.urandom(12) for _ in range(100)])
    assert similar < plain / 2
    random, plain = sizes([os.urandom(2000) for _ in range(20)])
    assert random < plain * 1.02


def test_a_stream_can_be_decoded_from_its_beginning_only():
    encoder = FrameEncoder()
    encoder.encode([LONG])
    result = FrameDecoder("f", hello_received=True).feed(encoder.encode([LONG]))
    assert result.is_err() and result.err_value == "garbage"


def deflate(data, end=zlib.Z_SYNC_FLUSH):
    stream = zlib.compressobj(1, zlib.DEFLATED, -11)
    return stream.compress(data) + stream.flush(end)


@pytest.mark.parametrize("bad", [b"\xff no zlib", zlib.compress(b"x" * 9), deflate(b"\x00\x00\x00\x01\xc1")])
def test_data_that_cannot_be_decompressed_is_garbage(bad):
    assert FrameDecoder("f", hello_received=True).feed(bad).err_value == "garbage"


def test_a_finished_stream_is_garbage():
    finished = deflate(length_prefixed(SHORT), zlib.Z_FINISH)
    assert FrameDecoder("f", hello_received=True).feed(finished).err_value == "garbage"


def test_an_oversized_frame_is_rejected_before_it_is_decompressed(monkeypatch):
    monkeypatch.setattr(frame, "BODY_BYTES_MAX", 1000)
    decoder = FrameDecoder("f", hello_received=True)
    assert decoder.feed(deflate(length_prefixed(TransportFrame("x", 1, False, b"x" * 5000)))).err_value == "oversize"
    sizes = []
    monkeypatch.setattr(frame, "BODY_BYTES_MAX", 64 << 20)
    monkeypatch.setattr(frame, "DECOMPRESS_BYTES_MAX", 4096)
    decoder = FrameDecoder("f", hello_received=True)
    decoder._stream = RecordingStream(decoder._stream, sizes)
    assert decoder.feed(deflate(b"\x7f\xff\xff\xff" + b"\0" * 10_000_000)).err_value == "oversize"
    assert sum(sizes) <= 4096


class RecordingStream:
    """A decompression stream that records the size of each output."""

    def __init__(self, stream, sizes):
        self.stream, self.sizes = stream, sizes

    def decompress(self, data, limit):
        out = self.stream.decompress(data, limit)
        self.sizes.append(len(out))
        return out

    @property
    def eof(self):
        return self.stream.eof

    @property
    def unconsumed_tail(self):
        return self.stream.unconsumed_tail
