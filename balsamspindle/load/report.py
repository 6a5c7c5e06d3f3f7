"""Report of a load experiment, as data and as lines of text."""

from collections import Counter
from collections.abc import Sequence

import msgspec
from hdrh.histogram import HdrHistogram

from balsamspindle.load.audit import CallResult, Detection, GuaranteeViolations
from balsamspindle.load.ejections import Ejections
from balsamspindle.load.plan import Arrival
from balsamspindle.protocol.outcomes import Outcome
from balsamspindle.timeline import format_event

__all__ = ["KindReport", "Report", "kind_reports", "report_lines"]

LATENCY_MIN_US, LATENCY_MAX_US, SIGNIFICANT_DIGITS = 1, 600_000_000, 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class KindReport(msgspec.Struct, frozen=True):
    """Results of one kind of request.

    Attributes
    ----------
    outcomes : dict of str to int
        Number of requests by outcome, including `no_answer` and `not_connected`.
    answered_200 : int
        Number of correct answers with status 200.
    latency_ms : dict of str to float
        Percentiles of the latency of answered requests, such as ``p99``.
    """

    kind: str
    weight: float
    sent: int
    outcomes: dict[str, int]
    answered_200: int
    latency_ms: dict[str, float]


class Report(msgspec.Struct, frozen=True):
    """Results of an experiment.

    Attributes
    ----------
    answered_weighted : float
        Weight of the correct answers with status 200, as a fraction of the weight of
        all requests.
    late_max_ms : float
        Longest delay of a request behind its schedule. Above some tens of
        milliseconds, the load program or its machine was overloaded.
    counts_missing : list of str
        Backend servers whose run counts could not be read; their runs are not part of
        the audit.
    faults_not_set : list of str
        Starts and ends of faults that a stand-in did not acknowledge, each as
        ``target@seconds``.
    """

    run_id: str
    seed: int
    kinds: list[KindReport]
    answered_weighted: float
    detections: list[Detection]
    ejections: Ejections
    truthfulness: GuaranteeViolations
    late_max_ms: float
    counts_missing: list[str]
    faults_not_set: list[str]


def kind_reports(
    arrivals: Sequence[Arrival], results: Sequence[CallResult]
) -> tuple[list[KindReport], float]:
    """Return the report of each kind, and the weighted fraction of correct answers."""
    kinds = [
        _kind_report(arrival, [r for r in results if r.call.arrival is arrival])
        for arrival in arrivals
    ]
    total_weight = sum(kind.weight * kind.sent for kind in kinds)
    answered_weight = sum(kind.weight * kind.answered_200 for kind in kinds)
    return kinds, answered_weight / total_weight if total_weight else 0.0


def _kind_report(arrival: Arrival, results: list[CallResult]) -> KindReport:
    histogram = HdrHistogram(LATENCY_MIN_US, LATENCY_MAX_US, SIGNIFICANT_DIGITS)
    answered = [r.end for r in results if r.end.outcome == Outcome.ANSWERED]
    for end in answered:
        histogram.record_value(max(LATENCY_MIN_US, int(end.latency_s * 1e6)))
    return KindReport(
        arrival.kind,
        arrival.weight,
        len(results),
        dict(sorted(Counter(r.end.outcome for r in results).items())),
        sum(end.status == 200 and end.fault is None for end in answered),
        {
            f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000
            for percentile in PERCENTILES
            if answered
        },
    )


def report_lines(report: Report) -> list[str]:
    """Return a report as lines of key=value pairs for the terminal."""
    lines = [
        {"kind": kind.kind, "sent": kind.sent, "answered_200": kind.answered_200}
        | kind.outcomes
        | {f"{name}_ms": value for name, value in kind.latency_ms.items()}
        for kind in report.kinds
    ]
    lines.append({"answered_weighted": f"{report.answered_weighted:.4f}"})
    lines += [msgspec.to_builtins(detection) for detection in report.detections]
    lines.append(
        {
            "ejected_with_fault": ",".join(report.ejections.ejected_with_fault),
            "false_ejections": len(report.ejections.false),
            "samples": report.ejections.samples,
        }
    )
    lines += [
        {"false_ejection": false.backend_server}
        | {"from_s": round(false.from_s, 1), "to_s": round(false.to_s, 1)}
        for false in report.ejections.false
    ]
    truth = msgspec.to_builtins(report.truthfulness)
    lines.append({name: len(broken) for name, broken in truth.items()})
    lines += [{name: case} for name, broken in truth.items() for case in broken]
    lines.append(
        {
            "late_max_ms": round(report.late_max_ms, 1),
            "counts_missing": ",".join(report.counts_missing),
            "faults_not_set": ",".join(report.faults_not_set),
        }
    )
    return [format_event(line) for line in lines]
