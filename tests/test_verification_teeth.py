import pytest

from verification import explorer
from verification.cluster import Cluster
from verification.control_cluster import ControlCluster
from verification.control_faults import CONTROL_FAULTS
from verification.explorer import random_walk, random_walks, replay
from verification.faults import FAULTS

ALL = FAULTS + CONTROL_FAULTS

SEEDS = 3000


@pytest.mark.parametrize("fault", ALL, ids=lambda fault: fault.name)
def test_a_protection_taken_out_is_noticed(fault, monkeypatch):
    monkeypatch.setattr(explorer, "MAX_SHORTEN_STEPS", 5_000)
    with fault.injected() as make_cluster:
        found = random_walks(fault.bounds, range(SEEDS), fault.length, make_cluster, fault.weights)
        assert found.broken.partition(":")[0] in fault.expected_failures
        assert replay(found.trace, fault.bounds, found.seed, make_cluster) == found.broken
    whole = ControlCluster if fault in CONTROL_FAULTS else Cluster
    assert random_walk(fault.bounds, found.seed, fault.length, whole, fault.weights).broken == ""


def test_each_protection_is_named_once():
    assert len({fault.name for fault in ALL}) == len(ALL)
