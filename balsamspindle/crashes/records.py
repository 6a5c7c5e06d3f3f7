"""Records of crashes and quarantines, and the message that sends them to peers."""

from typing import Annotated, NamedTuple

import msgspec
import xxhash

__all__ = [
    "TERM_MAX",
    "UNSUSPECTED",
    "Quarantine",
    "Term",
    "Crash",
    "CrashUpdate",
    "CrashedRun",
    "RunEnd",
    "QuarantineStatus",
    "start_id",
]


# Each quarantine of a request lasts 10 minutes or more, so no request has a greater
# term within the lifetime of a fleet.
TERM_MAX = 1_000_000
Term = Annotated[int, msgspec.Meta(ge=0, le=TERM_MAX)]


class CrashedRun(NamedTuple):
    """A request that was running at a backend server when the server ended.

    Attributes
    ----------
    content_hash : int
        Content hash of the request, from `hash_content`.
    ran_ms : int
        How long the request had been running when the server ended.
    """

    content_hash: int
    ran_ms: int


class Crash(NamedTuple):
    """The crash of a backend server, with the requests that were running there.

    Attributes
    ----------
    start : int
        Identifies the process that ended; different for each process of the backend
        server, see `start_id`.
    age_ms : int
        Time from the crash to the sending of this record.
    runs : tuple of CrashedRun
        Runs of requests that have been answered since the crash are removed.
    """

    backend_server_id: str
    start: int
    service: str
    age_ms: int
    runs: tuple[CrashedRun, ...]

    @property
    def key(self) -> tuple[str, int]:
        """Identifies the crash in the fleet; equal in all records of the same crash."""
        return self.backend_server_id, self.start


class Quarantine(NamedTuple):
    """The quarantine of a request that crashes backend servers.

    Attributes
    ----------
    content_hash : int
        Content hash of the request, from `hash_content`.
    term : int
        How often the request has been quarantined, including this quarantine.
    left_ms : int
        Remaining time for which the request is blocked when this record is sent.
    is_lifted : bool
        Whether the quarantine has ended because a backend server answered the request.
    """

    content_hash: int
    term: Term
    left_ms: int
    is_lifted: bool = False


class CrashUpdate(msgspec.Struct, array_like=True, tag="crashes", frozen=True):
    """Message to a peer: crashes and quarantines that the peer may not know yet."""

    crashes: list[Crash] = []
    quarantines: list[Quarantine] = []


class QuarantineStatus(NamedTuple):
    """Whether a request is suspected of causing crashes, and how long it is blocked.

    Attributes
    ----------
    is_suspect : bool
        Whether the request is quarantined, or several backend servers ended while
        running it and it has not been answered since.
    blocked_ms : float
        Remaining time for which the request must not be sent to a backend server; 0 if
        it is not blocked.
    """

    is_suspect: bool = False
    blocked_ms: float = 0.0


UNSUSPECTED = QuarantineStatus()


class RunEnd(NamedTuple):
    """How a run ended, as evidence of whether the backend server crashed.

    Attributes
    ----------
    is_success : bool
        Whether the backend server answered with success.
    is_answer : bool
        Whether the backend server answered at all, which shows that it is alive.
    is_lost : bool
        Whether the run may have been in progress when the backend server ended.
    is_broken : bool
        Whether the connection ended without an answer.
    """

    is_success: bool = False
    is_answer: bool = False
    is_lost: bool = False
    is_broken: bool = False


def start_id(boot_id: str) -> int:
    """Return the 32-bit hash of a boot id.

    The hash identifies one process among all processes of a backend server, since each
    start of the backend server has a new boot id.
    """
    return xxhash.xxh32_intdigest(boot_id.encode())
