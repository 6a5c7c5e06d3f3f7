"""Balsamspindle: a proxy fleet for backend servers with gray failures."""

__all__ = ["__version__"]

__version__ = "0.1.0"
