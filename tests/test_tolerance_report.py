"""What operators see of the losses that the core survives."""

from types import SimpleNamespace

import pytest

from mallowvalve import settings
from mallowvalve.control import tolerance_report
from mallowvalve.control.tolerance_report import ToleranceReport, describe
from mallowvalve.control.voter_placement import Tolerance, tolerance
from mallowvalve.exposition import render_metrics
from mallowvalve.metrics import recent_events
from mallowvalve.settings import FaultBudget
from mallowvalve.types import Locality

EVEN = {f"v{i}": Locality(f"r{i % 3}", f"r{i % 3}z{i}") for i in range(5)}
UNEVEN = {f"v{i}": Locality("r0" if i < 3 else "r1", f"z{i}") for i in range(5)}


def test_the_losses_that_a_majority_survives_are_named():
    assert tolerance(EVEN) == Tolerance(2, ("r0", "r1", "r2"), tuple(sorted(map(str, EVEN.values()))), (), ())
    uneven = tolerance(UNEVEN)
    assert (uneven.machines, uneven.regions, uneven.critical_regions) == (2, ("r1",), ("r0",))
    degraded = tolerance(EVEN, {"v0", "v1"})
    assert degraded.machines == 0 and degraded.critical_regions == ("r0", "r1", "r2")
    stopped = tolerance(EVEN, {"v0", "v1", "v2"})
    assert stopped.machines == 0 and stopped.regions == ()


@pytest.mark.parametrize(
    ("budget", "voters", "lost", "meets"),
    [
        (FaultBudget(), EVEN, (), True),
        (FaultBudget(machines=3), EVEN, (), False),
        (FaultBudget(), UNEVEN, (), False),
        (FaultBudget(regions=0), UNEVEN, (), True),
        (FaultBudget(machines=0, regions=0, zones=0), EVEN, ("v0", "v1"), True),
        (FaultBudget(machines=0, regions=0), EVEN, ("v0", "v1"), False),
    ],
)
def test_a_budget_is_met_if_each_loss_that_it_names_leaves_a_majority(budget, voters, lost, meets):
    assert tolerance(voters, lost).meets(budget) == meets


@pytest.fixture
def report(monkeypatch):
    core = SimpleNamespace(now=100.0, known=None, tolerance=lambda now: core.known)
    monkeypatch.setattr(tolerance_report, "clock", SimpleNamespace(now=lambda: core.now))
    return core, ToleranceReport(core, FaultBudget())


def names():
    return [event["what"] for event in recent_events.about("") if event["what"].startswith("core_")]


def test_the_log_says_when_the_core_survives_less_than_its_budget_and_when_it_is_whole_again(report):
    """Guards against an operator who cannot see that the next loss stops the core (review/6)."""
    core, shown = report
    before = len(names())
    for known in (None, tolerance(EVEN), tolerance(UNEVEN), tolerance(UNEVEN), tolerance(EVEN), None, tolerance(EVEN)):
        core.known, core.now = known, core.now + 1.0
        shown.log()
    assert names()[before:] == [
        "core_meets_fault_budget",
        "core_below_fault_budget",
        "core_meets_fault_budget",
        "core_meets_fault_budget",
    ]
    event = recent_events.about("core_below_fault_budget")[-1]
    assert event["critical_regions"] == ["r0"] and event["machines"] == 2


def test_the_metrics_and_the_leaders_page_name_machines_regions_and_zones(report):
    core, shown = report
    assert shown.gauge() is None
    core.known = tolerance(UNEVEN)
    assert shown.gauge()["region r0"] == 0 and shown.gauge()["region r1"] == 1 and shown.gauge()["machines"] == 2
    text = render_metrics({}, {"core_survives_loss_of": shown.gauge()}).decode()
    assert 'mallowvalve_core_survives_loss_of{of="region r0"} 0.0' in text
    assert describe(core.known)["critical_regions"] == ["r0"]


def test_a_negative_budget_is_a_finding():
    data = {"name": "n", "locality": "r/z", "transport": "127.0.0.1:1", "web": "127.0.0.1:2", "data": "d"}
    found = settings.check("control", data | {"fault_budget": {"machines": -1}}).unwrap_err()
    assert [problem.place for problem in found] == ["fault_budget.machines"]
    assert settings.check("control", data | {"fault_budget": {"regions": 0}}).unwrap().fault_budget.regions == 0
