"""Metrics in the Prometheus text format."""

from collections.abc import Iterable, Iterator
from typing import Protocol

from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    generate_latest,
)
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from balsamspindle.metrics.recorder import MetricsReport

__all__ = ["CONTENT_TYPE_LATEST", "prometheus_text"]

LATENCY_NAME = "balsamspindle_hop_latency_seconds"


class SupportsGauge(Protocol):
    """A current value with its labels; `text` is the help text of the metric."""

    name: str
    text: str
    value: float
    labels: dict[str, str]


def prometheus_text(
    report: MetricsReport, gauges: Iterable[SupportsGauge] = ()
) -> bytes:
    """Return a report and current gauges in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(_ReportCollector(report))
    registry.register(_GaugeCollector(list(gauges)))
    return generate_latest(registry)


class _GaugeCollector(Collector):
    def __init__(self, gauges: list[SupportsGauge]) -> None:
        self._gauges = gauges

    def collect(self) -> Iterator[Metric]:
        families: dict[str, GaugeMetricFamily] = {}
        for gauge in self._gauges:
            family = families.get(gauge.name)
            if family is None:
                family = families[gauge.name] = GaugeMetricFamily(
                    gauge.name, gauge.text, labels=list(gauge.labels)
                )
            family.add_metric(list(gauge.labels.values()), gauge.value)
        yield from families.values()


class _ReportCollector(Collector):
    def __init__(self, report: MetricsReport) -> None:
        self._report = report

    def collect(self) -> Iterator[Metric]:
        yield self._latencies()
        outcomes = CounterMetricFamily(
            "balsamspindle_requests",
            "Ended requests by service and outcome.",
            labels=("service", "outcome"),
        )
        for service, counts in self._report.outcomes.items():
            for outcome, count in counts.items():
                outcomes.add_metric((service, outcome), count)
        yield outcomes
        events = CounterMetricFamily(
            "balsamspindle_events", "Events of the time line.", labels=("event",)
        )
        for event, count in self._report.events.items():
            events.add_metric((event,), count)
        yield events
        # An attempt is counted if it was interrupted while a backend server ran it. The
        # label `cause` is a `CancelCause`.
        cuts = CounterMetricFamily(
            "balsamspindle_attempts_cut",
            "Attempts cut at backend servers by cause.",
            labels=("cause",),
        )
        for cause, count in self._report.cuts.items():
            cuts.add_metric((cause,), count)
        yield cuts
        lost_calls = CounterMetricFamily(
            "balsamspindle_calls_lost",
            "Calls of backend servers beside the node that were lost, by cause.",
            labels=("service", "cause"),
        )
        for service, counts in self._report.lost_calls.items():
            for cause, count in counts.items():
                lost_calls.add_metric((service, cause), count)
        yield lost_calls

    def _latencies(self) -> Metric:
        metric = Metric(LATENCY_NAME, "Time that each hop took.", "summary")
        for hop, latency in self._report.hops.items():
            labels = {"hop": hop}
            for quantile, value_ms in (
                ("0.5", latency.p50_ms),
                ("0.99", latency.p99_ms),
                ("0.999", latency.p999_ms),
            ):
                metric.add_sample(
                    LATENCY_NAME, {**labels, "quantile": quantile}, value_ms / 1000
                )
            metric.add_sample(f"{LATENCY_NAME}_count", labels, latency.count)
            metric.add_sample(f"{LATENCY_NAME}_sum", labels, latency.total_ms / 1000)
        return metric
