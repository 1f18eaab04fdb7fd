"""Compares JSON texts by value."""

from __future__ import annotations

import msgspec

_decode = msgspec.json.Decoder().decode


def same_json(first: bytes, second: bytes) -> bool:
    """Returns whether two JSON texts have the same value.

    The order of fields, white space and the notation of numbers do not matter; true differs from 1. Texts that cannot
    be decoded are compared as bytes.
    """
    try:
        pairs = [(_decode(first), _decode(second))]
    except (msgspec.DecodeError, RecursionError):
        return first == second
    while pairs:
        left, right = pairs.pop()
        if isinstance(left, dict) and isinstance(right, dict):
            if left.keys() != right.keys():
                return False
            pairs += [(left[k], right[k]) for k in left]
        elif isinstance(left, list) and isinstance(right, list):
            if len(left) != len(right):
                return False
            pairs += zip(left, right, strict=True)
        elif isinstance(left, bool) or isinstance(right, bool):
            if left is not right:
                return False
        elif left != right:
            return False
    return True
