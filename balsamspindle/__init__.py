"""Balsamspindle: a proxy fleet for backend servers with gray failures.

`node/process.py` assembles a node. A request enters at `requests/ingress.py`;
docs/DESIGN.md describes its path through the fleet.
"""

__all__ = ["__version__"]

__version__ = "0.2.0"
