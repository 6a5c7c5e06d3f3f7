"""Processor time of a process, as the kernel counts it."""

import os
from pathlib import Path

__all__ = ["cpu_s"]

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Fields 14 and 15 of /proc/PID/stat, counted after the name in parentheses.
_USER, _SYSTEM = 11, 12


def cpu_s(pid: int) -> float:
    """Return the user and system time that a process has used, in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[_USER]) + int(fields[_SYSTEM])) / _TICKS_PER_S
