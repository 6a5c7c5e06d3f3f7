"""Records of crashes and quarantines, and the message that shares them."""

from typing import NamedTuple

import msgspec
import xxhash

__all__ = [
    "UNSUSPECTED",
    "Quarantine",
    "Crash",
    "CrashUpdate",
    "CrashedRun",
    "RunEnd",
    "ContentStatus",
    "start_id",
]


class CrashedRun(NamedTuple):
    """A request that was running at a backend server when the server ended.

    Attributes
    ----------
    content : int
        Hash of the request's content, from `content_id`.
    ran_ms : int
        How long the request had been running.
    """

    content: int
    ran_ms: int


class Crash(NamedTuple):
    """The end of a backend server, with the requests that were running there.

    Attributes
    ----------
    start : int
        Identifies the start of the backend server that ended, see `start_id`.
    age_ms : int
        Time from the crash to the sending of this record.
    runs : tuple of CrashedRun
        Without the runs whose content has been answered since.
    """

    backend_server_id: str
    start: int
    service: str
    age_ms: int
    runs: tuple[CrashedRun, ...]

    @property
    def key(self) -> tuple[str, int]:
        """Identifies the crash in the whole fleet."""
        return self.backend_server_id, self.start


class Quarantine(NamedTuple):
    """The quarantine of a request that crashes backend servers.

    Attributes
    ----------
    content : int
        Hash of the request's content, from `content_id`.
    term : int
        How often the content has been quarantined.
    left_ms : int
        How long the request stays blocked after the sending of this record.
    is_lifted : bool
        Whether the request has been answered since.
    """

    content: int
    term: int
    left_ms: int
    is_lifted: bool = False


class CrashUpdate(msgspec.Struct, array_like=True, tag="crashes", frozen=True):
    """Message between nodes: all crashes and quarantines known, or the new ones."""

    crashes: list[Crash] = []
    quarantines: list[Quarantine] = []


class ContentStatus(NamedTuple):
    """Whether a content is suspected of crashing backend servers, or blocked.

    Attributes
    ----------
    is_suspect : bool
        Whether several backend servers ended while running it and none answered it.
    blocked_ms : float
        How long it must not be sent to a backend server; 0 when it may be sent.
    """

    is_suspect: bool = False
    blocked_ms: float = 0.0


UNSUSPECTED = ContentStatus()


class RunEnd(NamedTuple):
    """How a run ended, as far as this is evidence for or against a crash.

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
    """Return a 32-bit hash of a boot id, which identifies a backend server's start."""
    return xxhash.xxh32_intdigest(boot_id.encode())
