"""What nodes tell each other of crashes."""

from typing import NamedTuple

import msgspec
import xxhash

__all__ = [
    "CALM",
    "Quarantine",
    "Crash",
    "CrashNews",
    "CrashedRun",
    "RunEnd",
    "Standing",
    "start_id",
]


class CrashedRun(NamedTuple):
    """A request that ran at a backend server when it ended.

    Attributes
    ----------
    content : int
        See `content_id`.
    ran_ms : int
        How long it had run.
    """

    content: int
    ran_ms: int


class Crash(NamedTuple):
    """The end of one start of a backend server, with requests running there.

    Attributes
    ----------
    start : int
        Tells the starts of one backend server apart.
    age_ms : int
        How long ago it was, when this is told.
    runs : tuple of CrashedRun
        Without those whose content has been answered since.
    """

    backend_server_id: str
    start: int
    service: str
    age_ms: int
    runs: tuple[CrashedRun, ...]

    @property
    def key(self) -> tuple[str, int]:
        """What names it in the whole fleet."""
        return self.backend_server_id, self.start


class Quarantine(NamedTuple):
    """That a request's content crashes backend servers.

    Attributes
    ----------
    term : int
        How often it was quarantined.
    left_ms : int
        For how long it is sent to no backend server, when this is told.
    is_lifted : bool
        It has been answered since.
    """

    content: int
    term: int
    left_ms: int
    is_lifted: bool = False


class CrashNews(msgspec.Struct, array_like=True, tag="crashes", frozen=True):
    """Node to node: what is known of crashes, or what is new of it."""

    crashes: list[Crash] = []
    quarantines: list[Quarantine] = []


class Standing(NamedTuple):
    """How a request's content stands now.

    Attributes
    ----------
    is_suspect : bool
        Backend servers ended under it more than once, and none answered it.
    blocked_ms : float
        For how long it is sent to no backend server; 0 when it may be sent.
    """

    is_suspect: bool = False
    blocked_ms: float = 0.0


CALM = Standing()


class RunEnd(NamedTuple):
    """How a run ended, as far as it tells of a crash.

    Attributes
    ----------
    is_success : bool
        The backend server answered it with success.
    is_answer : bool
        It answered at all, so it lives.
    is_lost : bool
        It may have been running when the backend server ended.
    is_broken : bool
        Its connection ended without an answer.
    """

    is_success: bool = False
    is_answer: bool = False
    is_lost: bool = False
    is_broken: bool = False


def start_id(boot_id: str) -> int:
    """Return a short name of one start of a backend server."""
    return xxhash.xxh32_intdigest(boot_id.encode())
