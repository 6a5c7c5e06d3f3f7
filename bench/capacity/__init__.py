"""Costs of each role at the long-run fleet size, extrapolated from measurements.

::

    python -m bench.capacity            # all parts, writes the baseline
    python -m bench.capacity memory     # one part, prints its figures
    python -m bench.capacity --json look_ups
"""

from bench.capacity.sizes import LIMITS, LONG_RUN, FleetSize, Limits
from bench.capacity.slopes import Line, fit_line

__all__ = ["LIMITS", "LONG_RUN", "FleetSize", "Limits", "Line", "fit_line"]
