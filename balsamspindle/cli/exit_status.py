"""Exit statuses of the programs."""

from enum import IntEnum

__all__ = ["ExitStatus"]


class ExitStatus(IntEnum):
    """Exit statuses, the same for all programs.

    Attributes
    ----------
    DONE
        Everything that was requested is done.
    FAILED
        The request could not be carried out; nothing was changed.
    USAGE
        The command line, a file or its JSON is wrong; nothing was sent to
        the fleet.
    UNAVAILABLE
        The platform or the node did not answer; nothing was changed.
    CONFLICT
        Somebody else changed the team's documents meanwhile; this change was not
        made.
    NOT_KNOWN
        A change may or may not have taken effect; the message names the
        command that settles it.
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
