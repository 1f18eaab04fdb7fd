"""Measures what a request costs each role in processor time and counted events."""

from __future__ import annotations

import os
import time
from collections import Counter

from mallowvalve.localfleet.call import call
from mallowvalve.localfleet.fleet import FleetProcess, LocalFleet

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
REPORTED_COUNTERS = (
    "requests",
    "transport_frames",
    "transport_bytes",
    "log_batches",
    "log_bytes",
    "log_entries",
    "membership_sent",
    "upstream_connections",
)


class RequestCost:
    """The work of each role's processes since the measurement began, divided by the requests of the clients."""

    def __init__(self, fleet: LocalFleet):
        """Starts the measurement; `started_at` is its wall clock time (s)."""
        self.fleet, self.started_at = fleet, time.time()
        self.before = {
            process.name: _snapshot(process)
            for role in ("proxy", "control", "directory")
            for process in fleet.with_role(role)
        }

    def lines(self) -> list[str]:
        """Returns a line per role with the processor time (ms) and the counters per request."""
        seconds = time.time() - self.started_at
        requests = [row for row in self.fleet.read_journal("asked.jsonl") if row["at"] > self.started_at]
        count = max(1, len(requests))
        lines = [f"{len(requests) / seconds:.0f} requests a second for {seconds:.0f} s; each request's share, by role:"]
        for role in ("proxy", "control", "directory"):
            total: Counter = Counter()
            for process in self.fleet.with_role(role):
                now, before = _snapshot(process), self.before[process.name]
                total.update({name: now.get(name, 0) - before.get(name, 0) for name in REPORTED_COUNTERS + ("cpu",)})
            parts = [f"{name} {total[name] / count:.2f}" for name in REPORTED_COUNTERS if total[name]]
            lines.append(
                f"  {role} x{len(self.fleet.with_role(role))}: {total['cpu'] / count * 1000:.2f} ms CPU, "
                + ", ".join(parts)
            )
        return lines


def _snapshot(process: FleetProcess) -> dict[str, float]:
    """Returns the counters of a process and, as `cpu`, its processor time (s)."""
    status, data, _ = call(process.web_port, "GET", "/-/counts")
    counts = Counter(data["counts"]) if status == 200 else Counter()
    counts["membership_sent"] = sum(value for name, value in counts.items() if name.startswith("membership_sent_"))
    with open(f"/proc/{process.pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return dict(counts) | {"cpu": (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S}
