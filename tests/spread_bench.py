"""Measures how a core of nine spreads its voters again after a region was lost, on real processes.

Usage: python -m tests.spread_bench [ROUNDS [SHARE [CHECKOUT]]]. Prints one JSON line: for each round the seconds from
the last machine's readiness to the even spread, and, from the machines' start to some seconds later, the answers other
than 200 to a caller that puts without a pause, the longest time between two answers, and how many leaders and sets of
voters there were. With 0 rounds one machine is killed each 4, 8 and 14 s for a minute instead.
"""

import json
import random
import signal
import sys
import tempfile
from collections import Counter
from itertools import pairwise
from pathlib import Path

import gevent
import msgspec

from mallowvalve import clock
from mallowvalve.localfleet.deployed.control_calls import ControlCaller, decode
from mallowvalve.localfleet.deployed.machines import Fleet, ProcessorShare
from mallowvalve.localfleet.deployed.operator import Operator
from mallowvalve.localfleet.deployed.records import Records
from mallowvalve.localfleet.deployed.shape import load_deploy_file, load_shape
from mallowvalve.localfleet.deployed.watch import answers_readiness

ROOT = Path(__file__).parent.parent
SHAPE = msgspec.structs.replace(load_shape(ROOT / "examples/hostsoak-nine.json").unwrap(), edge=1)
VOTERS = 5
EVEN = [2, 2, 1]
OUTAGE_S = 8.0
READY_LIMIT_S = 60.0
SPREAD_LIMIT_S = 20.0
PERIOD_S = 0.25
POLL_S = 0.02
SETTLED_S = 4.0
FLAPPING_S = 60.0
FLAPPING_PERIODS_S = (4.0, 8.0, 14.0)
OK = 200


class Puts:
    """A caller that puts without a pause; `answers` are the statuses and times."""

    def __init__(self, fleet):
        self.caller = ControlCaller(fleet, Records(), random.Random(1))
        self.answers = []
        self.job = gevent.spawn(self._run)

    def _run(self):
        number = 0
        while True:
            number += 1
            answer = self.caller.once("PUT", f"/api/cells/g.k{number % 10}", {"value": str(number)})
            self.answers.append((clock.now(), answer.status if answer is not None else 0))


class Watch:
    """The leaders and the sets of voters that were seen since a region's machines were started."""

    def __init__(self, core):
        self.core, self.leaders, self.placements = core, set(), set()
        self.job = gevent.spawn(self._run)

    def _run(self):
        while True:
            status = self.core.status()
            if status.get("leader"):
                self.leaders.add((status["leader"], status["term"]))
                self.placements.add(tuple(status["voters"]))
            gevent.sleep(POLL_S)


class Core:
    """What the control processes say of the core."""

    def __init__(self, fleet):
        self.fleet, self.caller = fleet, ControlCaller(fleet, Records(), random.Random(2))
        self.regions = {machine.address: fleet.shape.zones[machine.zone] for machine in fleet.core}

    def status(self):
        answer = self.caller.once("GET", "/leader")
        return decode(answer) if answer is not None and answer.status == OK else {}

    def voters(self):
        return Counter(self.regions[text.partition(":")[0]] for text in self.status().get("voters", ()))

    def is_even(self):
        return sorted(self.voters().values(), reverse=True) == EVEN


def wait_until(condition, limit_s):
    end = clock.now() + limit_s
    while clock.now() < end:
        if condition():
            return True
        gevent.sleep(POLL_S)
    return False


def await_ready(machines):
    for machine in machines:
        assert wait_until(lambda m=machine: answers_readiness(m, 1.0) == OK, READY_LIMIT_S), machine.last_lines()


def lose_and_measure(fleet, core, puts, region):
    lost = [machine for machine in fleet.core if core.regions[machine.address] == region]
    for machine in lost:
        machine.signal(signal.SIGKILL)
    for machine in lost:
        machine.kill()
    gevent.sleep(OUTAGE_S)
    started_at = clock.now()
    for machine in lost:
        machine.start()
    watch = Watch(core)
    await_ready(lost)
    ready_at = clock.now()
    spread = wait_until(core.is_even, SPREAD_LIMIT_S)
    even_at = clock.now()
    gevent.sleep(SETTLED_S)
    watch.job.kill()
    window = [(at, status) for at, status in puts.answers if at >= started_at]
    times = [started_at, *(at for at, _ in window)]
    return {
        "region": region,
        "ready_after_s": round(ready_at - started_at, 2),
        "even_after_ready_s": round(even_at - ready_at, 2) if spread else None,
        "voters": dict(core.voters()),
        "puts": len(window),
        "not_200": dict(Counter(status for _, status in window if status != OK)),
        "longest_pause_s": round(max(later - earlier for earlier, later in pairwise(times)), 2),
        "leaders": len(watch.leaders),
        "placements": len(watch.placements),
    }


def flap(fleet, core, puts, period_s):
    """Kills one machine of a core again and again for a minute; returns what a caller and the configuration saw."""
    machine = fleet.core[-1]
    started_at, watch = clock.now(), Watch(core)
    while clock.now() < started_at + FLAPPING_S:
        machine.kill()
        machine.start()
        gevent.sleep(period_s)
    watch.job.kill()
    window = [(at, status) for at, status in puts.answers if at >= started_at]
    return {
        "period_s": period_s,
        "puts": len(window),
        "not_200": dict(Counter(status for _, status in window if status != OK)),
        "longest_pause_s": round(max(later - earlier for (earlier, _), (later, _) in pairwise(window)), 2),
        "leaders": len(watch.leaders),
        "placements": len(watch.placements),
    }


def main(rounds, share, root):
    with (
        tempfile.TemporaryDirectory() as folder,
        Fleet(SHAPE, root, load_deploy_file(root).unwrap(), Path(folder)) as fleet,
    ):
        records = Records()
        assert Operator(fleet, records, random.Random(0)).apply_first()
        await_ready(fleet.core)
        core = Core(fleet)
        wait_until(core.is_even, 10.0)
        founded = dict(core.voters())
        with ProcessorShare(fleet.machines, share, PERIOD_S, random.Random(4)):
            puts = Puts(fleet)
            gevent.sleep(2.0)
            rows = []
            for turn in range(rounds):
                counts = core.voters()
                region = (
                    max(sorted(counts), key=lambda name: counts[name])
                    if turn % 2
                    else min(sorted(counts), key=counts.get)
                )
                rows.append(lose_and_measure(fleet, core, puts, region))
                gevent.sleep(1.0)
            flaps = [] if rounds else [flap(fleet, core, puts, period_s) for period_s in FLAPPING_PERIODS_S]
            puts.job.kill()
    print(json.dumps({"share": share, "founded": founded, "rounds": rows, "flaps": flaps}))
    known = sorted(row["even_after_ready_s"] for row in rows if row["even_after_ready_s"] is not None)
    if known:
        print(f"even in {len(known)} of {rounds}: p50 {known[len(known) // 2]} s, most {known[-1]} s")


if __name__ == "__main__":
    main(
        int(sys.argv[1]) if len(sys.argv) > 1 else 3,
        float(sys.argv[2]) if len(sys.argv) > 2 else 1.0,
        Path(sys.argv[3]).resolve() if len(sys.argv) > 3 else ROOT,
    )
