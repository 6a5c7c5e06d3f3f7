"""Experiment: sends requests, injects faults and collects the run counts."""

import threading
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor

from balsamspindle.load.audit import CallResult, audit, measure_detections
from balsamspindle.load.caller import Caller
from balsamspindle.load.ejections import EjectionSampler
from balsamspindle.load.http_json import request_json
from balsamspindle.load.plan import LoadPlan
from balsamspindle.load.report import Report, kind_reports
from balsamspindle.load.schedule import (
    FaultChange,
    ScheduledCall,
    schedule_calls,
    schedule_faults,
)

__all__ = ["run_experiment"]

# A backend server may be held out for this long after the end of its fault. If a sample
# after this time shows the backend server as ejected, the ejection counts as false.
READMISSION_GRACE_S = 30.0


def run_experiment(plan: LoadPlan, run_id: str) -> Report:
    """Run a plan to its end and return the report.

    Parameters
    ----------
    run_id : str
        Prefix of each run key. It must differ between experiments with the same
        backend servers, because a backend server also returns the run counts of earlier
        experiments.
    """
    experiment = _Experiment(plan, run_id)
    results = experiment.run()
    runs = {
        name: _fetch_run_counts(address)
        for name, address in plan.backend_servers.items()
    }
    known = {name: counts for name, counts in runs.items() if counts is not None}
    kinds, answered_weighted = kind_reports(plan.arrivals, results)
    return Report(
        run_id=run_id,
        seed=plan.seed,
        kinds=kinds,
        answered_weighted=answered_weighted,
        detections=measure_detections(
            results,
            known,
            plan.faults,
            plan.quiet_s,
            experiment.sampler.first_ejected_s,
        ),
        ejections=experiment.sampler.classify(plan.faults, READMISSION_GRACE_S),
        truthfulness=audit(results, known),
        late_max_ms=1000 * max((r.sent_s - r.call.at_s for r in results), default=0.0),
        counts_missing=sorted(set(runs) - set(known)),
        faults_not_set=experiment.faults_not_set,
    )


def _fetch_run_counts(address: str) -> dict[str, int] | None:
    report = request_json(address, "/runs")
    return None if report is None else report["runs"]


class _Experiment:
    def __init__(self, plan: LoadPlan, run_id: str) -> None:
        self._plan = plan
        self._calls = schedule_calls(plan, run_id)
        self._changes = schedule_faults(plan.faults)
        self._caller = Caller(plan.nodes)
        self._stopped = threading.Event()
        self._start_s = 0.0
        self.sampler = EjectionSampler(plan.node_admins, self._now_s)
        self.faults_not_set: list[str] = []

    def run(self) -> list[CallResult]:
        """Send all requests and return their results."""
        self._start_s = time.monotonic()
        with ThreadPoolExecutor(2, "experiment") as tasks:
            sampling = tasks.submit(self.sampler.run)
            setting_faults = tasks.submit(self._set_faults, self._changes)
            try:
                results = self._send(self._calls)
            finally:
                self._stopped.set()
                self.sampler.stop()
            # Raise the exception of a failed task. Without it, the experiment would
            # report that it found no problems, although the task that samples ejections
            # or the task that sets faults had failed.
            sampling.result()
            setting_faults.result()
        return results

    def _now_s(self) -> float:
        return time.monotonic() - self._start_s

    def _send(self, calls: Sequence[ScheduledCall]) -> list[CallResult]:
        with ThreadPoolExecutor(self._plan.workers, "caller") as executor:
            pending = []
            for call in calls:
                time.sleep(max(0.0, call.at_s - self._now_s()))
                pending.append(executor.submit(self._send_one, call))
            return [future.result() for future in pending]

    def _send_one(self, call: ScheduledCall) -> CallResult:
        sent_s = self._now_s()
        return CallResult(call, sent_s, self._caller.call(call))

    def _set_faults(self, changes: Sequence[FaultChange]) -> None:
        """Set and end each fault at its time.

        When the experiment stops, all faults are ended at once and no more are set.
        """
        for change in changes:
            self._stopped.wait(max(0.0, change.at_s - self._now_s()))
            if self._stopped.is_set() and change.switch["mode"] != "none":
                continue
            address = self._plan.fault_address(change.target)
            if request_json(address, "/faults", change.switch) is None:
                self.faults_not_set.append(f"{change.target}@{change.at_s:g}")
