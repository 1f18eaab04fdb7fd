"""What a request costs each role, from counters and processor time."""

from __future__ import annotations

import os
import time
from collections import Counter

from mallowvalve.localfleet.call import call
from mallowvalve.localfleet.fleet import FleetProcess, LocalFleet

TICKS = os.sysconf("SC_CLK_TCK")
SHOWN = (
    "requests",
    "transport_frames",
    "transport_bytes",
    "log_batches",
    "log_bytes",
    "log_entries",
    "membership_sent",
    "upstream_connections",
)


class Cost:
    """What each role's processes did between two moments, for each request the clients were answered."""

    def __init__(self, f: LocalFleet):
        """Count from now on."""
        self.f, self.at = f, time.time()
        self.before = {p.name: _snapshot(p) for r in ("proxy", "control", "directory") for p in f.with_role(r)}

    def lines(self) -> list[str]:
        """A line for each role, a request's share of processor time (ms) and counters."""
        seconds = time.time() - self.at
        asked = [r for r in self.f.read_journal("asked.jsonl") if r["at"] > self.at]
        n = max(1, len(asked))
        out = [f"{len(asked) / seconds:.0f} requests a second for {seconds:.0f} s; each request's share, by role:"]
        for role in ("proxy", "control", "directory"):
            total: Counter = Counter()
            for p in self.f.with_role(role):
                now, was = _snapshot(p), self.before[p.name]
                total.update({k: now.get(k, 0) - was.get(k, 0) for k in SHOWN + ("cpu",)})
            parts = [f"{k} {total[k] / n:.2f}" for k in SHOWN if total[k]]
            out.append(
                f"  {role} x{len(self.f.with_role(role))}: {total['cpu'] / n * 1000:.2f} ms CPU, " + ", ".join(parts)
            )
        return out


def _snapshot(p: FleetProcess) -> dict[str, float]:
    status, data, _ = call(p.web_port, "GET", "/-/counts")
    counts = Counter(data["counts"]) if status == 200 else Counter()
    counts["membership_sent"] = sum(v for k, v in counts.items() if k.startswith("membership_sent_"))
    with open(f"/proc/{p.job.pid}/stat") as s:
        fields = s.read().rpartition(")")[2].split()
    return dict(counts) | {"cpu": (int(fields[11]) + int(fields[12])) / TICKS}
