"""Processor time of a process, as the kernel counts it."""

import time

__all__ = ["cpu_s"]

# Linux's number of the clock of a whole process (CPUCLOCK_SCHED); the rest of
# a clock's id is the complement of the process's id.
_PROCESS_CLOCK = 2


def cpu_s(pid: int) -> float:
    """Return the user and system time that a process has used, in seconds.

    From the process's POSIX clock, in nanoseconds. The ticks of
    ``/proc/PID/stat`` are sampled: a process whose tasks each run for less
    than a tick, as an idle node's do, shows as using nothing at all.
    """
    return time.clock_gettime((~pid) << 3 | _PROCESS_CLOCK)
