"""Applications that use locks, numbers, keys and watches of the control plane while a soak runs."""

from __future__ import annotations

import random
import uuid

import gevent

from mallowvalve import clock
from mallowvalve.localfleet.deployed.control_calls import STATUS_OK, ControlCaller, decode
from mallowvalve.localfleet.deployed.machines import Fleet
from mallowvalve.localfleet.deployed.records import (
    KeyRead,
    KeyWrite,
    LockHold,
    NumberDrawn,
    Records,
    WatchAnswer,
)

STATUS_MISSING = 404
STATUS_GONE = 410
STATUS_STALE_BASE = 412
NUMBERS = ("tickets", "invoices")
KEYS = ("stock.a", "stock.b", "prices.a")
GROUPS = ("stock.", "prices.")
LOCKS = ("leader", "printer")
HOLD_S = 2.0
HOLD_MARGIN_S = 0.3
WATCH_WAIT_S = 1.0
PAUSE_S = 0.15


class Application:
    """A caller with one task, which it repeats until the end."""

    def __init__(self, fleet: Fleet, records: Records, name: str, rng: random.Random):
        """`name` is its name as a holder of locks."""
        self.records, self.name, self.rng = records, name, rng
        self.caller = ControlCaller(fleet, records, rng)

    def run(self, task: int, end: float) -> None:
        """Runs the task of this number (any) until `end` (s, this process's clock)."""
        tasks = [self._draw_number, self._use_key, self._use_lock, self._use_key]
        act = tasks[task % len(tasks)]
        while clock.now() < end:
            act()
            gevent.sleep(self.rng.expovariate(1.0 / PAUSE_S))

    def watch(self, group: str, end: float) -> None:
        """Follows a group of keys until `end`."""
        revision, known_at = 0, clock.now()
        while clock.now() < end:
            path = f"/api/watch/{group}?after={revision}&wait_ms={int(WATCH_WAIT_S * 1000)}"
            answer = self.caller.once("GET", path, timeout_s=2 * WATCH_WAIT_S)
            if answer is None or answer.status not in (STATUS_OK, STATUS_GONE):
                gevent.sleep(PAUSE_S)
                continue
            document = decode(answer)
            events = [(event["name"], event["revision"], event["value"]) for event in document.get("events", [])]
            reached = document.get("revision", 0)
            age_s = clock.now() - known_at
            self.records.watches.append(WatchAnswer(self.name, group, revision, reached, answer.status, age_s, events))
            revision, known_at = reached, clock.now()

    def _draw_number(self) -> None:
        name, begun = self.rng.choice(NUMBERS), clock.now()
        answer = self.caller.until_clear("POST", f"/api/numbers/{name}")
        if answer is not None and answer.status == STATUS_OK:
            self.records.numbers.append(NumberDrawn(name, begun, clock.now(), decode(answer)["value"]))

    def _use_key(self) -> None:
        key, begun = self.rng.choice(KEYS), clock.now()
        answer = self.caller.once("GET", f"/api/cells/{key}")
        if answer is None or answer.status not in (STATUS_OK, STATUS_MISSING):
            return
        document = decode(answer)
        self.records.reads.append(KeyRead(key, begun, clock.now(), document["revision"], document.get("value")))
        value, begun = uuid.uuid4().hex[:12], clock.now()
        written = self.caller.once("PUT", f"/api/cells/{key}", {"value": value, "base": document["revision"]})
        revision: int | None = None
        if written is not None and written.status == STATUS_OK:
            revision = decode(written)["revision"]
        elif written is not None and written.status in (STATUS_STALE_BASE, 429, 503):
            revision = 0
        self.records.writes.append(KeyWrite(key, begun, clock.now(), value, revision))

    def _use_lock(self) -> None:
        name, asked_at = self.rng.choice(LOCKS), clock.now()
        answer = self.caller.once("POST", f"/api/locks/{name}", {"holder": self.name, "hold_ms": HOLD_S * 1000})
        begun = clock.now()
        if answer is None or answer.status != STATUS_OK:
            return
        token = decode(answer)["token"]
        gevent.sleep(max(0.0, min(self.rng.random() * 0.5, asked_at + HOLD_S - HOLD_MARGIN_S - clock.now())))
        ended = min(clock.now(), asked_at + HOLD_S)
        if ended > begun:
            self.records.holds.append(LockHold(name, self.name, asked_at, begun, ended, token))
        self.caller.once("DELETE", f"/api/locks/{name}", {"holder": self.name, "token": token})
