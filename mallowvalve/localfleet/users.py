"""Stand-in applications that use the coordination service while a trial runs."""

from __future__ import annotations

import random
import time
import uuid

from mallowvalve.localfleet.call import call
from mallowvalve.localfleet.fleet import LocalFleet
from mallowvalve.localfleet.history import CoordinationCall, CoordinationHistory, LockHold, WatchEvent
from mallowvalve.localfleet.jobs import BackgroundThreads

MAX_TRIES = 8
OUTCOME_OF_STATUS = {200: "ok", 404: "missing", 409: "conflict", 410: "lost"}


class CoordinationClients(BackgroundThreads):
    """Applications that use keys, locks, numbers and watches; each call is retried under its idempotency key."""

    def __init__(self, fleet: LocalFleet, seed: int, rate: float = 40.0):
        """Sends `rate` calls per second in total."""
        self.fleet, self.history = fleet, CoordinationHistory([], [], [], [])
        self.call_count = self.undecided = 0
        jobs = [
            self._use_keys,
            self._use_keys,
            self._use_keys,
            self._use_lock,
            self._use_lock,
            self._draw_numbers,
            self._draw_numbers,
            self._watch_keys,
            self._watch_keys,
        ]
        self.mean_pause_s = 6 / rate
        super().__init__([(job, (f"u{index}", random.Random(f"{seed}/{index}"))) for index, job in enumerate(jobs)])

    def _pick_control_port(self, rng: random.Random) -> int:
        controls = self.fleet.with_role("control")
        return rng.choice([process for process in controls if process.is_running] or controls).web_port

    def _call_until_decided(self, rng: random.Random, method: str, path: str, body: object = None) -> tuple[int, dict]:
        """Repeats a call under one idempotency key until its outcome is known; status 0 after MAX_TRIES."""
        key = {"Mallow-Key": uuid.uuid4().hex}
        for _ in range(MAX_TRIES):
            status, data, _headers = call(self._pick_control_port(rng), method, path, body, key, 5)
            self.call_count += 1
            if status and status < 500:
                return status, data
            if self.stop.wait(0.2):
                break
        self.undecided += 1
        return 0, {}

    def _pause(self, rng: random.Random) -> bool:
        """Waits for a random time; returns True once the thread shall end."""
        return self.stop.wait(rng.expovariate(1 / self.mean_pause_s))

    def _use_keys(self, client: str, rng: random.Random) -> None:
        number = 0
        while not self._pause(rng):
            number += 1
            name, value, begun = f"k{rng.randrange(3)}", f"{client}.{number}", time.monotonic()
            status, data = self._call_until_decided(rng, "GET", f"/keys/{name}")
            if status not in (200, 404):
                continue
            read = CoordinationCall(
                "read", name, client, begun, time.monotonic(), "ok", data["revision"], data["value"], None, data["at"]
            )
            self.history.ops.append(read)
            base, begun = rng.choice((read.at, read.at, None)), time.monotonic()
            status, data = self._call_until_decided(rng, "PUT", f"/keys/{name}", {"value": value, "base": base})
            ended = time.monotonic()
            outcome = OUTCOME_OF_STATUS.get(status, "undecided")
            self.history.ops.append(
                CoordinationCall("put", name, client, begun, ended, outcome, data.get("number", 0), value, base)
            )

    def _use_lock(self, client: str, rng: random.Random) -> None:
        ttl_s = 3.0
        while not self._pause(rng):
            begun = time.monotonic()
            status, data = self._call_until_decided(
                rng, "POST", "/locks/l/take", {"holder": client, "ttl_ms": int(ttl_s * 1000)}
            )
            acquired_at = time.monotonic()
            if status != 200 or acquired_at > begun + ttl_s - 0.5:
                continue
            self.history.ops.append(CoordinationCall("take", "l", client, begun, acquired_at, "ok", data["number"]))
            self.stop.wait(min(rng.random() * 0.3, begun + ttl_s - acquired_at - 0.2))
            self.history.holds.append(LockHold("l", client, acquired_at, time.monotonic(), data["number"]))
            self._call_until_decided(rng, "POST", "/locks/l/free", {"holder": client, "token": data["number"]})

    def _draw_numbers(self, client: str, rng: random.Random) -> None:
        while not self._pause(rng):
            begun = time.monotonic()
            status, data = self._call_until_decided(rng, "POST", "/numbers/n", {})
            if status == 200:
                self.history.ops.append(
                    CoordinationCall("number", "n", client, begun, time.monotonic(), "ok", data["number"])
                )

    def _watch_keys(self, client: str, rng: random.Random) -> None:
        since = None
        while not self.stop.is_set():
            if since is None:
                status, data, _ = call(self._pick_control_port(rng), "GET", "/keys/k0", None, None, 5)
                since = data["revision"] if status in (200, 404) else None
                continue
            status, data, _ = call(
                self._pick_control_port(rng), "GET", f"/watch?since={since}&prefix=k&wait_ms=1000", None, None, 6
            )
            if status == 410:
                self.history.gaps.append(f"{client} since {since}")
                since = None
            if status != 200:
                self.stop.wait(0.1)
                continue
            since = data["revision"]
            self.history.events += [
                WatchEvent(client, event["revision"], event["name"], event["value"]) for event in data["events"]
            ]
