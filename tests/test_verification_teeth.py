import pytest

from verification import explorer
from verification.control_faults import CONTROL_FAULTS, REGION_FAULTS
from verification.explorer import random_walk, random_walks, replay
from verification.faults import FAULTS

ALL_FAULTS = FAULTS + CONTROL_FAULTS + REGION_FAULTS

MAX_SEEDS = 3000


@pytest.mark.parametrize("fault", ALL_FAULTS, ids=lambda fault: fault.name)
def test_the_checks_notice_each_removed_protection(fault, monkeypatch):
    monkeypatch.setattr(explorer, "MAX_SHORTEN_STEPS", 5_000)
    with fault.injected() as make_cluster:
        seeds = range(fault.first_seed, fault.first_seed + MAX_SEEDS)
        found = random_walks(fault.bounds, seeds, fault.length, make_cluster, fault.weights)
        assert found.broken.partition(":")[0] in fault.expected_failures
        assert replay(found.trace, fault.bounds, found.seed, make_cluster) == found.broken
    assert random_walk(fault.bounds, found.seed, fault.length, fault.intact_class, fault.weights).broken == ""


def test_fault_names_are_unique():
    assert len({fault.name for fault in ALL_FAULTS}) == len(ALL_FAULTS)
