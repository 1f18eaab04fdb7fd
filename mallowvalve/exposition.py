"""Counters and gauges in the text format of Prometheus, made when they are asked for.

A collector over the present counters: counting costs what it cost before. Measured in docs/measurements/metrics.md.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterator, Mapping

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

PREFIX = "mallowvalve_"
CONTENT_TYPE = CONTENT_TYPE_LATEST
_NOT_IN_A_NAME = re.compile(r"[^a-zA-Z0-9_]")

Gauge = int | float | bool | str | Mapping[str, int | float] | None
"""A number as it is; a text or a table of numbers becomes one line for each of them, with a label; None is left out."""


class MetricsCollector(Collector):
    """One moment's counters and gauges."""

    def __init__(self, counts: Mapping[str, int], gauges: Mapping[str, Gauge]) -> None:
        """Names may hold any characters; those that no metric's name has become underscores."""
        self._counts = counts
        self._gauges = gauges

    def collect(self) -> Iterator[Metric]:
        """Counters by name, then gauges."""
        counts: Counter[str] = Counter()
        for name, value in self._counts.items():
            counts[_metric(name)] += value
        for name, value in sorted(counts.items()):
            yield CounterMetricFamily(name, "counted since the process started", value=value)
        for name, gauge in sorted(self._gauges.items()):
            if gauge is not None:
                yield _family(_metric(name), gauge)


def _metric(name: str) -> str:
    return PREFIX + _NOT_IN_A_NAME.sub("_", name)


def _family(name: str, gauge: int | float | bool | str | Mapping[str, int | float]) -> Metric:
    if isinstance(gauge, (bool, int, float)):
        return GaugeMetricFamily(name, "as it is now", value=float(gauge))
    rows = {gauge: 1.0} if isinstance(gauge, str) else gauge
    family = GaugeMetricFamily(name, "as it is now", labels=["of"])
    for label, value in sorted(rows.items()):
        family.add_metric([label], float(value))
    return family


def render_metrics(counts: Mapping[str, int], gauges: Mapping[str, Gauge]) -> bytes:
    """The page, in the format that CONTENT_TYPE names."""
    registry = CollectorRegistry()
    registry.register(MetricsCollector(counts, gauges))
    return generate_latest(registry)
