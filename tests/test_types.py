import pytest

from mallowvalve.types import Address, Locality, Revision


def test_revisions_rise_by_generation_then_index_and_fit_a_signed_64_bit_integer():
    rs = [Revision.make(g, i) for g, i in ((1, 0), (1, 1), (1, 2**36 - 1), (2, 0), (2**27 - 1, 2**36 - 1))]
    assert rs == sorted(set(rs)) and rs[-1] < 2**63
    assert (rs[2].generation, rs[2].index) == (1, 2**36 - 1)


@pytest.mark.parametrize(
    "text", ["", "1.2.3.4", "1.2.3:80", "1.2.3.4:0", "1.2.3.4:65536", "1.2.3.400:1", "host:1", "1.2.3.4:x"]
)
def test_bad_addresses(text):
    assert Address.read(text).is_err()


def test_distance_counts_zone_then_region():
    a, b, c = (Locality.read(t).unwrap() for t in ("eu/a", "eu/b", "us/c"))
    assert [a.distance(x) for x in (a, b, c)] == [0, 1, 2]
    assert all(Locality.read(t).is_err() for t in ("eu", "/a", "eu/", "eu/a/b"))
