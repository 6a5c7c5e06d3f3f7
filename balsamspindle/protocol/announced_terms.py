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
    limits, leaving, unreadable = [], False, []
    for header, value in headers:
        for part in map(str.strip, value.split(",")):
            if _is_named(header, names.server_limit):
                if _is_decimal(part):
                    limits.append(float(part))
                    continue
            elif _is_named(header, names.server_leaving):
                if part in _LEAVING_VALUES:
                    leaving |= _LEAVING_VALUES[part]
                    continue
            else:
                break
            unreadable.append(f"{header}: {part}"[:UNREADABLE_MAX_CHARACTERS])
    return AnnouncedTerms(min(limits, default=None), leaving, tuple(unreadable))


def _is_named(header: str, name: str) -> bool:
    return bool(name) and header.lower() == name.lower()
