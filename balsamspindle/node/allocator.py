"""Settings of the C library's allocator for a process with many threads."""

import ctypes

from balsamspindle.timeline import EventLog

__all__ = ["limit_allocator"]

# Parameters of mallopt(3).
_M_MMAP_THRESHOLD, _M_ARENA_MAX = -3, -8
ARENAS_MAX = 2
LARGE_BLOCK_BYTES = 128 * 1024


def limit_allocator(events: EventLog) -> None:
    """Make the allocator return the memory of large bodies; call it before threads run.

    By default, each thread gets an arena of its own, which keeps the memory that its
    thread has freed. Each thread that has once received a large body would hold as
    much for ever. Python's interpreter lock makes more than a few arenas useless.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError) as error:
        # The C library has no arenas, or can't be called.
        events.emit("allocator_unchanged", cause=error)
        return
    mallopt(_M_ARENA_MAX, ARENAS_MAX)
    # A fixed size. Otherwise it rises with each large block that is freed, and blocks
    # up to that size would be taken from arenas.
    mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
