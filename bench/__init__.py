"""Benchmarks: processes on loopback, or simulations in virtual time."""
