"""Stand-in operators, who change the configuration while a trial runs."""

from __future__ import annotations

import copy
import random
import time
from threading import RLock

from mallowvalve.localfleet.call import call
from mallowvalve.localfleet.fleet import LocalFleet
from mallowvalve.localfleet.jobs import Jobs
from mallowvalve.localfleet.judge import OfferedConfiguration


class Operators(Jobs):
    """Two that change the configuration at once while a trial runs, and remember what was acknowledged."""

    def __init__(self, fleet: LocalFleet, seed: int, every: float = 1.0):
        """Each changes something every `every` seconds on average."""
        super().__init__([(self._change, (who,)) for who in ("a", "b")])
        self.fleet, self.every, self.seed = fleet, every, seed
        self.lock = RLock()
        self.rng = random.Random(3)
        self.offers: list[OfferedConfiguration] = [OfferedConfiguration(0.0, 0.0, 0, copy.deepcopy(fleet.shape.config))]
        self.acked: list[tuple[float, float, int]] = []
        self.refused = self.failed = 0
        self.ack_times: list[float] = []

    def control(self, rng: random.Random | None = None) -> int:
        """The web port of a control process that runs, by chance."""
        controls = self.fleet.with_role("control")
        return (rng or self.rng).choice([p for p in controls if p.is_running] or controls).web_port

    def put(self, doc: dict, key: str, base: int | None = None, control: int | None = None) -> tuple[int, object]:
        """Offers a configuration once and notes what was said."""
        begun = time.time()
        status, data, _ = call(
            control or self.control(), "PUT", "/config", {"doc": doc, "base": base}, {"Mallow-Key": key}, 10
        )
        end, plain = time.time(), {**doc, "services": {n: s for n, s in doc["services"].items() if "spare-" not in n}}
        if status == 200:
            self.acked.append((begun, end, data["revision"]))
            self.ack_times.append(end - begun)
            self.offers.append(OfferedConfiguration(begun, end, data["revision"], plain))
        elif status not in (409, 422):
            self.offers.append(OfferedConfiguration(begun, end, None, plain))
        return status, data

    def settle(self, doc: dict, name: str) -> bool:
        """Makes this the configuration that all later changes start from, and returns once it is in force."""
        with self.lock:
            self.fleet.shape.config = doc
            for i in range(10):
                if self.put(doc, f"{name}-{i}-{time.time()}")[0] == 200:
                    return True
                time.sleep(0.5)
        return False

    def _change(self, who: str) -> None:
        n, rng, base = 0, random.Random(f"{self.seed}/{who}"), None
        while not self.stop.wait(self.every * (0.5 + rng.random())):
            n += 1
            control = self.control(rng)
            with self.lock:
                doc = copy.deepcopy(self.fleet.shape.config)
            doc["services"][f"spare-{who}{n}"] = {}
            known = self.fleet.shape.config
            status, data = self.put(doc, f"{who}{n}", base, control)
            if known is not self.fleet.shape.config:
                self._repair()
            if status == 200:
                base = data["revision"] if rng.random() < 0.7 else None
            elif status == 409:
                self.refused += 1
                base = None
            else:
                self.failed += 1
                print(f"change {who}{n} not acknowledged: {status} {str(data)[:160]}", flush=True)

    def _repair(self) -> None:
        """An act settled another configuration while this change was on its way: that one shall win."""
        with self.lock:
            self.settle(self.fleet.shape.config, "again")

    def findings(self) -> list[str]:
        """What of the acknowledged changes does not hold."""
        out = []
        rs = [r for _, _, r in self.acked]
        if len(rs) != len(set(rs)):
            out.append("a revision was acknowledged twice")
        by_end = sorted(self.acked, key=lambda x: x[1])
        for begun, _, r in self.acked:
            if any(e < begun and x > r for _, e, x in by_end):
                out.append(f"revision {r} was acknowledged after a higher one had been")
        status, data, _ = call(self.control(), "GET", "/config")
        if status != 200:
            out.append(f"no read-back: {data}")
        elif rs and data["revision"] < max(rs):
            out.append(f"read back {data['revision']}, {max(rs)} was acknowledged")
        return out
