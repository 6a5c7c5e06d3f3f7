"""Heads of HTTP answers as libcurl passes them on, line by line."""

from balsamspindle.protocol.field_values import field_value

__all__ = ["CUT_HEAD", "AnswerHead"]

CUT_HEAD = "the connection ended within the answer's head"


class AnswerHead:
    """The last head of an answer; earlier ones are of interim answers (1xx).

    libcurl reports success if a connection ends within a head.

    Attributes
    ----------
    is_complete : bool
        Whether the head ended with an empty line.
    """

    def __init__(self) -> None:
        self.is_complete = False
        self._values: dict[str, str] = {}

    def on_line(self, line: bytes) -> None:
        """Process one line; libcurl's callback ``HEADERFUNCTION``."""
        if line.startswith(b"HTTP/"):
            self.is_complete = False
            self._values = {}
        elif line in (b"\r\n", b"\n"):
            self.is_complete = True
        elif not self.is_complete:
            name, _, value = line.partition(b":")
            self._values[name.decode("latin-1").lower()] = field_value(
                value.rstrip(b"\r\n")
            )

    def value(self, name: str) -> str | None:
        """Return a header's last value, None without it; `name` may be in any case."""
        return self._values.get(name.lower())

    def has_framing(self) -> bool:
        """Return whether the answer marks its own end, whatever its status."""
        codings = self.value("transfer-encoding")
        if codings is not None:
            return codings.lower().rpartition(",")[2].strip() == "chunked"
        return self.value("content-length") is not None
