"""Detection times and false ejections of detectors, simulated with fixed seeds.

::

    python -m bench.detection            # all runs, some minutes
    python -m bench.detection --short    # fewer and shorter runs

The project's detector and two baseline detectors judge simulated requests, with the
same seeds for each detector. The requests are those of two example deployments, and of
one service at the request rate of the full-size fleet. Time is virtual.

A detection time starts at the start of the fault, so it includes the wait for the first
request that the fault affects. A fault that is not detected within `FAULT_LENGTH_S`
counts as missed; its detection time is infinite.
"""

import math
import statistics
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Annotated, NamedTuple

import typer

from balsamspindle.settings.documents import Detection
from bench.detection_detectors import (
    ConsecutiveFailures,
    Detector,
    IntervalSuccessRate,
    Sequential,
)
from bench.detection_runs import RunResult, run_service
from bench.detection_traces import DEPLOYMENTS, FAULT_START_S, Fault, Service

__all__ = ["Figures", "Setting", "all_settings", "main", "measure"]

FAULT_LENGTH_S = 120.0
SINGLE_SERVER_FAULTS = (Fault.GRAY, Fault.HALF, Fault.SLOW, Fault.FLAPPING)
# Faults that the baselines can detect too. `Fault.SLOW` is not among them, because the
# baselines judge failures and not latency.
COMPARED_FAULTS = (Fault.GRAY, Fault.HALF, Fault.FLAPPING)
THRESHOLDS = (5.0, 7.0, 8.5, 10.0, 11.0, 12.0, 14.0)
CONSECUTIVE_LIMITS = (1, 2, 3, 4, 5, 7)
INTERVALS = ((5.0, 0.5), (5.0, 0.8), (10.0, 0.5), (10.0, 0.8), (30.0, 0.5), (30.0, 0.8))
INTERVAL_REQUESTS_MIN = 3
# If no event occurs in a time t, the rate of events is below 3 / t, with 95 %
# confidence.
RULE_OF_THREE = 3.0


class Setting(NamedTuple):
    """A detector with one set of values for its parameters.

    The detection times and false ejections that are measured with a setting are one
    point of the detector's curve.
    """

    detector: str
    parameters: tuple[float, ...]

    def make_detector(self, servers: int) -> Detector:
        """Return a new detector for a service with this number of backend servers."""
        return _DETECTOR_FACTORIES[self.detector](servers, *self.parameters)

    def __str__(self) -> str:
        return f"{self.detector} {'/'.join(f'{value:g}' for value in self.parameters)}"


_DETECTOR_FACTORIES: dict[str, Callable[..., Detector]] = {
    "sequential": lambda servers, threshold: Sequential(
        Detection(threshold=threshold), servers
    ),
    "consecutive": lambda servers, limit: ConsecutiveFailures(int(limit), servers),
    "interval": lambda servers, interval_s, success_min: IntervalSuccessRate(
        interval_s, success_min, INTERVAL_REQUESTS_MIN, servers
    ),
}


class Figures(NamedTuple):
    """Figures of one setting in one deployment.

    Attributes
    ----------
    detection_s : dict of Fault to list of float
        Detection time of each run; infinite for a missed fault.
    false_ejections : int
        Ejections in all runs without a fault.
    healthy_server_h : float
        Sum over all runs without a fault: duration in hours, times the number of
        backend servers.
    capacity_lost : dict of Fault to float
        Fraction of the run time of healthy backend servers in which they were
        suspected or on trial.
    answered : dict of Fault to float
        Weight of the requests that were answered, divided by the weight of all
        requests; both from the fault's start on.
    failed_at_flapping_per_h : float
        Number of requests per hour that fail at a flapping backend server.
    first_request_s : list of float
        Time from the start of a gray fault to the first request that was sent to the
        faulty backend server, for each run.
    """

    deployment: str
    setting: Setting
    detection_s: dict[Fault, list[float]]
    false_ejections: int
    healthy_server_h: float
    capacity_lost: dict[Fault, float]
    answered: dict[Fault, float]
    failed_at_flapping_per_h: float
    first_request_s: list[float]

    @property
    def false_rate(self) -> float:
        """False ejections per healthy server-hour."""
        return self.false_ejections / self.healthy_server_h

    def compared_detection_s(self) -> list[float]:
        """Return the detection times of all runs with a fault in `COMPARED_FAULTS`."""
        return [time for fault in COMPARED_FAULTS for time in self.detection_s[fault]]


