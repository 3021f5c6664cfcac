"""Counters and histograms as text, for whoever scrapes them.

The library that writes the format is loaded with the first question, as most
instances are never asked and a start is charged.
"""

from collections.abc import Iterator
from typing import Any

from rhubarblock.kernel import metrics as metric_store

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "rhubarblock_"


class _Collector:
    """Gives the library what the metrics hold at the moment of asking."""

    def __init__(self, metrics: metric_store.Metrics):
        self._metrics = metrics

    def collect(self) -> Iterator[Any]:
        from prometheus_client import core

        for name, total in sorted(self._metrics.counts.items()):
            yield core.CounterMetricFamily(_spell(name), name, value=total)
        for name, value in sorted(self._metrics.gauges.items()):
            yield core.GaugeMetricFamily(_spell(name), name, value=value)
        for name, by_kind in sorted(self._metrics.histograms.items()):
            family = core.HistogramMetricFamily(
                _spell(name) + "_seconds", name, labels=["kind"]
            )
            for kind, histogram in sorted(by_kind.items()):
                family.add_metric(
                    [kind], histogram.list_buckets(), histogram.total_s
                )
            yield family


def render(metrics: metric_store.Metrics) -> bytes:
    """Returns all metrics as text."""
    import prometheus_client

    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(metrics))
    text: bytes = prometheus_client.generate_latest(registry)
    return text


def _spell(name: str) -> str:
    return PREFIX + name.replace(".", "_")
