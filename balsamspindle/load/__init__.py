"""Load experiments: send requests, inject faults and audit the outcomes.

`plan.py` defines the input of an experiment and `experiment.py` runs it. `audit.py`
compares the outcomes that callers got with the runs that the backend servers counted.
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
