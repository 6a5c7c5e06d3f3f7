"""Exit statuses of the programs."""

from enum import IntEnum

__all__ = ["ExitStatus"]


class ExitStatus(IntEnum):
    """Exit statuses, the same for all programs.

    Attributes
    ----------
    DONE
        The command succeeded.
    FAILED
        The command could not be carried out; nothing was changed. For
        ``balsamspindle-load``: the fleet violated a guarantee.
    USAGE
        The command line, a file or its JSON is wrong; nothing was changed.
    UNAVAILABLE
        The platform or the node did not answer. No settings were changed; a drain or
        undrain request may have taken effect.
    CONFLICT
        Somebody else changed the team's documents first; this change was not made.
    NOT_KNOWN
        A change may or may not have been accepted; the message names the command that
        settles it.
    INVALID
        The settings have faults, which are listed; nothing was changed.
    NOT_FOUND
        There is no such document, backend server, service or request.
    NOT_OWNER
        The given key grants no access to the team's documents; nothing was
        changed.
    """

    DONE = 0
    FAILED = 1
    USAGE = 2
    UNAVAILABLE = 3
    CONFLICT = 4
    NOT_KNOWN = 5
    INVALID = 6
    NOT_FOUND = 7
    NOT_OWNER = 8
