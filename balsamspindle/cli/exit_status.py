"""How every binary ends."""

from enum import IntEnum

__all__ = ["ExitStatus"]


class ExitStatus(IntEnum):
    """Exit statuses, the same for all binaries."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    UNAVAILABLE = 3
    CONFLICT = 4
    NOT_KNOWN = 5
