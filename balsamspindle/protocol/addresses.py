"""The form of addresses in input from outside the process."""

from typing import Annotated

import msgspec

__all__ = ["Address"]

# `\d` would also match digits that are not ASCII.
_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_PORT = (
    r"(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}"
    r"|[1-9][0-9]{0,3})"
)
# IPv4:PORT. To connect to an invalid address raises an exception in the connecting
# task.
Address = Annotated[
    str,
    msgspec.Meta(pattern=rf"^{_OCTET}(\.{_OCTET}){{3}}:{_PORT}\Z", max_length=21),
]
