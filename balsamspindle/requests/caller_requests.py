"""A caller's request as it is read from its connection, and the limits of reading."""

from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["CallerRequest", "HttpLimits"]


class HttpLimits(NamedTuple):
    """Limits of size and time for the requests and answers on a caller's connection."""

    head_max_bytes: int = 32 * 1024
    body_max_bytes: int = 8 * 1024 * 1024
    idle_timeout_s: float = 60.0
    head_timeout_s: float = 10.0
    body_timeout_s: float = 60.0
    answer_timeout_s: float = 60.0


@dataclass
class CallerRequest:
    """A caller's request; `RequestHead` describes the fields of the head.

    Attributes
    ----------
    is_complete : bool
        Whether the request has been read to the end of its body.
    """

    method: str = ""
    target: str = ""
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True
    host: str = ""
    control_headers: dict[str, str] = field(default_factory=dict)
    key_digest: str | None = None
    is_complete: bool = False

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition("?")[0]

    def header(self, name: str) -> str | None:
        """Return a header's value, by its lower-case name."""
        if name in self.control_headers:
            return self.control_headers[name]
        for known, value in self.headers:
            if known.lower() == name:
                return value
        return None
