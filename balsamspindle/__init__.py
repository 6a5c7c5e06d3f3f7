"""Balsamspindle: a proxy fleet for backend servers with gray failures.

Start with `node/process.py`, which puts a node together, and follow one
request from `requests/ingress.py`; docs/DESIGN.md shows its way.
"""

__all__ = ["__version__"]

__version__ = "0.2.0"
