"""Stand-in operators, who change the configuration while a trial runs."""

from __future__ import annotations

import copy
import random
import time
from threading import RLock
from typing import Any

from mallowvalve.localfleet.call import call
from mallowvalve.localfleet.fleet import LocalFleet
from mallowvalve.localfleet.jobs import BackgroundThreads
from mallowvalve.localfleet.judge import OfferedConfiguration


class ConfigurationOperators(BackgroundThreads):
    """Two operators that change the configuration concurrently, and a record of what was acknowledged."""

    def __init__(self, fleet: LocalFleet, seed: int, interval_s: float = 1.0):
        """Lets each operator submit a change every `interval_s` on average."""
        super().__init__([(self._submit_changes, (name,)) for name in ("a", "b")])
        self.fleet, self.interval_s, self.seed = fleet, interval_s, seed
        self._lock = RLock()
        self.rng = random.Random(3)
        self.offers: list[OfferedConfiguration] = [OfferedConfiguration(0.0, 0.0, 0, copy.deepcopy(fleet.shape.config))]
        self.acknowledged: list[tuple[float, float, int]] = []
        self.conflicts = self.failed = 0
        self.ack_times_s: list[float] = []

    def pick_control_port(self, rng: random.Random | None = None) -> int:
        """Returns the web port of a random running control process."""
        controls = self.fleet.with_role("control")
        return (rng or self.rng).choice([process for process in controls if process.is_running] or controls).web_port

    def submit(self, doc: dict, key: str, base: int | None = None, port: int | None = None) -> tuple[int, Any]:
        """Submits a configuration once, records the outcome, and returns the status and body of the answer."""
        begun = time.time()
        status, data, _ = call(
            port or self.pick_control_port(),
            "PUT",
            "/config",
            {"doc": doc, "base": base},
            {"Mallow-Key": key},
            10,
        )
        ended = time.time()
        without_spares = {
            **doc,
            "services": {name: service for name, service in doc["services"].items() if "spare-" not in name},
        }
        if status == 200:
            self.acknowledged.append((begun, ended, data["revision"]))
            self.ack_times_s.append(ended - begun)
            self.offers.append(OfferedConfiguration(begun, ended, data["revision"], without_spares))
        elif status not in (409, 422):
            self.offers.append(OfferedConfiguration(begun, ended, None, without_spares))
        return status, data

    def apply_base(self, doc: dict, name: str) -> bool:
        """Makes `doc` the configuration that all later changes start from, and submits it until it is acknowledged.

        Returns whether one of ten attempts was acknowledged.
        """
        with self._lock:
            self.fleet.shape.config = doc
            for attempt in range(10):
                if self.submit(doc, f"{name}-{attempt}-{time.time()}")[0] == 200:
                    return True
                time.sleep(0.5)
        return False

    def _submit_changes(self, name: str) -> None:
        number, rng, base = 0, random.Random(f"{self.seed}/{name}"), None
        while not self.stop.wait(self.interval_s * (0.5 + rng.random())):
            number += 1
            port = self.pick_control_port(rng)
            with self._lock:
                doc = copy.deepcopy(self.fleet.shape.config)
            doc["services"][f"spare-{name}{number}"] = {}
            base_doc = self.fleet.shape.config
            status, data = self.submit(doc, f"{name}{number}", base, port)
            if base_doc is not self.fleet.shape.config:
                self._reapply_base()
            if status == 200:
                base = data["revision"] if rng.random() < 0.7 else None
            elif status == 409:
                self.conflicts += 1
                base = None
            else:
                self.failed += 1
                print(f"change {name}{number} not acknowledged: {status} {str(data)[:160]}", flush=True)

    def _reapply_base(self) -> None:
        """Submits the base again after a concurrent change that started from the previous base."""
        with self._lock:
            self.apply_base(self.fleet.shape.config, "again")

    def findings(self) -> list[str]:
        """Returns the acknowledged changes that are repeated, out of order, or missing from the configuration."""
        findings = []
        revisions = [revision for _, _, revision in self.acknowledged]
        if len(revisions) != len(set(revisions)):
            findings.append("a revision was acknowledged twice")
        by_end = sorted(self.acknowledged, key=lambda change: change[1])
        for begun, _, revision in self.acknowledged:
            if any(ended < begun and other > revision for _, ended, other in by_end):
                findings.append(f"revision {revision} was acknowledged after a higher one had been")
        status, data, _ = call(self.pick_control_port(), "GET", "/config")
        if status != 200:
            findings.append(f"no read-back: {data}")
        elif revisions and data["revision"] < max(revisions):
            findings.append(f"read back {data['revision']}, {max(revisions)} was acknowledged")
        return findings