def all_settings() -> list[Setting]:
    """Return every detector with each of its parameter values to simulate."""
    return [
        *(Setting("sequential", (threshold,)) for threshold in THRESHOLDS),
        *(Setting("consecutive", (limit,)) for limit in CONSECUTIVE_LIMITS),
        *(Setting("interval", interval) for interval in INTERVALS),
    ]


def measure(
    deployment_name: str, setting: Setting, seeds: int, healthy_h: float
) -> Figures:
    """Simulate one deployment with one setting and all faults; return the figures.

    Parameters
    ----------
    seeds : int
        Number of runs of each fault for each service.
    healthy_h : float
        Virtual hours of the run without a fault, in which false ejections are counted.
    """
    deployment = next(
        candidate for candidate in DEPLOYMENTS if candidate.name == deployment_name
    )
    runs: dict[Fault, list[RunResult]] = {fault: [] for fault in Fault}

    def run(service: Service, fault: Fault, seed: str, duration_s: float) -> None:
        detector = setting.make_detector(service.servers)
        runs[fault].append(
            run_service(service, deployment.zones, fault, detector, seed, duration_s)
        )

    for service in deployment.services:
        run(service, Fault.NONE, "healthy", healthy_h * 3600)
        run(service, Fault.FLAPPING, "hour", FAULT_START_S + 3600)
        for seed in range(seeds):
            for fault in Fault:
                if fault is not Fault.NONE:
                    run(service, fault, str(seed), FAULT_START_S + FAULT_LENGTH_S)
    return _summarize_runs(deployment.name, setting, runs, len(deployment.services))


