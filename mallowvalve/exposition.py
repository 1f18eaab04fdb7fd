"""Exposition of counters and gauges in Prometheus's text format.

The text is made from the existing counters at each request, so counting itself costs nothing more
(docs/measurements/metrics.md).
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterator, Mapping

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily, Metric
from prometheus_client.registry import Collector

from mallowvalve.metrics import DistributionSnapshot

PREFIX = "mallowvalve_"
CONTENT_TYPE = CONTENT_TYPE_LATEST
_INVALID_NAME_CHARACTER = re.compile(r"[^a-zA-Z0-9_]")

Gauge = int | float | bool | str | Mapping[str, int | float] | DistributionSnapshot | None
"""A number is one sample; a text or a table of numbers has one labelled sample for each entry; None is left out.

A distribution is a histogram.
"""


class MetricsCollector(Collector):
    """Collects one snapshot of counters and gauges."""

    def __init__(self, counts: Mapping[str, int], gauges: Mapping[str, Gauge]) -> None:
        """Accepts any names; characters that are invalid in metric names become underscores."""
        self._counts = counts
        self._gauges = gauges

    def collect(self) -> Iterator[Metric]:
        """Yields the counters by name, then the gauges."""
        counts: Counter[str] = Counter()
        for name, value in self._counts.items():
            counts[_metric_name(name)] += value
        for name, value in sorted(counts.items()):
            yield CounterMetricFamily(name, "counted since the process started", value=value)
        for name, gauge in sorted(self._gauges.items()):
            if gauge is not None:
                yield _gauge_family(_metric_name(name), gauge)


def _metric_name(name: str) -> str:
    return PREFIX + _INVALID_NAME_CHARACTER.sub("_", name)


def _histogram_family(name: str, snapshot: DistributionSnapshot) -> Metric:
    buckets = [(str(bound), float(count)) for bound, count in zip(snapshot.bounds, snapshot.cumulative, strict=True)]
    family = HistogramMetricFamily(name, "distribution since the process started")
    family.add_metric([], [*buckets, ("+Inf", float(snapshot.count))], snapshot.total)
    return family


def _gauge_family(
    name: str, gauge: int | float | bool | str | Mapping[str, int | float] | DistributionSnapshot
) -> Metric:
    if isinstance(gauge, DistributionSnapshot):
        return _histogram_family(name, gauge)
    if isinstance(gauge, (bool, int, float)):
        return GaugeMetricFamily(name, "as it is now", value=float(gauge))
    rows = {gauge: 1.0} if isinstance(gauge, str) else gauge
    family = GaugeMetricFamily(name, "as it is now", labels=["of"])
    for label, value in sorted(rows.items()):
        family.add_metric([label], float(value))
    return family


def render_metrics(counts: Mapping[str, int], gauges: Mapping[str, Gauge]) -> bytes:
    """Returns the exposition in the format that CONTENT_TYPE names."""
    registry = CollectorRegistry()
    registry.register(MetricsCollector(counts, gauges))
    return generate_latest(registry)
