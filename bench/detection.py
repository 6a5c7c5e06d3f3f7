"""Detection time against false ejections, over seeded traces in virtual time.

::

    python -m bench.detection            # the curves, some minutes
    python -m bench.detection --short    # the regression bounds, seconds

The project's detector and two baselines judge the same traces of the two
deployments, and of one service at the rate that the long run expects. Times
run from a fault's start, with the wait for the first request that meets it; a
fault that was not detected in two minutes counts as missed and stands at the
end of the order.
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

__all__ = ["Figures", "Setting", "main", "measure", "settings"]

FAULT_LENGTH_S = 120.0
SICK_FAULTS = (Fault.GRAY, Fault.HALF, Fault.SLOW, Fault.FLAPPING)
# What the baselines can see at all: failures.
COMPARED_FAULTS = (Fault.GRAY, Fault.HALF, Fault.FLAPPING)
THRESHOLDS = (5.0, 7.0, 8.5, 10.0, 11.0, 12.0, 14.0)
CONSECUTIVE = (1, 2, 3, 4, 5, 7)
INTERVALS = ((5.0, 0.5), (5.0, 0.8), (10.0, 0.5), (10.0, 0.8), (30.0, 0.5), (30.0, 0.8))
INTERVAL_REQUESTS_MIN = 3
# With no event seen in a time, the rate is below this many over that time,
# with 95% confidence.
RULE_OF_THREE = 3.0


class Setting(NamedTuple):
    """One point of one detector's curve."""

    detector: str
    value: tuple[float, ...]

    def make(self, servers: int) -> Detector:
        """Return a new detector for one service."""
        return _MAKERS[self.detector](servers, *self.value)

    def __str__(self) -> str:
        return f"{self.detector} {'/'.join(f'{value:g}' for value in self.value)}"


_MAKERS: dict[str, Callable[..., Detector]] = {
    "sequential": lambda servers, threshold: Sequential(
        Detection(threshold=threshold), servers
    ),
    "consecutive": lambda servers, limit: ConsecutiveFailures(int(limit), servers),
    "interval": lambda servers, interval_s, success_min: IntervalSuccessRate(
        interval_s, success_min, INTERVAL_REQUESTS_MIN, servers
    ),
}


class Figures(NamedTuple):
    """What one setting did in one deployment.

    Attributes
    ----------
    detection_s : dict of Fault to list of float
        One for each run; infinite when missed.
    false_ejections : int
        In healthy runs of `healthy_server_h` together.
    capacity_lost : dict of Fault to float
        Part of healthy server-time that was suspected.
    answered : dict of Fault to float
        Part of the requests that was answered, weighted by kind.
    failed_at_flapping_per_h : float
        Requests that failed at a flapping backend server, an hour.
    first_request_s : list of float
        The wait for the first request that met the gray fault.
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

    def compared_s(self) -> list[float]:
        """Return the detection times that baselines can have, too."""
        return [time for fault in COMPARED_FAULTS for time in self.detection_s[fault]]


def settings() -> list[Setting]:
    """Return all points of all curves."""
    return [
        *(Setting("sequential", (threshold,)) for threshold in THRESHOLDS),
        *(Setting("consecutive", (limit,)) for limit in CONSECUTIVE),
        *(Setting("interval", interval) for interval in INTERVALS),
    ]


def measure(
    deployment_name: str, setting: Setting, seeds: int, healthy_h: float
) -> Figures:
    """Run one setting over all faults of one deployment.

    Parameters
    ----------
    healthy_h : float
        Virtual hours without a fault, for false ejections.
    """
    deployment = next(known for known in DEPLOYMENTS if known.name == deployment_name)
    runs: dict[Fault, list[RunResult]] = {fault: [] for fault in Fault}

    def run(service: Service, fault: Fault, seed: str, duration_s: float) -> None:
        detector = setting.make(service.servers)
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
    return _figures(deployment.name, setting, runs, len(deployment.services))


def _figures(deployment, setting, runs, services) -> Figures:
    healthy = runs[Fault.NONE]
    hour_long = runs[Fault.FLAPPING][:: len(runs[Fault.FLAPPING]) // services]
    return Figures(
        deployment,
        setting,
        {fault: _detections(runs[fault]) for fault in SICK_FAULTS},
        sum(run.false_ejections for run in healthy),
        sum(run.healthy_server_s for run in healthy) / 3600,
        {fault: _lost(results) for fault, results in runs.items()},
        {fault: _answered(results) for fault, results in runs.items()},
        statistics.mean(run.failed_at_sick for run in hour_long),
        [run.first_request_s for run in runs[Fault.GRAY] if run.first_request_s],
    )


def _detections(results: list[RunResult]) -> list[float]:
    return [math.inf if run.detection_s is None else run.detection_s for run in results]


def _lost(results: list[RunResult]) -> float:
    lost_s = sum(run.capacity_lost_s for run in results)
    return lost_s / sum(run.healthy_server_s for run in results)


def _answered(results: list[RunResult]) -> float:
    return sum(run.answered for run in results) / sum(run.asked for run in results)


def percentile(values: list[float], share: float) -> float:
    """Return a percentile by nearest rank; infinite ones are last."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]


