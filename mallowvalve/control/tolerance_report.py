"""Shows operators which losses the core survives now: as metrics, on the leader's page, and as events of the log."""

from __future__ import annotations

from mallowvalve import clock
from mallowvalve.control.core import Core
from mallowvalve.control.voter_placement import Tolerance
from mallowvalve.metrics import log_event
from mallowvalve.settings import FaultBudget

CHECK_INTERVAL_S = 0.5


class ToleranceReport:
    """Logs when the core survives less than its fault budget, and when it is whole again; only while it leads."""

    __slots__ = ("core", "budget", "_meets_budget", "_next_check_at")

    def __init__(self, core: Core, budget: FaultBudget) -> None:
        """Nothing has been logged yet."""
        self.core, self.budget = core, budget
        self._meets_budget: bool | None = None
        self._next_check_at = 0.0

    def log(self) -> None:
        """Logs a change, at most every `CHECK_INTERVAL_S`."""
        now = clock.now()
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        tolerance = self.core.tolerance(now)
        meets_budget = tolerance.meets(self.budget) if tolerance is not None else None
        if meets_budget == self._meets_budget:
            return
        self._meets_budget = meets_budget
        if tolerance is not None:
            name = "core_meets_fault_budget" if meets_budget else "core_below_fault_budget"
            log_event(name, **describe(tolerance))

    def gauge(self) -> dict[str, int] | None:
        """Returns how many machines may be lost, and 1 for each region and zone that may be, else 0; None elsewhere."""
        tolerance = self.core.tolerance(clock.now())
        if tolerance is None:
            return None
        rows = {"machines": tolerance.machines}
        rows |= {f"region {place}": 1 for place in tolerance.regions}
        rows |= {f"region {place}": 0 for place in tolerance.critical_regions}
        rows |= {f"zone {place}": 1 for place in tolerance.zones}
        rows |= {f"zone {place}": 0 for place in tolerance.critical_zones}
        return rows


def describe(tolerance: Tolerance) -> dict[str, object]:
    """Returns the losses that the core survives, and the regions and zones whose loss would stop it."""
    return {
        "machines": tolerance.machines,
        "regions": list(tolerance.regions),
        "zones": list(tolerance.zones),
        "critical_regions": list(tolerance.critical_regions),
        "critical_zones": list(tolerance.critical_zones),
    }
