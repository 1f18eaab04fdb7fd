"""Stand-in applications that use coordination while a trial runs."""

from __future__ import annotations

import random
import time
import uuid

from mallowvalve.localfleet.call import call
from mallowvalve.localfleet.fleet import LocalFleet
from mallowvalve.localfleet.history import CoordinationCall, CoordinationHistory, LockHold
from mallowvalve.localfleet.history import WatchEvent as Seen
from mallowvalve.localfleet.jobs import Jobs

TRIES = 8
SAID = {200: "ok", 404: "missing", 409: "conflict", 410: "lost"}


class Coordinators(Jobs):
    """Applications that keep keys, locks and numbers while a trial runs; each call goes again under its key."""

    def __init__(self, fleet: LocalFleet, seed: int, rate: float = 40.0):
        """`rate` calls a second, all together."""
        self.fleet, self.history = fleet, CoordinationHistory([], [], [], [])
        self.calls = self.unsure = 0
        jobs = [
            self._keep,
            self._keep,
            self._keep,
            self._lock,
            self._lock,
            self._number,
            self._number,
            self._watch,
            self._watch,
        ]
        self.pause = 6 / rate
        super().__init__([(j, (f"u{i}", random.Random(f"{seed}/{i}"))) for i, j in enumerate(jobs)])

    def _control(self, rng: random.Random) -> int:
        controls = self.fleet.with_role("control")
        return rng.choice([p for p in controls if p.is_running] or controls).web_port

    def _ask(self, rng: random.Random, method: str, path: str, body=None) -> tuple[int, dict]:
        """The same call under one key until it is decided."""
        key = {"Mallow-Key": uuid.uuid4().hex}
        for _ in range(TRIES):
            status, data, h = call(self._control(rng), method, path, body, key, 5)
            self.calls += 1
            if status and status < 500:
                return status, data
            if self.stop.wait(0.2):
                break
        self.unsure += 1
        return 0, {}

    def _rest(self, rng: random.Random) -> bool:
        return self.stop.wait(rng.expovariate(1 / self.pause))

    def _keep(self, who: str, rng: random.Random) -> None:
        n = 0
        while not self._rest(rng):
            n += 1
            name, value, begun = f"k{rng.randrange(3)}", f"{who}.{n}", time.monotonic()
            status, data = self._ask(rng, "GET", f"/keys/{name}")
            if status not in (200, 404):
                continue
            said = CoordinationCall(
                "read", name, who, begun, time.monotonic(), "ok", data["revision"], data["value"], None, data["at"]
            )
            self.history.ops.append(said)
            base, begun = rng.choice((said.at, said.at, None)), time.monotonic()
            status, data = self._ask(rng, "PUT", f"/keys/{name}", {"value": value, "base": base})
            end = time.monotonic()
            ok = SAID.get(status, "undecided")
            self.history.ops.append(
                CoordinationCall("put", name, who, begun, end, ok, data.get("number", 0), value, base)
            )

    def _lock(self, who: str, rng: random.Random) -> None:
        ttl = 3.0
        while not self._rest(rng):
            begun = time.monotonic()
            status, data = self._ask(rng, "POST", "/locks/l/take", {"holder": who, "ttl_ms": int(ttl * 1000)})
            got = time.monotonic()
            if status != 200 or got > begun + ttl - 0.5:
                continue
            self.history.ops.append(CoordinationCall("take", "l", who, begun, got, "ok", data["number"]))
            self.stop.wait(min(rng.random() * 0.3, begun + ttl - got - 0.2))
            self.history.holds.append(LockHold("l", who, got, time.monotonic(), data["number"]))
            self._ask(rng, "POST", "/locks/l/free", {"holder": who, "token": data["number"]})

    def _number(self, who: str, rng: random.Random) -> None:
        while not self._rest(rng):
            begun = time.monotonic()
            status, data = self._ask(rng, "POST", "/numbers/n", {})
            if status == 200:
                self.history.ops.append(
                    CoordinationCall("number", "n", who, begun, time.monotonic(), "ok", data["number"])
                )

    def _watch(self, who: str, rng: random.Random) -> None:
        since = None
        while not self.stop.is_set():
            if since is None:
                status, data, _ = call(self._control(rng), "GET", "/keys/k0", None, None, 5)
                since = data["revision"] if status in (200, 404) else None
                continue
            status, data, _ = call(
                self._control(rng), "GET", f"/watch?since={since}&prefix=k&wait_ms=1000", None, None, 6
            )
            if status == 410:
                self.history.gaps.append(f"{who} since {since}")
                since = None
            if status != 200:
                self.stop.wait(0.1)
                continue
            since = data["revision"]
            self.history.events += [Seen(who, e["revision"], e["name"], e["value"]) for e in data["events"]]
