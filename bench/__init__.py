"""Benchmarks: real processes on loopback, figures as ratios where it helps."""
