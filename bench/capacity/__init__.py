"""Extrapolates measured costs of nodes and the platform to the long-run fleet size.

::

    python -m bench.capacity                   # measures all parts, prints the figures
    python -m bench.capacity memory            # measures one part
    python -m bench.capacity --write memory    # also writes the baseline and the page
    python -m bench.capacity --json look_ups
"""

from bench.capacity.sizes import LIMITS, LONG_RUN, FleetSize, Limits
from bench.capacity.slopes import Line, fit_line

__all__ = ["LIMITS", "LONG_RUN", "FleetSize", "Limits", "Line", "fit_line"]
