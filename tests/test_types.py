"""Revisions, addresses and localities."""

import pytest

from mallowvalve.types import Address, Locality, Revision


def test_revisions_are_ordered_by_generation_then_index_and_fit_a_signed_64_bit_integer():
    revisions = [
        Revision.make(generation, index)
        for generation, index in ((1, 0), (1, 1), (1, 2**36 - 1), (2, 0), (2**27 - 1, 2**36 - 1))
    ]
    assert revisions == sorted(set(revisions)) and revisions[-1] < 2**63
    assert (revisions[2].generation, revisions[2].index) == (1, 2**36 - 1)


@pytest.mark.parametrize(
    "text", ["", "1.2.3.4", "1.2.3:80", "1.2.3.4:0", "1.2.3.4:65536", "1.2.3.400:1", "host:1", "1.2.3.4:x"]
)
def test_an_invalid_address_is_refused(text):
    assert Address.read(text).is_err()


def test_distance_is_same_zone_then_same_region_then_elsewhere():
    local, same_region, elsewhere = (Locality.read(text).unwrap() for text in ("eu/a", "eu/b", "us/c"))
    assert [local.distance(other) for other in (local, same_region, elsewhere)] == [0, 1, 2]
    assert all(Locality.read(text).is_err() for text in ("eu", "/a", "eu/", "eu/a/b"))
