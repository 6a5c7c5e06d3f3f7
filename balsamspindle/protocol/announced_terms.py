"""Reads what a backend server announces of itself in the headers of its answers."""

import re
from collections.abc import Iterable
from typing import NamedTuple

from balsamspindle.protocol.header_names import HeaderNames

__all__ = ["AnnouncedTerms", "read_announced_terms"]

_is_decimal = re.compile(r"(?:[0-9]{1,9}(?:\.[0-9]{0,30})?|\.[0-9]{1,30})").fullmatch
# Longest part of an unreadable value that is kept for the log.
UNREADABLE_MAX_CHARACTERS = 40
_LEAVING_VALUES = {"1": True, "0": False}


class AnnouncedTerms(NamedTuple):
    """What one answer says of the backend server that sent it.

    Attributes
    ----------
    limit_per_s : float or None
        Requests per second that the backend server takes from all nodes together; None
        if the answer contains no readable limit.
    is_leaving : bool
        Whether the backend server is about to end and wants no new requests.
    unreadable : tuple of str
        Values that could not be read, each after its header's name and a colon.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    unreadable: tuple[str, ...] = ()


def read_announced_terms(
    headers: Iterable[tuple[str, str]], names: HeaderNames
) -> AnnouncedTerms:
    """Return the terms in an answer's headers.

    If an answer contains several limits, the lowest one is returned: a backend server
    that names a limit is overloaded, and the lowest limit is the safe one.
    """
    limits, leavings, unreadable = [], [], []
    readers = {
        names.server_limit.lower(): (_read_limit, limits),
        names.server_leaving.lower(): (_LEAVING_VALUES.get, leavings),
    }
    # A deployment may lack one of the headers.
    readers.pop("", None)
    for header, value in headers:
        read, found = readers.get(header.lower(), (None, None))
        if read is None:
            continue
        for text in map(str.strip, value.split(",")):
            parsed = read(text)
            if parsed is None:
                unreadable.append(f"{header}: {text}"[:UNREADABLE_MAX_CHARACTERS])
            else:
                found.append(parsed)
    return AnnouncedTerms(min(limits, default=None), any(leavings), tuple(unreadable))


def _read_limit(text: str) -> float | None:
    return float(text) if _is_decimal(text) else None