def _print_figures(figures: list[Figures]) -> None:
    print(
        f"{'deployment':12} {'setting':18}"
        + "".join(f" {fault.value + ' p50/p95 s':>24}" for fault in SICK_FAULTS)
        + f" {'false/server-h':>15} {'overload lost':>13} {'cut lost':>8}"
        + f" {'answered gray':>13} {'flapping fails/h':>16}"
    )
    for point in figures:
        times = "".join(
            f" {percentile(point.detection_s[fault], 0.5):>15.1f}"
            f"/{percentile(point.detection_s[fault], 0.95):>8.1f}"
            for fault in SICK_FAULTS
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
    """Hold each baseline point against the detector's nearest ones."""
    ours = [point for point in figures if point.setting.detector == "sequential"]
    first_s = figures[0].first_request_s
    print(
        f"\n{figures[0].deployment}: the first request meets the gray fault after"
        f" {percentile(first_s, 0.5):.1f}/{percentile(first_s, 0.95):.1f} s p50/p95"
    )
    print("at the same false ejections: detection of gray, half-failing, flapping")
    for baseline in figures:
        if baseline.setting.detector == "sequential":
            continue
        as_careful = [
            point for point in ours if point.false_rate <= baseline.false_rate
        ]
        its_s = percentile(baseline.compared_s(), 0.5)
        as_fast = [
            point for point in ours if percentile(point.compared_s(), 0.5) <= its_s
        ]
        print(
            f"{baseline.deployment:12} {baseline.setting!s:18} median {its_s:5.1f} s,"
            f" false {_rate_text(baseline)}:"
            f" {_faster(as_careful, its_s)}; {_safer(as_fast, baseline)}"
        )


def _faster(as_careful: list[Figures], its_s: float) -> str:
    if not as_careful:
        return "none of ours errs as rarely"
    best = min(as_careful, key=lambda point: percentile(point.compared_s(), 0.5))
    best_s = percentile(best.compared_s(), 0.5)
    return f"{best.setting} is {its_s / best_s:.1f} times faster ({best_s:.1f} s)"


def _safer(as_fast: list[Figures], baseline: Figures) -> str:
    if not as_fast:
        return "none of ours is as fast"
    best = min(as_fast, key=lambda point: (point.false_rate, point.setting.value))
    if not baseline.false_ejections:
        return f"{best.setting} is as fast at {_rate_text(best)}"
    if not best.false_ejections:
        least = baseline.false_ejections / RULE_OF_THREE
        return f"{best.setting} is as fast with over {least:.1f} times fewer"
    ratio = baseline.false_rate / best.false_rate
    return f"{best.setting} is as fast with {ratio:.1f} times fewer"


def main(
    seeds: Annotated[int, typer.Option(help="Runs of each fault.")] = 12,
    healthy_h: Annotated[
        float, typer.Option(help="Virtual hours without a fault.")
    ] = 8.0,
    jobs: Annotated[int, typer.Option(help="Processes at once.")] = 2,
    short: Annotated[bool, typer.Option(help="Few seeds, one hour.")] = False,
) -> None:
    """Print the curves of the detector and the baselines."""
    if short:
        seeds, healthy_h = 3, 1.0
    figures: list[Figures] = []
    with ProcessPoolExecutor(jobs) as executor:
        for deployment in DEPLOYMENTS:
            # Equal numbers of requests, whatever a deployment's rates.
            share = deployment.bench_share
            runs = max(1, round(seeds * share)), healthy_h * share
            tasks = [
                executor.submit(measure, deployment.name, setting, *runs)
                for setting in settings()
            ]
            figures += [task.result() for task in tasks]
    print(f"{seeds} seeds a fault, {healthy_h:g} h without a fault")
    _print_figures(figures)
    for deployment in DEPLOYMENTS:
        _print_comparison(
            [point for point in figures if point.deployment == deployment.name]
        )


if __name__ == "__main__":
    typer.run(main)
