"""Renders the metrics in the Prometheus text format.

The Prometheus client is imported on the first scrape. Most instances are never
scraped, and each start is charged for, so the import would add to its cost.
"""

from collections.abc import Iterator
from typing import Any

from rhubarblock.kernel import metrics as metric_store

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "rhubarblock_"


class _Collector:
    """Passes the current metrics to the Prometheus client."""

    def __init__(self, metrics: metric_store.Metrics):
        self._metrics = metrics

    def collect(self) -> Iterator[Any]:
        from prometheus_client import core

        for name, total in sorted(self._metrics.counts.items()):
            yield core.CounterMetricFamily(
                _format_name(name), name, value=total
            )
        for name, value in sorted(self._metrics.gauges.items()):
            yield core.GaugeMetricFamily(_format_name(name), name, value=value)
        for name, by_kind in sorted(self._metrics.histograms.items()):
            family = core.HistogramMetricFamily(
                _format_name(name) + "_seconds", name, labels=["kind"]
            )
            for kind, histogram in sorted(by_kind.items()):
                family.add_metric(
                    [kind], histogram.list_buckets(), histogram.total_s
                )
            yield family


def render(metrics: metric_store.Metrics) -> bytes:
    """Returns all metrics in the Prometheus text format."""
    import prometheus_client

    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(metrics))
    text: bytes = prometheus_client.generate_latest(registry)
    return text


def _format_name(name: str) -> str:
    return PREFIX + name.replace(".", "_")