def _summarize_runs(deployment, setting, runs, services) -> Figures:
    healthy = runs[Fault.NONE]
    hour_long = runs[Fault.FLAPPING][:: len(runs[Fault.FLAPPING]) // services]
    return Figures(
        deployment,
        setting,
        {fault: _detection_times(runs[fault]) for fault in SINGLE_SERVER_FAULTS},
        sum(run.false_ejections for run in healthy),
        sum(run.healthy_server_s for run in healthy) / 3600,
        {fault: _capacity_lost(results) for fault, results in runs.items()},
        {fault: _answered_fraction(results) for fault, results in runs.items()},
        statistics.mean(run.failed_at_faulty for run in hour_long),
        [run.first_request_s for run in runs[Fault.GRAY] if run.first_request_s],
    )


def _detection_times(results: list[RunResult]) -> list[float]:
    return [math.inf if run.detection_s is None else run.detection_s for run in results]


def _capacity_lost(results: list[RunResult]) -> float:
    lost_s = sum(run.capacity_lost_s for run in results)
    return lost_s / sum(run.healthy_server_s for run in results)


def _answered_fraction(results: list[RunResult]) -> float:
    return sum(run.answered for run in results) / sum(run.sent for run in results)


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile by nearest rank; infinite values are the largest."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(fraction * len(ordered)) - 1)]


def _print_figures(figures: list[Figures]) -> None:
    print(
        f"{'deployment':12} {'setting':18}"
        + "".join(
            f" {fault.value + ' p50/p95 s':>24}" for fault in SINGLE_SERVER_FAULTS
        )
        + f" {'false/server-h':>15} {'overload lost':>13} {'cut lost':>8}"
        + f" {'answered gray':>13} {'flapping fails/h':>16}"
    )
    for point in figures:
        times = "".join(
            f" {percentile(point.detection_s[fault], 0.5):>15.1f}"
            f"/{percentile(point.detection_s[fault], 0.95):>8.1f}"
            for fault in SINGLE_SERVER_FAULTS
        )
        print(
            f"{point.deployment:12} {point.setting!s:18}{times}"
            f" {_rate_text(point):>15}"
            f" {point.capacity_lost[Fault.OVERLOAD]:>13.2%}"
            f" {point.capacity_lost[Fault.ZONE_CUT]:>8.2%}"
            f" {point.answered[Fault.GRAY]:>13.2%}"
            f" {point.failed_at_flapping_per_h:>16.1f}"
        )


def _rate_text(point: Figures) -> str:
    if point.false_ejections:
        return f"{point.false_rate:.4f}"
    return f"<{RULE_OF_THREE / point.healthy_server_h:.4f}"


def _print_comparison(figures: list[Figures]) -> None:
    """Compare each setting of the baselines with the project's detector.

    For each setting of a baseline, prints two settings of the project's detector:

    - the fastest setting with at most the baseline's rate of false ejections
    - the setting with the fewest false ejections among the settings whose median
      detection time is at most the baseline's
    """
    sequential = [point for point in figures if point.setting.detector == "sequential"]
    first_s = figures[0].first_request_s
    print(
        f"\n{figures[0].deployment}: from a gray fault to the first affected request"
        f" {percentile(first_s, 0.5):.1f}/{percentile(first_s, 0.95):.1f} s p50/p95"
    )
    print(
        "detection times of gray, half-failing and flapping faults; false ejections per"
        " healthy server-hour"
    )
    for baseline in figures:
        if baseline.setting.detector == "sequential":
            continue
        as_accurate = [
            point for point in sequential if point.false_rate <= baseline.false_rate
        ]
        baseline_s = percentile(baseline.compared_detection_s(), 0.5)
        as_fast = [
            point
            for point in sequential
            if percentile(point.compared_detection_s(), 0.5) <= baseline_s
        ]
        print(
            f"{baseline.deployment:12} {baseline.setting!s:18}"
            f" median {baseline_s:5.1f} s, {_rate_text(baseline)} false"
            " ejections/server-h:"
            f" {_describe_speed(as_accurate, baseline_s)};"
            f" {_describe_accuracy(as_fast, baseline)}"
        )


def _describe_speed(as_accurate: list[Figures], baseline_s: float) -> str:
    if not as_accurate:
        return "no sequential setting has as few false ejections"
    best = min(
        as_accurate, key=lambda point: percentile(point.compared_detection_s(), 0.5)
    )
    best_s = percentile(best.compared_detection_s(), 0.5)
    return f"{best.setting} is {baseline_s / best_s:.1f} times faster ({best_s:.1f} s)"


def _describe_accuracy(as_fast: list[Figures], baseline: Figures) -> str:
    if not as_fast:
        return "no sequential setting is as fast as the baseline"
    best = min(as_fast, key=lambda point: (point.false_rate, point.setting.parameters))
    if not baseline.false_ejections:
        return (
            f"{best.setting} is at least as fast as the baseline, with"
            f" {_rate_text(best)} false ejections/server-h"
        )
    if not best.false_ejections:
        ratio_min = baseline.false_ejections / RULE_OF_THREE
        return (
            f"{best.setting} is at least as fast as the baseline, with over"
            f" {ratio_min:.1f} times fewer false ejections"
        )
    ratio = baseline.false_rate / best.false_rate
    return (
        f"{best.setting} is at least as fast as the baseline, with {ratio:.1f} times"
        " fewer false ejections"
    )


def main(
    seeds: Annotated[
        int, typer.Option(help="Runs of each fault for each service.")
    ] = 12,
    healthy_h: Annotated[
        float, typer.Option(help="Virtual hours without a fault.")
    ] = 8.0,
    jobs: Annotated[int, typer.Option(help="Parallel processes.")] = 2,
    short: Annotated[
        bool, typer.Option(help="3 runs of each fault, 1 hour without a fault.")
    ] = False,
) -> None:
    """Print the figures of all settings of the project's detector and the baselines."""
    if short:
        seeds, healthy_h = 3, 1.0
    figures: list[Figures] = []
    with ProcessPoolExecutor(jobs) as executor:
        for deployment in DEPLOYMENTS:
            # A deployment with more requests/s gets fewer runs, so that all deployments
            # simulate about the same number of requests.
            fraction = deployment.run_fraction
            runs = max(1, round(seeds * fraction)), healthy_h * fraction
            tasks = [
                executor.submit(measure, deployment.name, setting, *runs)
                for setting in all_settings()
            ]
            figures += [task.result() for task in tasks]
    print(f"{seeds} runs of each fault, {healthy_h:g} h without a fault")
    _print_figures(figures)
    for deployment in DEPLOYMENTS:
        _print_comparison(
            [point for point in figures if point.deployment == deployment.name]
        )


if __name__ == "__main__":
    typer.run(main)
