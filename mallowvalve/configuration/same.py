"""Whether two JSON texts say the same value."""

from __future__ import annotations

import msgspec

_decode = msgspec.json.Decoder().decode


def same_json(a: bytes, b: bytes) -> bool:
    """Compares by value: order of fields, spaces and spellings of a number are passed over, true is not 1.

    Texts that cannot be decoded are compared as bytes.
    """
    try:
        pairs = [(_decode(a), _decode(b))]
    except (msgspec.DecodeError, RecursionError):
        return a == b
    while pairs:
        x, y = pairs.pop()
        if isinstance(x, dict) and isinstance(y, dict):
            if x.keys() != y.keys():
                return False
            pairs += [(x[k], y[k]) for k in x]
        elif isinstance(x, list) and isinstance(y, list):
            if len(x) != len(y):
                return False
            pairs += zip(x, y, strict=True)
        elif isinstance(x, bool) or isinstance(y, bool):
            if x is not y:
                return False
        elif x != y:
            return False
    return True
