from __future__ import annotations

import os
import zlib

import pytest

from mallowvalve.transport import frame
from mallowvalve.transport.frame import VERSION, Cutter, Frame, Hello, seal
from mallowvalve.types import Address

HELLO = seal(Hello(VERSION, "f", Address("10.0.0.1", 1)))
LONG = Frame("want", 7, True, b"route-name,prefix,service," * 2000)


def test_a_long_frame_travels_small_and_comes_out_whole_in_any_cut():
    data = HELLO + seal(LONG) + seal(Frame("x", 8, False, b"short"))
    assert len(data) < len(LONG.body) / 20
    for step in (1, 7, len(data)):
        c, out = Cutter("f"), []
        for i in range(0, len(data), step):
            out += c.feed(data[i : i + step]).ok_value
        assert out[1:] == [LONG, Frame("x", 8, False, b"short")]


def test_what_does_not_shrink_and_what_is_short_goes_as_it_is():
    for m in (Frame("x", 1, False, os.urandom(5000)), Frame("x", 1, False, b"a" * 100)):
        assert not seal(m)[0] & 0x80 and Cutter("f", greeted=True).feed(seal(m)).ok_value == [m]


@pytest.mark.parametrize("bad", [b"no zlib", zlib.compress(b"x" * 9)[:-1], zlib.compress(b"x") + b"y"])
def test_what_does_not_unfold_is_garbage(bad):
    data = (len(bad) | 1 << 31).to_bytes(4, "big") + bad
    assert Cutter("f", greeted=True).feed(data).err_value == "garbage"


def test_what_unfolds_beyond_the_largest_is_garbage(monkeypatch):
    monkeypatch.setattr(frame, "LARGEST", 1000)
    z = zlib.compress(b"x" * 5000)
    assert Cutter("f", greeted=True).feed((len(z) | 1 << 31).to_bytes(4, "big") + z).err_value == "garbage"
