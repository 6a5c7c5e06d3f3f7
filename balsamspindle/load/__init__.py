"""Load and experiments: arrivals, faults, and what became of each request.

Start with `plan.py`, what a run is told, then `experiment.py`, the run;
`audit.py` holds what callers were told against what ran.
"""

from balsamspindle.load.audit import CallResult
from balsamspindle.load.experiment import run_experiment
from balsamspindle.load.plan import Arrival, FaultPeriod, LoadPlan, PlanError, load_plan
from balsamspindle.load.report import Report, report_lines

__all__ = [
    "Arrival",
    "CallResult",
    "FaultPeriod",
    "LoadPlan",
    "PlanError",
    "Report",
    "load_plan",
    "report_lines",
    "run_experiment",
]
