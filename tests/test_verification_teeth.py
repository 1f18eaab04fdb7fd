import pytest

from verification.explorer import replay, walk, walks
from verification.faults import FAULTS

SEEDS, LENGTH = 120, 600


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_a_protection_taken_out_is_noticed(fault):
    with fault.out() as make:
        found = walks(fault.bounds, range(SEEDS), LENGTH, make)
        assert found.broken.partition(":")[0] in fault.breaks
        assert replay(found.trace, fault.bounds, found.seed, make) == found.broken
    assert walk(fault.bounds, found.seed, LENGTH).broken == ""


def test_each_protection_is_named_once():
    assert len({fault.name for fault in FAULTS}) == len(FAULTS)
