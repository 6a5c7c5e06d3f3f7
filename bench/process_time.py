"""Processor time of a process, as the kernel counts it."""

import time

__all__ = ["cpu_s"]

# CPUCLOCK_SCHED: the low three bits of the id of a process's clock in Linux. The
# other bits are the complement of the process's id.
_PROCESS_CLOCK = 2


def cpu_s(pid: int) -> float:
    """Return the user and system time that a process has used, in seconds.

    Reads the process's POSIX clock, which counts in nanoseconds. The times in
    ``/proc/PID/stat`` are sampled at ticks: they show no use at all for a process
    whose tasks each run for less than a tick, such as an idle node.
    """
    return time.clock_gettime((~pid) << 3 | _PROCESS_CLOCK)
