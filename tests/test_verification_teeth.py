import pytest

from verification.cluster import Cluster
from verification.control_cluster import ControlCluster
from verification.control_faults import CONTROL_FAULTS
from verification.explorer import replay, walk, walks
from verification.faults import FAULTS

ALL = FAULTS + CONTROL_FAULTS

SEEDS = 600


@pytest.mark.parametrize("fault", ALL, ids=lambda fault: fault.name)
def test_a_protection_taken_out_is_noticed(fault):
    with fault.out() as make:
        found = walks(fault.bounds, range(SEEDS), fault.length, make, fault.weights)
        assert found.broken.partition(":")[0] in fault.breaks
        assert replay(found.trace, fault.bounds, found.seed, make) == found.broken
    whole = ControlCluster if fault in CONTROL_FAULTS else Cluster
    assert walk(fault.bounds, found.seed, fault.length, whole, fault.weights).broken == ""


def test_each_protection_is_named_once():
    assert len({fault.name for fault in ALL}) == len(ALL)
