"""The clock by which the age of a read of the store is counted."""

import time

__all__ = ["proof_time_s"]


def proof_time_s() -> float:
    """Return the time in seconds since this machine started.

    Unlike the monotonic clock, this clock does not stop while the machine is suspended.
    Otherwise settings that were read before a suspension would seem new after it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
